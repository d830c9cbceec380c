package feed_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/feed"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/standin/rows"
)

// slowReads is a store that delays Read and counts its calls by partition. delay gets the partition and the number of the
// call for it.
type slowReads struct {
	feed.Store
	delay func(partition string, n int) time.Duration
	mu    sync.Mutex
	reads map[string]int
}

func (s *slowReads) Read(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	s.mu.Lock()
	s.reads[r.Partition]++
	n := s.reads[r.Partition]
	s.mu.Unlock()
	select {
	case <-time.After(s.delay(r.Partition, n)):
		return s.Store.Read(ctx, r)
	case <-ctx.Done():
		return rowstore.Page{}, rowstore.ErrAmbiguous
	}
}

// newTable returns a store with the table "t", which has some partitions of one row each, and the names of the partitions.
func newTable(partitions int) (*rows.Store, []string) {
	store := rows.New()
	var names []string
	for i := range partitions {
		names = append(names, fmt.Sprintf("part-%d", i))
		store.Put(rowstore.Key{Table: "t", Partition: names[i], Name: "row"}, nil)
	}
	return store, names
}

// ReadAll must succeed although each response takes longer than the first time-out, as on a host with little processor time.
func TestAnswersThatTakeLongAreWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, partitions := newTable(16)
		slow := &slowReads{
			Store: store.Handle(), reads: make(map[string]int),
			delay: func(string, int) time.Duration { return 2500 * time.Millisecond },
		}
		rows, _, err := feed.ReadAll(t.Context(), slow, "t", partitions)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 16)
	})
}

// A lost response for one partition must not cause all partitions to be read again.
func TestLostAnswersAreReadAgainByPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, partitions := newTable(4)
		slow := &slowReads{Store: store.Handle(), reads: make(map[string]int)}
		slow.delay = func(partition string, n int) time.Duration {
			if partition == "part-2" && n == 1 {
				return time.Hour
			}
			return time.Millisecond
		}
		rows, _, err := feed.ReadAll(t.Context(), slow, "t", partitions)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 4)
		assert.DeepEqual(t, slow.reads, map[string]int{"part-0": 1, "part-1": 1, "part-2": 2, "part-3": 1})
	})
}

// After an outage of the store, changes must be delivered soon, also if the store is slow then. A feed that waited for calls
// sent during the outage would deliver them seconds later, and a new owner or a caller's job would wait as long.
func TestChangesAreSeenSoonAfterAnOutage(t *testing.T) {
	for _, slow := range []time.Duration{0, 700 * time.Millisecond} {
		for outage := 2 * time.Second; outage < 5*time.Second; outage += 170 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := rows.New()
				handle := store.Handle()
				var seen sync.Map
				go feed.Follow(ctx, feed.Options{
					Store: handle, Table: "t", Log: &log.Logger{Handler: discard.Default},
					Deliver: func(b feed.Batch) {
						for _, r := range b.Rows {
							seen.Store(r.Name, true)
						}
					},
				})
				time.Sleep(time.Second)
				handle.SetFault(func(bool) rows.Fault { return rows.DropCall })
				time.Sleep(outage)
				store.Put(rowstore.Key{Table: "t", Name: "row"}, nil)
				handle.SetFault(nil)
				store.SetSlow(slow)
				time.Sleep(400*time.Millisecond + slow)
				_, ok := seen.Load("row")
				assert.Check(t, ok, "outage of %s", outage)
				cancel()
				// Time for the calls under way to end.
				time.Sleep(5 * time.Second)
			})
		}
	}
}

// After a cut, a host with a narrow link must catch up although a response then takes longer than any wait for the store: reads
// that are given up while they arrive, and sent again beside each other, fill the link so that no feed of the host ever recovers.
func TestFeedsCatchUpOnANarrowLink(t *testing.T) {
	const (
		linkBytesPerSecond = 1_250_000
		configBytes        = 40 << 10
		jobBytes           = 2 << 10
		// maxConfigDelay is the time within which a configuration has to be in force.
		maxConfigDelay = 3 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := rows.New()
		handle := store.Handle()
		handle.SetLink(linkBytesPerSecond)
		var config atomic.Uint64
		var jobs atomic.Int64
		follow := func(table string, deliver func(feed.Batch)) {
			go feed.Follow(ctx, feed.Options{Store: handle, Table: table, Log: &log.Logger{Handler: discard.Default}, Deliver: deliver})
		}
		// The owner follows the configuration twice, and the jobs.
		for range 2 {
			follow("config", func(b feed.Batch) {
				for _, r := range b.Rows {
					config.Store(r.Version)
				}
			})
		}
		follow("jobs", func(b feed.Batch) { jobs.Add(int64(len(b.Rows))) })
		time.Sleep(time.Second)
		handle.SetFault(func(bool) rows.Fault { return rows.DropCall })
		for n := range 1600 {
			time.Sleep(5 * time.Millisecond)
			store.Put(rowstore.Key{Table: "jobs", Name: fmt.Sprint(n)}, make([]byte, jobBytes))
			if n%100 == 0 {
				store.Put(rowstore.Key{Table: "config", Name: "config"}, make([]byte, configBytes))
			}
		}
		newest, _ := store.Get(rowstore.Key{Table: "config", Name: "config"})
		handle.SetFault(nil)
		time.Sleep(maxConfigDelay)
		assert.Check(t, config.Load() >= newest.Version, "the configuration is at version %d of %d", config.Load(), newest.Version)
		// Twice the time that the link needs for all responses.
		time.Sleep(6 * time.Second)
		assert.Check(t, jobs.Load() >= 1600, "%d jobs of 1600", jobs.Load())
		cancel()
		// Time for the calls under way to end.
		time.Sleep(time.Minute)
	})
}

// While a new owner reads its tables over a narrow link, its other calls must get through: a renewal that takes longer than
// maxCallTime is sent again, and a host that cannot renew loses the lease before it has read the tables.
func TestReadingATableLeavesRoomOnTheLink(t *testing.T) {
	const (
		linkBytesPerSecond = 1_250_000
		rowBytes           = 30 << 10
		maxCallTime        = 350 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		store, partitions := newTable(64)
		for _, partition := range partitions {
			store.Put(rowstore.Key{Table: "t", Partition: partition, Name: "row"}, make([]byte, rowBytes))
		}
		store.Put(rowstore.Key{Table: "lease", Name: "lease"}, make([]byte, 200))
		handle := store.Handle()
		handle.SetLink(linkBytesPerSecond)
		done := make(chan error, 1)
		go func() {
			_, _, err := feed.ReadAll(t.Context(), handle, "t", partitions)
			done <- err
		}()
		for len(done) == 0 {
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			_, err := handle.Read(t.Context(), rowstore.Range{Table: "lease"})
			assert.NilError(t, err)
			assert.Check(t, time.Since(began) < maxCallTime, "the call took %s", time.Since(began))
		}
		assert.NilError(t, <-done)
	})
}

// At a slow store, a table must be read in little more than the time of one response, though it has many partitions.
func TestASlowStoreIsReadInParallel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, partitions := newTable(64)
		store.SetSlow(400 * time.Millisecond)
		began := time.Now()
		_, _, err := feed.ReadAll(t.Context(), store.Handle(), "t", partitions)
		assert.NilError(t, err)
		assert.Check(t, time.Since(began) < 1200*time.Millisecond, "reading took %s", time.Since(began))
	})
}

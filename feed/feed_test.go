package feed_test

import (
	"context"
	"fmt"
	"sync"
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

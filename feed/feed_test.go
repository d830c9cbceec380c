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

// slowReads delays the reads of a store and counts them by part.
type slowReads struct {
	feed.Store
	delay func(part string, n int) time.Duration
	mu    sync.Mutex
	reads map[string]int
}

func (s *slowReads) Read(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	s.mu.Lock()
	s.reads[r.Part]++
	n := s.reads[r.Part]
	s.mu.Unlock()
	select {
	case <-time.After(s.delay(r.Part, n)):
		return s.Store.Read(ctx, r)
	case <-ctx.Done():
		return rowstore.Page{}, rowstore.ErrAmbiguous
	}
}

func table(parts int) (*rows.Store, []string) {
	store := rows.New()
	var names []string
	for i := range parts {
		names = append(names, fmt.Sprintf("part-%d", i))
		store.Put(rowstore.Key{Table: "t", Part: names[i], Name: "row"}, nil)
	}
	return store, names
}

// Guards against a reader that never gets a table because each answer takes longer than a fixed bound, as on a host with
// little processor time.
func TestAnswersThatTakeLongAreWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, parts := table(16)
		slow := &slowReads{
			Store: store.Handle(), reads: make(map[string]int),
			delay: func(string, int) time.Duration { return 2500 * time.Millisecond },
		}
		rows, _, err := feed.ReadAll(t.Context(), slow, "t", parts)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 16)
	})
}

// Guards against reading all parts again because the answer for one of them was lost.
func TestLostAnswersAreReadAgainByPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, parts := table(4)
		slow := &slowReads{Store: store.Handle(), reads: make(map[string]int)}
		slow.delay = func(part string, n int) time.Duration {
			if part == "part-2" && n == 1 {
				return time.Hour
			}
			return time.Millisecond
		}
		rows, _, err := feed.ReadAll(t.Context(), slow, "t", parts)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 4)
		assert.DeepEqual(t, slow.reads, map[string]int{"part-0": 1, "part-1": 1, "part-2": 2, "part-3": 1})
	})
}

// Guards against changes that are seen seconds after an outage of the store, because the feed waits for calls that began in
// the outage; a new owner or a caller's job waits as long. A store that is slow afterwards must be noticed too.
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
				handle.SetFault(func(bool) rows.Fault { return rows.Silence })
				time.Sleep(outage)
				store.Put(rowstore.Key{Table: "t", Name: "row"}, nil)
				handle.SetFault(nil)
				store.SetSlow(slow)
				time.Sleep(400*time.Millisecond + slow)
				_, ok := seen.Load("row")
				assert.Check(t, ok, "outage of %s", outage)
				cancel()
				// Calls under way end.
				time.Sleep(5 * time.Second)
			})
		}
	}
}

package leader

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/internal/script"
	"github.com/tamarackworks/tamarackworks/standin/memory"
)

func discardLog() log.Interface { return &log.Logger{Handler: discard.New()} }

// startLeader runs a leader with default options and waits until its first operation is done.
func startLeader(t *testing.T, table cloud.Table, holder string) *Leader {
	l := New(Options{Table: table, DataCentre: "dc1", Holder: holder, Log: discardLog()})
	go l.Run(t.Context())
	synctest.Wait()
	return l
}

// commitControl commits a control transaction under a lease.
func commitControl(table cloud.Table, lease Lease) error {
	_, err := table.Commit(context.Background(), cloud.Txn{
		Preconditions: []cloud.Precondition{lease.Fence},
		Ops:           []cloud.Op{{Key: "control", Value: []byte("x")}},
	})
	return err
}

// pausableTable blocks the writes of one process, as if the process were paused.
type pausableTable struct {
	cloud.Table
	// running holds one token while the process runs. It is a channel because a blocked mutex would stop synthetic time.
	running chan struct{}
}

func (t *pausableTable) Commit(ctx context.Context, txn cloud.Txn) (uint64, error) {
	<-t.running
	t.running <- struct{}{}
	return t.Table.Commit(ctx, txn)
}

// A leader that was paused must not act once the grace period has passed, and its writes must fail after another process
// took over.
func TestPausedLeaderCannotWriteAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Options{})
		paused := &pausableTable{Table: p.Handle(), running: make(chan struct{}, 1)}
		paused.running <- struct{}{}
		a := startLeader(t, paused, "a")
		lease, ok := a.Lead()
		assert.Assert(t, ok)
		b := startLeader(t, p.Handle(), "b")
		<-paused.running
		time.Sleep(3 * time.Second)
		_, ok = a.Lead()
		assert.Assert(t, !ok, "leader acts although its last renewal is older than the grace period")
		time.Sleep(4 * time.Second)
		successor, ok := b.Lead()
		assert.Assert(t, ok, "no takeover after the time to live")
		assert.Equal(t, successor.Epoch, lease.Epoch+1)
		paused.running <- struct{}{}
		time.Sleep(2 * time.Second)
		_, ok = a.Lead()
		assert.Assert(t, !ok)
		assert.ErrorIs(t, commitControl(paused, lease), cloud.ErrConflict)
		assert.NilError(t, commitControl(p.Handle(), successor))
	})
}

// A lost response or a dropped write at takeover or renewal must not leave the data centre without a leader, and a dropped
// write must not be taken for a success.
func TestAmbiguousWritesAreResolvedByReading(t *testing.T) {
	for name, faults := range map[string]memory.Faults{
		"lost": {LoseResponses: 1}, "dropped": {DropWrites: 1}, "both": {LoseResponses: 2, DropWrites: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := memory.New(memory.Options{})
				h := p.Handle()
				h.SetFaults(faults)
				a := startLeader(t, h, "a")
				time.Sleep(3100 * time.Millisecond)
				first, ok := a.Lead()
				assert.Assert(t, ok)
				assert.NilError(t, commitControl(p.Handle(), first))
				h.SetFaults(faults)
				for range 40 {
					time.Sleep(100 * time.Millisecond)
					lease, ok := a.Lead()
					assert.Assert(t, ok)
					assert.Equal(t, lease, first)
				}
			})
		})
	}
}

// A leader must stop acting while the store is down, and must keep its epoch over a short outage.
func TestStoreOutageSuspendsTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Options{})
		a := startLeader(t, p.Handle(), "a")
		first, _ := a.Lead()
		p.SetFaults(memory.Faults{Down: true})
		time.Sleep(3 * time.Second)
		_, ok := a.Lead()
		assert.Assert(t, !ok)
		p.SetFaults(memory.Faults{})
		time.Sleep(1100 * time.Millisecond)
		again, ok := a.Lead()
		assert.Assert(t, ok)
		assert.Equal(t, again, first)
	})
}

// After a resignation another process must take over within about one renewal interval, without waiting for the time to
// live.
func TestResignHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Options{})
		a, b := startLeader(t, p.Handle(), "a"), startLeader(t, p.Handle(), "b")
		assert.NilError(t, a.Resign(t.Context()))
		_, ok := a.Lead()
		assert.Assert(t, !ok)
		time.Sleep(1100 * time.Millisecond)
		lease, ok := b.Lead()
		assert.Assert(t, ok)
		assert.Equal(t, lease.Epoch, uint64(2))
	})
}

// Under any mix of lost responses, dropped writes, partitions and slow stores, at most one process may act as leader at any
// time, its writes must pass the fence, and exactly one leads once the faults have ended.
func TestAtMostOneLeaderUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// The failure is reported outside of the synctest bubble, so that rapid can shrink it and print the seed.
		failure, draw := "", script.Draw(rt, 90)
		synctest.Test(t, func(t *testing.T) {
			p := memory.New(memory.Options{})
			var leaders []*Leader
			var handles []*memory.Handle
			for _, name := range []string{"a", "b", "c"} {
				handles = append(handles, p.Handle())
				leaders = append(leaders, startLeader(t, handles[len(handles)-1], name))
			}
			for !draw.Empty() {
				handles[draw.Next(3)].SetFaults(memory.Faults{
					Down:          draw.Next(2) == 1,
					Latency:       script.Pick(draw, []time.Duration{0, 0, 300 * time.Millisecond, 1500 * time.Millisecond}),
					LoseResponses: draw.Next(3),
					DropWrites:    draw.Next(3),
				})
				for range 1 + draw.Next(80) {
					time.Sleep(100 * time.Millisecond)
					synctest.Wait()
					acting := 0
					for _, l := range leaders {
						if lease, ok := l.Lead(); ok {
							acting++
							if err := commitControl(p.Handle(), lease); err != nil {
								failure = "the acting leader fails the fence: " + err.Error()
								return
							}
						}
					}
					if acting > 1 {
						failure = fmt.Sprintf("%d leaders act at once", acting)
						return
					}
				}
			}
			for _, h := range handles {
				h.SetFaults(memory.Faults{})
			}
			time.Sleep(12 * time.Second)
			acting := 0
			for _, l := range leaders {
				if _, ok := l.Lead(); ok {
					acting++
				}
			}
			if acting != 1 {
				failure = fmt.Sprintf("%d leaders after all faults ended", acting)
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

package controller

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/internal/script"
	"github.com/tamarackworks/tamarackworks/membership"
	"github.com/tamarackworks/tamarackworks/peer"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
)

// startRequests starts a request of a pool on each host that the view of the entry host offers for it.
func (e *entryHost) startRequests(pool string) {
	if !e.Ready() || e.stopped {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.fleet.View().TargetsByPool[pool] {
		e.requests[h.Name] = append(e.requests[h.Name], pool)
	}
}

// findViolation returns a violation of the invariants, or an empty string: a request must not be in progress for a pool
// that its host has left, so that no host serves two pools (property P2 of the design), and no process may go back to an
// older version. observed holds the last version that each process showed.
func (tc *testCluster) findViolation(observed map[*entryHost]uint64) string {
	rows, err := membership.Assignments(tc.t.Context(), tc.platform.Handle(), "dc1")
	if err != nil {
		return ""
	}
	current := make(map[string]string)
	for _, a := range rows {
		current[a.Host] = a.Pool
	}
	for name, e := range tc.entryHosts {
		if v := e.fleet.Version(); v < observed[e] {
			return fmt.Sprintf("%s went back from version %d to %d", name, observed[e], v)
		}
		observed[e] = e.fleet.Version()
		for host, pools := range e.requests {
			for _, pool := range pools {
				if pool != current[host] {
					return fmt.Sprintf("%s has a request of pool %s on %s, which is in %s", name, pool, host, current[host])
				}
			}
		}
	}
	return ""
}

// Under random partitions, store faults, kills, starts from the state of peers and moves, no request may be in progress
// on a host that left its pool, no entry host may go back to an older version, and all must be ready and have the latest
// version once the faults have ended.
func TestEntryHostsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		failure, draw := "", script.Draw(rt, 70)
		synctest.Test(t, func(t *testing.T) {
			tc := newTestCluster(t)
			defer tc.stop()
			tc.submit(nil, declarations()...)
			names := []string{"dc1-1", "dc1-2", "dc1-3"}
			var mu sync.Mutex
			var moves []Move
			plan := func(*structs.View) []Move {
				mu.Lock()
				defer mu.Unlock()
				return moves
			}
			for _, name := range names {
				tc.start(name, tc.platform.Handle(), plan, names...)
			}
			time.Sleep(3 * time.Second)
			blocked := make(map[string]bool)
			tc.mu.Lock()
			tc.isBlocked = func(from, to, _ string) bool { return blocked[from+to] }
			tc.mu.Unlock()
			number, observed := uint64(0), make(map[*entryHost]uint64)
			randomEntryHost := func() *entryHost { return tc.entryHosts[script.Pick(draw, names)] }
			actions := map[string]func(){
				"send": func() { randomEntryHost().startRequests(script.Pick(draw, []string{"a", "b"})) },
				"answer": func() {
					e := randomEntryHost()
					e.mu.Lock()
					defer e.mu.Unlock()
					e.requests = make(map[string][]string)
				},
				"cut": func() {
					tc.mu.Lock()
					defer tc.mu.Unlock()
					key := script.Pick(draw, names) + script.Pick(draw, names)
					blocked[key] = !blocked[key]
				},
				"faults": func() {
					randomEntryHost().handle.SetFaults(memory.Faults{
						Down: draw.Next(2) == 1, LoseResponses: draw.Next(3),
						Latency: time.Duration(draw.Next(4)) * 100 * time.Millisecond,
					})
				},
				"store": func() { tc.platform.SetFaults(memory.Faults{Down: draw.Next(2) == 1}) },
				"replace": func() {
					e := randomEntryHost()
					tc.kill(e)
					tc.start(e.opts.Registration.Entry, tc.platform.Handle(), plan, names...)
				},
				"move": func() {
					mu.Lock()
					defer mu.Unlock()
					moves = []Move{{
						Host: fmt.Sprintf("h%d", draw.Next(4)), To: script.Pick(draw, []string{"a", "b"}),
					}}
				},
				"ticket": func() {
					if !tc.platform.Faults().Down {
						number = tc.submit(randomEntryHost(), object(structs.KindTeam, "team", number, structs.Team{Name: "team"}))
					}
				},
			}
			actionNames := []string{"send", "send", "send", "answer", "answer", "cut", "faults", "store", "replace", "move", "move", "ticket"}
			for !draw.Empty() {
				actions[script.Pick(draw, actionNames)]()
				for range draw.Next(6) {
					time.Sleep(200 * time.Millisecond)
					synctest.Wait()
					if failure = tc.findViolation(observed); failure != "" {
						return
					}
				}
			}
			tc.mu.Lock()
			blocked = make(map[string]bool)
			tc.mu.Unlock()
			tc.platform.SetFaults(memory.Faults{})
			for _, e := range tc.entryHosts {
				e.handle.SetFaults(memory.Faults{})
			}
			time.Sleep(16 * time.Second)
			for name, e := range tc.entryHosts {
				if !e.Ready() || e.fleet.Version() < max(number, 1) {
					failure = fmt.Sprintf("%s: ready %t, version %d of %d", name, e.Ready(), e.fleet.Version(), number)
				}
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

var _ peer.Loads = (*entryHost)(nil)

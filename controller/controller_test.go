package controller

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/membership"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
)

// A ticket must reach every entry host within 5 s although all pushes are lost, including an entry host that cannot reach
// the store, and no entry host may go back to an older version.
func TestTicketsSpreadWithPushesLost(t *testing.T) {
	runWithCluster(t, func(t *testing.T, tc *testCluster) {
		tc.isBlocked = func(_, _, path string) bool { return strings.HasSuffix(path, "PushTickets") }
		a := tc.start("dc1-1", tc.platform.Handle(), nil)
		b := tc.start("dc1-2", tc.platform.Handle(), nil, "dc1-1")
		c := tc.start("dc1-3", tc.platform.Handle(), nil, "dc1-1")
		time.Sleep(3 * time.Second)
		c.handle.SetFaults(memory.Faults{Down: true})
		seen := make([]uint64, 3)
		for round := range 5 {
			number := tc.submit(a, object(structs.KindTeam, "team", teamBase(round), structs.Team{Name: "team", MaxConcurrent: round}))
			startedAt := time.Now()
			for b.fleet.Version() < number || c.fleet.Version() < number {
				assert.Assert(t, time.Since(startedAt) <= 5*time.Second, "versions %d and %d after 5 s, want %d", b.fleet.Version(), c.fleet.Version(), number)
				time.Sleep(50 * time.Millisecond)
				for i, e := range []*entryHost{a, b, c} {
					assert.Assert(t, e.fleet.Version() >= seen[i])
					seen[i] = e.fleet.Version()
				}
			}
		}
	})
}

func teamBase(round int) uint64 {
	if round == 0 {
		return 0
	}
	return uint64(round + 1)
}

// A data centre that is cut off from the store and from the other data centres must keep serving with its last view, and
// catch up when the partition ends.
func TestPartitionedDataCentreCatchesUp(t *testing.T) {
	runWithCluster(t, func(t *testing.T, tc *testCluster) {
		a := tc.start("dc1-1", tc.platform.Handle(), nil)
		b := tc.start("dc2-1", tc.platform.Handle(), nil, "dc1-1")
		time.Sleep(2 * time.Second)
		b.handle.SetFaults(memory.Faults{Down: true})
		tc.mu.Lock()
		tc.isBlocked = func(from, to, _ string) bool { return from[:3] != to[:3] }
		tc.mu.Unlock()
		number := tc.submit(a, object(structs.KindTeam, "team", 0, structs.Team{Name: "team"}))
		time.Sleep(time.Hour)
		assert.Assert(t, b.Ready())
		assert.Equal(t, b.fleet.Version(), number-1)
		b.handle.SetFaults(memory.Faults{})
		tc.mu.Lock()
		tc.isBlocked = nil
		tc.mu.Unlock()
		time.Sleep(16 * time.Second)
		assert.Equal(t, b.fleet.Version(), number)
	})
}

// While the store is down, an entry host must start from the state of its peers, or stay unready if it has none. It must
// register once the store is back.
func TestStartWhileTheStoreIsDown(t *testing.T) {
	runWithCluster(t, func(t *testing.T, tc *testCluster) {
		a := tc.start("dc1-1", tc.platform.Handle(), nil)
		time.Sleep(3 * time.Second)
		tc.platform.SetFaults(memory.Faults{Down: true})
		isolated := tc.start("dc1-2", tc.platform.Handle(), nil)
		b := tc.start("dc1-3", tc.platform.Handle(), nil, "dc1-1")
		time.Sleep(5 * time.Second)
		assert.Assert(t, !isolated.Ready())
		assert.Assert(t, b.Ready())
		assert.Equal(t, b.fleet.Version(), a.fleet.Version())
		assert.Equal(t, len(b.fleet.View().TargetsByPool["a"]), 2)
		tc.platform.SetFaults(memory.Faults{})
		time.Sleep(5 * time.Second)
		assert.Assert(t, isolated.Ready())
		_, err := tc.platform.Handle().Get(t.Context(), "entry/dc1/dc1-3")
		assert.NilError(t, err)
	})
}

// An entry host whose registration was removed by mistake must stop serving until it has registered again, because no
// leader would ask it to release a host.
func TestLostRegistrationStopsServing(t *testing.T) {
	runWithCluster(t, func(t *testing.T, tc *testCluster) {
		a := tc.start("dc1-1", tc.platform.Handle(), nil)
		time.Sleep(time.Second)
		assert.Assert(t, a.Ready())
		a.handle.SetFaults(memory.Faults{RefuseWrites: true})
		_, err := tc.platform.Handle().Commit(t.Context(), cloud.Txn{Ops: []cloud.Op{{Key: "entry/dc1/dc1-1", Delete: true}}})
		assert.NilError(t, err)
		time.Sleep(RegistrationsInterval + time.Second)
		assert.Assert(t, !a.Ready())
		a.handle.SetFaults(memory.Faults{})
		time.Sleep(3 * time.Second)
		assert.Assert(t, a.Ready())
	})
}

// An entry host that cannot read the host list must stop using a leaving host when a peer notifies it.
func TestLeavingMarksSpread(t *testing.T) {
	runWithCluster(t, func(t *testing.T, tc *testCluster) {
		tc.start("dc1-1", tc.platform.Handle(), nil)
		b := tc.start("dc1-2", tc.platform.Handle(), nil, "dc1-1")
		time.Sleep(3 * time.Second)
		b.handle.SetFaults(memory.Faults{Down: true})
		assert.Equal(t, len(b.fleet.View().TargetsByPool["a"]), 2)
		tc.platform.SetHost(structs.HostState{Name: "h0", DataCentre: "dc1", Incarnation: 1, Live: true, Leaving: true})
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(b.fleet.View().TargetsByPool["a"]), 1)
	})
}

// The leader must act on the declared state and the plan: first assignments, planned moves, a changed home pool, a drain
// and its end.
func TestLeaderActsOnDeclaredState(t *testing.T) {
	runWithCluster(t, func(t *testing.T, tc *testCluster) {
		var destination atomic.Value
		destination.Store("")
		plan := func(*structs.View) []Move {
			if to := destination.Load().(string); to != "" {
				return []Move{{Host: "h0", To: to, Reason: "burst"}}
			}
			return nil
		}
		a := tc.start("dc1-1", tc.platform.Handle(), plan)
		b := tc.start("dc1-2", tc.platform.Handle(), plan, "dc1-1")
		assignment := func(name string) structs.Assignment { return *b.fleet.View().Assignments[name] }
		time.Sleep(5 * time.Second)
		assert.Equal(t, assignment("h0").Generation, uint64(1))
		destination.Store("b")
		time.Sleep(5 * time.Second)
		destination.Store("")
		assert.Equal(t, assignment("h0").Pool, "b")
		number := tc.submit(a, object(structs.KindHost, "h1", 1, host(1, "a")), object(structs.KindDrain, "h2", 0, structs.Drain{Name: "h2"}))
		time.Sleep(5 * time.Second)
		assert.Equal(t, assignment("h1").Pool, "a")
		assert.Equal(t, assignment("h1").Home, "a")
		assert.Equal(t, assignment("h2").Phase, structs.PhaseDown)
		tc.submit(a, structs.TicketObject{Kind: structs.KindDrain, Name: "h2", Base: number, Delete: true})
		time.Sleep(5 * time.Second)
		assert.Equal(t, assignment("h2").Phase, structs.PhaseActive)
		assert.Equal(t, assignment("h0").Pool, "b", "a planned move must not be reversed because the home pool differs")
	})
}

// A graceful stop must remove the registration and give up the lease; otherwise moves and the next leader would
// have to wait.
func TestGracefulStop(t *testing.T) {
	runWithCluster(t, func(t *testing.T, tc *testCluster) {
		a := tc.start("dc1-1", tc.platform.Handle(), nil)
		b := tc.start("dc1-2", tc.platform.Handle(), nil, "dc1-1")
		time.Sleep(3 * time.Second)
		first, second := a, b
		if _, ok := b.opts.Leader.Lead(); ok {
			first, second = b, a
		}
		assert.NilError(t, first.Stop(t.Context()))
		tc.mu.Lock()
		first.stopped = true
		tc.mu.Unlock()
		_, err := tc.platform.Handle().Get(t.Context(), "entry/dc1/"+first.opts.Registration.Entry)
		assert.ErrorIs(t, err, cloud.ErrNotFound)
		time.Sleep(1500 * time.Millisecond)
		_, ok := second.opts.Leader.Lead()
		assert.Assert(t, ok)
	})
}

// A removed host must not count against the disruption budget of its pool forever. If it is declared again, it must
// return to service: if its generations started from 1 again, it would stay unusable.
func TestRemovedHostFreesItsBudget(t *testing.T) {
	runWithCluster(t, func(t *testing.T, tc *testCluster) {
		a := tc.start("dc1-1", tc.platform.Handle(), nil)
		assignment := func(name string) structs.Assignment { return *a.fleet.View().Assignments[name] }
		time.Sleep(4 * time.Second)
		number := tc.submit(a, structs.TicketObject{Kind: structs.KindHost, Name: "h0", Base: 1, Delete: true})
		time.Sleep(4 * time.Second)
		assert.Equal(t, assignment("h0").Phase, structs.PhaseDown)
		drainNumber := tc.submit(a, object(structs.KindDrain, "h2", 0, structs.Drain{Name: "h2"}))
		time.Sleep(4 * time.Second)
		assert.Equal(t, assignment("h2").Phase, structs.PhaseDown, "the removed host must not count against the disruption budget")
		tc.submit(a, object(structs.KindHost, "h0", number, host(0, "b")), structs.TicketObject{Kind: structs.KindDrain, Name: "h2", Base: drainNumber, Delete: true})
		time.Sleep(8 * time.Second)
		assert.Equal(t, assignment("h0").Phase, structs.PhaseActive)
		assert.Equal(t, assignment("h0").Pool, "b")
	})
}

// A move that an unresponsive entry host blocks must be undone when the ticket that asked for it is replaced, or when it
// times out. A planned move must not start again at once after it was undone.
func TestUnfinishedMovesAreGivenUp(t *testing.T) {
	runWithCluster(t, func(t *testing.T, tc *testCluster) {
		var planned atomic.Bool
		plan := func(*structs.View) []Move {
			if planned.Load() {
				return []Move{{Host: "h2", To: "b", Reason: "burst"}}
			}
			return nil
		}
		a := tc.start("dc1-1", tc.platform.Handle(), plan)
		tc.start("dc1-2", tc.platform.Handle(), plan, "dc1-1")
		assignment := func(name string) structs.Assignment { return *a.fleet.View().Assignments[name] }
		time.Sleep(4 * time.Second)
		tc.mu.Lock()
		tc.isBlocked = func(from, to, path string) bool { return strings.HasSuffix(path, "Release") }
		tc.mu.Unlock()
		number := tc.submit(a, object(structs.KindHost, "h0", 1, host(0, "b")))
		time.Sleep(6 * time.Second)
		assert.Equal(t, assignment("h0").Phase, structs.PhaseReleasing)
		tc.submit(a, object(structs.KindHost, "h0", number, host(0, "a")))
		time.Sleep(6 * time.Second)
		assert.Equal(t, assignment("h0").Phase, structs.PhaseActive)
		assert.Equal(t, assignment("h0").Pool, "a")
		planned.Store(true)
		time.Sleep(membership.DefaultUndoAfter + 10*time.Second)
		assert.Equal(t, assignment("h2").Phase, structs.PhaseActive)
		generation := assignment("h2").Generation
		assert.Assert(t, generation > 1)
		time.Sleep(UndoneBackoff / 2)
		assert.Equal(t, assignment("h2").Generation, generation)
	})
}

// fakeWaves counts the passes of waves and records the hosts that FinishAbandoned was called for.
type fakeWaves struct {
	mu        sync.Mutex
	runs      int
	abandoned map[string]bool
}

func (f *fakeWaves) Run(context.Context, structs.Wave) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs++
	return nil
}

func (f *fakeWaves) FinishAbandoned(_ context.Context, a structs.Assignment) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.abandoned[a.Host] = true
	return nil
}

func (f *fakeWaves) DeleteUndeclared(context.Context, map[string]*structs.Wave) error { return nil }

// Only the leader must run the declared waves, with one pass about every ReconcileInterval. A host that is out for a wave
// must be returned when the wave is withdrawn.
func TestLeaderRunsWaves(t *testing.T) {
	runWithCluster(t, func(t *testing.T, tc *testCluster) {
		waves := &fakeWaves{abandoned: make(map[string]bool)}
		tc.waves = waves
		a := tc.start("dc1-1", tc.platform.Handle(), nil)
		tc.start("dc1-2", tc.platform.Handle(), nil, "dc1-1")
		time.Sleep(4 * time.Second)
		number := tc.submit(a, object(structs.KindWave, "w", 0, structs.Wave{Name: "w", DataCentre: "dc1", MaxParallel: 1}))
		time.Sleep(10 * time.Second)
		waves.mu.Lock()
		assert.Assert(t, waves.runs >= 4 && waves.runs <= 10, "%d passes in 10 s", waves.runs)
		waves.mu.Unlock()
		_, err := a.members.Drain(t.Context(), "h0", "wave/w")
		if err != nil {
			_, err = tc.entryHosts["dc1-2"].members.Drain(t.Context(), "h0", "wave/w")
		}
		assert.NilError(t, err)
		tc.submit(a, structs.TicketObject{Kind: structs.KindWave, Name: "w", Base: number, Delete: true})
		time.Sleep(6 * time.Second)
		waves.mu.Lock()
		defer waves.mu.Unlock()
		assert.Assert(t, waves.abandoned["h0"])
	})
}

// The gauges must be registered once and follow the state of the controller.
func TestMetrics(t *testing.T) {
	runWithCluster(t, func(t *testing.T, tc *testCluster) {
		registry := prometheus.NewRegistry()
		tc.registry = registry
		tc.start("dc1-1", tc.platform.Handle(), nil)
		time.Sleep(3 * time.Second)
		values := make(map[string]float64)
		families, err := registry.Gather()
		assert.NilError(t, err)
		for _, f := range families {
			values[f.GetName()] = f.GetMetric()[0].GetGauge().GetValue()
		}
		assert.Equal(t, values["tamarack_controller_ready"], 1.0)
		assert.Equal(t, values["tamarack_controller_leader"], 1.0)
		assert.Equal(t, values["tamarack_controller_ticket_version"], 1.0)
	})
}

// A stop must keep the registration while requests to targets are in progress; otherwise a move would not wait for them.
func TestStopKeepsTheRegistrationWhileRequestsRun(t *testing.T) {
	runWithCluster(t, func(t *testing.T, tc *testCluster) {
		a := tc.start("dc1-1", tc.platform.Handle(), nil)
		a.opts.InProgress = func() int { return 1 }
		time.Sleep(3 * time.Second)
		assert.NilError(t, a.Stop(t.Context()))
		a.stopped = true
		_, err := tc.platform.Handle().Get(t.Context(), "entry/dc1/dc1-1")
		assert.NilError(t, err)
	})
}

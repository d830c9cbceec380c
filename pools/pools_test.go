package pools

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// machine returns a machine of 16 cores. With tasks, it has no free CPU.
func machine(id, pool string, tasks int) Machine {
	return Machine{
		Machine: workload.Machine{ID: id, Pool: pool, State: workload.MachineUp, Executor: "x" + id, Capacity: workload.Resources{CPUMilli: 16000}},
		Tasks:   tasks, Usable: true, Reachable: true, Reported: true, FreeCPU: 16000 - 16000*min(tasks, 1), IdleFor: 10 * time.Second,
	}
}

// standbyMachine returns a machine of the standby pool "off", without an executor.
func standbyMachine(id string) Machine {
	m := machine(id, "off", 0)
	m.Executor, m.Usable, m.FreeCPU = "", false, 0
	return m
}

// movesTo counts the moves to each pool.
func movesTo(actions []Action) map[string]int {
	moves := make(map[string]int)
	for _, a := range actions {
		if a.Kind == ActionMove {
			moves[a.Pool]++
		}
	}
	return moves
}

// Guards against work that waits while machines are in standby, and against taking more machines from standby than needed.
func TestWaitingWorkBringsStandbyMachines(t *testing.T) {
	s := Snapshot{Now: time.Second, Pools: []Pool{{Name: "a", Waiting: 14000}, {Name: "b"}, {Name: "off", Standby: true}}}
	for i := range 2 {
		s.Machines = append(s.Machines, machine(fmt.Sprint("a", i), "a", 3), machine(fmt.Sprint("b", i), "b", 1))
	}
	for i := range 6 {
		s.Machines = append(s.Machines, standbyMachine(fmt.Sprint("s", i)))
	}
	moves := movesTo(PlanMoves(s, NewArrivals()).Actions)
	// 14 core-seconds within 0.35 s need 40 cores, which are 2.5 machines.
	assert.DeepEqual(t, moves, map[string]int{"a": 3})
}

// Guards against the pool with the larger backlog getting all machines.
func TestMachinesAreSharedByNeed(t *testing.T) {
	s := Snapshot{Now: time.Second, Pools: []Pool{{Name: "a", Waiting: 90000}, {Name: "b", Waiting: 50000}, {Name: "off", Standby: true}}}
	s.Machines = append(s.Machines, machine("a0", "a", 3), machine("b0", "b", 3))
	for i := range 8 {
		s.Machines = append(s.Machines, standbyMachine(fmt.Sprint("s", i)))
	}
	moves := movesTo(PlanMoves(s, NewArrivals()).Actions)
	assert.Equal(t, moves["a"]+moves["b"], 8)
	assert.Assert(t, moves["b"] >= 1)
}

// Guards against a pool with fewer machines than its long-running steps require, and against idle machines that are paid for.
func TestIdleMachinesGoToStandbyDownToTheSpread(t *testing.T) {
	s := Snapshot{Now: time.Second, Pools: []Pool{{Name: "a", Spread: 5}, {Name: "off", Standby: true}}}
	for i := range 9 {
		s.Machines = append(s.Machines, machine(fmt.Sprint("a", i), "a", 0))
	}
	assert.DeepEqual(t, movesTo(PlanMoves(s, NewArrivals()).Actions), map[string]int{"off": 4})
}

// Guards against counting machines whose executor is unreachable towards the spread of long-running steps.
func TestUnreachableMachinesDoNotCountForTheSpread(t *testing.T) {
	s := Snapshot{Now: time.Second, Pools: []Pool{{Name: "a", Spread: 2, LongRunning: 1000}, {Name: "off", Standby: true}}}
	unreachable := machine("a1", "a", 1)
	unreachable.Usable, unreachable.Reachable, unreachable.FreeCPU = false, false, 0
	s.Machines = append(s.Machines, machine("a0", "a", 1), unreachable, standbyMachine("s0"), standbyMachine("s1"))
	s.Machines[0].FreeCPU = 8000
	assert.DeepEqual(t, movesTo(PlanMoves(s, NewArrivals()).Actions), map[string]int{"a": 1})
}

// Guards against long-running tasks that wait although there is free CPU, because every executor of their pool is to leave or
// has as many tasks of their step as the spread limit allows.
func TestUnplacedTasksBringAMachine(t *testing.T) {
	s := Snapshot{Now: time.Second, Pools: []Pool{{Name: "a", Spread: 1, Unplaced: 2, LongRunning: 2000}, {Name: "off", Standby: true}}}
	s.Machines = append(s.Machines, machine("a0", "a", 1), machine("a1", "a", 1), standbyMachine("s0"), standbyMachine("s1"))
	s.Machines[0].FreeCPU, s.Machines[1].FreeCPU = 12000, 12000
	assert.DeepEqual(t, movesTo(PlanMoves(s, NewArrivals()).Actions), map[string]int{"a": 1})
	incoming := standbyMachine("s2")
	incoming.Pool, incoming.State = "a", workload.MachineMoving
	s.Machines = append(s.Machines, incoming)
	assert.Equal(t, len(PlanMoves(s, NewArrivals()).Actions), 0, "a machine is on its way")
}

// Guards against a long-running task that waits for the end of a wave because no machine can be had but the cordoned ones of its pool,
// and against machines that are released although another one may still come.
func TestWaveReleasesAMachineForTasksWithoutAnother(t *testing.T) {
	w := &Wave{Wave: workload.Wave{Machines: []string{"a0", "a1", "b0"}, Duration: time.Minute, MaxAtOnce: 2}, Begun: map[string]bool{}}
	s := Snapshot{Waves: []*Wave{w}, Pools: []Pool{{Name: "a", Unplaced: 1, CordonedFit: "xa1", CordonedFitFor: time.Second}, {Name: "b"}}}
	s.Machines = append(s.Machines, machine("a0", "a", 2), machine("a1", "a", 2), machine("b0", "b", 2))
	for i := range s.Machines {
		s.Machines[i].Cordoned, s.Machines[i].LongRunning = true, 2
	}
	assert.Equal(t, len(PlanWaves(s)), 0)
	s.Pools[0].CordonedFitFor = 5 * time.Second
	actions := PlanWaves(s)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Kind, ActionUncordon)
	assert.Equal(t, actions[0].Machine, "a1")
}

// Guards against a wave that waits for ever for long-running tasks that have no other machine in their pool.
func TestTasksConfinedToACordonedMachineBringAMachine(t *testing.T) {
	s := Snapshot{Now: time.Second, Pools: []Pool{{Name: "a", Confined: 1}, {Name: "off", Standby: true}}}
	s.Machines = append(s.Machines, machine("a0", "a", 4), standbyMachine("s0"), standbyMachine("s1"))
	s.Machines[0].Cordoned = true
	assert.DeepEqual(t, movesTo(PlanMoves(s, NewArrivals()).Actions), map[string]int{"a": 1})
}

// Guards against jobs that stay queued for good: no machine is left in their pool, and their work is too little or too late to attract one.
func TestAnyWorkBringsAMachineToAPoolWithoutOne(t *testing.T) {
	unreachable, unreported := machine("a0", "a", 1), machine("a0", "a", 1)
	unreachable.Usable, unreachable.Reachable, unreachable.FreeCPU = false, false, 0
	unreported.Usable, unreported.Reachable, unreported.Reported = false, false, false
	for name, pool := range map[string]Pool{"too late": {TooLate: 1}, "late": {Late: 1}, "in time": {Waiting: 1}} {
		t.Run(name, func(t *testing.T) {
			pool.Name = "a"
			moves := func(own ...Machine) int {
				s := Snapshot{Now: time.Second, Pools: []Pool{pool, {Name: "b"}}}
				s.Machines = append(own, machine("b0", "b", 0), machine("b1", "b", 0), machine("b2", "b", 0))
				return movesTo(PlanMoves(s, NewArrivals()).Actions)["a"]
			}
			assert.Equal(t, moves(), 1)
			assert.Equal(t, moves(unreachable), 1)
			assert.Equal(t, moves(unreported), 0, "it may be usable")
			incoming := machine("b3", "a", 0)
			incoming.State = workload.MachineMoving
			assert.Equal(t, moves(incoming), 0)
			assert.Equal(t, moves(machine("a0", "a", 1)), 0, "its tasks will end")
		})
	}
}

// Guards against moving a machine on which a task runs.
func TestBusyMachinesStay(t *testing.T) {
	s := Snapshot{Now: time.Second, Pools: []Pool{{Name: "a", Waiting: 50000}, {Name: "b"}}}
	s.Machines = append(s.Machines, machine("a0", "a", 3), machine("b0", "b", 1), machine("b1", "b", 1))
	assert.Equal(t, len(PlanMoves(s, NewArrivals()).Actions), 0)
}

// Guards against a wave that has more than MaxAtOnce machines down, for example by not counting a machine whose maintenance an
// earlier owner ordered.
func TestWaveKeepsMaxAtOnce(t *testing.T) {
	w := &Wave{Wave: workload.Wave{Number: 1, Duration: 10 * time.Second, MaxAtOnce: 2}, Begun: map[string]bool{}}
	s := Snapshot{Now: 9 * time.Second, Waves: []*Wave{w}}
	for i := range 5 {
		id := fmt.Sprint("m", i)
		w.Machines = append(w.Machines, id)
		s.Machines = append(s.Machines, machine(id, "a", 0))
	}
	s.Machines[0].State = workload.MachineInMaintenance
	orders := 0
	for _, a := range PlanWaves(s) {
		if a.Kind == ActionMaintain {
			orders++
		}
	}
	assert.Equal(t, orders, 1)
}

// Guards against a wave that completes before each of its machines has begun its maintenance, and against one that never completes
// because a machine is gone.
func TestWaveCompletesWithItsLastMachine(t *testing.T) {
	w := &Wave{
		Wave: workload.Wave{Machines: []string{"m0", "gone"}, Duration: time.Minute}, Begun: map[string]bool{},
		Listed: map[string]bool{"m0": true, "gone": true}, Gone: map[string]bool{"gone": true},
	}
	s := Snapshot{Waves: []*Wave{w}, Machines: []Machine{machine("m0", "a", 0)}}
	assert.Equal(t, PlanWaves(s)[0].Kind, ActionMaintain)
	w.Begun["m0"] = true
	assert.Equal(t, PlanWaves(s)[0].Kind, ActionComplete)
}

// Guards against a wave that completes without a machine that the last list does not show, although that does not prove that it is out
// of service, and against one that stays open for a machine that does not exist.
func TestWaveAwaitsMachinesThatMayBeInService(t *testing.T) {
	yes := map[string]bool{"m1": true}
	for _, c := range []struct {
		name                string
		begun, listed, gone map[string]bool
		now                 time.Duration
		completes           bool
	}{
		{name: "not listed yet"},
		{name: "not listed yet, and the wave is late", now: 70 * time.Second},
		{name: "listed before", listed: yes},
		{name: "listed before and gone", listed: yes, gone: yes, completes: true},
		{name: "begun, then missing", begun: yes, listed: yes, completes: true},
		{name: "never listed, not in service", gone: yes, now: 41 * time.Second},
		{name: "never listed, not in service until the planned end", gone: yes, now: 43 * time.Second, completes: true},
	} {
		w := &Wave{Wave: workload.Wave{Machines: []string{"m0", "m1"}, Duration: time.Minute}, Begun: map[string]bool{"m0": true}, Listed: c.listed, Gone: c.gone}
		maps.Copy(w.Begun, c.begun)
		actions := PlanWaves(Snapshot{Now: c.now, Waves: []*Wave{w}, Machines: []Machine{machine("m0", "a", 0)}})
		assert.Equal(t, len(actions) == 1 && actions[0].Kind == ActionComplete, c.completes, c.name)
	}
}

// Guards against a wave that takes many machines down at once while work waits, although it has time.
func TestWaveIsSlowWhileWorkWaits(t *testing.T) {
	w := &Wave{Wave: workload.Wave{Duration: 60 * time.Second, MaxAtOnce: 10}, Begun: map[string]bool{}}
	s := Snapshot{Waves: []*Wave{w}, Pools: []Pool{{Name: "a", Waiting: 1000}}}
	for i := range 10 {
		id := fmt.Sprint("m", i)
		w.Machines = append(w.Machines, id)
		s.Machines = append(s.Machines, machine(id, "a", 0))
	}
	orders := 0
	for _, a := range PlanWaves(s) {
		if a.Kind == ActionMaintain {
			orders++
		}
	}
	assert.Equal(t, orders, 1)
}

// Guards against cordoning a machine of a pool that has long-running tasks which no executor can take.
func TestWaveSparesPoolsWithUnplacedTasks(t *testing.T) {
	w := &Wave{Wave: workload.Wave{Machines: []string{"a0", "b0"}, Duration: time.Minute, MaxAtOnce: 2}, Begun: map[string]bool{}}
	s := Snapshot{Waves: []*Wave{w}, Pools: []Pool{{Name: "a", Unplaced: 1}, {Name: "b"}}}
	s.Machines = append(s.Machines, machine("a0", "a", 2), machine("b0", "b", 2))
	actions := PlanWaves(s)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Machine, "b0")
	assert.Equal(t, actions[0].Kind, ActionCordon)
}

// Guards against the maintenance of a machine whose executor has not reported what it runs, for example right after a change of
// the owner: it may run tasks that must not be stopped.
func TestWaveWaitsForExecutorsToReport(t *testing.T) {
	w := &Wave{Wave: workload.Wave{Machines: []string{"a0"}, Duration: time.Minute}, Begun: map[string]bool{}}
	m := machine("a0", "a", 0)
	m.Reported, m.Usable, m.Reachable = false, false, false
	for _, a := range PlanWaves(Snapshot{Waves: []*Wave{w}, Machines: []Machine{m}}) {
		assert.Assert(t, a.Kind != ActionMaintain)
	}
}

// Guards against a rising burst that gets machines for its backlog only. The machines on their way then seem sufficient until
// the work that arrives meanwhile has become a backlog, which is one move too late.
func TestRisingBurstAsksForWhatArrivesDuringAMove(t *testing.T) {
	arrivals := NewArrivals()
	var moves map[string]int
	for tick := range 11 {
		full, incoming := machine("a0", "a", 4), standbyMachine("c0")
		full.FiniteCPU = 16000
		incoming.Pool, incoming.State = "a", workload.MachineMoving
		s := Snapshot{
			Now:      time.Duration(tick+1) * 100 * time.Millisecond,
			Pools:    []Pool{{Name: "a", Waiting: 4000, Arrived: int64(tick) * 6000}, {Name: "off", Standby: true}},
			Machines: []Machine{full, incoming},
		}
		for i := range 8 {
			s.Machines = append(s.Machines, standbyMachine(fmt.Sprint("s", i)))
		}
		moves = movesTo(PlanMoves(s, arrivals).Actions)
	}
	// Work for 60 cores arrives each second. Finite tasks use 16 cores, and 16 cores are on their way. The backlog of 4
	// core-seconds needs 11 more. The shortfall is 60 - 16 - 16 + 11 = 39 cores, which are 2.5 machines.
	assert.DeepEqual(t, moves, map[string]int{"a": 3})
}

// Guards against idle machines that are not moved to a pool with a backlog, or that are moved to standby and back, because
// the first machine of their pool has only just become idle.
func TestJustIdleMachineDoesNotBlockOthers(t *testing.T) {
	s := Snapshot{Now: time.Second, Pools: []Pool{{Name: "a"}, {Name: "b"}, {Name: "off", Standby: true}}}
	s.Machines = append(s.Machines, machine("a0", "a", 4))
	for i := range 5 {
		m := machine(fmt.Sprint("b", i), "b", 0)
		m.IdleFor = time.Second
		s.Machines = append(s.Machines, m)
	}
	s.Machines[1].IdleFor = 50 * time.Millisecond
	assert.DeepEqual(t, movesTo(PlanMoves(s, NewArrivals()).Actions), map[string]int{"off": 4})
	s.Pools[0].Waiting = 90000
	assert.DeepEqual(t, movesTo(PlanMoves(s, NewArrivals()).Actions), map[string]int{"a": 4})
}

// cordonedAfter plans a wave for a number of ticks and returns how many machines of each pool are cordoned at the end. The
// number of tasks on all machines changes with each tick, and so does the order of the machines.
func cordonedAfter(s Snapshot, ticks int) map[string]int {
	for tick := range ticks {
		for i := range s.Machines {
			s.Machines[i].Tasks = s.Machines[i].LongRunning + 1 + (tick+3*i)%7
		}
		for _, a := range PlanWaves(s) {
			if a.Kind == ActionCordon {
				s.Machines[slices.IndexFunc(s.Machines, func(m Machine) bool { return m.ID == a.Machine })].Cordoned = true
			}
		}
		s.Now += 100 * time.Millisecond
	}
	counts := make(map[string]int)
	for _, m := range s.Machines {
		if m.Cordoned {
			counts[m.Pool]++
		}
	}
	return counts
}

// Guards against a wave that cordons more and more machines in a burst, because the order of the machines changes with their
// tasks. In one run a tenth of the fleet was cordoned for ten seconds.
func TestWaveCordonsNoMoreMachinesThanNeeded(t *testing.T) {
	w := &Wave{Wave: workload.Wave{Duration: 60 * time.Second, MaxAtOnce: 4}, Begun: map[string]bool{}}
	s := Snapshot{Waves: []*Wave{w}, Pools: []Pool{{Name: "a", Waiting: 1000}}}
	for i := range 20 {
		id := fmt.Sprint("m", i)
		w.Machines = append(w.Machines, id)
		s.Machines = append(s.Machines, machine(id, "a", 1))
	}
	// 20 machines within 42 s (0.7 of 60 s), 2.5 s each, need two at a time.
	assert.DeepEqual(t, cordonedAfter(s, 50), map[string]int{"a": 2})
}

// Guards against several cordoned machines of a pool that wait for their long-running tasks, which may leave only one after
// another, and against a wave that is late because too few are cordoned.
func TestWaveCordonsNoMoreMachinesOfAPoolThanNeeded(t *testing.T) {
	for duration, want := range map[time.Duration]int{60 * time.Second: 1, 30 * time.Second: 2, 12 * time.Second: 4} {
		assert.DeepEqual(t, cordonedAfter(waveOfTwoPools(duration), 5), map[string]int{"a": want, "b": want})
	}
}

// waveOfTwoPools returns a wave of twelve machines with long-running tasks, six in each of two pools.
func waveOfTwoPools(duration time.Duration) Snapshot {
	w := &Wave{Wave: workload.Wave{Duration: duration, MaxAtOnce: 8}, Begun: map[string]bool{}}
	s := Snapshot{Waves: []*Wave{w}, Pools: []Pool{{Name: "a"}, {Name: "b"}}}
	for i := range 12 {
		id := fmt.Sprint("m", i)
		w.Machines = append(w.Machines, id)
		m := machine(id, []string{"a", "b"}[i%2], 1)
		m.LongRunning = 1
		s.Machines = append(s.Machines, m)
	}
	return s
}

// Guards against a wave that takes a machine of a pool with a backlog before one of a pool without.
func TestWaveLeavesPoolsInABurstForLast(t *testing.T) {
	w := &Wave{Wave: workload.Wave{Machines: []string{"a0", "b0"}, Duration: time.Minute, MaxAtOnce: 1}, Begun: map[string]bool{}}
	s := Snapshot{Waves: []*Wave{w}, Pools: []Pool{{Name: "a", Waiting: 1000}, {Name: "b"}}}
	s.Machines = append(s.Machines, machine("a0", "a", 2), machine("b0", "b", 8))
	actions := PlanWaves(s)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Machine, "b0")
}

// Replays the burst of one queue while another pool works off late jobs of the burst before. Guards against late work that keeps
// all machines, and against machines that yield in turn instead of becoming idle.
func TestLateWorkYieldsMachinesToABurst(t *testing.T) {
	s := Snapshot{Now: time.Second, Pools: []Pool{{Name: "a", Waiting: 10000}, {Name: "b", Late: 90000}, {Name: "off", Standby: true}}}
	s.Machines = append(s.Machines, machine("a0", "a", 4))
	s.Machines[0].FreeCPU = 0
	for i := range 6 {
		m := machine(fmt.Sprint("b", i), "b", 3+i%3)
		m.FreeCPU, m.FiniteCPU = 0, 16000
		s.Machines = append(s.Machines, m)
	}
	plan := PlanMoves(s, NewArrivals())
	assert.Equal(t, len(plan.Actions), 0)
	// 10 core-seconds within 0.35 s need 1.8 machines.
	assert.DeepEqual(t, plan.Yielding, []string{"b0", "b3"})
	for i := range s.Machines {
		s.Machines[i].Yielding = slices.Contains(plan.Yielding, s.Machines[i].ID)
		s.Machines[i].Tasks = 9 - s.Machines[i].Tasks
	}
	assert.DeepEqual(t, PlanMoves(s, NewArrivals()).Yielding, plan.Yielding)
	s.Machines[1].Tasks, s.Machines[1].FreeCPU, s.Machines[1].FiniteCPU, s.Machines[1].IdleFor = 0, 16000, 0, time.Second
	assert.DeepEqual(t, movesTo(PlanMoves(s, NewArrivals()).Actions), map[string]int{"a": 1})
	s.Pools[1] = Pool{Name: "b", Waiting: 90000}
	assert.Equal(t, len(PlanMoves(s, NewArrivals()).Yielding), 0, "the pool needs its machines itself")
}

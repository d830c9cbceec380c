package coordinator

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/pools"
	"github.com/tamarackworks/tamarackworks/workload"
)

// Guards against a new owner that delays orders for machines which its predecessor ordered long ago, or that orders a machine
// right after its predecessor did.
func TestOnlyRecentOrdersOfThePredecessorDelay(t *testing.T) {
	m := newMachineState(0)
	now, delay := 100*time.Second, 3*time.Second
	assert.NilError(t, m.inheritOrders([]byte(`{"old":90000,"new":99500}`), now, 100000, delay))
	assert.Assert(t, m.blockedUntil["old"] <= now)
	assert.Assert(t, m.blockedUntil["new"] >= now+delay-500*time.Millisecond)
}

// Replays an owner that is short of processor time: it learns that a move was confirmed only after it has asked for a list that shows
// the move's effect. Guards against taking the executor that joined the new pool for one that has ended, after which its tasks
// run twice.
func TestExecutorsOfMachinesWhoseMoveWasJustConfirmedGoOn(t *testing.T) {
	now := 10 * time.Second
	l := newTestLeadership(t.Context(), func() time.Duration { return now })
	list := []workload.Machine{{ID: "m", Pool: "b", State: workload.MachineUp, Executor: "new"}}
	l.core.PutExecutor(5*time.Second, workload.Executor{ID: "new", Service: "b"})
	l.executorRecords["new"] = executorRecord{Address: "a", Service: "b"}
	l.machines.confirmedAt["m"] = now
	l.handleMachineEvent(now, machineEvent{isList: true, list: list, sentAt: now - time.Second})
	_, known := l.executorRecords["new"]
	assert.Assert(t, known, "a list names the executor")
	l.handleMachineEvent(now, machineEvent{isList: true, list: nil, sentAt: now - time.Second})
	_, known = l.executorRecords["new"]
	assert.Assert(t, !known, "no list names it")
}

// Guards against taking an executor for ended, after which its tasks run twice, because it was starting again under its ID when the
// list that verifies an order for its machine was made. The order had been carried out before the executor joined.
func TestExecutorsThatAListLeavesOutWhileTheyRestartGoOn(t *testing.T) {
	now := 10 * time.Second
	l := newTestLeadership(t.Context(), func() time.Duration { return now })
	l.core.PutExecutor(5*time.Second, workload.Executor{ID: "x", Service: "b"})
	l.executorRecords["x"] = executorRecord{Address: "a", Service: "b"}
	l.core.Report(now, "x", workload.Report{BornUnixMS: 2}, now, 0)
	l.machines.confirmedAt["m"], l.machines.unverified["m"] = 9*time.Second, "x"
	list := []workload.Machine{{ID: "m", Pool: "b", State: workload.MachineUp}}
	l.handleMachineEvent(now, machineEvent{isList: true, list: list, sentAt: now - 100*time.Millisecond})
	_, known := l.executorRecords["x"]
	assert.Assert(t, known, "the owner is in contact with the executor")
	l.core.LoseContact(now, "x", false)
	now += time.Second
	list[0].State = workload.MachineDown
	l.handleMachineEvent(now, machineEvent{isList: true, list: list, sentAt: now})
	_, known = l.executorRecords["x"]
	assert.Assert(t, !known, "no list names it, its machine is down, and it does not respond")
}

// Guards against a new owner that does not learn the turns of pools from the jobs that it loads, and against returns to standby that are
// not counted as reversed.
func TestANewOwnerLearnsTurnsFromLoadedJobs(t *testing.T) {
	now := 100 * time.Second
	l := newTestLeadership(t.Context(), func() time.Duration { return now })
	l.machines.pools = []workload.Service{{Name: "a"}, {Name: "b"}, {Name: "off", Standby: true}}
	for at := now - 45*time.Second; at < now; at += 50 * time.Millisecond {
		pool := []string{"a", "b"}[int(at/(10*time.Second))%2]
		l.machines.turns.addPast(&workload.Job{Service: pool, Steps: []workload.Step{{Count: 1, Size: workload.Resources{CPUMilli: 1000}, Estimate: 1000}}}, at)
	}
	l.replayArrivals(now)
	right, wrong := l.machines.arrivals.Forecasts()
	assert.Assert(t, right >= 2 && wrong == 0, "%d right, %d wrong", right, wrong)
	l.countMove(now, pools.Action{Kind: pools.ActionMove, Machine: "m", Pool: "off"})
	l.countMove(now+4*time.Second, pools.Action{Kind: pools.ActionMove, Machine: "m", Pool: "a"})
	l.countMove(now+4*time.Second, pools.Action{Kind: pools.ActionMove, Machine: "n", Pool: "a", Ahead: true})
	assert.Equal(t, testutil.ToFloat64(l.opts.Metrics.returns.WithLabelValues("reversed")), 1.0)
	assert.Equal(t, testutil.ToFloat64(l.opts.Metrics.calledAhead), 1.0)
}

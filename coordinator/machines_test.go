package coordinator

import (
	"context"
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

// Guards against tasks on a machine that is being moved: the order was carried out, its response was lost, and the service rejects the next
// attempt because the machine moves already. Only a list that was requested later tells whether it stayed.
func TestMachinesWithAnUnansweredOrderStayCordonedUntilAListTells(t *testing.T) {
	for _, moved := range []bool{false, true} {
		now := 10 * time.Second
		l := newTestLeadership(t.Context(), func() time.Duration { return now })
		l.core.PutExecutor(now, workload.Executor{ID: "x", Service: "a"})
		l.executorRecords["x"] = executorRecord{Address: "a", Service: "a"}
		l.core.Report(now, "x", workload.Report{BornUnixMS: 2}, now, 0)
		machine := workload.Machine{ID: "m", Pool: "a", State: workload.MachineUp, Executor: "x"}
		list := func(sentAt time.Duration, m workload.Machine) {
			l.handleMachineEvent(now, machineEvent{isList: true, list: []workload.Machine{m}, pages: 1, sentAt: sentAt})
		}
		cordoned := func() bool { return len(l.core.Usages(now)) == 1 && l.core.Usages(now)[0].Cordoned }
		list(now, machine)
		now += time.Second
		a := pools.Action{Kind: pools.ActionMove, Machine: "m", Pool: "b"}
		l.executeMachineAction(now, a)
		now += time.Second
		l.handleMachineEvent(now, machineEvent{action: a, unanswered: true, err: pools.ErrRejected})
		list(now-100*time.Millisecond, machine)
		assert.Assert(t, cordoned(), "the list is older than the outcome")
		now += time.Second
		if moved {
			machine.Pool, machine.State, machine.Executor = "b", workload.MachineMoving, ""
		}
		list(now, machine)
		_, known := l.executorRecords["x"]
		assert.Equal(t, known, !moved)
		assert.Assert(t, !cordoned())
	}
}

// Guards against an order that counts as not carried out because its last attempt was rejected, although an earlier one had no response.
func TestOrdersTellWhetherAnAttemptHadNoResponse(t *testing.T) {
	l := newTestLeadership(t.Context(), func() time.Duration { return 0 })
	for _, c := range []struct {
		responses  []error
		unanswered bool
	}{
		{[]error{pools.ErrRejected}, false},
		{[]error{pools.ErrNotDone, pools.ErrRejected}, false},
		{[]error{pools.ErrNoResponse, pools.ErrRejected}, true},
	} {
		l.opts.Machines = &scriptedOrders{responses: c.responses}
		go l.sendOrder(pools.Action{Kind: pools.ActionMove, Machine: "m", Pool: "b"})
		e := (<-l.events).(machineEvent)
		assert.ErrorIs(t, e.err, pools.ErrRejected)
		assert.Equal(t, e.unanswered, c.unanswered)
	}
}

// scriptedOrders is a machine service that responds to moves in turn.
type scriptedOrders struct {
	Machines
	responses []error
}

func (s *scriptedOrders) Move(context.Context, pools.Order) error {
	err := s.responses[0]
	s.responses = s.responses[1:]
	return err
}

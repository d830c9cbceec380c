package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// Guards against a gang that starts in part, and against members with different run numbers.
func TestGangsStartWholeOrNotAtAll(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("blocker", batchStep(1, 3000))
	gang := workload.Step{Count: 3, Size: workload.Resources{CPUMilli: 2000}, Estimate: 500, Gang: true}
	h.submit("gang", gang)
	assert.Equal(t, len(h.starts), 1, "two of three members would fit")
	h.end(taskID("blocker", 0, 0), workload.EndDone)
	assert.Equal(t, len(h.starts), 4)
	for _, s := range h.starts[1:] {
		assert.Equal(t, s.Run, h.starts[1].Run)
	}
}

// Guards against a gang that is done in part, and against one that does not start again as a whole after a member fails.
func TestGangsEndAsOne(t *testing.T) {
	h := newHarness(t, 3)
	h.submit("gang", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 3000}, Estimate: 500, Gang: true})
	h.end(taskID("gang", 0, 0), workload.EndFailed)
	assert.Equal(t, len(h.starts), 2, "the other member still runs")
	h.end(taskID("gang", 0, 1), workload.EndGangBroken)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 4)
	assert.Assert(t, h.starts[2].Run > h.starts[0].Run && h.starts[2].Run == h.starts[3].Run)
	h.end(taskID("gang", 0, 0), workload.EndDone)
	assert.Equal(t, h.core.jobs["gang"].status, workload.StatusCompleted)
}

// Guards against a gang that asks for one rack but is spread over several although one has room.
func TestCoupledGangsStayInOneRack(t *testing.T) {
	h := newHarness(t, 0)
	for _, id := range []string{"x0", "x1", "x2", "x3"} {
		h.running[id] = make(map[workload.TaskID]workload.RunningTask)
		rack := "r1"
		if id == "x1" || id == "x3" {
			rack = "r2"
		}
		h.core.PutExecutor(h.now, workload.Executor{ID: id, Service: service, Capacity: size, Rack: rack})
		h.report(id)
	}
	h.submit("gang", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 3000}, Estimate: 500, Gang: true, OneRack: true})
	racks := map[string]bool{}
	for _, s := range h.starts {
		racks[h.core.executors[s.Executor].info.Rack] = true
	}
	assert.Equal(t, len(h.starts), 2)
	assert.Equal(t, len(racks), 1)
}

// Guards against occurrences of a recurring job that start early or wait for the end of the previous one.
func TestRepeatedJobsStartOnTimeAndOverlap(t *testing.T) {
	h := newHarness(t, 2)
	err := h.core.AddJob(h.now, &workload.Job{
		ID: "j", Route: "queue", Service: service, ConfigVersion: 1, Steps: []workload.Step{batchStep(1, 1000)},
		Recurrence: &workload.Recurrence{Count: 3, FirstUnixMS: 10000, Interval: 2000},
	}, nil, 0, false)
	assert.NilError(t, err)
	for h.now < 9900*time.Millisecond {
		h.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(h.starts), 0)
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.starts), 1)
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.starts), 2, "occurrences may overlap")
	h.advance(2 * time.Second)
	for k := range 3 {
		h.end(workload.TaskID{Job: "j", Occurrence: k}, workload.EndDone)
	}
	assert.Equal(t, h.core.jobs["j"].status, workload.StatusCompleted)
}

// Guards against a start without a permit, and against a second request for a step while one is open.
func TestStepsWaitForPermits(t *testing.T) {
	h := newHarness(t, 2)
	h.core.Configure(h.now, &workload.Configuration{Version: 2, Services: []workload.Service{{Name: service}}, Routes: []workload.Route{
		{Name: "queue", Service: service, Policy: workload.Policy{Permits: &workload.PermitPolicy{Validity: 3000}}},
	}})
	h.submit("j", batchStep(2, 1000))
	assert.Equal(t, len(h.starts), 0)
	requests := h.core.PermitRequests(h.now)
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, len(h.core.PermitRequests(h.now)), 0)
	h.core.PutPermits(h.now, requests[0].Step, map[string]string{"x1": "permit"}, 3*time.Second)
	h.runCommands()
	assert.Equal(t, len(h.starts), 2)
	for _, s := range h.starts {
		assert.Equal(t, s.Executor, "x1")
		assert.Equal(t, s.Permit, "permit")
	}
}

// withPermits makes permits of the advice service necessary for a second queue, "restricted", of the service.
func (h *harness) withPermits(p workload.PermitPolicy) {
	h.core.Configure(h.now, &workload.Configuration{
		Version: 2, Services: []workload.Service{{Name: service, ChecksCapacity: true}}, Routes: []workload.Route{
			{Name: "queue", Service: service, Policy: workload.Policy{MaxAttempts: 2, SlackFactor: 2, Objective: 500}},
			{Name: "restricted", Service: service, Policy: workload.Policy{MaxAttempts: 2, SlackFactor: 2, Objective: 500, Permits: &p}},
		},
	})
}

// addRestrictedJob adds a job of the queue "restricted" without scheduling it.
func (h *harness) addRestrictedJob(id string, steps ...workload.Step) {
	h.addTo("restricted", "", id, steps...)
}

// Guards against tasks of a queue without permits that stay off idle executors, because a task of their size that ranks before them has
// no permit.
func TestTasksWithoutPermitsDoNotBlockOthersOfTheirSize(t *testing.T) {
	h := newHarness(t, 3)
	h.withPermits(workload.PermitPolicy{Validity: 3000})
	h.addRestrictedJob("lasting", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 500}, LongRunning: true})
	h.addRestrictedJob("finite", batchStep(1, 500))
	h.runCommands()
	h.submit("j", batchStep(2, 500))
	assert.Equal(t, len(h.starts), 2)
	for _, s := range h.starts {
		assert.Equal(t, s.Task.Job, "j")
	}
}

// Guards against more tasks of a step on one executor than MaxPerExecutor allows, and against a start on an executor without
// the required label.
func TestSpreadAndLabels(t *testing.T) {
	h := newHarness(t, 2)
	h.core.PutExecutor(h.now, workload.Executor{ID: "x0", Service: service, Capacity: size, Labels: []string{"fast"}})
	h.submit("spread", workload.Step{Count: 3, Size: workload.Resources{CPUMilli: 500}, MaxPerExecutor: 1})
	assert.Equal(t, len(h.starts), 2)
	h.submit("label", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 500}, Label: "fast"})
	assert.Equal(t, h.starts[2].Executor, "x0")
}

// Guards against a task that starts from the beginning although it has a checkpoint.
func TestCheckpointsAreCarriedToTheNextRun(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 500}, Estimate: 500, WritesCheckpoints: true})
	x := h.running[h.starts[0].Executor][taskID("j", 0, 0)]
	x.Checkpoint = "cp1"
	h.running[h.starts[0].Executor][taskID("j", 0, 0)] = x
	h.report(h.starts[0].Executor)
	h.end(taskID("j", 0, 0), workload.EndLeaseExpired)
	assert.Equal(t, h.starts[1].Checkpoint, "cp1")
}

// Guards against tasks of a cancelled job that run on, and against a cancellation that is lost because it arrives before its job.
func TestCancelledJobsStop(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Cancel(h.now, "early")
	h.submit("early", batchStep(1, 500))
	assert.Equal(t, len(h.starts), 0)
	h.submit("j", batchStep(2, 500))
	h.core.Cancel(h.now, "j")
	h.runCommands()
	assert.Equal(t, len(h.stops), 2)
	h.end(taskID("j", 0, 0), workload.EndStopped)
	assert.Equal(t, len(h.starts), 2)
}

// Guards against an executor on which tasks fail at once and that gets all tasks because it is always empty.
func TestFailingExecutorsCoolDown(t *testing.T) {
	h := newHarness(t, 2)
	for _, id := range []string{"a", "b", "c"} {
		h.submit(id, batchStep(1, 3000))
	}
	first := h.starts[0].Executor
	h.end(h.starts[0].Task, workload.EndFailed)
	h.advance(400 * time.Millisecond)
	for _, s := range h.starts[2:] {
		if s.Executor == first {
			h.end(s.Task, workload.EndFailed)
			break
		}
	}
	n := len(h.starts)
	h.advance(time.Second)
	for _, s := range h.starts[n:] {
		assert.Assert(t, s.Executor != first, "a failing executor got %v", s.Task)
	}
}

// Guards against tasks that stay on an executor on which they make no progress.
func TestTasksWithoutProgressMove(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", batchStep(1, 1000))
	first := h.starts[0].Executor
	for n := 0; n < 40 && len(h.stops) == 0; n++ {
		h.now += 100 * time.Millisecond
		h.report(first)
		h.advance(0)
	}
	assert.Equal(t, len(h.stops), 1)
	h.end(taskID("j", 0, 0), workload.EndStopped)
	assert.Assert(t, h.starts[1].Executor != first)
}

// Guards against a task that never starts again because the only executor that MaxPerExecutor allows is the one on which it
// failed.
func TestTasksReturnToTheOnlyExecutorLeft(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 500}, LongRunning: true, MaxPerExecutor: 1})
	h.end(taskID("j", 0, 0), workload.EndFailed)
	for range 50 {
		h.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(h.starts), 3)
}

// Guards against long-running tasks that are missing in Demand.Unplaced because there is room, although MaxPerExecutor keeps them
// off the executors with room.
func TestUnplacedLongRunningTasksAreReported(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", workload.Step{Count: 3, Size: workload.Resources{CPUMilli: 500}, LongRunning: true, MaxPerExecutor: 1})
	assert.Equal(t, h.core.Demands(h.now)[service].Unplaced, 1)
	h.addExecutor("x9", size)
	h.advance(100 * time.Millisecond)
	assert.Equal(t, h.core.Demands(h.now)[service].Unplaced, 0)
}

// Guards against a long-running task that never starts again: it failed while all executors of its service were cordoned, so that no
// pass looked for one, and no machine was moved to the pool.
func TestLongRunningTasksAreUnplacedWhileNoExecutorAcceptsTasks(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("j", workload.Step{Count: 4, Size: workload.Resources{CPUMilli: 500}, LongRunning: true, MaxUnavailable: 1})
	h.reportServing()
	h.core.Cordon(h.now, "x0", true)
	h.end(taskID("j", 0, 1), workload.EndFailed)
	h.advance(5 * time.Second)
	assert.Equal(t, h.core.Demands(h.now)[service].Unplaced, 1)
	h.addExecutor("x1", size)
	h.advance(100 * time.Millisecond)
	assert.Equal(t, h.core.Demands(h.now)[service].Unplaced, 0)
	assert.Equal(t, h.executorOf(taskID("j", 0, 1)), "x1")
}

// Guards against long-running tasks that wait for ever because their pool has no executor at all.
func TestLongRunningTasksAreUnplacedWithoutExecutors(t *testing.T) {
	h := newHarness(t, 0)
	h.submit("j", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 500}, LongRunning: true})
	h.advance(time.Second)
	assert.Assert(t, h.core.Demands(h.now)[service].Unplaced > 0)
}

// Guards against a wave that never ends: the long-running tasks of a cordoned executor have no other executor, nothing asks for
// one, and none of them leaves.
func TestLongRunningTasksThatCannotLeaveACordonedExecutorAreReported(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("j", workload.Step{Count: 3, Size: workload.Resources{CPUMilli: 500}, LongRunning: true, MaxUnavailable: 1})
	h.reportServing()
	h.core.Cordon(h.now, "x0", true)
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.stops), 0)
	assert.Assert(t, h.core.Demands(h.now)[service].Confined > 0)
	h.addExecutor("x1", size)
	for range 10 {
		h.advance(100 * time.Millisecond)
		assert.Equal(t, h.core.Demands(h.now)[service].Confined, 0)
		for _, stop := range h.stops {
			if h.executorOf(stop.Task) == "x0" {
				h.end(stop.Task, workload.EndStopped)
			}
		}
		h.reportServing()
	}
	assert.Assert(t, h.core.Idle("x0"))
}

// Guards against a long-running task that waits although a cordoned executor has room, when no other machine can be had, and against
// cordons that end for tasks which the executor cannot take.
func TestCordonedExecutorsThatCouldTakeAWaitingTaskAreReported(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("j", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 500}, LongRunning: true, MaxUnavailable: 1})
	h.reportServing()
	h.core.Cordon(h.now, "x0", true)
	h.submit("large", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 5000}, LongRunning: true})
	h.advance(time.Second)
	assert.Equal(t, h.core.Demands(h.now)[service].CordonedFit, "")
	h.end(taskID("j", 0, 1), workload.EndFailed)
	h.advance(5 * time.Second)
	assert.Equal(t, h.core.Demands(h.now)[service].CordonedFit, "x0")
	h.advance(2 * time.Second)
	assert.Equal(t, h.core.Demands(h.now)[service].CordonedFitFor, 2*time.Second)
	h.core.Cordon(h.now, "x0", false)
	h.advance(100 * time.Millisecond)
	assert.Equal(t, h.executorOf(taskID("j", 0, 1)), "x0")
	assert.Equal(t, h.core.Demands(h.now)[service].CordonedFit, "")
}

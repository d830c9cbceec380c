package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// refusedAlthoughItRuns starts the only task of job j on an executor that carries the order out although its outcome is a refusal.
func refusedAlthoughItRuns(h *harness) StartTask {
	h.addJob("j", batchStep(1, 3000))
	h.core.Schedule(h.now, h.now)
	start := h.core.Commands()[0].(StartTask)
	h.now += 100 * time.Millisecond
	h.core.Started(h.now, start.Executor, start.Task, start.Run, StartRefused, "expired")
	h.running[start.Executor][start.Task] = workload.RunningTask{Task: start.Task, Run: start.Run}
	return start
}

// Guards against two runs of a task at once: a waiting task starts although a report shows that the run that was taken to be gone goes on.
func TestPendingTasksDoNotStartBesideAReportedRun(t *testing.T) {
	h := newHarness(t, 2)
	for _, id := range []string{"x0", "x1"} {
		h.core.Suspend(h.now, id, id == "x1")
	}
	start := refusedAlthoughItRuns(h)
	h.report(start.Executor)
	h.core.Suspend(h.now, "x1", false)
	h.advance(600 * time.Millisecond)
	assert.Equal(t, len(h.starts), 0, "starts: %v while run %d goes on at %s", h.starts, start.Run, start.Executor)
	assert.Equal(t, len(h.stops), 0, "the run is wanted again")
	h.end(start.Task, workload.EndDone)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 0)
	assert.Equal(t, h.core.jobs["j"].status, workload.StatusCompleted)
}

// Guards against tasks beyond the capacity of an executor on which an unwanted run still stops.
func TestUnwantedRunsCountAsLoad(t *testing.T) {
	h := newHarness(t, 1)
	unwanted := workload.RunningTask{Task: taskID("unknown", 0, 0), Run: 1}
	h.running["x0"][unwanted.Task] = unwanted
	h.report("x0")
	assert.Equal(t, len(h.stops), 1)
	assert.Check(t, !h.core.Idle("x0"), "the machine counts as idle and may be moved")
	assert.Check(t, h.core.Usages(h.now)[0].Tasks > 0, "usage: %+v", h.core.Usages(h.now)[0])
	h.submit("j", batchStep(1, size.CPUMilli))
	assert.Equal(t, len(h.starts), 0, "the task fills the executor while the unwanted run is still there")
	delete(h.running["x0"], unwanted.Task)
	h.report("x0")
	h.runCommands()
	assert.Equal(t, len(h.starts), 1)
}

// Guards against a run of a cancelled task that goes on: the next incarnation of the executor carries its start out after the stop was answered.
func TestRunsCarriedOutAfterAnAnsweredStopAreStoppedAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob("j", batchStep(1, 3000))
	h.core.Schedule(h.now, h.now)
	start := h.core.Commands()[0].(StartTask)
	h.core.Cancel(h.now, "j")
	h.runCommands()
	assert.Equal(t, len(h.stops), 1)
	h.now += 100 * time.Millisecond
	h.core.Report(h.now, "x0", workload.Report{BornUnixMS: 2, Running: []workload.RunningTask{{Task: start.Task, Run: start.Run}}}, h.now-time.Millisecond, 0)
	h.runCommands()
	assert.Equal(t, len(h.stops), 2, "no stop reaches the new incarnation")
}

package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// endUnlisted ends the runs of tasks on their executors, which do not list these ends yet.
func (h *harness) endUnlisted(tasks ...workload.TaskID) {
	for _, task := range tasks {
		delete(h.running[h.executorOf(task)], task)
	}
}

// reportCut sends a report of an executor that shows its runs and lists no further end, although there are more.
func (h *harness) reportCut(id string) {
	r := workload.Report{BornUnixMS: 1, MoreEnds: true}
	for _, x := range h.running[id] {
		r.Running = append(r.Running, x)
	}
	h.now += time.Millisecond
	h.core.Report(h.now, id, r, h.now, h.ends[id])
	h.runCommands()
}

// reportCutFor sends such reports for a time.
func (h *harness) reportCutFor(id string, d time.Duration) {
	for end := h.now + d; h.now < end; h.advance(100 * time.Millisecond) {
		h.reportCut(id)
	}
}

// Guards against tasks that run twice, stops of runs that have ended, and executors that get no tasks: a run has ended beyond the ends
// that its executor lists, so that no report shows it.
func TestRunsThatEndBeyondTheListAreNotGone(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", batchStep(3, 1000))
	id := h.executorOf(taskID("j", 0, 0))
	h.endUnlisted(taskID("j", 0, 0), taskID("j", 0, 1))
	h.reportCutFor(id, 10*time.Second)
	assert.Equal(t, len(h.starts), 3)
	for _, s := range h.stops {
		assert.Equal(t, s.Task, taskID("j", 0, 2), "only this task runs without progress")
	}
	assert.Assert(t, !h.core.Idle(id))
	delete(h.running[id], taskID("j", 0, 2))
	h.report(id, workload.EndedTask{Task: taskID("j", 0, 0), Run: 1, Outcome: workload.EndDone}, workload.EndedTask{Task: taskID("j", 0, 1), Run: 1, Outcome: workload.EndDone},
		workload.EndedTask{Task: taskID("j", 0, 2), Run: 1, Outcome: workload.EndDone})
	assert.Equal(t, h.core.jobs["j"].status, workload.StatusCompleted)
	assert.Equal(t, len(h.starts), 3)
	assert.Assert(t, h.core.Idle(id))
}

// Guards against a run that stays lost: it is gone without an end, and the first reports without it may not list all ends.
func TestRunsThatACompleteListLacksStartAgain(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("j", batchStep(1, 1000))
	h.endUnlisted(taskID("j", 0, 0))
	h.reportCutFor("x0", time.Second)
	assert.Equal(t, len(h.starts), 1)
	h.report("x0")
	assert.Equal(t, len(h.starts), 2)
}

// Guards against tasks of an earlier owner that run twice: the executor has reported, but may not have listed all their ends.
func TestInheritedTasksWaitForCompleteLists(t *testing.T) {
	h := newOwner(t, 1, RouteHistory{Observed: 1})
	h.core.AddUnreconciled(h.now, "x0", service, nil)
	h.inheritJob("j", 1, batchStep(2, 1000))
	h.core.EndExecutor(h.now, "old")
	h.reportCut("x0")
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 0)
	h.report("x0", workload.EndedTask{Task: taskID("j", 0, 0), Run: 1, Outcome: workload.EndDone})
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Task, taskID("j", 0, 1))
}

// Guards against an executor that is never idle again because it fell silent while it did not list all ends.
func TestExpiredLeasesEndTheWaitForUnlistedEnds(t *testing.T) {
	h := newHarness(t, 1)
	h.reportCut("x0")
	assert.Assert(t, !h.core.Idle("x0"))
	h.core.LoseContact(h.now, "x0", false)
	h.core.ExpireLeases(h.now, "x0")
	assert.Assert(t, h.core.Idle("x0"))
}

// Guards against the stop of a long-running task while another one of its step may have ended: that one does not count as serving.
func TestUnlistedTasksDoNotCountAsServing(t *testing.T) {
	h := newHarness(t, 0)
	for n := range 3 {
		h.addExecutor(fmt.Sprintf("x%d", n), size)
	}
	h.submit("j", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 500}, LongRunning: true, MaxUnavailable: 1, MaxPerExecutor: 1})
	h.reportServing()
	first, second := h.executorOf(taskID("j", 0, 0)), h.executorOf(taskID("j", 0, 1))
	h.endUnlisted(taskID("j", 0, 0))
	h.reportCut(first)
	h.core.Cordon(h.now, second, true)
	h.reportCutFor(first, time.Second)
	assert.Equal(t, len(h.stops), 0)
}

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

// Guards against more than the cap of an organisation: runs of a job that a former owner cancelled still stop on an executor that has reported.
func TestStoppingRunsOfFinalInheritedJobsCountTowardsTheCap(t *testing.T) {
	h := newHarness(t, 0)
	h.core.Configure(h.now, &workload.Configuration{
		Version: 2, Services: []workload.Service{{Name: service, ChecksCapacity: true}},
		Routes:        []workload.Route{{Name: "queue", Service: service, Policy: workload.Policy{MaxAttempts: 2, SlackFactor: 2, Objective: 500}}},
		Organisations: []workload.Organisation{{Name: "o", Cap: workload.Resources{CPUMilli: 3000}}},
	})
	h.core.AddUnreconciled(h.now, "x0", service, nil)
	spec := &workload.Job{ID: "old", Route: "queue", Service: service, ConfigVersion: 1, Organisation: "o", Steps: []workload.Step{batchStep(1, 3000)}}
	assert.NilError(t, h.core.AddJob(h.now, spec, &Record{Status: workload.StatusCancelled}, 1, true))
	h.addExecutor("x1", size)
	h.addJobFor("o", "new", batchStep(1, 3000))
	h.runCommands()
	assert.Equal(t, len(h.starts), 0, "the unreconciled executor may run 3 cores of the organisation")
	h.running["x0"] = map[workload.TaskID]workload.RunningTask{taskID("old", 0, 0): {Task: taskID("old", 0, 0), Run: 1}}
	h.core.PutExecutor(h.now, workload.Executor{ID: "x0", Service: service, Capacity: size, Kind: "a", Rack: "r"})
	h.report("x0")
	assert.Equal(t, len(h.stops), 1)
	assert.Equal(t, len(h.starts), 0, "starts: %v while the run on x0 stops", h.starts)
	clear(h.running["x0"])
	h.report("x0")
	assert.Equal(t, len(h.starts), 1, "the run on x0 is gone")
}

// Guards against a cap that stays used up after the executor of a stopping run has ended.
func TestUnwantedRunsOfAnEndedExecutorDoNotCountTowardsTheCap(t *testing.T) {
	h := newHarness(t, 0)
	h.setOrganisation(2, workload.Organisation{Name: "o", Cap: workload.Resources{CPUMilli: 3000}})
	spec := &workload.Job{ID: "old", Route: "queue", Service: service, ConfigVersion: 1, Organisation: "o", Steps: []workload.Step{batchStep(1, 3000)}}
	assert.NilError(t, h.core.AddJob(h.now, spec, &Record{Status: workload.StatusCancelled}, 1, true))
	h.addExecutor("x0", size)
	h.addExecutor("x1", size)
	h.running["x0"] = map[workload.TaskID]workload.RunningTask{taskID("old", 0, 0): {Task: taskID("old", 0, 0), Run: 1}}
	h.report("x0")
	h.submitFor("o", "new", batchStep(1, 3000))
	assert.Equal(t, len(h.starts), 0)
	h.core.LoseContact(h.now, "x0", true)
	h.core.EndExecutor(h.now, "x0")
	h.runCommands()
	assert.Equal(t, len(h.starts), 1)
}

// Guards against a job that fails although its task may never have run: an executor restarts twice within a poll while a start is unclear.
func TestUnclearStartsAreNotBlamedForASecondRestart(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob("j", batchStep(1, 3000))
	h.core.Schedule(h.now, h.now)
	start := h.core.Commands()[0].(StartTask)
	h.now += 100 * time.Millisecond
	h.core.Report(h.now, "x0", workload.Report{BornUnixMS: 2}, h.now-time.Millisecond, 0)
	h.now += 100 * time.Millisecond
	h.core.Started(h.now, "x0", start.Task, start.Run, StartUnclear, "unclear")
	h.now += time.Second
	h.core.Report(h.now, "x0", workload.Report{BornUnixMS: 3}, h.now-time.Millisecond, 0)
	assert.Equal(t, h.core.jobs["j"].status, workload.StatusQueued, "crashes: %+v", h.core.jobs["j"].occs[0].steps[0].tasks[0].crashes)
}

package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/workload"
)

// model drives a core with random events and checks each start against its own account of jobs and executors.
type model struct {
	*harness
	rt   *rapid.T
	jobs map[string]*modelJob
	// unreachable holds the executors without contact.
	unreachable map[string]bool
	// executors is the number of executors added so far.
	executors int
	// checkedStarts is the number of starts that check has looked at.
	checkedStarts int
}

// modelJob is a submitted job and the ends of its tasks.
type modelJob struct {
	steps []workload.Step
	done  map[workload.TaskID]bool
	// failed is the number of failed runs of each task.
	failed map[workload.TaskID]int
	// crashes is the number of executors that crashed under each task.
	crashes   map[workload.TaskID]int
	cancelled bool
	// organisation is "capped" or empty.
	organisation string
}

// modelCap is the cap of the organisation "capped".
var modelCap = workload.Resources{CPUMilli: 6000}

func newModel(rt *rapid.T) *model {
	h := newHarness(rt, 3)
	config := *h.core.config
	config.Version, config.Organisations = 2, []workload.Organisation{{Name: "capped", Cap: modelCap}}
	h.core.Configure(h.now, &config)
	return &model{harness: h, rt: rt, jobs: make(map[string]*modelJob), unreachable: make(map[string]bool), executors: 3}
}

// drawKey draws a key of a map. It sorts the keys first, so that a run can be reproduced from its seed.
func drawKey[V any](rt *rapid.T, m map[string]V, label string) string {
	if len(m) == 0 {
		rt.Skip("none")
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(m))).Draw(rt, label)
}

func (m *model) submitJob(rt *rapid.T) {
	if len(m.jobs) >= 12 {
		rt.Skip("enough jobs")
	}
	id := fmt.Sprintf("job%d", len(m.jobs))
	steps := make([]workload.Step, rapid.IntRange(1, 3).Draw(rt, "steps"))
	for i := range steps {
		steps[i] = batchStep(rapid.IntRange(1, 5).Draw(rt, "count"), 500*rapid.IntRange(1, 8).Draw(rt, "half cores"))
		if i > 0 && rapid.Bool().Draw(rt, "after") {
			steps[i].After = []int{rapid.IntRange(0, i-1).Draw(rt, "earlier")}
		}
		steps[i].MaxPerExecutor = rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(rt, "spread")
	}
	m.jobs[id] = &modelJob{
		steps: steps, done: make(map[workload.TaskID]bool), failed: make(map[workload.TaskID]int), crashes: make(map[workload.TaskID]int),
		organisation: rapid.SampledFrom([]string{"", "capped"}).Draw(rt, "organisation"),
	}
	m.submitFor(m.jobs[id].organisation, id, steps...)
}

// reachableRuns returns the running tasks on executors with contact, by name.
func (m *model) reachableRuns() map[string]workload.TaskID {
	tasks := make(map[string]workload.TaskID)
	for id, running := range m.running {
		if !m.unreachable[id] {
			for task := range running {
				tasks[task.String()] = task
			}
		}
	}
	return tasks
}

func (m *model) endRun(rt *rapid.T) {
	tasks := m.reachableRuns()
	task := tasks[drawKey(rt, tasks, "task")]
	outcome := rapid.SampledFrom([]workload.End{workload.EndDone, workload.EndDone, workload.EndDone, workload.EndFailed}).Draw(rt, "how")
	m.recordEnd(task, outcome)
	m.end(task, outcome)
}

// recordEnd records an end. It is called before the core learns of the end, so that check has it for the starts that follow.
func (m *model) recordEnd(task workload.TaskID, outcome workload.End) {
	job := m.jobs[task.Job]
	if outcome == workload.EndDone {
		job.done[task] = true
	} else if outcome == workload.EndFailed {
		job.failed[task]++
	}
}

func (m *model) loseContact(rt *rapid.T) {
	id := drawKey(rt, m.running, "executor")
	m.unreachable[id] = true
	m.core.LoseContact(m.now, id, false)
	m.runCommands()
}

func (m *model) reportOne(rt *rapid.T) {
	id := drawKey(rt, m.running, "executor")
	delete(m.unreachable, id)
	m.report(id)
}

// endRunLate ends a run on an executor without contact, which lists the end in a late response.
func (m *model) endRunLate(rt *rapid.T) {
	id := drawKey(rt, m.unreachable, "silent")
	tasks := make(map[string]workload.TaskID)
	for task := range m.running[id] {
		tasks[task.String()] = task
	}
	task := tasks[drawKey(rt, tasks, "task")]
	outcome := rapid.SampledFrom([]workload.End{workload.EndDone, workload.EndFailed}).Draw(rt, "how")
	m.recordEnd(task, outcome)
	m.endLate(id, task, outcome)
}

// expireLeases lets the leases of an executor without contact expire, so that nothing runs there any more.
func (m *model) expireLeases(rt *rapid.T) {
	id := drawKey(rt, m.unreachable, "silent")
	clear(m.running[id])
	m.core.ExpireLeases(m.now, id)
	m.runCommands()
}

// crash ends an executor like replace, but its address refuses connections first.
func (m *model) crash(rt *rapid.T) {
	id := drawKey(rt, m.running, "executor")
	for task := range m.running[id] {
		m.jobs[task.Job].crashes[task]++
	}
	delete(m.running, id)
	delete(m.unreachable, id)
	m.core.LoseContact(m.now, id, true)
	m.core.DeregisterExecutor(id)
	m.core.EndExecutor(m.now, id)
	m.addExecutor(fmt.Sprintf("x%d", m.executors), size)
	m.executors++
}

// replace ends an executor and adds another one.
func (m *model) replace(rt *rapid.T) {
	id := drawKey(rt, m.running, "executor")
	delete(m.running, id)
	delete(m.unreachable, id)
	m.core.DeregisterExecutor(id)
	m.core.EndExecutor(m.now, id)
	m.addExecutor(fmt.Sprintf("x%d", m.executors), size)
	m.executors++
}

func (m *model) cancelJob(rt *rapid.T) {
	id := drawKey(rt, m.jobs, "job")
	m.jobs[id].cancelled = true
	m.core.Cancel(m.now, id)
	m.runCommands()
}

func (m *model) advanceTime(rt *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
}

// check checks the starts since the last call and the load of the executors.
func (m *model) check(rt *rapid.T) {
	for _, s := range m.starts[m.checkedStarts:] {
		job := m.jobs[s.Task.Job]
		step := job.steps[s.Task.Step]
		assert.Assert(rt, !job.cancelled || m.executorOf(s.Task) == "", "%s of a cancelled job started and runs", s.Task)
		assert.Assert(rt, !job.done[s.Task] || m.startedBeforeEnd(s), "%s started after it was done", s.Task)
		assert.Assert(rt, job.failed[s.Task] < 2 || m.executorOf(s.Task) == "", "%s started after two failures", s.Task)
		for _, earlier := range step.After {
			for i := range job.steps[earlier].Count {
				assert.Assert(rt, job.done[taskID(s.Task.Job, earlier, i)], "%s started before step %d was done", s.Task, earlier)
			}
		}
	}
	m.checkedStarts = len(m.starts)
	m.checkLoad(rt)
	m.checkExpectations(rt)
}

// checkExpectations checks that the expectations that jobs keep are up to date.
func (m *model) checkExpectations(rt *rapid.T) {
	for _, jobs := range m.core.activeJobs {
		for j := range jobs {
			assert.Equal(rt, *j.expectation(), j.computeExpectation(), "%s", j.spec.ID)
		}
	}
}

// startedBeforeEnd reports whether a start is that of the task's last run, and this run has ended.
func (m *model) startedBeforeEnd(s StartTask) bool {
	laterStarts := 0
	for _, other := range m.starts {
		if other.Task == s.Task && other.Run > s.Run {
			laterStarts++
		}
	}
	return laterStarts == 0 && m.executorOf(s.Task) == ""
}

// checkLoad checks that each task runs at most once, and that neither an executor's capacity, MaxPerExecutor nor the cap of the
// organisation is exceeded.
func (m *model) checkLoad(rt *rapid.T) {
	runsOn := make(map[workload.TaskID]string)
	cappedCPU := 0
	for id, running := range m.running {
		cpu, perStep := 0, make(map[workload.StepID]int)
		for task := range running {
			if other, ok := runsOn[task]; ok {
				rt.Fatalf("%s runs on %s and %s", task, other, id)
			}
			runsOn[task] = id
			step := m.jobs[task.Job].steps[task.Step]
			cpu += step.Reserved().CPUMilli
			if m.jobs[task.Job].organisation != "" {
				cappedCPU += step.Reserved().CPUMilli
			}
			key := workload.StepID{Job: task.Job, Occurrence: task.Occurrence, Step: task.Step}
			perStep[key]++
			assert.Assert(rt, step.MaxPerExecutor == 0 || perStep[key] <= step.MaxPerExecutor, "%s on %s", task, id)
		}
		assert.Assert(rt, cpu <= size.CPUMilli, "%s uses %d of %d", id, cpu, size.CPUMilli)
	}
	assert.Assert(rt, cappedCPU <= modelCap.CPUMilli, "an organisation uses %d of %d", cappedCPU, modelCap.CPUMilli)
}

// finish lets all runs end as done for long enough that every job can complete, and checks that none is stuck.
func (m *model) finish(rt *rapid.T) {
	for id := range m.running {
		delete(m.unreachable, id)
		m.report(id)
	}
	for range 400 {
		for _, task := range m.reachableRuns() {
			if m.executorOf(task) != "" {
				m.recordEnd(task, workload.EndDone)
				m.end(task, workload.EndDone)
			}
		}
		m.advance(500 * time.Millisecond)
	}
	m.check(rt)
	for id, job := range m.jobs {
		status, known := m.core.Status(id)
		assert.Assert(rt, known)
		tasks := 0
		for _, s := range job.steps {
			tasks += s.Count
		}
		stuck := !job.cancelled && len(job.done) < tasks && !slices.Contains(slices.Collect(maps.Values(job.failed)), 2) &&
			slices.Max(append(slices.Collect(maps.Values(job.crashes)), 0)) < maxCrashes
		assert.Assert(rt, !stuck, "%s is %s with %d of %d tasks done", id, status, len(job.done), tasks)
	}
}

// Guards against starts that break a rule, and against jobs that get stuck, after any sequence of submissions, ends, failures,
// losses of contact, expired leases, replaced and crashed executors and cancellations.
func TestStartsKeepTheRulesAfterAnyEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"submit": m.submitJob, "end": m.endRun, "end again": m.endRun, "end late": m.endRunLate, "report": m.reportOne, "silence": m.loseContact,
			"lapse": m.expireLeases, "replace": m.replace, "crash": m.crash, "cancel": m.cancelJob, "pass": m.advanceTime, "": m.check,
		})
		m.finish(rt)
	})
}

package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/workload"
)

const service = "pool"

// testingT is implemented by *testing.T, *testing.B and *rapid.T.
type testingT interface {
	assert.TestingT
	Helper()
	Fatalf(format string, args ...any)
}

// harness drives a core with executors that accept every order at once. A stopped run stays until the test ends it.
type harness struct {
	t    testingT
	core *Core
	now  time.Duration
	// running holds the runs of each executor, ends the number of its last end.
	running map[string]map[workload.TaskID]workload.RunningTask
	ends    map[string]int64
	// starts, stops and paces hold all commands so far.
	starts []StartTask
	stops  []StopTask
	paces  []PaceTask
}

// size is the capacity of an executor.
var size = workload.Resources{CPUMilli: 4000, MemoryMB: 8000}

func newHarness(t testingT, executors int) *harness {
	h := &harness{
		t: t, core: New(Options{Epoch: 1, Retention: time.Minute}), now: time.Second,
		running: make(map[string]map[workload.TaskID]workload.RunningTask), ends: make(map[string]int64),
	}
	h.core.Configure(h.now, &workload.Configuration{
		Version: 1, Services: []workload.Service{{Name: service, ChecksCapacity: true}},
		Routes: []workload.Route{{Name: "queue", Service: service, Policy: workload.Policy{MaxAttempts: 2, SlackFactor: 2, Objective: 500}}},
	})
	for i := range executors {
		h.addExecutor(fmt.Sprintf("x%d", i), size)
	}
	return h
}

func (h *harness) addExecutor(id string, capacity workload.Resources) {
	h.running[id] = make(map[workload.TaskID]workload.RunningTask)
	h.core.PutExecutor(h.now, workload.Executor{ID: id, Service: service, Capacity: capacity, Kind: "a", Rack: "r-" + id})
	h.report(id)
}

func (h *harness) submit(id string, steps ...workload.Step) { h.submitFor("", id, steps...) }

func (h *harness) submitFor(organisation, id string, steps ...workload.Step) {
	h.addJobFor(organisation, id, steps...)
	h.runCommands()
}

// addJob adds a job without scheduling it.
func (h *harness) addJob(id string, steps ...workload.Step) { h.addJobFor("", id, steps...) }

func (h *harness) addJobFor(organisation, id string, steps ...workload.Step) {
	err := h.core.AddJob(h.now, &workload.Job{
		ID: id, Route: "queue", Service: service, ConfigVersion: 1, Steps: steps, Organisation: organisation,
	}, nil, 0, false)
	assert.NilError(h.t, err)
}

// runCommands schedules and carries commands out until there are none.
func (h *harness) runCommands() {
	for range 20 {
		h.core.Schedule(h.now, h.now)
		commands := h.core.Commands()
		if len(commands) == 0 {
			return
		}
		for _, c := range commands {
			h.execute(c)
		}
	}
}

func (h *harness) execute(c Command) {
	switch x := c.(type) {
	case StartTask:
		h.starts = append(h.starts, x)
		h.running[x.Executor][x.Task] = workload.RunningTask{Task: x.Task, Run: x.Run, Percent: 1}
		h.core.Started(h.now, x.Executor, x.Task, x.Run, StartAccepted, "")
	case StopTask:
		h.stops = append(h.stops, x)
		h.core.Stopped(h.now, x.Executor, x.Task, x.Run)
	case PaceTask:
		h.paces = append(h.paces, x)
	}
}

// report sends a report of an executor that shows its runs and lists ends.
func (h *harness) report(id string, ends ...workload.EndedTask) {
	r := workload.Report{BornUnixMS: 1, Ended: ends}
	for i := range ends {
		h.ends[id]++
		ends[i].Number = h.ends[id]
		delete(h.running[id], ends[i].Task)
	}
	for _, x := range h.running[id] {
		r.Running = append(r.Running, x)
	}
	h.now += time.Millisecond
	h.core.Report(h.now, id, r, h.now, h.ends[id])
	h.runCommands()
}

// end ends the run of a task on the executor that has it, and reports the end.
func (h *harness) end(task workload.TaskID, outcome workload.End) {
	h.t.Helper()
	for id, tasks := range h.running {
		if x, ok := tasks[task]; ok {
			h.report(id, workload.EndedTask{Task: task, Run: x.Run, Outcome: outcome})
			return
		}
	}
	h.t.Fatalf("%s runs nowhere", task)
}

// endLate ends the run of a task on an executor that lists the end in a late response.
func (h *harness) endLate(id string, task workload.TaskID, outcome workload.End) {
	x := h.running[id][task]
	delete(h.running[id], task)
	h.ends[id]++
	h.core.ReportEnds(h.now, id, 1, []workload.EndedTask{{Number: h.ends[id], Task: task, Run: x.Run, Outcome: outcome}}, h.ends[id])
	h.runCommands()
}

// reportServing reports all tasks at 100 percent, at which long-running ones serve.
func (h *harness) reportServing() {
	for id, tasks := range h.running {
		for task, x := range tasks {
			x.Percent = 100
			tasks[task] = x
		}
		h.report(id)
	}
}

// executorOf returns the executor that runs a task, or an empty string.
func (h *harness) executorOf(task workload.TaskID) string {
	for id, tasks := range h.running {
		if _, ok := tasks[task]; ok {
			return id
		}
	}
	return ""
}

// advance lets time pass and calls Tick once.
func (h *harness) advance(d time.Duration) {
	h.now += d
	h.core.Tick(h.now, h.now.Milliseconds())
	h.runCommands()
}

func taskID(job string, step, index int) workload.TaskID {
	return workload.TaskID{Job: job, Step: step, Index: index}
}

func batchStep(count, cpu int, after ...int) workload.Step {
	return workload.Step{Count: count, Size: workload.Resources{CPUMilli: cpu}, Estimate: 500, After: after}
}

// Guards against stopping a task for maintenance while another task of its step is on an executor that does not respond: the
// last report of that executor still shows its task as serving.
func TestTasksOnSilentExecutorsCountAsUnavailable(t *testing.T) {
	h := newHarness(t, 4)
	h.submit("j", workload.Step{Count: 3, Size: workload.Resources{CPUMilli: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerExecutor: 1})
	h.reportServing()
	unreachable, leaving := h.executorOf(taskID("j", 0, 0)), h.executorOf(taskID("j", 0, 1))
	h.core.LoseContact(h.now, unreachable, false)
	h.core.Cordon(h.now, leaving, true)
	h.advance(time.Second)
	assert.Equal(t, len(h.stops), 0)
	h.report(unreachable)
	h.advance(time.Second)
	assert.Equal(t, len(h.stops), 1)
}

// Guards against stopping several tasks of a step that have just started: they may serve before a report shows it.
func TestStartingTasksAreStoppedOneByOne(t *testing.T) {
	h := newHarness(t, 4)
	h.submit("j", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerExecutor: 1})
	for i := range 2 {
		h.core.Cordon(h.now, h.executorOf(taskID("j", 0, i)), true)
	}
	assert.Equal(t, len(h.stops), 0)
	h.reportServing()
	h.advance(time.Second)
	assert.Equal(t, len(h.stops), 1)
}

// Guards against stopping a second task of a step just after a takeover, while a stop ordered by the earlier owner is still in
// progress: the executor reports that task as serving until it is gone.
func TestAdoptedTasksCountAsUnavailableUntilInheritedStopDeadline(t *testing.T) {
	const stopTimeout = 900 * time.Millisecond
	h := newHarness(t, 3)
	h.core.opts.StopTimeout = stopTimeout
	step := workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerExecutor: 1}
	job := &workload.Job{ID: "j", Route: "queue", Service: service, ConfigVersion: 1, Steps: []workload.Step{step}}
	stopped, kept := taskID("j", 0, 0), taskID("j", 0, 1)
	h.running["x0"][stopped] = workload.RunningTask{Task: stopped, Run: 1, Percent: 100}
	h.running["x1"][kept] = workload.RunningTask{Task: kept, Run: 1, Percent: 100}
	for id := range h.running {
		h.core.AddUnreconciled(h.now, id, service, nil)
	}
	assert.NilError(t, h.core.AddJob(h.now, job, nil, 0, true))
	for id := range h.running {
		h.report(id)
	}
	h.core.Cordon(h.now, "x1", true)
	h.advance(stopTimeout / 2)
	h.report("x0")
	h.report("x1")
	h.advance(0)
	assert.Equal(t, len(h.stops), 0, "the task on x0 may be about to end")
	h.end(stopped, workload.EndStopped)
	h.advance(stopTimeout)
	h.report("x1")
	h.advance(0)
	assert.Equal(t, len(h.stops), 0, "the task of x0 starts elsewhere")
	h.reportServing()
	h.advance(0)
	assert.Equal(t, len(h.stops), 1, "both serve again")
	assert.Equal(t, h.stops[0].Task, kept)
}

// Guards against a small task that waits although it fits, because a larger one that ranks before it does not fit.
func TestSmallTasksStartBesideLargeOnesThatWait(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("running", batchStep(1, 3000))
	h.submit("large", batchStep(1, 2000))
	h.submit("long", batchStep(1, 900), batchStep(4, 4000, 0))
	assert.Equal(t, len(h.starts), 2)
	assert.Equal(t, h.starts[1].Task, taskID("long", 0, 0))
}

// Guards against executors that are not listed under their service, or are still listed under another one, after any sequence of
// registrations, changes of service, ends and removals.
func TestMembersFollowTheirServices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, 0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			id := fmt.Sprintf("x%d", rapid.IntRange(0, 9).Draw(t, "executor"))
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				h.core.PutExecutor(h.now, workload.Executor{ID: id, Service: name, Capacity: size})
			case 2:
				h.core.AddUnreconciled(h.now, id, name, nil)
			case 3:
				h.core.EndExecutor(h.now, id)
			case 4:
				h.core.DeregisterExecutor(id)
				h.core.ExpireLeases(h.now, id)
				h.core.ForgetExecutor(id)
			}
			for _, name := range []string{"a", "b"} {
				var want []string
				for id, e := range h.core.executors {
					if e.info.Service == name {
						want = append(want, id)
					}
				}
				slices.Sort(want)
				var got []string
				for _, e := range h.core.members[name] {
					got = append(got, e.info.ID)
				}
				assert.DeepEqual(t, got, want)
			}
		}
	})
}

// Guards against a queue of any length that yields jobs in another order than that of their ranks.
func TestWaitingJobsComeInTheOrderOfTheirRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, 0)
		jobs := rapid.SliceOfN(rapid.IntRange(1, 20), 1, 60).Draw(t, "tasks")
		for i, tasks := range jobs {
			h.submit(fmt.Sprintf("j%d", i), batchStep(tasks, 100*(1+tasks%7)))
		}
		queue := h.core.waitingJobs(h.now, h.now, service, true)
		assert.Equal(t, len(queue.jobs), len(jobs))
		for last := queue.next(); len(queue.jobs) > 0; {
			next := queue.next()
			assert.Assert(t, last.before(next.jobRank))
			last = next
		}
	})
}

// Guards against a step that starts before the steps that it depends on are done, and against a final status that callers see
// before it is durable.
func TestStepsWaitForEarlierSteps(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", batchStep(2, 1000), batchStep(1, 1000, 0))
	assert.Equal(t, len(h.starts), 2)
	h.end(taskID("j", 0, 0), workload.EndDone)
	assert.Equal(t, len(h.starts), 2)
	h.end(taskID("j", 0, 1), workload.EndDone)
	assert.Equal(t, len(h.starts), 3)
	h.end(taskID("j", 1, 0), workload.EndDone)
	status, _ := h.core.Status("j")
	assert.Equal(t, status, workload.StatusRunning, "a final status is shown before it is durable")
	commit := h.core.TakeCommit(40)
	h.core.Committed(commit, 7)
	status, _ = h.core.Status("j")
	assert.Equal(t, status, workload.StatusCompleted)
}

// Guards against more attempts than the policy allows, and against retrying a task on the executor on which it failed.
func TestFailedTasksMoveAndAreBounded(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", batchStep(1, 1000))
	first := h.starts[0].Executor
	h.end(taskID("j", 0, 0), workload.EndFailed)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 2)
	assert.Assert(t, h.starts[1].Executor != first)
	h.end(taskID("j", 0, 0), workload.EndFailed)
	h.advance(5 * time.Second)
	assert.Equal(t, len(h.starts), 2)
	h.core.Committed(h.core.TakeCommit(40), 7)
	status, _ := h.core.Status("j")
	assert.Equal(t, status, workload.StatusFailed)
}

// Guards against starting inherited tasks while an executor that may run tasks of the earlier owner has not reported.
func TestInheritedTasksWaitForAllExecutors(t *testing.T) {
	h := newHarness(t, 1)
	h.core.AddUnreconciled(h.now, "old", service, nil)
	job := &workload.Job{ID: "j", Route: "queue", Service: service, ConfigVersion: 1, Steps: []workload.Step{batchStep(1, 1000)}}
	assert.NilError(t, h.core.AddJob(h.now, job, nil, 0, true))
	h.runCommands()
	assert.Equal(t, len(h.starts), 0)
	h.submit("new", batchStep(1, 1000))
	assert.Equal(t, len(h.starts), 1, "a job that was accepted after the takeover cannot run anywhere yet")
	h.core.ExpireLeases(h.now, "old")
	h.runCommands()
	assert.Equal(t, len(h.starts), 2)
}

// Guards against a task that runs twice: its queue has moved to another service since it started, and a new owner does not know yet
// what the executors of the former service run.
func TestInheritedTasksWaitForTheServiceThatTheirQueueHasLeft(t *testing.T) {
	h := newHarness(t, 1)
	h.core.PutExecutor(h.now, workload.Executor{ID: "old", Service: "former", Capacity: size, Kind: "a", Rack: "r"})
	h.core.AddUnreconciled(h.now, "old", "former", nil)
	assert.NilError(t, h.core.AddJob(h.now, &workload.Job{
		ID: "j", Route: "queue", Service: "former", ConfigVersion: 0, Steps: []workload.Step{batchStep(1, 1000)},
	}, nil, 0, true))
	h.runCommands()
	assert.Equal(t, len(h.starts), 0)
	h.core.ExpireLeases(h.now, "old")
	h.runCommands()
	assert.Equal(t, len(h.starts), 1)
}

// newOwner returns a harness whose core takes over with a configuration and the history that its predecessor stored. The executor
// "old" of another service has not reported.
func newOwner(t *testing.T, version uint64, history RouteHistory) *harness {
	h := newHarness(t, 0)
	config := *h.core.config
	config.Version = version
	h.core = New(Options{Epoch: 2, Retention: time.Minute})
	h.core.InheritRouteHistory(history)
	h.core.Configure(h.now, &config)
	h.addExecutor("x0", size)
	h.core.PutExecutor(h.now, workload.Executor{ID: "old", Service: "other", Capacity: size, Kind: "a", Rack: "r"})
	h.core.AddUnreconciled(h.now, "old", "other", nil)
	return h
}

func (h *harness) inheritJob(id string, configVersion uint64, steps ...workload.Step) {
	assert.NilError(h.t, h.core.AddJob(h.now, &workload.Job{
		ID: id, Route: "queue", Service: service, ConfigVersion: configVersion, Steps: steps,
	}, nil, 0, true))
}

// Guards against a task that runs twice: since its job was accepted, its queue has gone to another service and back, and a new owner
// does not know yet what the executors of that service run.
func TestInheritedTasksWaitForServicesThatTheirQueueMayHaveHad(t *testing.T) {
	h := newOwner(t, 3, RouteHistory{})
	for id, configVersion := range map[string]uint64{"before": 1, "since": 3} {
		h.inheritJob(id, configVersion, batchStep(1, 1000), batchStep(1, 1000, 0))
	}
	h.runCommands()
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Task, taskID("since", 0, 0), "its queue cannot have had another service")
	// Configurations that come after the takeover do not change what the earlier owner may have started.
	config := *h.core.config
	config.Version = 4
	h.core.Configure(h.now, &config)
	h.end(taskID("since", 0, 0), workload.EndDone)
	assert.Equal(t, len(h.starts), 2)
	assert.Equal(t, h.starts[1].Task, taskID("since", 1, 0))
	h.core.ExpireLeases(h.now, "old")
	h.runCommands()
	assert.Equal(t, len(h.starts), 3)
}

// Guards against inherited jobs that wait for executors of services that their queue never had, after a change of the configuration
// that moved no queue, and against a history that does not reach up to the loaded configuration.
func TestStoredRouteHistoryShortensTheWaitOfInheritedTasks(t *testing.T) {
	for name, test := range map[string]struct {
		history RouteHistory
		starts  int
	}{
		"queue did not move":           {RouteHistory{Observed: 3, UnknownBefore: 1}, 1},
		"queue moved after acceptance": {RouteHistory{Observed: 3, UnknownBefore: 1, Moved: map[string]uint64{"queue": 3}}, 0},
		"queue moved before":           {RouteHistory{Observed: 3, UnknownBefore: 1, Moved: map[string]uint64{"queue": 2}}, 1},
		"another queue moved":          {RouteHistory{Observed: 3, UnknownBefore: 1, Moved: map[string]uint64{"other": 3}}, 1},
		"history is not complete":      {RouteHistory{Observed: 2, UnknownBefore: 1}, 0},
		"history begins later":         {RouteHistory{Observed: 3, UnknownBefore: 3}, 0},
		"no history":                   {RouteHistory{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newOwner(t, 3, test.history)
			h.inheritJob("j", 2, batchStep(1, 1000))
			h.runCommands()
			assert.Equal(t, len(h.starts), test.starts)
		})
	}
}

// Guards against a queue whose moves are forgotten: away and back, dropped and declared again, and more moves than a row holds.
func TestRouteHistoryFollowsConfigurations(t *testing.T) {
	var h RouteHistory
	config := func(version uint64, services ...string) *workload.Configuration {
		c := &workload.Configuration{Version: version}
		for i := 0; i+1 < len(services); i += 2 {
			c.Routes = append(c.Routes, workload.Route{Name: services[i], Service: services[i+1]})
		}
		return c
	}
	first := config(1, "q", "s1", "r", "s1")
	h.begin(first)
	away, back := config(3, "q", "s2", "r", "s1"), config(4, "q", "s1", "r", "s1")
	h.add(first, away)
	h.add(away, back)
	assert.Equal(t, h.since("q"), uint64(4))
	assert.Equal(t, h.since("r"), uint64(1))
	dropped, again := config(5, "r", "s1"), config(7, "q", "s1", "r", "s1", "new", "s2")
	h.add(back, dropped)
	assert.Equal(t, h.since("q"), uint64(5))
	h.add(dropped, again)
	assert.Equal(t, h.since("q"), uint64(7))
	assert.Equal(t, h.since("new"), uint64(1), "nobody can have acted on it earlier")
	assert.Equal(t, h.Observed, uint64(7))

	many, moved := config(8), config(9)
	for i := range maxMovedRoutes + 1 {
		many.Routes = append(many.Routes, workload.Route{Name: fmt.Sprint(i), Service: "s1"})
		moved.Routes = append(moved.Routes, workload.Route{Name: fmt.Sprint(i), Service: "s2"})
	}
	h.add(again, many)
	h.add(many, moved)
	assert.DeepEqual(t, h, RouteHistory{Observed: 9, UnknownBefore: 9})
}

// Guards against progress that is lost when a record is stored and restored.
func TestRecordsRestoreProgress(t *testing.T) {
	h := newHarness(t, 2)
	steps := []workload.Step{batchStep(10, 100), batchStep(1, 100, 0)}
	h.submit("j", steps...)
	for _, i := range []int{0, 8, 9} {
		h.end(taskID("j", 0, i), workload.EndDone)
	}
	h.end(taskID("j", 0, 1), workload.EndFailed)
	value, err := h.core.TakeCommit(40).Writes[0].Record.Encode()
	assert.NilError(t, err)
	record, err := DecodeRecord(value)
	assert.NilError(t, err)
	next := New(Options{Epoch: 2, Retention: time.Minute})
	job := &workload.Job{ID: "j", Service: service, Steps: steps}
	assert.NilError(t, next.AddJob(0, job, record, 7, true))
	j := next.jobs["j"]
	assert.Equal(t, j.occs[0].steps[0].remaining, 7)
	assert.Equal(t, j.occs[0].steps[0].tasks[8].state, taskDone)
	assert.Equal(t, len(j.occs[0].steps[0].tasks[1].failedRuns), 1)
}

// Guards against late jobs that are placed before jobs that can still be on time, and against long jobs placed before short ones.
func TestOrderUnderBurst(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("blocker", batchStep(1, 4000))
	h.submit("late", batchStep(1, 4000))
	h.now += 10 * time.Second
	h.submit("long", batchStep(2, 4000), batchStep(1, 4000, 0))
	h.submit("short", batchStep(1, 4000))
	h.end(taskID("blocker", 0, 0), workload.EndDone)
	assert.Equal(t, h.starts[1].Task.Job, "short")
	h.end(taskID("short", 0, 0), workload.EndDone)
	assert.Equal(t, h.starts[2].Task.Job, "long")
}

// Guards against best-effort tasks that keep their pace while serving tasks beside them miss their latency objective.
func TestBestEffortTasksSlowDownBesideServingTasks(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("serve", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}, LongRunning: true, TailLatencyObjective: 100})
	h.submit("fill", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}, LongRunning: true, BestEffortCPU: true})
	h.reportServing()
	reportTail := func(tail float64) {
		x := h.running["x0"][taskID("serve", 0, 0)]
		x.TailLatencyOrCPU = tail
		h.running["x0"][taskID("serve", 0, 0)] = x
		h.now += time.Second
		h.report("x0")
	}
	reportTail(150)
	assert.Equal(t, h.paces[0].Percent, 40)
	reportTail(150)
	reportTail(150)
	assert.Equal(t, h.paces[2].Percent, 0)
	reportTail(10)
	assert.Equal(t, h.paces[3].Percent, 20)
}

// Guards against a failed run that is not counted because a new owner learned of a later run of the task first, and against one
// that is counted twice because its end is listed again.
func TestFailedRunsCountOnceInAnyOrder(t *testing.T) {
	h := newHarness(t, 2)
	job := &workload.Job{ID: "j", Route: "queue", Service: service, ConfigVersion: 1, Steps: []workload.Step{batchStep(1, 1000)}}
	h.core.AddUnreconciled(h.now, "x0", service, nil)
	assert.NilError(t, h.core.AddJob(h.now, job, nil, 0, true))
	task := taskID("j", 0, 0)
	h.core.Report(h.now, "x1", workload.Report{BornUnixMS: 1, Ended: []workload.EndedTask{{Number: 1, Task: task, Run: 2, Outcome: workload.EndFailed}}}, h.now, 1)
	h.core.Report(h.now, "x1", workload.Report{BornUnixMS: 1, Ended: []workload.EndedTask{{Number: 1, Task: task, Run: 2, Outcome: workload.EndFailed}}}, h.now, 1)
	assert.Equal(t, h.core.jobs["j"].status, workload.StatusQueued)
	h.core.Report(h.now, "x0", workload.Report{BornUnixMS: 1, Ended: []workload.EndedTask{{Number: 1, Task: task, Run: 1, Outcome: workload.EndFailed}}}, h.now, 1)
	h.advance(5 * time.Second)
	assert.Equal(t, len(h.starts), 0)
	assert.Equal(t, h.core.jobs["j"].status, workload.StatusFailed)
}

// Guards against holding back all inherited tasks because of an executor with which the earlier owner had lost contact, and
// against starting a task that this executor may still run.
func TestOnlyTasksOfLostExecutorsWait(t *testing.T) {
	h := newHarness(t, 1)
	h.core.AddUnreconciled(h.now, "lost", service, []workload.TaskID{taskID("j", 0, 1)})
	job := &workload.Job{ID: "j", Route: "queue", Service: service, ConfigVersion: 1, Steps: []workload.Step{batchStep(2, 1000)}}
	assert.NilError(t, h.core.AddJob(h.now, job, nil, 0, true))
	h.runCommands()
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Task.Index, 0)
	h.core.ExpireLeases(h.now, "lost")
	h.runCommands()
	assert.Equal(t, len(h.starts), 2)
}

// Guards against running the finished tasks of a job again because its record is damaged.
func TestDamagedRecordsKeepTheirJobFromRunning(t *testing.T) {
	for _, record := range []*Record{
		{Occurrences: []OccurrenceRecord{{Steps: []string{"zz"}}}},
		{Occurrences: []OccurrenceRecord{{Steps: []string{"01", "01", "01"}}}},
		{Retries: []RetryRecord{{Step: 7}}},
	} {
		h := newHarness(t, 1)
		job := &workload.Job{ID: "j", Service: service, Steps: []workload.Step{batchStep(1, 1000)}}
		assert.ErrorIs(t, h.core.AddJob(h.now, job, record, 7, true), ErrRecord)
		h.runCommands()
		assert.Equal(t, len(h.starts), 0)
	}
}

// An executor that leaves the registrations for a while may list ends that are not stored yet. The owner must keep its record until they
// are: a new owner that does not know the executor starts these tasks again, and then finds them done there.
func TestAnExecutorIsKeptUntilItsEndsAreDurable(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("job", batchStep(1, 500))
	h.end(taskID("job", 0, 0), workload.EndDone)
	h.core.DeregisterExecutor("x0")
	assert.Assert(t, !h.core.ForgetExecutor("x0"), "the end is not in a commit")
	commit := h.core.TakeCommit(28)
	assert.Assert(t, !h.core.ForgetExecutor("x0"), "the commit is not durable")
	h.core.Committed(commit, 1)
	assert.Assert(t, h.core.ForgetExecutor("x0"))
}

// Guards against tasks that start on an executor whose machine is about to leave: its registration lapses while the order for the machine is
// under way, and comes back.
func TestACordonOutlastsTheRegistration(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Cordon(h.now, "x0", true)
	h.core.DeregisterExecutor("x0")
	assert.Assert(t, !h.core.ForgetExecutor("x0"))
	h.addExecutor("x0", size)
	h.submit("job", batchStep(1, 500))
	assert.Equal(t, len(h.starts), 0)
	h.core.Cordon(h.now, "x0", false)
	h.core.DeregisterExecutor("x0")
	assert.Assert(t, h.core.ForgetExecutor("x0"))
}

// Guards against a task that starts again although a late response of its silent executor has listed that it is done.
func TestEndsListedLateCompleteTasks(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", batchStep(1, 1000))
	task := taskID("j", 0, 0)
	id := h.executorOf(task)
	h.core.LoseContact(h.now, id, false)
	h.endLate(id, task, workload.EndDone)
	h.core.ExpireLeases(h.now, id)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 1)
	commit := h.core.TakeCommit(40)
	assert.Equal(t, commit.Ends[id].Number, int64(1), "the end is acknowledged once it is stored")
	h.core.Committed(commit, 1)
	status, _ := h.core.Status("j")
	assert.Equal(t, status, workload.StatusCompleted)
}

// Guards against an inherited task that starts again although the first response that a new owner gets from its executor, a late one,
// has listed that it is done.
func TestEndsListedLateToANewOwnerCompleteTasks(t *testing.T) {
	h := newHarness(t, 1)
	h.core.AddUnreconciled(h.now, "old", service, nil)
	assert.NilError(t, h.core.AddJob(h.now, &workload.Job{
		ID: "j", Route: "queue", Service: service, ConfigVersion: 1, Steps: []workload.Step{batchStep(1, 1000)},
	}, nil, 0, true))
	h.core.ReportEnds(h.now, "old", 7, []workload.EndedTask{{Number: 3, Task: taskID("j", 0, 0), Run: 1, Outcome: workload.EndDone}}, 3)
	h.core.ExpireLeases(h.now, "old")
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 0)
}

// Guards against two runs of a task at once: the start is said to be refused after a report has shown the run, because the refusal is that of
// another attempt.
func TestRefusalsDoNotOutweighReportsThatShowTheRun(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		h := newHarness(t, 2)
		h.addJob("j", batchStep(1, 1000))
		h.core.Schedule(h.now, h.now)
		start := h.core.Commands()[0].(StartTask)
		h.now += 100 * time.Millisecond
		h.running[start.Executor][start.Task] = workload.RunningTask{Task: start.Task, Run: start.Run}
		h.report(start.Executor)
		if stopped {
			h.core.Cancel(h.now, "j")
		}
		h.now += 100 * time.Millisecond
		h.core.Started(h.now, start.Executor, start.Task, start.Run, StartRefused, "other_incarnation")
		assert.DeepEqual(t, h.core.TasksOn(start.Executor), []workload.TaskID{start.Task})
		h.runCommands()
		assert.Equal(t, len(h.starts), 0, "stopped: %t", stopped)

		h.now += 100 * time.Millisecond
		delete(h.running[start.Executor], start.Task)
		h.report(start.Executor)
		h.runCommands()
		assert.Equal(t, len(h.starts), map[bool]int{false: 1, true: 0}[stopped], "a report without the run shows that it is gone")
	}
}

// Package scheduler decides which task starts, stops or changes its pace on
// which executor. It is a state machine: its owner passes in events and the
// time, carries out the commands that come out and stores the records. It
// does no I/O and reads no clock.
//
// One process at a time, the owner, runs a Core. Owners are numbered by epochs.
// A new owner reads the stored jobs and records and must not start a task of an
// earlier owner again before it knows that the task runs nowhere. An executor
// that may run such tasks is unreconciled until it has reported to the new
// owner, its leases have expired or it has ended.
//
// Times are durations on the owner's monotonic clock unless they are called
// wall-clock times.
package scheduler

import (
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// taskState is the state of a task as this owner knows it.
type taskState int

const (
	// taskPending means that the task is on no executor.
	taskPending taskState = iota
	// taskStarting means that a start was ordered and its outcome is not known.
	taskStarting
	// taskRunning means that the executor confirmed the run, or that the next report shows whether it runs.
	taskRunning
	// taskStopping means that a stop was ordered. Its resources stay reserved until the run is gone.
	taskStopping
	// taskDone means that a run completed the task.
	taskDone
)

// task is one task of a step and its current or last run.
type task struct {
	id    workload.TaskID
	job   *job
	step  *step
	state taskState
	exec  *executor
	// run is the number of the current or last run; each start has a higher one.
	run int
	// reportedRun is the last run that a report showed on the executor where this owner started it.
	reportedRun int
	// unlisted is set if the last report showed the current run neither as running nor as ended, and may not have listed all ended runs.
	unlisted bool
	// endedRun is the highest run that is known to have ended or to be gone.
	endedRun int
	// failedRuns holds each failed run once.
	failedRuns []int
	checkpoint string
	crashes    crashCounts
	// percent is the progress that the executor last reported. A long-running task serves from 100 percent on.
	percent float64
	// progressChangedAt is when percent last changed.
	progressChangedAt time.Duration
	// orderedAt is when the current run was ordered, startedAt when it was confirmed.
	orderedAt, startedAt time.Duration
	// inheritedStopDeadline is when a stop that an earlier owner may have ordered has taken effect at the latest. The
	// run may be about to end until a report that was requested after the deadline shows it. 0 means no such stop.
	inheritedStopDeadline time.Duration
	// respondedAt is when the executor responded to the last order, or never. Only a report that was requested later can
	// show that the run is gone.
	respondedAt time.Duration
	// notBefore is the earliest time of the next start.
	notBefore time.Duration
	// waitsForRackSince is when the task first waited for room in the rack of its data; 0 if it did not.
	waitsForRackSince time.Duration
	// unseen is set while organisation.unseen includes the task.
	unseen bool
	// avoidUntil holds the executors on which the task failed or stalled, and until when it is not placed there. The
	// time is bounded because such an executor may be the only one on which the task fits.
	avoidUntil map[string]time.Duration
	// pace is the speed of a best-effort task (workload.Step.BestEffortCPU) in percent of its full speed.
	pace int
	// cpuAtFullPace is the smoothed CPU usage of a long-running task at full pace, in thousandths of a core; 0 if unknown.
	cpuAtFullPace float64
	// requeues counts how often the task became pending again after a start.
	requeues int
	// previous is the run before the current one.
	previous endOfRun
}

// endOfRun says which run of a task this owner last took to be gone, and why. It is empty before the first one.
type endOfRun struct {
	executor string
	run      int
	cause    lossCause
}

// contradictedBy reports whether a running task in a report of an executor is the run, which then goes on.
func (r endOfRun) contradictedBy(e *executor, x workload.RunningTask) bool {
	return r.cause != "" && r.cause != lossEndListed && r.executor == e.info.ID && r.run == x.Run
}

// addTo adds the run to log fields.
func (r endOfRun) addTo(fields map[string]any) {
	if r.cause != "" {
		fields["previous_executor"], fields["previous_run"], fields["how_lost"] = r.executor, r.run, string(r.cause)
	}
}

// lossCause is why a run is taken to be gone. The values are log fields.
type lossCause string

const (
	lossEndListed     lossCause = "end listed"
	lossAbsent        lossCause = "absent from a report"
	lossExecutorEnded lossCause = "executor ended"
	lossLeaseExpired  lossCause = "leases expired"
	lossStartRefused  lossCause = "start refused"
)

// setState changes the state and updates the number of pending tasks of the step.
func (t *task) setState(s taskState) {
	if t.state == taskPending {
		t.step.pending--
	}
	if s == taskPending {
		t.step.pending++
	}
	t.state = s
	t.job.invalidateExpectation()
}

// placed reports whether the task reserves resources on an executor.
func (t *task) placed() bool { return t.exec != nil }

// serving reports whether a long-running task is known to serve its users.
func (t *task) serving() bool {
	return t.state == taskRunning && t.percent >= 100 && t.exec.inContact && t.inheritedStopDeadline == 0 && !t.unlisted
}

// step is a set of equal tasks of one occurrence of a job.
type step struct {
	spec  *workload.Step
	occ   *occurrence
	index int
	tasks []*task
	// remaining is the number of tasks that are not done, pending the number of those in taskPending.
	remaining int
	pending   int
	// perExecutor is the number of tasks on each executor, for the limit MaxPerExecutor.
	perExecutor map[*executor]int
	// observed is the number of run times that were observed, observedTime their sum. predicted is the prediction of a version
	// of the queue's model, predictedBy.
	observed     int
	observedTime time.Duration
	predicted    time.Duration
	predictedBy  int
	// unstarted is set if no former owner can have started a task of the step of an inherited job.
	unstarted bool
	// permits is nil until the advice service has responded.
	permits *permits
	// doneOn is the first executor on which one of its tasks was done, doneOnSeveral is set if another one followed.
	doneOn        string
	doneOnSeveral bool
}

// id returns the ID of the step.
func (s *step) id() workload.StepID {
	return workload.StepID{Job: s.occ.job.spec.ID, Occurrence: s.occ.number, Step: s.index}
}

// ready reports whether all steps that the step depends on are done.
func (s *step) ready() bool {
	for _, earlier := range s.spec.After {
		if s.occ.steps[earlier].remaining > 0 {
			return false
		}
	}
	return true
}

// unavailable counts the tasks of a long-running step that are not known to serve.
func (s *step) unavailable() int {
	n := 0
	for _, t := range s.tasks {
		if !t.serving() {
			n++
		}
	}
	return n
}

// hasReadyTasks reports whether the step has pending tasks whose dependencies are done.
func (s *step) hasReadyTasks() bool { return s.pending > 0 && s.ready() }

// occurrence is one execution of the steps of a job. Only recurring jobs have more than one.
type occurrence struct {
	number int
	job    *job
	steps  []*step
	// remaining is the number of tasks that are not done.
	remaining int
}

// job is an accepted job and its progress. Only the ID of spec is kept for jobs that were final when they became known.
type job struct {
	spec *workload.Job
	// service and policy are set by applyRoute.
	service string
	policy  workload.Policy
	arrived time.Duration
	// submitted is when a caller first submitted the job, at the latest when it arrived.
	submitted time.Duration
	// inherited is set if the job was accepted before this owner took over. Its tasks may run on unreconciled executors.
	inherited bool
	// firstInheritedRun is the number of the first run of each task of an inherited job that was accepted in the term of the former
	// owner; 0 if it may have been accepted before.
	firstInheritedRun int
	// onlyService is the one service on whose executors an earlier owner can have started tasks of an inherited job. It is empty if
	// there may be others.
	onlyService string
	// started is set once it is known that a run of a task has begun, for this owner or an earlier one.
	started bool
	status  workload.Status
	// durableStatus is the last status that was stored.
	durableStatus workload.Status
	occs          map[int]*occurrence
	// nextOcc is the number of the next occurrence of a recurring job.
	nextOcc  int
	doneOccs map[int]bool
	// organisation is nil for jobs without one.
	organisation *organisation
	// beyondShare is set if the job arrived beyond the share of its organisation; it then ranks at best classBeyondShare.
	beyondShare bool
	// version is that of the stored record. dirty is set if the record has changed since TakeCommit last returned
	// it, and writeQueued while the job is in Core.dirty.
	version     uint64
	dirty       bool
	writeQueued bool
	// rows are the versions of the rows by which it was submitted; see SetRowVersion.
	rows [2]uint64
	// domain is where its finite tasks are placed.
	domain failureDomain
	// placedTasks is the number of its tasks on executors.
	placedTasks int
	// memory is what Core.jobMemory includes for the job, specMemory its part without occurrences and occurrenceMemory that of each one.
	memory, specMemory, occurrenceMemory int64
	// released is set once only what callers may still ask for is kept of a job that has ended.
	released bool
	// expiryQueued is set once the job is in Core.expired, so that its rows can be removed.
	expiryQueued bool
	// finalAt is when the job became final, or when it became known if it was final then.
	finalAt time.Duration
	// runtimes predicts the run times of its tasks.
	runtimes *runtimeModel
	expected expectation
	// objective is how long after its submission the job should complete, as far as run times were known at the last end of a task.
	objective time.Duration
	// waiting is set while the job has ready tasks, clockAtWaitStart is the reading of the service's waitClock when that
	// began, and waited is the sum of the waits that have ended.
	waiting          bool
	clockAtWaitStart waitTimes
	waited           waitTimes
	// slowestStart is the longest time from a start order to its outcome, refused starts left out. retries is the sum of the
	// tasks' requeues.
	slowestStart time.Duration
	retries      int
}

// executor is an executor as this owner knows it, with the tasks on it.
type executor struct {
	info workload.Executor
	// memberOf is the service under which Core.members lists the executor, or empty.
	memberOf string
	// registered is set while the executor has a registration.
	registered bool
	// inContact is set while the executor responds.
	inContact bool
	// reported is set once the executor has reported to this owner.
	reported bool
	// reportedAt is when the last report arrived.
	reportedAt time.Duration
	// noContactSince is when contact was last lost, or when the executor became known.
	noContactSince time.Duration
	used           workload.Resources
	tasks          map[*task]struct{}
	// cordoned executors get no new tasks, because their machine is to be moved to another pool or maintained.
	cordoned bool
	// yielding executors get no tasks of late jobs, and others only if no other executor has room, because their machine is
	// needed in another pool.
	yielding bool
	// suspended executors get no new tasks. It is set until the stored record of the executor no longer limits its tasks.
	suspended bool
	// cordonExpected executors will be cordoned later; long-running tasks are placed elsewhere if possible.
	cordonExpected bool
	// refused is set if the executor refused connections when contact was lost, so that its process had ended.
	refused bool
	// crashRecorded is set once recordCrash has counted the crash of the executor, until it reports again.
	crashRecorded bool
	// suspect is the last suspect that was started on the executor; see testsSuspect.
	suspect *task
	// backoffUntil is until when the executor gets no new tasks after it refused a start.
	backoffUntil time.Duration
	// failStreak counts failures of different jobs without a success in between, lastFailed is the last of these jobs.
	failStreak int
	lastFailed string
	// cooldownUntil is until when the executor gets no new tasks after a task failed or stalled on it.
	cooldownUntil time.Duration
	// incarnation is the BornUnixMS that lastEnd and ackedEnd belong to.
	incarnation int64
	// lastEnd is the number of the last processed end, ackedEnd the last one that a commit covers, durableEnd the last one that a
	// durable commit covers.
	lastEnd    int64
	ackedEnd   int64
	durableEnd int64
	// moreEnds is set if the last report may not have listed all ended runs.
	moreEnds bool
	// keptForGang is set if the last pass reserved the executor for a gang.
	keptForGang bool
	// idleSince is when the executor last became empty, or when it became known.
	idleSince time.Duration
	// unwantedRuns is the number of runs in the last report that no task of this owner needs. Until they are gone the executor is not idle
	// and gets no new tasks, because what they take of it may not be known.
	unwantedRuns int
	// unwantedUse is what these runs reserve of their organisations.
	unwantedUse map[*organisation]workload.Resources
	// unwantedStopAt is when stopUnwanted last ordered a stop, by task.
	unwantedStopAt map[workload.TaskID]time.Duration
	// bestEffortPace is the pace of the best-effort tasks in percent.
	bestEffortPace int
	paceChangedAt  time.Duration
	// tailRatio is the largest tail latency of a serving task relative to its objective, by the last report.
	tailRatio float64
	// rack is what is known of its rack, nil if it has none. slow is set while its runs are expected to take much longer than
	// elsewhere.
	rack     *rackHealth
	slowdown slowdown
	slow     bool
	// sampledAt is when a report last counted in observeInterference.
	sampledAt time.Duration
}

// runs returns the number of tasks on the executor and of runs there that no task needs. It is at least 1 while ended runs may not be listed:
// what they did is lost if the machine is taken away.
func (e *executor) runs() int {
	n := len(e.tasks) + e.unwantedRuns
	if e.moreEnds {
		return max(n, 1)
	}
	return n
}

// setUnwantedRuns sets the tasks whose runs on an executor nothing needs. What these reserve counts towards the caps of their
// organisations until they are gone.
func (c *Core) setUnwantedRuns(now time.Duration, e *executor, runs []workload.TaskID) {
	if len(runs) < e.unwantedRuns {
		c.dirtyServices[e.info.Service] = true
		if len(e.unwantedUse) > 0 {
			// Tasks of the organisations may wait in any service.
			c.markActiveServicesDirty()
		}
	}
	if e.unwantedRuns > 0 && len(runs) == 0 && len(e.tasks) == 0 {
		e.idleSince = now
	}
	e.unwantedRuns = len(runs)
	for o, use := range e.unwantedUse {
		o.used = o.used.Sub(use)
	}
	clear(e.unwantedUse)
	for _, id := range runs {
		if o, size := c.reservedBy(id); o != nil {
			o.used = o.used.Add(size)
			e.unwantedUse[o] = e.unwantedUse[o].Add(size)
		}
	}
}

// reservedBy returns what a run of a task reserves and for which organisation; nil if it is not known.
func (c *Core) reservedBy(id workload.TaskID) (*organisation, workload.Resources) {
	j := c.jobs[id.Job]
	if j == nil || id.Step >= len(j.spec.Steps) {
		return nil, workload.Resources{}
	}
	return j.organisation, j.spec.Steps[id.Step].Reserved()
}

// free returns the resources that are not reserved.
func (e *executor) free() workload.Resources { return e.info.Capacity.Sub(e.used) }

// acceptsTasks reports whether new tasks may be placed on the executor now.
func (e *executor) acceptsTasks(now time.Duration) bool {
	return !e.cordoned && e.acceptsOnceUncordoned(now)
}

// acceptsOnceUncordoned reports the same for an executor that is cordoned.
func (e *executor) acceptsOnceUncordoned(now time.Duration) bool {
	return e.registered && e.inContact && e.reported && e.unwantedRuns == 0 && !e.info.Draining && !e.suspended && now >= e.backoffUntil && now >= e.cooldownUntil && !e.testsSuspect(now) && !e.inDarkRack()
}

// attach places a task on the executor and reserves its resources.
func (e *executor) attach(t *task) {
	if t.exec == e {
		return
	}
	t.see()
	t.exec = e
	e.tasks[t] = struct{}{}
	e.used = e.used.Add(t.step.spec.Reserved())
	t.step.perExecutor[e]++
	t.job.placedTasks++
	if o := t.job.organisation; o != nil {
		o.used = o.used.Add(t.step.spec.Reserved())
	}
}

// detach takes a task off the executor and releases its resources.
func (e *executor) detach(t *task, now time.Duration) {
	if t.exec != e {
		return
	}
	t.exec = nil
	delete(e.tasks, t)
	e.used = e.used.Sub(t.step.spec.Reserved())
	if t.step.perExecutor[e]--; t.step.perExecutor[e] <= 0 {
		delete(t.step.perExecutor, e)
	}
	t.job.placedTasks--
	if o := t.job.organisation; o != nil {
		o.used = o.used.Sub(t.step.spec.Reserved())
	}
	if len(e.tasks) == 0 {
		e.idleSince = now
	}
}

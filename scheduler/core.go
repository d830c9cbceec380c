package scheduler

import (
	"time"

	"github.com/tamarackworks/tamarackworks/interference"
	"github.com/tamarackworks/tamarackworks/workload"
)

// Options configure a Core.
type Options struct {
	// Epoch is the number of this owner. Later owners have higher ones, and use higher run numbers.
	Epoch uint64
	// Retention is how long final jobs, which are those that have ended, stay known.
	Retention time.Duration
	// StopTimeout is the longest time that a task may run after its stop was ordered.
	StopTimeout time.Duration
	// JobMemory is the memory for jobs in bytes; 0 means no bound. See JobRoom and ReserveJob.
	JobMemory int64
	// IgnoreInterference places long-running tasks without regard to their predicted interference, for comparison.
	IgnoreInterference bool
}

// unreconciled is what an unreconciled executor may still run for an earlier owner.
type unreconciled struct {
	service string
	// tasks holds all tasks that may run there; nil means any task of the service.
	tasks map[workload.TaskID]bool
}

// runsPerEpoch separates the run numbers of successive owners: those of an owner start above (Epoch-1)*runsPerEpoch.
const runsPerEpoch = 1000

// Core holds the jobs, tasks and executors of one owner. It is not safe for concurrent use.
type Core struct {
	opts   Options
	config *workload.Configuration
	// routeHistory includes config as the last configuration.
	routeHistory RouteHistory
	jobs         map[string]*job
	// jobMemory is about how many bytes of memory the jobs take.
	jobMemory int64
	// reservations hold room for jobs that are being stored, reserved is their sum.
	reservations map[string]roomReservation
	reserved     int64
	executors    map[string]*executor
	// members holds the executors of each service, ordered by ID.
	members map[string][]*executor
	// unreconciled holds the executors that may still run tasks for an earlier owner.
	unreconciled map[string]unreconciled
	// pendingCancels holds the IDs of jobs that were cancelled before they became known.
	pendingCancels map[string]bool
	// activeJobs holds the jobs of each service that are not final.
	activeJobs map[string]map[*job]struct{}
	// dirty holds the jobs whose records are to be stored, in this order.
	dirty []*job
	// commands holds the orders that Commands has not returned yet.
	commands []Command
	// wallMS is the wall-clock time of the last Tick, in Unix milliseconds.
	wallMS int64
	// dirtyServices holds the services whose tasks the next Schedule tries to place.
	dirtyServices map[string]bool
	// arrivedWork is the estimated work of the jobs of each service that arrived since this owner started.
	arrivedWork map[string]int64
	// expired holds the jobs whose rows can be removed, until TakeExpired.
	expired []ExpiredJob
	// unplaced counts the long-running tasks of each service for which the last pass found no executor.
	unplaced map[string]int
	// machineCapacities counts all machines by capacity; nil if they are not known yet.
	machineCapacities map[workload.Resources]int
	// cordonedFits holds, by service, a cordoned executor that could take one of them.
	cordonedFits map[string]cordonedFit
	// acksPending is set if ends were processed that no commit covers yet.
	acksPending   bool
	decisions     []Decision
	organisations map[string]*organisation
	// hasUnreadableJobs is set if inherited jobs are left out because their rows cannot be read.
	hasUnreadableJobs bool
	// ordersByUrgency chooses the order of the jobs of a service from their load.
	ordersByUrgency func(queueLoad) bool
	// runtimeModels predict the run times of the tasks of each queue.
	runtimeModels map[string]*runtimeModel
	// waitClocks count what the tasks of each service wait for. waited sums the ended waits of all jobs.
	waitClocks map[string]*waitClock
	waited     waitTimes
	// overloads holds the overloads that Closures found lately.
	overloads map[closureKey]overload
	// incomingMachines is the number of machines that are being moved to each service.
	incomingMachines map[string]int

	// racks holds what is known of racks by name, locality what runs far from their data take.
	racks    map[string]*rackHealth
	locality locality

	// permitsWanted holds, for steps that wait for permits, the executors to ask about and the penalty of each, until PermitRequests.
	// permitsRequested holds the steps with a PermitRequest that has no response yet, and the incarnations of its executors.
	permitsWanted    map[*step]map[*executor]float64
	permitsRequested map[workload.StepID]map[string]int64
	interference     *interferenceState
}

// New returns an empty core.
func New(opts Options) *Core {
	return &Core{
		opts: opts, config: &workload.Configuration{},
		jobs: make(map[string]*job), reservations: make(map[string]roomReservation), executors: make(map[string]*executor), members: make(map[string][]*executor),
		unreconciled: make(map[string]unreconciled), pendingCancels: make(map[string]bool),
		activeJobs: make(map[string]map[*job]struct{}), dirtyServices: make(map[string]bool), arrivedWork: make(map[string]int64), unplaced: make(map[string]int),
		cordonedFits: make(map[string]cordonedFit), waitClocks: make(map[string]*waitClock),
		organisations: make(map[string]*organisation), runtimeModels: make(map[string]*runtimeModel),
		ordersByUrgency: fitsInTime, overloads: make(map[closureKey]overload), racks: make(map[string]*rackHealth),
		interference:  &interferenceState{model: interference.New()},
		permitsWanted: make(map[*step]map[*executor]float64), permitsRequested: make(map[workload.StepID]map[string]int64),
	}
}

// Configure applies a configuration. Versions below the current one are ignored.
func (c *Core) Configure(now time.Duration, config *workload.Configuration) {
	if config.Version < c.config.Version {
		return
	}
	if c.config.Version == 0 {
		c.routeHistory.begin(config)
	} else if config.Version > c.config.Version {
		c.routeHistory.add(c.config, config)
	}
	c.config = config
	c.applyOrganisationLimits()
	for _, j := range c.jobs {
		if !j.status.Final() {
			c.applyRoute(j)
		}
	}
	c.markActiveServicesDirty()
}

// applyRoute sets the service and the policy of a job. They come from the current configuration if it is not older than the
// one with which the job was accepted and has the job's queue, else from the job.
func (c *Core) applyRoute(j *job) {
	service, policy := j.spec.Service, j.spec.Policy
	if c.config.Version >= j.spec.ConfigVersion {
		if r := c.config.RouteByName(j.spec.Route); r != nil {
			service, policy = r.Service, r.Policy
		}
	}
	j.policy = policy
	j.runtimes = c.runtimes(j.spec.Route)
	j.invalidateExpectation()
	if o := j.occs[0]; o != nil {
		j.objective = o.objective()
	}
	if service == j.service {
		return
	}
	if j.service != "" {
		delete(c.activeJobs[j.service], j)
	}
	// A wait in progress is dropped, because it was measured on the clock of the other service.
	j.service, j.waiting = service, false
	if c.activeJobs[service] == nil {
		c.activeJobs[service] = make(map[*job]struct{})
	}
	c.activeJobs[service][j] = struct{}{}
	c.dirtyServices[service] = true
}

// AddJob makes an accepted job known. Inherited jobs were accepted before this owner took over; rec is their stored record,
// at version, or nil. A job whose record does not fit it is not added, because its finished tasks could run again; the error
// wraps ErrRecord. A job that is already known is left as it is.
func (c *Core) AddJob(now time.Duration, spec *workload.Job, rec *Record, version uint64, inherited bool) error {
	return c.addJob(now, spec, rec, version, inherited, !inherited)
}

// AddUnstartedJob makes a job known that was accepted before this owner took over and that no former owner can have started. Unlike
// the tasks of an inherited job, its tasks run on no unreconciled executor. It does not count as an arrival: the jobs accepted in
// the seconds around a takeover become known at once, and would exceed the rates of their organisations and of their queue.
func (c *Core) AddUnstartedJob(now time.Duration, spec *workload.Job) {
	// Without a record there is nothing to restore that can fail.
	_ = c.addJob(now, spec, nil, 0, false, false)
}

// addJob adds a job; arrives is set if it counts as an arrival.
func (c *Core) addJob(now time.Duration, spec *workload.Job, rec *Record, version uint64, inherited, arrives bool) error {
	if c.jobs[spec.ID] != nil {
		return nil
	}
	j := &job{
		spec: spec, arrived: now, submitted: now, inherited: inherited, version: version,
		status: workload.StatusQueued, durableStatus: workload.StatusQueued,
		occs: make(map[int]*occurrence), doneOccs: make(map[int]bool),
	}
	j.organisation = c.organisation(spec.Organisation)
	if rec != nil {
		if err := j.restore(rec); err != nil {
			if inherited {
				c.AddUnreadableJob()
			}
			return err
		}
	}
	c.jobs[spec.ID] = j
	if inherited {
		j.organisation.addUnseen(j, spec)
	}
	if j.status.Final() {
		j.finalAt = now
		c.releaseEnded(j)
		return nil
	}
	if spec.Recurrence == nil {
		j.occurrence(0)
	}
	c.countMemory(j)
	c.applyRoute(j)
	if inherited && j.service == spec.Service && spec.ConfigVersion >= c.routeHistory.since(spec.Route) {
		j.onlyService = spec.Service
	}
	if arrives {
		c.countArrival(j)
		j.beyondShare = !j.organisation.takeToken(now)
	}
	if c.pendingCancels[spec.ID] {
		c.cancel(now, j)
		return nil
	}
	c.completeIfDone(now, j)
	return nil
}

// SetSubmitted records that a job was submitted at a time. The first submission counts; callers measure the objective from it.
func (c *Core) SetSubmitted(id string, at time.Duration) {
	if j := c.jobs[id]; j != nil {
		j.submitted = min(j.submitted, at)
		c.dirtyServices[j.service] = true
	}
}

// occurrence returns occurrence k and creates its tasks on first use.
func (j *job) occurrence(k int) *occurrence {
	if o := j.occs[k]; o != nil {
		return o
	}
	o := &occurrence{number: k, job: j}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		s := &step{spec: spec, occ: o, index: i, remaining: spec.Count, pending: spec.Count, perExecutor: make(map[*executor]int)}
		for n := 0; n < spec.Count; n++ {
			id := workload.TaskID{Job: j.spec.ID, Occurrence: k, Step: i, Index: n}
			s.tasks = append(s.tasks, &task{id: id, job: j, step: s, pace: 100})
		}
		o.steps = append(o.steps, s)
		o.remaining += spec.Count
	}
	j.occs[k] = o
	j.invalidateExpectation()
	j.nextOcc = max(j.nextOcc, k+1)
	return o
}

// Cancel cancels a job and stops its tasks. A job that is not known yet is cancelled when it arrives.
func (c *Core) Cancel(now time.Duration, id string) {
	j := c.jobs[id]
	if j == nil {
		c.pendingCancels[id] = true
		return
	}
	c.cancel(now, j)
}

func (c *Core) cancel(now time.Duration, j *job) {
	if j.status.Final() {
		return
	}
	c.finish(now, j, workload.StatusCancelled)
	c.addDecision(j.spec.ID, "job cancelled", j.logFields(now))
}

// finish makes a job final and stops its tasks that still run.
func (c *Core) finish(now time.Duration, j *job, status workload.Status) {
	c.endWait(now, j)
	j.status, j.finalAt = status, now
	c.countMemory(j)
	c.markRecordDirty(j)
	delete(c.activeJobs[j.service], j)
	for _, o := range j.occs {
		for _, s := range o.steps {
			delete(c.permitsWanted, s)
			for _, t := range s.tasks {
				if t.placed() {
					c.stopTask(now, t, "job is "+string(status))
				}
			}
		}
	}
}

// stopTask orders the stop of a run. Its resources stay reserved until the run is known to be gone.
func (c *Core) stopTask(now time.Duration, t *task, reason string) {
	if t.exec == nil || t.state == taskStopping {
		return
	}
	t.setState(taskStopping)
	t.respondedAt = never
	c.commands = append(c.commands, StopTask{Executor: t.exec.info.ID, Task: t.id, Run: t.run})
	c.addDecision(t.id.String(), "task stops", map[string]any{"executor": t.exec.info.ID, "run": t.run, "reason": reason})
}

// never is later than any report. As the time of a response it means that none has come.
const never = time.Duration(1<<63 - 1)

// markRecordDirty puts the record of a job into the next commits.
func (c *Core) markRecordDirty(j *job) {
	j.dirty = true
	if !j.writeQueued {
		j.writeQueued = true
		c.dirty = append(c.dirty, j)
	}
}

// markActiveServicesDirty makes the next Schedule try to place the tasks of all services with jobs.
func (c *Core) markActiveServicesDirty() {
	for s := range c.activeJobs {
		c.dirtyServices[s] = true
	}
}

// task returns a task, or nil if no known job has it. It creates the occurrence of a recurring job that is not final, because
// an executor may report a run of it before this owner has found the occurrence due.
func (c *Core) task(id workload.TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil || len(j.spec.Steps) == 0 {
		return nil
	}
	o := j.occs[id.Occurrence]
	if o == nil {
		if j.spec.Recurrence == nil || id.Occurrence >= j.spec.Recurrence.Count || j.doneOccs[id.Occurrence] || j.status.Final() {
			return nil
		}
		o = j.occurrence(id.Occurrence)
		c.countMemory(j)
	}
	if id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// completeIfDone makes a job final if all its occurrences are done.
func (c *Core) completeIfDone(now time.Duration, j *job) {
	if j.status.Final() {
		return
	}
	total := 1
	if j.spec.Recurrence != nil {
		total = j.spec.Recurrence.Count
	}
	for k, o := range j.occs {
		if o.remaining == 0 {
			delete(j.occs, k)
			j.invalidateExpectation()
			j.doneOccs[k] = true
		}
	}
	c.countMemory(j)
	if len(j.doneOccs) >= total {
		c.finish(now, j, workload.StatusCompleted)
		c.addDecision(j.spec.ID, "job completed", j.logFields(now))
	}
}

// Status returns the status of a job that callers may see, and whether the job is known. Final statuses are returned only
// once they are durable.
func (c *Core) Status(id string) (workload.Status, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	if j.durableStatus.Final() {
		return j.durableStatus, true
	}
	if j.started {
		return workload.StatusRunning, true
	}
	return workload.StatusQueued, true
}

// QueueLength returns the number of jobs of a queue that are not final and of which no task is known to have started.
func (c *Core) QueueLength(route string) int {
	n := 0
	for _, jobs := range c.activeJobs {
		for j := range jobs {
			if j.spec.Route == route && !j.started {
				n++
			}
		}
	}
	return n
}

// Tick handles what becomes due with time: expired jobs, occurrences of recurring jobs, stalled tasks and evacuations. wallMS
// is the wall-clock time in Unix milliseconds.
func (c *Core) Tick(now time.Duration, wallMS int64) {
	c.wallMS = wallMS
	for _, j := range c.jobs {
		switch {
		case j.status.Final():
			if !j.expiryQueued && !j.dirty && j.placedTasks == 0 && now-j.finalAt > c.opts.Retention {
				j.expiryQueued = true
				c.expired = append(c.expired, ExpiredJob{Job: j.spec.ID, Version: j.version, Rows: j.rows})
			}
			if !j.inherited || len(c.unreconciled) == 0 {
				c.releaseEnded(j)
			}
		case j.spec.Recurrence != nil:
			c.createDueOccurrences(now, j)
		}
	}
	c.updateSlow(now)
	for _, e := range c.executors {
		c.stopStalledTasks(now, e)
		c.evacuate(now, e)
	}
	c.logInterference(now)
	c.markActiveServicesDirty()
}

// ExpiredJob is a final job whose retention is over, so that its rows can be removed. Version is that of its stored record, Rows are those of
// its own rows; see SetRowVersion.
type ExpiredJob struct {
	Job     string
	Version uint64
	Rows    [2]uint64
}

// SetRowVersion records the version of a row by which a job was submitted: row 0 is in its primary, row 1 in its fallback partition, and
// others do not count. The first version counts; 0 means that there is none.
func (c *Core) SetRowVersion(id string, row int, version uint64) {
	if j := c.jobs[id]; j != nil && row >= 0 && row < len(j.rows) && j.rows[row] == 0 {
		j.rows[row] = version
	}
}

// TakeExpired returns at most limit jobs whose rows can be removed. They stay known until Forget, so that a job that is read
// from the store again in the meantime does not run again.
func (c *Core) TakeExpired(limit int) []ExpiredJob {
	n := min(limit, len(c.expired))
	expired := c.expired[:n:n]
	c.expired = c.expired[n:]
	return expired
}

// Forget drops jobs whose rows were removed.
func (c *Core) Forget(expired []ExpiredJob) {
	for _, x := range expired {
		if j := c.jobs[x.Job]; j != nil {
			c.jobMemory -= j.memory
		}
		delete(c.jobs, x.Job)
		delete(c.pendingCancels, x.Job)
	}
}

// KeepExpired puts jobs whose rows could not be removed back, for a later TakeExpired.
func (c *Core) KeepExpired(expired []ExpiredJob) { c.expired = append(c.expired, expired...) }

// createDueOccurrences creates the occurrences of a recurring job that are due.
func (c *Core) createDueOccurrences(now time.Duration, j *job) {
	for j.nextOcc < j.spec.Recurrence.Count {
		due := j.spec.Recurrence.FirstUnixMS + int64(j.nextOcc)*int64(j.spec.Recurrence.Interval)
		if c.wallMS < due {
			return
		}
		if j.doneOccs[j.nextOcc] {
			j.nextOcc++
			continue
		}
		if !c.mayCreateOccurrence(j) {
			return
		}
		j.occurrence(j.nextOcc)
		c.countMemory(j)
		c.dirtyServices[j.service] = true
	}
}

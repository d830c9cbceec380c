package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/tamarackworks/tamarackworks/planner"
	"github.com/tamarackworks/tamarackworks/structs"
)

// maxAttempts is the number of attempts of a batch job. The job fails when the last one is lost with its host.
const maxAttempts = 3

func hostName(i int) string { return fmt.Sprintf("h%03d", i) }

// tick simulates one heartbeat and, unless the table is down, one planning pass of the leader.
func (r *replayer) tick() {
	for _, p := range r.orderedPools {
		p.ArrivalRate = float64(p.arrivals) * 1000 / tickMS
		p.arrivals = 0
		r.dispatch(p)
	}
	s := r.snapshot()
	r.history = planner.Observe(r.history, s, r.time())
	if !r.outage {
		s.History = r.history
		r.plan(s)
	}
	if r.onSample != nil {
		r.onSample(r.currentSample())
	}
}

// plan starts the moves, maintenance exits and job changes that the policy and the planner decide on.
func (r *replayer) plan(s planner.Snapshot) {
	if r.policy.Moves != nil {
		for _, m := range r.policy.Moves(s, r.time()) {
			r.beginMove(m)
		}
	}
	for _, w := range planner.NextExits(r.snapshot(), r.time()) {
		for _, e := range w.Exits {
			r.result.Exits++
			r.takeOutOfService(r.byName[e.Host], structs.PhaseDraining, "")
		}
	}
	r.applyJobPlan(planner.PlaceJobs(r.snapshot(), r.time()))
}

// snapshot returns the input of the planner.
func (r *replayer) snapshot() planner.Snapshot {
	s := planner.Snapshot{Waves: r.waves, Learned: r.learned}
	for _, p := range r.orderedPools {
		p.Backlog, p.InFlight = len(p.queue), 0
		for _, h := range p.hosts {
			p.InFlight += h.InFlight
		}
		s.Pools = append(s.Pools, p.Pool)
	}
	for _, h := range r.hosts {
		h.Tasks = len(h.tasks)
		s.Hosts = append(s.Hosts, h.Host)
	}
	for _, j := range r.jobs {
		if !j.State.Final() {
			s.Jobs = append(s.Jobs, planner.Job{Job: j.Job, Throttled: j.throttled})
		}
	}
	return s
}

func (r *replayer) beginMove(m planner.Move) {
	r.result.Moves++
	r.takeOutOfService(r.byName[m.Host], structs.PhaseReleasing, m.To)
}

// takeOutOfService starts a move or a maintenance exit of a host: the host takes no new requests, and its tasks are
// checkpointed or stopped. It counts a violation if the pool had no disruption budget left.
func (r *replayer) takeOutOfService(h *host, phase structs.Phase, nextPool string) {
	p := r.pools[h.Pool]
	unavailable := 0
	for _, other := range p.hosts {
		if !usable(&other.Host) {
			unavailable++
		}
	}
	if unavailable >= p.MaxUnavailable {
		r.result.BudgetViolations++
	}
	h.Phase, h.NextPool = phase, nextPool
	h.readyMS = r.nowMS + moveOverheadMS
	for _, j := range slices.Clone(h.tasks) {
		if j.Spec.Checkpointable {
			h.readyMS = r.nowMS + moveOverheadMS + checkpointMS
		}
		r.endTask(j, j.Spec.Checkpointable)
		j.State = structs.JobPaused
	}
	r.at(h.readyMS, func() { r.completeIfDrained(h) })
}

// completeIfDrained completes a move or exit once no request runs on the host and readyMS has passed. Both write to the
// table, so they wait for the end of an outage.
func (r *replayer) completeIfDrained(h *host) {
	if r.outage || !h.Live || h.InFlight > 0 || r.nowMS < h.readyMS {
		return
	}
	switch h.Phase {
	case structs.PhaseReleasing:
		from, to := r.pools[h.Pool], r.pools[h.NextPool]
		from.hosts = slices.DeleteFunc(from.hosts, func(o *host) bool { return o == h })
		to.hosts = append(to.hosts, h)
		h.Pool, h.NextPool, h.Phase = to.Name, "", structs.PhaseActive
		r.dispatch(to)
	case structs.PhaseDraining:
		h.Phase, h.Live = structs.PhaseRebooting, false
		r.at(r.nowMS+r.trace.Header.Fleet.RebootMS, func() { r.finishReboot(h) })
	}
}

// finishReboot returns a host to service and marks it as maintained.
func (r *replayer) finishReboot(h *host) {
	r.setLive(h, true)
	r.result.Maintained++
	for i := range r.waves {
		r.waves[i].Done[h.Name] = true
	}
}

// submitJob adds a batch job. A job that fits no host is refused at once.
func (r *replayer) submitJob(record *Record) {
	j := &job{record: *record, Job: structs.Job{
		ID: fmt.Sprintf("j%04d", len(r.jobs)), State: structs.JobQueued, SubmittedUnixMS: epochMS + r.nowMS,
		Spec: structs.JobSpec{
			Service: record.Service, Team: record.Team, Cores: record.DeclaredCores, RunTimeMS: record.DeclaredMS,
			Idempotent: true, Checkpointable: record.Checkpointable,
		},
	}}
	r.result.Batch++
	if reason := planner.UnschedulableReason(r.snapshot(), j.Spec); reason != "" {
		j.State, j.Reason = structs.JobRefused, reason
	}
	r.jobs = append(r.jobs, j)
}

func (r *replayer) applyJobPlan(plan planner.JobPlan) {
	byID := make(map[string]*job, len(r.jobs))
	for _, j := range r.jobs {
		byID[j.ID] = j
	}
	for _, id := range plan.Throttle {
		byID[id].throttled = true
		r.setSpeeds(byID[id].host)
	}
	for _, id := range plan.Unthrottle {
		byID[id].throttled = false
		r.setSpeeds(byID[id].host)
	}
	for _, id := range plan.Checkpoint {
		r.endTask(byID[id], true)
		byID[id].State = structs.JobPaused
	}
	for _, id := range plan.Stop {
		r.endTask(byID[id], false)
		byID[id].State = structs.JobQueued
	}
	for _, refusal := range plan.Refuse {
		byID[refusal.Job].State = structs.JobRefused
	}
	for _, failure := range plan.Fail {
		byID[failure.Job].State = structs.JobFailed
	}
	for _, placement := range plan.Start {
		r.startTask(byID[placement.Job], r.byName[placement.Host])
	}
}

func (r *replayer) startTask(j *job, h *host) {
	j.host, j.Worker, j.State, j.throttled = h, h.Name, structs.JobRunning, false
	j.Starts++
	j.StartedUnixMS = epochMS + r.nowMS
	j.progress, j.updatedMS = j.checkpointed, r.nowMS
	h.tasks = append(h.tasks, j)
	r.setSpeeds(h)
}

// endTask removes a job from its host. If keep is true, because the job is checkpointed or done, it keeps its progress;
// otherwise it returns to its last checkpoint.
func (r *replayer) endTask(j *job, keep bool) {
	h := j.host
	r.progress(j)
	// Completions are scheduled at the next whole millisecond. The part after the work was done kept no host busy.
	if excess := j.progress - float64(j.record.RunMS); excess > 0 {
		r.result.BufferMS += excess * float64(j.record.Cores) / float64(h.Cores)
		j.progress -= excess
	}
	r.pools[h.Pool].batchHosts -= j.hostShare()
	h.tasks = slices.DeleteFunc(h.tasks, func(o *job) bool { return o == j })
	j.host, j.speed, j.throttled = nil, 0, false
	j.completionID++
	if keep {
		j.checkpointed = j.progress
	} else {
		// The lost progress was counted as busy host time; now it counts as buffer.
		r.result.BufferMS += (j.progress - j.checkpointed) * float64(j.record.Cores) / float64(h.Cores)
		j.progress = j.checkpointed
	}
	r.setSpeeds(h)
}

// progress adds the work that a task has done since its last update to its progress. Time after the end of the trace
// does not count.
func (r *replayer) progress(j *job) {
	j.progress += j.speed * float64(min(r.nowMS, r.trace.Header.DurationMS)-min(j.updatedMS, r.trace.Header.DurationMS))
	j.updatedMS = r.nowMS
}

// hostShare returns the share of its host that a task keeps busy.
func (j *job) hostShare() float64 {
	return j.speed * float64(j.record.Cores) / float64(j.host.Cores)
}

// setSpeeds divides the cores of a host among its tasks after a change and schedules their completions anew. Tasks that
// use more cores than they declared slow down all tasks of the host.
func (r *replayer) setSpeeds(h *host) {
	wantedCores := 0.0
	for _, j := range h.tasks {
		wantedCores += j.targetSpeed() * float64(j.record.Cores)
	}
	factor := min(1, float64(h.Cores)/max(wantedCores, 1))
	p := r.pools[h.Pool]
	for _, j := range h.tasks {
		r.progress(j)
		p.batchHosts -= j.hostShare()
		j.speed = j.targetSpeed() * factor
		p.batchHosts += j.hostShare()
		j.completionID++
		completionID := j.completionID
		remaining := float64(j.record.RunMS) - j.progress
		r.at(r.nowMS+int64(remaining/j.speed)+1, func() { r.completeTask(j, completionID) })
	}
}

// targetSpeed returns the speed of a task on a host with enough cores, as a share of full speed.
func (j *job) targetSpeed() float64 {
	if j.throttled {
		return planner.ThrottledShare
	}
	return 1
}

// completeTask ends a job as done and records its run time and use for the planner, unless the completion is outdated
// or after the end of the trace.
func (r *replayer) completeTask(j *job, completionID int) {
	if j.completionID != completionID || r.nowMS > r.trace.Header.DurationMS {
		return
	}
	r.endTask(j, true)
	j.State = structs.JobDone
	key := planner.LearnedKey(j.Spec)
	runTime := time.Duration(j.record.RunMS) * time.Millisecond
	r.learned[key] = r.learned[key].WithRun(j.Spec, runTime).WithUse(j.Spec, float64(j.record.Cores), 0)
}

// requeueOrFail returns a job whose host was lost to the queue, or fails it if its attempts are used up.
func (r *replayer) requeueOrFail(j *job, h *host) {
	j.Attempt++
	j.FailedWorkers = append(j.FailedWorkers, h.Name)
	j.State = structs.JobQueued
	if j.Attempt >= maxAttempts {
		j.State = structs.JobFailed
	}
}

// currentSample returns the sample of the current heartbeat.
func (r *replayer) currentSample() Sample {
	sample := Sample{AtMS: r.nowMS, Moves: r.result.Moves}
	for _, p := range r.orderedPools {
		sample.Backlog += len(p.queue)
		sample.Hosts = append(sample.Hosts, len(p.hosts))
		sample.BufferHosts += bufferHosts(len(p.hosts), p.offered, r.slots(), p.batchHosts)
	}
	return sample
}

package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/tamarackworks/tamarackworks/structs"
)

// ThrottledShare is the fraction of its cores that a throttled task is expected to use.
const ThrottledShare = 0.25

// Job is a long-running job that is not in a final state.
type Job struct {
	structs.Job
	// Throttled is true while the task of the job is throttled.
	Throttled bool
}

// Learned predicts the resource use and run time of jobs with the same LearnedKey from earlier ones.
type Learned struct {
	// Cores and Memory (in MiB) are learned from running tasks, RunTime (in seconds) from jobs that ran without
	// interruption.
	Cores, Memory, RunTime Estimate
}

// Estimate predicts a value from earlier observations. It averages the logarithm of the value and of its ratio to
// the declared value, and predicts from the one with the smaller variance: declarations may be right, wrong by a
// constant factor, or meaningless.
type Estimate struct {
	// Count is the number of observations.
	Count int
	// Value and Ratio are the means of the logarithms, ValueVariance and RatioVariance their variances.
	Value, ValueVariance, Ratio, RatioVariance float64
}

const (
	// estimateWeight is the minimum weight of a new observation, so that old ones fade out.
	estimateWeight = 0.05
	// memoryMargin is the number of standard deviations added to the expected memory. A task that lacks memory is
	// killed, while one that lacks cores only runs more slowly.
	memoryMargin = 1
)

// With returns the estimate with an observation added. A declared value of 0 means that none was declared;
// observations that are not positive are ignored.
func (e Estimate) With(observed, declared float64) Estimate {
	if observed <= 0 {
		return e
	}
	e.Count++
	weight := max(estimateWeight, 1/float64(e.Count))
	e.Value, e.ValueVariance = updateMeanVariance(e.Value, e.ValueVariance, math.Log(observed), weight)
	if declared > 0 {
		e.Ratio, e.RatioVariance = updateMeanVariance(e.Ratio, e.RatioVariance, math.Log(observed/declared), weight)
	}
	return e
}

// updateMeanVariance returns an exponentially weighted mean and variance updated with x.
func updateMeanVariance(mean, variance, x, weight float64) (float64, float64) {
	d := x - mean
	return mean + weight*d, (1 - weight) * (variance + weight*d*d)
}

// predict returns the expected value plus a number of standard deviations, or the declared value if there are no
// observations.
func (e Estimate) predict(declared, deviations float64) float64 {
	switch {
	case e.Count == 0:
		return declared
	case declared <= 0 || e.ValueVariance < e.RatioVariance:
		return math.Exp(e.Value + deviations*math.Sqrt(e.ValueVariance))
	}
	return declared * math.Exp(e.Ratio+deviations*math.Sqrt(e.RatioVariance))
}

// WithUse returns l with the observed use of cores and memory (in MiB) of a running task added.
func (l Learned) WithUse(j structs.JobSpec, cores float64, memoryMB int) Learned {
	l.Cores = l.Cores.With(cores, float64(j.Cores))
	l.Memory = l.Memory.With(float64(memoryMB), float64(j.MemoryMB))
	return l
}

// WithRun returns l with the run time of a job that ran without interruption added.
func (l Learned) WithRun(j structs.JobSpec, run time.Duration) Learned {
	l.RunTime = l.RunTime.With(run.Seconds(), float64(j.RunTimeMS)/1000)
	return l
}

// LearnedKey returns the key in Snapshot.Learned of a job: jobs of the same service and team share their estimates.
func LearnedKey(j structs.JobSpec) string { return j.Service + "/" + j.Team }

// Placement starts a job on a host. Cores, MemoryMB and Accelerators are the resources to reserve.
type Placement struct {
	Job, Host                     string
	Cores, MemoryMB, Accelerators int
}

// Refusal names a job that will not run, or not run again, and the reason.
type Refusal struct {
	Job, Reason string
}

// JobPlan lists the changes to make now. Jobs are named by ID.
type JobPlan struct {
	Start []Placement
	// Refuse lists jobs that never started and can never run: no host is large enough for them, or they alone exceed the
	// quota of their team.
	Refuse []Refusal
	// Fail lists jobs that were lost or failed on every host that is large enough for them.
	Fail []Refusal
	// Throttle and Unthrottle lower and restore the speed of running tasks.
	Throttle, Unthrottle []string
	// Checkpoint and Stop preempt running tasks; the jobs resume later.
	Checkpoint, Stop []string
}

// resources is an amount of cores, memory (in MiB) and accelerators.
type resources struct{ cores, memoryMB, accelerators int }

// expectedResources returns the resources that the task of a job is expected to use: the declared ones, corrected
// by observations. Accelerators are allocated whole, so the declared number applies.
func expectedResources(s *Snapshot, j structs.JobSpec) resources {
	learned := s.Learned[LearnedKey(j)]
	return resources{
		cores: roundUp(learned.Cores.predict(float64(j.Cores), 0)), memoryMB: roundUp(learned.Memory.predict(float64(j.MemoryMB), memoryMargin)),
		accelerators: j.Accelerators,
	}
}

// roundUp rounds x up, but tolerates rounding errors just above a whole number.
func roundUp(x float64) int { return int(math.Ceil(x - 1e-6)) }

// expectedRunTime returns the expected run time of a job, corrected by observations.
func expectedRunTime(s *Snapshot, j structs.JobSpec) time.Duration {
	seconds := s.Learned[LearnedKey(j)].RunTime.predict(float64(j.RunTimeMS)/1000, 0)
	return time.Duration(seconds * float64(time.Second))
}

// UnschedulableReason returns why a job can never run: it alone exceeds the quota of its team, or no host of the snapshot
// is large enough for it. It returns an empty string if the job can run. Hosts out of service are included, because they
// return.
func UnschedulableReason(s Snapshot, j structs.JobSpec) string {
	if reason := overQuotaReason(&s, j); reason != "" {
		return reason
	}
	return newPlacer(&s).noFitReason(j)
}

// overQuotaReason returns why a job alone exceeds the quota of its team, or an empty string if it does not.
func overQuotaReason(s *Snapshot, j structs.JobSpec) string {
	if team := s.Teams[j.Team]; team.MaxCores > 0 && j.Cores > team.MaxCores {
		return fmt.Sprintf("needs %d cores, the quota of team %s is %d", j.Cores, j.Team, team.MaxCores)
	}
	return ""
}

// hasCapacityFor reports whether the empty host is large enough for the declared resources of a job.
func (h *Host) hasCapacityFor(j structs.JobSpec) bool {
	return j.Cores <= h.Cores && j.MemoryMB <= h.MemoryMB && j.Accelerators <= h.Accelerators
}

// candidates returns the hosts that are now in the pools of a service and in spare pools, including those out of
// service.
func (p *placer) candidates(service string) [][]*worker {
	if service == "" {
		return [][]*worker{p.byService[""]}
	}
	return [][]*worker{p.byService[service], p.byService[""]}
}

// potentialCandidates returns the candidates and the hosts whose home pool is one of the same pools. A host may be
// listed twice.
func (p *placer) potentialCandidates(service string) [][]*worker {
	return append(p.candidates(service), p.byHomeService[service], p.byHomeService[""])
}

// noFitReason returns why no potential candidate is large enough for a job, or an empty string if one is.
func (p *placer) noFitReason(j structs.JobSpec) string {
	var largest resources
	found := false
	for _, list := range p.potentialCandidates(j.Service) {
		for _, w := range list {
			if w.hasCapacityFor(j) {
				return ""
			}
			found = true
			largest = resources{max(largest.cores, w.Cores), max(largest.memoryMB, w.MemoryMB), max(largest.accelerators, w.Accelerators)}
		}
	}
	if !found {
		return "no pool serves " + j.Service
	}
	return fmt.Sprintf("needs %d cores, %d MB, %d accelerators; the largest host has %d cores, %d MB, %d accelerators",
		j.Cores, j.MemoryMB, j.Accelerators, largest.cores, largest.memoryMB, largest.accelerators)
}

// failedOnAll reports whether the job has failed on every host that is large enough for it.
func (p *placer) failedOnAll(j *Job) bool {
	if len(j.FailedWorkers) == 0 {
		return false
	}
	for _, list := range p.potentialCandidates(j.Spec.Service) {
		for _, w := range list {
			if w.hasCapacityFor(j.Spec) && !slices.Contains(j.FailedWorkers, w.Name) {
				return false
			}
		}
	}
	return true
}

// worker is a host with its running tasks and free resources.
type worker struct {
	*Host
	pool *Pool
	// free is what requests and tasks leave of the capacity; negative if they exceed it.
	free resources
	// requestCores is the number of cores in use by requests.
	requestCores float64
	tasks        []*Job
}

// placer is the working state of one PlaceJobs call.
type placer struct {
	s       *Snapshot
	pools   map[string]*Pool
	workers map[string]*worker
	// byService lists the hosts that are now in the pools of a service; hosts in spare pools are under the empty name.
	byService map[string][]*worker
	// byHomeService lists the hosts in the same way by home pool. A host lent to another pool returns, so a job that
	// only it can hold can still run.
	byHomeService map[string][]*worker
	// teamCores holds the cores in use by team.
	teamCores map[string]int
	plan      JobPlan
}

// PlaceJobs plans which jobs start on which host, and which running tasks are throttled or preempted in favour of
// urgent requests or because their host leaves. It refuses jobs that no host can hold.
func PlaceJobs(s Snapshot, now time.Time) JobPlan {
	p := newPlacer(&s)
	for i := range s.Jobs {
		p.addRunning(&s.Jobs[i])
	}
	for i := range s.Hosts {
		p.adjustTasks(p.workers[s.Hosts[i].Name], now)
	}
	for _, j := range p.waitingJobs() {
		p.place(j)
	}
	return p.plan
}

// newPlacer returns a placer in which the hosts are used by their requests, but not yet by tasks.
func newPlacer(s *Snapshot) *placer {
	p := &placer{
		s: s, pools: make(map[string]*Pool, len(s.Pools)), workers: make(map[string]*worker, len(s.Hosts)),
		byService: make(map[string][]*worker), byHomeService: make(map[string][]*worker), teamCores: make(map[string]int),
	}
	for i := range s.Pools {
		p.pools[s.Pools[i].Name] = &s.Pools[i]
	}
	for i := range s.Hosts {
		h := &s.Hosts[i]
		w := &worker{Host: h, pool: p.pools[h.Pool], free: resources{h.Cores, h.MemoryMB, h.Accelerators}}
		w.requestCores = float64(h.InFlight) / float64(h.slots()) * float64(h.Cores)
		w.free.cores -= int(math.Ceil(w.requestCores))
		p.workers[h.Name] = w
		addByService(p.byService, w.pool, w)
		addByService(p.byHomeService, p.pools[h.HomePool], w)
	}
	return p
}

// addByService adds a worker to the list of the service of p, or to the list of spare pools. p may be nil.
func addByService(lists map[string][]*worker, p *Pool, w *worker) {
	switch {
	case p == nil:
	case p.Spare:
		lists[""] = append(lists[""], w)
	default:
		lists[p.Service] = append(lists[p.Service], w)
	}
}

// addRunning charges a running job to its host and its team. Other jobs are ignored.
func (p *placer) addRunning(j *Job) {
	if j.State != structs.JobRunning {
		return
	}
	need := expectedResources(p.s, j.Spec)
	p.teamCores[j.Spec.Team] += need.cores
	if w := p.workers[j.Worker]; w != nil {
		w.tasks = append(w.tasks, j)
		w.reserve(need)
	}
}

func (w *worker) reserve(r resources) {
	w.free.cores -= r.cores
	w.free.memoryMB -= r.memoryMB
	w.free.accelerators -= r.accelerators
}

// adjustTasks throttles tasks of a host whose requests and tasks need more than its cores. If that is not enough and
// the pool has a backlog, it preempts tasks that are already throttled. It unthrottles tasks when cores are free again,
// and evicts all tasks of a host that is leaving, moving or otherwise not usable.
func (p *placer) adjustTasks(w *worker, now time.Time) {
	if len(w.tasks) == 0 {
		return
	}
	slices.SortFunc(w.tasks, func(a, b *Job) int {
		// The task that started last is first, because it loses the least progress.
		return cmp.Or(cmp.Compare(b.StartedUnixMS, a.StartedUnixMS), cmp.Compare(a.ID, b.ID))
	})
	if !w.usable() {
		for _, j := range w.tasks {
			p.evict(j, now)
		}
		return
	}
	excess := w.requestCores - float64(w.Cores)
	for _, j := range w.tasks {
		excess += p.expectedCores(j)
	}
	hasBacklog := w.pool != nil && w.pool.Backlog > 0
	for _, j := range w.tasks {
		switch cores := p.expectedCores(j); {
		case excess > 0 && !j.Throttled:
			p.plan.Throttle = append(p.plan.Throttle, j.ID)
			excess -= cores * (1 - ThrottledShare)
		case excess > 0 && hasBacklog && p.preempt(j):
			excess -= cores
		case j.Throttled && !hasBacklog && excess+cores*(1/ThrottledShare-1) <= 0:
			p.plan.Unthrottle = append(p.plan.Unthrottle, j.ID)
			excess += cores * (1/ThrottledShare - 1)
		}
	}
}

// expectedCores returns how many cores the task of a job is expected to use, throttled or not.
func (p *placer) expectedCores(j *Job) float64 {
	cores := float64(expectedResources(p.s, j.Spec).cores)
	if j.Throttled {
		cores *= ThrottledShare
	}
	return cores
}

// evict preempts a task on a host that is not usable, unless it cannot checkpoint and is about to finish.
func (p *placer) evict(j *Job, now time.Time) {
	remaining := expectedRunTime(p.s, j.Spec) - now.Sub(time.UnixMilli(j.StartedUnixMS))
	if !j.Spec.Checkpointable && remaining > 0 && remaining <= maxFinishWait {
		return
	}
	p.preempt(j)
}

// maxFinishWait is the longest expected remaining run time for which a leaving host waits for a task that cannot
// checkpoint. A restart would cost more than the wait.
const maxFinishWait = 30 * time.Second

// preempt plans to checkpoint or stop a task and reports whether that is possible. A non-idempotent task that cannot
// checkpoint must run to completion.
func (p *placer) preempt(j *Job) bool {
	switch {
	case j.Spec.Checkpointable:
		p.plan.Checkpoint = append(p.plan.Checkpoint, j.ID)
	case j.Spec.Idempotent:
		p.plan.Stop = append(p.plan.Stop, j.ID)
	default:
		return false
	}
	return true
}

// waitingJobs returns the jobs to start in order: first those of teams with fewer cores in use, then by submission time
// plus expected run time, so that short jobs pass long ones but no job starves.
func (p *placer) waitingJobs() []*Job {
	var waiting []*Job
	rank := make(map[*Job]int64)
	for i := range p.s.Jobs {
		j := &p.s.Jobs[i]
		if j.CancelRequested || j.State != structs.JobQueued && j.State != structs.JobPaused {
			continue
		}
		waiting = append(waiting, j)
		rank[j] = j.SubmittedUnixMS + expectedRunTime(p.s, j.Spec).Milliseconds()
	}
	slices.SortFunc(waiting, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(p.teamCores[a.Spec.Team], p.teamCores[b.Spec.Team]), cmp.Compare(rank[a], rank[b]),
			cmp.Compare(a.ID, b.ID))
	})
	return waiting
}

// place plans the start of a job, refuses or fails it, or leaves it waiting. A team with no cores in use may start one
// job whose expected cores exceed the quota.
func (p *placer) place(j *Job) {
	if j.Starts == 0 {
		reason := overQuotaReason(p.s, j.Spec)
		if reason == "" {
			reason = p.noFitReason(j.Spec)
		}
		if reason != "" {
			p.plan.Refuse = append(p.plan.Refuse, Refusal{Job: j.ID, Reason: reason})
			return
		}
	}
	if p.failedOnAll(j) {
		p.plan.Fail = append(p.plan.Fail, Refusal{Job: j.ID, Reason: "failed on every host that fits: " + j.Reason})
		return
	}
	need := expectedResources(p.s, j.Spec)
	if team := p.s.Teams[j.Spec.Team]; team.MaxCores > 0 && p.teamCores[j.Spec.Team]+need.cores > team.MaxCores && p.teamCores[j.Spec.Team] > 0 {
		return
	}
	w := p.bestWorker(j, need)
	if w == nil {
		return
	}
	w.reserve(need)
	p.teamCores[j.Spec.Team] += need.cores
	p.plan.Start = append(p.plan.Start, Placement{Job: j.ID, Host: w.Name, Cores: need.cores, MemoryMB: need.memoryMB, Accelerators: need.accelerators})
}

// bestWorker returns the host on which a job starts, or nil if it can start on none now. It prefers hosts with fewer
// recent failures, then hosts in the service's own pools, because a spare host has to be emptied before it can move,
// then the host with the fewest free cores.
func (p *placer) bestWorker(j *Job, need resources) *worker {
	var best *worker
	better := func(a, b *worker) bool {
		return cmp.Or(cmp.Compare(a.RecentFailures, b.RecentFailures), compareBool(a.pool.Spare, b.pool.Spare),
			cmp.Compare(a.free.cores, b.free.cores), cmp.Compare(a.Name, b.Name)) < 0
	}
	for _, list := range p.candidates(j.Spec.Service) {
		for _, w := range list {
			if w.canStart(need, j) && (best == nil || better(w, best)) {
				best = w
			}
		}
	}
	return best
}

// canStart reports whether the job may start on the host now. Expected cores and memory above the capacity of the host
// are reduced to that capacity.
func (w *worker) canStart(need resources, j *Job) bool {
	if !w.usable() || w.pool.Backlog > 0 || !w.hasCapacityFor(j.Spec) || slices.Contains(j.FailedWorkers, w.Name) {
		return false
	}
	return min(need.cores, w.Cores) <= w.free.cores && min(need.memoryMB, w.MemoryMB) <= w.free.memoryMB && need.accelerators <= w.free.accelerators
}

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// ClosureCause is why jobs are refused. The values are log fields, metric labels and part of messages between hosts.
type ClosureCause string

// Causes of closures.
const (
	// ClosedForBacklog means that the machines cannot do the waiting work in time.
	ClosedForBacklog ClosureCause = "backlog"
	// ClosedForShare means the same for jobs beyond the share of their organisation, which come after all others.
	ClosedForShare ClosureCause = "share"
	// ClosedForCap means that an organisation is at its cap and cannot do its own waiting work in time.
	ClosedForCap ClosureCause = "cap"
)

// Closure says which jobs of a queue would certainly end so late that their result has no value, if they arrived now.
type Closure struct {
	Queue string
	// Organisation is the only one whose jobs are refused; empty means those of all.
	Organisation string
	Cause        ClosureCause
	// Work is the most work, in thousandths of a core times milliseconds, of jobs that are not refused. Smaller jobs are placed
	// first, so they can be on time where larger ones cannot.
	Work int64
	// Horizon is how long jobs of the queue may wait as a rule and still have a value. Jobs that may wait longer are not refused.
	Horizon time.Duration
	// Return is how long it takes until a job that arrives then can be on time.
	Return time.Duration
	// Rate is the rate at which the waiting work is done by then, in thousandths of a core.
	Rate int64
	// Floor is the number of jobs a second of each organisation that pass all the same, on all hosts together.
	Floor float64
	// Slope and Shift are the model of run times of the queue.
	Slope, Shift float64
}

// overloadInput is the load of all services, and of the organisations with jobs.
type overloadInput struct {
	services      []serviceLoad
	organisations map[string]organisationLoad
}

// serviceLoad is the load of one service.
type serviceLoad struct {
	// queues are the queues with an objective.
	queues []queueState
	// jobs are the jobs with ready tasks whose result may still have a value, long-running and recurring jobs left out.
	jobs     []jobLoad
	machines machineSupply
}

// queueState is a queue and its model of run times.
type queueState struct {
	name         string
	priority     int
	slope, shift float64
}

// organisationLoad is the state of an organisation.
type organisationLoad struct {
	cap    workload.Resources
	weight float64
	// beyondShare is set if a job that arrives now is beyond its share.
	beyondShare bool
	// atCap is set if none of its waiting tasks fits under its cap.
	atCap bool
}

// jobLoad is a waiting job.
type jobLoad struct {
	queue, organisation string
	priority            int
	beyondShare         bool
	// work decides the order of jobs. demand is what the pending tasks take: resources times milliseconds.
	work   int64
	demand resourceTime
	// horizon is how long a job like this one may wait after its submission and still have a value, slack how long to be on time.
	horizon, slack time.Duration
	// left is how long this one may still wait.
	left time.Duration
}

// resourceTime is CPU in thousandths of a core, memory in MB, and GPUs, each times milliseconds.
type resourceTime struct{ cpu, memory, gpus int64 }

func (r *resourceTime) add(size workload.Resources, times int64) {
	r.cpu += int64(size.CPUMilli) * times
	r.memory += int64(size.MemoryMB) * times
	r.gpus += int64(size.GPUs) * times
}

func (r *resourceTime) sum(o resourceTime) {
	r.cpu, r.memory, r.gpus = r.cpu+o.cpu, r.memory+o.memory, r.gpus+o.gpus
}

// timeUnder returns how long tasks that together never take more than a limit need at least; a limit of 0 is none.
func (r resourceTime) timeUnder(limit workload.Resources) time.Duration {
	longest := int64(0)
	for _, x := range [...]struct {
		need  int64
		limit int
	}{{r.cpu, limit.CPUMilli}, {r.memory, limit.MemoryMB}, {r.gpus, limit.GPUs}} {
		if x.limit > 0 {
			longest = max(longest, x.need/int64(x.limit))
		}
	}
	return time.Duration(longest) * time.Millisecond
}

// machineSupply is the CPU for finite tasks of a service, in thousandths of a core: now, and of machines that arrive later.
type machineSupply struct {
	now      int64
	arriving []arrivingCPU
}

type arrivingCPU struct {
	cpu int64
	in  time.Duration
}

// arrivalStep is the precision of arrivals: each counts from the step before it.
const arrivalStep = 100 * time.Millisecond

// expect adds CPU that arrives. CPU that arrives in the same step is one entry, because each job is compared with all entries.
func (m *machineSupply) expect(cpu int64, in time.Duration) {
	in = in.Truncate(arrivalStep)
	for i := range m.arriving {
		if m.arriving[i].in == in {
			m.arriving[i].cpu += cpu
			return
		}
	}
	m.arriving = append(m.arriving, arrivingCPU{cpu, in})
}

// workIn returns the work that can be done within a time. It takes all machines for empty: a bound that tasks which run now
// do not reach.
func (m machineSupply) workIn(d time.Duration) int64 {
	sum := m.now * d.Milliseconds()
	for _, a := range m.arriving {
		sum += a.cpu * max(d-a.in, 0).Milliseconds()
	}
	return sum
}

// timeFor returns the time in which work can be done. There must be CPU now.
func (m machineSupply) timeFor(work int64) time.Duration {
	arriving := slices.SortedFunc(slices.Values(m.arriving), func(a, b arrivingCPU) int { return cmp.Compare(a.in, b.in) })
	rate, done, at := m.now, int64(0), time.Duration(0)
	for _, a := range arriving {
		if more := rate * (a.in - at).Milliseconds(); done+more < work {
			done += more
			at = a.in
			rate += a.cpu
			continue
		}
		break
	}
	return at + time.Duration((work-done)/rate)*time.Millisecond
}

// decideClosures returns the closures that hold for jobs which arrive now. The load that it handles is a burst of more work than
// the machines of a service can do, and organisations that send more than their weight or than fits under their cap. It refuses
// a job only if the smaller jobs ahead of it take all machines, those in transit and those that could be called included, for
// nearly as long as the job may wait. Jobs that become too late before their turn are not ahead of it.
//
// Of too many closures the last ones are dropped: whole queues before organisations beyond their share, these before organisations at
// their caps.
func decideClosures(in overloadInput) []Closure {
	closures := capClosures(in)
	var queues []Closure
	for i := range in.services {
		s := &in.services[i]
		if s.machines.now <= 0 || s.fits() {
			// Without machines, nothing is known of how fast work will be done.
			continue
		}
		slices.SortFunc(s.jobs, func(a, b jobLoad) int { return cmp.Compare(a.work, b.work) })
		for _, q := range s.queues {
			horizon, slack, ok := typicalLimits(s.jobs, q.name)
			if !ok {
				continue
			}
			ahead := newBacklog(in.organisations, horizon)
			room := s.machines.workIn(time.Duration(closeAt * float64(horizon)))
			if work, found := ahead.addUntil(s.machines, s.jobs, room, func(j jobLoad) bool { return !j.beyondShare && j.priority <= q.priority }); found {
				queues = append(queues, s.closure(q, "", ClosedForBacklog, work, ahead.work, horizon, slack))
			}
			// Jobs beyond the share of their organisation come after all jobs within, of any size.
			all := newBacklog(in.organisations, horizon)
			work := int64(0)
			if _, found := all.addUntil(s.machines, s.jobs, room, func(j jobLoad) bool { return !j.beyondShare }); !found {
				work, found = all.addUntil(s.machines, s.jobs, room, func(j jobLoad) bool { return j.beyondShare && j.priority <= q.priority })
				if !found {
					continue
				}
			}
			for _, name := range in.sortedOrganisations() {
				if in.organisations[name].beyondShare {
					x := s.closure(q, name, ClosedForShare, work, all.work, horizon, slack)
					// Jobs within the share pass; which ones are beyond it is not known before they arrive.
					x.Floor = max(in.organisations[name].weight, x.Floor)
					closures = append(closures, x)
				}
			}
		}
	}
	return append(closures, queues...)
}

// fits reports whether all jobs of the service can be done within the time that any of them may wait. It is the usual case, in which
// the jobs need not be sorted.
func (s *serviceLoad) fits() bool {
	work, shortest := int64(0), time.Duration(1<<63-1)
	for i := range s.jobs {
		work += s.jobs[i].demand.cpu
		shortest = min(shortest, s.jobs[i].horizon)
	}
	return len(s.jobs) == 0 || work <= s.machines.workIn(time.Duration(closeAt*float64(shortest)))
}

// closure returns the closure of a queue for jobs of more than work that find the work ahead.
func (s *serviceLoad) closure(q queueState, organisation string, cause ClosureCause, work, ahead int64, horizon, slack time.Duration) Closure {
	done := max(s.machines.timeFor(ahead), time.Millisecond)
	return Closure{
		Queue: q.name, Organisation: organisation, Cause: cause, Work: work, Horizon: horizon, Return: max(done-slack, 0),
		Rate: max(ahead/done.Milliseconds(), 1), Floor: organisationFloor, Slope: q.slope, Shift: q.shift,
	}
}

// capClosures returns the closures of organisations at their caps.
func capClosures(in overloadInput) []Closure {
	var closures []Closure
	for _, name := range in.sortedOrganisations() {
		o := in.organisations[name]
		if !o.atCap {
			continue
		}
		var own []jobLoad
		for i := range in.services {
			for _, j := range in.services[i].jobs {
				if j.organisation == name {
					own = append(own, j)
				}
			}
		}
		slices.SortFunc(own, func(a, b jobLoad) int { return cmp.Compare(a.work, b.work) })
		for i := range in.services {
			for _, q := range in.services[i].queues {
				horizon, slack, ok := typicalLimits(own, q.name)
				if !ok {
					continue
				}
				var ahead resourceTime
				for _, j := range own {
					if j.priority > q.priority || ahead.timeUnder(o.cap) > j.left {
						continue
					}
					ahead.sum(j.demand)
					if wait := ahead.timeUnder(o.cap); wait > time.Duration(closeAt*float64(horizon)) {
						closures = append(closures, Closure{
							Queue: q.name, Organisation: name, Cause: ClosedForCap, Work: j.work, Horizon: horizon,
							Return: max(wait-slack, 0), Rate: max(ahead.cpu/max(wait.Milliseconds(), 1), 1), Floor: organisationFloor, Slope: q.slope, Shift: q.shift,
						})
						break
					}
				}
			}
		}
	}
	return closures
}

func (in overloadInput) sortedOrganisations() []string {
	names := make([]string, 0, len(in.organisations))
	for name := range in.organisations {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// closeAt is the share of the horizon for which a job must wait at least to be refused. Smaller jobs that arrive later overtake it, so
// that it ends too late with less than the whole horizon ahead of it. In a replay of five times the capacity for 5 s, 2 % of the jobs
// refused at 0.9 would have ended in time, and 10 % at 0.8.
const closeAt = 0.9

// organisationFloor is the number of jobs a second that each organisation may always submit.
const organisationFloor = 1

// horizonQuantile leaves out the few jobs of a queue that may wait much longer than the others, because those that wait as long
// are not refused anyway.
const horizonQuantile = 0.9

// typicalLimits returns how long nearly all waiting jobs of a queue may wait and still have a value, and how long one in the
// middle may wait to be on time. It returns false if no job of the queue waits.
func typicalLimits(jobs []jobLoad, queue string) (horizon, slack time.Duration, ok bool) {
	var horizons, slacks []time.Duration
	for i := range jobs {
		if jobs[i].queue == queue {
			horizons, slacks = append(horizons, jobs[i].horizon), append(slacks, jobs[i].slack)
		}
	}
	if len(horizons) == 0 {
		return 0, 0, false
	}
	slices.Sort(horizons)
	slices.Sort(slacks)
	return horizons[int(horizonQuantile*float64(len(horizons)-1))], slacks[len(slacks)/2], true
}

// backlog sums the CPU that jobs need within a horizon. An organisation counts with no more than its cap lets it use by then.
type backlog struct {
	organisations map[string]organisationLoad
	horizon       time.Duration
	work          int64
	byCapped      map[string]int64
}

func newBacklog(organisations map[string]organisationLoad, horizon time.Duration) *backlog {
	return &backlog{organisations: organisations, horizon: horizon, byCapped: make(map[string]int64)}
}

func (b *backlog) add(j jobLoad) {
	work := j.demand.cpu
	if limit := b.organisations[j.organisation].cap.CPUMilli; limit > 0 {
		work = max(min(work, int64(limit)*b.horizon.Milliseconds()-b.byCapped[j.organisation]), 0)
		b.byCapped[j.organisation] += work
	}
	b.work += work
}

// addUntil adds the jobs that counts selects, in order, until their sum exceeds room. It then returns the work of the last one. Jobs
// whose time has run out when the machines have done the work before them are left out.
func (b *backlog) addUntil(m machineSupply, jobs []jobLoad, room int64, counts func(jobLoad) bool) (work int64, found bool) {
	for i := range jobs {
		if !counts(jobs[i]) || b.work > m.workIn(jobs[i].left) {
			continue
		}
		if b.add(jobs[i]); b.work > room {
			return jobs[i].work, true
		}
	}
	return 0, false
}

// MayBeRefused reports whether a closure can hold for a job. Long-running and recurring jobs and those without an objective are
// never refused.
func MayBeRefused(job *workload.Job) bool {
	longRunning := slices.ContainsFunc(job.Steps, func(s workload.Step) bool { return s.LongRunning })
	return job.Policy.Objective > 0 && job.Recurrence == nil && !longRunning
}

// Refuses reports whether the closure holds for a job of its queue that arrives now.
func (x *Closure) Refuses(job *workload.Job) bool {
	work, horizon, ok := x.forecast(job)
	return ok && work > x.Work && horizon < x.Horizon
}

// forecast returns the expected work of a job and how long it may wait before its result has no value. It returns false for
// jobs that are never refused.
func (x *Closure) forecast(job *workload.Job) (work int64, horizon time.Duration, ok bool) {
	if !MayBeRefused(job) {
		return 0, 0, false
	}
	model := runtimeModel{slope: x.Slope, shift: x.Shift}
	ends, longest := make([]time.Duration, len(job.Steps)), time.Duration(0)
	for i := range job.Steps {
		s := &job.Steps[i]
		runtime := model.predict(s.Estimate.Duration())
		work += int64(s.Count) * int64(s.Size.CPUMilli) * runtime.Milliseconds()
		for _, earlier := range s.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += runtime
		longest = max(longest, ends[i])
	}
	return work, waitLimit(job.Policy, longest), true
}

// ForecastWork returns the expected work of a job, in thousandths of a core times milliseconds, and 0 for a job that is never
// refused.
func (x *Closure) ForecastWork(job *workload.Job) int64 {
	work, _, _ := x.forecast(job)
	return work
}

// waitLimit returns how long a job whose longest chain of steps runs for longest may wait before its result has no value.
func waitLimit(p workload.Policy, longest time.Duration) time.Duration {
	return tooLateFactor*objective(p, longest) - longest
}

package scheduler

import (
	"container/heap"
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// jobRank is the order in which jobs of a service are placed when they need more than the pool holds. Jobs with long-running
// tasks come first, because these have value all the time that they run; then jobs that can still meet their objective; then
// late ones. Within a class and priority the order depends on the load. While all waiting jobs can be on time, the most urgent
// one comes first. When they cannot, the one that needs the least work comes first, so that as many as possible are on time:
// by urgency, each would start when it is nearly too late.
type jobRank struct {
	class int
	// priority is that of the policy; 0 comes first.
	priority int
	// key is the work of the job, or its slack; the lowest comes first.
	key int64
	id  string
	// work is the expected work of tasks that are not placed, in thousandths of a core times milliseconds. slack is how long
	// the job can wait and still meet its objective.
	work  int64
	slack time.Duration
}

// Classes of jobs, in the order in which they are placed.
const (
	classLongRunning = iota
	// classOnTime jobs can still meet their objective.
	classOnTime
	// classLate jobs are expected to miss their objective.
	classLate
	// classBeyondShare jobs arrived beyond the share of their organisation.
	classBeyondShare
	// classTooLate jobs are so late that their result has no value to most callers; they use capacity that is left over.
	classTooLate
)

// tooLateFactor times the objective is the time after which a result has no value to most callers.
const tooLateFactor = 3

// before reports whether a job of rank r is placed before one of rank o.
func (r jobRank) before(o jobRank) bool {
	if r.class != o.class {
		return r.class < o.class
	}
	if r.priority != o.priority {
		return r.priority < o.priority
	}
	if r.key != o.key {
		return r.key < o.key
	}
	return r.id < o.id
}

// waitingJob is a job with ready tasks, and its rank.
type waitingJob struct {
	*job
	jobRank
	// settled is set if all its ready tasks may start; otherwise only those of steps that no former owner can have started.
	settled bool
}

// jobQueue yields jobs by rank. It is a heap because mostly only the first few are placed, and the rest need not be sorted.
type jobQueue struct {
	jobs []waitingJob
	// minSize is, for each resource, the least that any ready task of the jobs needs, minRuntime the shortest run time that one is expected
	// to have.
	minSize    workload.Resources
	minRuntime time.Duration
}

func (q *jobQueue) Len() int           { return len(q.jobs) }
func (q *jobQueue) Less(a, b int) bool { return q.jobs[a].before(q.jobs[b].jobRank) }
func (q *jobQueue) Swap(a, b int)      { q.jobs[a], q.jobs[b] = q.jobs[b], q.jobs[a] }

// Push implements heap.Interface. It does nothing, because no job is added after heap.Init.
func (q *jobQueue) Push(any) {}

// Pop implements heap.Interface. It drops the last job and returns nil, because next has read the job.
func (q *jobQueue) Pop() any {
	q.jobs = q.jobs[:len(q.jobs)-1]
	return nil
}

// next removes and returns the job that ranks first. The queue must not be empty.
func (q *jobQueue) next() waitingJob {
	first := q.jobs[0]
	heap.Pop(q)
	return first
}

// waitingJobs returns the jobs of a service with ready tasks, and begins or ends the waits of the service's jobs. Left out are
// jobs that arrived after arrivedBy, and inherited ones whose ready tasks may all run on executors that have not reported. reconciled says
// that there are no such executors of the service.
func (c *Core) waitingJobs(now, arrivedBy time.Duration, service string, reconciled bool) *jobQueue {
	q := &jobQueue{}
	allReconciled := reconciled && c.allReconciled()
	for j := range c.activeJobs[service] {
		settled := !j.inherited || allReconciled || (reconciled && j.onlyService == service)
		if j.arrived > arrivedBy || !settled && !j.hasReadyUnstartedStep() {
			j.beginWait(c.waitClock(service))
			continue
		}
		expected := j.expectation()
		if !expected.ready {
			c.endWait(now, j)
			continue
		}
		if len(q.jobs) == 0 {
			q.minSize, q.minRuntime = expected.minSize, expected.minRuntime
		}
		q.minSize, q.minRuntime = q.minSize.Min(expected.minSize), min(q.minRuntime, expected.minRuntime)
		j.beginWait(c.waitClock(service))
		q.jobs = append(q.jobs, waitingJob{j, rankOf(now, j), settled})
	}
	byUrgency := c.ordersByUrgency(q.load(c.capacity(now, service)))
	for i := range q.jobs {
		r := &q.jobs[i].jobRank
		r.key = r.work
		if byUrgency && r.class == classOnTime {
			r.key = int64(r.slack)
		}
	}
	heap.Init(q)
	return q
}

// queueLoad is the load of the jobs of a service that wait and can be on time.
type queueLoad struct {
	// jobs is their number, work the sum of their work, in thousandths of a core times milliseconds, and slack the sum of
	// their slacks.
	jobs  int
	work  int64
	slack time.Duration
	// capacity is the CPU of the executors that accept tasks, in thousandths of a core.
	capacity int
}

// load returns the load of the queue at executors with a capacity.
func (q *jobQueue) load(capacity int) queueLoad {
	l := queueLoad{capacity: capacity}
	for i := range q.jobs {
		if r := &q.jobs[i].jobRank; r.class == classOnTime {
			l.jobs++
			l.work += r.work
			l.slack += r.slack
		}
	}
	return l
}

// fitsInTime reports whether the executors can do the work within the mean slack of the jobs.
func fitsInTime(l queueLoad) bool {
	return l.jobs == 0 || float64(l.work)/float64(max(l.capacity, 1)) <= float64(l.slack.Milliseconds())/float64(l.jobs)
}

// capacity returns the CPU of the executors of a service that accept tasks, in thousandths of a core.
func (c *Core) capacity(now time.Duration, service string) int {
	sum := 0
	for _, e := range c.members[service] {
		if e.acceptsTasks(now) {
			sum += e.info.Capacity.CPUMilli
		}
	}
	return sum
}

// rankOf returns the rank of a job at a time. A job counts as late if its longest chain of remaining steps, run without waits,
// is expected to end after its objective.
func rankOf(now time.Duration, j *job) jobRank {
	x := j.expectation()
	r := jobRank{class: classOnTime, priority: j.policy.Priority, id: j.spec.ID, work: x.work}
	r.slack = j.submitted + x.objective - now - x.longest
	switch {
	case x.longRunning:
		r.class = classLongRunning
	case j.spec.Recurrence != nil || r.slack >= 0:
	case now+x.longest > j.submitted+tooLateFactor*x.objective:
		r.class = classTooLate
	default:
		r.class = classLate
	}
	if j.beyondShare && r.class != classLongRunning {
		r.class = max(r.class, classBeyondShare)
	}
	return r
}

// expectation is what a job needs and how long it is expected to take. It is kept until the state of a task or the model of run
// times changes, because a pass looks at all waiting jobs.
type expectation struct {
	// model is the version of the model of run times; 0 means that the expectation is out of date.
	model int
	// ready is set if the job has ready tasks, minSize is the least that any of them needs of each resource, minRuntime their shortest
	// expected run time.
	ready      bool
	minSize    workload.Resources
	minRuntime time.Duration
	// work is the expected work of pending tasks, in thousandths of a core times milliseconds.
	work int64
	// longest is the expected time along the longest chain of steps that are not done.
	longest     time.Duration
	objective   time.Duration
	longRunning bool
}

// expectation returns the up-to-date expectation of the job.
func (j *job) expectation() *expectation {
	if j.expected.model != j.runtimes.version {
		j.expected = j.computeExpectation()
	}
	return &j.expected
}

func (j *job) computeExpectation() expectation {
	x := expectation{model: j.runtimes.version}
	for _, o := range j.occs {
		for _, s := range o.steps {
			x.longRunning = x.longRunning || s.spec.LongRunning
			runtime := s.runtime()
			x.work += int64(s.pending) * int64(s.spec.Size.CPUMilli) * runtime.Milliseconds()
			if !s.hasReadyTasks() {
				continue
			}
			size := s.spec.Reserved()
			if !x.ready {
				x.ready, x.minSize, x.minRuntime = true, size, runtime
			}
			x.minSize, x.minRuntime = x.minSize.Min(size), min(x.minRuntime, runtime)
		}
		remaining, total := o.criticalPaths()
		x.longest, x.objective = max(x.longest, remaining), max(x.objective, objective(j.policy, total))
	}
	return x
}

// invalidateExpectation is called when the state of a task, the steps or the policy of the job change.
func (j *job) invalidateExpectation() { j.expected.model = 0 }

// criticalPaths returns the sum of the expected run times along the longest chain of dependent steps: of the steps that are
// not done, and of all.
func (o *occurrence) criticalPaths() (remaining, total time.Duration) {
	var buf [16]time.Duration
	paths := buf[:]
	if 2*len(o.steps) > len(paths) {
		paths = make([]time.Duration, 2*len(o.steps))
	}
	left, all := paths[:len(o.steps)], paths[len(o.steps):]
	for i, s := range o.steps {
		for _, earlier := range s.spec.After {
			left[i], all[i] = max(left[i], left[earlier]), max(all[i], all[earlier])
		}
		all[i] += s.runtime()
		if s.remaining > 0 {
			left[i] += s.runtime()
		}
		remaining, total = max(remaining, left[i]), max(total, all[i])
	}
	return remaining, total
}

// objective returns the time from the submission of the job within which the occurrence should complete.
func (o *occurrence) objective() time.Duration {
	_, total := o.criticalPaths()
	return objective(o.job.policy, total)
}

// objective returns the time from its submission within which a job should complete whose longest chain of dependent steps runs for
// longest.
func objective(p workload.Policy, longest time.Duration) time.Duration {
	return time.Duration(max(p.SlackFactor, 1)*float64(longest)) + p.Objective.Duration()
}

package scheduler

import (
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// Demand is the load of one service, from which machines are planned for its pool. Work is in thousandths of a core times
// seconds.
type Demand struct {
	// Waiting, Late and TooLate are the estimated work of ready tasks that are not long-running. Waiting is that of jobs that
	// can be on time. Late is that of late jobs and of those beyond the share of their organisation. TooLate is that of
	// jobs whose result has no value any more.
	Waiting, Late, TooLate int64
	// Unplaceable is the estimated work of ready gangs that all machines together could not hold, so that no machine helps them.
	Unplaceable int64
	// Arrived is the estimated work of all jobs that arrived since this owner started, without long-running tasks.
	Arrived int64
	// LongRunning is what ready long-running tasks reserve, in thousandths of a core.
	LongRunning int64
	// Unplaced counts the long-running tasks for which the last pass found no executor. There may be free capacity, on
	// executors that MaxPerExecutor or a cordon rules out. A step without MaxPerExecutor mostly counts once, because the
	// pass does not try its other tasks. A step does not count while the advice service has yet to answer about executors with room.
	Unplaced int
	// CordonedFit is a cordoned executor that could take one of these tasks; empty if there is none. CordonedFitFor is how long
	// there has been one.
	CordonedFit    string
	CordonedFitFor time.Duration
	// Confined counts the long-running tasks on cordoned executors that may be stopped but fit on no other executor.
	Confined int
	// Spread is the number of executors that long-running steps need because of MaxPerExecutor; the largest step counts.
	Spread int
}

// Demands returns the load of all services that have or had jobs.
func (c *Core) Demands(now time.Duration) map[string]Demand {
	demands := make(map[string]Demand)
	for service, arrived := range c.arrivedWork {
		demands[service] = Demand{Arrived: arrived}
	}
	for service, jobs := range c.activeJobs {
		d := demands[service]
		d.Unplaced, d.Confined = c.unplaced[service], c.confinedTasks(now, service)
		if fit, ok := c.cordonedFits[service]; ok {
			d.CordonedFit, d.CordonedFitFor = fit.executor, now-fit.since
		}
		for j := range jobs {
			waiting := d.waitingWork(rankOf(now, j).class)
			for _, o := range j.occs {
				for _, s := range o.steps {
					switch {
					case s.remaining == 0 || !s.ready():
					case s.spec.Gang && !c.machinesMayHold(s):
						d.Unplaceable += int64(s.pending) * s.taskWork()
					default:
						d.add(s, waiting)
					}
				}
			}
		}
		demands[service] = d
	}
	return demands
}

// SetMachineCapacities sets the capacities of all machines, in any pool and state. Before the first call nothing is known of them.
func (c *Core) SetMachineCapacities(capacities []workload.Resources) {
	c.machineCapacities = make(map[workload.Resources]int)
	for _, capacity := range capacities {
		c.machineCapacities[capacity]++
	}
}

// machinesMayHold reports whether all members of a gang would fit at the same moment if all machines were empty and in its pool.
func (c *Core) machinesMayHold(s *step) bool {
	if c.machineCapacities == nil {
		return true
	}
	members := 0
	for capacity, machines := range c.machineCapacities {
		each := capacity.Times(s.spec.Reserved(), s.spec.Count)
		if s.spec.MaxPerExecutor > 0 {
			each = min(each, s.spec.MaxPerExecutor)
		}
		members += machines * each
	}
	return members >= s.spec.Count
}

// waitingWork returns the field that counts the waiting work of a job of a class.
func (d *Demand) waitingWork(class int) *int64 {
	switch class {
	case classLate, classBeyondShare:
		return &d.Late
	case classTooLate:
		return &d.TooLate
	}
	return &d.Waiting
}

// add counts the pending tasks of a ready step: those that are not long-running in waiting, which points to a field of d.
func (d *Demand) add(s *step, waiting *int64) {
	if s.spec.LongRunning {
		if s.spec.MaxPerExecutor > 0 {
			d.Spread = max(d.Spread, (s.spec.Count+s.spec.MaxPerExecutor-1)/s.spec.MaxPerExecutor)
		}
	}
	if s.spec.LongRunning {
		d.LongRunning += int64(s.pending) * int64(s.spec.Reserved().CPUMilli)
		return
	}
	*waiting += int64(s.pending) * s.taskWork()
}

// taskWork returns the estimated work of one task, in thousandths of a core times seconds.
func (s *step) taskWork() int64 {
	return int64(s.spec.Reserved().CPUMilli) * max(s.runtime().Milliseconds(), 1) / 1000
}

// countArrival adds the estimated work of one occurrence of a new job, without long-running steps, to arrivedWork.
func (c *Core) countArrival(j *job) {
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		if !s.LongRunning {
			runtime := j.runtimes.predict(s.Estimate.Duration())
			c.arrivedWork[j.service] += int64(s.Count) * int64(s.Reserved().CPUMilli) * max(runtime.Milliseconds(), 1) / 1000
		}
	}
}

// Usage is the load of one executor.
type Usage struct {
	ID      string
	Service string
	// Usable is set if new tasks may be placed on the executor now, Reachable if it is registered, in contact and not
	// draining. Reported is set if it has reported to this owner.
	Usable, Reachable, Reported bool
	// Tasks is the number of its tasks and of runs that no task needs, LongRunning the number of long-running tasks.
	Tasks, LongRunning int
	// IdleFor is how long it has had no task; 0 if it has one, or is kept for a gang.
	IdleFor            time.Duration
	Cordoned, Yielding bool
	// FreeCPU is in thousandths of a core.
	FreeCPU int
	// FiniteCPU is what tasks that are not long-running reserve, in thousandths of a core; it becomes free as they end.
	FiniteCPU int
}

// Usages returns the load of all executors.
func (c *Core) Usages(now time.Duration) []Usage {
	usages := make([]Usage, 0, len(c.executors))
	for id, e := range c.executors {
		u := Usage{
			ID: id, Service: e.info.Service, Usable: e.acceptsTasks(now), Tasks: e.runs(),
			Reachable: e.registered && e.inContact && !e.info.Draining, Reported: e.reported,
			Cordoned: e.cordoned, Yielding: e.yielding, FreeCPU: e.free().CPUMilli,
		}
		for t := range e.tasks {
			if t.step.spec.LongRunning {
				u.LongRunning++
			} else {
				u.FiniteCPU += t.step.spec.Reserved().CPUMilli
			}
		}
		if u.Tasks == 0 && !e.keptForGang {
			u.IdleFor = now - e.idleSince
		}
		usages = append(usages, u)
	}
	return usages
}

package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// ExpectedMachine is a machine on which no executor is known to run yet.
type ExpectedMachine struct {
	// Service is the one that the machine will serve. It is empty for a machine in standby, which may be called by any.
	Service string
	// Executor is the ID of the executor that the list of machines shows on it, or empty. The machine does not count if that
	// executor is registered.
	Executor string
	CPUMilli int
	// In is how long it takes to arrive.
	In time.Duration
}

const (
	// closureHold is how long an overload must last before jobs are refused. Machines are ordered some 0.1 s after a burst
	// begins; until then the machines in transit are too few.
	closureHold = 500 * time.Millisecond
	// overloadGap is how long an overload may be absent and still count as the same one. An organisation beyond its share is not
	// closed for a moment each second or two; see beyondShareHold.
	overloadGap = 2 * time.Second
	// lendTime is how long it takes until an idle machine of another service can arrive.
	lendTime = 1700 * time.Millisecond
	// maxBusyTime bounds how long a machine of another service may be busy and still count, and with it the entries of
	// machineSupply.arriving.
	maxBusyTime = 10 * time.Second
	// maxLoadHorizon and maxLoadSize, in the unit of each resource, bound the jobs that count. Callers may send any estimates and
	// sizes, and the sums of those that make no sense overflow.
	maxLoadHorizon = time.Hour
	maxLoadSize    = 10_000_000
)

// Closures returns which jobs are refused at a time, given the machines that are expected. It is called several times a second;
// an overload counts once it has lasted for closureHold.
func (c *Core) Closures(now time.Duration, machines []ExpectedMachine) []Closure {
	closures := decideClosures(c.overloadInput(now, machines))
	maps.DeleteFunc(c.overloads, func(_ closureKey, o overload) bool { return now-o.last > overloadGap })
	for i := range closures {
		key := keyOf(&closures[i])
		o, ok := c.overloads[key]
		if !ok {
			o.since = now
		}
		o.last = now
		c.overloads[key] = o
	}
	return slices.DeleteFunc(closures, func(x Closure) bool { return now-c.overloads[keyOf(&x)].since < closureHold })
}

// overload is since when an overload has lasted, and when it was last seen.
type overload struct{ since, last time.Duration }

// closureKey identifies an overload.
type closureKey struct {
	queue, organisation string
	cause               ClosureCause
}

// keyOf returns the key of a closure. Which organisations are beyond their share changes with each job; the overload is that of
// the queue.
func keyOf(x *Closure) closureKey {
	if x.Cause == ClosedForShare {
		return closureKey{queue: x.Queue, cause: x.Cause}
	}
	return closureKey{x.Queue, x.Organisation, x.Cause}
}

// overloadInput returns the input of decideClosures. Services are left out while tasks of an earlier owner may run unseen, as are
// caps, because nothing is certain of them.
func (c *Core) overloadInput(now time.Duration, machines []ExpectedMachine) overloadInput {
	in := overloadInput{organisations: make(map[string]organisationLoad)}
	smallest := make(map[string]workload.Resources)
	loads := make(map[string]*serviceLoad)
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		if r.Policy.Objective <= 0 || len(c.activeJobs[r.Service]) == 0 || !c.allReconciled() {
			continue
		}
		if loads[r.Service] == nil {
			loads[r.Service] = &serviceLoad{jobs: c.jobLoads(now, r.Service, smallest)}
		}
		m := c.runtimes(r.Name)
		loads[r.Service].queues = append(loads[r.Service].queues, queueState{r.Name, r.Policy.Priority, m.slope, m.shift})
	}
	supplies := c.machineSupplies(now, loads, machines)
	for service, load := range loads {
		load.machines = supplies[service]
		in.services = append(in.services, *load)
	}
	for name, o := range c.organisations {
		size, waits := smallest[name]
		if o.limits == nil || !waits {
			continue
		}
		in.organisations[name] = organisationLoad{
			cap: o.limits.Cap, weight: o.limits.Weight, beyondShare: now < o.beyondShareUntil,
			atCap: len(c.unreconciled) == 0 && !o.fitsCap(size, workload.Resources{}),
		}
	}
	return in
}

// jobLoads returns the waiting jobs of a service whose result may still have a value. It sets, for each of their organisations,
// the least of each resource that a waiting task needs.
func (c *Core) jobLoads(now time.Duration, service string, smallest map[string]workload.Resources) []jobLoad {
	var loads []jobLoad
	for j := range c.activeJobs[service] {
		x := j.expectation()
		rank := rankOf(now, j)
		if !x.ready || x.longRunning || j.spec.Recurrence != nil || rank.class == classTooLate {
			continue
		}
		l := jobLoad{
			queue: j.spec.Route, organisation: j.spec.Organisation, priority: j.policy.Priority, beyondShare: j.beyondShare, work: x.work,
		}
		for _, o := range j.occs {
			for _, s := range o.steps {
				l.demand.add(s.spec.Reserved(), int64(s.pending)*s.runtime().Milliseconds())
			}
			_, longest := o.criticalPaths()
			l.horizon, l.slack = waitLimit(j.policy, longest), objective(j.policy, longest)-longest
			l.left = j.submitted + tooLateFactor*x.objective - now - x.longest
		}
		if l.horizon <= 0 || l.horizon > maxLoadHorizon || !j.hasUsualSizes() {
			continue
		}
		if size, ok := smallest[l.organisation]; !ok {
			smallest[l.organisation] = x.minSize
		} else {
			smallest[l.organisation] = size.Min(x.minSize)
		}
		loads = append(loads, l)
	}
	return loads
}

// hasUsualSizes reports whether the sizes of all tasks are within maxLoadSize.
func (j *job) hasUsualSizes() bool {
	return !slices.ContainsFunc(j.spec.Steps, func(s workload.Step) bool {
		r := s.Reserved()
		return min(r.CPUMilli, r.MemoryMB, r.GPUs) < 0 || max(r.CPUMilli, r.MemoryMB, r.GPUs) > maxLoadSize
	})
}

// machineSupplies returns the CPU of each service: that of executors which are registered, whether they respond or not, without
// long-running tasks; that of expected machines; and that of other services' executors that are idle, or will be because no job waits
// there, which may be moved.
func (c *Core) machineSupplies(now time.Duration, loads map[string]*serviceLoad, machines []ExpectedMachine) map[string]machineSupply {
	supplies := make(map[string]machineSupply, len(loads))
	for _, e := range c.executors {
		if !e.registered || e.info.Draining || e.cordoned {
			continue
		}
		cpu := int64(e.info.Capacity.CPUMilli)
		ends, busyFor := true, time.Duration(0)
		for t := range e.tasks {
			if t.step.spec.LongRunning {
				cpu -= int64(t.step.spec.Reserved().CPUMilli)
				ends = false
			}
			busyFor = max(busyFor, t.startedAt+t.step.runtime()-now)
		}
		ends = ends && busyFor <= maxBusyTime
		for service := range loads {
			s := supplies[service]
			switch {
			case e.info.Service == service:
				s.now += max(cpu, 0)
			case e.runs() == 0 || ends && (loads[e.info.Service] == nil || len(loads[e.info.Service].jobs) == 0):
				s.expect(cpu, lendTime+busyFor)
			}
			supplies[service] = s
		}
	}
	for _, m := range machines {
		if e := c.executors[m.Executor]; e != nil && e.registered {
			continue
		}
		for service := range loads {
			if m.Service == service || m.Service == "" {
				s := supplies[service]
				s.expect(int64(m.CPUMilli), m.In)
				supplies[service] = s
			}
		}
	}
	return supplies
}

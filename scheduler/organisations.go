package scheduler

import (
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// organisation is an organisation and what its jobs use. Its cap bounds the total on all executors. Its weight is the rate, in
// jobs a second, at which its jobs are within its share; jobs beyond it rank lower (classBeyondShare).
type organisation struct {
	// limits is nil while the configuration does not have the organisation.
	limits *workload.Organisation
	// used is the sum of what its tasks on executors reserve.
	used workload.Resources
	// unseen is the sum of what the tasks of its inherited jobs reserve that this owner has seen neither on an executor nor
	// done: those that an earlier owner may have running on unreconciled executors. If unseenUnknown is set, there may be
	// others.
	unseen        workload.Resources
	unseenUnknown bool
	// tokens is the number of jobs that may arrive now within its share, as of refilledAt.
	tokens     float64
	refilledAt time.Duration
	// beyondShareUntil is until when it counts as beyond its share, after a job that was.
	beyondShareUntil time.Duration
}

// beyondShareHold is how long an organisation counts as beyond its share after a job that was. A token may be free for a moment
// between two jobs.
const beyondShareHold = time.Second

// organisation returns the state of an organisation, or nil for jobs without one.
func (c *Core) organisation(name string) *organisation {
	if name == "" {
		return nil
	}
	o := c.organisations[name]
	if o == nil {
		o = &organisation{limits: c.config.OrganisationByName(name), unseenUnknown: c.hasUnreadableJobs}
		if o.limits != nil {
			o.tokens = o.limits.Weight
		}
		c.organisations[name] = o
	}
	return o
}

// applyOrganisationLimits applies the limits of the current configuration. Tasks that run above a lowered cap are not stopped.
func (c *Core) applyOrganisationLimits() {
	for name, o := range c.organisations {
		o.limits = c.config.OrganisationByName(name)
	}
}

// takeToken reports whether a job that arrives now is within the share of its organisation, and takes a token if so. The token
// bucket is refilled at the organisation's weight a second and holds the tokens of one second.
func (o *organisation) takeToken(now time.Duration) bool {
	if o == nil || o.limits == nil || o.limits.Weight <= 0 {
		return true
	}
	o.tokens = min(o.limits.Weight, o.tokens+o.limits.Weight*(now-o.refilledAt).Seconds())
	o.refilledAt = now
	if o.tokens < 1 {
		o.beyondShareUntil = now + beyondShareHold
		return false
	}
	o.tokens--
	return true
}

// fitsCap reports whether a task of a size fits under the cap of its organisation. What tasks of the organisation may use on
// unreconciled executors counts as used: no more than unreported, the capacity of these executors, and than unseen.
func (o *organisation) fitsCap(size, unreported workload.Resources) bool {
	if o == nil || o.limits == nil {
		return true
	}
	if !o.unseenUnknown {
		unreported = unreported.Min(o.unseen)
	}
	limit, total := o.limits.Cap, o.used.Add(unreported).Add(size)
	within := func(limit, total int) bool { return limit == 0 || total <= limit }
	return within(limit.CPUMilli, total.CPUMilli) && within(limit.MemoryMB, total.MemoryMB) && within(limit.GPUs, total.GPUs)
}

// addUnseen counts the tasks of an inherited job that an earlier owner may have running. Tasks of a final job may still be
// stopping, unless it completed; it has no state of its tasks.
func (o *organisation) addUnseen(j *job, spec *workload.Job) {
	switch {
	case o == nil || j.status == workload.StatusCompleted:
		return
	case spec.Recurrence != nil:
		o.unseenUnknown = true
		return
	case j.status.Final():
		for i := range spec.Steps {
			size := spec.Steps[i].Reserved()
			for range spec.Steps[i].Count {
				o.unseen = o.unseen.Add(size)
			}
		}
		return
	}
	for _, s := range j.occurrence(0).steps {
		for _, t := range s.tasks {
			if t.state != taskDone {
				t.unseen = true
				o.unseen = o.unseen.Add(s.spec.Reserved())
			}
		}
	}
}

// see records that this owner knows the executor of a task, or that the task is done.
func (t *task) see() {
	if t.unseen {
		t.unseen = false
		t.job.organisation.unseen = t.job.organisation.unseen.Sub(t.step.spec.Reserved())
	}
}

// AddUnreadableJob records that an inherited job is left out because its row cannot be read. Its tasks may run, for any
// organisation.
func (c *Core) AddUnreadableJob() {
	c.hasUnreadableJobs = true
	for _, o := range c.organisations {
		o.unseenUnknown = true
	}
}

// maxUnreportedUse returns the most that tasks of an earlier owner may use on unreconciled executors, which may be full of tasks
// of any one organisation. An executor of unknown capacity counts with the largest capacity known.
func (c *Core) maxUnreportedUse() workload.Resources {
	if len(c.unreconciled) == 0 || len(c.config.Organisations) == 0 {
		return workload.Resources{}
	}
	var sum, largest workload.Resources
	unsized := 0
	for _, e := range c.executors {
		largest = largest.Max(e.info.Capacity)
	}
	for id := range c.unreconciled {
		e := c.executors[id]
		if e == nil || e.info.Capacity == (workload.Resources{}) {
			unsized++
			continue
		}
		sum = sum.Add(e.info.Capacity)
	}
	for range unsized {
		sum = sum.Add(largest)
	}
	return sum
}

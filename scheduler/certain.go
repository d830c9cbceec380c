package scheduler

// The load that this file answers: a data centre is cut off in a burst together with the owner. Jobs that run elsewhere have later steps, which
// must not wait for the executors of that data centre if the former owner cannot have started them.
//
// A step starts once all tasks of the steps before it are known to be done. A report to this owner shows a task as running after its
// executor has fenced the former owner off, so only this owner learns of its end: the former one has started no step after it. That holds
// only for the first run of a task in a job that nobody but the former owner can have started. A later run may stand beside the end
// of an earlier one, which the former owner knew. Gangs are left out: the first end of a member completes all members.

// SetAcceptedInTerm records that an inherited job was accepted in the term of an epoch, so that only the owner of that term can have
// started it.
func (c *Core) SetAcceptedInTerm(id string, epoch uint64) {
	if j := c.jobs[id]; j != nil && epoch > 0 {
		j.firstInheritedRun = int(epoch-1)*runsPerEpoch + 1
	}
}

// recordUnstartedSteps is called when a report to this owner shows a run of an inherited task. It records the steps that no former owner
// can have started.
func (t *task) recordUnstartedSteps(run int) {
	if !t.job.inherited || run != t.job.firstInheritedRun || t.step.spec.LongRunning || t.step.spec.Gang {
		return
	}
	steps := t.step.occ.steps
	for i := t.step.index + 1; i < len(steps); i++ {
		for _, earlier := range steps[i].spec.After {
			if earlier == t.step.index || steps[earlier].unstarted {
				steps[i].unstarted = true
			}
		}
	}
}

// hasReadyUnstartedStep reports whether a step of an inherited job is ready that no former owner can have started.
func (j *job) hasReadyUnstartedStep() bool {
	for _, o := range j.occs {
		for _, s := range o.steps {
			if s.unstarted && s.hasReadyTasks() {
				return true
			}
		}
	}
	return false
}

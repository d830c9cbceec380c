package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// Changed reports whether jobs or executors of a service changed since the last call of Schedule.
func (c *Core) Changed() bool { return len(c.dirtyServices) > 0 }

// Schedule places ready tasks of all services whose jobs or executors changed. Jobs that arrived after arrivedBy are left out:
// if another owner has taken over since, that owner starts them.
func (c *Core) Schedule(now, arrivedBy time.Duration) {
	unreportedUse := c.maxUnreportedUse()
	for service := range c.dirtyServices {
		delete(c.dirtyServices, service)
		c.scheduleService(now, arrivedBy, service, unreportedUse)
	}
}

// scheduleService makes one pass over the ready tasks of a service.
func (c *Core) scheduleService(now, arrivedBy time.Duration, service string, unreportedUse workload.Resources) {
	c.unplaced[service] = 0
	if len(c.activeJobs[service]) == 0 {
		delete(c.cordonedFits, service)
		c.markKept(service, nil)
		return
	}
	clock := c.waitClock(service)
	clock.advance(now)
	reconciled := c.serviceReconciled(service)
	p := &placement{core: c, now: now, candidates: c.acceptingExecutors(now, service), unreportedUse: unreportedUse}
	p.placeJobs(c.waitingJobs(now, arrivedBy, service, reconciled))
	c.markKept(service, p.reserved)
	c.updateCordonedFit(now, service, p.cordonedFit)
	clock.setCause(c.waitCause(p, service, reconciled))
}

// cordonedFit is a cordoned executor that could take a long-running task for which no other executor was found. since is since when
// there has been one without a break.
type cordonedFit struct {
	executor string
	since    time.Duration
}

// updateCordonedFit is called after a pass; e is nil if there is no such executor.
func (c *Core) updateCordonedFit(now time.Duration, service string, e *executor) {
	if e == nil {
		delete(c.cordonedFits, service)
		return
	}
	fit, ok := c.cordonedFits[service]
	if !ok {
		fit.since = now
	}
	fit.executor = e.info.ID
	c.cordonedFits[service] = fit
}

// placeJobs places the ready tasks of waiting jobs by rank, until no executor has room for any of them. Long-running tasks are
// tried even without candidates, because those that are not placed are counted, and machines are moved for them.
func (p *placement) placeJobs(queue *jobQueue) {
	for len(queue.jobs) > 0 {
		j := queue.next()
		if j.class != classLongRunning && p.noRoomFor(queue.minSize, queue.minRuntime) {
			p.allFull = true
			return
		}
		if j.class >= classLate && !p.skipsYielding {
			p.skipsYielding = true
			p.candidates = slices.DeleteFunc(p.candidates, func(e *executor) bool { return e.yielding })
		}
		for _, o := range j.occs {
			for _, s := range o.steps {
				if s.hasReadyTasks() && (j.settled || s.unstarted) {
					p.placeStep(s)
				}
			}
		}
		if !j.hasReadyStep() {
			p.core.endWait(p.now, j.job)
		}
	}
}

// noRoomFor reports whether no candidate has room for a finite task of a size and an expected run time.
func (p *placement) noRoomFor(size workload.Resources, runtime time.Duration) bool {
	for _, e := range p.candidates {
		if e.free().Fits(size) && !p.reserved.keeps(e, p.now+runtime) {
			return false
		}
	}
	return true
}

// serviceReconciled reports whether there is no unreconciled executor that may run any task of the service. Executors of which
// the possible tasks are known do not count; see mayRunElsewhere.
func (c *Core) serviceReconciled(service string) bool {
	for _, s := range c.unreconciled {
		if s.tasks == nil && (s.service == service || s.service == "") {
			return false
		}
	}
	return true
}

// allReconciled reports the same for all services.
func (c *Core) allReconciled() bool {
	for _, s := range c.unreconciled {
		if s.tasks == nil {
			return false
		}
	}
	return true
}

// mayRunElsewhere reports whether a task is among the known tasks that an unreconciled executor may run.
func (c *Core) mayRunElsewhere(id workload.TaskID) bool {
	for _, s := range c.unreconciled {
		if s.tasks[id] {
			return true
		}
	}
	return false
}

// acceptingExecutors returns the executors of a service on which new tasks may be placed, ordered by ID.
func (c *Core) acceptingExecutors(now time.Duration, service string) []*executor {
	var accepting []*executor
	for _, e := range c.members[service] {
		if e.acceptsTasks(now) {
			accepting = append(accepting, e)
		}
	}
	return accepting
}

// placement is one pass over the ready tasks of a service.
type placement struct {
	core *Core
	now  time.Duration
	// candidates are the executors that accept tasks.
	candidates []*executor
	// unreportedUse is the most that tasks of an earlier owner may use on unreconciled executors.
	unreportedUse workload.Resources
	// capped is set once a task does not fit under the cap of its organisation.
	capped bool
	// rejected holds shapes for which no candidate was found in this pass. Gangs add none, because what they lack room for depends on
	// their own members, which are not placed in the end.
	rejected []shape
	// gangWaits is set once there is no room for a gang. reserved is nil until executors are kept for one.
	gangWaits bool
	reserved  *reservation
	// skipsYielding is set once candidates leaves out the executors that yield.
	skipsYielding bool
	// cordonedFit is a cordoned executor that could take a long-running task of this pass that was not placed; nil if there is none.
	// cordoned is the placement that looks for it; nil until the first such task.
	cordonedFit *executor
	cordoned    *placement
	// rackEnds holds, by rack, the expected ends that no task of this pass waits for yet.
	rackEnds map[string][]time.Duration
	// stepCPU holds the results of step.meanCPUAtFullPace in this pass.
	stepCPU map[*step]float64
	// unpermitted is set once a task that needs a permit found no executor.
	unpermitted bool
	// waited is set once a task waits for room in the rack of its data.
	waited bool
	// allFull is set once no candidate has room for any ready task that is left.
	allFull bool
}

// shape is what a task without further constraints needs of an executor.
type shape struct {
	size  workload.Resources
	label string
	// limited is set if the task may not use the executors that are reserved for a gang.
	limited bool
}

// placeStep starts the ready tasks of a step for which there is room.
func (p *placement) placeStep(s *step) {
	if s.spec.Gang {
		p.placeGang(s)
		return
	}
	for _, t := range s.tasks {
		if t.state != taskPending || p.now < t.notBefore || (t.job.inherited && p.core.mayRunElsewhere(t.id)) {
			continue
		}
		if !p.underCap(t) {
			return
		}
		e := p.chooseExecutor(t, s.spec.Reserved(), "")
		if e != nil && s.spec.DataRack != "" && e.info.Rack != s.spec.DataRack && !s.spec.LongRunning && p.waitsForRack(t) {
			p.waited = true
			continue
		}
		if e == nil {
			if s.spec.LongRunning && !p.core.awaitsPermits(s) {
				p.core.unplaced[t.job.service]++
				p.findCordonedFit(t)
			}
			if t.avoidUntil == nil && s.spec.MaxPerExecutor == 0 && !t.suspect() {
				return
			}
			continue
		}
		p.core.startTask(p.now, t, e, t.nextRun(p.core))
	}
}

// findCordonedFit sets cordonedFit, if it is not set, to an executor that could take a task if it were not cordoned.
func (p *placement) findCordonedFit(t *task) {
	if p.cordonedFit != nil {
		return
	}
	if p.cordoned == nil {
		p.cordoned = &placement{core: p.core, now: p.now}
		for _, e := range p.core.members[t.job.service] {
			if e.cordoned && e.acceptsOnceUncordoned(p.now) {
				p.cordoned.candidates = append(p.cordoned.candidates, e)
			}
		}
	}
	p.cordonedFit = p.cordoned.chooseExecutor(t, t.step.spec.Reserved(), "")
}

// underCap reports whether a task fits under the cap of its organisation.
func (p *placement) underCap(t *task) bool {
	if t.job.organisation.fitsCap(t.step.spec.Reserved(), p.unreportedUse) {
		return true
	}
	p.capped = true
	return false
}

// labelFits reports whether an executor has the label that the tasks of the step need.
func (s *step) labelFits(e *executor) bool {
	return s.spec.Label == "" || e.info.HasLabel(s.spec.Label)
}

// chooseExecutor returns the executor with the least penalty for a task, or nil if there is none. Tasks are packed: they go
// where they leave the least CPU free, so that other executors become idle and can be moved to other pools, and large tasks
// still fit. For the same reason long-running tasks are packed on few executors, as long as this does not slow serving tasks
// beyond their objectives. An empty rack means any.
func (p *placement) chooseExecutor(t *task, size workload.Resources, rack string) *executor {
	spec := t.step.spec
	sh := shape{size, spec.Label, p.reserved.excludes(p.now, t)}
	unconstrained := t.avoidUntil == nil && spec.MaxPerExecutor == 0 && rack == "" && !t.suspect() && !p.core.needsPermit(t)
	if unconstrained && p.isRejected(sh) {
		return nil
	}
	var best *executor
	var bestPenalty float64
	var unpermitted []*executor
	apart := p.newSeparation(t)
	for _, e := range p.candidates {
		if !e.free().Fits(size) || !t.step.labelFits(e) || (rack != "" && e.info.Rack != rack) {
			continue
		}
		if sh.limited && p.reserved.executors[e] {
			continue
		}
		if spec.MaxPerExecutor > 0 && t.step.perExecutor[e] >= spec.MaxPerExecutor {
			continue
		}
		if p.now < t.avoidUntil[e.info.ID] || e.testsSuspect(p.now) {
			continue
		}
		if t.suspect() && (!e.settled(p.now) || t.step.perExecutor[e] > 0 && spec.Gang) {
			continue
		}
		if p.core.needsPermit(t) {
			if state := t.step.permits.state(e, p.now); state != permitValid {
				if state == permitUnknown {
					unpermitted = append(unpermitted, e)
				}
				continue
			}
		}
		penalty := p.penalty(t, e)
		penalty += apart.penalty(e, penalty)
		if best == nil || penalty < bestPenalty {
			best, bestPenalty = e, penalty
		}
	}
	apart.record(best)
	p.unpermitted = p.unpermitted || best == nil && p.core.needsPermit(t)
	if best == nil && len(unpermitted) > 0 && p.core.permitsRequested[t.step.id()] == nil {
		for _, e := range unpermitted {
			p.core.wantPermit(t.step, e, p.penalty(t, e))
		}
	}
	if best == nil && unconstrained && !spec.Gang {
		p.rejected = append(p.rejected, sh)
	}
	return best
}

// isRejected reports whether a shape is at least as large as one that was rejected in this pass with as many executors to choose from.
func (p *placement) isRejected(sh shape) bool {
	for _, r := range p.rejected {
		if r.label == sh.label && (sh.limited || !r.limited) && sh.size.CPUMilli >= r.size.CPUMilli && sh.size.MemoryMB >= r.size.MemoryMB && sh.size.GPUs >= r.size.GPUs {
			return true
		}
	}
	return false
}

// Penalties of executors, in addition to the share of CPU that a task would leave free, which is at most 1.
const (
	// remotePenalty applies outside the rack of a task's data. It outweighs packing, because the task takes a multiple of the
	// time there.
	remotePenalty = 100.0
	// leavingPenalty keeps long-running tasks off executors that will be cordoned soon.
	leavingPenalty = 20.0
	// yieldingPenalty lets executors become idle whose machine is needed in another pool.
	yieldingPenalty = 10.0
	// emptyPenalty keeps long-running tasks together, so that other executors can be moved to other pools.
	emptyPenalty = 2.0
	// crowdedPenalty keeps them off executors with a serving task whose tail latency is above crowdedTailRatio of its objective.
	crowdedPenalty   = 10.0
	crowdedTailRatio = 0.7
	// failingPenalty applies to executors that have had no success since a failure, and to those on which the task failed or
	// stalled.
	failingPenalty = 50.0
	// suspectPenalty applies for each task on an executor to tasks that may crash it.
	suspectPenalty = 5.0
)

// penalty returns how unsuitable an executor with room is for a task.
func (p *placement) penalty(t *task, e *executor) float64 {
	spec := t.step.spec
	penalty := 0.0
	if spec.DataRack != "" && e.info.Rack != spec.DataRack {
		penalty += remotePenalty
	}
	if _, failed := t.avoidUntil[e.info.ID]; failed || e.failStreak > 0 {
		penalty += failingPenalty
	}
	if e.slow {
		penalty += slowPenalty
	}
	if e.yielding {
		penalty += yieldingPenalty
	}
	if t.suspect() {
		penalty += suspectPenalty * float64(len(e.tasks))
	}
	remaining := float64(e.free().CPUMilli-spec.Size.CPUMilli) / float64(max(e.info.Capacity.CPUMilli, 1))
	if !spec.LongRunning {
		return penalty + remaining + t.job.domain.distance(e)
	}
	if e.cordonExpected {
		penalty += leavingPenalty
	}
	if e.tailRatio > crowdedTailRatio {
		penalty += crowdedPenalty
	}
	for other := range e.tasks {
		if other.step.spec.LongRunning {
			return penalty + remaining
		}
	}
	return penalty + emptyPenalty + remaining
}

// nextRun returns a run number above all earlier ones of the task, those of earlier owners included.
func (t *task) nextRun(c *Core) int {
	return max(t.run, t.endedRun, int(c.opts.Epoch-1)*runsPerEpoch) + 1
}

// startTask places a task on an executor and orders its start.
func (c *Core) startTask(now time.Duration, t *task, e *executor, run int) {
	t.setState(taskStarting)
	t.orderedAt = now
	t.run, t.percent, t.pace, t.inheritedStopDeadline = run, 0, 100, 0
	t.respondedAt = never
	e.attach(t)
	t.job.domain.join(t, e)
	if t.suspect() {
		e.suspect = t
	}
	permit := ""
	if c.needsPermit(t) {
		permit = t.step.permits.answers[e.info.ID].permit
	}
	c.commands = append(c.commands, StartTask{
		Executor: e.info.ID, Task: t.id, Run: run, Payload: t.job.spec.Payload, Checkpoint: t.checkpoint, Permit: permit,
	})
	fields := map[string]any{
		"executor": e.info.ID, "run": run, "free_cpu_milli": e.free().CPUMilli, "config": c.config.Version, "epoch": c.opts.Epoch,
	}
	if t.job.inherited && len(c.unreconciled) > 0 {
		fields["accepted_config"], fields["unreconciled"] = t.job.spec.ConfigVersion, c.unreconciledServices()
	}
	t.previous.addTo(fields)
	c.addDecision(t.id.String(), "task starts", fields)
}

// unreconciledServices returns the services of unreconciled executors, in order.
func (c *Core) unreconciledServices() []string {
	services := make(map[string]bool)
	for _, s := range c.unreconciled {
		services[s.service] = true
	}
	return slices.Sorted(maps.Keys(services))
}

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// The load that this file answers: gangs, which need room for all their members at the same moment, beside a stream of other tasks. If each
// executor that becomes free went to the next task that fits, a gang would start only when the stream pauses. So executors that hold the gang
// once their finite tasks have ended are reserved for it: tasks that rank after it use them only if they are expected to end before that.
// The gang that ranks first waits no longer than the tasks on these executors run. A gang that the pool cannot hold reserves nothing.

// overdueFactor times its expected run time is how long a task may run before its end cannot be told any more.
const overdueFactor = 2

// reservation keeps executors for a gang during a pass.
type reservation struct {
	step      *step
	executors map[*executor]bool
	// until is when the gang is expected to have room.
	until time.Duration
}

// excludes reports whether a task may not use the reserved executors. Nothing is reserved if r is nil.
func (r *reservation) excludes(now time.Duration, t *task) bool {
	return r != nil && t.step != r.step && (t.step.spec.LongRunning || now+t.step.runtime() > r.until)
}

// keeps reports whether an executor is kept from other tasks that are expected to end at a time.
func (r *reservation) keeps(e *executor, end time.Duration) bool {
	return r != nil && end > r.until && r.executors[e]
}

// markKept records which executors of a service a pass has reserved, so that their machines do not count as idle.
func (c *Core) markKept(service string, r *reservation) {
	for _, e := range c.members[service] {
		e.keptForGang = r != nil && r.executors[e]
	}
}

// placeGang starts all tasks of a gang or none, all with the same run number and checkpoint. A gang that asks for one rack is
// spread over racks only if none has room for it.
func (p *placement) placeGang(s *step) {
	for _, t := range s.tasks {
		if t.state != taskPending || p.now < t.notBefore || (t.job.inherited && p.core.mayRunElsewhere(t.id)) {
			return
		}
	}
	racks := []string{""}
	if s.spec.OneRack {
		racks = append(p.racks(), "")
	}
	for _, rack := range racks {
		if rack == "" && len(racks) > 1 && p.core.awaitsPermits(s) {
			// A rack of which not all executors were asked about may have room.
			break
		}
		chosen := p.chooseForGang(s, rack)
		if chosen == nil {
			continue
		}
		run, checkpoint := 0, ""
		for _, t := range s.tasks {
			run = max(run, t.nextRun(p.core))
			if t.checkpoint != "" {
				checkpoint = t.checkpoint
			}
		}
		for i, t := range s.tasks {
			t.checkpoint = checkpoint
			p.core.startTask(p.now, t, chosen[i], run)
		}
		return
	}
	if p.reserved == nil {
		p.reserved = p.reservationFor(s)
	}
}

// reservationFor returns the executors that have room for a gang first, or nil if those of the pool have none once their finite tasks have
// ended, or if something else keeps the gang from starting there.
func (p *placement) reservationFor(s *step) *reservation {
	all := workload.Resources{}
	avoided := make(map[string]bool)
	for _, t := range s.tasks {
		if t.suspect() {
			// Suspects start one by one, for which room is not the limit.
			return nil
		}
		for id, until := range t.avoidUntil {
			avoided[id] = avoided[id] || p.now < until
		}
		all = all.Add(s.spec.Reserved())
	}
	if !s.occ.job.organisation.fitsCap(all, p.unreportedUse) {
		return nil
	}
	type candidate struct {
		executor *executor
		slots    int
		freeAt   time.Duration
		overdue  time.Duration
	}
	var candidates []candidate
	for _, e := range p.candidates {
		if avoided[e.info.ID] || !p.mayTakeMembers(s, e) {
			continue
		}
		free, freeAt, overdue := e.afterFiniteTasks(p.now)
		if n := s.slots(e, free); n > 0 {
			candidates = append(candidates, candidate{e, n, freeAt, overdue})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.freeAt+a.overdue, b.freeAt+b.overdue), cmp.Compare(b.slots, a.slots), cmp.Compare(a.executor.info.ID, b.executor.info.ID))
	})
	r := &reservation{step: s, executors: make(map[*executor]bool)}
	slots := 0
	for _, x := range candidates {
		r.executors[x.executor] = true
		r.until = max(r.until, x.freeAt)
		if slots += x.slots; slots >= len(s.tasks) {
			return r
		}
	}
	return nil
}

// mayTakeMembers reports whether an executor has the label that a gang needs and is not denied to it. The advice service is asked about an
// executor only once it has room.
func (p *placement) mayTakeMembers(s *step, e *executor) bool {
	return s.labelFits(e) && (s.occ.job.policy.Permits == nil || s.permits.state(e, p.now) != permitDenied)
}

// afterFiniteTasks returns what is free on the executor once its finite tasks have ended, and when that is expected. overdue is how long
// a task there has run of which the expected run time is off by more than overdueFactor; it may end now, or not for a long time.
func (e *executor) afterFiniteTasks(now time.Duration) (free workload.Resources, at, overdue time.Duration) {
	free, at = e.free(), now
	for t := range e.tasks {
		if t.step.spec.LongRunning {
			continue
		}
		began := t.startedAt
		if t.state == taskStarting {
			began = t.orderedAt
		}
		free = free.Add(t.step.spec.Reserved())
		at = max(at, began+t.step.runtime())
		if now-began > overdueFactor*t.step.runtime() {
			overdue = max(overdue, now-began)
		}
	}
	return free, at, overdue
}

// racks returns the racks of the candidates.
func (p *placement) racks() []string {
	seen := make(map[string]bool)
	var racks []string
	for _, e := range p.candidates {
		if !seen[e.info.Rack] {
			seen[e.info.Rack] = true
			racks = append(racks, e.info.Rack)
		}
	}
	return racks
}

// chooseForGang returns an executor for each task of a gang, or nil if one has none. It attaches the tasks while it chooses, so
// that the next one finds their resources reserved, and detaches them in the end. An empty rack means any.
func (p *placement) chooseForGang(s *step, rack string) []*executor {
	if !p.hasSlots(s, rack) {
		p.gangWaits = true
		return nil
	}
	var chosen []*executor
	defer func() {
		for i, e := range chosen {
			e.detach(s.tasks[i], e.idleSince)
		}
	}()
	for _, t := range s.tasks {
		var e *executor
		if p.underCap(t) {
			e = p.chooseExecutor(t, s.spec.Reserved(), rack)
		}
		if e == nil {
			return nil
		}
		chosen = append(chosen, e)
		e.attach(t)
	}
	return chosen
}

// hasSlots reports whether the candidates have room for all tasks of a gang, by size, label and rack alone.
func (p *placement) hasSlots(s *step, rack string) bool {
	slots := 0
	for _, e := range p.candidates {
		if s.labelFits(e) && (rack == "" || e.info.Rack == rack) {
			slots += s.slots(e, e.free())
		}
		if slots >= len(s.tasks) {
			return true
		}
	}
	return false
}

// slots returns how many tasks of the step that are not placed fit into free resources of an executor.
func (s *step) slots(e *executor, free workload.Resources) int {
	n := free.Times(s.spec.Reserved(), len(s.tasks))
	if s.spec.MaxPerExecutor > 0 {
		n = max(min(n, s.spec.MaxPerExecutor-s.perExecutor[e]), 0)
	}
	return n
}

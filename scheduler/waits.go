package scheduler

import "time"

// WaitCause is the cause for which the ready tasks of a service wait. The values are log fields and metric labels.
type WaitCause string

// Causes of waits.
const (
	// WaitUnreconciled means that unreconciled executors may run any task of the service for an earlier owner.
	WaitUnreconciled WaitCause = "settling"
	// WaitContact means that no executor of the service accepts tasks.
	WaitContact WaitCause = "contact"
	// WaitMachine means that no executor has room and that a machine is being moved to the service.
	WaitMachine WaitCause = "machine"
	// WaitRoom means that no executor has room and that no machine is being moved to the service.
	WaitRoom WaitCause = "room"
	// WaitQuota means that there is room, but that an organisation has reached its cap.
	WaitQuota WaitCause = "quota"
	// WaitPermit means that there is room, but no permit of the advice service to use it.
	WaitPermit WaitCause = "permit"
	// WaitOther covers tasks that may not start on the executors with room, and the time until the next pass.
	WaitOther WaitCause = "other"
)

// waitCauses holds all causes; waitTimes has the same order.
var waitCauses = [...]WaitCause{WaitUnreconciled, WaitContact, WaitMachine, WaitRoom, WaitQuota, WaitPermit, WaitOther}

// WaitCauses returns all causes.
func WaitCauses() []WaitCause { return waitCauses[:] }

// waitTimes holds a duration for each cause.
type waitTimes [len(waitCauses)]time.Duration

func (w *waitTimes) add(o waitTimes) {
	for i := range w {
		w[i] += o[i]
	}
}

func (w *waitTimes) sub(o waitTimes) waitTimes {
	var d waitTimes
	for i := range w {
		d[i] = w[i] - o[i]
	}
	return d
}

// waitClock counts time for a service by the cause of its waits. A job's wait is the difference of two readings, so that a pass
// need not update each waiting job.
type waitClock struct {
	updatedAt time.Duration
	// cause is the index of the current cause in waitCauses.
	cause int
	total waitTimes
}

// advance counts the time since the last call for the current cause.
func (w *waitClock) advance(now time.Duration) {
	if w.updatedAt > 0 {
		w.total[w.cause] += now - w.updatedAt
	}
	w.updatedAt = now
}

// setCause sets the cause for which time counts from now on.
func (w *waitClock) setCause(cause WaitCause) {
	for i, c := range waitCauses {
		if c == cause {
			w.cause = i
		}
	}
}

// waitClock returns the clock of a service and creates it on first use.
func (c *Core) waitClock(service string) *waitClock {
	w := c.waitClocks[service]
	if w == nil {
		w = &waitClock{}
		w.setCause(WaitOther)
		c.waitClocks[service] = w
	}
	return w
}

// ExpectMachines sets the number of machines that are being moved to each service.
func (c *Core) ExpectMachines(incoming map[string]int) { c.incomingMachines = incoming }

// beginWait begins the wait of a job, unless one is in progress.
func (j *job) beginWait(w *waitClock) {
	if !j.waiting {
		j.waiting, j.clockAtWaitStart = true, w.total
	}
}

// endWait ends the wait of a job, if one is in progress, and counts it.
func (c *Core) endWait(now time.Duration, j *job) {
	if !j.waiting {
		return
	}
	w := c.waitClock(j.service)
	w.advance(now)
	waited := w.total.sub(j.clockAtWaitStart)
	j.waited.add(waited)
	c.waited.add(waited)
	j.waiting = false
}

// hasReadyStep reports whether a step of the job has ready tasks.
func (j *job) hasReadyStep() bool {
	for _, o := range j.occs {
		for _, s := range o.steps {
			if s.hasReadyTasks() {
				return true
			}
		}
	}
	return false
}

// lacksRoom reports whether the pass found no executor with room for a task or a gang.
func (p *placement) lacksRoom() bool { return len(p.rejected) > 0 || p.allFull || p.gangWaits }

// waitCause returns why ready tasks still wait after a pass.
func (c *Core) waitCause(p *placement, service string, reconciled bool) WaitCause {
	switch {
	case !reconciled:
		return WaitUnreconciled
	case p.waited:
		return WaitRoom
	case len(p.candidates) == 0:
		return WaitContact
	case !p.lacksRoom() && p.capped:
		return WaitQuota
	case !p.lacksRoom() && p.unpermitted:
		return WaitPermit
	case !p.lacksRoom():
		return WaitOther
	case c.incomingMachines[service] > 0:
		return WaitMachine
	}
	return WaitRoom
}

// Waited returns the sum of all ended waits of jobs by cause.
func (c *Core) Waited() map[WaitCause]time.Duration {
	sums := make(map[WaitCause]time.Duration, len(waitCauses))
	for i, cause := range waitCauses {
		sums[cause] = c.waited[i]
	}
	return sums
}

// logFields returns the fields of the log line about the end of a job.
func (j *job) logFields(now time.Duration) map[string]any {
	fields := map[string]any{
		"queue": j.spec.Route, "took_ms": (now - j.submitted).Milliseconds(), "objective_ms": j.objective.Milliseconds(),
		"slowest_start_ms": j.slowestStart.Milliseconds(), "retries": j.retries, "inherited": j.inherited,
	}
	for i, cause := range waitCauses {
		if j.waited[i] > 0 {
			fields["wait_"+string(cause)+"_ms"] = j.waited[i].Milliseconds()
		}
	}
	return fields
}

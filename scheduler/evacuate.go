package scheduler

import (
	"time"
)

const (
	// stallFactor times the estimate, and at least minStallTime, is how long a task may run without progress before it
	// counts as stalled. The factor is 2 because estimates are off by half.
	stallFactor  = 2
	minStallTime = 2500 * time.Millisecond
	// stallCooldown is how long an executor gets no new tasks after a task stalled on it.
	stallCooldown = 4 * time.Second
	// startupTimeout is how long a long-running task may take until it serves; after that it is moved if it stalls.
	startupTimeout = 5 * time.Second
)

// stopStalledTasks stops the stalled tasks on an executor, so that they start elsewhere. Best-effort tasks are left out:
// they make no progress while their pace is 0.
func (c *Core) stopStalledTasks(now time.Duration, e *executor) {
	if !e.inContact {
		return
	}
	for t := range e.tasks {
		if t.state != taskRunning || t.step.spec.BestEffortCPU || !t.stalled() {
			continue
		}
		t.avoidExecutor(e, now)
		e.cooldownUntil = max(e.cooldownUntil, now+stallCooldown)
		c.stopTask(now, t, "no progress")
	}
}

// stalled reports whether a running task has made no progress for too long.
func (t *task) stalled() bool {
	if t.unlisted {
		return false
	}
	// Progress is only known up to the last report.
	idle := t.exec.reportedAt - t.progressChangedAt
	if t.step.spec.LongRunning {
		return t.percent < 100 && t.exec.reportedAt-t.startedAt > startupTimeout && idle > minStallTime
	}
	if t.percent >= 100 {
		return false
	}
	return idle > max(minStallTime, stallFactor*t.step.spec.Estimate.Duration())
}

// Cordon turns the cordon of an executor on or off. A cordoned executor gets no new tasks, and its long-running tasks are
// moved elsewhere.
func (c *Core) Cordon(now time.Duration, id string, on bool) {
	e := c.executors[id]
	if e == nil || e.cordoned == on {
		return
	}
	e.cordoned = on
	c.dirtyServices[e.info.Service] = true
	if on {
		c.evacuate(now, e)
	}
}

// ExpectCordons names all executors that will be cordoned later; it replaces those named before. Long-running tasks are placed
// on other executors if possible.
func (c *Core) ExpectCordons(ids map[string]bool) {
	for id, e := range c.executors {
		e.cordonExpected = ids[id]
	}
}

// evacuate stops long-running tasks on a cordoned or draining executor, so that they start elsewhere. On a cordoned one a task
// is stopped only if its step stays within MaxUnavailable (at least 1) and another executor has room for the task. On a draining
// one all are stopped at once. Other tasks are left to end.
func (c *Core) evacuate(now time.Duration, e *executor) {
	if !e.cordoned && !e.info.Draining {
		return
	}
	for t := range e.tasks {
		if t.state != taskRunning || !t.step.spec.LongRunning {
			continue
		}
		if e.info.Draining || (c.mayStop(t) && c.fitsElsewhere(now, t)) {
			c.stopTask(now, t, "executor leaves")
		}
	}
}

// confinedTasks counts the long-running tasks on cordoned executors of a service that evacuate would stop if another executor had
// room for them.
func (c *Core) confinedTasks(now time.Duration, service string) int {
	n := 0
	for _, e := range c.members[service] {
		if !e.cordoned {
			continue
		}
		for t := range e.tasks {
			if t.state == taskRunning && t.step.spec.LongRunning && c.mayStop(t) && !c.fitsElsewhere(now, t) {
				n++
			}
		}
	}
	return n
}

// mayStop reports whether stopping a task keeps its step within MaxUnavailable. The task itself counts as serving, because it
// may have begun to serve since the last report.
func (c *Core) mayStop(t *task) bool {
	unavailable := t.step.unavailable()
	if !t.serving() {
		unavailable--
	}
	return unavailable < max(t.step.spec.MaxUnavailable, 1)
}

// fitsElsewhere reports whether another executor could take a task of a cordoned or draining executor.
func (c *Core) fitsElsewhere(now time.Duration, t *task) bool {
	p := &placement{core: c, now: now, candidates: c.acceptingExecutors(now, t.job.service)}
	return p.chooseExecutor(t, t.step.spec.Reserved(), "") != nil
}

// Idle reports whether an executor runs nothing. Unknown executors run nothing.
func (c *Core) Idle(id string) bool {
	e := c.executors[id]
	return e == nil || e.runs() == 0
}

// PollWait returns how long an executor may hold back a report until a task ends. It is shorter while the progress or the
// latency of a task matters.
func (c *Core) PollWait(id string) time.Duration {
	e := c.executors[id]
	if e == nil {
		return defaultPollWait
	}
	wait := defaultPollWait
	hasBestEffort, hasServing := false, false
	for t := range e.tasks {
		hasBestEffort = hasBestEffort || t.step.spec.BestEffortCPU
		hasServing = hasServing || t.step.spec.TailLatencyObjective > 0
		if t.step.spec.LongRunning && (t.percent < 100 || t.inheritedStopDeadline != 0) {
			wait = min(wait, startupPollWait)
		}
	}
	if hasBestEffort && hasServing {
		wait = min(wait, sharedPollWait)
	}
	return wait
}

const (
	// defaultPollWait is below the limit of 2 s that executors set to a waiting report.
	defaultPollWait = 1500 * time.Millisecond
	// sharedPollWait applies where best-effort tasks run beside serving ones. Executors measure latency over half a second.
	sharedPollWait = 500 * time.Millisecond
	// startupPollWait applies while a long-running task does not serve yet: the next task of its step can only be moved
	// once it does.
	startupPollWait = 250 * time.Millisecond
)

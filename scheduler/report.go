package scheduler

import (
	"slices"
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// Report handles a report of an executor about its tasks. sentAt is when the report was requested, and lastEnd the number of the
// last end that it covers.
func (c *Core) Report(now time.Duration, id string, r workload.Report, sentAt time.Duration, lastEnd int64) {
	e := c.executor(now, id)
	crashedAt, crashTimeKnown := e.crashTime(now)
	crashTimeKnown = crashTimeKnown && !e.crashRecorded
	e.crashRecorded = false
	if e.reported && !e.inContact {
		c.addDecision(id, "executor reports again", map[string]any{
			"silent_ms": (now - e.noContactSince).Milliseconds(), "running": len(r.Running), "ended": len(r.Ended),
		})
	}
	e.inContact, e.reportedAt = true, now
	c.recordAnswer(e, sentAt)
	if !e.reported {
		e.reported = true
		c.dirtyServices[e.info.Service] = true
	}
	e.tailRatio = 0
	restarted := e.incarnation != 0 && r.BornUnixMS != e.incarnation
	if restarted {
		// Stops that the former incarnation has answered do not hold for this one.
		clear(e.unwantedStopAt)
	}
	present := make(map[workload.TaskID]int, len(r.Running))
	var unwanted []workload.TaskID
	for _, x := range r.Running {
		present[x.Task] = x.Run
		if !c.handleRunning(now, e, x, sentAt, restarted) {
			unwanted = append(unwanted, x.Task)
		}
	}
	c.setUnwantedRuns(now, e, unwanted)
	for _, x := range r.Ended {
		c.handleEnded(now, e, x)
	}
	if restarted && crashTimeKnown && !r.MoreEnds {
		c.recordCrash(now, e, crashedAt, present)
	}
	// A run that another incarnation lists has not been running there since its start was confirmed.
	if !restarted {
		c.acquit(now, e, present)
	}
	for t := range e.tasks {
		run, ok := present[t.id]
		if ok && run == t.run {
			continue
		}
		if !t.absent(sentAt, restarted) {
			continue
		}
		if t.unlisted = r.MoreEnds; !t.unlisted {
			fields := map[string]any{
				"executor": id, "run": t.run, "requested_ms_ago": (now - sentAt).Milliseconds(), "restarted": restarted,
				"last_end": lastEnd, "durable_end": e.durableEnd,
			}
			if t.respondedAt != never {
				fields["responded_ms_ago"] = (now - t.respondedAt).Milliseconds()
			}
			c.addDecision(t.id.String(), "run is gone without an end", fields)
			c.requeue(now, t, lossAbsent)
		}
	}
	if r.BornUnixMS != e.incarnation {
		e.incarnation, e.ackedEnd, e.durableEnd = r.BornUnixMS, 0, 0
	}
	e.lastEnd = lastEnd
	if e.lastEnd > e.ackedEnd {
		c.acksPending = true
	}
	c.setMoreEnds(now, e, r.MoreEnds)
	if !r.MoreEnds {
		c.markReconciled(id)
	}
	c.observeInterference(now, e, r)
	c.adjustPace(now, e)
}

// ReportEnds handles ended runs that an executor listed in a response that came late. Unlike a report, it proves neither contact nor
// what runs now.
func (c *Core) ReportEnds(now time.Duration, id string, bornUnixMS int64, ended []workload.EndedTask, lastEnd int64) {
	e := c.executors[id]
	if e == nil {
		return
	}
	if e.incarnation == 0 {
		e.incarnation = bornUnixMS
	}
	if e.incarnation != bornUnixMS {
		return
	}
	for _, x := range ended {
		c.handleEnded(now, e, x)
	}
	e.lastEnd = max(e.lastEnd, lastEnd)
	if e.lastEnd > e.ackedEnd {
		c.acksPending = true
	}
}

// setMoreEnds records whether the executor may have ended runs that its last report did not list.
func (c *Core) setMoreEnds(now time.Duration, e *executor, more bool) {
	if e.moreEnds == more {
		return
	}
	e.moreEnds = more
	message := "list of ended runs is incomplete"
	if !more {
		message = "list of ended runs is complete again"
		c.dirtyServices[e.info.Service] = true
		if len(e.tasks) == 0 {
			e.idleSince = now
		}
	}
	c.addDecision(e.info.ID, message, map[string]any{"tasks": len(e.tasks), "last_end": e.lastEnd, "durable_end": e.durableEnd})
}

// absent reports whether a report that was requested at sentAt and does not show the run proves that the run is gone, if the report lists all
// ended runs. It proves
// nothing while the outcome of the start is unknown, because the start may still be carried out, or if the last order was
// answered after the request, because the report may not reflect it. While a stop has no answer, it is a proof only after a
// restart of the executor, and only if the run was confirmed before the request.
func (t *task) absent(sentAt time.Duration, restarted bool) bool {
	switch {
	case t.state == taskStarting:
		return false
	case restarted && t.respondedAt == never:
		return t.startedAt < sentAt
	}
	return t.respondedAt < sentAt
}

// handleRunning handles a run that a report shows, and reports whether a task of this owner has it. Otherwise it is stopped. restarted is set
// in the first report of an incarnation.
func (c *Core) handleRunning(now time.Duration, e *executor, x workload.RunningTask, sentAt time.Duration, restarted bool) bool {
	t := c.task(x.Task)
	if t != nil {
		t.job.started = true
	}
	switch {
	case t == nil:
		c.stopUnwanted(now, e, x.Task, x.Run, "no job needs it")
		return false
	case t.exec == e && t.run == x.Run:
		t.reportedRun, t.unlisted = x.Run, false
		if t.state == taskStarting {
			t.setState(taskRunning)
			t.startedAt, t.progressChangedAt, t.respondedAt = now, now, now
		}
		if x.Percent != t.percent {
			t.percent, t.progressChangedAt = x.Percent, now
		}
		if x.Checkpoint != "" {
			t.checkpoint = x.Checkpoint
		}
		if sentAt >= t.inheritedStopDeadline {
			t.inheritedStopDeadline = 0
		}
		t.updateTailRatio(x)
		if (t.state == taskStopping || t.state == taskDone) && t.respondedAt != never && (restarted || now-t.respondedAt > stopRetryInterval) {
			t.respondedAt = never
			c.commands = append(c.commands, StopTask{Executor: e.info.ID, Task: t.id, Run: t.run})
		}
	case t.state == taskPending && !t.job.status.Final() && (x.Run > t.endedRun || !t.step.spec.Gang && t.previous.contradictedBy(e, x)):
		c.adopt(now, e, t, x)
	default:
		c.stopUnwanted(now, e, x.Task, x.Run, "the task is done or runs elsewhere")
		return false
	}
	return true
}

// updateTailRatio counts the tail latency of a serving task in the tailRatio of its executor.
func (t *task) updateTailRatio(x workload.RunningTask) {
	if objective := t.step.spec.TailLatencyObjective; objective > 0 && t.percent >= 100 {
		t.exec.tailRatio = max(t.exec.tailRatio, x.TailLatencyOrCPU/float64(objective))
	}
}

// adopt takes over a run that an earlier owner started, or that this owner took to be gone although it goes on. The executor rejects
// further orders of an earlier owner, but may still be carrying out a stop, which takes up to StopTimeout.
func (c *Core) adopt(now time.Duration, e *executor, t *task, x workload.RunningTask) {
	t.setState(taskRunning)
	t.run = x.Run
	t.startedAt, t.progressChangedAt, t.respondedAt = now, now, now
	t.percent, t.inheritedStopDeadline = x.Percent, now+c.opts.StopTimeout
	if x.Checkpoint != "" {
		t.checkpoint = x.Checkpoint
	}
	t.recordUnstartedSteps(x.Run)
	e.attach(t)
	fields := map[string]any{"executor": e.info.ID, "run": x.Run}
	t.previous.addTo(fields)
	c.addDecision(t.id.String(), "run adopted", fields)
}

// stopUnwanted orders the stop of a reported run that no task of this owner needs.
func (c *Core) stopUnwanted(now time.Duration, e *executor, id workload.TaskID, run int, reason string) {
	if last, ok := e.unwantedStopAt[id]; ok && now-last < stopRetryInterval {
		return
	}
	e.unwantedStopAt[id] = now
	c.commands = append(c.commands, StopTask{Executor: e.info.ID, Task: id, Run: run})
	fields := map[string]any{"executor": e.info.ID, "run": run, "reason": reason}
	if t := c.task(id); t != nil {
		t.previous.addTo(fields)
	}
	c.addDecision(id.String(), "unwanted run stops", fields)
}

// handleEnded handles an end that a report lists. The same end is listed until it is acknowledged.
func (c *Core) handleEnded(now time.Duration, e *executor, x workload.EndedTask) {
	delete(e.unwantedStopAt, x.Task)
	t := c.task(x.Task)
	if t == nil {
		return
	}
	t.job.started = true
	if x.Checkpoint != "" {
		t.checkpoint = x.Checkpoint
	}
	current := t.exec == e && t.run == x.Run
	if x.Outcome == workload.EndDone && t.run > x.Run {
		c.addDecision(t.id.String(), "run ended as done after the task was started again", map[string]any{
			"executor": e.info.ID, "run": x.Run, "later_run": t.run, "how_lost": string(t.previous.cause), "end": x.Number,
		})
	}
	switch x.Outcome {
	case workload.EndDone:
		c.completeTask(now, e, t, x.Run, current)
	case workload.EndFailed:
		if !slices.Contains(t.failedRuns, x.Run) {
			c.recordFailure(now, e, t, x.Run)
		}
	default:
		if current && t.state != taskStopping {
			c.addDecision(t.id.String(), "run ended early", map[string]any{"executor": e.info.ID, "run": x.Run, "how": string(x.Outcome)})
		}
		if x.Checkpoint != "" {
			c.markRecordDirty(t.job)
		}
	}
	if current {
		c.requeue(now, t, lossEndListed)
	}
	t.endedRun = max(t.endedRun, x.Run)
	if t.job.status.Final() {
		return
	}
	c.completeIfDone(now, t.job)
}

// completeTask handles a run that completed its task, and with it all tasks of a gang. current is set if the task is on the
// executor with this run.
func (c *Core) completeTask(now time.Duration, e *executor, t *task, run int, current bool) {
	e.failStreak, e.lastFailed = 0, ""
	if t.step.spec.LongRunning || t.state == taskDone {
		return
	}
	if current {
		c.observeHealth(now, e, t)
		t.observeRuntime(now)
	}
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		if m.state == taskDone {
			continue
		}
		if m.exec != nil && (m != t || !current) && !t.step.spec.Gang {
			// Another run of the task is still on an executor and no longer needed.
			c.stopTask(now, m, "the task is done")
		}
		if m == t && current {
			e.detach(m, now)
			c.dirtyServices[e.info.Service] = true
		}
		m.see()
		m.setState(taskDone)
		m.step.remaining--
		m.step.occ.remaining--
	}
	c.markRecordDirty(t.job)
	c.dirtyServices[t.job.service] = true
}

// recordFailure counts a failed run, against the executor and against the attempts of the task, and ends the job as failed at
// the limit. The attempts of a gang count together. Long-running tasks have no limit of attempts.
func (c *Core) recordFailure(now time.Duration, e *executor, t *task, run int) {
	t.avoidExecutor(e, now)
	if e.lastFailed != t.job.spec.ID && !failedElsewhere(t, e) {
		e.failStreak++
		e.lastFailed = t.job.spec.ID
		e.blame(now, lostRunRatio, 1)
		cooldown := failureCooldown
		if e.failStreak >= failingThreshold {
			cooldown = repeatedFailureCooldown
		}
		e.cooldownUntil = now + cooldown
	}
	c.addDecision(t.id.String(), "run failed", map[string]any{
		"executor": e.info.ID, "run": run, "failures": len(t.failedRuns) + 1, "limit": t.job.policy.MaxAttempts, "executor_streak": e.failStreak,
	})
	if t.step.spec.LongRunning || t.state == taskDone {
		return
	}
	// Records of a commit in progress share the slice, so it must not be changed in place.
	t.failedRuns = append(slices.Clone(t.failedRuns), run)
	c.markRecordDirty(t.job)
	failures := len(t.failedRuns)
	if t.step.spec.Gang {
		failures = 0
		for _, m := range t.step.tasks {
			failures += len(m.failedRuns)
		}
	}
	if t.job.policy.MaxAttempts > 0 && failures >= t.job.policy.MaxAttempts && !t.job.status.Final() {
		c.finish(now, t.job, workload.StatusFailed)
		c.addFailureDecision(now, t, failures)
	}
}

// avoidDuration is how long a task is not placed on an executor on which it failed or stalled.
const avoidDuration = 3 * time.Second

// avoidExecutor keeps a task off an executor for avoidDuration.
func (t *task) avoidExecutor(e *executor, now time.Duration) {
	if t.avoidUntil == nil {
		t.avoidUntil = make(map[string]time.Duration)
	}
	t.avoidUntil[e.info.ID] = now + avoidDuration
}

// failedElsewhere reports whether tasks of the job have also failed or stalled on other executors, which makes the job the likely
// cause rather than the executor.
func failedElsewhere(t *task, e *executor) bool {
	for _, o := range t.job.occs {
		for _, s := range o.steps {
			for _, m := range s.tasks {
				for id := range m.avoidUntil {
					if id != e.info.ID {
						return true
					}
				}
			}
		}
	}
	return false
}

// addFailureDecision logs that a job has failed because of a task.
func (c *Core) addFailureDecision(now time.Duration, t *task, failures int) {
	fields := t.job.logFields(now)
	fields["task"], fields["failures"] = t.id.String(), failures
	c.addDecision(t.job.spec.ID, "job failed", fields)
}

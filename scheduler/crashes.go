package scheduler

import (
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// A task may crash each executor that starts it. Such a task must not go from executor to executor, taking the other tasks there with
// it. A crash makes the tasks that the executor had just started suspects. Suspects start again one by one, each on an executor that has
// started nothing else lately, so that another crash tells which one is the cause. A job with a task that is the cause fails.

const (
	// probationTime is how long after its start a run counts as a possible cause of a crash, and a suspect is alone in that.
	probationTime = 200 * time.Millisecond
	// maxCrashes is the number of crashes right after the start of a task, the last one with no other possible cause, at which its job
	// fails.
	maxCrashes = 2
	// maxLateCrashes is the number of crashes that no recent start explains from which the tasks that had started there within
	// lateProbationTime are suspects too. They are on probation for that long.
	maxLateCrashes    = 2
	lateProbationTime = 10 * time.Second
)

// crashCounts counts the executors that crashed under a task.
type crashCounts struct {
	// recent are the crashes within probationTime of the start of the task, late are those within lateProbationTime for which no start
	// was recent.
	recent, late int
}

// suspect reports whether the task may be the cause of crashes.
func (t *task) suspect() bool { return t.crashes.recent > 0 || t.crashes.late >= maxLateCrashes }

// onProbation reports whether the run of a placed task is a possible cause if its executor crashes now.
func (t *task) onProbation(now time.Duration) bool { return t.state == taskStarting || t.mayCrash(now) }

// mayCrash reports whether the run of a placed task is a possible cause of a crash at a time: whether it was ordered or confirmed
// shortly before.
func (t *task) mayCrash(at time.Duration) bool {
	began, probation := t.startedAt, probationTime
	if t.state == taskStarting {
		began = t.orderedAt
	}
	if t.crashes.late >= maxLateCrashes {
		probation = lateProbationTime
	}
	return began > at-probation
}

// settled reports whether no task on the executor is on probation, so that a suspect may start there.
func (e *executor) settled(now time.Duration) bool {
	for t := range e.tasks {
		if t.onProbation(now) {
			return false
		}
	}
	return true
}

// testsSuspect reports whether the executor has a suspect on probation, beside which nothing starts.
func (e *executor) testsSuspect(now time.Duration) bool {
	return e.suspect != nil && e.suspect.exec == e && e.suspect.onProbation(now)
}

// acquit ends the suspicion of a task whose run has outlasted its probation while nothing else was on probation beside it. listed holds the
// runs that the executor lists in the same incarnation as before; a run that it does not list may have been lost in a crash.
func (c *Core) acquit(now time.Duration, e *executor, listed map[workload.TaskID]int) {
	t := e.suspect
	if t == nil || e.testsSuspect(now) || t.exec == e && listed[t.id] != t.run {
		return
	}
	e.suspect = nil
	if t.exec == e {
		t.crashes = crashCounts{}
		c.markRecordDirty(t.job)
	}
}

// crashTime returns the latest time at which an executor that has ended or started again may have crashed: when it refused connections, or
// now if there was contact until the first report of the next incarnation. The last response is no measure, as the executor may have run
// for long after it. Without contact the time is unknown.
func (e *executor) crashTime(now time.Duration) (at time.Duration, ok bool) {
	if e.inContact {
		return now, true
	}
	return e.noContactSince, e.refused
}

// recordCrashOfSilent counts the crash of an executor without contact, once for each time of silence.
func (c *Core) recordCrashOfSilent(now time.Duration, e *executor) {
	if at, ok := e.crashTime(now); ok && !e.inContact && !e.crashRecorded {
		e.crashRecorded = true
		c.recordCrash(now, e, at, nil)
	}
}

// recordCrash counts the crash of an executor at a time against the tasks on it that may be its cause. Their runs are gone, but they are
// still placed. listed holds the runs that the next incarnation has started, if there is one; their jobs do not fail while these go on. An
// executor that was leaving has not crashed.
func (c *Core) recordCrash(now time.Duration, e *executor, at time.Duration, listed map[workload.TaskID]int) {
	if e.cordoned || e.info.Draining || len(e.tasks) == 0 {
		return
	}
	var causes []*task
	for t := range e.tasks {
		if t.state != taskDone && t.mayCrash(at) {
			causes = append(causes, t)
		}
	}
	for _, t := range causes {
		t.crashes.recent++
		c.markRecordDirty(t.job)
		c.addDecision(t.id.String(), "executor crashed at the start of a task", map[string]any{
			"executor": e.info.ID, "run": t.run, "crashes": t.crashes.recent, "possible_causes": len(causes),
		})
	}
	if len(causes) == 1 && causes[0].crashes.recent >= maxCrashes && !causes[0].job.status.Final() && listed[causes[0].id] != causes[0].run {
		c.finish(now, causes[0].job, workload.StatusFailed)
		c.addFailureDecision(now, causes[0], len(causes[0].failedRuns))
	}
	if len(causes) > 0 {
		return
	}
	for t := range e.tasks {
		if t.state != taskDone && t.startedAt > at-lateProbationTime {
			t.crashes.late++
			c.markRecordDirty(t.job)
		}
	}
}

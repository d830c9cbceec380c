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
	// maxCrashes is the number of crashes under a task, the last one with no other possible cause, at which its job fails.
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

// onProbation reports whether the run of a placed task is a possible cause if its executor crashes at a time.
func (t *task) onProbation(at time.Duration) bool {
	if t.crashes.late >= maxLateCrashes && t.startedAt > at-lateProbationTime {
		return true
	}
	return t.state == taskStarting || t.startedAt > at-probationTime
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

// acquit ends the suspicion of a task whose run has outlasted its probation while nothing else was on probation beside it.
func (c *Core) acquit(now time.Duration, e *executor) {
	t := e.suspect
	if t == nil || e.testsSuspect(now) || !e.inContact {
		return
	}
	e.suspect = nil
	if t.exec == e {
		t.crashes = crashCounts{}
		c.markRecordDirty(t.job)
	}
}

// crashTime returns when an executor that has crashed did so, as far as the owner can tell: when it refused connections, else when it
// last responded.
func (e *executor) crashTime() time.Duration {
	if !e.inContact && e.refused {
		return e.noContactSince
	}
	return e.reportedAt
}

// recordCrash counts the crash of an executor against the tasks on it that may be its cause. Their runs are gone, but they are still
// placed. An executor that was leaving has not crashed.
func (c *Core) recordCrash(now time.Duration, e *executor) {
	if e.cordoned || e.info.Draining || len(e.tasks) == 0 {
		return
	}
	at := e.crashTime()
	var causes []*task
	for t := range e.tasks {
		if t.state != taskDone && t.onProbation(at) {
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
	if len(causes) == 1 && causes[0].crashes.recent+causes[0].crashes.late >= maxCrashes && !causes[0].job.status.Final() {
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

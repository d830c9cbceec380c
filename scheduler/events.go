package scheduler

import (
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// Command is an order to an executor that the owner has to carry out: a StartTask, StopTask or PaceTask.
type Command interface{ command() }

// StartTask starts a run of a task on an executor. Checkpoint is where it resumes, and Permit the permit of the advice service;
// both may be empty.
type StartTask struct {
	Executor   string
	Task       workload.TaskID
	Run        int
	Payload    string
	Checkpoint string
	Permit     string
}

// StopTask stops a run on an executor.
type StopTask struct {
	Executor string
	Task     workload.TaskID
	Run      int
}

// PaceTask sets the speed of a run, in percent of its full speed.
type PaceTask struct {
	Executor string
	Task     workload.TaskID
	Run      int
	Percent  int
}

func (StartTask) command() {}

func (StopTask) command() {}

func (PaceTask) command() {}

// Decision is a log line about a decision. Subject is the job, task or executor that it concerns. Inputs are the values that
// it was based on, by log field.
type Decision struct {
	Subject string
	Message string
	Inputs  map[string]any
}

// Outcome is the outcome of a start order.
type Outcome int

// Outcomes of start orders.
const (
	// StartAccepted means that the executor runs the task or has run it.
	StartAccepted Outcome = iota
	// StartUnclear means that the executor may or may not run the task; the next report shows which.
	StartUnclear
	// StartNoRoom means that the executor has not started the task because it had no room.
	StartNoRoom
	// StartRefused means that the executor has not started the task for another reason, or was not asked to.
	StartRefused
	// StartNoPermit means that the executor did not accept the permit.
	StartNoPermit
)

const (
	// noRoomBackoff is how long an executor that had no room gets no new tasks. Ends of tasks, which make room, are reported
	// within some 20 ms.
	noRoomBackoff = 120 * time.Millisecond
	// refusedBackoff is the same after other refusals, which mostly come from unhealthy executors.
	refusedBackoff = 500 * time.Millisecond
	// failureCooldown is how long an executor gets no new tasks after a single failure, so that others are tried first, and
	// repeatedFailureCooldown after failingThreshold failures.
	failureCooldown         = 300 * time.Millisecond
	repeatedFailureCooldown = 3 * time.Second
	// failingThreshold is the number of failures of different jobs, without a success in between, from which an executor
	// counts as failing.
	failingThreshold = 2
	// restartBackoff, times the number of requeues, delays the next start of a long-running task that keeps ending.
	restartBackoff = 50 * time.Millisecond
	// maxRestartBackoff limits this delay.
	maxRestartBackoff = time.Second
	// stopRetryInterval is the least time between stop orders for the same run.
	stopRetryInterval = time.Second
)

// requeue takes a task off its executor after its run is gone, and makes it pending again unless it is done.
func (c *Core) requeue(now time.Duration, t *task, cause lossCause) {
	if t.exec != nil {
		t.previous = endOfRun{executor: t.exec.info.ID, run: t.run, cause: cause}
		c.dirtyServices[t.exec.info.Service] = true
		t.exec.detach(t, now)
	}
	t.endedRun = max(t.endedRun, t.run)
	if t.state == taskDone {
		return
	}
	t.setState(taskPending)
	t.percent, t.pace, t.unlisted = 0, 100, false
	t.waitsForRackSince = 0
	t.requeues++
	t.job.retries++
	if t.step.spec.LongRunning {
		t.notBefore = now + min(restartBackoff*time.Duration(t.requeues), maxRestartBackoff)
	}
	c.dirtyServices[t.job.service] = true
}

// Started handles the outcome of a start order. A refusal does not count once a report has shown the run: another attempt of the order may
// have been carried out.
func (c *Core) Started(now time.Duration, id string, tid workload.TaskID, run int, outcome Outcome, reason string) {
	t := c.task(tid)
	e := c.executors[id]
	if t == nil || e == nil || t.exec != e || t.run != run {
		return
	}
	if t.reportedRun == run {
		outcome = StartUnclear
	}
	notBefore := now
	if outcome == StartAccepted {
		t.job.started = true
	}
	switch outcome {
	case StartAccepted, StartUnclear:
		t.job.slowestStart = max(t.job.slowestStart, now-t.orderedAt)
		if t.state == taskStarting {
			t.setState(taskRunning)
			t.startedAt, t.progressChangedAt = now, now
		}
		if t.state == taskRunning {
			t.respondedAt = now
		}
		return
	case StartNoRoom:
		e.backoffUntil = now + noRoomBackoff
	case StartRefused:
		e.backoffUntil = now + refusedBackoff
	case StartNoPermit:
		t.step.dropPermit(id)
		notBefore = now + permitRetryDelay
	}
	c.addDecision(tid.String(), "start refused", map[string]any{
		"executor": id, "run": run, "reason": reason, "free_cpu_milli": e.free().CPUMilli, "free_memory_mb": e.free().MemoryMB,
	})
	c.requeue(now, t, lossStartRefused)
	if !t.job.started && t.job.placedTasks == 0 {
		t.job.domain = failureDomain{}
	}
	t.notBefore = max(t.notBefore, notBefore)
}

// Stopped handles the outcome of a stop order: the executor accepted it, or all leases on the executor have expired. The run is
// gone only when the executor lists its end, or when a later report does not show it.
func (c *Core) Stopped(now time.Duration, id string, tid workload.TaskID, run int) {
	t := c.task(tid)
	if t == nil || t.exec == nil || t.exec.info.ID != id || t.run != run {
		return
	}
	if t.state == taskStopping || t.state == taskDone {
		t.respondedAt = now
	}
}

// Commands returns the commands since the last call.
func (c *Core) Commands() []Command {
	commands := c.commands
	c.commands = nil
	return commands
}

// Decisions returns the decisions since the last call, for the log.
func (c *Core) Decisions() []Decision {
	d := c.decisions
	c.decisions = nil
	return d
}

func (c *Core) addDecision(subject, message string, inputs map[string]any) {
	c.decisions = append(c.decisions, Decision{Subject: subject, Message: message, Inputs: inputs})
}

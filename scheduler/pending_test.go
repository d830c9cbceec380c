package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// Guards against jobs that no executor has begun and that are left out of the length of their queue, and shown as running, because a start
// was ordered: the executor refuses it, or whether it carried the order out is not known.
func TestJobsArePendingUntilAStartIsKnown(t *testing.T) {
	task := workload.TaskID{Job: "job"}
	running := workload.Report{BornUnixMS: 1, Running: []workload.RunningTask{{Task: task, Run: 1, Percent: 1}}}
	ended := func(how workload.End) workload.Report {
		return workload.Report{BornUnixMS: 1, Ended: []workload.EndedTask{{Number: 1, Task: task, Run: 1, Outcome: how}}}
	}
	for _, c := range []struct {
		name string
		// outcome is nil while there is no response to the order.
		outcome *Outcome
		report  workload.Report
		pending bool
	}{
		{"no response yet", nil, workload.Report{BornUnixMS: 1}, true},
		{"refused", new(StartRefused), workload.Report{BornUnixMS: 1}, true},
		{"no room", new(StartNoRoom), workload.Report{BornUnixMS: 1}, true},
		{"no permit", new(StartNoPermit), workload.Report{BornUnixMS: 1}, true},
		{"unclear, then absent", new(StartUnclear), workload.Report{BornUnixMS: 1}, true},
		{"accepted", new(StartAccepted), running, false},
		{"accepted, then absent", new(StartAccepted), workload.Report{BornUnixMS: 1}, false},
		{"unclear, then listed", new(StartUnclear), running, false},
		{"no response, then listed", nil, running, false},
		{"unclear, then ended", new(StartUnclear), ended(workload.EndFailed), false},
		{"no response, then ended early", nil, ended(workload.EndStopped), false},
		{"refused, then listed as another attempt was carried out", new(StartRefused), running, false},
	} {
		h := newHarness(t, 1)
		h.addJob("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}, Estimate: 500})
		h.core.Schedule(h.now, h.now)
		assert.Equal(t, len(h.core.Commands()), 1, c.name)
		if c.outcome != nil {
			h.core.Started(h.now, "x0", task, 1, *c.outcome, "")
		}
		h.now += 10 * time.Millisecond
		h.core.Report(h.now, "x0", c.report, h.now, int64(len(c.report.Ended)))
		status, _ := h.core.Status("job")
		if c.pending {
			assert.Equal(t, h.core.QueueLength("queue"), 1, c.name)
			assert.Equal(t, status, workload.StatusQueued, c.name)
		} else {
			assert.Equal(t, h.core.QueueLength("queue"), 0, c.name)
			assert.Equal(t, status, workload.StatusRunning, c.name)
		}
	}
}

// Guards against a new owner that counts a recurring job with completed occurrences as pending, or a job as begun of which it knows only that
// executors crashed while its starts were under way.
func TestRecordsTellWhetherAJobHasBegun(t *testing.T) {
	for _, c := range []struct {
		name       string
		record     Record
		recurrence *workload.Recurrence
		pending    int
	}{
		{"no progress", Record{}, nil, 1},
		{"a crash during a start", Record{Occurrences: []OccurrenceRecord{{}}, Retries: []RetryRecord{{Crashes: 1}}}, nil, 1},
		{"a failed run", Record{Occurrences: []OccurrenceRecord{{}}, Retries: []RetryRecord{{FailedRuns: []int{1}}}}, nil, 0},
		{"a checkpoint", Record{Occurrences: []OccurrenceRecord{{}}, Retries: []RetryRecord{{Checkpoint: "c"}}}, nil, 0},
		{"a task is done", Record{Occurrences: []OccurrenceRecord{{Steps: []string{"01"}}}}, nil, 0},
		{"an occurrence is done", Record{Occurrences: []OccurrenceRecord{{Done: true}}}, &workload.Recurrence{Count: 3, Interval: 1000}, 0},
	} {
		h := newHarness(t, 0)
		assert.NilError(t, h.core.AddJob(h.now, &workload.Job{
			ID: "job", Route: "queue", Service: service, ConfigVersion: 1, Recurrence: c.recurrence,
			Steps: []workload.Step{{Count: 2, Size: workload.Resources{CPUMilli: 1000}, Estimate: 500}},
		}, &c.record, 1, true))
		assert.Equal(t, h.core.QueueLength("queue"), c.pending, c.name)
	}
}

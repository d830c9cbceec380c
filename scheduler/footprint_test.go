package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// Guards against a memory of jobs that drifts from the jobs, and against keeping the steps and payloads of jobs that have ended.
func TestJobMemoryFollowsTheJobs(t *testing.T) {
	h := newHarness(t, 1)
	payload := fmt.Sprintf("%4000d", 1)
	for id, outcome := range map[string]workload.End{"done": workload.EndDone, "cancelled": workload.EndStopped} {
		spec := &workload.Job{ID: id, Route: "queue", Service: service, Payload: payload, Steps: []workload.Step{batchStep(3, 1000)}}
		before, footprint := h.core.JobMemory(), Footprint(spec)
		assert.NilError(t, h.core.AddJob(h.now, spec, nil, 0, false))
		assert.Equal(t, h.core.JobMemory()-before, footprint)
		h.advance(time.Millisecond)
		if id == "cancelled" {
			h.core.Cancel(h.now, id)
			h.runCommands()
			h.core.Tick(h.now, 0)
			assert.Equal(t, h.core.JobMemory()-before, footprint, "its tasks still run")
		}
		for n := range 3 {
			h.end(taskID(id, 0, n), outcome)
		}
		assert.Assert(t, h.core.jobs[id].status.Final())
		commit := h.core.TakeCommit(10)
		h.core.Committed(commit, 1)
		h.core.Tick(h.now, 0)
		assert.Assert(t, h.core.JobMemory()-before < footprint/2, "%d of %d bytes are kept", h.core.JobMemory()-before, footprint)
		assert.Equal(t, h.core.jobs[id].spec.Payload, "")
	}
	h.core.Forget([]ExpiredJob{{Job: "done"}, {Job: "cancelled"}, {Job: "unknown"}})
	assert.Equal(t, h.core.JobMemory(), int64(0))
}

// Guards against a recurring job whose due occurrences take any amount of memory, and against losing those that wait.
func TestDueOccurrencesWaitForEarlierOnes(t *testing.T) {
	h := newHarness(t, 1)
	spec := &workload.Job{
		ID: "often", Route: "queue", Service: service, Steps: []workload.Step{batchStep(1, 100)},
		Recurrence: &workload.Recurrence{Count: 40},
	}
	h.core.opts.JobMemory = maxOccurrenceShare * 10 * occurrenceFootprint(spec)
	assert.NilError(t, h.core.AddJob(h.now, spec, nil, 0, false))
	for k := range 40 {
		h.core.Tick(h.now, 1)
		h.advance(time.Millisecond)
		assert.Assert(t, len(h.core.jobs["often"].occs) <= 10)
		h.end(workload.TaskID{Job: "often", Occurrence: k}, workload.EndDone)
	}
	assert.Equal(t, h.core.jobs["often"].status, workload.StatusCompleted)

	h.core.opts.JobMemory = 0
	spec = &workload.Job{ID: "unbounded", Route: "queue", Service: service, Steps: spec.Steps, Recurrence: &workload.Recurrence{Count: 1 << 30}}
	assert.NilError(t, h.core.AddJob(h.now, spec, nil, 0, false))
	h.core.Tick(h.now, 1)
	assert.Equal(t, len(h.core.jobs["unbounded"].occs), maxLiveOccurrences)
}

// Guards against accepting jobs without room, against large jobs that leave none for small ones, and against room that stays reserved.
func TestRoomForJobs(t *testing.T) {
	h := newHarness(t, 0)
	assert.Assert(t, h.core.ReserveJob(h.now, "x", 1<<40), "no bound is set")
	_, bounded := h.core.JobRoom(h.now)
	assert.Assert(t, !bounded)

	const memory = 1 << 20
	h.core.opts.JobMemory = memory
	assert.Assert(t, h.core.ReserveJob(h.now, "alone", 1<<40), "one job alone may exceed the bound")
	assert.Assert(t, !h.core.ReserveJob(h.now, "next", 1))
	assert.Assert(t, h.core.ReserveJob(h.now, "alone", 1<<40), "it is reserved")
	h.now += reservationTTL
	room, _ := h.core.JobRoom(h.now)
	assert.Equal(t, room, int64(memory-memory/smallJobShare))

	assert.Assert(t, h.core.ReserveJob(h.now, "large", room))
	assert.Assert(t, !h.core.ReserveJob(h.now, "second", smallJobBytes+1))
	for n := range memory / smallJobShare / smallJobBytes {
		assert.Assert(t, h.core.ReserveJob(h.now, fmt.Sprintf("small%d", n), smallJobBytes))
	}
	assert.Assert(t, !h.core.ReserveJob(h.now, "small", 1))

	h.addJob("large", batchStep(1, 1000))
	room, _ = h.core.JobRoom(h.now)
	assert.Equal(t, room, int64(memory-memory/smallJobShare)-memory/smallJobShare-h.core.JobMemory(), "a job that is known needs no reservation")
	assert.Assert(t, h.core.ReserveJob(h.now, "large", 1<<40))
}

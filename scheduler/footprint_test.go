package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

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

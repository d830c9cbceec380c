package scheduler

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// Replays a data centre that is cut off while several jobs run. Guards against jobs whose tasks are spread over all data centres, each of
// which then waits for the one that is cut off.
func TestTasksOfAJobShareAFailureDomain(t *testing.T) {
	h := newHarness(t, 0)
	for i := range 12 {
		id := fmt.Sprint("x", i)
		h.running[id] = make(map[workload.TaskID]workload.RunningTask)
		h.core.PutExecutor(h.now, workload.Executor{
			ID: id, Service: service, Capacity: size, Kind: "a", DataCentre: fmt.Sprint("dc", i%3), Rack: fmt.Sprint("r", i%3, i/6),
		})
		h.report(id)
	}
	// Twelve tasks of a core fill three of the four executors of a data centre.
	dataCentres := make(map[string]map[string]bool)
	for _, job := range []string{"a", "b", "c"} {
		dataCentres[job] = make(map[string]bool)
		h.submit(job, batchStep(12, 1000))
	}
	for _, s := range h.starts {
		dataCentres[s.Task.Job][h.core.executors[s.Executor].info.DataCentre] = true
	}
	assert.Equal(t, len(h.starts), 36)
	affected := 0
	for _, used := range dataCentres {
		if used["dc0"] {
			affected++
		}
	}
	assert.Assert(t, affected <= 2, "dc0 has tasks of %d of 3 jobs: %v", affected, dataCentres)
	assert.Equal(t, len(dataCentres["a"]), 1)
}

// Guards against machines that stay busy with one task each because every job begins in another failure domain.
func TestJobsShareExecutorsWithinTheirFailureDomains(t *testing.T) {
	h := newHarness(t, 0)
	for i := range 6 {
		id := fmt.Sprint("x", i)
		h.running[id] = make(map[workload.TaskID]workload.RunningTask)
		h.core.PutExecutor(h.now, workload.Executor{ID: id, Service: service, Capacity: size, Kind: "a", DataCentre: fmt.Sprint("dc", i%3), Rack: "r"})
		h.report(id)
	}
	used := make(map[string]bool)
	for _, job := range []string{"a", "b", "c", "d"} {
		h.submit(job, batchStep(1, 1000))
	}
	for _, s := range h.starts {
		used[s.Executor] = true
	}
	assert.Equal(t, len(used), 1)
}

// Guards against a job whose tasks keep to a data centre in which none has begun: the executor there refused the first start.
func TestARefusedStartLeavesTheFailureDomainOpen(t *testing.T) {
	h := newHarness(t, 0)
	for _, id := range []string{"x0", "x1"} {
		h.running[id] = make(map[workload.TaskID]workload.RunningTask)
		h.core.PutExecutor(h.now, workload.Executor{ID: id, Service: service, Capacity: size, Kind: "a", DataCentre: "dc" + id, Rack: "r"})
		h.report(id)
	}
	h.addJob("job", batchStep(2, 1000), workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 1000}, Estimate: 500, After: []int{0}})
	h.core.Schedule(h.now, h.now)
	orders := h.core.Commands()
	assert.Equal(t, len(orders), 2)
	j := h.core.jobs["job"]
	first := j.domain
	for i, o := range orders {
		assert.Equal(t, j.domain, first, "a task is still placed there")
		start := o.(StartTask)
		h.core.Started(h.now, start.Executor, start.Task, start.Run, StartRefused, "")
		if i == 0 {
			assert.Assert(t, j.domain != failureDomain{})
		}
	}
	assert.Equal(t, j.domain, failureDomain{})
	h.runCommands()
	assert.Equal(t, len(h.starts), 2)
	assert.Assert(t, j.domain != first, "the tasks start on the other executor")
}

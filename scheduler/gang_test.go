package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/workload"
)

// gangStep returns a step of tasks that run only together.
func gangStep(count, cpuMilli int) workload.Step {
	return workload.Step{Count: count, Size: workload.Resources{CPUMilli: cpuMilli}, Estimate: 500, Gang: true}
}

// Guards against tasks that stay off idle executors while a gang that ranks before them finds no room for its last member, and against
// resources that stay reserved for a gang that was not placed.
func TestGangsWithoutRoomDoNotBlockOthersOfTheirSize(t *testing.T) {
	for name, gang := range map[string]workload.Step{
		"too many members": gangStep(7, 2000), "many more members": gangStep(400, 2000), "smaller members": gangStep(13, 1000),
		"in one rack": {Count: 7, Size: workload.Resources{CPUMilli: 2000}, Estimate: 500, Gang: true, OneRack: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3)
			h.withUrgentQueue()
			h.addUrgentJob("gang", gang)
			h.submit("j", batchStep(6, 2000))
			assert.Equal(t, len(h.starts), 6)
			for _, s := range h.starts {
				assert.Equal(t, s.Task.Job, "j")
			}
		})
	}
}

// withUrgentQueue adds a queue "urgent" whose jobs rank before those of "queue".
func (h *harness) withUrgentQueue() {
	policy := workload.Policy{MaxAttempts: 2, SlackFactor: 2, Objective: 60000}
	later := policy
	later.Priority = 1
	h.core.Configure(h.now, &workload.Configuration{
		Version: 2, Services: []workload.Service{{Name: service, ChecksCapacity: true}},
		Routes: []workload.Route{{Name: "urgent", Service: service, Policy: policy}, {Name: "queue", Service: service, Policy: later}},
	})
}

// addUrgentJob adds a job of the queue "urgent" without scheduling it.
func (h *harness) addUrgentJob(id string, steps ...workload.Step) {
	err := h.core.AddJob(h.now, &workload.Job{ID: id, Route: "urgent", Service: service, ConfigVersion: 2, Steps: steps}, nil, 0, false)
	assert.NilError(h.t, err)
}

// Guards against the same for any sizes: no task waits beside an executor with room while gangs wait that the pool cannot hold.
func TestNoTaskWaitsForGangsThatThePoolCannotHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		executors := rapid.IntRange(1, 12).Draw(rt, "executors")
		h := newHarness(rt, executors)
		h.withUrgentQueue()
		draw := func(name string, limit int) int { return rapid.IntRange(1, limit).Draw(rt, name) }
		for n := range draw("gangs", 3) {
			cpu := 500 * draw("member", 8)
			gang := gangStep(executors*(size.CPUMilli/cpu)+draw("members beyond", 5), cpu)
			gang.OneRack = rapid.Bool().Draw(rt, "in one rack")
			h.addUrgentJob(fmt.Sprintf("gang%d", n), gang)
		}
		for n := range draw("jobs", 12) {
			h.addJob(fmt.Sprintf("j%d", n), batchStep(draw("tasks", 5), 500*draw("size", 8)))
		}
		h.runCommands()
		for id, j := range h.core.jobs {
			for _, task := range j.occs[0].steps[0].tasks {
				for _, e := range h.core.executors {
					waits := task.state == taskPending && !task.step.spec.Gang && e.free().Fits(task.step.spec.Size)
					assert.Assert(rt, !waits, "a task of %s waits although %s has room", id, e.info.ID)
				}
			}
		}
	})
}

// Guards against waits for room that are counted for another cause.
func TestGangsWaitForRoom(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("gang", gangStep(3, 2000))
	h.advance(time.Second)
	h.core.Cancel(h.now, "gang")
	assert.Assert(t, h.core.Waited()[WaitRoom] >= time.Second)
}

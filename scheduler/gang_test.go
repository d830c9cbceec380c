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
			h.withRankedQueues()
			h.addUrgentJob("gang", gang)
			h.submit("j", batchStep(6, 2000))
			assert.Equal(t, len(h.starts), 6)
			for _, s := range h.starts {
				assert.Equal(t, s.Task.Job, "j")
			}
		})
	}
}

// withRankedQueues adds the queues "urgent", "restricted", which needs permits, and "middle". Their jobs rank before those of "queue" in this
// order. The organisation "capped" may use 5 cores.
func (h *harness) withRankedQueues() {
	config := workload.Configuration{
		Version: 2, Services: []workload.Service{{Name: service, ChecksCapacity: true}},
		Organisations: []workload.Organisation{{Name: "capped", Cap: workload.Resources{CPUMilli: 5000}}},
	}
	for priority, name := range []string{"urgent", "restricted", "middle", "queue"} {
		r := workload.Route{Name: name, Service: service, Policy: workload.Policy{MaxAttempts: 2, SlackFactor: 2, Objective: 60000, Priority: priority}}
		if name == "restricted" {
			r.Policy.Permits = &restrictedPolicy
		}
		config.Routes = append(config.Routes, r)
	}
	h.core.Configure(h.now, &config)
}

// addTo adds a job of a queue of the second configuration without scheduling it.
func (h *harness) addTo(queue, organisation, id string, steps ...workload.Step) {
	err := h.core.AddJob(h.now, &workload.Job{
		ID: id, Route: queue, Service: service, ConfigVersion: 2, Steps: steps, Organisation: organisation,
	}, nil, 0, false)
	assert.NilError(h.t, err)
}

// addUrgentJob does so for the queue "urgent".
func (h *harness) addUrgentJob(id string, steps ...workload.Step) {
	h.addTo("urgent", "", id, steps...)
}

// Guards against the same for any sizes: no task waits beside an executor with room while gangs wait that the pool cannot hold.
func TestNoTaskWaitsForGangsThatThePoolCannotHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		executors := rapid.IntRange(1, 12).Draw(rt, "executors")
		h := newHarness(rt, executors)
		h.withRankedQueues()
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

// stream keeps a pool busy: it ends each run of a finite task after runtime, and submits a job of one task whenever the last one has started.
type stream struct {
	h       *harness
	step    workload.Step
	runtime time.Duration
	startOf map[workload.TaskID]time.Duration
	seen    int
	jobs    int
}

// advance lets 50 ms pass.
func (s *stream) advance() {
	h := s.h
	for ; s.seen < len(h.starts); s.seen++ {
		s.startOf[h.starts[s.seen].Task] = h.now
	}
	for task, at := range s.startOf {
		if task.Job != "gang" && h.now-at >= s.runtime {
			delete(s.startOf, task)
			h.end(task, workload.EndDone)
		}
	}
	for range 2 {
		s.jobs++
		h.submit(fmt.Sprintf("s%d", s.jobs), s.step)
	}
	h.advance(50 * time.Millisecond)
}

// Guards against a gang that starves: the pool could hold it, but tasks that rank after it take each executor that becomes free.
func TestGangsDoNotStarveBesideLowerJobs(t *testing.T) {
	for name, test := range map[string]struct{ gang, stream int }{
		"stream of larger tasks": {3000, 3500}, "stream of smaller tasks": {3500, 1000}, "gang of small members": {1000, 2000},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.withRankedQueues()
			s := &stream{h: h, step: batchStep(1, test.stream), runtime: 500 * time.Millisecond, startOf: make(map[workload.TaskID]time.Duration)}
			for range 40 {
				s.advance()
			}
			count := 3 * (size.CPUMilli / test.gang)
			h.addUrgentJob("gang", gangStep(count, test.gang))
			began := h.now
			for h.now < began+10*time.Second && h.core.jobs["gang"].placedTasks == 0 {
				s.advance()
			}
			assert.Equal(t, h.core.jobs["gang"].placedTasks, count, "after %s", h.now-began)
			assert.Assert(t, h.now-began <= s.runtime+100*time.Millisecond, "after %s", h.now-began)
		})
	}
}

// Guards against idle executors that are kept for a gang although a task would end before the gang has room, and against a gang that waits
// longer for it.
func TestShortTasksUseExecutorsThatAreKeptForAGang(t *testing.T) {
	h := newHarness(t, 2)
	h.withRankedQueues()
	long, medium, short := batchStep(1, 4000), batchStep(1, 1000), batchStep(1, 3000)
	long.Estimate, medium.Estimate, short.Estimate = 10000, 20000, 2000
	h.submit("long", long)
	h.addUrgentJob("gang", gangStep(2, 3000))
	h.addTo("middle", "", "medium", medium)
	h.submit("short", short)
	assert.Equal(t, len(h.starts), 2)
	assert.Equal(t, h.starts[1].Task.Job, "short", "the medium task would run longer than the long one")
	h.end(taskID("short", 0, 0), workload.EndDone)
	h.end(taskID("long", 0, 0), workload.EndDone)
	assert.Equal(t, h.core.jobs["gang"].placedTasks, 2)
	assert.Equal(t, h.core.jobs["medium"].placedTasks, 1)
}

// Guards against a long-running task that takes an executor which is kept for a long-running gang.
func TestLongRunningTasksDoNotTakeExecutorsThatAreKeptForAGang(t *testing.T) {
	h := newHarness(t, 2)
	h.withRankedQueues()
	h.submit("j", batchStep(1, 4000))
	gang := gangStep(2, 4000)
	gang.LongRunning = true
	h.addUrgentJob("gang", gang)
	h.submit("lasting", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 500}, LongRunning: true, Estimate: 1})
	assert.Equal(t, len(h.starts), 1)
	h.end(taskID("j", 0, 0), workload.EndDone)
	assert.Equal(t, h.core.jobs["gang"].placedTasks, 2)
}

// Guards against executors that are kept for a gang which cannot start there.
func TestNothingIsKeptForGangsThatCannotStart(t *testing.T) {
	labelled := gangStep(2, 3000)
	labelled.Label = "none"
	for name, test := range map[string]struct {
		queue, organisation string
		gang                workload.Step
		starts              bool
	}{
		"nothing keeps it from starting": {"urgent", "", gangStep(2, 3000), true},
		"too large":                      {"urgent", "", gangStep(3, 3000), false},
		"beyond a cap":                   {"urgent", "capped", gangStep(2, 3000), false},
		"without a permit":               {"restricted", "", gangStep(2, 3000), false},
		"without the label":              {"urgent", "", labelled, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.withRankedQueues()
			if test.queue == "restricted" {
				h.addTo(test.queue, test.organisation, "gang", test.gang)
				h.runCommands()
				h.adviceService(func(workload.StepID, string) bool { return false }).respond()
			}
			h.submit("blocker", batchStep(1, 3000))
			if test.queue != "restricted" {
				h.addTo(test.queue, test.organisation, "gang", test.gang)
			}
			h.submit("j", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 4000}, Estimate: 2000})
			assert.Equal(t, h.core.jobs["j"].placedTasks == 0, test.starts)
			h.end(taskID("blocker", 0, 0), workload.EndDone)
			assert.Equal(t, h.core.jobs["gang"].placedTasks > 0, test.starts)
		})
	}
}

// Guards against machines that are moved to another pool while their idle executors are kept for a gang.
func TestExecutorsThatAreKeptForAGangDoNotCountAsIdle(t *testing.T) {
	h := newHarness(t, 3)
	h.withRankedQueues()
	h.submit("blocker", batchStep(1, 3000))
	h.addUrgentJob("gang", gangStep(3, 3000))
	h.advance(400 * time.Millisecond)
	idle := func() (n int) {
		for _, u := range h.core.Usages(h.now + time.Second) {
			if u.IdleFor > 0 {
				n++
			}
		}
		return n
	}
	assert.Equal(t, idle(), 0)
	h.core.Cancel(h.now, "gang")
	h.advance(100 * time.Millisecond)
	assert.Equal(t, idle(), 2)
	h.addUrgentJob("gang2", gangStep(3, 3000))
	h.advance(100 * time.Millisecond)
	assert.Equal(t, idle(), 0)
	h.core.Cancel(h.now, "gang2")
	h.end(taskID("blocker", 0, 0), workload.EndDone)
	h.advance(100 * time.Millisecond)
	assert.Equal(t, idle(), 3)
}

// Guards against a gang with permits that loses each executor to other tasks, because the advice service is asked only once there is room.
func TestExecutorsAreKeptForGangsWithUnknownPermits(t *testing.T) {
	h := newHarness(t, 2)
	h.withRankedQueues()
	a := h.adviceService(func(workload.StepID, string) bool { return true })
	h.submit("blocker", batchStep(1, 3000))
	h.addTo("restricted", "", "gang", gangStep(2, 3000))
	h.submit("j", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 4000}, Estimate: 2000})
	a.respond()
	h.end(taskID("blocker", 0, 0), workload.EndDone)
	assert.Equal(t, h.core.jobs["j"].placedTasks, 0, "the service has not responded")
	a.respond()
	assert.Equal(t, h.core.jobs["gang"].placedTasks, 2)
}

// Guards against suspects for which executors are kept: they start one by one, each on an executor of its own.
func TestNothingIsKeptForSuspects(t *testing.T) {
	h := newHarness(t, 2)
	h.withRankedQueues()
	h.submit("blocker", batchStep(1, 3000))
	h.addUrgentJob("gang", gangStep(2, 2000))
	h.core.task(taskID("gang", 0, 0)).crashes.recent = 1
	p := &placement{core: h.core, now: h.now, candidates: h.core.acceptingExecutors(h.now, service)}
	assert.Assert(t, p.reservationFor(h.core.jobs["gang"].occs[0].steps[0]) == nil)
	h.core.task(taskID("gang", 0, 0)).crashes.recent = 0
	assert.Assert(t, p.reservationFor(h.core.jobs["gang"].occs[0].steps[0]) != nil)
}

// Guards against machines that a gang attracts and keeps from other pools although all machines together could not hold it.
func TestGangsThatNoMachinesCanHoldAttractNone(t *testing.T) {
	member := workload.Step{Count: 3, Size: workload.Resources{CPUMilli: size.CPUMilli}, Estimate: 1000, Gang: true}
	few := workload.Step{Count: 3, Size: workload.Resources{CPUMilli: 100}, Estimate: 1000, Gang: true, MaxPerExecutor: 1}
	lasting := member
	lasting.LongRunning, lasting.MaxPerExecutor = true, 1
	for name, gang := range map[string]workload.Step{"wide": member, "spread": few, "long-running": lasting} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.submit("gang", gang)
			assert.Assert(t, h.core.Demands(h.now)[service] != Demand{Arrived: h.core.arrivedWork[service]}, "the machines are not known yet")
			h.core.SetMachineCapacities([]workload.Resources{size, size})
			d := h.core.Demands(h.now)[service]
			assert.Equal(t, d.Waiting+d.Late+d.TooLate+d.LongRunning+int64(d.Spread), int64(0))
			h.core.SetMachineCapacities([]workload.Resources{size, size, size})
			d = h.core.Demands(h.now)[service]
			assert.Assert(t, d.Waiting+d.LongRunning > 0)
			assert.Equal(t, d.Unplaceable, int64(0))
		})
	}
}

package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/workload"
)

// adviceService responds to the permit requests of a harness.
type adviceService struct {
	h *harness
	// permits decides for a step and an executor.
	permits func(step workload.StepID, executor string) bool
	// asked holds the executors of all requests by step, in order.
	asked map[workload.StepID][]string
}

func (h *harness) adviceService(permits func(step workload.StepID, executor string) bool) *adviceService {
	return &adviceService{h, permits, make(map[workload.StepID][]string)}
}

// respond answers the requests that are due, if any, one after the other.
func (a *adviceService) respond() (requests []PermitRequest) {
	requests = a.h.core.PermitRequests(a.h.now)
	for _, r := range requests {
		permitted := make(map[string]string)
		for _, executor := range r.Executors {
			a.asked[r.Step] = append(a.asked[r.Step], executor)
			if a.permits(r.Step, executor) {
				permitted[executor] = "permit-" + executor
			}
		}
		a.h.now += time.Millisecond
		a.h.core.PutPermits(a.h.now, r.Step, permitted, 3*time.Second)
		a.h.runCommands()
	}
	return requests
}

var restrictedPolicy = workload.PermitPolicy{DecisionTime: 5, PerExecutor: 1, Validity: 3000}

// Guards against jobs that never start because none of the executors in the first request is permitted: whichever executors are, each
// step asks about all others first, about none of them twice, and no step asks again before others that wait.
func TestStepsFindTheirPermittedExecutors(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		executors := rapid.IntRange(1, 250).Draw(rt, "executors")
		jobs := rapid.IntRange(1, 40).Draw(rt, "jobs")
		policy := workload.PermitPolicy{
			DecisionTime: workload.Millis(rapid.IntRange(0, 400).Draw(rt, "decision")), PerExecutor: workload.Millis(rapid.IntRange(0, 3).Draw(rt, "each")), Validity: 3000,
		}
		h := newHarness(rt, executors)
		h.withPermits(policy)
		permitted := make(map[string]string)
		for n := range jobs {
			id := fmt.Sprintf("j%02d", n)
			permitted[id] = fmt.Sprintf("x%d", rapid.IntRange(0, executors-1).Draw(rt, "permitted"))
			h.addRestrictedJob(id, batchStep(1, 50))
		}
		a := h.adviceService(func(step workload.StepID, executor string) bool { return permitted[step.Job] == executor })
		h.runCommands()
		for round := 0; len(h.starts) < jobs; round++ {
			requests := a.respond()
			assert.Assert(rt, len(requests) > 0 && len(requests) <= maxOpenPermitRequests, "%d requests, %d of %d jobs started", len(requests), len(h.starts), jobs)
			for _, r := range requests {
				assert.Assert(rt, len(r.Executors) <= maxPermitCandidates)
			}
		}
		for step, asked := range a.asked {
			slices.Sort(asked)
			assert.Equal(rt, len(slices.Compact(asked)), len(asked), "%v asks twice", step)
		}
		for _, s := range h.starts {
			assert.Equal(rt, s.Executor, permitted[s.Task.Job])
			assert.Equal(rt, s.Permit, "permit-"+s.Executor)
		}
	})
}

// Guards against a step that needs many requests and holds up others that need one.
func TestStepsTakeTurnsAtTheAdviceService(t *testing.T) {
	h := newHarness(t, 60)
	h.withPermits(restrictedPolicy)
	for n := range 2 * maxOpenPermitRequests {
		h.addRestrictedJob(fmt.Sprintf("hopeless%02d", n), batchStep(1, 50))
	}
	a := h.adviceService(func(step workload.StepID, _ string) bool { return step.Job == "j" })
	h.runCommands()
	a.respond()
	h.addRestrictedJob("j", batchStep(1, 50))
	h.runCommands()
	for range 3 {
		assert.Equal(t, len(h.starts), 0)
		a.respond()
	}
	assert.Equal(t, len(h.starts), 1)
}

// Guards against requests about executors that were denied, which cost the service time as long as the job waits, and against permits
// that are not renewed.
func TestOnlyPermittedExecutorsAreAskedAboutAgain(t *testing.T) {
	h := newHarness(t, 9)
	h.withPermits(restrictedPolicy)
	a := h.adviceService(func(_ workload.StepID, executor string) bool { return executor == "x3" })
	h.addRestrictedJob("j", batchStep(3, 3000))
	step := workload.StepID{Job: "j"}
	h.runCommands()
	a.respond()
	assert.Equal(t, len(a.asked[step]), 9)
	for n := range 2 {
		assert.Equal(t, len(h.starts), n+1)
		h.advance(10 * time.Second)
		assert.Equal(t, len(a.respond()), 0, "x3 is full")
		h.end(taskID("j", 0, n), workload.EndDone)
		a.respond()
		assert.DeepEqual(t, a.asked[step][9+n:], []string{"x3"})
	}
	assert.Equal(t, len(h.starts), 3)
}

// Guards against a failed request that counts as a denial, and against one that is not repeated.
func TestFailedPermitRequestsAreRepeated(t *testing.T) {
	h := newHarness(t, 2)
	h.withPermits(restrictedPolicy)
	h.addRestrictedJob("j", batchStep(1, 1000))
	h.runCommands()
	for range 3 {
		r := h.core.PermitRequests(h.now)
		assert.DeepEqual(t, r[0].Executors, []string{"x0", "x1"})
		h.core.PutPermits(h.now, r[0].Step, nil, 0)
		h.runCommands()
	}
	h.adviceService(func(workload.StepID, string) bool { return true }).respond()
	assert.Equal(t, len(h.starts), 1)
}

// Guards against an executor that is never asked about, because it joins, gets room or starts anew after the others were denied.
func TestExecutorsThatChangeAreAskedAbout(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("blocker", batchStep(1, 4000))
	h.withPermits(restrictedPolicy)
	h.addRestrictedJob("j", batchStep(1, 1000))
	a := h.adviceService(func(workload.StepID, string) bool { return false })
	step := workload.StepID{Job: "j"}
	h.runCommands()
	a.respond()
	full := h.starts[0].Executor
	assert.Equal(t, len(a.asked[step]), 1)
	h.end(taskID("blocker", 0, 0), workload.EndDone)
	a.respond()
	assert.DeepEqual(t, a.asked[step][1:], []string{full})
	h.addExecutor("x9", size)
	a.respond()
	assert.DeepEqual(t, a.asked[step][2:], []string{"x9"})
	h.core.Report(h.now, "x1", workload.Report{BornUnixMS: 2}, h.now, 0)
	h.advance(100 * time.Millisecond)
	a.respond()
	assert.DeepEqual(t, a.asked[step][3:], []string{"x1"})
	h.advance(time.Minute)
	assert.Equal(t, len(a.respond()), 0)
}

// Guards against a permit for an executor that has started again meanwhile: it is valid for the former incarnation only.
func TestPermitsBelongToAnIncarnation(t *testing.T) {
	h := newHarness(t, 1)
	h.withPermits(restrictedPolicy)
	h.addRestrictedJob("j", batchStep(1, 1000))
	h.runCommands()
	r := h.core.PermitRequests(h.now)
	h.core.Report(h.now, "x0", workload.Report{BornUnixMS: 2}, h.now, 0)
	h.core.PutPermits(h.now, r[0].Step, map[string]string{"x0": "former"}, 3*time.Second)
	h.runCommands()
	assert.Equal(t, len(h.starts), 0)
	h.adviceService(func(workload.StepID, string) bool { return true }).respond()
	assert.Equal(t, h.starts[0].Permit, "permit-x0")
}

// Guards against a rejected permit that takes those for other executors with it, and against starts that follow each other without pause
// while an executor rejects its permits.
func TestRejectedPermitsAreRequestedAgain(t *testing.T) {
	h := newHarness(t, 2)
	h.withPermits(restrictedPolicy)
	h.addRestrictedJob("j", batchStep(1, 1000))
	h.core.Schedule(h.now, h.now)
	r := h.core.PermitRequests(h.now)
	h.core.PutPermits(h.now, r[0].Step, map[string]string{"x0": "p0"}, 3*time.Second)
	h.core.Schedule(h.now, h.now)
	start := h.core.Commands()[0].(StartTask)
	h.core.Started(h.now, start.Executor, start.Task, start.Run, StartNoPermit, "no_permit")
	a := h.adviceService(func(workload.StepID, string) bool { return true })
	h.runCommands()
	assert.Equal(t, len(a.respond()), 0)
	h.advance(permitRetryDelay)
	a.respond()
	assert.DeepEqual(t, a.asked[r[0].Step], []string{"x0"})
	assert.Equal(t, h.starts[0].Permit, "permit-x0")
}

// Guards against a gang that asks for one rack and is spread over several, because the executors of one that would hold it are in a later
// request.
func TestGangsAskAboutAllRacksBeforeTheySpread(t *testing.T) {
	h := newHarness(t, 0)
	for n := range 16 {
		id := fmt.Sprintf("x%02d", n)
		h.running[id] = make(map[workload.TaskID]workload.RunningTask)
		h.core.PutExecutor(h.now, workload.Executor{ID: id, Service: service, Capacity: size, Rack: fmt.Sprintf("r%d", n/2)})
		h.report(id)
	}
	h.withPermits(restrictedPolicy)
	h.addRestrictedJob("gang", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 3000}, Estimate: 500, Gang: true, OneRack: true})
	a := h.adviceService(func(_ workload.StepID, executor string) bool {
		return slices.Contains([]string{"x00", "x02", "x14", "x15"}, executor)
	})
	h.runCommands()
	for range 2 {
		a.respond()
	}
	assert.Equal(t, len(h.starts), 2)
	for _, s := range h.starts {
		assert.Assert(t, s.Executor == "x14" || s.Executor == "x15", s.Executor)
	}
}

// Guards against a long-running task that never leaves a cordoned executor: none of its step waits, so that nobody asks where it may run.
func TestPermitsAreRequestedForTasksThatAreToLeave(t *testing.T) {
	h := newHarness(t, 3)
	h.withPermits(restrictedPolicy)
	h.addRestrictedJob("j", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 500}, LongRunning: true, MaxUnavailable: 1})
	a := h.adviceService(func(_ workload.StepID, executor string) bool { return executor != "x1" })
	h.runCommands()
	a.respond()
	h.reportServing()
	first := h.starts[0].Executor
	h.advance(10 * time.Second)
	h.core.Cordon(h.now, first, true)
	for range 5 {
		h.advance(100 * time.Millisecond)
		a.respond()
	}
	assert.Equal(t, len(h.stops), 1)
	h.end(taskID("j", 0, 0), workload.EndStopped)
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.starts), 2)
	assert.Assert(t, h.starts[1].Executor != first && h.starts[1].Executor != "x1")
}

// Guards against permits that count as expired because a response names no validity: the policy of the queue names it, too.
func TestPermitsWithoutValidityTakeThatOfTheQueue(t *testing.T) {
	h := newHarness(t, 1)
	h.withPermits(restrictedPolicy)
	h.addRestrictedJob("j", batchStep(1, 1000))
	h.runCommands()
	r := h.core.PermitRequests(h.now)
	h.core.PutPermits(h.now, r[0].Step, map[string]string{"x0": "permit"}, 0)
	h.runCommands()
	assert.Equal(t, len(h.starts), 1)
}

// Guards against waits for permits that are counted as waits for another cause.
func TestWaitsForPermitsAreCounted(t *testing.T) {
	h := newHarness(t, 1)
	h.withPermits(restrictedPolicy)
	h.addRestrictedJob("j", batchStep(1, 1000))
	h.runCommands()
	h.advance(time.Second)
	h.adviceService(func(workload.StepID, string) bool { return true }).respond()
	assert.Assert(t, h.core.Waited()[WaitPermit] >= time.Second)
}

// Guards against a machine that is ordered for a long-running task while the advice service has yet to answer about executors with room.
func TestTasksCountAsUnplacedOnceAllExecutorsAreDenied(t *testing.T) {
	h := newHarness(t, 30)
	h.withPermits(restrictedPolicy)
	a := h.adviceService(func(workload.StepID, string) bool { return false })
	h.addRestrictedJob("j", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 500}, LongRunning: true})
	h.runCommands()
	step := h.core.jobs["j"].occs[0].steps[0].id()
	for len(a.asked[step]) < 30 {
		assert.Equal(t, h.core.Demands(h.now)[service].Unplaced, 0, "%d executors were asked about", len(a.asked[step]))
		assert.Assert(t, len(a.respond()) > 0)
	}
	assert.Equal(t, h.core.Demands(h.now)[service].Unplaced, 1)
}

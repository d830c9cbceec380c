package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// inheritRunning returns a harness whose core is the owner of epoch 2, with an executor that it cannot reach and an inherited job of two
// steps. The executor x0 reports the first step as running under a run, or as done if it is 0.
func inheritRunning(t *testing.T, acceptedIn uint64, run int) *harness {
	h := newHarness(t, 1)
	h.core.opts.Epoch = 2
	h.core.AddUnreconciled(h.now, "unreachable", service, nil)
	h.inheritJob("j", 1, batchStep(1, 1000), batchStep(1, 1000, 0))
	if acceptedIn > 0 {
		h.core.SetAcceptedInTerm("j", acceptedIn)
	}
	first := taskID("j", 0, 0)
	if run == 0 {
		h.report("x0", workload.EndedTask{Number: 1, Task: first, Run: 1, Outcome: workload.EndDone})
	} else {
		h.running["x0"][first] = workload.RunningTask{Task: first, Run: run}
		h.report("x0")
		h.end(first, workload.EndDone)
	}
	h.runCommands()
	return h
}

// Replays a takeover beside a data centre that is cut off: a job whose first step ends on a reachable executor after it has reported to
// the new owner must go on at once. Guards against later steps that wait for the leases of executors that cannot run them.
func TestStepsThatNoFormerOwnerCanHaveStartedStartAtOnce(t *testing.T) {
	h := inheritRunning(t, 1, 1)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Task, taskID("j", 1, 0))
}

// Guards against a second run of a step that the former owner may have started on an executor that the new one cannot reach.
func TestStepsThatAFormerOwnerMayHaveStartedWait(t *testing.T) {
	for name, h := range map[string]*harness{
		"the end may have been listed to the former owner": inheritRunning(t, 1, 0),
		"an earlier run may have ended as done":            inheritRunning(t, 1, 2),
		"an earlier owner may have started the job":        inheritRunning(t, 0, 1),
	} {
		assert.Equal(t, len(h.starts), 0, name)
		h.core.ExpireLeases(h.now, "unreachable")
		h.runCommands()
		assert.Equal(t, len(h.starts), 1, name)
	}
}

// Guards against a second run of a step behind a gang: the first end of a member completes the gang, so the former owner may have started
// the step although another member still runs.
func TestStepsAfterAGangOfWhichAMemberMayHaveEndedWait(t *testing.T) {
	h := newHarness(t, 1)
	h.core.opts.Epoch = 2
	h.core.AddUnreconciled(h.now, "unreachable", service, nil)
	gang := batchStep(2, 1000)
	gang.Gang = true
	h.inheritJob("j", 1, gang, batchStep(1, 1000, 0))
	h.core.SetAcceptedInTerm("j", 1)
	member := taskID("j", 0, 0)
	h.running["x0"][member] = workload.RunningTask{Task: member, Run: 1}
	h.report("x0")
	h.end(member, workload.EndDone)
	h.runCommands()
	assert.Equal(t, len(h.starts), 0)
	h.core.ExpireLeases(h.now, "unreachable")
	h.runCommands()
	assert.Equal(t, len(h.starts), 1)
}

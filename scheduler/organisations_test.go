package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// setOrganisation applies a configuration of a version that has the organisation as its only one.
func (h *harness) setOrganisation(version uint64, o workload.Organisation) {
	config := *h.core.config
	config.Version, config.Organisations = version, []workload.Organisation{o}
	h.core.Configure(h.now, &config)
}

// Guards against a new owner that exceeds the cap of an organisation, because executors that have not reported may run tasks of
// it.
func TestCapCountsWhatMayRunOnSilentExecutors(t *testing.T) {
	h := newHarness(t, 2)
	h.setOrganisation(2, workload.Organisation{Name: "o", Cap: workload.Resources{CPUMilli: 5000}})
	h.core.PutExecutor(h.now, workload.Executor{ID: "silent", Service: "other", Capacity: size, Kind: "a", Rack: "r"})
	h.core.AddUnreconciled(h.now, "silent", "other", nil)
	h.submitFor("o", "j", workload.Step{Count: 4, Size: workload.Resources{CPUMilli: 1000}, Estimate: 1000})
	assert.Equal(t, len(h.starts), 1)
	h.core.ExpireLeases(h.now, "silent")
	h.core.Tick(h.now, 0)
	h.runCommands()
	assert.Equal(t, len(h.starts), 4)
}

// Guards against tasks that still wait after a cap was raised or lifted, and against demand for machines because of tasks that
// wait for a cap.
func TestRaisedCapsReleaseWaitingTasks(t *testing.T) {
	h := newHarness(t, 2)
	h.setOrganisation(2, workload.Organisation{Name: "o", Cap: workload.Resources{CPUMilli: 2000}})
	step := workload.Step{Count: 4, Size: workload.Resources{CPUMilli: 1000}, LongRunning: true}
	h.submitFor("o", "j", step)
	assert.Equal(t, len(h.starts), 2)
	assert.Equal(t, h.core.Demands(h.now)[service].Unplaced, 0)
	h.setOrganisation(3, workload.Organisation{Name: "o", Cap: workload.Resources{CPUMilli: 3000}})
	h.runCommands()
	assert.Equal(t, len(h.starts), 3)
	h.setOrganisation(4, workload.Organisation{Name: "o"})
	h.runCommands()
	assert.Equal(t, len(h.starts), 4)
}

// Guards against an organisation that sends many times its share and so keeps others waiting: its small jobs would rank before a
// larger job of another organisation.
func TestJobsBeyondAShareWaitForOthers(t *testing.T) {
	h := newHarness(t, 0)
	h.setOrganisation(2, workload.Organisation{Name: "hot", Weight: 3})
	step := func(estimate workload.Millis) workload.Step {
		return workload.Step{Count: 1, Size: size, Estimate: estimate}
	}
	for i := range 20 {
		h.submitFor("hot", fmt.Sprintf("hot%02d", i), step(100))
	}
	h.submitFor("calm", "calm", step(150))
	h.now += time.Millisecond
	for i := range 4 {
		h.addExecutor(fmt.Sprintf("x%d", i), size)
	}
	h.runCommands()
	var started []string
	for _, s := range h.starts {
		started = append(started, s.Task.Job)
	}
	assert.DeepEqual(t, started, []string{"hot00", "hot01", "hot02", "calm"})
}

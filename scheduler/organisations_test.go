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

// inherit adds a job of an organisation that was accepted under an earlier owner, with one step.
func (h *harness) inherit(organisation, id string, record *Record, step workload.Step) {
	assert.NilError(h.t, h.core.AddJob(h.now, &workload.Job{
		ID: id, Organisation: organisation, Route: "r", Service: "other", Policy: workload.Policy{MaxAttempts: 2}, Steps: []workload.Step{step},
	}, record, 1, true))
}

// Guards against a new owner that exceeds the cap of an organisation, because executors that have not reported may run tasks of
// it.
func TestCapCountsWhatMayRunOnSilentExecutors(t *testing.T) {
	core := workload.Resources{CPUMilli: 1000}
	for name, inherit := range map[string]func(*harness){
		"waiting": func(h *harness) { h.inherit("o", "old", nil, workload.Step{Count: 9, Size: core}) },
		"cancelled": func(h *harness) {
			h.inherit("o", "old", &Record{Status: workload.StatusCancelled}, workload.Step{Count: 9, Size: core})
		},
		"unreadable": func(h *harness) { h.core.AddUnreadableJob() },
		"recurring": func(h *harness) {
			assert.NilError(t, h.core.AddJob(h.now, &workload.Job{
				ID: "old", Organisation: "o", Route: "r", Service: "other", Recurrence: &workload.Recurrence{Count: 3},
				Steps: []workload.Step{{Count: 1, Size: core}},
			}, nil, 1, true))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.setOrganisation(2, workload.Organisation{Name: "o", Cap: workload.Resources{CPUMilli: 5000}})
			h.core.PutExecutor(h.now, workload.Executor{ID: "silent", Service: "other", Capacity: size, Kind: "a", Rack: "r"})
			h.core.AddUnreconciled(h.now, "silent", "other", nil)
			inherit(h)
			h.submitFor("o", "j", workload.Step{Count: 4, Size: core, Estimate: 1000})
			assert.Equal(t, len(h.starts), 1)
			h.core.ExpireLeases(h.now, "silent")
			h.core.Tick(h.now, 0)
			h.runCommands()
			assert.Equal(t, len(h.starts), 4)
		})
	}
}

// Replays a takeover in a burst while one data centre is cut off. The executors there have more capacity than any organisation
// may use, but only tasks of jobs from before the takeover can run on them. Guards against organisations that start nothing until
// the cut is over although most of their cap is free.
func TestCapsLeaveRoomWhileADataCentreIsCutOff(t *testing.T) {
	const executorsPerZone, organisations = 20, 10
	core := workload.Resources{CPUMilli: 1000}
	limit := workload.Resources{CPUMilli: size.CPUMilli * executorsPerZone / 4}
	h := newHarness(t, executorsPerZone)
	config := *h.core.config
	config.Version = 2
	for i := range organisations {
		config.Organisations = append(config.Organisations, workload.Organisation{Name: fmt.Sprint("o", i), Cap: limit})
	}
	h.core.Configure(h.now, &config)
	for i := range executorsPerZone {
		id := fmt.Sprint("silent", i)
		h.core.PutExecutor(h.now, workload.Executor{ID: id, Service: "other", Capacity: size, Kind: "a", Rack: "r"})
		h.core.AddUnreconciled(h.now, id, "other", nil)
	}
	for i := range organisations {
		h.inherit(fmt.Sprint("o", i), fmt.Sprint("old", i), nil, workload.Step{Count: 10, Size: core, Estimate: 1000})
		h.submitFor(fmt.Sprint("o", i), fmt.Sprint("new", i), workload.Step{Count: 8, Size: core, Estimate: 1000})
	}
	assert.Equal(t, len(h.starts), 8*organisations)
}

// Guards against tasks of inherited jobs that count twice, on their executor and as possibly running elsewhere.
func TestAdoptedAndEndedTasksCountOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.setOrganisation(2, workload.Organisation{Name: "o", Cap: workload.Resources{CPUMilli: 4000}})
	h.core.PutExecutor(h.now, workload.Executor{ID: "silent", Service: "other", Capacity: size, Kind: "a", Rack: "r"})
	h.core.AddUnreconciled(h.now, "silent", "other", nil)
	h.inherit("o", "old", nil, workload.Step{Count: 4, Size: workload.Resources{CPUMilli: 1000}})
	task := func(n int) workload.TaskID { return workload.TaskID{Job: "old", Index: n} }
	h.core.Report(h.now, "x0", workload.Report{
		BornUnixMS: 1, Running: []workload.RunningTask{{Task: task(0), Run: 1}},
		Ended: []workload.EndedTask{{Number: 1, Task: task(1), Run: 1, Outcome: workload.EndDone}},
	}, h.now, 1)
	h.submitFor("o", "j", workload.Step{Count: 4, Size: workload.Resources{CPUMilli: 1000}, Estimate: 1000})
	assert.Equal(t, len(h.starts), 1, "one core runs, two may run elsewhere")
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

// Guards against jobs accepted around a takeover that wait for executors that have not reported, although no former owner can have
// started them, and against counting them as arrivals: they become known at once, and would exceed the share of their organisation.
func TestUnstartedJobsDoNotWaitForUnreconciledExecutors(t *testing.T) {
	h := newHarness(t, 4)
	h.setOrganisation(2, workload.Organisation{Name: "o", Weight: 2, Cap: workload.Resources{CPUMilli: 9000}})
	h.core.PutExecutor(h.now, workload.Executor{ID: "silent", Service: service, Capacity: size, Kind: "a", Rack: "r"})
	h.core.AddUnreconciled(h.now, "silent", service, nil)
	step := workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}, Estimate: 100}
	h.inherit("o", "old", nil, step)
	before := h.core.Demands(h.now)[service].Arrived
	for i := range 5 {
		h.core.AddUnstartedJob(h.now, &workload.Job{
			ID: fmt.Sprintf("j%d", i), Route: "queue", Service: service, ConfigVersion: 1, Steps: []workload.Step{step}, Organisation: "o",
		})
	}
	assert.Equal(t, h.core.Demands(h.now)[service].Arrived, before)
	for i := range 5 {
		assert.Assert(t, !h.core.jobs[fmt.Sprintf("j%d", i)].beyondShare)
	}
	h.runCommands()
	assert.Equal(t, len(h.starts), 5, "all but the inherited job")
}

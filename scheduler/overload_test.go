package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// loads returns n waiting jobs of queue "q" that take a core for a second each, may wait 4 s and are on time after 600 ms. Those
// with a higher index have slightly more work.
func loads(n int, organisation string, beyondShare bool) []jobLoad {
	var jobs []jobLoad
	for i := range n {
		jobs = append(jobs, jobLoad{
			queue: "q", organisation: organisation, beyondShare: beyondShare, work: 1_000_000 + int64(i),
			demand: resourceTime{cpu: 1_000_000}, horizon: 4 * time.Second, left: 4 * time.Second, slack: 600 * time.Millisecond,
		})
	}
	return jobs
}

func cores(n int) machineSupply { return machineSupply{now: int64(n) * 1000} }

// Replays the loads of an overloaded pool of ten cores, each as the owner sees it at one moment. Guards against refusing jobs
// that machines which are there or in transit can do in time, and against accepting jobs that certainly end too late.
func TestClosuresFollowTheLoad(t *testing.T) {
	coming := machineSupply{now: 10_000, arriving: []arrivingCPU{{10_000, time.Second}}}
	old := loads(100, "", false)
	for i := range old {
		old[i].work, old[i].left = int64(i), time.Second
	}
	light, heavy := organisationLoad{}, organisationLoad{beyondShare: true}
	capped := organisationLoad{cap: workload.Resources{CPUMilli: 2000}, atCap: true}
	for name, c := range map[string]struct {
		machines machineSupply
		jobs     []jobLoad
		orgs     map[string]organisationLoad
		want     []string
	}{
		"within capacity":               {cores(10), loads(36, "", false), nil, nil},
		"burst beyond capacity":         {cores(10), loads(37, "", false), nil, []string{"q//backlog"}},
		"most become too late first":    {cores(10), slices.Concat(old, loads(36, "", false)), nil, []string{"q//backlog"}},
		"all become too late first":     {cores(10), slices.Concat(old, loads(25, "", false)), nil, nil},
		"machines in transit suffice":   {coming, loads(62, "", false), nil, nil},
		"machines in transit too few":   {coming, loads(63, "", false), nil, []string{"q//backlog"}},
		"no executor has reported":      {cores(0), loads(500, "", false), nil, nil},
		"one at six times its usual":    {cores(10), append(loads(30, "a", false), loads(7, "b", true)...), map[string]organisationLoad{"a": light, "b": heavy}, []string{"q/b/share"}},
		"others are full as well":       {cores(10), append(loads(41, "a", false), loads(5, "b", true)...), map[string]organisationLoad{"a": light, "b": heavy}, []string{"q/b/share", "q//backlog"}},
		"beyond its share, all fits":    {cores(10), append(loads(30, "a", false), loads(6, "b", true)...), map[string]organisationLoad{"a": light, "b": heavy}, nil},
		"at its cap, others fit":        {cores(10), append(loads(28, "a", false), loads(8, "c", false)...), map[string]organisationLoad{"a": light, "c": capped}, []string{"q/c/cap"}},
		"at its cap, in time":           {cores(10), loads(7, "c", false), map[string]organisationLoad{"c": capped}, nil},
		"its backlog is bounded by cap": {cores(10), append(loads(28, "a", false), loads(90, "c", false)...), map[string]organisationLoad{"a": light, "c": capped}, []string{"q/c/cap"}},
	} {
		t.Run(name, func(t *testing.T) {
			got := decideClosures(overloadInput{
				services: []serviceLoad{{queues: []queueState{{name: "q", slope: 1}}, jobs: c.jobs, machines: c.machines}}, organisations: c.orgs,
			})
			var names []string
			for _, x := range got {
				names = append(names, fmt.Sprintf("%s/%s/%s", x.Queue, x.Organisation, x.Cause))
			}
			assert.DeepEqual(t, names, c.want)
		})
	}
}

// Guards against refusing small jobs, which are placed before the backlog of larger ones, and jobs that may wait longer, and
// against a time to come back at which the backlog is still there.
func TestClosureIsForJobsBehindTheBacklog(t *testing.T) {
	in := overloadInput{services: []serviceLoad{{
		queues: []queueState{{name: "q", slope: 1}}, jobs: loads(60, "", false),
		machines: machineSupply{now: 10_000, arriving: []arrivingCPU{{5_000, 2 * time.Second}}},
	}}}
	x := decideClosures(in)[0]
	// 44 jobs fill 3.6 s; 45 take 3666 ms, of which the job that returns may wait 600.
	assert.Equal(t, x.Work, int64(1_000_044))
	assert.Equal(t, x.Return, 3066*time.Millisecond)
	job := func(cpu int, estimate workload.Millis, objective workload.Millis) *workload.Job {
		return &workload.Job{Policy: workload.Policy{Objective: objective}, Steps: []workload.Step{
			{Count: 1, Size: workload.Resources{CPUMilli: cpu}, Estimate: estimate},
		}}
	}
	assert.Assert(t, x.Refuses(job(2000, 900, 600)))
	assert.Assert(t, !x.Refuses(job(500, 900, 600)), "less work than the backlog")
	assert.Assert(t, !x.Refuses(job(2000, 900, 3000)), "may wait longer")
	assert.Assert(t, !x.Refuses(job(2000, 900, 0)), "no objective")
	running := job(2000, 900, 600)
	running.Steps[0].LongRunning = true
	assert.Assert(t, !x.Refuses(running), "long-running")
}

// Replays a burst in the core. Guards against closures before the owner could order machines, closures for executors that a new
// owner knows nothing of, and closures that outlast the load.
func TestCoreClosesOnlyALastingOverload(t *testing.T) {
	h := newHarness(t, 2)
	for i := range 120 {
		h.addJob(fmt.Sprintf("j%d", i), workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}, Estimate: 1000})
	}
	h.runCommands()
	closed := func(machines ...ExpectedMachine) int { return len(h.core.Closures(h.now, machines)) }
	assert.Equal(t, closed(), 0)
	h.now += closureHold
	assert.Equal(t, closed(ExpectedMachine{CPUMilli: 40_000, In: 1500 * time.Millisecond}), 0, "machines in standby")
	assert.Equal(t, closed(ExpectedMachine{CPUMilli: 40_000, Service: "other"}), 1)
	assert.Equal(t, closed(ExpectedMachine{CPUMilli: 40_000, Service: service, Executor: "x1"}), 1, "counted once")
	h.core.AddUnreconciled(h.now, "silent", service, nil)
	assert.Equal(t, closed(), 0, "after a takeover")
	h.core.ExpireLeases(h.now, "silent")
	assert.Equal(t, closed(), 1)
	for i := range 100 {
		h.core.Cancel(h.now, fmt.Sprintf("j%d", i+20))
	}
	assert.Equal(t, closed(), 0)
}

// Guards against refusing jobs that machines of another service could do, whose last tasks end soon, and against counting on those that
// have work of their own.
func TestMachinesThatEndTheirWorkCountForOtherServices(t *testing.T) {
	for _, others := range []int{1, 2} {
		h := newHarness(t, 2)
		config := *h.core.config
		config.Version, config.Services = 2, append(config.Services, workload.Service{Name: "other"})
		config.Routes = append(config.Routes, workload.Route{Name: "others", Service: "other", Policy: config.Routes[0].Policy})
		h.core.Configure(h.now, &config)
		h.running["y"] = make(map[workload.TaskID]workload.RunningTask)
		h.core.PutExecutor(h.now, workload.Executor{ID: "y", Service: "other", Capacity: workload.Resources{CPUMilli: 100_000}, Kind: "a"})
		h.report("y")
		for i := range others {
			assert.NilError(t, h.core.AddJob(h.now, &workload.Job{
				ID: fmt.Sprint("other", i), Route: "others", Service: "other", ConfigVersion: 2,
				Steps: []workload.Step{{Count: 1, Size: workload.Resources{CPUMilli: 100_000}, Estimate: 1000}},
			}, nil, 0, false))
		}
		for i := range 120 {
			h.addJob(fmt.Sprintf("j%d", i), workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}, Estimate: 1000})
		}
		h.runCommands()
		h.core.Closures(h.now, nil)
		h.now += closureHold
		assert.Equal(t, len(h.core.Closures(h.now, nil)), others-1, "one runs, the second one waits")
	}
}

// Guards against a panic of the owner because of a job whose estimate makes no sense: callers may send any. At its cap, an organisation
// has such a job and one that is done in less than a millisecond of its cap.
func TestEstimatesThatOverflowAreLeftOut(t *testing.T) {
	for _, estimate := range []workload.Millis{math.MinInt64, 3e12, 5e12, 9e12, math.MaxInt64} {
		h := newHarness(t, 1)
		config := *h.core.config
		config.Version, config.Organisations = 2, []workload.Organisation{{Name: "o", Weight: 10, Cap: workload.Resources{CPUMilli: 1000}}}
		h.core.Configure(h.now, &config)
		h.submitFor("o", "runs", batchStep(1, 1000))
		for id, x := range map[string]workload.Millis{"odd": estimate, "tiny": 50} {
			h.submitFor("o", id, workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 10}, Estimate: x})
		}
		assert.Equal(t, len(h.core.Closures(h.now, nil)), 0)
		h.now += closureHold
		for _, x := range h.core.Closures(h.now, nil) {
			assert.Assert(t, x.Horizon > 0, "%d", estimate)
		}
	}
}

package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/pools"
	"github.com/tamarackworks/tamarackworks/scheduler"
	"github.com/tamarackworks/tamarackworks/workload"
)

// Replays a burst that a pool of one machine cannot do. Guards against an owner that closes queues before it knows its machines or
// without a confirmed ownership, and against machines in standby that do not count.
func TestOwnerClosesQueuesOnlyByWhatItKnows(t *testing.T) {
	now, owns := time.Second, true
	l := newTestLeadership(t.Context(), func() time.Duration { return now })
	published := -1
	l.opts.PublishClosures = func(x []scheduler.Closure) { published = len(x) }
	l.opts.OwnsJobs = func() bool { return owns }
	config := &workload.Configuration{
		Version: 1, Services: []workload.Service{{Name: "pool"}, {Name: "spare", Standby: true}},
		Routes: []workload.Route{{Name: "q", Service: "pool", Policy: workload.Policy{Objective: 600}}},
	}
	l.core.Configure(now, config)
	l.machines.configure(config)
	capacity := workload.Resources{CPUMilli: 4000, MemoryMB: 4000}
	l.core.PutExecutor(now, workload.Executor{ID: "x", Service: "pool", Capacity: capacity})
	jobs := 0
	// play lets time pass, while ten times as many jobs arrive as the executor can do, and returns the last number of closures.
	play := func(d time.Duration) int {
		published = -1
		for end := now + d; now < end; now += tickInterval {
			for range 4 {
				jobs++
				assert.NilError(t, l.core.AddJob(now, &workload.Job{
					ID: fmt.Sprint("j", jobs), Route: "q", Service: "pool", Steps: []workload.Step{{Count: 1, Size: workload.Resources{CPUMilli: 1000}, Estimate: 1000}},
				}, nil, 0, false))
			}
			l.publishClosures(now)
		}
		return published
	}
	assert.Equal(t, play(2*time.Second), 0, "no list of machines")
	list := []workload.Machine{{ID: "m", Pool: "pool", State: workload.MachineUp, Capacity: capacity, Executor: "x"}}
	for i := range 40 {
		list = append(list, workload.Machine{ID: fmt.Sprint("s", i), Pool: "spare", State: workload.MachineUp, Capacity: capacity})
	}
	l.machines.setList(list[:1], now)
	assert.Equal(t, play(time.Second), 0, "has just taken over")
	assert.Equal(t, play(time.Second), 1)
	owns = false
	assert.Equal(t, play(time.Second), -1, "not confirmed")
	owns = true
	l.machines.setList(list, now)
	assert.Equal(t, play(time.Second), 0, "machines in standby")
	l.machines.pendingOrders["s1"] = pools.Action{Kind: pools.ActionMove, Machine: "s1", Pool: "pool"}
	list[3].State, list[3].Pool, l.machines.confirmedAt["s2"] = workload.MachineMoving, "pool", now-time.Second
	list[4].State = workload.MachineDown
	assert.DeepEqual(t, l.expectedMachines(now)[:5], []scheduler.ExpectedMachine{
		{Service: "pool", Executor: "x", CPUMilli: 4000}, {CPUMilli: 4000, In: machineMoveTime},
		{Service: "pool", CPUMilli: 4000, In: machineMoveTime}, {Service: "pool", CPUMilli: 4000, In: machineMoveTime - time.Second},
		{CPUMilli: 4000, In: machineMoveTime},
	})
}

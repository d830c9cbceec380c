package coordinator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/session"
	"github.com/tamarackworks/tamarackworks/standin/rows"
	"github.com/tamarackworks/tamarackworks/standin/workers"
	"github.com/tamarackworks/tamarackworks/workload"
)

// Guards against tasks that run twice, or start again after their end was acknowledged, while machines move, are maintained and
// replaced, executors restart under their IDs, the owner stalls, and responses come late and overtake each other.
func TestTasksRunOnceBesideMovesAndStalls(t *testing.T) {
	seeds := uint64(8)
	if os.Getenv("FAULT_SEEDS") != "" {
		seeds = faultSeeds(t)
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { inBubble(t, func(t *testing.T) { runBesideMovesAndStalls(t, seed) }) })
	}
}

// newMovingCluster starts three hosts and machines in two pools, and for odd seeds also a standby pool.
func newMovingCluster(t *testing.T, seed uint64) (*cluster, *movingMachines) {
	c := prepareCluster(t, func(f *workers.Fleet) session.Client { return f })
	f := &randomFaults{rng: rand.New(rand.NewPCG(seed, 11)), faultsEndAt: c.startedAt.Add(30 * time.Second), healthyCalls: 60}
	m := &movingMachines{c: c, faults: f, machines: make(map[string]*movingMachine)}
	c.machineService, c.machineDelay, c.stopTimeout, c.retention = m, moveTime, time.Second, 10*time.Minute
	c.stall = f.stall
	c.fleet.SetStopTime(900 * time.Millisecond)
	c.fleet.SetDelays(f.callDelays)
	c.fleet.SeparateClocks(func() float64 { return []float64{1, 0.98}[f.intN(2)] }, 6*time.Second)
	services := []workload.Service{{Name: testService, ChecksCapacity: true}, {Name: otherService, ChecksCapacity: true}}
	if seed%2 == 1 {
		services = append(services, workload.Service{Name: standbyService, Standby: true})
	}
	policy := workload.Policy{MaxAttempts: 3, SlackFactor: 2}
	config, err := json.Marshal(workload.Configuration{
		Version: 1, Services: services, Routes: []workload.Route{
			{Name: "queue", Service: testService, Policy: policy}, {Name: "second", Service: otherService, Policy: policy},
		},
	})
	assert.NilError(t, err)
	c.store.Put(rowstore.Key{Table: "operator", Name: "config"}, config)
	for i := range 7 {
		m.add(services[min(i/3, len(services)-1)].Name)
	}
	c.startHosts(3)
	c.fleet.SetFault(f.orderFault)
	for i, h := range c.hosts {
		h.handle.SetFault(func(bool) rows.Fault { return f.storeFault(i) })
	}
	return c, m
}

// callDelays returns the delays of a call to an executor.
func (f *randomFaults) callDelays(string, string) (request, response time.Duration) {
	return f.callTime(300), f.callTime(600)
}

// stall sleeps for 0.3 to 2 s if one is due.
func (f *randomFaults) stall() {
	if f.stallDue.Swap(false) {
		time.Sleep(time.Duration(300+f.intN(1700)) * time.Millisecond)
	}
}

// runBesideMovesAndStalls submits bursts of jobs to two queues in turn while faults occur.
func runBesideMovesAndStalls(t *testing.T, seed uint64) {
	t.Helper()
	c, m := newMovingCluster(t, seed)
	f := m.faults
	c.fleet.SetDuration(func(id workload.TaskID) (time.Duration, workload.End) {
		return time.Duration(200+697*id.Index+331*id.Step+37*len(id.Job)) * time.Millisecond, workload.EndDone
	})
	queues := []struct{ route, service string }{{"queue", testService}, {"second", otherService}}
	var ids []string
	waves := 0
	for n := range 120 {
		// Bursts of some 10 jobs for one queue, then for the other one, leave machines idle in the pool of the first.
		if queue := queues[n/20%2]; n%20 < 9 {
			id := fmt.Sprintf("job%d", n)
			ids = append(ids, id)
			c.submitTo(queue.route, queue.service, id, plainStep(1+f.intN(6)), plainStep(1+f.intN(3), 0))
			time.Sleep(time.Duration(f.intN(150)) * time.Millisecond)
		} else {
			time.Sleep(time.Duration(f.intN(700)) * time.Millisecond)
		}
		switch f.intN(24) {
		case 0:
			c.store.DropHistory()
		case 1:
			host, fault := f.intN(3), []rows.Fault{rows.None, rows.DropCall, rows.Refuse}[f.intN(3)]
			f.mu.Lock()
			f.hostFaults[host] = fault
			f.mu.Unlock()
		case 2, 3:
			m.cutOff(9 * time.Second)
		case 4, 5, 6:
			m.restart([]time.Duration{20 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second}[f.intN(3)])
		case 7, 8:
			m.dropRegistration()
		case 9:
			m.replace()
		case 10, 11:
			f.stallDue.Store(true)
		case 12, 13:
			f.stallDue.Store(true)
			m.rewriteRegistration()
		case 14:
			m.cutOff(9 * time.Second)
			m.replace()
		case 15:
			waves++
			m.requestWave(waves)
		}
	}
	c.awaitFinal(ids, 120*time.Second)
	c.checkViolations()
	starts, noRoom := c.fleet.Counts()
	t.Logf("moves %d waves %d starts %d, no room %d, took %s", m.moves, waves, starts, noRoom, c.now())
}

// requestWave requests the maintenance of two machines.
func (m *movingMachines) requestWave(number int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wave := workload.Wave{Number: number, Machines: []string{m.pick().ID, m.pick().ID}, Duration: 15 * time.Second, MaxAtOnce: 1}
	value, err := json.Marshal(wave)
	if err == nil {
		m.c.store.Put(rowstore.Key{Table: "operator", Name: fmt.Sprintf("wave/%d", number)}, value)
	}
}

// awaitFinal waits until all jobs have ended, and fails the test after limit. A job may fail: its executor may have crashed twice when it
// had just started.
func (c *cluster) awaitFinal(ids []string, limit time.Duration) {
	c.t.Helper()
	end := time.Now().Add(limit)
	for _, id := range ids {
		for !c.status(id).Final() {
			assert.Assert(c.t, time.Now().Before(end), "%s is %s", id, c.status(id))
			time.Sleep(50 * time.Millisecond)
		}
	}
}

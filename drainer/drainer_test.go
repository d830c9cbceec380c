package drainer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/leader"
	"github.com/tamarackworks/tamarackworks/membership"
	"github.com/tamarackworks/tamarackworks/planner"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
)

const hostCount = 6

// testCluster has a pool named a with a disruption budget of 2 on three racks of two hosts each.
type testCluster struct {
	t        *testing.T
	platform *memory.Platform
	mu       sync.Mutex
	reboots  map[string]int
	backlog  int
	// staleSnapshot makes the snapshot show all hosts as active.
	staleSnapshot bool
	// confirmReleases is whether entry hosts confirm a release when asked.
	confirmReleases bool
}

// newTestCluster returns a cluster whose host list lags behind by lag.
func newTestCluster(t *testing.T, lag time.Duration) *testCluster {
	tc := &testCluster{t: t, reboots: make(map[string]int), confirmReleases: true}
	tc.platform = memory.New(memory.Options{ListLag: lag, RebootTime: 3 * time.Second, OnReboot: func(h string) {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		tc.reboots[h]++
	}})
	spec, _ := json.Marshal(structs.Pool{Name: "a", DataCentre: "dc1", MaxUnavailable: 2})
	tc.putRow("object/pool/a", structs.Object{Kind: structs.KindPool, Name: "a", Number: 1, Spec: spec})
	for i := range hostCount {
		name := fmt.Sprintf("h%d", i)
		tc.putRow("assign/dc1/"+name, structs.Assignment{Host: name, DataCentre: "dc1", Pool: "a", Phase: structs.PhaseActive, Generation: 1})
		tc.setLive(name, true)
	}
	return tc
}

func (tc *testCluster) putRow(key string, value any) uint64 {
	data, _ := json.Marshal(value)
	version, err := tc.platform.Handle().Commit(tc.t.Context(), cloud.Txn{Ops: []cloud.Op{{Key: key, Value: data}}})
	assert.NilError(tc.t, err)
	return version
}

func (tc *testCluster) setLive(host string, live bool) {
	tc.platform.SetHost(structs.HostState{Name: host, DataCentre: "dc1", Incarnation: 1, Live: live})
}

// fixedLease is a lease that is always held.
type fixedLease struct{ leader.Lease }

func (l fixedLease) Lead() (leader.Lease, bool) { return l.Lease, true }

// Release implements membership.Releaser.
func (tc *testCluster) Release(_ context.Context, reg structs.Registration, _ string, _ uint64) (membership.ReleaseStatus, error) {
	status := membership.ReleaseStatus{Released: tc.confirmReleases, Incarnation: reg.Incarnation}
	return status, nil
}

// PlannerSnapshot implements Snapshots.
func (tc *testCluster) PlannerSnapshot() planner.Snapshot {
	s := planner.Snapshot{Pools: []planner.Pool{{Pool: structs.Pool{Name: "a", DataCentre: "dc1", MaxUnavailable: 2}, Backlog: tc.backlog}}}
	for _, a := range tc.assignments() {
		state, _ := tc.platform.Host(a.Host)
		if tc.staleSnapshot {
			a.Phase = structs.PhaseActive
		}
		rack := "r" + string('0'+(a.Host[1]-'0')/2)
		s.Hosts = append(s.Hosts, planner.Host{Name: a.Host, Rack: rack, HomePool: "a", Pool: a.Pool, Phase: a.Phase, Live: state.Live})
	}
	return s
}

func (tc *testCluster) assignments() []structs.Assignment {
	rows, err := membership.Assignments(context.Background(), tc.platform.Handle(), "dc1")
	assert.NilError(tc.t, err)
	return rows
}

// outOfService returns the number of hosts that are not active, and their racks.
func (tc *testCluster) outOfService() (n int, racks map[byte]bool) {
	racks = make(map[byte]bool)
	for _, a := range tc.assignments() {
		if a.Phase != structs.PhaseActive {
			n++
			racks[(a.Host[1]-'0')/2] = true
		}
	}
	return n, racks
}

// newLeader takes over the leadership and returns a drainer for it.
func (tc *testCluster) newLeader() (*Drainer, *memory.Handle) {
	h := tc.platform.Handle()
	version := tc.putRow("fence/dc1", struct{}{})
	l := fixedLease{leader.Lease{Fence: cloud.Precondition{Key: "fence/dc1", Version: version}}}
	discardLog := &log.Logger{Handler: discard.New()}
	m := membership.New(membership.Options{Table: h, Hosts: h, DataCentre: "dc1", Leadership: l, Releaser: tc, Log: discardLog})
	return New(Options{Table: h, Hosts: h, Maintenance: h, Tasks: h, DataCentre: "dc1", Leadership: l, Members: m, Snapshots: tc, Log: discardLog}), h
}

func (tc *testCluster) progress(name string) structs.WaveProgress {
	all, err := List(tc.t.Context(), tc.platform.Handle(), "dc1")
	assert.NilError(tc.t, err)
	for _, p := range all {
		if p.Name == name {
			return p
		}
	}
	return structs.WaveProgress{}
}

func wave(name string) structs.Wave {
	return structs.Wave{Name: name, DataCentre: "dc1", MaxParallel: 2}
}

// runUntilDone runs a pass every second until the wave is done and checks the limits after each. next returns the drainer
// of the next pass.
func (tc *testCluster) runUntilDone(next func() *Drainer, name string) {
	tc.t.Helper()
	for range 200 {
		_ = next().Run(tc.t.Context(), wave(name))
		n, racks := tc.outOfService()
		assert.Assert(tc.t, n <= 2 && len(racks) <= 1, "%d hosts of racks %v are out", n, racks)
		if tc.progress(name).State == structs.WaveDone {
			return
		}
		time.Sleep(time.Second)
	}
	tc.t.Fatalf("wave is not done: %+v", tc.progress(name))
}

// assertRebootedOnce checks that every host was rebooted exactly once.
func (tc *testCluster) assertRebootedOnce() {
	tc.t.Helper()
	for i := range hostCount {
		assert.Equal(tc.t, tc.reboots[fmt.Sprintf("h%d", i)], 1, "host %d", i)
	}
}

// A wave must work on one rack at a time, keep its limit, reboot every host exactly once although the host list lags, and
// have an estimated end.
func TestWaveMaintainsEveryHostOnce(t *testing.T) {
	for _, lag := range []time.Duration{0, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			tc := newTestCluster(t, lag)
			d, _ := tc.newLeader()
			assert.NilError(t, d.Run(t.Context(), wave("w")))
			assert.Assert(t, tc.progress("w").EndUnixMS > time.Now().UnixMilli())
			tc.runUntilDone(func() *Drainer { return d }, "w")
			tc.assertRebootedOnce()
			assert.Equal(t, len(tc.progress("w").Done), hostCount)
		})
	}
}

// A new leader must continue the wave where the previous one stopped. Lost responses and dropped writes must neither reboot
// a host twice nor leave one out.
func TestWaveSurvivesLeadersAndAmbiguousWrites(t *testing.T) {
	for name, faults := range map[string]memory.Faults{"none": {}, "lost": {LoseResponses: 1}, "dropped": {DropWrites: 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t, time.Second)
				passes := 0
				tc.runUntilDone(func() *Drainer {
					d, h := tc.newLeader()
					// Each leader has one fault, at a different write or reboot than the leader before.
					f := &faultyHandle{Handle: h, faultAfter: passes % 7, faults: faults}
					passes++
					d.opts.Table, d.opts.Maintenance = f, f
					d.opts.Members = membership.New(membership.Options{
						Table: f, Hosts: h, DataCentre: "dc1", Leadership: d.opts.Leadership, Releaser: tc, Log: d.opts.Log,
					})
					return d
				}, "w")
				tc.assertRebootedOnce()
			})
		})
	}
}

// faultyHandle injects faults after faultAfter writes and reboots.
type faultyHandle struct {
	*memory.Handle
	mu         sync.Mutex
	faultAfter int
	faults     memory.Faults
}

func (f *faultyHandle) injectFault() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faultAfter == 0 {
		f.SetFaults(f.faults)
	}
	f.faultAfter--
}

func (f *faultyHandle) Commit(ctx context.Context, txn cloud.Txn) (uint64, error) {
	f.injectFault()
	return f.Handle.Commit(ctx, txn)
}

func (f *faultyHandle) Reboot(ctx context.Context, host string, incarnation uint64) error {
	f.injectFault()
	return f.Handle.Reboot(ctx, host, incarnation)
}

// After an unplanned loss of a rack, a wave must return draining hosts at once, although an entry host does not release
// them, and must take out no further hosts until the rack is back.
func TestWaveStopsWhenARackIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 0)
		tc.putRow("entry/dc1/e1", structs.Registration{Entry: "e1", DataCentre: "dc1", Incarnation: "1"})
		d, _ := tc.newLeader()
		tc.confirmReleases = false
		_ = d.Run(t.Context(), wave("w"))
		n, _ := tc.outOfService()
		assert.Equal(t, n, 2)
		tc.setLive("h4", false)
		tc.setLive("h5", false)
		assert.NilError(t, d.Run(t.Context(), wave("w")))
		n, _ = tc.outOfService()
		assert.Equal(t, n, 0, "draining hosts must return although an entry host does not release them")
		tc.confirmReleases = true
		for range 30 {
			assert.NilError(t, d.Run(t.Context(), wave("w")))
			time.Sleep(time.Second)
		}
		assert.Equal(t, len(tc.reboots), 0)
		assert.Equal(t, tc.progress("w").State, structs.WaveWaiting)
		tc.setLive("h4", true)
		tc.setLive("h5", true)
		tc.runUntilDone(func() *Drainer { return d }, "w")
		tc.assertRebootedOnce()
	})
}

// A host must not reboot if a rack is lost after the plan of the pass was made, while the host drains.
func TestRebootNeedsRoomInTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 0)
		d, _ := tc.newLeader()
		d.opts.Tasks = tasksFunc(func() {
			tc.setLive("h4", false)
			tc.setLive("h5", false)
		})
		assert.NilError(t, d.Run(t.Context(), wave("w")))
		assert.Equal(t, len(tc.reboots), 0)
		n, _ := tc.outOfService()
		assert.Equal(t, n, 0)
	})
}

type tasksFunc func()

func (f tasksFunc) Tasks(context.Context, string) ([]cloud.Task, error) {
	f()
	return nil, nil
}

// A wave must keep its limit although the snapshot from which it plans lags.
func TestWaveLimitHoldsWithAStaleSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 0)
		tc.staleSnapshot = true
		d, _ := tc.newLeader()
		single := wave("w")
		single.MaxParallel = 1
		for range 40 {
			_ = d.Run(t.Context(), single)
			n, _ := tc.outOfService()
			assert.Assert(t, n <= 1)
			time.Sleep(time.Second)
		}
		tc.assertRebootedOnce()
	})
}

// A wave must not reboot a host that a drain object took out first.
func TestWaveLeavesDrainedHostsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 0)
		d, _ := tc.newLeader()
		d.opts.Members = drainFirst{d.opts.Members}
		assert.NilError(t, d.Run(t.Context(), wave("w")))
		assert.Equal(t, len(tc.reboots), 0)
	})
}

// drainFirst drains each host for a drain object just before the wave does.
type drainFirst struct{ Members }

func (m drainFirst) Drain(ctx context.Context, host, reason string) (membership.Drained, error) {
	if _, err := m.Members.Drain(ctx, host, "drain"); err != nil {
		return membership.Drained{}, err
	}
	return m.Members.Drain(ctx, host, reason)
}

// Two concurrent waves over the same pool must not exceed its disruption budget together, and both must complete.
func TestRacingWavesShareTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 0)
		d, h := tc.newLeader()
		// With no latency the passes of the waves would not overlap.
		h.SetFaults(memory.Faults{Latency: 20 * time.Millisecond})
		other := New(d.opts)
		other.opts.Snapshots = reversedRacks{tc}
		for range 300 {
			done := make(chan struct{}, 2)
			for name, d := range map[string]*Drainer{"w1": d, "w2": other} {
				go func() {
					_ = d.Run(t.Context(), wave(name))
					done <- struct{}{}
				}()
			}
			<-done
			<-done
			n, _ := tc.outOfService()
			assert.Assert(t, n <= 2, "%d hosts are out", n)
			time.Sleep(time.Second)
		}
		assert.Equal(t, tc.progress("w1").State, structs.WaveDone)
		assert.Equal(t, tc.progress("w2").State, structs.WaveDone)
	})
}

// reversedRacks reverses the order of the racks, so that a wave begins with the last one.
type reversedRacks struct{ cluster *testCluster }

func (r reversedRacks) PlannerSnapshot() planner.Snapshot {
	s := r.cluster.PlannerSnapshot()
	for i := range s.Hosts {
		s.Hosts[i].Rack = "r" + string('9'-s.Hosts[i].Rack[1]+'0')
	}
	return s
}

// A wave must not take hosts out of a pool with an urgent backlog, and must not reboot a host while a task is running on
// it.
func TestWaveWaitsForBacklogAndTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 0)
		d, h := tc.newLeader()
		tc.backlog = 5
		assert.NilError(t, d.Run(t.Context(), wave("w")))
		n, _ := tc.outOfService()
		assert.Equal(t, n, 0)
		tc.backlog = 0
		for i := range hostCount {
			spec := cloud.TaskSpec{ID: fmt.Sprint(i), DataCentre: "dc1", Host: fmt.Sprintf("h%d", i), Payload: `{"run_ms":60000}`, Lease: time.Hour}
			assert.NilError(t, h.StartTask(t.Context(), spec))
		}
		for range 30 {
			assert.NilError(t, d.Run(t.Context(), wave("w")))
			time.Sleep(time.Second)
		}
		n, _ = tc.outOfService()
		assert.Equal(t, n, 2)
		assert.Equal(t, len(tc.reboots), 0)
		tc.runUntilDone(func() *Drainer { return d }, "w")
	})
}

// The hosts of a withdrawn wave must return to service, and its progress must be deleted: otherwise a wave declared later
// under the same name would finish at once. The progress of a declared wave stays although the view lags.
func TestWithdrawnWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 0)
		d, _ := tc.newLeader()
		assert.NilError(t, d.Run(t.Context(), wave("w")))
		time.Sleep(5 * time.Second)
		for _, a := range tc.assignments() {
			if a.Phase != structs.PhaseActive {
				assert.NilError(t, d.FinishAbandoned(t.Context(), a))
			}
		}
		n, _ := tc.outOfService()
		assert.Equal(t, n, 0)
		tc.putRow("object/wave/w", structs.Object{Kind: structs.KindWave, Name: "w", Number: 2})
		assert.NilError(t, d.DeleteUndeclared(t.Context(), nil))
		assert.Equal(t, tc.progress("w").Name, "w", "the progress of a declared wave must stay although the view lags")
		tc.putRow("object/wave/w", structs.Object{Kind: structs.KindWave, Name: "w", Number: 3, Deleted: true})
		assert.NilError(t, d.DeleteUndeclared(t.Context(), nil))
		assert.Equal(t, tc.progress("w").Name, "")
	})
}

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

const hosts = 6

// world has pool a with budget 2 on three racks of two hosts, and a leader whose releases succeed.
type world struct {
	t       *testing.T
	p       *memory.Platform
	mu      sync.Mutex
	reboots map[string]int
	backlog int
	// stale makes the snapshot show all hosts as active.
	stale bool
	ready bool
}

func newWorld(t *testing.T, lag time.Duration) *world {
	w := &world{t: t, reboots: make(map[string]int), ready: true}
	w.p = memory.New(memory.Options{ListLag: lag, RebootTime: 3 * time.Second, OnReboot: func(h string) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.reboots[h]++
	}})
	spec, _ := json.Marshal(structs.Pool{Name: "a", DataCentre: "dc1", MaxUnavailable: 2})
	w.put("object/pool/a", structs.Object{Kind: structs.KindPool, Name: "a", Number: 1, Spec: spec})
	for i := range hosts {
		name := fmt.Sprintf("h%d", i)
		w.put("assign/dc1/"+name, structs.Assignment{Host: name, DataCentre: "dc1", Pool: "a", Phase: structs.PhaseActive, Generation: 1})
		w.set(name, true)
	}
	return w
}

func (w *world) put(key string, value any) uint64 {
	data, _ := json.Marshal(value)
	version, err := w.p.Handle().Commit(w.t.Context(), cloud.Txn{Ops: []cloud.Op{{Key: key, Value: data}}})
	assert.NilError(w.t, err)
	return version
}

func (w *world) set(host string, live bool) {
	w.p.SetHost(structs.HostState{Name: host, DataCentre: "dc1", Incarnation: 1, Live: live})
}

type lease struct{ leader.Lease }

func (l lease) Lead() (leader.Lease, bool) { return l.Lease, true }

// Release implements membership.Releaser.
func (w *world) Release(_ context.Context, reg structs.Registration, _ string, _ uint64) (membership.ReleaseStatus, error) {
	status := membership.ReleaseStatus{Released: w.ready, Incarnation: reg.Incarnation}
	return status, nil
}

// PlannerSnapshot implements Snapshots.
func (w *world) PlannerSnapshot() planner.Snapshot {
	s := planner.Snapshot{Pools: []planner.Pool{{Pool: structs.Pool{Name: "a", DataCentre: "dc1", MaxUnavailable: 2}, Backlog: w.backlog}}}
	for _, a := range w.rows() {
		state, _ := w.p.Host(a.Host)
		if w.stale {
			a.Phase = structs.PhaseActive
		}
		rack := "r" + string('0'+(a.Host[1]-'0')/2)
		s.Hosts = append(s.Hosts, planner.Host{Name: a.Host, Rack: rack, HomePool: "a", Pool: a.Pool, Phase: a.Phase, Live: state.Live})
	}
	return s
}

func (w *world) rows() []structs.Assignment {
	rows, err := membership.Assignments(context.Background(), w.p.Handle(), "dc1")
	assert.NilError(w.t, err)
	return rows
}

func (w *world) out() (n int, racks map[byte]bool) {
	racks = make(map[byte]bool)
	for _, a := range w.rows() {
		if a.Phase != structs.PhaseActive {
			n++
			racks[(a.Host[1]-'0')/2] = true
		}
	}
	return n, racks
}

func (w *world) lead() (*Drainer, *memory.Handle) {
	h := w.p.Handle()
	version := w.put("fence/dc1", struct{}{})
	l := lease{leader.Lease{Fence: cloud.Precondition{Key: "fence/dc1", Version: version}}}
	quiet := &log.Logger{Handler: discard.New()}
	m := membership.New(membership.Options{Table: h, Hosts: h, DataCentre: "dc1", Leadership: l, Releaser: w, Log: quiet})
	return New(Options{Table: h, Hosts: h, Maintenance: h, Tasks: h, DataCentre: "dc1", Leadership: l, Members: m, Snapshots: w, Log: quiet}), h
}

func (w *world) progress(name string) structs.WaveProgress {
	all, err := List(w.t.Context(), w.p.Handle(), "dc1")
	assert.NilError(w.t, err)
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

// finish runs passes every second until the wave is done and checks the limits at each.
func (w *world) finish(next func() *Drainer, name string) {
	w.t.Helper()
	for range 200 {
		_ = next().Run(w.t.Context(), wave(name))
		n, racks := w.out()
		assert.Assert(w.t, n <= 2 && len(racks) <= 1, "%d hosts of racks %v are out", n, racks)
		if w.progress(name).State == structs.WaveDone {
			return
		}
		time.Sleep(time.Second)
	}
	w.t.Fatalf("wave is not done: %+v", w.progress(name))
}

func (w *world) rebootedOnce() {
	w.t.Helper()
	for i := range hosts {
		assert.Equal(w.t, w.reboots[fmt.Sprintf("h%d", i)], 1, "host %d", i)
	}
}

// Guards against a wave that works on several racks, exceeds its limit, misses a host, reboots one twice
// because of a lagging list, or gives no estimate.
func TestWaveMaintainsEveryHostOnce(t *testing.T) {
	for _, lag := range []time.Duration{0, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, lag)
			d, _ := w.lead()
			assert.NilError(t, d.Run(t.Context(), wave("w")))
			assert.Assert(t, w.progress("w").EndUnixMS > time.Now().UnixMilli())
			w.finish(func() *Drainer { return d }, "w")
			w.rebootedOnce()
			assert.Equal(t, len(w.progress("w").Done), hosts)
		})
	}
}

// Guards against a new leader that forgets what was done, and against lost answers and dropped writes that
// reboot a host twice or leave it out.
func TestWaveSurvivesLeadersAndAmbiguousWrites(t *testing.T) {
	for name, faults := range map[string]memory.Faults{"none": {}, "lost": {LoseAnswers: 1}, "dropped": {DropWrites: 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, time.Second)
				passes := 0
				w.finish(func() *Drainer {
					d, h := w.lead()
					// Each leader has one fault, at a write or reboot that differs from the one before.
					f := &faulty{Handle: h, at: passes % 7, faults: faults}
					passes++
					d.opts.Table, d.opts.Maintenance = f, f
					d.opts.Members = membership.New(membership.Options{
						Table: f, Hosts: h, DataCentre: "dc1", Leadership: d.opts.Leadership, Releaser: w, Log: d.opts.Log,
					})
					return d
				}, "w")
				w.rebootedOnce()
			})
		})
	}
}

type faulty struct {
	*memory.Handle
	mu     sync.Mutex
	at     int
	faults memory.Faults
}

func (f *faulty) next() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at == 0 {
		f.SetFaults(f.faults)
	}
	f.at--
}

func (f *faulty) Commit(ctx context.Context, txn cloud.Txn) (uint64, error) {
	f.next()
	return f.Handle.Commit(ctx, txn)
}

func (f *faulty) Reboot(ctx context.Context, host string, incarnation uint64) error {
	f.next()
	return f.Handle.Reboot(ctx, host, incarnation)
}

// Guards against a wave that goes on taking hosts out after a rack was lost, and that does not give back at
// once what is only draining.
func TestWaveStopsWhenARackIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 0)
		w.put("entry/dc1/e1", structs.Registration{Entry: "e1", DataCentre: "dc1", Incarnation: "1"})
		d, _ := w.lead()
		w.ready = false
		_ = d.Run(t.Context(), wave("w"))
		n, _ := w.out()
		assert.Equal(t, n, 2)
		w.set("h4", false)
		w.set("h5", false)
		assert.NilError(t, d.Run(t.Context(), wave("w")))
		n, _ = w.out()
		assert.Equal(t, n, 0, "hosts that only drain return although an entry host does not release them")
		w.ready = true
		for range 30 {
			assert.NilError(t, d.Run(t.Context(), wave("w")))
			time.Sleep(time.Second)
		}
		assert.Equal(t, len(w.reboots), 0)
		assert.Equal(t, w.progress("w").State, structs.WaveWaiting)
		w.set("h4", true)
		w.set("h5", true)
		w.finish(func() *Drainer { return d }, "w")
		w.rebootedOnce()
	})
}

// Guards against a loss that happens after the plan of a pass, while a host drains: it must not reboot.
func TestRebootNeedsRoomInTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 0)
		d, _ := w.lead()
		d.opts.Tasks = tasksFunc(func() {
			w.set("h4", false)
			w.set("h5", false)
		})
		assert.NilError(t, d.Run(t.Context(), wave("w")))
		assert.Equal(t, len(w.reboots), 0)
		n, _ := w.out()
		assert.Equal(t, n, 0)
	})
}

type tasksFunc func()

func (f tasksFunc) Tasks(context.Context, string) ([]cloud.Task, error) {
	f()
	return nil, nil
}

// Guards against a lagging snapshot that lets a wave take out more hosts than it may.
func TestWaveLimitHoldsWithAStaleSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 0)
		w.stale = true
		d, _ := w.lead()
		one := wave("w")
		one.MaxParallel = 1
		for range 40 {
			_ = d.Run(t.Context(), one)
			n, _ := w.out()
			assert.Assert(t, n <= 1)
			time.Sleep(time.Second)
		}
		w.rebootedOnce()
	})
}

// Guards against a wave that reboots a host which a drain object took out first.
func TestWaveLeavesDrainedHostsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 0)
		d, _ := w.lead()
		d.opts.Members = drainFirst{d.opts.Members}
		assert.NilError(t, d.Run(t.Context(), wave("w")))
		assert.Equal(t, len(w.reboots), 0)
	})
}

// drainFirst drains each host for another reason just before the wave does.
type drainFirst struct{ Members }

func (m drainFirst) Drain(ctx context.Context, host, reason string) (membership.Drained, error) {
	if _, err := m.Members.Drain(ctx, host, "drain"); err != nil {
		return membership.Drained{}, err
	}
	return m.Members.Drain(ctx, host, reason)
}

// Guards against two waves over the same pool that together exceed its budget or reboot a host for each other.
func TestRacingWavesShareTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 0)
		d, h := w.lead()
		// The waves overlap only if reads and writes take time.
		h.SetFaults(memory.Faults{Latency: 20 * time.Millisecond})
		other := New(d.opts)
		other.opts.Snapshots = reversed{w}
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
			n, _ := w.out()
			assert.Assert(t, n <= 2, "%d hosts are out", n)
			time.Sleep(time.Second)
		}
		assert.Equal(t, w.progress("w1").State, structs.WaveDone)
		assert.Equal(t, w.progress("w2").State, structs.WaveDone)
	})
}

// reversed makes a wave begin with the last rack.
type reversed struct{ w *world }

func (r reversed) PlannerSnapshot() planner.Snapshot {
	s := r.w.PlannerSnapshot()
	for i := range s.Hosts {
		s.Hosts[i].Rack = "r" + string('9'-s.Hosts[i].Rack[1]+'0')
	}
	return s
}

// Guards against a wave that takes hosts from a pool with waiting urgent requests, or that reboots a host
// under a running task.
func TestWaveWaitsForBacklogAndTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 0)
		d, h := w.lead()
		w.backlog = 5
		assert.NilError(t, d.Run(t.Context(), wave("w")))
		n, _ := w.out()
		assert.Equal(t, n, 0)
		w.backlog = 0
		for i := range hosts {
			spec := cloud.TaskSpec{ID: fmt.Sprint(i), DataCentre: "dc1", Host: fmt.Sprintf("h%d", i), Payload: `{"run_ms":60000}`, Lease: time.Hour}
			assert.NilError(t, h.StartTask(t.Context(), spec))
		}
		for range 30 {
			assert.NilError(t, d.Run(t.Context(), wave("w")))
			time.Sleep(time.Second)
		}
		n, _ = w.out()
		assert.Equal(t, n, 2)
		assert.Equal(t, len(w.reboots), 0)
		w.finish(func() *Drainer { return d }, "w")
	})
}

// Guards against the progress of a withdrawn wave that makes a wave of the same name finish at once, and
// against its hosts staying out of service.
func TestWithdrawnWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 0)
		d, _ := w.lead()
		assert.NilError(t, d.Run(t.Context(), wave("w")))
		time.Sleep(5 * time.Second)
		for _, a := range w.rows() {
			if a.Phase != structs.PhaseActive {
				assert.NilError(t, d.FinishAbandoned(t.Context(), a))
			}
		}
		n, _ := w.out()
		assert.Equal(t, n, 0)
		w.put("object/wave/w", structs.Object{Kind: structs.KindWave, Name: "w", Number: 2})
		assert.NilError(t, d.DeleteUndeclared(t.Context(), nil))
		assert.Equal(t, w.progress("w").Name, "w", "the view lags behind a declared wave")
		w.put("object/wave/w", structs.Object{Kind: structs.KindWave, Name: "w", Number: 3, Deleted: true})
		assert.NilError(t, d.DeleteUndeclared(t.Context(), nil))
		assert.Equal(t, w.progress("w").Name, "")
	})
}

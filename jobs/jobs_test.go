package jobs

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/fleet"
	"github.com/tamarackworks/tamarackworks/planner"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
)

// testEnv is a data centre with one pool of four hosts on an in-memory platform.
type testEnv struct {
	tb       assert.TestingT
	platform *memory.Platform
	// faultFree accesses the platform through a handle in which no faults are injected.
	faultFree   *memory.Handle
	mu          sync.Mutex
	snapshot    planner.Snapshot
	store       *Store
	entryHandle *memory.Handle
}

func (env *testEnv) PlannerSnapshot() planner.Snapshot {
	env.mu.Lock()
	defer env.mu.Unlock()
	s := env.snapshot
	s.Pools, s.Hosts = slices.Clone(s.Pools), slices.Clone(s.Hosts)
	return s
}

// updateSnapshot changes the backlog and the hosts of the snapshot that all schedulers see.
func (env *testEnv) updateSnapshot(backlog int, host func(i int, h *planner.Host)) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.snapshot.Pools[0].Backlog = backlog
	for i := range env.snapshot.Hosts {
		host(i, &env.snapshot.Hosts[i])
	}
}

func newTestEnv(tb assert.TestingT) *testEnv {
	env := &testEnv{tb: tb, platform: memory.New(memory.Options{RebootTime: 20 * time.Second})}
	env.faultFree, env.entryHandle = env.platform.Handle(), env.platform.Handle()
	env.snapshot.Pools = []planner.Pool{{Pool: structs.Pool{Name: "p", Service: "svc", MaxUnavailable: 1}, ServiceTime: time.Second}}
	env.snapshot.Teams = map[string]structs.Team{"small": {MaxJobs: 2, MaxCores: 4}}
	for i := range 4 {
		name := fmt.Sprintf("h%d", i)
		env.snapshot.Hosts = append(env.snapshot.Hosts, planner.Host{
			Name: name, Rack: name, HomePool: "p", Pool: "p", Phase: structs.PhaseActive, Live: true, Cores: 16, MemoryMB: 32768,
		})
		env.platform.SetHost(structs.HostState{Name: name, DataCentre: "dc", Incarnation: 1, Live: true})
		env.writeAssignment(name, structs.PhaseActive)
	}
	env.store = NewStore(Options{DataCentre: "dc", Table: env.entryHandle, Snapshots: env})
	return env
}

// writeAssignment writes the assignment row of a host.
func (env *testEnv) writeAssignment(host string, phase structs.Phase) {
	row := fleet.AssignmentRow(structs.Assignment{Host: host, DataCentre: "dc", Pool: "p", Phase: phase, Generation: 1})
	_, err := env.faultFree.Commit(context.Background(), cloud.Txn{Ops: []cloud.Op{{Key: row.Key, Value: row.Value}}})
	assert.NilError(env.tb, err)
}

func (env *testEnv) submit(ctx context.Context, id, team string, idempotent, checkpointable bool, runMS int64, fail bool) (structs.Job, error) {
	payload := fmt.Sprintf(`{"run_ms":%d,"fail":%t,"id":%q}`, runMS, fail, id)
	return env.store.Submit(ctx, Submission{ID: id, Caller: "c", Spec: structs.JobSpec{
		Service: "svc", Team: team, Cores: 4, MemoryMB: 1024, RunTimeMS: runMS, Idempotent: idempotent, Checkpointable: checkpointable, Payload: payload,
	}})
}

func (env *testEnv) job(id string) structs.Job {
	job, err := NewStore(Options{DataCentre: "dc", Table: env.faultFree}).Get(context.Background(), id)
	assert.NilError(env.tb, err)
	return job
}

// countStarts counts the tasks of a job, found by the id in their payload, that did not resume from a checkpoint.
func (env *testEnv) countStarts(id string) int {
	tasks, err := env.faultFree.Tasks(context.Background(), "dc")
	assert.NilError(env.tb, err)
	n := 0
	for _, t := range tasks {
		if strings.Contains(t.Spec.Payload, fmt.Sprintf("%q", id)) && t.Spec.Checkpoint == "" {
			n++
		}
	}
	return n
}

// testLeadership is a leadership that can be suspended and whose writes fail once a later leader exists.
type testLeadership struct {
	mu        sync.Mutex
	fence     cloud.Precondition
	suspended bool
}

func (l *testLeadership) Fence() (cloud.Precondition, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, !l.suspended
}

func (l *testLeadership) setSuspended(suspended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspended = suspended
}

// newLeader returns a scheduler that leads. The new version of the fence row makes the writes of earlier leaders fail.
func (env *testEnv) newLeader(workers cloud.Workers) (*Scheduler, *testLeadership) {
	ctx := context.Background()
	version, err := env.faultFree.Commit(ctx, cloud.Txn{Ops: []cloud.Op{{Key: "fence/dc", Value: []byte("{}")}}})
	assert.NilError(env.tb, err)
	handle := env.platform.Handle()
	if workers == nil {
		workers = handle
	}
	l := &testLeadership{fence: cloud.Precondition{Key: "fence/dc", Version: version}}
	return NewScheduler(SchedulerOptions{
		DataCentre: "dc", Table: handle, Workers: workers, Snapshots: env, Leadership: l, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}), l
}

// runPasses makes n scheduling passes, one a second.
func runPasses(ctx context.Context, s *Scheduler, n int) {
	for range n {
		_ = s.Pass(ctx)
		time.Sleep(time.Second)
	}
}

// Guards against a job that is accepted twice or lost when results or writes of the table are lost, and against a
// submission that is reported as not accepted although its row exists.
func TestSubmitResolvesAmbiguousWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.entryHandle.SetFaults(memory.Faults{LoseResponses: 1, DropWrites: 1})
		_, err := env.submit(t.Context(), "lost", "a", false, false, 1000, false)
		assert.NilError(t, err)
		_, err = env.submit(t.Context(), "dropped", "a", false, false, 1000, false)
		assert.NilError(t, err)
		_, err = env.submit(t.Context(), "lost", "a", false, false, 1000, false)
		assert.NilError(t, err)
		_, err = env.submit(t.Context(), "lost", "b", false, false, 1000, false)
		assert.ErrorIs(t, err, ErrMismatch)
		s, _ := env.newLeader(nil)
		runPasses(t.Context(), s, 5)
		for _, id := range []string{"lost", "dropped"} {
			assert.Equal(t, env.job(id).State, structs.JobDone)
			assert.Equal(t, env.countStarts(id), 1)
		}
		env.entryHandle.SetFaults(memory.Faults{RefuseWrites: true})
		_, err = env.submit(t.Context(), "down", "a", false, false, 1000, false)
		assert.ErrorIs(t, err, ErrUnavailable)
		env.entryHandle.SetFaults(memory.Faults{DropWrites: 1000})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = env.submit(ctx, "open", "a", false, false, 1000, false)
		assert.ErrorIs(t, err, ErrUnknown)
	})
}

// Guards against accepting a job that can never run, and against a refusal that does not name the reason.
func TestImpossibleJobsAreRefusedWithTheReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		for want, spec := range map[string]structs.JobSpec{
			"the largest host has 16 cores": {Service: "svc", Cores: 64},
			"no pool serves other":          {Service: "other", Cores: 1},
			"the quota of team small is 4":  {Service: "svc", Team: "small", Cores: 8},
			"must not be negative":          {Service: "svc", Cores: -1},
		} {
			_, err := env.store.Submit(t.Context(), Submission{Caller: "c", Spec: spec})
			var refused *RefusedError
			assert.Assert(t, errors.As(err, &refused))
			assert.ErrorContains(t, err, want)
		}
		for i := range 3 {
			_, err := env.submit(t.Context(), fmt.Sprint(i), "small", true, false, 1000, false)
			assert.Equal(t, err != nil, i == 2)
		}
		// A job that fitted when it was accepted is refused, without a start, once no host is left for it.
		env.snapshot.Hosts = nil
		s, _ := env.newLeader(nil)
		runPasses(t.Context(), s, 2)
		assert.Equal(t, env.job("0").State, structs.JobRefused)
		assert.Equal(t, env.countStarts("0"), 0)
	})
}

// Guards against a job that is started again and again on a worker that fails every task, and against more than
// MaxAttempts attempts.
func TestFailingWorkersAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.platform.SetWorkerFailing("h0", true)
		_, _ = env.submit(t.Context(), "ok", "a", true, false, 1000, false)
		_, _ = env.submit(t.Context(), "bad", "a", true, false, 1000, true)
		_, _ = env.submit(t.Context(), "once", "a", false, false, 1000, true)
		s, _ := env.newLeader(nil)
		runPasses(t.Context(), s, 15)
		assert.Equal(t, env.job("ok").State, structs.JobDone)
		bad := env.job("bad")
		assert.Equal(t, bad.State, structs.JobFailed)
		assert.Equal(t, env.countStarts("bad"), MaxAttempts)
		assert.Equal(t, len(bad.FailedWorkers), MaxAttempts)
		assert.Assert(t, strings.Contains(bad.Reason, "no attempt is left"), bad.Reason)
		assert.Equal(t, env.job("once").State, structs.JobFailed)
		assert.Equal(t, env.countStarts("once"), 1)
	})
}

// Guards against a payload that is lost when a job starts, is stored or starts again, and against holding large payloads in a pass.
func TestLargePayloadsReachTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		payload := fmt.Sprintf(`{"run_ms":1000,"fail":true,"id":"big","rest":%q}`, strings.Repeat("x", 2*maxHeldPayload))
		_, err := env.store.Submit(t.Context(), Submission{ID: "big", Caller: "c", Spec: structs.JobSpec{
			Service: "svc", Team: "a", Cores: 4, MemoryMB: 1024, RunTimeMS: 1000, Idempotent: true, Payload: payload,
		}})
		assert.NilError(t, err)
		s, _ := env.newLeader(nil)
		entries, err := s.loadEntries(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, entries[0].job.Spec.Payload, "")
		runPasses(t.Context(), s, 15)
		job := env.job("big")
		assert.Equal(t, job.State, structs.JobFailed)
		assert.Equal(t, job.Spec.Payload, payload)
		tasks, err := env.faultFree.Tasks(t.Context(), "dc")
		assert.NilError(t, err)
		assert.Equal(t, len(tasks), MaxAttempts)
		for _, task := range tasks {
			assert.Equal(t, task.Spec.Payload, payload)
		}
	})
}

// Guards against a job that disappears or runs twice when all leases expire during a long outage of the platform.
func TestExpiredLeasesLoseNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		_, _ = env.submit(t.Context(), "again", "a", true, false, 240000, false)
		_, _ = env.submit(t.Context(), "once", "a", false, false, 240000, false)
		old, oldLeadership := env.newLeader(nil)
		runPasses(t.Context(), old, 3)
		env.platform.SetFaults(memory.Faults{Down: true})
		runPasses(t.Context(), old, 2*int(DefaultLease.Seconds()))
		env.platform.SetFaults(memory.Faults{})
		oldLeadership.setSuspended(true)
		s, _ := env.newLeader(nil)
		runPasses(t.Context(), s, 250)
		assert.Equal(t, env.job("again").State, structs.JobDone)
		once := env.job("once")
		assert.Equal(t, once.State, structs.JobUnknown)
		assert.Equal(t, env.countStarts("once"), 1)
		assert.Assert(t, strings.Contains(once.Reason, "lease lapsed"), once.Reason)
	})
}

// Guards against leases that expire only because the leadership was lost, for example while the table is down.
func TestLeasesAreRenewedWithoutLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		_, _ = env.submit(t.Context(), "once", "a", false, false, 90000, false)
		s, leadership := env.newLeader(nil)
		runPasses(t.Context(), s, 3)
		leadership.setSuspended(true)
		runPasses(t.Context(), s, 95)
		next, _ := env.newLeader(nil)
		runPasses(t.Context(), next, 2)
		assert.Equal(t, env.job("once").State, structs.JobDone)
	})
}

// delayedStart delays every StartTask until release is closed, like a leader that is paused between writing the row
// and starting the task.
type delayedStart struct {
	cloud.Workers
	release chan struct{}
}

func (d *delayedStart) StartTask(ctx context.Context, spec cloud.TaskSpec) error {
	<-d.release
	return d.Workers.StartTask(ctx, spec)
}

// Guards against a second start of a job by a leader that is paused beyond its lease and starts the recorded task after
// a new leader has started it.
func TestPausedLeaderStartsNothingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		_, _ = env.submit(t.Context(), "once", "a", false, false, 3000, false)
		delayed := &delayedStart{Workers: env.platform.Handle(), release: make(chan struct{})}
		old, _ := env.newLeader(delayed)
		go func() { _ = old.Pass(context.Background()) }()
		synctest.Wait()
		recorded := env.job("once")
		assert.Equal(t, recorded.State, structs.JobRunning)
		assert.Assert(t, recorded.TaskID != "")
		// The recorded host is down, so the new leader has to use another one.
		env.platform.SetHost(structs.HostState{Name: recorded.Worker, DataCentre: "dc", Incarnation: 1})
		s, _ := env.newLeader(nil)
		runPasses(t.Context(), s, 3)
		env.platform.SetHost(structs.HostState{Name: recorded.Worker, DataCentre: "dc", Incarnation: 2, Live: true})
		close(delayed.release)
		runPasses(t.Context(), s, 6)
		assert.Equal(t, env.job("once").State, structs.JobDone)
		assert.Equal(t, env.countStarts("once"), 1)
	})
}

// Guards against jobs that keep their cores although urgent requests need them, against stopping a job that is neither
// checkpointable nor idempotent, and against paused jobs that do not resume.
func TestUrgentRequestsPreemptJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		for i := range 4 {
			_, _ = env.submit(t.Context(), fmt.Sprintf("c%d", i), "a", true, true, 30000, false)
			_, _ = env.submit(t.Context(), fmt.Sprintf("s%d", i), "a", true, false, 30000, false)
			_, _ = env.submit(t.Context(), fmt.Sprintf("n%d", i), "a", false, false, 30000, false)
		}
		s, _ := env.newLeader(nil)
		runPasses(t.Context(), s, 3)
		env.updateSnapshot(100, func(_ int, h *planner.Host) { h.InFlight = 8 })
		runPasses(t.Context(), s, 4)
		for i := range 4 {
			assert.Equal(t, env.job(fmt.Sprintf("c%d", i)).State, structs.JobPaused)
			assert.Equal(t, env.job(fmt.Sprintf("s%d", i)).State, structs.JobQueued)
			assert.Equal(t, env.job(fmt.Sprintf("n%d", i)).State, structs.JobRunning)
		}
		tasks, err := env.faultFree.Tasks(t.Context(), "dc")
		assert.NilError(t, err)
		for _, task := range tasks {
			assert.Assert(t, task.State != cloud.TaskRunning)
		}
		env.updateSnapshot(0, func(_ int, h *planner.Host) { h.InFlight = 0 })
		runPasses(t.Context(), s, 60)
		for i := range 4 {
			for _, kind := range []string{"c", "s", "n"} {
				assert.Equal(t, env.job(fmt.Sprintf("%s%d", kind, i)).State, structs.JobDone)
			}
			assert.Equal(t, env.countStarts(fmt.Sprintf("n%d", i)), 1)
		}
	})
}

// Guards against jobs that lose their progress when their host drains or that start there again, and against a reboot of
// a host that still runs a job.
func TestDrainingHostIsVacated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		_, _ = env.submit(t.Context(), "c", "a", false, true, 20000, false)
		_, _ = env.submit(t.Context(), "n", "a", false, false, 20000, false)
		s, _ := env.newLeader(nil)
		runPasses(t.Context(), s, 5)
		host := env.job("c").Worker
		assert.Equal(t, env.job("n").Worker, host)
		env.updateSnapshot(0, func(_ int, h *planner.Host) {
			if h.Name == host {
				h.Phase = structs.PhaseDraining
			}
		})
		runPasses(t.Context(), s, 3)
		assert.Assert(t, env.job("c").Worker != host)
		busy, err := s.Busy(t.Context(), host)
		assert.NilError(t, err)
		assert.Assert(t, busy)
		runPasses(t.Context(), s, 18)
		busy, _ = s.Busy(t.Context(), host)
		assert.Assert(t, !busy)
		assert.Equal(t, env.job("n").State, structs.JobDone)
		assert.Equal(t, env.job("c").State, structs.JobDone)
	})
}

// Guards against a burst of cancellations that leaves jobs running, and against rows of finished jobs that are never
// deleted.
func TestCancellationBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		s, _ := env.newLeader(nil)
		const n = 120
		for i := range n {
			_, err := env.submit(t.Context(), fmt.Sprint(i), "a", i%2 == 0, false, 60000, false)
			assert.NilError(t, err)
		}
		runPasses(t.Context(), s, 2)
		env.entryHandle.SetFaults(memory.Faults{LoseResponses: 40, DropWrites: 40})
		var group sync.WaitGroup
		for i := range n {
			group.Go(func() { _, _ = env.store.Cancel(t.Context(), fmt.Sprint(i)) })
		}
		group.Wait()
		tasks, err := env.faultFree.Tasks(t.Context(), "dc")
		assert.NilError(t, err)
		for _, task := range tasks {
			assert.Equal(t, env.job(strings.TrimSuffix(task.Spec.ID, ".1")).State, structs.JobRunning, "ended before its task")
		}
		runPasses(t.Context(), s, 3)
		for i := range n {
			job := env.job(fmt.Sprint(i))
			assert.Equal(t, job.State, structs.JobCancelled)
			assert.Equal(t, job.Reason == "cancelled before it started", env.countStarts(job.ID) == 0)
		}
		time.Sleep(DefaultRetention)
		runPasses(t.Context(), s, 1)
		_, err = env.store.Get(t.Context(), "0")
		assert.ErrorIs(t, err, ErrNotFound)
	})
}

// Guards against a leader that was paused beyond its lease and still starts jobs: all its writes must fail on the fence.
func TestFencedLeaderStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		old, _ := env.newLeader(nil)
		_, _ = env.submit(t.Context(), "j", "a", true, false, 1000, false)
		env.newLeader(nil)
		runPasses(t.Context(), old, 3)
		assert.Equal(t, env.job("j").State, structs.JobQueued)
		assert.Equal(t, env.countStarts("j"), 0)
	})
}

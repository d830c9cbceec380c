package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/frontend"
	"github.com/tamarackworks/tamarackworks/ownership"
	"github.com/tamarackworks/tamarackworks/pools"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/session"
	"github.com/tamarackworks/tamarackworks/standin/rows"
	"github.com/tamarackworks/tamarackworks/standin/workers"
	"github.com/tamarackworks/tamarackworks/workload"
)

// testDirectory stores executors, configurations and waves as plain JSON.
type testDirectory struct{}

func (testDirectory) ExecutorTable() string { return "executors" }
func (testDirectory) OperatorTable() string { return "operator" }
func (testDirectory) StatusTable() string   { return "status" }

func (testDirectory) Executor(r rowstore.Row) (workload.Executor, error) {
	var e workload.Executor
	if r.Deleted {
		return e, nil
	}
	return e, json.Unmarshal(r.Value, &e)
}

func (testDirectory) Operator(r rowstore.Row) (*workload.Configuration, *workload.Wave, error) {
	if r.Name == "config" {
		var c workload.Configuration
		return &c, nil, json.Unmarshal(r.Value, &c)
	}
	var w workload.Wave
	return nil, &w, json.Unmarshal(r.Value, &w)
}

func (testDirectory) WaveStatus(name string, completed bool) (rowstore.Row, error) {
	return rowstore.Row{Key: rowstore.Key{Table: "status", Name: name}, Value: fmt.Append(nil, completed)}, nil
}

// testMachines is a machine service whose orders take effect at once and end after a second.
type testMachines struct {
	mu       sync.Mutex
	machines map[string]workload.Machine
	upkeeps  []string
	// done holds the machines that had their upkeep; a repeated order has no effect.
	done  map[string]bool
	fleet *workers.Fleet
	store *rows.Store
	// refuse makes the service refuse all orders.
	refuse atomic.Bool
}

func (m *testMachines) List(context.Context) ([]workload.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []workload.Machine
	for _, x := range m.machines {
		list = append(list, x)
	}
	return list, nil
}

func (m *testMachines) Move(context.Context, pools.Order) error { return pools.ErrRejected }

func (m *testMachines) Upkeep(_ context.Context, o pools.Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refuse.Load() {
		return pools.ErrNotDone
	}
	if m.done[o.Machine] {
		return nil
	}
	x := m.machines[o.Machine]
	if x.State != workload.MachineUp {
		return errors.Wrap(pools.ErrRejected, "busy")
	}
	m.upkeeps = append(m.upkeeps, o.Machine)
	m.done[o.Machine] = true
	old := x.Executor
	x.State, x.Executor = workload.MachineInUpkeep, ""
	m.machines[o.Machine] = x
	m.fleet.Crash(old)
	m.store.Delete(rowstore.Key{Table: "executors", Name: old})
	time.AfterFunc(time.Second, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		x.State, x.Executor = workload.MachineUp, old+"'"
		m.machines[o.Machine] = x
		m.fleet.Add(x.Executor, x.Capacity)
		putExecutor(m.store, x.Executor, x.Capacity)
	})
	return nil
}

// world is a set of hosts that share a store and executors.
type world struct {
	t        *testing.T
	began    time.Time
	store    *rows.Store
	fleet    *workers.Fleet
	machines *testMachines
	hosts    []*host

	logMu sync.Mutex
	lines []string
}

// explain prints all that was logged and all that happened, if the test failed.
func (w *world) explain() {
	if !w.t.Failed() || os.Getenv("EXPLAIN") == "" {
		return
	}
	w.logMu.Lock()
	defer w.logMu.Unlock()
	lines := append(w.lines, w.fleet.History()...)
	sort.Strings(lines)
	w.t.Log("\n" + strings.Join(lines, "\n"))
}

type host struct {
	name string
	dead atomic.Bool
	// cut holds the ids of executors that the host does not reach.
	cut     sync.Map
	handle  *rows.Handle
	manager *ownership.Manager
	owner   *Coordinator
	cancel  context.CancelFunc
	done    chan struct{}
}

// hostClient cuts a dead host off from the executors, and a live one from some of them.
type hostClient struct {
	*workers.Fleet
	host *host
}

// reaches waits for an answer that does not come, or returns true.
func (c hostClient) reaches(ctx context.Context, id string) bool {
	if _, cut := c.host.cut.Load(id); cut {
		<-ctx.Done()
		return false
	}
	return true
}

func (c hostClient) Stop(ctx context.Context, to session.Peer, task workload.TaskID, run int, fence uint64) (session.Answer, error) {
	if c.host.dead.Load() {
		return session.Answer{}, session.ErrNotSent
	}
	if !c.reaches(ctx, to.ID) {
		return session.Answer{}, session.ErrNoAnswer
	}
	answer, err := c.Fleet.Stop(ctx, to, task, run, fence)
	if !c.reaches(ctx, to.ID) {
		return session.Answer{}, session.ErrNoAnswer
	}
	return answer, err
}

func (c hostClient) Start(ctx context.Context, to session.Peer, o session.StartOrder) (session.Answer, error) {
	if c.host.dead.Load() {
		return session.Answer{}, session.ErrNotSent
	}
	if !c.reaches(ctx, to.ID) {
		return session.Answer{}, session.ErrNoAnswer
	}
	answer, err := c.Fleet.Start(ctx, to, o)
	if !c.reaches(ctx, to.ID) {
		return session.Answer{}, session.ErrNoAnswer
	}
	return answer, err
}

func (c hostClient) Hold(ctx context.Context, to session.Peer, o session.HoldOrder) (workload.Report, session.Result, error) {
	if c.host.dead.Load() {
		return workload.Report{}, "", session.ErrNotSent
	}
	if !c.reaches(ctx, to.ID) {
		return workload.Report{}, "", session.ErrNoAnswer
	}
	report, result, err := c.Fleet.Hold(ctx, to, o)
	if !c.reaches(ctx, to.ID) {
		return workload.Report{}, "", session.ErrNoAnswer
	}
	return report, result, err
}

var capacity = workload.Resources{CPUMilli: 4000, MemoryMB: 8000}

const testService = "pool"

func putExecutor(s *rows.Store, id string, size workload.Resources) {
	value, _ := json.Marshal(workload.Executor{
		ID: id, Service: testService, Address: "addr-" + id, Capacity: size, Kind: "a", Rack: "r",
	})
	s.Put(rowstore.Key{Table: "executors", Name: id}, value)
}

func newWorld(t *testing.T, hosts, executors int) *world {
	w := &world{t: t, began: time.Now(), store: rows.New(), fleet: workers.New()}
	w.machines = &testMachines{machines: make(map[string]workload.Machine), done: make(map[string]bool), fleet: w.fleet, store: w.store}
	config, _ := json.Marshal(workload.Configuration{
		Version: 1, Services: []workload.Service{{Name: testService, ChecksRoom: true}},
		Routes: []workload.Route{{Name: "queue", Service: testService, Policy: workload.Policy{MaxAttempts: 3, SlackFactor: 2}}},
	})
	w.store.Put(rowstore.Key{Table: "operator", Name: "config"}, config)
	for i := range executors {
		id := fmt.Sprintf("x%d", i)
		w.fleet.Add(id, capacity)
		putExecutor(w.store, id, capacity)
		machine := fmt.Sprintf("m%d", i)
		w.machines.machines[machine] = workload.Machine{
			ID: machine, Pool: testService, State: workload.MachineUp, Executor: id, Capacity: capacity,
		}
	}
	for i := range hosts {
		w.hosts = append(w.hosts, w.startHost(fmt.Sprintf("h%d", i)))
	}
	t.Cleanup(w.stop)
	return w
}

func (w *world) now() time.Duration { return time.Since(w.began) }

func (w *world) startHost(name string) *host {
	h := &host{name: name, handle: w.store.Handle(), done: make(chan struct{})}
	logger := &log.Logger{Handler: log.HandlerFunc(func(e *log.Entry) error {
		w.logMu.Lock()
		defer w.logMu.Unlock()
		w.lines = append(w.lines, fmt.Sprintf("%7d %s %s %v", w.now().Milliseconds()+1, name, e.Message, e.Fields))
		return nil
	}), Level: log.InfoLevel}
	h.owner = New(Options{
		Store: h.handle, Directory: testDirectory{}, Workers: hostClient{w.fleet, h}, Machines: w.machines,
		Holder: name, Now: w.now, WallMS: func() int64 { return time.Now().UnixMilli() },
		Valid: func() bool { return h.manager.Valid() }, ValidUntil: func() time.Duration { return h.manager.ValidUntil() },
		MayContinue: func() bool { return h.manager.MayContinue() }, Log: logger, Metrics: NewMetrics(prometheus.NewRegistry()),
		Retention: time.Minute,
	})
	h.manager = ownership.New(ownership.Options{
		Store: h.handle, Holder: name, Address: name, Preference: 1, Now: w.now, Log: logger, Lead: h.owner.Lead,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() {
		defer close(h.done)
		h.manager.Run(ctx)
	}()
	return h
}

// kill ends a host without a word to anybody.
func (w *world) kill(h *host) {
	h.dead.Store(true)
	h.handle.SetFault(func(bool) rows.Fault { return rows.Silence })
	h.cancel()
}

func (w *world) leader() *host {
	for _, h := range w.hosts {
		if !h.dead.Load() && h.manager.Valid() {
			return h
		}
	}
	return nil
}

func (w *world) stop() {
	defer w.explain()
	for _, h := range w.hosts {
		h.cancel()
		<-h.done
	}
	// Sessions end their last call within its time-out.
	time.Sleep(10 * time.Second)
}

func (w *world) submit(id string, steps ...workload.Step) {
	value, err := json.Marshal(workload.Job{Route: "queue", Service: testService, ConfigVersion: 1, Steps: steps})
	assert.NilError(w.t, err)
	w.store.Put(rowstore.Key{Table: frontend.JobTable, Part: frontend.SubmitPart(id), Name: id}, value)
}

// status returns the stored state of a job.
func (w *world) status(id string) workload.Status {
	row, ok := w.store.Get(rowstore.Key{Table: frontend.RecordTable, Name: id})
	if !ok {
		return workload.StatusQueued
	}
	var record struct {
		Status workload.Status `json:"s"`
	}
	assert.NilError(w.t, json.Unmarshal(row.Value, &record))
	return record.Status
}

func (w *world) awaitAll(ids []string, status workload.Status, limit time.Duration) {
	w.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		left := 0
		for _, id := range ids {
			if w.status(id) != status {
				left++
			}
		}
		if left == 0 {
			return
		}
	}
	for _, id := range ids {
		assert.Equal(w.t, w.status(id), status, id)
	}
}

func (w *world) check() {
	w.t.Helper()
	assert.DeepEqual(w.t, w.fleet.Violations(), []string(nil))
}

func inBubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

func plainStep(count int, after ...int) workload.Step {
	return workload.Step{Count: count, Size: workload.Resources{CPUMilli: 1000}, Estimate: 500, After: after}
}

package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
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

// testDirectory decodes executors, configurations and waves from plain JSON.
type testDirectory struct {
	// stall is called at each row of an executor, unless it is nil.
	stall func()
}

func (testDirectory) ExecutorTable() string { return "executors" }
func (testDirectory) OperatorTable() string { return "operator" }
func (testDirectory) StatusTable() string   { return "status" }

func (d testDirectory) Executor(r rowstore.Row) (workload.Executor, error) {
	if d.stall != nil {
		d.stall()
	}
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

// testMachines is a machine service that rejects moves. Maintenance starts at once and takes a second; then the machine
// runs a new executor.
type testMachines struct {
	mu         sync.Mutex
	machines   map[string]workload.Machine
	maintained []string
	// done holds the machines that had their maintenance; a retried order is confirmed and has no effect.
	done  map[string]bool
	fleet *workers.Fleet
	store *rows.Store
	// refuse makes the service reject all orders with ErrNotDone.
	refuse atomic.Bool
	// silent makes the service leave requests for the list without a response.
	silent atomic.Bool
	// pageSize bounds the machines of a page; 0 lists all in one page. betweenPages is called between the reads of two pages.
	pageSize     int
	betweenPages func()
}

// List reads pages as the platform serves them: by the offset into the machines of that moment, ordered by ID.
func (m *testMachines) List(ctx context.Context) (list []workload.Machine, pages int, err error) {
	if m.silent.Load() {
		<-ctx.Done()
		return nil, 0, pools.ErrNoResponse
	}
	for {
		page, more, between := m.page(len(list))
		list = append(list, page...)
		pages++
		if !more {
			return list, pages, nil
		}
		between()
	}
}

// page returns the machines from an offset on, whether there are more, and what happens before the next page is read.
func (m *testMachines) page(offset int) (page []workload.Machine, more bool, between func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := slices.SortedFunc(maps.Values(m.machines), func(a, b workload.Machine) int { return strings.Compare(a.ID, b.ID) })
	all = all[min(offset, len(all)):]
	if m.pageSize == 0 || len(all) <= m.pageSize {
		return all, false, nil
	}
	return all[:m.pageSize], true, m.betweenPages
}

// paginate bounds the machines of a page, and sets what happens between the reads of two pages.
func (m *testMachines) paginate(size int, between func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pageSize, m.betweenPages = size, between
}

// remove takes a machine out of service for good; its executor ends.
func (m *testMachines) remove(machine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.machines[machine]
	delete(m.machines, machine)
	m.fleet.Crash(x.Executor)
	m.store.Delete(rowstore.Key{Table: "executors", Name: x.Executor})
}

func (m *testMachines) Move(context.Context, pools.Order) error { return pools.ErrRejected }

func (m *testMachines) Maintain(_ context.Context, o pools.Order) error {
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
	m.maintained = append(m.maintained, o.Machine)
	m.done[o.Machine] = true
	old := x.Executor
	x.State, x.Executor = workload.MachineInMaintenance, ""
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

// cluster is a set of entry hosts that share a store, a machine service and executors.
type cluster struct {
	t         *testing.T
	startedAt time.Time
	store     *rows.Store
	fleet     *workers.Fleet
	// executors is the client of the fleet that the hosts use.
	executors session.Client
	machines  *testMachines
	// machineService is what the hosts call; it is machines unless a test replaces it before it starts hosts.
	machineService Machines
	// advice is nil unless a test sets it before it starts hosts.
	advice Advice
	// stall may block the goroutine that logs or decodes a row; nil never does.
	stall                                func()
	machineDelay, stopTimeout, retention time.Duration
	hosts                                []*host
	// byName holds the hosts by their name, which is their address too.
	byName sync.Map

	logMu    sync.Mutex
	logLines []string
}

// logOnFailure prints the log lines of all hosts and the history of all runs, in order of time, if the test has failed and
// EXPLAIN is set.
func (c *cluster) logOnFailure() {
	if !c.t.Failed() || os.Getenv("EXPLAIN") == "" {
		return
	}
	c.logMu.Lock()
	defer c.logMu.Unlock()
	lines := append(c.logLines, c.fleet.History()...)
	sort.Strings(lines)
	c.t.Log("\n" + strings.Join(lines, "\n"))
}

// logLine adds a line with the time to the log lines.
func (c *cluster) logLine(format string, args ...any) {
	c.logMu.Lock()
	defer c.logMu.Unlock()
	c.logLines = append(c.logLines, fmt.Sprintf("%7d ", c.now().Milliseconds()+1)+fmt.Sprintf(format, args...))
}

// host is an entry host that can be killed and cut off from single executors.
type host struct {
	name   string
	killed atomic.Bool
	// cutOff is set while other hosts cannot reach this one.
	cutOff  atomic.Bool
	contact *ownership.Contact
	// peersAnswered holds when the store answered the hosts that have called this one, by name.
	peersAnswered sync.Map
	// unreachable holds the IDs of executors that the host cannot reach.
	unreachable sync.Map
	handle      *rows.Handle
	manager     *ownership.Manager
	coordinator *Coordinator
	cancel      context.CancelFunc
	done        chan struct{}
}

// hostClient calls executors for a host. Starts, stops and holds of a killed host are not sent. Those to unreachable executors
// get no response, and neither do those in flight when the executor becomes unreachable.
type hostClient struct {
	session.Client
	host *host
}

// awaitReachable returns true if the executor is reachable. Otherwise it blocks until ctx ends and returns false.
func (c hostClient) awaitReachable(ctx context.Context, id string) bool {
	if _, unreachable := c.host.unreachable.Load(id); unreachable {
		<-ctx.Done()
		return false
	}
	return true
}

func (c hostClient) Stop(ctx context.Context, to session.Endpoint, task workload.TaskID, run int, fence uint64) (session.Response, error) {
	if c.host.killed.Load() {
		return session.Response{}, session.ErrNotSent
	}
	if !c.awaitReachable(ctx, to.ID) {
		return session.Response{}, session.ErrNoResponse
	}
	resp, err := c.Client.Stop(ctx, to, task, run, fence)
	if !c.awaitReachable(ctx, to.ID) {
		return session.Response{}, session.ErrNoResponse
	}
	return resp, err
}

func (c hostClient) Start(ctx context.Context, to session.Endpoint, o session.StartOrder) (session.Response, error) {
	if c.host.killed.Load() {
		return session.Response{}, session.ErrNotSent
	}
	if !c.awaitReachable(ctx, to.ID) {
		return session.Response{}, session.ErrNoResponse
	}
	resp, err := c.Client.Start(ctx, to, o)
	if !c.awaitReachable(ctx, to.ID) {
		return session.Response{}, session.ErrNoResponse
	}
	return resp, err
}

func (c hostClient) Hold(ctx context.Context, to session.Endpoint, o session.HoldOrder) (workload.Report, session.Result, error) {
	if c.host.killed.Load() {
		return workload.Report{}, "", session.ErrNotSent
	}
	if !c.awaitReachable(ctx, to.ID) {
		return workload.Report{}, "", session.ErrNoResponse
	}
	report, result, err := c.Client.Hold(ctx, to, o)
	if !c.awaitReachable(ctx, to.ID) {
		return workload.Report{}, "", session.ErrNoResponse
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

// newCluster starts hosts, and executors x0, x1, ... on machines m0, m1, ...
func newCluster(t *testing.T, hosts, executors int) *cluster {
	return newClusterWithClient(t, hosts, executors, func(f *workers.Fleet) session.Client { return f })
}

// newClusterWithClient does the same with hosts that call the executors through the client that wrap returns.
func newClusterWithClient(t *testing.T, hosts, executors int, wrap func(*workers.Fleet) session.Client) *cluster {
	c := prepareCluster(t, wrap)
	c.configure()
	for i := range executors {
		c.addExecutor(fmt.Sprintf("x%d", i), fmt.Sprintf("m%d", i))
	}
	c.startHosts(hosts)
	return c
}

// prepareCluster returns a cluster without hosts, executors and a configuration.
func prepareCluster(t *testing.T, wrap func(*workers.Fleet) session.Client) *cluster {
	c := &cluster{t: t, startedAt: time.Now(), store: rows.New(), fleet: workers.New(), retention: time.Minute}
	c.executors = wrap(c.fleet)
	c.machines = &testMachines{machines: make(map[string]workload.Machine), done: make(map[string]bool), fleet: c.fleet, store: c.store}
	c.machineService = c.machines
	return c
}

// configure stores a configuration with one pool and one queue.
func (c *cluster) configure() {
	config, _ := json.Marshal(workload.Configuration{
		Version: 1, Services: []workload.Service{{Name: testService, ChecksCapacity: true}},
		Routes: []workload.Route{{Name: "queue", Service: testService, Policy: workload.Policy{MaxAttempts: 3, SlackFactor: 2}}},
	})
	c.store.Put(rowstore.Key{Table: "operator", Name: "config"}, config)
}

// addExecutor starts an executor on a new machine.
func (c *cluster) addExecutor(id, machine string) {
	c.fleet.Add(id, capacity)
	putExecutor(c.store, id, capacity)
	c.machines.machines[machine] = workload.Machine{
		ID: machine, Pool: testService, State: workload.MachineUp, Executor: id, Capacity: capacity,
	}
}

func (c *cluster) startHosts(n int) {
	for i := range n {
		c.hosts = append(c.hosts, c.startHost(fmt.Sprintf("h%d", i)))
	}
	c.t.Cleanup(c.stop)
}

func (c *cluster) now() time.Duration { return time.Since(c.startedAt) }

func (c *cluster) startHost(name string) *host {
	h := &host{name: name, handle: c.store.Handle(), done: make(chan struct{})}
	h.contact = ownership.NewContact(h.handle, c.now)
	c.byName.Store(name, h)
	logger := &log.Logger{Handler: log.HandlerFunc(func(e *log.Entry) error {
		if _, owner := e.Fields["epoch"]; owner && c.stall != nil {
			c.stall()
		}
		c.logLine("%s %s %v", name, e.Message, e.Fields)
		return nil
	}), Level: log.InfoLevel}
	h.coordinator = New(Options{
		Store: h.contact, Directory: testDirectory{c.stall}, Executors: hostClient{c.executors, h}, Machines: c.machineService, Advice: c.advice, MachineDelay: c.machineDelay, StopTimeout: c.stopTimeout,
		Holder: name, Now: c.now, WallMS: func() int64 { return time.Now().UnixMilli() },
		MaxLease: 6 * time.Second, OwnsJobs: func() bool { return h.manager.OwnsJobs() }, ArrivalLimit: func() time.Duration { return h.manager.ArrivalLimit() },
		MayContinue: func() bool { return h.manager.MayContinue() }, FirstSubmitted: func(string) (time.Duration, bool) { return 0, false }, Log: logger, Metrics: NewMetrics(prometheus.NewRegistry()),
		Retention: c.retention,
	})
	h.manager = ownership.New(ownership.Options{
		Store: h.contact, Holder: name, Name: name, Address: name, Preference: 1, Now: c.now, Log: logger, Lead: h.coordinator.Lead,
		NewHolder: func() string { return fmt.Sprintf("%s at %s", name, c.now()) }, StoreAnswered: h.contact.Answered, PeersAnswered: h.answeredPeers,
		Probe: func(_ context.Context, address string) (string, error) { return c.probe(h, address) }, Successors: func() []string { return c.otherHosts(name) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() {
		defer close(h.done)
		h.manager.Run(ctx)
	}()
	return h
}

// probe returns the current holder at a host to another one, unless either is cut off.
func (c *cluster) probe(from *host, address string) (string, error) {
	found, ok := c.byName.Load(address)
	if !ok {
		return "", errors.New("unknown host")
	}
	to := found.(*host)
	if to.killed.Load() || to.cutOff.Load() || from.cutOff.Load() {
		return "", errors.New("no response")
	}
	to.peersAnswered.Store(from.name, from.contact.Answered())
	return to.manager.Holder(), nil
}

// answeredPeers returns when the store answered the hosts that have called this one.
func (h *host) answeredPeers() (times []time.Duration) {
	h.peersAnswered.Range(func(_, at any) bool {
		times = append(times, at.(time.Duration))
		return true
	})
	return times
}

// otherHosts returns the names of the other hosts.
func (c *cluster) otherHosts(name string) (names []string) {
	c.byName.Range(func(other, _ any) bool {
		if other != name {
			names = append(names, other.(string))
		}
		return true
	})
	slices.Sort(names)
	return names
}

// kill stops a host as a crash does: neither the executors nor the store receive anything from it any more.
func (c *cluster) kill(h *host) {
	h.killed.Store(true)
	h.handle.SetFault(func(bool) rows.Fault { return rows.DropCall })
	h.cancel()
}

// ownerHost returns the host that owns the jobs now, or nil.
func (c *cluster) ownerHost() *host {
	for _, h := range c.hosts {
		if !h.killed.Load() && h.manager.OwnsJobs() {
			return h
		}
	}
	return nil
}

func (c *cluster) stop() {
	defer c.logOnFailure()
	for _, h := range c.hosts {
		h.cancel()
		<-h.done
	}
	// Sessions end only after the time-out of their last call.
	time.Sleep(10 * time.Second)
}

func (c *cluster) submit(id string, steps ...workload.Step) {
	c.submitTo("queue", testService, id, steps...)
}

func (c *cluster) submitTo(route, service, id string, steps ...workload.Step) {
	value, err := json.Marshal(workload.Job{Route: route, Service: service, ConfigVersion: 1, Steps: steps})
	assert.NilError(c.t, err)
	c.store.Put(rowstore.Key{Table: frontend.JobTable, Partition: frontend.SubmitPartition(id), Name: id}, value)
}

// status returns the stored state of a job; a job without a record is queued.
func (c *cluster) status(id string) workload.Status {
	row, ok := c.store.Get(rowstore.Key{Table: frontend.RecordTable, Name: id})
	if !ok {
		return workload.StatusQueued
	}
	var record struct {
		Status workload.Status `json:"s"`
	}
	assert.NilError(c.t, json.Unmarshal(row.Value, &record))
	return record.Status
}

// awaitAll waits until all jobs have a status, and fails the test after limit. The records of jobs that have been final for the retention
// are gone by then, so the failure names the jobs that never had the status.
func (c *cluster) awaitAll(ids []string, status workload.Status, limit time.Duration) {
	c.t.Helper()
	seen := make(map[string]bool)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		left := 0
		for _, id := range ids {
			if c.status(id) == status {
				seen[id] = true
			} else {
				left++
			}
		}
		if left == 0 {
			return
		}
	}
	var missing, lost []string
	for _, id := range ids {
		switch now := c.status(id); {
		case !seen[id]:
			missing = append(missing, fmt.Sprintf("%s is %s", id, now))
		case now != status:
			lost = append(lost, fmt.Sprintf("%s is %s", id, now))
		}
	}
	if len(missing)+len(lost) > 0 {
		c.t.Fatalf("never %s: %v; no longer %s: %v", status, missing, status, lost)
	}
}

// checkViolations fails the test if a task ran twice at a time or started again after its end was acknowledged.
func (c *cluster) checkViolations() {
	c.t.Helper()
	assert.DeepEqual(c.t, c.fleet.Violations(), []string(nil))
}

func inBubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

func plainStep(count int, after ...int) workload.Step {
	return workload.Step{Count: count, Size: workload.Resources{CPUMilli: 1000}, Estimate: 500, After: after}
}

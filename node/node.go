// Package node assembles the services of the tamarack-node process on an entry
// host: the frontend that serves callers, the ownership manager that competes
// for the lease on the jobs, and the coordinator that schedules the jobs while
// this host holds that lease, which makes it their owner.
package node

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/tamarackworks/tamarackworks/coordinator"
	"github.com/tamarackworks/tamarackworks/daemon"
	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/feed"
	"github.com/tamarackworks/tamarackworks/frontend"
	"github.com/tamarackworks/tamarackworks/internal/gen/schedule/v1/schedulev1connect"
	"github.com/tamarackworks/tamarackworks/kernel"
	"github.com/tamarackworks/tamarackworks/ownership"
	"github.com/tamarackworks/tamarackworks/platform"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/scheduler"
	"github.com/tamarackworks/tamarackworks/settings"
	"github.com/tamarackworks/tamarackworks/telemetry"
)

const (
	// memoryLimitShare is the share of the host's memory that becomes the soft memory limit of the Go runtime, near which the
	// garbage collector runs more often.
	memoryLimitShare = 0.7
	// uncountedMemoryMB is the memory that the runtime does not count towards its limit: the pages of the program and the buffers of its
	// connections in the kernel. It binds on small hosts.
	uncountedMemoryMB = 24
	// minMemoryLimitShare is the least share of the memory that becomes the limit.
	minMemoryLimitShare = 0.5
	// gcPercent is the garbage collection target, above Go's default of 100 to save CPU time: the process uses about a
	// tenth of the host's memory.
	gcPercent = 300
	// maxStoreUnresponsive is the time without a response of the store after which the host reports that it is not ready, so
	// that the load balancer takes it out of rotation.
	maxStoreUnresponsive = 1500 * time.Millisecond
	// maxConfigAgeShare is the share of the time in which a configuration has to be in force during which one is trusted without
	// being confirmed again.
	maxConfigAgeShare = 0.9
	// readHeaderTimeout and callerIdleTimeout equal the bounds in the operators' configurations.
	readHeaderTimeout = 3 * time.Second
	// readTimeout bounds the whole request, header and body, so that a slow sender cannot hold a connection indefinitely.
	readTimeout       = 10 * time.Second
	callerIdleTimeout = 15 * time.Second
)

// Node is the running process of an entry host.
type Node struct {
	settings    *settings.Node
	log         log.Interface
	store       rowStore
	frontend    *frontend.Frontend
	coordinator *coordinator.Coordinator
	manager     *ownership.Manager

	stopping atomic.Bool
	peers    *peers
	loads    *queueLoads
}

// rowStore is the part of the row store that the services of a host use.
type rowStore interface {
	Commit(ctx context.Context, txn rowstore.Txn) (uint64, error)
	Read(ctx context.Context, r rowstore.Range) (rowstore.Page, error)
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error)
}

// Register adds the services of the host to k. A reload reads the settings from path.
func Register(k *kernel.Kernel, path string, s *settings.Node, t *telemetry.Telemetry) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit(s.MemoryMB))
	return register(k, path, newNode(s, t, platform.NewStore(s.StoreAddress)), t)
}

// memoryLimit returns the soft memory limit of the runtime in bytes on a host with some memory.
func memoryLimit(memoryMB int) int64 {
	memory := float64(memoryMB)
	limit := min(memoryLimitShare*memory, max(memory-uncountedMemoryMB, minMemoryLimitShare*memory))
	return int64(limit * (1 << 20))
}

// register adds the services of n to k. Those that follow the configuration and the owner stop last, because a host that stops still
// answers callers.
func register(k *kernel.Kernel, path string, n *Node, t *telemetry.Telemetry) error {
	s := n.settings
	limits := n.newIngressLimits(t)
	ingress := platform.NewIngress(n.frontend)
	if err := k.Register("observer", &observer{node: n}); err != nil {
		return err
	}
	servers := []struct {
		name    string
		options daemon.HTTPOptions
	}{
		{"internal", daemon.HTTPOptions{Address: s.InternalListen, Handler: n.internalHandler(), Limiter: limits.internal()}},
		{"admin", daemon.HTTPOptions{Address: s.AdminListen, Handler: adminHandler(t), Limiter: limits.small("admin")}},
		{"callers", daemon.HTTPOptions{
			Address: s.CallerListen, Handler: n.callerHandler(ingress), MaxHeaderBytes: platform.MaxHeaderBytes,
			ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: callerIdleTimeout, Limiter: limits.callers(ingress),
		}},
		{"ready", daemon.HTTPOptions{Address: s.ReadyListen, Handler: n.readyHandler(), Limiter: limits.small("ready")}},
	}
	for _, server := range servers {
		if err := k.Register(server.name, daemon.NewHTTPServer(server.options)); err != nil {
			return err
		}
	}
	if err := k.Provide(daemon.ReloadName, n.reloader(path)); err != nil {
		return err
	}
	return k.Register("node", n)
}

func newNode(s *settings.Node, t *telemetry.Telemetry, store rowStore) *Node {
	contact := ownership.NewContact(store, elapsed.Now)
	n := &Node{
		settings: s, log: t.Log, store: contact,
	}
	newHolder := func() string { return s.ID + "/" + uuid.NewString() }
	options := coordinator.Options{
		Store: n.store, Directory: platform.Directory{}, Executors: platform.NewExecutors(),
		Machines: platform.NewMachines(s.MachineAddress, func() bool { return n.manager.OwnsJobs() }), Holder: s.ID,
		Now: elapsed.Now, WallMS: wallMS, OwnsJobs: func() bool { return n.manager.OwnsJobs() },
		ArrivalLimit:   func() time.Duration { return n.manager.ArrivalLimit() },
		MayContinue:    func() bool { return n.manager.MayContinue() },
		FirstSubmitted: func(job string) (time.Duration, bool) { return n.frontend.FirstSubmitted(job) },
		PublishClosures: func(closures []scheduler.Closure) {
			n.loads.publish(frontend.QueueLoad{Closures: closures, Hosts: len(n.peers.live()) + 1})
		},
		JobMemory:   jobMemory(s),
		PublishRoom: func(bytes int64) { n.loads.publishRoom(bytes, len(n.peers.live())+1) },
		Log:         t.Log, Metrics: coordinator.NewMetrics(t.Registry),
		MachineDelay: s.MachineLease, Retention: s.StatusKept, StopTimeout: s.StopTimeout, MaxLease: s.MaxLease,
		IgnoreInterference: s.IgnoreInterference,
	}
	if advice := platform.NewAdvice(s.AdviceAddress); advice != nil {
		options.Advice = advice
	}
	n.coordinator = coordinator.New(options)
	n.peers = newPeers(peer{name: s.ID, dataCentre: s.DataCentre, cpuShare: s.CPUShare}, elapsed.Now, contact.Answered)
	n.loads = &queueLoads{now: elapsed.Now, received: func(load frontend.QueueLoad) { n.frontend.UpdateLoad(load) },
		receivedRoom: func(bytes int64, hosts int) { n.frontend.UpdateRoom(bytes, hosts) }}
	owner := newOwnerClient(n.coordinator, func() string { return n.manager.OwnerAddress() }, s.InternalListen, n.peers, n.loads)
	n.manager = ownership.New(ownership.Options{
		Store: n.store, Holder: newHolder(), NewHolder: newHolder, Name: s.ID, Address: s.InternalListen, Preference: min(s.CPUShare, 1),
		Now: elapsed.Now, Log: t.Log, Lead: n.coordinator.Lead, Probe: owner.probe, Successors: n.peers.successors,
		Outranked: n.peers.outranked, StoreAnswered: contact.Answered, PeersAnswered: n.peers.storeAnswered,
		Metrics: ownership.NewMetrics(t.Registry),
	})
	n.frontend = frontend.New(frontend.Options{
		Store: n.store, Owner: owner,
		Log: t.Log, WallMS: wallMS, Now: elapsed.Now, StoreResponsive: n.storeResponsive,
		ReadConfiguration: n.readConfiguration, MaxConfigurationAge: time.Duration(maxConfigAgeShare * float64(s.ConfigApply)),
		UnconfirmedJobMemory: jobMemory(s) / unconfirmedShare, Metrics: frontend.NewMetrics(t.Registry),
	})
	return n
}

func wallMS() int64 { return time.Now().UnixMilli() }

// Provision implements kernel.Service.
func (n *Node) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service. The observer starts what the host does without being asked.
func (n *Node) Start(context.Context) error { return nil }

// Stop makes the host report that it is not ready, releases the lease so that another host takes over the ownership, and keeps
// serving for the lame-duck period, so that the load balancer can take the host out of rotation.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	lameDuck := time.NewTimer(n.settings.LameDuck)
	defer lameDuck.Stop()
	n.manager.Withdraw(ctx)
	select {
	case <-lameDuck.C:
	case <-ctx.Done():
	}
	return nil
}

// observer follows the configuration and the ownership, and takes part in it until the node stops.
type observer struct {
	node   *Node
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Provision implements kernel.Service.
func (o *observer) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (o *observer) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	n := o.node
	o.done.Go(func() {
		feed.Follow(ctx, feed.Options{
			Store: n.store, Table: platform.OperatorTable, Log: n.log, Deliver: n.applyOperatorRows,
			Confirm: n.frontend.ConfirmConfiguration, Now: elapsed.Now,
		})
	})
	o.done.Go(func() { n.manager.Run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (o *observer) Stop(context.Context) error {
	o.cancel()
	o.done.Wait()
	return nil
}

// applyOperatorRows puts the configurations in a batch of operator rows in effect; the frontend ignores older ones.
func (n *Node) applyOperatorRows(b feed.Batch) {
	for _, row := range b.Rows {
		if row.Deleted {
			continue
		}
		config, _, err := platform.Directory{}.Operator(row)
		if err != nil {
			n.log.WithError(err).WithField("row", row.Name).Warn("operator row is invalid")
			continue
		}
		if config != nil {
			n.frontend.Configure(config)
		}
	}
}

// readConfiguration reads the operator rows from the store and puts the configuration in effect.
func (n *Node) readConfiguration(ctx context.Context) error {
	asOf := elapsed.Now()
	rows, _, err := feed.ReadAll(ctx, n.store, platform.OperatorTable, nil)
	if err != nil {
		return err
	}
	n.applyOperatorRows(feed.Batch{Table: platform.OperatorTable, Rows: rows, Full: true})
	n.frontend.ConfirmConfiguration(asOf)
	return nil
}

// ready reports whether the host should receive new connections.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.frontend.Configured() && n.storeResponsive()
}

// storeResponsive reports whether the store has recently responded to this host. The ownership manager calls the store at
// least twice a second.
func (n *Node) storeResponsive() bool {
	return elapsed.Now()-n.manager.StoreSeen() < maxStoreUnresponsive
}

func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// callerHandler serves callers. While the host stops, it makes them close their connections.
func (n *Node) callerHandler(ingress *platform.Ingress) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		ingress.ServeHTTP(w, r)
	})
}

func (n *Node) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(schedulev1connect.NewScheduleServiceHandler(
		&scheduleServer{n.coordinator, n.frontend, n.manager.Holder}, connect.WithInterceptors(tracingInterceptor(), n.peers.interceptor(), n.loads.interceptor()),
		connect.WithReadMaxBytes(maxInternalMessageBytes), withoutCompression()))
	return mux
}

// maxInternalMessageBytes bounds the size of a message of another host. The largest holds a job, whose row has at most 64 KiB.
const maxInternalMessageBytes = 1 << 20

// withoutCompression refuses compressed messages, which may decompress to many times the room that was taken for them. Hosts send
// none, and responses are too small to gain from it.
func withoutCompression() connect.HandlerOption { return connect.WithCompression("gzip", nil, nil) }

func adminHandler(t *telemetry.Telemetry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("GET /metrics", promhttp.HandlerFor(t.Registry, promhttp.HandlerOpts{}))
	return mux
}

// reloader returns a function that reads the settings from path and logs changes that need a restart; it applies none.
func (n *Node) reloader(path string) func() error {
	return func() error {
		s, err := settings.LoadNode(path)
		if err != nil {
			return err
		}
		if s.StoreAddress != n.settings.StoreAddress || s.MachineAddress != n.settings.MachineAddress {
			n.log.WithFields(log.Fields{"store": s.StoreAddress, "machines": s.MachineAddress}).
				Warn("changed store or machine address takes effect only after a restart")
		}
		return nil
	}
}

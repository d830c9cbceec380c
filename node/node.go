// Package node composes the services of an entry host on the users'
// platform: the frontend for callers, the candidate for the ownership of the
// jobs, and the coordinator that leads while it owns them.
package node

import (
	"context"
	"net/http"
	"runtime/debug"
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
	"github.com/tamarackworks/tamarackworks/settings"
	"github.com/tamarackworks/tamarackworks/telemetry"
)

const (
	// memoryPart of the host's memory is where the garbage collector works harder.
	memoryPart = 0.7
	// gcPercent trades memory, of which a process uses a tenth of what the host has, for processor time.
	gcPercent = 300
	// storeSilence is how long the store may be silent before the host takes itself out of the balancer's rotation.
	storeSilence = 1500 * time.Millisecond
	// maxHeaderBytes bounds the header of a request; it is the bound of the operators' configurations.
	maxHeaderBytes = 16 << 10
	// readHeaderTimeout and callerIdle are the bounds of the operators' configurations.
	readHeaderTimeout = 3 * time.Second
	// readTimeout bounds the whole request, header and body, so that a slow sender does not hold a connection for ever.
	readTimeout = 10 * time.Second
	callerIdle  = 15 * time.Second
)

// Node is the running host.
type Node struct {
	settings *settings.Node
	log      log.Interface
	// holder names this run of the process.
	holder string

	store       *platform.Store
	frontend    *frontend.Frontend
	coordinator *coordinator.Coordinator
	manager     *ownership.Manager

	stopping atomic.Bool
	peers    *peers
	cancel   context.CancelFunc
	done     chan struct{}
}

// Register adds the services of the host to k. path is where the settings are read again.
func Register(k *kernel.Kernel, path string, s *settings.Node, t *telemetry.Telemetry) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB) * (1 << 20)))
	n := build(s, t)
	servers := []struct {
		name    string
		options daemon.HTTPOptions
	}{
		{"internal", daemon.HTTPOptions{Address: s.InternalListen, Handler: n.internalHandler()}},
		{"admin", daemon.HTTPOptions{Address: s.AdminListen, Handler: adminHandler(t)}},
		{"callers", daemon.HTTPOptions{
			Address: s.CallerListen, Handler: n.callerHandler(), MaxHeaderBytes: maxHeaderBytes,
			ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: callerIdle,
		}},
		{"ready", daemon.HTTPOptions{Address: s.ReadyListen, Handler: n.readyHandler()}},
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

func build(s *settings.Node, t *telemetry.Telemetry) *Node {
	n := &Node{
		settings: s, log: t.Log, store: platform.NewStore(s.StoreAddress), done: make(chan struct{}),
		holder: s.ID + "/" + uuid.NewString(),
	}
	options := coordinator.Options{
		Store: n.store, Directory: platform.Directory{}, Workers: platform.NewExecutors(),
		Machines: platform.NewMachines(s.MachineAddress, func() bool { return n.manager.Valid() }), Holder: s.ID,
		Now: elapsed.Now, WallMS: wallMS, Valid: func() bool { return n.manager.Valid() },
		ValidUntil:  func() time.Duration { return n.manager.ValidUntil() },
		MayContinue: func() bool { return n.manager.MayContinue() },
		Log:         t.Log, Metrics: coordinator.NewMetrics(t.Registry),
		MachineDelay: s.MachineLease, Retention: s.StatusKept, StopTimeout: s.StopTimeout,
	}
	if advice := platform.NewAdvice(s.AdviceAddress); advice != nil {
		options.Advice = advice
	}
	n.coordinator = coordinator.New(options)
	n.peers = newPeers(peer{name: s.ID, dataCentre: s.DataCentre, cpuShare: s.CPUShare}, elapsed.Now)
	owner := newOwnerClient(n.coordinator, func() string { return n.manager.OwnerAddress() }, s.InternalListen, n.peers)
	n.manager = ownership.New(ownership.Options{
		Store: n.store, Holder: n.holder, Name: s.ID, Address: s.InternalListen, Preference: min(s.CPUShare, 1),
		Now: elapsed.Now, Log: t.Log, Lead: n.coordinator.Lead, Probe: owner.probe, Successors: n.peers.successors,
		Outranked: n.peers.outranked,
	})
	n.frontend = frontend.New(frontend.Options{
		Store: n.store, Owner: owner,
		Log: t.Log, WallMS: wallMS, StoreResponsive: n.storeAnswers,
		Metrics: frontend.NewMetrics(t.Registry),
	})
	return n
}

func wallMS() int64 { return time.Now().UnixMilli() }

// Provision implements kernel.Service.
func (n *Node) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (n *Node) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go feed.Follow(ctx, feed.Options{
		Store: n.store, Table: platform.OperatorTable, Log: n.log, Deliver: n.applyOperator,
	})
	go func() {
		defer close(n.done)
		n.manager.Run(ctx)
	}()
	return nil
}

// Stop takes the host out of the balancer's rotation, hands the ownership over, and serves until the balancer has
// noticed.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.manager.Refuse()
	n.cancel()
	lameDuck := time.NewTimer(n.settings.LameDuck)
	defer lameDuck.Stop()
	select {
	case <-lameDuck.C:
	case <-ctx.Done():
	}
	<-n.done
	return nil
}

func (n *Node) applyOperator(b feed.Batch) {
	for _, r := range b.Rows {
		if r.Deleted {
			continue
		}
		config, _, err := platform.Directory{}.Operator(r)
		if err != nil {
			n.log.WithError(err).WithField("row", r.Name).Warn("operator's row cannot be read")
			continue
		}
		if config != nil {
			n.frontend.Configure(config)
		}
	}
}

// ready reports whether the host should receive new connections.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.frontend.Configured() && n.storeAnswers()
}

// storeAnswers reports whether the store has answered this host lately; the manager of the ownership asks it at
// least twice a second.
func (n *Node) storeAnswers() bool { return elapsed.Now()-n.manager.StoreSeen() < storeSilence }

func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// callerHandler makes callers leave their connections while the host stops.
func (n *Node) callerHandler() http.Handler {
	ingress := platform.NewIngress(n.frontend)
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
		&scheduleServer{n.coordinator, n.frontend, n.holder}, connect.WithInterceptors(traceCalls(), n.peers.intercept())))
	return mux
}

func adminHandler(t *telemetry.Telemetry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("GET /metrics", promhttp.HandlerFor(t.Registry, promhttp.HandlerOpts{}))
	return mux
}

// reloader reads the settings again and says which changes need a restart.
func (n *Node) reloader(path string) func() error {
	return func() error {
		s, err := settings.LoadNode(path)
		if err != nil {
			return err
		}
		if s.StoreAddress != n.settings.StoreAddress || s.MachineAddress != n.settings.MachineAddress {
			n.log.WithFields(log.Fields{"store": s.StoreAddress, "machines": s.MachineAddress}).Warn("changed addresses need a restart")
		}
		return nil
	}
}

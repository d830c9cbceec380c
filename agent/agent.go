// Package agent composes the process of an entry host: it creates the services,
// connects them and registers them in a kernel, which starts and stops them.
// Services can look each other up in the kernel by the names given here.
package agent

import (
	"context"
	"crypto/tls"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/tamarackworks/tamarackworks/admission"
	"github.com/tamarackworks/tamarackworks/claims"
	"github.com/tamarackworks/tamarackworks/controller"
	"github.com/tamarackworks/tamarackworks/daemon"
	"github.com/tamarackworks/tamarackworks/entry"
	"github.com/tamarackworks/tamarackworks/fleet"
	"github.com/tamarackworks/tamarackworks/ingresslimit"
	"github.com/tamarackworks/tamarackworks/jobs"
	"github.com/tamarackworks/tamarackworks/kernel"
	"github.com/tamarackworks/tamarackworks/leader"
	"github.com/tamarackworks/tamarackworks/loadview"
	"github.com/tamarackworks/tamarackworks/netmeter"
	"github.com/tamarackworks/tamarackworks/peer"
	"github.com/tamarackworks/tamarackworks/router"
	"github.com/tamarackworks/tamarackworks/security"
	"github.com/tamarackworks/tamarackworks/settings"
	"github.com/tamarackworks/tamarackworks/standin/platformclient"
	"github.com/tamarackworks/tamarackworks/telemetry"
)

// ErrSetup is matched by all errors of New.
var ErrSetup = errors.New("agent: setup failed")

// Agent holds the services of an entry host and implements the small interfaces through which they use each other.
// A service can use one that is created after it, because the Agent's field is read only at the time of use.
type Agent struct {
	settings  *settings.Entry
	telemetry *telemetry.Telemetry
	log       log.Interface

	platform   *platformclient.Client
	replica    *fleet.Replica
	router     *router.Router
	admission  *admission.Admission
	claims     *claims.Store
	leader     *leader.Leader
	loads      *loadview.Aggregator
	controller *controller.Controller
	peers      *peer.Service
	jobs       *jobs.Store
	entry      *entry.Server

	// incarnation identifies this run of the process.
	incarnation string

	limits ingressLimits

	// callers maps the tokens of callers to their names.
	callers map[string]string
}

// memoryLimitShare is the share of the host's memory that becomes the soft memory limit of the Go runtime, near which the garbage
// collector runs more often.
const memoryLimitShare = 0.7

// New creates the services of an entry host and registers them in k, in the order in which they start.
func New(k *kernel.Kernel, s *settings.Entry, t *telemetry.Telemetry) error {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Limits.MemoryMB) * mb))
	a := &Agent{settings: s, telemetry: t, log: t.Log, incarnation: uuid.NewString(), limits: newIngressLimits(s, t)}
	steps := []func(*kernel.Kernel) error{
		a.addCredentials, a.addPlatform, a.addReplica, a.addRouting, a.addClaims, a.addControl,
		a.addPeers, a.addMembership, a.addJobs, a.addOperator, a.addAdmin, a.addController, a.addEntry,
	}
	for _, step := range steps {
		if err := step(k); err != nil {
			return errors.Join(ErrSetup, err)
		}
	}
	return nil
}

// addCredentials reads the tokens of callers.
func (a *Agent) addCredentials(*kernel.Kernel) error {
	if a.settings.Security.Insecure {
		a.log.Warn("security is switched off: peer and operator APIs accept plain HTTP and calls without credentials")
	}
	var err error
	a.callers, err = security.Tokens(a.settings.Security.CallerTokensFile)
	return err
}

// maxIdlePlatformConns bounds the idle connections to the platform.
const maxIdlePlatformConns = 8

// addPlatform creates the client of the platform. Its traffic is counted by a meter.
func (a *Agent) addPlatform(k *kernel.Kernel) error {
	meter, err := netmeter.New(a.telemetry.Registry, "platform")
	if err != nil {
		return err
	}
	a.platform = platformclient.New(platformclient.Options{
		URL: a.settings.PlatformURL, DataCentre: a.settings.DataCentre, Timeout: a.settings.PlatformTimeout,
		Transport: &http.Transport{
			DialContext:         meter.Dial,
			MaxIdleConnsPerHost: maxIdlePlatformConns,
			IdleConnTimeout:     30 * time.Second,
		},
	})
	return k.Provide("platform", a.platform)
}

// addReplica creates the local replica of the fleet state.
func (a *Agent) addReplica(k *kernel.Kernel) error {
	a.replica = fleet.New(fleet.Options{DataCentre: a.settings.DataCentre})
	return k.Provide("fleet", a.replica)
}

// addRouting creates the router and the admission control, which depends on it.
func (a *Agent) addRouting(k *kernel.Kernel) error {
	a.router = router.New(router.Options{Views: a.replica, Entry: a.settings.ID})
	a.admission = admission.New(admission.Options{
		Slots: a.router, Views: a.replica, QueueLimit: a.settings.Limits.MaxQueue,
		LiveEntries: func() int { return a.peers.LiveEntries() },
	})
	return errors.Join(
		a.telemetry.Registry.Register(a.admission), a.telemetry.Registry.Register(a.replica.Collector()),
		k.Provide("router", a.router), k.Provide("admission", a.admission),
	)
}

// addClaims creates the claims store and registers the sweep of expired claims, which runs while this entry host
// is leader.
func (a *Agent) addClaims(k *kernel.Kernel) error {
	var err error
	a.claims, err = claims.New(claims.Options{
		Table: a.platform, Entry: a.settings.ID, Incarnation: a.incarnation, Retention: a.settings.ClaimsKept,
		Log: a.log, Registerer: a.telemetry.Registry,
	})
	if err != nil {
		return err
	}
	return errors.Join(
		k.Register("claims", stopService{a.claims.Stop}),
		k.Register("claims sweep", newRunService(func(ctx context.Context) { a.claims.RunSweep(ctx, sweepInterval, a.isLeader) })),
	)
}

// sweepInterval is the time between two steps of the sweep. With 32 data centres, their leaders together read 6
// pages of 64 claims a second.
const sweepInterval = 5 * time.Second

// isLeader reports whether this entry host may currently act as leader of its data centre.
func (a *Agent) isLeader() bool {
	_, ok := a.leader.Lead()
	return ok
}

// addEntry registers the caller API and, after it, the drain, which stops before it.
func (a *Agent) addEntry(k *kernel.Kernel) error {
	var err error
	a.entry, err = entry.NewServer(entry.Options{
		View: a.replica.View, Admission: entry.FromAdmission(a.admission), Claims: a.claims, Jobs: callerJobs{a.jobs}, Forwarder: a.peers,
		Tokens: a.callers, Ready: a.controller.Ready,
		DefaultDeadline: a.settings.Limits.DefaultDeadline, LameDuck: a.settings.LameDuck,
		MaxBodyBytes: int64(a.settings.Limits.MaxBodyBytes), MaxDeadline: a.settings.Limits.MaxDeadline,
		ResponseTimeout: a.settings.Limits.ReadTimeout,
		Log:             a.log, Registerer: a.telemetry.Registry,
	})
	if err != nil {
		return err
	}
	return errors.Join(
		k.Register("entry", a.httpServer(a.settings.CallerListen, a.entry.Handler(), nil, a.limits.callers(a.entry))),
		k.Register("drain", stopService{a.drain}),
	)
}

// drain takes the entry host out of service and waits for the requests in progress, for at most the lame duck time
// and the drain timeout together. It is registered after the listeners, so that it runs before they close.
func (a *Agent) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.settings.LameDuck+a.settings.DrainTimeout)
	defer cancel()
	return a.entry.Drain(ctx)
}

// stopService is a service that only needs to be stopped.
type stopService struct{ stop func(context.Context) error }

func (stopService) Provision(*kernel.Kernel) error   { return nil }
func (stopService) Start(context.Context) error      { return nil }
func (s stopService) Stop(ctx context.Context) error { return s.stop(ctx) }

// httpServer returns a server of HTTP, or of HTTPS if config is not nil, with the configured limits.
func (a *Agent) httpServer(address string, h http.Handler, config *tls.Config, limiter *ingresslimit.Limiter) *daemon.HTTPServer {
	l := a.settings.Limits
	return daemon.NewHTTPServer(daemon.HTTPOptions{
		Address: address, Handler: h, TLS: config, MaxHeaderBytes: l.MaxHeaderBytes,
		ReadHeaderTimeout: l.ReadHeaderTimeout, ReadTimeout: l.ReadTimeout, IdleTimeout: l.IdleTimeout, Limiter: limiter,
	})
}

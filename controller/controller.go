// Package controller runs the control loop of one entry host: it keeps the fleet view up to date and, while this
// process leads its data centre, brings the hosts to their declared state.
//
// One goroutine, the controller goroutine, changes the fleet view; it handles events and never waits for the network.
// All blocking work (reads of the table, calls to peers, moves, waves) runs in other goroutines that post their results
// as events.
package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/fleet"
	"github.com/tamarackworks/tamarackworks/kernel"
	"github.com/tamarackworks/tamarackworks/leader"
	"github.com/tamarackworks/tamarackworks/membership"
	"github.com/tamarackworks/tamarackworks/peer"
	"github.com/tamarackworks/tamarackworks/structs"
)

// Intervals of polls and decisions. The poll intervals bound the rollout time of a change if every push is lost.
const (
	// LeaderHeadInterval and HeadInterval are the intervals between reads of the head of the ticket log, on the leader and
	// on other entry hosts.
	LeaderHeadInterval = time.Second
	HeadInterval       = 4 * time.Second
	// LeaderHostsInterval is the interval between reads of the host list on the leader. With 1 s, the idle leader of 47
	// hosts and 8 entry hosts used more than 23 KB/s.
	LeaderHostsInterval = 1500 * time.Millisecond
	// HostsInterval is the same interval on other entry hosts. It allows them to notify peers of leaving hosts within 3 s
	// if the leader cannot read the list.
	HostsInterval = 2 * time.Second
	// AssignmentsInterval bounds how long a lost push goes unnoticed. The leader pushes what it writes, and a
	// release reaches each entry host, so more frequent listings (10 KB for 50 hosts) only cost bandwidth.
	AssignmentsInterval = 8 * time.Second
	// RegistrationsInterval is the interval between listings of the entry hosts of this data centre.
	RegistrationsInterval = 5 * time.Second
	// AllRegistrationsInterval is the interval between listings of the entry hosts of all data centres. At the design size
	// of 32 data centres a listing has about 60 KB, and an entry host may use 23 KB/s.
	AllRegistrationsInterval = time.Minute
	// ReconcileInterval is the interval at which the leader compares the hosts and waves with their declarations.
	ReconcileInterval = time.Second
	// PlanInterval is the interval between planning passes, equal to the heartbeat interval. With 1 s, replays with the
	// profile moves fall below 99.9 % of requests on time on four of six traces, and the buffer cost of the profile buffer
	// on rotating bursts rises from 1.25 to 1.33 times the bound.
	PlanInterval = 500 * time.Millisecond
	// CleanupInterval is the interval at which the leader deletes the progress of undeclared waves.
	CleanupInterval = 10 * time.Second
	// UndoneBackoff is how long the planner's moves of a host are ignored after one was undone, so that an
	// unresponsive entry host does not cause the host to be taken out of service repeatedly.
	UndoneBackoff = time.Minute
	// tickInterval is the resolution of these intervals and the time between attempts to join.
	tickInterval = 250 * time.Millisecond
	// pollTimeout bounds one poll, so that a slow store makes single polls fail but does not delay later ones.
	pollTimeout = 5 * time.Second
	// maxTicketsPerRead bounds the tickets of one read. A larger gap is closed by reading all objects instead.
	maxTicketsPerRead = 200
	// eventQueueSize is the capacity of the event queue; senders block while it is full.
	eventQueueSize = 256
)

// ErrStopped is returned for events posted to a controller that has stopped.
var ErrStopped = errors.New("controller: stopped")

// Peers is the service that exchanges state with other entry hosts.
type Peers interface {
	Run(ctx context.Context)
	Peers() []peer.Status
	SetRegistered(dataCentre string, regs []structs.Registration)
	// DropDependents removes entry hosts that took their state from this one, are not known to be registered, did not
	// answer the last release call and whose machine is gone.
	DropDependents(gone func(structs.Registration) bool)
	PushTickets(ctx context.Context, tickets []structs.Ticket)
	PushAssignments(ctx context.Context, assignments []structs.Assignment)
	NotifyLeaving(ctx context.Context, hosts []peer.Leaving)
	Pull(ctx context.Context, from peer.Identity, after uint64) ([]structs.Ticket, error)
	States(ctx context.Context) ([]fleet.State, error)
}

// Leader campaigns for the leader lease of the data centre and holds it.
type Leader interface {
	Run(ctx context.Context)
	Lead() (leader.Lease, bool)
	Resign(ctx context.Context) error
}

// Members changes the pools and phases of hosts.
type Members interface {
	Assign(ctx context.Context, hosts []structs.Host) error
	Move(ctx context.Context, host, toPool, reason string) error
	Resume(ctx context.Context, host string) error
	Undo(ctx context.Context, host, reason string) error
	Drain(ctx context.Context, host, reason string) (membership.Drained, error)
	SetDown(ctx context.Context, d membership.Drained) error
	Return(ctx context.Context, host, reason string) error
}

// Waves executes maintenance waves.
type Waves interface {
	// Run advances a wave by one pass of bounded duration.
	Run(ctx context.Context, wave structs.Wave) error
	// FinishAbandoned returns to service a host that is out for a wave which is no longer declared.
	FinishAbandoned(ctx context.Context, a structs.Assignment) error
	// DeleteUndeclared deletes the progress of waves that are no longer declared.
	DeleteUndeclared(ctx context.Context, declared map[string]*structs.Wave) error
}

// Move is a planned move of a host to another pool.
type Move struct {
	Host, To, Reason string
}

// Planner plans moves from an immutable view and the reports of all live peers.
type Planner interface {
	Plan(view *structs.View, peers []peer.Status, now time.Time) []Move
}

// Options configure a Controller.
type Options struct {
	Registration structs.Registration
	Table        cloud.Table
	Hosts        cloud.HostList
	Fleet        *fleet.Replica
	Leader       Leader
	// Planner may be nil; then no moves are planned.
	Planner Planner
	// InProgress returns the number of requests of this entry host to targets that are in progress. Nil means that none
	// outlive the drain before Stop.
	InProgress func() int
	// Registerer receives the metrics when the controller is provisioned; nil keeps them private.
	Registerer prometheus.Registerer
	Log        log.Interface
}

// Controller is the control loop of one entry host.
type Controller struct {
	opts      Options
	registrar *membership.Registrar
	metrics   *metrics
	peers     Peers
	members   Members
	waves     Waves

	events chan func()
	// versionEventQueued is true while the version report of a peer is queued. At most one is queued, so that reports
	// never fill the queue.
	versionEventQueued atomic.Bool
	ready              atomic.Bool
	ctx                context.Context
	cancel             context.CancelFunc
	done               chan struct{}
	background         sync.WaitGroup

	// The fields below belong to the controller goroutine.

	// running holds the keys of background work in progress.
	running map[string]bool
	// notBefore holds, by key, the earliest time of the next poll, decision or planned move of a host.
	notBefore map[string]time.Time
	// registered is true after the registration of this entry host was written or confirmed.
	registered bool
	// assignmentsCurrent is true after the assignments were read under the current registration, or came from peers.
	// Until this entry host registers, these peers pass release calls on to it.
	assignmentsCurrent bool
	// leaderStarted is true after Leader.Run was started.
	leaderStarted bool
}

// New returns a Controller. Connect must be called before Start.
func New(opts Options) *Controller {
	if opts.Log == nil {
		opts.Log = log.Log
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		opts:      opts,
		registrar: &membership.Registrar{Table: opts.Table, Hosts: opts.Hosts, Registration: opts.Registration},
		events:    make(chan func(), eventQueueSize), ctx: ctx, cancel: cancel, done: make(chan struct{}),
		running: make(map[string]bool), notBefore: make(map[string]time.Time),
	}
	c.metrics, _ = newMetrics(nil, c)
	return c
}

// Connect sets the services that depend on the controller themselves. members and waves may be nil; then this entry
// host does not change hosts, or does not run waves.
func (c *Controller) Connect(peers Peers, members Members, waves Waves) {
	c.peers, c.members, c.waves = peers, members, waves
}

// Provision implements kernel.Service. It registers the metrics.
func (c *Controller) Provision(*kernel.Kernel) error {
	if c.peers == nil {
		return errors.New("controller: Connect was not called")
	}
	m, err := newMetrics(c.opts.Registerer, c)
	if err != nil {
		return err
	}
	c.metrics = m
	return nil
}

// Start implements kernel.Service. The peer API must already be reachable under the registered address.
func (c *Controller) Start(context.Context) error {
	c.background.Go(func() { c.peers.Run(c.ctx) })
	go c.loop()
	return nil
}

// Stop implements kernel.Service. It resigns the leadership, ends all background work and removes the registration.
// Requests to targets must have ended before, because entry hosts without a registration are not asked to release
// hosts.
func (c *Controller) Stop(ctx context.Context) error {
	c.ready.Store(false)
	err := c.opts.Leader.Resign(ctx)
	c.cancel()
	stopped := make(chan struct{})
	go func() {
		// The loop starts background work, so it has to end first.
		<-c.done
		c.background.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		return errors.Join(err, ctx.Err())
	}
	if c.opts.InProgress != nil && c.opts.InProgress() > 0 {
		// Without the registration, moves would not wait for these requests.
		c.opts.Log.Warn("requests outlived the drain; the registration stays until the process is replaced")
		return err
	}
	return errors.Join(err, c.registrar.Deregister(ctx))
}

// Ready reports whether this entry host may serve requests: it has a complete view, and every leader either sees its
// registration or reaches it through the peers that supplied its state.
func (c *Controller) Ready() bool { return c.ready.Load() }

// loop is the controller goroutine: it handles events and ticks until the controller stops.
func (c *Controller) loop() {
	defer close(c.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.tick()
	for {
		select {
		case event := <-c.events:
			event()
		case <-ticker.C:
			c.tick()
		case <-c.ctx.Done():
			return
		}
		c.ready.Store(c.opts.Fleet.Ready() && c.assignmentsCurrent)
	}
}

// post queues an event to run on the controller goroutine. It blocks while the queue is full.
func (c *Controller) post(ctx context.Context, event func()) error {
	select {
	case c.events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.ctx.Done():
		return ErrStopped
	}
}

// startBackground runs work in a goroutine unless work with the same key is running. The function that work returns,
// if any, then runs on the controller goroutine.
func (c *Controller) startBackground(key string, work func(ctx context.Context) func()) {
	if c.running[key] {
		return
	}
	c.running[key] = true
	c.background.Go(func() {
		event := work(c.ctx)
		_ = c.post(c.ctx, func() {
			delete(c.running, key)
			if event != nil {
				event()
			}
		})
	})
}

// intervalElapsed reports whether an interval has passed since it last returned true for the key.
func (c *Controller) intervalElapsed(key string, interval time.Duration) bool {
	now := time.Now()
	if now.Before(c.notBefore[key]) {
		return false
	}
	c.notBefore[key] = now.Add(interval)
	return true
}

// tick starts the polls and decisions that are due. It only joins until this entry host is registered and has a view.
func (c *Controller) tick() {
	if !c.registered || !c.opts.Fleet.Ready() {
		c.startBackground("join", c.join)
		return
	}
	if !c.leaderStarted {
		c.leaderStarted = true
		c.background.Go(func() { c.opts.Leader.Run(c.ctx) })
	}
	_, lead := c.opts.Leader.Lead()
	interval := func(leader, other time.Duration) time.Duration {
		if lead {
			return leader
		}
		return other
	}
	if c.intervalElapsed("head", interval(LeaderHeadInterval, HeadInterval)) {
		c.startBackground("head", c.pollHead)
	}
	if c.intervalElapsed("hosts", interval(LeaderHostsInterval, HostsInterval)) {
		c.startBackground("hosts", c.pollHosts)
	}
	if c.intervalElapsed("assignments", AssignmentsInterval) {
		c.startBackground("assignments", c.pollAssignments)
	}
	if c.intervalElapsed("registrations", RegistrationsInterval) {
		c.startBackground("registrations", c.pollRegistrations)
	}
	if c.intervalElapsed("all registrations", AllRegistrationsInterval) {
		c.startBackground("all registrations", c.pollAllRegistrations)
	}
	if lead && c.intervalElapsed("decide", ReconcileInterval) {
		c.reconcile()
	}
	if lead && c.intervalElapsed("plan", PlanInterval) {
		c.startPlannedMoves(c.opts.Fleet.View())
	}
}

package agent

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/controller"
	"github.com/tamarackworks/tamarackworks/drainer"
	"github.com/tamarackworks/tamarackworks/jobs"
	"github.com/tamarackworks/tamarackworks/kernel"
	"github.com/tamarackworks/tamarackworks/leader"
	"github.com/tamarackworks/tamarackworks/loadview"
	"github.com/tamarackworks/tamarackworks/membership"
	"github.com/tamarackworks/tamarackworks/peer"
	"github.com/tamarackworks/tamarackworks/planner"
	"github.com/tamarackworks/tamarackworks/settings"
	"github.com/tamarackworks/tamarackworks/structs"
)

// addControl creates the leader election, the load aggregation and the controller. addController registers the
// controller later, because it starts after the listeners and stops before them.
func (a *Agent) addControl(k *kernel.Kernel) error {
	a.leader = leader.New(leader.Options{
		Table: a.platform, DataCentre: a.settings.DataCentre, Holder: a.settings.ID, Log: a.log,
	})
	a.loads = loadview.New(loadview.Options{
		DataCentre: a.settings.DataCentre, View: a.replica.View, Own: func() loadview.Report { return localLoads{a}.report() },
	})
	opts := controller.Options{
		Registration: a.registration(), Table: a.platform, Hosts: a.platform, Fleet: a.replica,
		Leader: a.leader, Log: a.log, Registerer: a.telemetry.Registry,
		InProgress: a.inProgress,
	}
	if a.settings.MoveHosts {
		opts.Planner = newMovePlanner(a.loads, a.settings.Profile)
	}
	a.controller = controller.New(opts)
	return errors.Join(k.Provide("leader", a.leader), k.Provide("loads", a.loads))
}

// inProgress returns the number of requests of this entry host in progress at targets.
func (a *Agent) inProgress() int {
	total := 0
	for _, l := range a.router.Loads() {
		total += l.InProgress
	}
	return total
}

// addMembership creates the services that act on hosts as leader, membership and drainer, and connects them to
// the controller.
func (a *Agent) addMembership(k *kernel.Kernel) error {
	metrics, err := a.newControlMetrics()
	if err != nil {
		return err
	}
	members := membership.New(membership.Options{
		Table: a.platform, Hosts: a.platform, DataCentre: a.settings.DataCentre, Leadership: a.leader, Releaser: a.peers,
		Leaving: func() map[string]uint64 { return a.replica.View().Leaving },
		OnWrite: func(assignments []structs.Assignment) {
			metrics.recordAssignments(assignments)
			a.controller.AssignmentsWritten(assignments)
		},
		UndoAfter: a.settings.MoveTimeout, Log: a.log,
	})
	waveDrainer := drainer.New(drainer.Options{
		Table: a.platform, Hosts: a.platform, Maintenance: a.platform, Tasks: a.platform, DataCentre: a.settings.DataCentre,
		Leadership: a.leader, Members: members, Snapshots: a.loads, Log: a.log,
	})
	a.controller.Connect(a.peers, members, waveDrainer)
	return errors.Join(k.Provide("membership", members), k.Provide("drainer", waveDrainer))
}

// addController registers the controller after the listeners that it needs.
func (a *Agent) addController(k *kernel.Kernel) error { return k.Register("controller", a.controller) }

// movePlanner adapts package planner to the controller. It keeps the planner's history between calls.
type movePlanner struct {
	loads   *loadview.Aggregator
	profile planner.Profile

	mu      sync.Mutex
	history planner.History
}

// newMovePlanner returns a planner with the profile of a setting. Any other value than settings.ProfileMoves
// selects the buffer profile.
func newMovePlanner(loads *loadview.Aggregator, profile string) *movePlanner {
	p := planner.ProfileBuffer()
	if profile == settings.ProfileMoves {
		p = planner.ProfileMoves()
	}
	return &movePlanner{loads: loads, profile: p}
}

// Plan implements controller.Planner. The view and the status of the peers are ignored: the snapshot, with the
// load of the peers, comes from the aggregator.
func (m *movePlanner) Plan(_ *structs.View, _ []peer.Status, now time.Time) []controller.Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot := m.loads.PlannerSnapshot()
	m.history = planner.Observe(m.history, snapshot, now)
	snapshot.History = m.history
	var moves []controller.Move
	for _, move := range planner.Moves(snapshot, now, m.profile) {
		moves = append(moves, controller.Move{Host: move.Host, To: move.To, Reason: move.Reason})
	}
	return moves
}

// leaderFence adapts the lease of the leader to jobs.Leadership.
type leaderFence struct{ leader *leader.Leader }

// Fence implements jobs.Leadership.
func (f leaderFence) Fence() (cloud.Precondition, bool) {
	lease, ok := f.leader.Lead()
	return lease.Fence, ok
}

// addJobs creates the store of long jobs and registers their scheduler, which acts while this process is the
// leader.
func (a *Agent) addJobs(k *kernel.Kernel) error {
	a.jobs = jobs.NewStore(jobs.Options{DataCentre: a.settings.DataCentre, Table: a.platform, Snapshots: a.loads})
	scheduler := jobs.NewScheduler(jobs.SchedulerOptions{
		DataCentre: a.settings.DataCentre, Table: a.platform, Workers: a.platform, Snapshots: a.loads,
		Leadership: leaderFence{a.leader}, Log: a.log,
	})
	return k.Register("jobs", newRunService(scheduler.Run))
}

// runService is a service that runs a function in a goroutine from its start until it is stopped.
type runService struct {
	run    func(ctx context.Context)
	cancel context.CancelFunc
	done   chan struct{}
}

func newRunService(run func(ctx context.Context)) *runService {
	return &runService{run: run, done: make(chan struct{})}
}

// Provision implements kernel.Service.
func (r *runService) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (r *runService) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go func() {
		defer close(r.done)
		r.run(ctx)
	}()
	return nil
}

// Stop implements kernel.Service. It cancels the context of the function and waits until the function returns or
// ctx ends.
func (r *runService) Stop(ctx context.Context) error {
	r.cancel()
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

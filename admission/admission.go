// Package admission decides which requests start, wait or are rejected. It
// owns the queues of one entry host: one bounded queue per service, ordered by
// priority and deadline. It also enforces team quotas and retry budgets.
package admission

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tamarackworks/tamarackworks/router"
	"github.com/tamarackworks/tamarackworks/structs"
)

// Defaults of Options.
const (
	// DefaultQueueLimit is about the number of requests that start within the urgent start limit at 1,000 starts a second.
	DefaultQueueLimit = 4096
	// DefaultRetryShare is the number of retries that the budget of a service gains with each new request.
	DefaultRetryShare = 0.1
	// DefaultRetryBurst is the largest retry budget of a service. It allows retries of isolated failures on a service
	// with few requests, and covers the refusals by targets in the first heartbeat period of a burst.
	DefaultRetryBurst = 32
	// DefaultHistory is the number of rejections kept for Explain.
	DefaultHistory = 4096
	// DefaultDeadline applies when neither the request nor its service has a deadline.
	DefaultDeadline = 30 * time.Second
)

const (
	// recheckInterval is the longest delay until a waiting request that can no longer start in time is
	// rejected, and until a slot is used that became free without a call to Done, such as those of a new host.
	recheckInterval = 10 * time.Millisecond
	// noTargetRetryAfter is the retry time of requests without a target: about the time until a view with a new host arrives.
	noTargetRetryAfter = time.Second
	// refusedRetryCost is what a retry costs the budget after a target refused the request; any other retry costs 1. A
	// refused attempt used no slot, so it adds far less load than one that ran. With DefaultRetryShare, attempts still
	// stay below 1.4 times the requests.
	refusedRetryCost = 0.25
	// defaultRunTime is the initial mean run time of a service without a declared run time.
	defaultRunTime = 100 * time.Millisecond
)

// Slots supplies slots on targets. *router.Router implements it.
type Slots interface {
	// Acquire reserves a slot on a target whose host is not in tried. The error is router.ErrNoTarget if there is no such
	// target, or router.ErrBusy if all have their slots in use.
	Acquire(service string, tried []string) (*router.Slot, error)
	// OnFree registers the function to call after a slot of a service became free.
	OnFree(f func(service string))
}

// Options configure an Admission. Zero values select the defaults.
type Options struct {
	Slots Slots
	Views router.ViewSource
	// LiveEntries returns the number of live entry hosts of the data centre, which share team quotas; nil means 1.
	LiveEntries func() int
	// QueueLimit bounds the waiting requests of each service.
	QueueLimit int
	// RetryShare is the number of retries that the budget of a service gains with each new request, RetryBurst the largest
	// budget.
	RetryShare float64
	RetryBurst float64
	// History is the number of rejections kept for Explain.
	History int
}

// Request describes a request that wants to start.
type Request struct {
	ID       string
	Service  string
	Team     string
	Priority structs.Priority
	// Deadline is when the caller needs the response; zero means the default of the service.
	Deadline time.Time
}

// Load is the state of one service for heartbeats. Counters start at 0 with the process.
type Load struct {
	Service      string
	QueuedUrgent int
	QueuedBatch  int
	// Running is the number of permits that hold a slot.
	Running int
	// ArrivedUrgent counts urgent requests, Arrived all requests, Finished those whose permit was closed.
	ArrivedUrgent, Arrived, Finished uint64
	// RejectedBy counts the requests that Enter rejected, by reason. Rejected retries are not counted.
	RejectedBy map[Reason]uint64
	// MeanRunTime is the estimated mean run time of a request on a target.
	MeanRunTime time.Duration
}

// Admission is the admission control of one entry host. It is safe for concurrent use.
type Admission struct {
	opts    Options
	history *history

	mu sync.Mutex
	// queues is indexed by service.
	queues map[string]*queue
	// teams is the number of waiting and running requests of each team.
	teams map[string]int
}

// New returns an Admission and registers it with opts.Slots, so that free slots are given to waiting requests.
func New(opts Options) *Admission {
	if opts.LiveEntries == nil {
		opts.LiveEntries = func() int { return 1 }
	}
	if opts.QueueLimit == 0 {
		opts.QueueLimit = DefaultQueueLimit
	}
	if opts.RetryShare == 0 {
		opts.RetryShare = DefaultRetryShare
	}
	if opts.RetryBurst == 0 {
		opts.RetryBurst = DefaultRetryBurst
	}
	if opts.History == 0 {
		opts.History = DefaultHistory
	}
	a := &Admission{
		opts:    opts,
		history: newHistory(opts.History),
		queues:  make(map[string]*queue),
		teams:   make(map[string]int),
	}
	opts.Slots.OnFree(func(service string) {
		if q := a.existingQueue(service); q != nil {
			q.slotFreed()
		}
	})
	return a
}

// Enter waits until the request may start and returns its permit, which must be closed. The error is always a
// *RejectedError.
func (a *Admission) Enter(ctx context.Context, req Request) (*Permit, error) {
	now := time.Now()
	v := a.opts.Views.View()
	q := a.queue(v, req.Service)
	if q == nil {
		return nil, a.reject(req, noTargetError())
	}
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(defaultDeadline(v, req.Service))
	}
	q.recordArrival(req.Priority)
	if !a.acquireTeamQuota(v, req.Team) {
		return nil, q.reject(req, &RejectedError{Reason: ReasonTeamQuota, RetryAfter: q.meanRunTime()})
	}
	w := &waiter{req: req, ctx: ctx, done: make(chan struct{})}
	if err := q.wait(w); err != nil {
		a.releaseTeamQuota(req.Team)
		return nil, q.reject(req, err)
	}
	return &Permit{a: a, q: q, ctx: ctx, req: req, slot: w.slot}, nil
}

// Loads returns the state of all services that had requests, sorted by name.
func (a *Admission) Loads() []Load {
	a.mu.Lock()
	queues := make([]*queue, 0, len(a.queues))
	for _, q := range a.queues {
		queues = append(queues, q)
	}
	a.mu.Unlock()
	loads := make([]Load, len(queues))
	for i, q := range queues {
		loads[i] = q.load()
	}
	slices.SortFunc(loads, func(x, y Load) int { return strings.Compare(x.Service, y.Service) })
	return loads
}

// Explain returns the latest rejection of a request, and false if it is not among the last Options.History rejections.
func (a *Admission) Explain(id string) (Rejection, bool) { return a.history.find(id) }

// existingQueue returns the queue of a service, or nil if it had no requests yet.
func (a *Admission) existingQueue(service string) *queue {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queues[service]
}

// queue returns the queue of a service and creates it if necessary. It returns nil for a service that the view does not
// contain, so that requests with made-up service names use no memory.
func (a *Admission) queue(v *structs.View, service string) *queue {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q := a.queues[service]; q != nil {
		return q
	}
	if v == nil || (v.Services[service] == nil && len(v.TargetsByService[service]) == 0) {
		return nil
	}
	q := &queue{a: a, service: service, retryTokens: a.opts.RetryBurst, mean: defaultRunTime, rejected: make(map[Reason]uint64)}
	if s := v.Services[service]; s != nil && s.DeclaredRunTimeMS > 0 {
		q.mean = time.Duration(s.DeclaredRunTimeMS) * time.Millisecond
	}
	a.queues[service] = q
	return q
}

func defaultDeadline(v *structs.View, service string) time.Duration {
	if s := v.Services[service]; s != nil && s.DefaultDeadlineMS > 0 {
		return time.Duration(s.DefaultDeadlineMS) * time.Millisecond
	}
	return DefaultDeadline
}

// acquireTeamQuota counts a request of a team, or returns false if this entry host's share of the team's quota is used up.
// Live entry hosts share a quota equally. Waiting requests count, so that a team cannot fill a queue. A team that is not
// declared has no quota.
func (a *Admission) acquireTeamQuota(v *structs.View, team string) bool {
	share := 0
	if t := v.Teams[team]; t != nil && t.MaxConcurrent > 0 {
		share = max(1, t.MaxConcurrent/max(1, a.opts.LiveEntries()))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if share > 0 && a.teams[team] >= share {
		return false
	}
	a.teams[team]++
	return true
}

func (a *Admission) releaseTeamQuota(team string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.teams[team]--; a.teams[team] == 0 {
		delete(a.teams, team)
	}
}

// reject records a rejection for Explain. Cancellations are not recorded: a mass cancellation would replace the rejections
// that an operator may ask for.
func (a *Admission) reject(req Request, err *RejectedError) error {
	if err.Reason != ReasonCancelled {
		a.history.add(Rejection{
			ID: req.ID, Service: req.Service, Team: req.Team, Priority: req.Priority,
			At: time.Now(), RejectedError: *err,
		})
	}
	return err
}

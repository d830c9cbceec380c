package membership

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/leader"
	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// DefaultUndoAfter is how long a move waits for the entry hosts before it is undone. Without a bound, an
	// unresponsive entry host would keep the host out of both pools until its registration is removed.
	DefaultUndoAfter = time.Minute
	// DefaultRetry is the time between two rounds of release calls and before a step is repeated.
	DefaultRetry = 250 * time.Millisecond
	// DefaultCallTimeout bounds one release call, so that an unresponsive connection delays only one round.
	DefaultCallTimeout = time.Second
	// maxAssignPerTxn bounds the hosts that one transaction assigns for the first time. It stays below
	// cloud.MaxTxnOps, because the transaction also contains the fence and the rows of the pool.
	maxAssignPerTxn = 100
)

// Leadership tells whether this process is the leader of the data centre.
type Leadership interface {
	// Lead returns the current lease, and false if this process must not act as the leader now.
	Lead() (leader.Lease, bool)
}

// ReleaseStatus is the answer of an entry host to a release call.
type ReleaseStatus struct {
	// Released means that the entry host and all its dependents have published a view without the host.
	Released bool
	// InProgress is the number of requests that the entry host still has in progress on the host, counted after
	// the publication.
	InProgress int
	// Incarnation identifies the process that answered.
	Incarnation string
}

// Releaser asks one registered entry host to stop using a host until it sees an active assignment of a larger
// generation.
type Releaser interface {
	Release(ctx context.Context, entry structs.Registration, host string, generation uint64) (ReleaseStatus, error)
}

// Options configure a Membership.
type Options struct {
	Table      cloud.Table
	Hosts      cloud.HostList
	DataCentre string
	Leadership Leadership
	Releaser   Releaser
	// Leaving returns the hosts that are known to leave, which the platform's list may not show yet, with the
	// incarnation that leaves. It may be nil.
	Leaving func() map[string]uint64
	// OnWrite is called with the assignments of each successful write. It must not block and may be nil.
	OnWrite func([]structs.Assignment)
	// UndoAfter, Retry and CallTimeout default to DefaultUndoAfter, DefaultRetry and DefaultCallTimeout.
	UndoAfter   time.Duration
	Retry       time.Duration
	CallTimeout time.Duration
	Log         log.Interface
}

// Membership assigns, moves, drains and returns hosts; see section 7 of the design for the steps. It holds no state
// between calls, and its methods may run concurrently for different hosts.
type Membership struct {
	opts Options
}

// New returns a Membership with defaults for the durations that are not set.
func New(opts Options) *Membership {
	if opts.UndoAfter <= 0 {
		opts.UndoAfter = DefaultUndoAfter
	}
	if opts.Retry <= 0 {
		opts.Retry = DefaultRetry
	}
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = DefaultCallTimeout
	}
	if opts.Log == nil {
		opts.Log = log.Log
	}
	return &Membership{opts: opts}
}

// Assign writes the first assignment of each host: active in its home pool, generation 1. Hosts that already have an
// assignment keep it.
func (m *Membership) Assign(ctx context.Context, hosts []structs.Host) error {
	byPool := make(map[string][]structs.Host)
	for _, h := range hosts {
		byPool[h.Pool] = append(byPool[h.Pool], h)
	}
	var errs []error
	for pool, members := range byPool {
		for len(members) > 0 {
			n := min(len(members), maxAssignPerTxn)
			if err := m.assignToPool(ctx, pool, members[:n]); err != nil {
				errs = append(errs, err)
			}
			members = members[n:]
		}
	}
	return errors.Join(errs...)
}

// assignToPool writes the first assignments of hosts whose home is pool in one transaction.
func (m *Membership) assignToPool(ctx context.Context, pool string, hosts []structs.Host) error {
	s, err := m.readSnapshot(ctx, []string{pool})
	if err != nil {
		return err
	}
	var next []structs.Assignment
	for _, h := range hosts {
		if _, ok := s.assigned[h.Name]; ok || h.DataCentre != m.opts.DataCentre {
			continue
		}
		next = append(next, structs.Assignment{
			Host: h.Name, DataCentre: m.opts.DataCentre, Pool: pool, Home: pool, Phase: structs.PhaseActive,
			Generation: 1, Incarnation: s.states[h.Name].Incarnation, Reason: "first assignment",
		})
	}
	if len(next) == 0 {
		return nil
	}
	return m.commit(ctx, s, next...)
}

// Move moves an active host to another pool and returns when it is active there. It returns ErrUndone if the entry
// hosts did not release the host in time and it is active in its old pool again, ErrBudget if the old pool cannot
// spare the host, and ErrNotReady if the host is not healthy.
func (m *Membership) Move(ctx context.Context, host, toPool, reason string) error {
	_, err := m.transition(ctx, host, func(s *snapshot, cur structs.Assignment) (structs.Assignment, error) {
		if cur.Phase == structs.PhaseReleasing && cur.NextPool == toPool {
			return cur, nil
		}
		if cur.Phase == structs.PhaseActive && cur.Pool == toPool {
			next := cur
			if reason == ReasonHome {
				// The host was moved to this pool before the pool became its declared home.
				next.Home, next.Reason = toPool, reason
			}
			return next, nil
		}
		if cur.Phase != structs.PhaseActive {
			return cur, errors.Wrapf(ErrWrongPhase, "move %s in phase %s", host, cur.Phase)
		}
		if !s.healthy(host) {
			return cur, errors.Wrap(ErrNotReady, host)
		}
		if s.pools[toPool].declared.Name == "" {
			return cur, errors.Wrap(ErrUnknownPool, toPool)
		}
		from := s.pools[cur.Pool].declared
		if from.Name != "" {
			if err := s.checkBudget(cur.Pool, host); err != nil {
				return cur, err
			}
			if s.poolSize(cur.Pool)-1 < from.MinHosts {
				return cur, errors.Wrapf(ErrBudget, "pool %s keeps at least %d hosts", cur.Pool, from.MinHosts)
			}
		}
		next := cur
		next.Phase, next.NextPool, next.Reason = structs.PhaseReleasing, toPool, reason
		return next, nil
	}, toPool)
	if err != nil {
		return err
	}
	return m.Resume(ctx, host)
}

// Resume completes the move of a host in phase releasing, which this or an earlier leader began. It does nothing for a
// host in another phase.
func (m *Membership) Resume(ctx context.Context, host string) error {
	cur, err := m.readAssignment(ctx, host)
	if err != nil || cur.Phase != structs.PhaseReleasing {
		return err
	}
	waitCtx, cancel := context.WithTimeout(ctx, m.opts.UndoAfter)
	err = m.awaitRelease(waitCtx, cur)
	cancel()
	switch {
	case err == nil:
	case ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded):
		if err := m.Undo(ctx, host, "entry hosts did not release in time"); err != nil {
			return err
		}
		return errors.Wrap(ErrUndone, host)
	default:
		return err
	}
	return m.finishMove(ctx, cur)
}

// finishMove makes a released host active in its next pool. If the host became unhealthy or the pool was deleted, it
// makes the host active in its old pool and returns ErrUndone. released is the assignment that the entry hosts
// confirmed; a later generation means that the move was undone meanwhile.
func (m *Membership) finishMove(ctx context.Context, released structs.Assignment) error {
	host, undone := released.Host, false
	_, err := m.transition(ctx, host, func(s *snapshot, cur structs.Assignment) (structs.Assignment, error) {
		if cur.Generation == released.Generation+1 && cur.Phase == structs.PhaseActive && cur.Pool == released.NextPool {
			// An earlier attempt took effect although its result was lost.
			return cur, nil
		}
		if cur.Generation != released.Generation {
			return cur, errors.Wrap(ErrUndone, host)
		}
		next := cur
		next.Phase, next.NextPool = structs.PhaseActive, ""
		// A host that failed during the move would use up the budget of the new pool.
		undone = !s.healthy(host) || s.pools[cur.NextPool].declared.Name == ""
		if undone {
			next.Reason = "failed or pool deleted during move"
			return next, nil
		}
		next.Pool, next.Incarnation = cur.NextPool, s.states[host].Incarnation
		if cur.Reason == ReasonHome {
			next.Home = next.Pool
		}
		return next, nil
	}, released.NextPool)
	if err == nil && undone {
		return errors.Wrap(ErrUndone, host)
	}
	return err
}

// Reasons of assignments that later steps depend on.
const (
	// ReasonHome marks a move that follows a change of the declared home pool.
	ReasonHome = "home pool changed"
	// ReasonRemoved marks the drain of a host that is no longer declared.
	ReasonRemoved = "host removed"
)

// Undo abandons a move that is not finished. The host becomes active in its old pool with a larger generation.
func (m *Membership) Undo(ctx context.Context, host, reason string) error {
	_, err := m.transition(ctx, host, func(_ *snapshot, cur structs.Assignment) (structs.Assignment, error) {
		if cur.Phase != structs.PhaseReleasing {
			return cur, nil
		}
		next := cur
		next.Phase, next.NextPool, next.Reason = structs.PhaseActive, "", reason
		return next, nil
	})
	return err
}

// readAssignment reads the assignment of a host and repeats the read after temporary failures as long as this process
// leads.
func (m *Membership) readAssignment(ctx context.Context, host string) (structs.Assignment, error) {
	for {
		a, err := m.Assignment(ctx, host)
		if !errors.Is(err, ErrRetry) {
			return a, err
		}
		if _, ok := m.opts.Leadership.Lead(); !ok {
			return a, ErrNotLeader
		}
		if !m.waitRetry(ctx) {
			return a, ctx.Err()
		}
	}
}

// waitRetry waits for the retry interval. It reports false if ctx ended first.
func (m *Membership) waitRetry(ctx context.Context) bool {
	timer := time.NewTimer(m.opts.Retry)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

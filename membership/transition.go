package membership

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/leader"
	"github.com/tamarackworks/tamarackworks/structs"
)

// maxAttempts bounds the attempts of a step whose rows change between read and write. Concurrent steps in one pool
// conflict with each other on the counter row.
const maxAttempts = 8

// AssignmentPrefix is the prefix of the keys of the assignments of a data centre; the name of the host follows it.
func AssignmentPrefix(dataCentre string) string { return "assign/" + dataCentre + "/" }

// CounterKey is the key of the counter row of a pool. Every change of the assignments of the pool increments it, which
// serializes these changes.
func CounterKey(dataCentre, pool string) string { return "pool/" + dataCentre + "/" + pool }

// poolCounter is the content of the counter row of a pool.
type poolCounter struct {
	Changes uint64 `json:"changes"`
}

// poolRows holds the counter and the declaration of a pool with the versions of their rows.
type poolRows struct {
	changes        uint64
	counterVersion uint64
	declared       structs.Pool
	objectVersion  uint64
}

// snapshot is the input of one step. Assignments and host states are read after the counter rows, so a concurrent step
// that changes an assignment of the same pools makes the write of this step fail.
type snapshot struct {
	lease    leader.Lease
	assigned map[string]structs.Assignment
	versions map[string]uint64
	states   map[string]structs.HostState
	leaving  map[string]uint64
	pools    map[string]poolRows
}

// healthy reports whether the list shows a host as live and the host is not known to leave.
func (s *snapshot) healthy(host string) bool {
	state, ok := s.states[host]
	if !ok || !state.Live || state.Leaving {
		return false
	}
	incarnation, leaving := s.leaving[host]
	return !leaving || state.Incarnation > incarnation
}

// countUnavailable counts the hosts of a pool, other than except, that are not in phase active or not healthy.
func (s *snapshot) countUnavailable(pool, except string) int {
	n := 0
	for host, a := range s.assigned {
		if a.Pool == pool && host != except && !isRemoved(a) && (a.Phase != structs.PhaseActive || !s.healthy(host)) {
			n++
		}
	}
	return n
}

// isRemoved reports whether a host is out of service because it is no longer declared. Such a host belongs to no pool.
// Its row is kept, because a host that is declared again must continue with a larger generation.
func isRemoved(a structs.Assignment) bool {
	return a.Phase == structs.PhaseDown && a.Reason == ReasonRemoved
}

// poolSize counts the hosts of a pool, whether or not they are available.
func (s *snapshot) poolSize(pool string) int {
	n := 0
	for _, a := range s.assigned {
		if a.Pool == pool && !isRemoved(a) {
			n++
		}
	}
	return n
}

// checkBudget returns ErrBudget if the disruption budget of the pool does not allow the host to be unavailable in
// addition to the other unavailable hosts.
func (s *snapshot) checkBudget(pool, host string) error {
	unavailable, budget := s.countUnavailable(pool, host), s.pools[pool].declared.MaxUnavailable
	if unavailable+1 > budget {
		return errors.Wrapf(ErrBudget, "pool %s has %d unavailable hosts and a disruption budget of %d", pool, unavailable, budget)
	}
	return nil
}

// readSnapshot reads the counters and declarations of the pools, and after them the assignments and host states.
func (m *Membership) readSnapshot(ctx context.Context, pools []string) (*snapshot, error) {
	lease, ok := m.opts.Leadership.Lead()
	if !ok {
		return nil, ErrNotLeader
	}
	s := &snapshot{
		lease: lease, assigned: make(map[string]structs.Assignment), versions: make(map[string]uint64),
		pools: make(map[string]poolRows, len(pools)),
	}
	for _, pool := range pools {
		rows, err := m.readPool(ctx, pool)
		if err != nil {
			return nil, err
		}
		s.pools[pool] = rows
	}
	rows, err := listRows(ctx, m.opts.Table, AssignmentPrefix(m.opts.DataCentre))
	if err != nil {
		return nil, translateError(err, "read assignments")
	}
	for _, row := range rows {
		var a structs.Assignment
		if err := json.Unmarshal(row.Value, &a); err != nil {
			return nil, errors.Wrapf(err, "decode %s", row.Key)
		}
		s.assigned[a.Host], s.versions[a.Host] = a, row.Version
	}
	if s.states, err = readHostStates(ctx, m.opts.Hosts, m.opts.DataCentre); err != nil {
		return nil, err
	}
	if m.opts.Leaving != nil {
		s.leaving = m.opts.Leaving()
	}
	return s, nil
}

// readPool reads the counter and the declaration of a pool. It returns ErrUnknownPool if the pool was never declared or
// belongs to another data centre; for a deleted pool the name of the declaration is empty.
func (m *Membership) readPool(ctx context.Context, pool string) (poolRows, error) {
	var rows poolRows
	row, err := m.opts.Table.Get(ctx, CounterKey(m.opts.DataCentre, pool))
	if err == nil {
		var c poolCounter
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return rows, errors.Wrapf(err, "decode %s", row.Key)
		}
		rows.changes, rows.counterVersion = c.Changes, row.Version
	} else if !errors.Is(err, cloud.ErrNotFound) {
		return rows, translateError(err, "read pool counter")
	}
	row, err = m.opts.Table.Get(ctx, "object/"+string(structs.KindPool)+"/"+pool)
	if errors.Is(err, cloud.ErrNotFound) {
		return rows, errors.Wrap(ErrUnknownPool, pool)
	}
	if err != nil {
		return rows, translateError(err, "read pool")
	}
	var object structs.Object
	if err := json.Unmarshal(row.Value, &object); err != nil {
		return rows, errors.Wrapf(err, "decode %s", row.Key)
	}
	rows.objectVersion = row.Version
	if object.Deleted {
		// The budget of a deleted pool is 0. Its hosts can still return to service or move to another pool.
		return rows, nil
	}
	if err := json.Unmarshal(object.Spec, &rows.declared); err != nil {
		return rows, errors.Wrapf(err, "decode %s", row.Key)
	}
	if rows.declared.DataCentre != m.opts.DataCentre {
		return rows, errors.Wrapf(ErrUnknownPool, "%s belongs to data centre %s", pool, rows.declared.DataCentre)
	}
	rows.declared.Name = pool
	return rows, nil
}

// commit writes assignments if this process still leads and if their rows and the counters and declarations of the pools
// in the snapshot are unchanged. It increments these counters, so that of two steps that counted the same hosts only one
// succeeds.
func (m *Membership) commit(ctx context.Context, s *snapshot, next ...structs.Assignment) error {
	txn := cloud.Txn{Preconditions: []cloud.Precondition{s.lease.Fence}}
	for _, a := range next {
		key := AssignmentPrefix(m.opts.DataCentre) + a.Host
		txn.Preconditions = append(txn.Preconditions, cloud.Precondition{Key: key, Version: s.versions[a.Host]})
		txn.Ops = append(txn.Ops, putOp(key, a))
	}
	for pool, rows := range s.pools {
		key := CounterKey(m.opts.DataCentre, pool)
		txn.Preconditions = append(txn.Preconditions,
			cloud.Precondition{Key: key, Version: rows.counterVersion},
			// A ticket that lowers the budget or deletes the pool after it was read makes the step fail.
			cloud.Precondition{Key: "object/" + string(structs.KindPool) + "/" + pool, Version: rows.objectVersion})
		txn.Ops = append(txn.Ops, putOp(key, poolCounter{Changes: rows.changes + 1}))
	}
	_, err := m.opts.Table.Commit(ctx, txn)
	if err != nil {
		return translateError(err, "write assignment")
	}
	if m.opts.OnWrite != nil {
		m.opts.OnWrite(next)
	}
	return nil
}

// transition writes the assignment that plan derives from a consistent snapshot and the current assignment of a host.
// The snapshot covers the current pool of the host and the given pools. An assignment that plan leaves unchanged is not
// written. transition returns errors of plan, and makes up to maxAttempts attempts if the rows changed
// or the table did not answer.
func (m *Membership) transition(ctx context.Context, host string, plan func(s *snapshot, cur structs.Assignment) (structs.Assignment, error), pools ...string) (structs.Assignment, error) {
	var last error
	for attempt := range maxAttempts {
		if attempt > 0 && !m.waitRetry(ctx) {
			return structs.Assignment{}, ctx.Err()
		}
		next, err := m.tryTransition(ctx, host, plan, pools)
		if !errors.Is(err, ErrRetry) {
			return next, err
		}
		last = err
	}
	return structs.Assignment{}, last
}

// tryTransition makes one attempt of a transition.
func (m *Membership) tryTransition(ctx context.Context, host string, plan func(s *snapshot, cur structs.Assignment) (structs.Assignment, error), pools []string) (structs.Assignment, error) {
	cur, err := m.Assignment(ctx, host)
	if err != nil {
		return structs.Assignment{}, err
	}
	affectedPools := append([]string{cur.Pool}, pools...)
	s, err := m.readSnapshot(ctx, affectedPools)
	if err != nil {
		return structs.Assignment{}, err
	}
	if s.assigned[host].Generation != cur.Generation {
		return structs.Assignment{}, errors.Wrap(ErrRetry, "assignment changed during the read")
	}
	next, err := plan(s, cur)
	if err != nil {
		return structs.Assignment{}, err
	}
	if next == cur {
		return cur, nil
	}
	next.Generation = cur.Generation + 1
	return next, m.commit(ctx, s, next)
}

// Assignment reads the assignment of a host. It returns ErrWrongPhase if the host has none.
func (m *Membership) Assignment(ctx context.Context, host string) (structs.Assignment, error) {
	var a structs.Assignment
	row, err := m.opts.Table.Get(ctx, AssignmentPrefix(m.opts.DataCentre)+host)
	if errors.Is(err, cloud.ErrNotFound) {
		return a, errors.Wrapf(ErrWrongPhase, "host %s has no assignment", host)
	}
	if err != nil {
		return a, translateError(err, "read assignment")
	}
	if err := json.Unmarshal(row.Value, &a); err != nil {
		return a, errors.Wrapf(err, "decode %s", row.Key)
	}
	return a, nil
}

// Package membership changes the pool and the phase of the hosts of one data centre, and keeps the list of
// its registered entry hosts.
//
// The leader moves hosts between pools and takes them out of service within the disruption budgets of the
// pools. Before a host changes its pool or is taken out, every registered entry host must confirm that it no
// longer uses the host.
//
// All state is in the table. Each step is one transaction that depends only on the rows, so a new leader can
// continue what an earlier one began. No step relies on the result of an ambiguous write; the next step reads
// the rows again.
package membership

import (
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
)

// Errors returned by this package.
var (
	// ErrNotLeader means that this process is not the leader of the data centre, or no longer.
	ErrNotLeader = errors.New("membership: not the leader")
	// ErrBudget means that the step would exceed the disruption budget of a pool or leave fewer than its minimum of
	// hosts.
	ErrBudget = errors.New("membership: disruption budget or minimum size of the pool does not allow the step")
	// ErrWrongPhase means that the host has no assignment, or that its phase does not allow the step.
	ErrWrongPhase = errors.New("membership: phase of the host does not allow the step")
	// ErrNotReady means that the platform's list does not, or not yet, show the host in the state that the step needs.
	ErrNotReady = errors.New("membership: host list does not show the host as ready")
	// ErrUndone means that a move or drain was undone or replaced by a later change. After the undo of a move the host
	// is active in its old pool.
	ErrUndone = errors.New("membership: move or drain was undone")
	// ErrUnknownPool means that the pool is not declared in this data centre.
	ErrUnknownPool = errors.New("membership: unknown pool")
	// ErrEntryIDInUse means that another running process is registered under the id of this entry host.
	ErrEntryIDInUse = errors.New("membership: entry host id is used by another process")
	// ErrRetry means that the platform did not answer or that the rows changed meanwhile. The step can be repeated.
	ErrRetry = errors.New("membership: temporary failure, retry later")
)

// translateError maps an error of the platform to an error of this package. doing names the operation that failed.
func translateError(err error, doing string) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, cloud.ErrUnavailable), errors.Is(err, cloud.ErrAmbiguous), errors.Is(err, cloud.ErrConflict):
		return errors.Wrapf(ErrRetry, "%s: %v", doing, err)
	}
	return errors.Wrap(err, doing)
}

package membership

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/structs"
)

// Drained is the result of a finished drain: the assignment for which all entry hosts confirmed the release.
type Drained struct {
	Assignment structs.Assignment
}

// Drain takes a host out of service and returns when no entry host uses it any more. It continues a drain that was
// begun earlier. It returns ErrBudget if the pool cannot spare the host.
func (m *Membership) Drain(ctx context.Context, host, reason string) (Drained, error) {
	cur, err := m.transition(ctx, host, func(s *snapshot, cur structs.Assignment) (structs.Assignment, error) {
		if cur.Phase == structs.PhaseDraining {
			return cur, nil
		}
		if cur.Phase != structs.PhaseActive {
			return cur, errors.Wrapf(ErrWrongPhase, "drain %s in phase %s", host, cur.Phase)
		}
		if err := s.checkBudget(cur.Pool, host); err != nil {
			return cur, err
		}
		next := cur
		next.Phase, next.Reason = structs.PhaseDraining, reason
		next.Incarnation = max(cur.Incarnation, s.states[host].Incarnation)
		return next, nil
	})
	if err != nil {
		return Drained{}, err
	}
	if err := m.awaitRelease(ctx, cur); err != nil {
		return Drained{}, err
	}
	return Drained{Assignment: cur}, nil
}

// SetDown puts a drained host into phase down, in which it stays until Return.
func (m *Membership) SetDown(ctx context.Context, d Drained) error {
	_, err := m.setPhaseAfterDrain(ctx, d, structs.PhaseDown)
	return err
}

// SetRebooting puts a drained host into phase rebooting if the budget of its pool still allows it. The incarnation of
// the returned assignment is the one to reboot.
func (m *Membership) SetRebooting(ctx context.Context, d Drained) (structs.Assignment, error) {
	return m.setPhaseAfterDrain(ctx, d, structs.PhaseRebooting)
}

// setPhaseAfterDrain puts a drained host into the given phase, unless its assignment changed since the drain finished.
func (m *Membership) setPhaseAfterDrain(ctx context.Context, d Drained, phase structs.Phase) (structs.Assignment, error) {
	host := d.Assignment.Host
	return m.transition(ctx, host, func(s *snapshot, cur structs.Assignment) (structs.Assignment, error) {
		if cur.Generation == d.Assignment.Generation+1 && cur.Phase == phase {
			return cur, nil
		}
		if cur.Generation != d.Assignment.Generation {
			return cur, errors.Wrapf(ErrWrongPhase, "assignment of %s changed after its drain", host)
		}
		state, ok := s.states[host]
		if phase == structs.PhaseRebooting {
			if !ok {
				return cur, errors.Wrapf(ErrNotReady, "%s is not in the host list", host)
			}
			// Another host may have failed since the drain began and used up the budget. This one can still return
			// to service at once.
			if err := s.checkBudget(cur.Pool, host); err != nil {
				return cur, err
			}
		}
		next := cur
		next.Phase, next.Incarnation = phase, max(cur.Incarnation, state.Incarnation)
		return next, nil
	})
}

// Return puts a draining, rebooting or down host back into service. For a rebooting host it returns ErrNotReady until
// the platform's list shows the host as healthy with a newer incarnation.
func (m *Membership) Return(ctx context.Context, host, reason string) error {
	_, err := m.transition(ctx, host, func(s *snapshot, cur structs.Assignment) (structs.Assignment, error) {
		switch cur.Phase {
		case structs.PhaseActive:
			return cur, nil
		case structs.PhaseReleasing:
			return cur, errors.Wrapf(ErrWrongPhase, "return %s in phase %s", host, cur.Phase)
		case structs.PhaseRebooting:
			if !s.healthy(host) || s.states[host].Incarnation <= cur.Incarnation {
				return cur, errors.Wrap(ErrNotReady, host)
			}
		}
		next := cur
		next.Phase, next.Reason = structs.PhaseActive, reason
		next.Incarnation = max(cur.Incarnation, s.states[host].Incarnation)
		return next, nil
	})
	return err
}

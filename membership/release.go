package membership

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/structs"
)

// awaitRelease returns when every registered entry host has confirmed the release of this generation. The
// registrations are read after the assignment was written; an entry host that registers later reads the new
// assignment.
func (m *Membership) awaitRelease(ctx context.Context, a structs.Assignment) error {
	confirmed := make(map[string]bool)
	for {
		done, err := m.releaseRound(ctx, a, confirmed)
		if done || err != nil {
			return err
		}
		if !m.waitRetry(ctx) {
			return ctx.Err()
		}
	}
}

// releaseRound asks the registered entry hosts that are not in confirmed for the release and adds those that confirm
// it. It reports whether none is left to ask. It returns ErrUndone if the assignment changed.
func (m *Membership) releaseRound(ctx context.Context, a structs.Assignment, confirmed map[string]bool) (bool, error) {
	if _, ok := m.opts.Leadership.Lead(); !ok {
		return false, ErrNotLeader
	}
	cur, err := m.Assignment(ctx, a.Host)
	if errors.Is(err, ErrRetry) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if cur.Generation != a.Generation {
		return false, errors.Wrapf(ErrUndone, "assignment of %s changed to generation %d", a.Host, cur.Generation)
	}
	regs, err := readRegistrations(ctx, m.opts.Table, m.opts.DataCentre)
	if errors.Is(err, ErrRetry) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	pending := regs[:0]
	for _, reg := range regs {
		if !confirmed[reg.Entry+"/"+reg.Incarnation] {
			pending = append(pending, reg)
		}
	}
	// The release is complete only if a list that was read after the last answer contains no other entry host. One
	// that started from the state of a peer must confirm for itself once it is registered, because the peer may have
	// stopped confirming for it.
	if len(pending) == 0 {
		return true, nil
	}
	before := len(confirmed)
	unresponsive := m.requestRelease(ctx, a, pending, confirmed)
	m.removeGone(ctx, unresponsive)
	if len(confirmed)-before == len(pending) {
		return m.releaseRound(ctx, a, confirmed)
	}
	return false, nil
}

// requestRelease sends the release to all pending entry hosts in parallel, adds those that confirm it to confirmed and
// returns those that did not answer.
func (m *Membership) requestRelease(ctx context.Context, a structs.Assignment, pending []registrationRow, confirmed map[string]bool) []registrationRow {
	var mu sync.Mutex
	var unresponsive []registrationRow
	var wg sync.WaitGroup
	for _, reg := range pending {
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
			defer cancel()
			status, err := m.opts.Releaser.Release(callCtx, reg.Registration, a.Host, a.Generation)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				unresponsive = append(unresponsive, reg)
			case status.Incarnation == reg.Incarnation && status.Released && status.InProgress == 0:
				confirmed[reg.Entry+"/"+reg.Incarnation] = true
			}
		})
	}
	wg.Wait()
	return unresponsive
}

// removeGone removes the registrations of those unresponsive entry hosts whose process no longer runs according to the
// platform's list. The registration of an entry host that answers is never removed, whatever the list shows.
func (m *Membership) removeGone(ctx context.Context, unresponsive []registrationRow) {
	if len(unresponsive) == 0 {
		return
	}
	lease, ok := m.opts.Leadership.Lead()
	if !ok {
		return
	}
	// The list may show an entry host under another data centre than its targets, so all are read.
	states, err := readHostStates(ctx, m.opts.Hosts, "")
	if err != nil {
		return
	}
	for _, reg := range unresponsive {
		if !Gone(reg.Registration, states) {
			continue
		}
		key := RegistrationPrefix(m.opts.DataCentre) + reg.Entry
		_, err := m.opts.Table.Commit(ctx, cloud.Txn{
			Preconditions: []cloud.Precondition{lease.Fence, {Key: key, Version: reg.version}},
			Ops:           []cloud.Op{{Key: key, Delete: true}},
		})
		if err != nil {
			m.opts.Log.WithError(err).WithField("entry", reg.Entry).Warn("registration of a replaced entry host could not be removed")
			continue
		}
		m.opts.Log.WithField("entry", reg.Entry).Info("removed the registration of a replaced entry host")
	}
}

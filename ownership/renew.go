package ownership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/rowstore"
)

// renew keeps the lease until it is lost or ctx ends, and returns why.
func (m *Manager) renew(ctx context.Context) string {
	sent := m.opts.Now()
	began, hedge := sent, renewHedge
	// first is when the oldest attempt was sent that may have written what the next one finds.
	first, failed := sent, false
	var pace pace
	for {
		terms := pace.next(hedge)
		elapsed.Sleep(ctx, sent+terms.interval-m.opts.Now())
		if ctx.Err() != nil {
			return "stopped"
		}
		m.mu.Lock()
		next, version := m.lease, m.leaseVersion
		m.mu.Unlock()
		next.Renewal++
		next.Successors, next.ValidMS = m.successors(), terms.validity.Milliseconds()
		sent = m.opts.Now()
		m.limit(sent + next.valid())
		if !failed {
			first = sent
		}
		r, err := rowstore.Race(ctx, rowstore.RaceOptions{Every: terms.hedge}, rowstore.Repeat(renewTries,
			func(ctx context.Context) (uint64, error) { return m.write(ctx, next, version, nil, renewTimeout) }))
		var conflict *rowstore.ConflictError
		if took := m.opts.Now() - sent; took > renewInterval {
			m.opts.Log.WithFields(log.Fields{"took_ms": took.Milliseconds(), "tries": r.Tries, "epoch": next.Epoch}).Warn("renewal took long")
		}
		pace.note(err == nil && r.Tries == 1 && m.opts.Now()-sent <= promptRenewal)
		switch {
		case err == nil:
			m.renewed(next, r.Version, sent+r.SentAt)
			failed = false
			took := m.opts.Now() - sent - r.SentAt
			hedge = hedgeAfter(took)
			if m.opts.Outranked != nil && took < handOverWithin && sent-began > minTerm && m.opts.Outranked() {
				return "handed over to a host that suits better"
			}
		case errors.As(err, &conflict):
			l, v, ok := leaseOf(conflict.Rows)
			if !ok || l.Holder != m.opts.Holder || l.Epoch != next.Epoch || l.Released {
				return "lease taken by " + l.Holder
			}
			// An earlier attempt was applied although its answer was lost, perhaps the first.
			m.renewed(l, v, first)
			failed = false
		case ctx.Err() == nil:
			failed = true
			m.opts.Log.WithError(err).WithField("tries", r.Tries).Warn("renewal failed")
		}
	}
}

// limit ends the ownership at a time at the latest. Others act on a shorter validity as soon as they read it, which may be
// before its renewal is answered here.
func (m *Manager) limit(until time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.validUntil = min(m.validUntil, until)
}

// valid returns how long the holder acts after it sent the renewal.
func (l Lease) valid() time.Duration {
	d := time.Duration(l.ValidMS) * time.Millisecond
	if d <= 0 || d > validity {
		return validity
	}
	return d
}

// renewal is how long a renewal is valid, when the next one is due, and when it is sent again without an answer.
type renewal struct{ validity, interval, hedge time.Duration }

// pace shortens renewals while the last ones were answered at once.
type pace struct{ steady int }

func (p *pace) note(prompt bool) {
	if p.steady++; !prompt {
		p.steady = 0
	}
}

// next returns the terms of the next renewal; hedge is that of one of full validity.
func (p *pace) next(hedge time.Duration) renewal {
	if p.steady >= steadyRenewals {
		return renewal{shortValidity, shortInterval, shortHedge}
	}
	return renewal{validity, renewInterval, hedge}
}

// hedgeAfter returns when to send the next renewal again if the last one took a time.
func hedgeAfter(took time.Duration) time.Duration {
	return min(max(renewHedge, took*3/2), maxRenewHedge)
}

func (m *Manager) renewed(l Lease, version uint64, sent time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease, m.leaseVersion, m.changedAt = l, max(version, m.leaseVersion), m.opts.Now()
	m.validUntil, m.confirmedAt = sent+l.valid(), sent
	m.reachable = m.opts.Now()
}

func leaseOf(rows []rowstore.Row) (Lease, uint64, bool) {
	for _, r := range rows {
		if r.Key == LeaseKey {
			var l Lease
			if err := json.Unmarshal(r.Value, &l); err != nil {
				return Lease{}, 0, false
			}
			return l, r.Version, true
		}
	}
	return Lease{}, 0, false
}

// release gives the lease up, so that another process need not wait until it lapses.
func (m *Manager) release(term Term) {
	m.mu.Lock()
	l, version := m.lease, m.leaseVersion
	m.mu.Unlock()
	if l.Holder != m.opts.Holder || l.Epoch != term.Epoch {
		return
	}
	l.Released = true
	if _, err := m.write(context.Background(), l, version, nil, callTimeout); err != nil {
		m.opts.Log.WithError(err).Warn("release failed; the lease lapses by itself")
	}
}

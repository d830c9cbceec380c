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

// renew renews the lease until it is lost, is to be handed over, or ctx ends, and returns the reason.
func (m *Manager) renew(ctx context.Context) string {
	sent := m.opts.Now()
	began, hedge := sent, fullHedge
	// firstSent is when the oldest attempt was sent that may have written the row that the next one finds. retrying is set if
	// the previous renewal failed.
	firstSent, retrying := sent, false
	var policy renewalPolicy
	for {
		timing := policy.next(hedge)
		elapsed.Sleep(ctx, sent+timing.interval-m.opts.Now())
		if ctx.Err() != nil {
			return "stopped"
		}
		m.mu.Lock()
		next, version := m.lease, m.leaseVersion
		m.mu.Unlock()
		next.Renewal++
		next.Successors, next.ValidMS, next.StartsMS = m.successors(), timing.validity.Milliseconds(), timing.startLimit.Milliseconds()
		sent = m.opts.Now()
		m.capValidity(sent, next)
		if !retrying {
			firstSent = sent
		}
		r, err := rowstore.Race(ctx, rowstore.RaceOptions{HedgeDelay: timing.hedge}, rowstore.Repeat(renewTries,
			func(ctx context.Context) (uint64, error) { return m.attemptRenewal(ctx, next, version) }))
		var conflict *rowstore.ConflictError
		if took := m.opts.Now() - sent; took > fullInterval {
			m.opts.Log.WithFields(log.Fields{"took_ms": took.Milliseconds(), "tries": r.Tries, "epoch": next.Epoch}).Warn("renewal took long")
		}
		policy.record(err == nil && r.Tries == 1 && m.opts.Now()-sent <= maxPromptRenewal)
		switch {
		case err == nil:
			m.recordRenewal(next, r.Version, sent+r.SentAt)
			retrying = false
			took := m.opts.Now() - sent - r.SentAt
			hedge = hedgeDelay(took)
			if m.opts.Outranked != nil && mayHandOver(took, sent-began) && m.opts.Outranked() {
				return "handed over to a host that suits better"
			}
		case errors.As(err, &conflict):
			l, v, ok := findLease(conflict.Rows)
			if !ok || l.Holder != next.Holder || l.Epoch != next.Epoch || l.Released {
				return "lease taken by " + l.Holder
			}
			// An earlier attempt was applied although its response was lost, possibly the first one.
			m.recordRenewal(l, v, firstSent)
			retrying = false
		case ctx.Err() == nil:
			retrying = true
			m.opts.Log.WithError(err).WithField("tries", r.Tries).Warn("renewal failed")
		}
	}
}

// mayHandOver reports whether an owner may hand over that has led for a time and whose last renewal took a time.
func mayHandOver(renewalTook, led time.Duration) bool {
	return led > maxHandoverWait || led > minTerm && renewalTook < maxHandoverLatency
}

// capValidity ends the ownership no later than a renewal that is sent now allows. The others act on a shorter validity as soon as
// they read it, possibly before the renewal that shortens it is answered here.
func (m *Manager) capValidity(sent time.Duration, l Lease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.validUntil = min(m.validUntil, sent+l.validFor())
	m.startsUntil = min(m.startsUntil, sent+l.startsFor())
}

// validFor returns how long the holder acts after it sent the renewal: ValidMS, or fullValidity if that is out of range.
func (l Lease) validFor() time.Duration {
	d := time.Duration(l.ValidMS) * time.Millisecond
	if d <= 0 || d > fullValidity {
		return fullValidity
	}
	return d
}

// startsFor returns how long after it sent the renewal a job may arrive at the holder at the latest for the holder to start it:
// StartsMS, or validFor if that is absent or out of range.
func (l Lease) startsFor() time.Duration {
	d := time.Duration(l.StartsMS) * time.Millisecond
	if d <= 0 || d > l.validFor() {
		return l.validFor()
	}
	return d
}

// renewalTiming is the validity of a renewal and the limit for the arrival of jobs that are started, its interval from the previous
// one, and the hedge: the time without a response after which it is sent again.
type renewalTiming struct{ validity, startLimit, interval, hedge time.Duration }

// renewalPolicy selects the timing of renewals: the short one after minPromptRenewals prompt renewals in a row, else the full
// one. promptStreak counts the prompt renewals since the last other one.
type renewalPolicy struct{ promptStreak int }

// record counts a renewal as prompt, or starts the count anew.
func (p *renewalPolicy) record(prompt bool) {
	if p.promptStreak++; !prompt {
		p.promptStreak = 0
	}
}

// next returns the timing of the next renewal; hedge applies to one for fullValidity.
func (p *renewalPolicy) next(hedge time.Duration) renewalTiming {
	if p.promptStreak >= minPromptRenewals {
		return renewalTiming{shortValidity, shortStartLimit, shortInterval, shortHedge}
	}
	return renewalTiming{fullValidity, fullValidity, fullInterval, hedge}
}

// hedgeDelay returns the hedge of the next renewal, given how long the last one took.
func hedgeDelay(took time.Duration) time.Duration {
	return min(max(fullHedge, took*3/2), maxHedge)
}

// recordRenewal records a renewal, sent at a time, that the store has applied.
func (m *Manager) recordRenewal(l Lease, version uint64, sent time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease, m.leaseVersion, m.changedAt = l, max(version, m.leaseVersion), m.opts.Now()
	m.renewalSeenAt = m.changedAt
	m.validUntil, m.startsUntil, m.confirmedAt = sent+l.validFor(), sent+l.startsFor(), sent
	m.storeSeenAt = m.opts.Now()
}

// findLease returns the lease among rows and its version, or false if it is absent or cannot be decoded.
func findLease(rows []rowstore.Row) (Lease, uint64, bool) {
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

// release gives up the lease of a term, so that another process need not wait until it expires. It does nothing if this
// process no longer holds the lease. A renewal that was under way when the term ended may be applied first; the lease at its version is
// released then.
func (m *Manager) release(term Term, holder string, timeout time.Duration) {
	m.mu.Lock()
	l, version := m.lease, m.leaseVersion
	m.mu.Unlock()
	for n := 0; l.Holder == holder && l.Epoch == term.Epoch && !l.Released; n++ {
		released := l
		released.Released = true
		_, err := m.write(context.Background(), released, version, nil, timeout)
		if err == nil {
			return
		}
		var conflict *rowstore.ConflictError
		if !errors.As(err, &conflict) || n >= renewTries {
			m.opts.Log.WithError(err).Warn("cannot release the lease, it expires on its own")
			return
		}
		var ok bool
		if l, version, ok = findLease(conflict.Rows); !ok {
			return
		}
	}
}

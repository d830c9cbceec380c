package ownership

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/rowstore"
)

// The store may turn one host away while it serves the others. If that host is the owner, the others wait until its lease has expired.
// An owner that knows that the store serves others resigns before: it stops, and then answers as another holder.

const (
	// minRefusedRenewals is the number of refused attempts to renew the lease, and maxStoreSilence the time without a response of
	// the store, after either of which an owner may resign.
	minRefusedRenewals = 2
	maxStoreSilence    = 600 * time.Millisecond
	// maxPeerStoreAge is how long ago a call of another host may have been sent for its response to show that the store serves that
	// host. minServedPeers is how many such hosts it takes; a single one may have been served just before an outage for all.
	maxPeerStoreAge = 300 * time.Millisecond
	minServedPeers  = 2
	// peerMargin is how much later than the first failed attempt to renew the lease that call must have been sent. It covers the time
	// that the header with its age takes to arrive, and gives the checks of the store time to get a response.
	peerMargin = 150 * time.Millisecond
	// minResignTerm is how long an owner leads before it may resign, so that hosts that the store turns away in turn do not pass
	// the ownership on without doing any work.
	minResignTerm = time.Second
	// resignInterval is the time between two looks at the contact with the store. While renewals fail, the store is checked with a read
	// at each of them; checkTimeout bounds that.
	resignInterval = 50 * time.Millisecond
	checkTimeout   = 300 * time.Millisecond
	// releaseTimeout bounds the attempt to release the lease after a resignation, which mostly gets no response.
	releaseTimeout = 200 * time.Millisecond
)

// storeContact is what an owner knows of the contact of the hosts with the store. Calls count from the time when they were sent,
// because a response to a long poll may belong to a time when the store still served the host.
type storeContact struct {
	// led is how long this process has led.
	led time.Duration
	// prompt is set if the lease has the short validity. At a slow store calls take too long to tell who is served.
	prompt bool
	// failing is the time since the oldest attempt to renew the lease after which no call of this process got a response; refused
	// is the number of refused attempts since then. silence is the time since the last call that got one.
	failing, silence time.Duration
	refused          int
	// peers holds, for each live host, the time since its last call to the store that got a response.
	peers []time.Duration
}

// servedPeers returns the number of live hosts that the store has certainly served since the renewals of this process fail.
func (s storeContact) servedPeers() int {
	n := 0
	for _, age := range s.peers {
		if age <= maxPeerStoreAge && age+peerMargin <= s.failing {
			n++
		}
	}
	return n
}

// shouldResign reports whether the owner is to resign because the store serves other hosts and not this one.
func (s storeContact) shouldResign() bool {
	if !s.prompt || s.led < minResignTerm || s.failing == 0 {
		return false
	}
	return (s.refused >= minRefusedRenewals || s.silence >= maxStoreSilence) && s.servedPeers() >= minServedPeers
}

// failedRenewals describes the attempts to renew the lease since the last one that got a response.
type failedRenewals struct {
	// since is when the first of them was sent; 0 if there is none.
	since   time.Duration
	refused int
}

// attemptRenewal makes one attempt to renew the lease.
func (m *Manager) attemptRenewal(ctx context.Context, l Lease, version uint64) (uint64, error) {
	m.mu.Lock()
	if m.failed.since == 0 {
		m.failed.since = m.opts.Now()
	}
	m.mu.Unlock()
	written, err := m.write(ctx, l, version, nil, renewTimeout)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, rowstore.ErrConflict):
		m.failed = failedRenewals{}
	case errors.Is(err, rowstore.ErrUnavailable) && m.failed.since != 0:
		// Without since, a hedged attempt of the same renewal has succeeded meanwhile.
		m.failed.refused++
	}
	return written, err
}

// storeContact returns the contact of the hosts with the store as of now.
func (m *Manager) storeContact(ledSince time.Duration) storeContact {
	answered, peers := m.opts.StoreAnswered(), m.opts.PeersAnswered()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Now()
	s := storeContact{led: now - ledSince, prompt: m.lease.validFor() <= shortValidity, silence: now - answered}
	if m.failed.since != 0 && answered < m.failed.since {
		s.failing, s.refused = now-m.failed.since, m.failed.refused
	}
	for _, at := range peers {
		s.peers = append(s.peers, now-at)
	}
	return s
}

// awaitResignation returns true when this process is to resign, and false when ctx ends. Two looks in a row must agree: after a
// suspension of the process, calls of other hosts may be handled before the responses of the store that have arrived meanwhile.
func (m *Manager) awaitResignation(ctx context.Context) bool {
	if m.opts.NewHolder == nil {
		return false
	}
	ledSince, agreed := m.opts.Now(), false
	for elapsed.Sleep(ctx, resignInterval) {
		s := m.storeContact(ledSince)
		before := agreed
		if agreed = s.shouldResign(); agreed && before {
			m.opts.Log.WithFields(log.Fields{
				"refused": s.refused, "silent_ms": s.silence.Milliseconds(), "failing_ms": s.failing.Milliseconds(), "served_peers": s.servedPeers(), "peers": len(s.peers),
			}).Warn("the store serves other hosts and not this one, resigning")
			return true
		}
		if s.refused > 0 || s.failing > maxPromptRenewal {
			// The store may refuse only the partition of the lease, to all hosts. Options.StoreAnswered takes note of a response.
			go m.checkStore(ctx)
		}
	}
	return false
}

// checkStore reads the fence, whose partition is not that of the lease. The caller learns of a response by Options.StoreAnswered.
func (m *Manager) checkStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if _, err := m.opts.Store.Read(ctx, rowstore.Range{Table: Table}); err != nil {
		m.opts.Log.WithError(err).Debug("check of the store failed")
	}
}

// Holder returns what identifies this process as a holder of the lease. It changes when the process has resigned: to others, the
// former holder has ended.
func (m *Manager) Holder() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder
}

package ownership

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/rowstore"
)

// Run observes the lease, takes it when it is free, and leads while this process holds it, until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	defer m.cutoffReads.Wait()
	var after uint64
	full, outage := true, false
	for ctx.Err() == nil {
		sent, wait := m.opts.Now(), m.nextWait()
		var page rowstore.Page
		var err error
		if outage {
			wait = minChangesWait
			page, sent, err = m.readDuringOutage(ctx, full, after)
		} else {
			page, err = m.read(ctx, full, after, wait, wait+callTimeout)
		}
		outage = err != nil && !errors.Is(err, rowstore.ErrHistoryGone)
		switch {
		case err == nil:
			if !full && len(page.Rows) == 0 {
				// The store responded at the end of the wait, so the read covers the wait too.
				sent += wait
				m.recordLatency(m.opts.Now() - sent)
			}
			full, after = false, page.Version
			m.observe(sent, page.Rows)
		case errors.Is(err, rowstore.ErrHistoryGone):
			full = true
		default:
			elapsed.Sleep(ctx, retryPause)
			continue
		}
		m.probe(ctx)
		m.startCutoffRead(ctx)
		if m.shouldTakeOver() {
			m.takeOver(ctx)
			full = true
		}
	}
}

// nextWait returns the wait for the next read, which ends when this process can take the lease if it does not change.
func (m *Manager) nextWait() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.observed {
		return changesWait
	}
	if m.inGrace {
		return minChangesWait
	}
	next := m.leaseExpiresAt()
	switch {
	case m.attemptAt != 0:
		next = m.attemptAt
	case m.silentProbes < maxSilentProbes && m.mayProbe() && m.mayProbeAt(m.opts.Now()):
		next = min(next, max(m.changedAt+probeAfter, m.answeredProbeAt+changesWait))
	}
	if due, ok := m.cutoffDueAt(); ok {
		next = min(next, due)
	}
	if due, ok := m.earlyProbeDueAt(); ok && m.mayProbeAt(due) {
		next = min(next, due)
	}
	return min(changesWait, max(minChangesWait, next-m.opts.Now()))
}

// leaseExpiresAt returns when the lease can be taken if it does not change; the caller holds the lock.
func (m *Manager) leaseExpiresAt() time.Duration {
	margin := takeoverMargin
	if m.silentProbes >= maxSilentProbes {
		margin = silentMargin
	}
	return m.changedAt + m.lease.validFor() + margin
}

// read returns all rows of the table if full is set, else the changes after a version.
func (m *Manager) read(ctx context.Context, full bool, after uint64, wait, timeout time.Duration) (rowstore.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if full {
		return m.readAll(ctx)
	}
	return m.opts.Store.Changes(ctx, Table, after, wait)
}

// readDuringOutage reads like read, in attempts that overlap, until one is answered or ctx ends. A call that was sent while the store
// did not respond is never answered, so without the overlap the end of an outage would be noticed up to outageReadTimeout late. It also
// returns when the attempt was sent that decided the result.
func (m *Manager) readDuringOutage(ctx context.Context, full bool, after uint64) (rowstore.Page, time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type attempt struct {
		page rowstore.Page
		sent time.Duration
		err  error
	}
	answered := make(chan attempt)
	start := func() {
		sent := m.opts.Now()
		page, err := m.read(ctx, full, after, minChangesWait, minChangesWait+outageReadTimeout)
		if err != nil && !errors.Is(err, rowstore.ErrHistoryGone) {
			return
		}
		select {
		case answered <- attempt{page, sent, err}:
		case <-ctx.Done():
		}
	}
	next := time.NewTicker(outageReadInterval)
	defer next.Stop()
	for {
		go start()
		select {
		case <-next.C:
		case a := <-answered:
			return a.page, a.sent, a.err
		case <-ctx.Done():
			return rowstore.Page{}, 0, ctx.Err()
		}
	}
}

// readAll reads both partitions of the table. It returns the version of the first read, that of the lease, so that the changes
// after it include all that the reads have missed.
func (m *Manager) readAll(ctx context.Context) (rowstore.Page, error) {
	lease, err := m.opts.Store.Read(ctx, rowstore.Range{Table: Table, Partition: leasePartition})
	if err != nil {
		return rowstore.Page{}, err
	}
	rest, err := m.opts.Store.Read(ctx, rowstore.Range{Table: Table})
	lease.Rows = append(lease.Rows, rest.Rows...)
	return lease, err
}

// observe records the rows of a successful read that covers all changes up to sent. It logs without the lock, since a log that stalls
// must not block calls such as OwnsJobs and Holder.
func (m *Manager) observe(sent time.Duration, rows []rowstore.Row) {
	var changes []func()
	defer func() {
		for _, logChange := range changes {
			logChange()
		}
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Now()
	m.storeSeenAt = now
	switch gap := sent - m.observedUntil; {
	case !m.observed:
		m.changedAt, m.renewalSeenAt = now, now
	case gap > maxReadGap+changesWait:
		m.changedAt = max(m.changedAt, now+graceAfterGap-m.lease.validFor()-takeoverMargin)
		m.inGrace, m.silentProbes = true, 0
	}
	m.observed, m.observedUntil = true, sent
	for _, r := range rows {
		switch r.Key {
		case LeaseKey:
			changes = append(changes, m.recordLease(r, now))
		case FenceKey:
			m.fenceVersion = max(m.fenceVersion, r.Version)
		}
	}
}

// recordLease records a newer lease row. The caller holds the lock, and calls the returned function to log the change after it has
// released the lock.
func (m *Manager) recordLease(r rowstore.Row, now time.Duration) (logChange func()) {
	if r.Version <= m.leaseVersion {
		return func() {}
	}
	var l Lease
	err := json.Unmarshal(r.Value, &l)
	if err != nil {
		l = Lease{Released: true, Epoch: m.lease.Epoch}
	}
	ownerChanged := l.Epoch != m.lease.Epoch || l.Released != m.lease.Released
	if l.Epoch != m.lease.Epoch || m.leaseVersion == 0 || l.Holder == "" {
		m.epochSeenAt = now
	}
	m.lease, m.leaseVersion, m.changedAt, m.renewalSeenAt = l, r.Version, now, now
	m.inGrace, m.silentProbes = false, 0
	return func() {
		if err != nil {
			m.opts.Log.WithError(err).Error("cannot decode the lease row, treating the lease as free")
		}
		if ownerChanged {
			m.opts.Log.WithFields(log.Fields{
				"owner": l.Holder, "epoch": l.Epoch, "released": l.Released, "version": r.Version,
			}).Info("owner changed")
		}
	}
}

// probe asks the owner's address whether the owner's process still runs, if the lease was not renewed in time. A refused
// connection, or a response with another Holder, shows that it has ended. If the network refuses connections to an owner that
// runs, a takeover is still safe: the fence rejects the owner's writes, and the new owner waits until the leases that the
// former one granted have expired. Once the lease is free the answer would not matter, and a call to a host that is cut off takes
// probeTimeout.
func (m *Manager) probe(ctx context.Context) {
	m.mu.Lock()
	l := m.lease
	now := m.opts.Now()
	overdue := now-m.changedAt > probeAfter || m.inGrace || !m.probed
	due, early := m.earlyProbeDueAt()
	shouldProbe := m.mayProbe() && m.mayProbeAt(now) && (overdue || early && now >= due)
	m.probed = m.probed || shouldProbe
	if shouldProbe {
		m.probedAt = now
	}
	m.mu.Unlock()
	if !shouldProbe {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	holder, err := m.opts.Probe(ctx, l.Address)
	if err != nil {
		m.recordSilentProbe(l)
		return
	}
	if holder == l.Holder {
		m.recordProbeAnswer()
		return
	}
	if holder == "" && !overdue {
		return
	}
	m.opts.Log.WithFields(log.Fields{"owner": l.Holder, "epoch": l.Epoch, "answered": holder}).Info("process of the owner has ended, treating its lease as free")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endedHolder, m.replaced = l.Holder, holder != ""
}

// recordSilentProbe counts a probe that the owner did not answer. After maxSilentProbes in a row the owner is taken to be lost or cut
// off: the lease expires silentMargin after its end, and a grace after a gap between reads is over. The owner's last renewal is no
// longer valid then, as the gap was longer than that.
func (m *Manager) recordSilentProbe(probed Lease) {
	if m.countSilentProbe(probed) {
		m.opts.Log.WithFields(log.Fields{"owner": probed.Holder, "epoch": probed.Epoch}).Info("owner does not answer after an outage of the store, its lease has expired")
	}
}

// countSilentProbe implements recordSilentProbe and reports whether it has ended a grace.
func (m *Manager) countSilentProbe(probed Lease) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.Holder != probed.Holder || m.lease.Renewal != probed.Renewal {
		return false
	}
	if m.silentProbes++; m.silentProbes < maxSilentProbes || !m.inGrace {
		return false
	}
	m.inGrace = false
	m.changedAt = min(m.changedAt, m.opts.Now()-m.lease.validFor()-takeoverMargin)
	return true
}

// recordProbeAnswer is called when the owner answers a probe. In a grace it has the whole of it to renew its lease.
func (m *Manager) recordProbeAnswer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inGrace, m.silentProbes, m.answeredProbeAt = false, 0, m.opts.Now()
}

// mayProbe reports whether the lease has another holder that may still run; the caller holds the lock.
func (m *Manager) mayProbe() bool {
	l := m.lease
	return m.opts.Probe != nil && m.observed && !m.owns && !m.withdrawn && m.leaseVersion != 0 && !l.Released && l.Holder != m.holder && !m.leaseFree()
}

// mayProbeAt reports whether a probe at a time is over before the lease expires: one without a response must not delay the takeover. The
// first one is made in any case. The caller holds the lock.
func (m *Manager) mayProbeAt(at time.Duration) bool {
	return at+probeTimeout <= m.leaseExpiresAt() || !m.probed
}

// earlyProbeDueAt returns when a named successor asks the owner's process next, and false for other candidates and if renewals may
// come less often. The probes also tell the owner that the store serves this host. The caller holds the lock.
func (m *Manager) earlyProbeDueAt() (time.Duration, bool) {
	if !m.mayProbe() || m.lease.validFor() > shortValidity || !slices.Contains(m.lease.Successors, m.opts.Name) {
		return 0, false
	}
	return max(m.changedAt+earlyProbeAfter, m.probedAt+earlyProbeInterval), true
}

// leaseFree reports whether this process may take the lease; the caller holds the lock.
func (m *Manager) leaseFree() bool {
	if m.withdrawn || m.owns || !m.observed {
		return false
	}
	if m.leaseVersion == 0 || m.lease.Released {
		return true
	}
	if m.lease.Holder == m.endedHolder {
		return true
	}
	if m.lease.Holder == m.holder {
		// An earlier takeover by this process was applied although its response was lost.
		return true
	}
	return m.observedUntil >= m.leaseExpiresAt()
}

package ownership

import (
	"context"
	"time"

	"github.com/tamarackworks/tamarackworks/rowstore"
)

// A new owner cannot reach the executors of a data centre that is cut off together with the former owner, and must wait until their
// leases have expired before it starts tasks that may run there. In a burst, most jobs that wait then were accepted after the former
// owner had lost the store. The acceptance cutoff shows which of them the former owner cannot have started.

const (
	// cutoffMargin is added to the time until which a former owner may start jobs that arrive. It covers clocks that run at different
	// rates and the resolution of the times in the lease.
	cutoffMargin = 100 * time.Millisecond
	// cutoffReadTimeout bounds the read of a cutoff; a slow store takes 0.4 s.
	cutoffReadTimeout = time.Second
	// cutoffRetryPause is the pause after a failed read. All candidates read, and the store may refuse reads while feeds go on.
	cutoffRetryPause = 250 * time.Millisecond
)

// acceptanceCutoff is a version of the store that was read when no owner up to the lease at leaseVersion could start a job any more
// that had not arrived before.
type acceptanceCutoff struct {
	leaseVersion uint64
	version      uint64
	// readAt is when the read was sent.
	readAt time.Duration
}

// of returns the cutoff for a takeover from the lease at a version, or 0 if it is not known.
func (c acceptanceCutoff) of(leaseVersion uint64) uint64 {
	if c.leaseVersion != leaseVersion {
		return 0
	}
	return c.version
}

// leaseObservation is what a candidate knows of the lease, for formerStartsEndAt.
type leaseObservation struct {
	lease Lease
	// changedAt is when the lease last changed, epochSeenAt when its epoch was first seen.
	changedAt, epochSeenAt time.Duration
	// stopped is set if the holder has certainly stopped: it released the lease, another process answers at its address, or it is this
	// process, which does not lead now.
	stopped bool
}

// formerStartsEndAt returns the time from which no former owner starts jobs that arrive, if the lease does not change until it is
// taken. The holder starts none later than startsFor after its last renewal was sent, which was before the lease changed. The last
// renewal of an owner before it was applied before the lease of this epoch was written.
func formerStartsEndAt(o leaseObservation) time.Duration {
	end := o.epochSeenAt + fullValidity
	if !o.stopped {
		end = max(end, o.changedAt+o.lease.startsFor())
	}
	return end + cutoffMargin
}

// cutoffDueAt returns when the cutoff for a takeover from the current lease can be read. It returns false if it has been read or is
// not needed. The caller holds the lock.
func (m *Manager) cutoffDueAt() (time.Duration, bool) {
	if m.owns || m.withdrawn || m.readingCutoff || m.leaseVersion == 0 || m.cutoff.leaseVersion == m.leaseVersion {
		return 0, false
	}
	l := m.lease
	// The Holder of a lease that could not be decoded is empty.
	stopped := l.Holder != "" && (l.Released || l.Holder == m.holder || l.Holder == m.endedHolder && m.replaced)
	return max(formerStartsEndAt(leaseObservation{l, m.renewalSeenAt, m.epochSeenAt, stopped}), m.cutoffRetryAt), true
}

// startCutoffRead starts to read the cutoff if it is due. A takeover does not wait for the read, whose result counts until the
// takeover is written: it depends only on the lease that the takeover replaces.
func (m *Manager) startCutoffRead(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Now()
	if due, ok := m.cutoffDueAt(); !ok || now < due {
		return
	}
	m.readingCutoff = true
	leaseVersion := m.leaseVersion
	m.cutoffReads.Go(func() {
		version, err := m.readVersion(ctx)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.readingCutoff = false
		if err != nil {
			m.cutoffRetryAt = m.opts.Now() + cutoffRetryPause
			return
		}
		m.cutoff = acceptanceCutoff{leaseVersion, version, now}
	})
}

// readVersion returns the newest version of the store.
func (m *Manager) readVersion(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, cutoffReadTimeout)
	defer cancel()
	page, err := m.opts.Store.Read(ctx, rowstore.Range{Table: Table, Partition: leasePartition})
	return page.Version, err
}

// Package ownership elects the one process that owns the jobs and the
// executors.
//
// A row of the store holds a lease with a rising epoch. The owner renews it; the
// other processes observe it and take it when it is released, when the owner's
// process has ended, or when the lease has not changed for longer than it is
// valid. A second row, the fence, changes only when the owner changes: the owner
// makes its writes conditional on the version of the fence, so that writes of a
// former owner fail.
//
// Times are on the clock of Options.Now.
package ownership

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/rowstore"
)

// Table holds the lease and the fence and nothing else, because each change of the table wakes all processes that observe it.
const Table = "tamarack_owner"

const leasePartition = "lease"

// Keys of the rows.
var (
	// LeaseKey has its own partition, so that renewals do not queue behind other writes of the owner.
	LeaseKey = rowstore.Key{Table: Table, Partition: leasePartition, Name: "lease"}
	FenceKey = rowstore.Key{Table: Table, Name: "fence"}
)

const (
	// fullInterval is the time between renewals; three of them fit into fullValidity.
	fullInterval = 500 * time.Millisecond
	// fullValidity is how long an owner acts after it sent its last successful renewal. Two renewals fit into it at a store
	// that takes 0.8 s for each.
	fullValidity = 1800 * time.Millisecond
	// Validity is how long at most a former owner may write, and send orders to machines, after it was replaced.
	Validity = fullValidity
	// Continuation is how long after its last successful renewal an owner continues to use the executors that it is in contact
	// with. It is longer than most outages of the store. A new owner adds it to the time after which the leases on an executor
	// that does not respond count as expired.
	Continuation = 8 * time.Second
	// shortValidity and shortInterval replace fullValidity and fullInterval while the store responds promptly, so that a lost
	// owner is replaced sooner. A renewal that takes 0.7 s, or two lost responses, fit into shortValidity if the renewal is sent
	// again after shortHedge.
	shortValidity = 1100 * time.Millisecond
	shortInterval = 300 * time.Millisecond
	shortHedge    = 350 * time.Millisecond
	// shortStartLimit replaces the validity as Manager.ArrivalLimit while the store responds promptly: two shortIntervals, so that a
	// renewal may come late by one of them before jobs that arrive have to wait.
	shortStartLimit = 2 * shortInterval
	// minPromptRenewals is how many renewals in a row must have succeeded within maxPromptRenewal, at the first attempt, before
	// the short times apply.
	minPromptRenewals = 6
	maxPromptRenewal  = 120 * time.Millisecond
	// takeoverMargin is added to the validity of a lease: only if the lease has not changed for the sum does another process
	// take it. It covers timers that fire late.
	takeoverMargin = 400 * time.Millisecond
	// changesWait is how long the store waits for a change before it responds to a read of changes.
	changesWait = 500 * time.Millisecond
	// minChangesWait is the shortest such wait; it bounds the rate of reads.
	minChangesWait = 20 * time.Millisecond
	// maxReadGap, added to changesWait, is the gap between two successful reads after which the time without a change is no
	// longer held against the owner: it may have been cut off from the store too.
	maxReadGap = 1300 * time.Millisecond
	// graceAfterGap is the time that the owner then has to renew the lease, which it tries at least once in maxHedge. The safety
	// of a takeover does not depend on this time, because the last renewal is no longer valid by then.
	graceAfterGap = maxHedge + 200*time.Millisecond
	// callTimeout bounds one call; a takeover writes two partitions, which takes a slow store 1.1 s.
	callTimeout = 2 * time.Second
	// outageReadTimeout bounds a read after one that failed, so that the end of an outage is noticed soon; a slow store takes
	// 0.7 s.
	outageReadTimeout = time.Second
	// outageReadInterval is the time between overlapping reads while the store does not respond.
	outageReadInterval = 250 * time.Millisecond
	// maxSilentProbes is how many probes in a row the owner must have left unanswered to be taken over without a wait for a late
	// renewal. One may be lost, or time out at an owner that is short of processor time.
	maxSilentProbes = 2
	// silentMargin replaces takeoverMargin then. It covers differences between the clocks of two hosts.
	silentMargin = 100 * time.Millisecond
	// fullHedge is the time after which an unanswered renewal is sent again, because the response may be lost. Two responses in a
	// row may get lost within fullValidity.
	fullHedge = 650 * time.Millisecond
	// maxHedge bounds the hedge at a slow store, where it is longer because attempts queue behind each other.
	maxHedge = time.Second
	// renewTries is the maximum number of attempts of one renewal; renewTimeout bounds each of them.
	renewTries   = 3
	renewTimeout = 1500 * time.Millisecond
	// minTerm is how long an owner leads before it hands over to a more suitable successor; loading the state takes up to half
	// a second.
	minTerm = 3 * time.Second
	// maxHandoverLatency is the longest renewal after which the owner hands over within maxHandoverWait: at a slow store a handover
	// takes long. An owner that waits longer may itself be the reason that its renewals are slow.
	maxHandoverLatency = 200 * time.Millisecond
	maxHandoverWait    = 6 * time.Second
	// probeAfter is how long the lease must not have changed before the owner's process is asked whether it still runs. It is
	// longer than fullInterval.
	probeAfter = 750 * time.Millisecond
	// earlyProbeAfter is the same for the successors that the owner names, while renewals come each shortInterval, and
	// earlyProbeInterval the time between their probes. A refused connection counts only after probeAfter: the network may refuse it
	// while the owner still starts jobs.
	earlyProbeAfter    = 450 * time.Millisecond
	earlyProbeInterval = 100 * time.Millisecond
	// probeTimeout bounds that call.
	probeTimeout = 200 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 100 * time.Millisecond
)

// Store is the part of the row store's API that this package uses.
type Store interface {
	Commit(ctx context.Context, txn rowstore.Txn) (uint64, error)
	Read(ctx context.Context, r rowstore.Range) (rowstore.Page, error)
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error)
}

// Lease is the content of the lease row.
type Lease struct {
	Holder string `json:"holder"`
	// Address is where the holder serves calls of other entry hosts.
	Address string `json:"address"`
	// Epoch rises with each takeover, Renewal with each renewal.
	Epoch   uint64 `json:"epoch"`
	Renewal uint64 `json:"renewal"`
	// ValidMS is how long the holder acts after it sent this renewal, in milliseconds.
	ValidMS int64 `json:"valid_ms"`
	// StartsMS is how long after it sent this renewal a job may arrive at the holder at the latest for the holder to start it, in
	// milliseconds. Absent, as in rows of former versions, it is ValidMS.
	StartsMS int64 `json:"starts_ms,omitempty"`
	// Successors are the names of the hosts that are to take over first, in this order.
	Successors []string `json:"successors,omitempty"`
	// Released is set when the holder has given up the lease.
	Released bool `json:"released,omitempty"`
}

// Fence is the content of the fence row.
type Fence struct {
	Epoch   uint64 `json:"epoch"`
	Holder  string `json:"holder"`
	Address string `json:"address"`
}

// Term is one period of ownership, from a takeover until the lease is lost or released.
type Term struct {
	Epoch        uint64
	FenceVersion uint64
	// AcceptedAfter is a version of the store that is certainly later than any job that a former owner may have started: no former
	// owner starts a job of which all rows have a higher version. 0 means that no such version is known.
	AcceptedAfter uint64
	// FormerFenceVersion is the version of the fence of the former owner: jobs of which all rows have a higher version were accepted in
	// its term. 0 means that there was none.
	FormerFenceVersion uint64
}

// Options configure a Manager.
type Options struct {
	Store Store
	// Holder identifies this run of the process, Name its host. Address is where it serves calls of other entry hosts.
	Holder  string
	Name    string
	Address string
	// NewHolder returns a Holder for the time after a resignation. If it is nil, this process never resigns.
	NewHolder func() string
	// StoreAnswered returns when the newest call of this process to the store was sent that got a response, PeersAnswered the same
	// for each other live host, on the clock of Now.
	StoreAnswered func() time.Duration
	PeersAnswered func() []time.Duration
	// Preference is from 0 to 1; candidates with a higher one take over earlier. It reflects the host's processor time.
	Preference float64
	Now        func() time.Duration
	Log        log.Interface
	// Lead runs while this process is the owner; its context ends when the ownership ends. If it returns, the lease is
	// released.
	Lead func(ctx context.Context, term Term) error
	// Probe asks the process at an address for its Holder. It returns "" without an error if the address refuses connections.
	// It may be nil.
	Probe func(ctx context.Context, address string) (holder string, err error)
	// Successors returns the names of the hosts that are to take over from this one, best first. It may be nil.
	Successors func() []string
	// Outranked reports whether another host is much more suitable as the owner. It may be nil.
	Outranked func() bool
	// Metrics may be nil.
	Metrics *Metrics
}

// Manager observes the lease, takes it when it is free, and renews it.
type Manager struct {
	opts Options

	mu sync.Mutex
	// lease is the newest known content of the lease row, leaseVersion its version; fenceVersion is that of the fence row.
	lease        Lease
	leaseVersion uint64
	fenceVersion uint64
	// changedAt is when the lease last changed as seen by this process. A gap between reads moves it forward; see maxReadGap.
	changedAt time.Duration
	// renewalSeenAt is when the lease last changed as seen by this process, which no gap moves.
	renewalSeenAt time.Duration
	// observedUntil is the time up to which the last successful read covers all changes; observed is set by the first one.
	observedUntil time.Duration
	observed      bool
	// probed is set after the first probe, which a process makes right after its start, without waiting for probeAfter.
	probed bool
	// probedAt is when this process last probed.
	probedAt time.Duration
	// epochSeenAt is when this process first saw the lease of the current epoch.
	epochSeenAt time.Duration
	// cutoff is the newest acceptance cutoff that was read; readingCutoff is set while a read of one is in progress.
	cutoff        acceptanceCutoff
	readingCutoff bool
	cutoffReads   sync.WaitGroup
	// cutoffRetryAt is when a cutoff may be read again after a failed read.
	cutoffRetryAt time.Duration
	// owns is set from a takeover until the ownership ends; this process may act as the owner only until validUntil. Of the jobs,
	// it starts those that arrived until startsUntil.
	owns        bool
	validUntil  time.Duration
	startsUntil time.Duration
	// confirmedAt is when the last successful renewal was sent.
	confirmedAt time.Duration
	// holder identifies this process as a holder of the lease; see Holder.
	holder string
	// failed describes the attempts to renew the lease that failed.
	failed failedRenewals
	// withdrawn is set when this process must no longer take the lease.
	withdrawn bool
	// stopLeading ends the leading that goes on, and led is closed when it has ended and the lease is released. Both are nil while
	// this process does not lead.
	stopLeading context.CancelFunc
	led         chan struct{}
	// attemptAt is when this process tries to take the free lease; 0 while the lease is not free.
	attemptAt time.Duration
	// storeLatency is how long the last read took beyond its wait.
	storeLatency time.Duration
	// inGrace is set during the grace after a gap between reads, until the owner has answered a probe. silentProbes counts the probes
	// in a row that it has not answered since the lease last changed.
	inGrace      bool
	silentProbes int
	// answeredProbeAt is when the owner last answered a probe.
	answeredProbeAt time.Duration
	// endedHolder is the last holder whose process has ended. replaced is set if another holder answers at its address; otherwise its
	// address refuses connections, which a network may do while the process runs.
	endedHolder string
	replaced    bool
	// storeSeenAt is when the store last responded.
	storeSeenAt time.Duration
}

// New returns a manager that is idle until Run is called.
func New(opts Options) *Manager { return &Manager{opts: opts, holder: opts.Holder} }

// OwnsJobs reports whether this process may act as the owner of the jobs now.
func (m *Manager) OwnsJobs() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owns && m.opts.Now() < m.validUntil
}

// MayContinue reports whether this process may continue to use the executors that it is in contact with. Another process may
// own them by now: the executors that it has reached reject orders of this process, and for the others it waits until their
// leases have expired.
func (m *Manager) MayContinue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owns && m.opts.Now() < m.confirmedAt+Continuation
}

// ArrivalLimit returns the time until which a job must have arrived for this process to start it. Later jobs may belong to another
// owner, which starts at once what was accepted after this time.
func (m *Manager) ArrivalLimit() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startsUntil
}

// OwnerAddress returns the address of the current owner, or "" if none is known.
func (m *Manager) OwnerAddress() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.Released {
		return ""
	}
	return m.lease.Address
}

// StoreSeen returns when the store last responded to this process.
func (m *Manager) StoreSeen() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeSeenAt
}

// Withdraw prevents this process from taking the lease from now on, ends its ownership and waits until the lease is released or ctx
// ends. The process goes on observing who the owner is, until Run ends. It is called before the process stops.
func (m *Manager) Withdraw(ctx context.Context) {
	m.mu.Lock()
	m.withdrawn = true
	stop, led := m.stopLeading, m.led
	m.mu.Unlock()
	if stop == nil {
		return
	}
	stop()
	select {
	case <-led:
	case <-ctx.Done():
	}
}

// takeOver tries to take the lease and, if it succeeds, leads until the ownership ends.
func (m *Manager) takeOver(ctx context.Context) {
	m.mu.Lock()
	m.attemptAt = 0
	previous, version, fence := m.lease, m.leaseVersion, m.fenceVersion
	next := Lease{Holder: m.holder, Address: m.opts.Address, Epoch: previous.Epoch + 1, ValidMS: fullValidity.Milliseconds()}
	m.mu.Unlock()
	next.Successors = m.successors()
	sent := m.opts.Now()
	written, err := m.write(ctx, next, version, &fence, callTimeout)
	if err != nil {
		m.opts.Log.WithError(err).WithField("epoch", next.Epoch).Warn("takeover failed")
		elapsed.Sleep(ctx, retryPause)
		return
	}
	m.mu.Lock()
	now := m.opts.Now()
	term := Term{Epoch: next.Epoch, FenceVersion: written, AcceptedAfter: m.cutoff.of(version), FormerFenceVersion: fence}
	fields := log.Fields{
		"epoch": next.Epoch, "previous": previous.Holder, "released": previous.Released, "version": written,
		"lease_age_ms": (now - m.changedAt).Milliseconds(), "accepted_after": term.AcceptedAfter,
	}
	if term.AcceptedAfter != 0 {
		fields["cutoff_age_ms"] = (now - m.cutoff.readAt).Milliseconds()
	}
	m.lease, m.leaseVersion, m.fenceVersion = next, written, written
	m.owns, m.validUntil, m.confirmedAt, m.changedAt, m.renewalSeenAt, m.epochSeenAt = true, sent+fullValidity, sent, now, now, now
	m.startsUntil = m.validUntil
	m.mu.Unlock()
	m.opts.Log.WithFields(fields).Info("ownership taken")
	m.opts.Metrics.countTakeover(term.AcceptedAfter != 0)
	m.lead(ctx, term)
}

// write stores the lease if its row is still at version. If fence is not nil, it also stores a new fence, and only if the
// fence row is still at that version.
func (m *Manager) write(ctx context.Context, l Lease, version uint64, fence *uint64, timeout time.Duration) (uint64, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return 0, err
	}
	txn := rowstore.Txn{
		Expect: []rowstore.Expect{{Key: LeaseKey, Version: version}},
		Put:    []rowstore.Row{{Key: LeaseKey, Value: value}},
	}
	if fence != nil {
		fenceValue, err := json.Marshal(Fence{Epoch: l.Epoch, Holder: l.Holder, Address: l.Address})
		if err != nil {
			return 0, err
		}
		txn.Expect = append(txn.Expect, rowstore.Expect{Key: FenceKey, Version: *fence})
		txn.Put = append(txn.Put, rowstore.Row{Key: FenceKey, Value: fenceValue})
		txn.CrossPartition = true
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.opts.Store.Commit(ctx, txn)
}

// lead runs Options.Lead and renews the lease until either ends, and then releases the lease if this process still holds it.
func (m *Manager) lead(ctx context.Context, term Term) {
	leadCtx, stop := context.WithCancel(ctx)
	done, led := make(chan struct{}), make(chan struct{})
	defer close(led)
	m.mu.Lock()
	m.stopLeading, m.led = stop, led
	m.failed = failedRenewals{}
	holder := m.holder
	if m.withdrawn {
		stop()
	}
	m.mu.Unlock()
	go func() {
		defer close(done)
		if err := m.opts.Lead(leadCtx, term); err != nil && leadCtx.Err() == nil {
			m.opts.Log.WithError(err).WithField("epoch", term.Epoch).Error("leading ended")
		}
		stop()
	}()
	resigned := make(chan bool, 1)
	go func() {
		r := m.awaitResignation(leadCtx)
		resigned <- r
		if r {
			stop()
		}
	}()
	reason, timeout := m.renew(leadCtx), callTimeout
	stop()
	m.mu.Lock()
	m.owns = false
	m.mu.Unlock()
	<-done
	if <-resigned {
		// From here on this process does nothing any more that the former holder might have done.
		reason, timeout = "resigned", releaseTimeout
		m.mu.Lock()
		m.holder = m.opts.NewHolder()
		m.mu.Unlock()
		m.opts.Metrics.countResignation()
	}
	m.opts.Log.WithFields(log.Fields{"epoch": term.Epoch, "reason": reason}).Info("ownership ended")
	m.release(term, holder, timeout)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopLeading, m.led = nil, nil
}

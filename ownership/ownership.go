// Package ownership decides which process owns the jobs and the executors. A
// row of the store holds a lease with a rising epoch; a second row, the fence,
// changes only when the owner changes, so that writes of a former owner fail.
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

// Table holds the lease and the fence, and nothing else: each change wakes all followers.
const Table = "tamarack_owner"

const leasePart = "lease"

// Keys of the rows.
var (
	// LeaseKey has a part of its own, so that renewals do not wait behind other writes of the owner.
	LeaseKey = rowstore.Key{Table: Table, Part: leasePart, Name: "lease"}
	FenceKey = rowstore.Key{Table: Table, Name: "fence"}
)

const (
	// renewInterval leaves time for three renewals within the validity.
	renewInterval = 500 * time.Millisecond
	// validity is how long an owner acts after it sent its last successful renewal. Two renewals at a store that takes
	// 0.8 s for each fit into it.
	validity = 1800 * time.Millisecond
	// Validity bounds how long a former owner may write, and give orders to machines, after it was replaced.
	Validity = validity
	// Continuation is how long after its last successful renewal an owner goes on with the executors that it is in contact
	// with. It outlives most outages of the store; a new owner waits for it before it takes a silent executor's leases for
	// lapsed.
	Continuation = 8 * time.Second
	// shortValidity and shortInterval take their place while the store answers at once, so that a lost owner is replaced
	// sooner. A renewal that takes 0.7 s, or two lost answers, fit into it if it is sent again after shortHedge.
	shortValidity = 1100 * time.Millisecond
	shortInterval = 300 * time.Millisecond
	shortHedge    = 350 * time.Millisecond
	// steadyRenewals renewals in a row must have been answered within promptRenewal at the first attempt before.
	steadyRenewals = 6
	promptRenewal  = 120 * time.Millisecond
	// takeoverMargin is how much longer than its validity a lease must not change before another process takes it; it covers
	// timers that fire late.
	takeoverMargin = 400 * time.Millisecond
	// observeWait is how long a read of changes waits at the store.
	observeWait = 500 * time.Millisecond
	// minWait bounds the rate of reads.
	minWait = 20 * time.Millisecond
	// observeGap between two successful reads makes the observation start anew: the owner may have been cut off too.
	observeGap = 1300 * time.Millisecond
	// graceAfterGap is what the owner has then to renew the lease, which it tries at least once in maxRenewHedge. Its last
	// renewal has lapsed, so that a takeover does not depend on this time for its safety.
	graceAfterGap = maxRenewHedge + 200*time.Millisecond
	// callTimeout bounds one call; a takeover spans two parts, which takes a slow store 1.1 s.
	callTimeout = 2 * time.Second
	// downTimeout bounds a read after one that failed, so that the return of the store is noticed; a slow store takes 0.7 s.
	downTimeout = time.Second
	// renewHedge is when a renewal that has not been answered is sent again, because the answer may be lost. Two answers in
	// a row may get lost within the validity.
	renewHedge = 650 * time.Millisecond
	// maxRenewHedge bounds it at a store that answers late: the attempts wait for each other there.
	maxRenewHedge = time.Second
	// renewTries bounds the attempts that are under way, renewTimeout each of them.
	renewTries   = 3
	renewTimeout = 1500 * time.Millisecond
	// minTerm is how long an owner leads before it hands over to a successor that suits better; loading the state takes up to
	// half a second.
	minTerm = 3 * time.Second
	// handOverWithin is the longest renewal after which it does so: at a slow store a change of the owner takes long.
	handOverWithin = 200 * time.Millisecond
	// suspectAfter is how long the lease must not change before the owner's process is asked whether it still runs; it
	// exceeds renewInterval.
	suspectAfter = 750 * time.Millisecond
	// probeTimeout bounds the question.
	probeTimeout = 200 * time.Millisecond
	// retryPause spaces calls after a failure.
	retryPause = 100 * time.Millisecond
)

// Store is what ownership needs of the row store.
type Store interface {
	Commit(ctx context.Context, txn rowstore.Txn) (uint64, error)
	Read(ctx context.Context, r rowstore.Range) (rowstore.Page, error)
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error)
}

// Lease is the content of the lease row.
type Lease struct {
	Holder string `json:"holder"`
	// Address is where the holder answers other entry hosts.
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch"`
	Renewal uint64 `json:"renewal"`
	// ValidMS is how long the holder acts after it sent this renewal, in milliseconds.
	ValidMS int64 `json:"valid_ms"`
	// Successors are the names of the hosts that take over first, in this order.
	Successors []string `json:"successors,omitempty"`
	Released   bool     `json:"released,omitempty"`
}

// Fence is the content of the fence row.
type Fence struct {
	Epoch   uint64 `json:"epoch"`
	Holder  string `json:"holder"`
	Address string `json:"address"`
}

// Term is one period of ownership.
type Term struct {
	Epoch        uint64
	FenceVersion uint64
}

// Options configure a Manager.
type Options struct {
	Store Store
	// Holder is unique to this run of the process, Name to its host.
	Holder  string
	Name    string
	Address string
	// Preference from 0 to 1 lets hosts with more processor time take over first.
	Preference float64
	Now        func() time.Duration
	Log        log.Interface
	// Lead runs while this process owns; its context ends when it does not any more.
	Lead func(ctx context.Context, term Term) error
	// Probe asks which run of a process answers at an address. It returns "" without an error if the address refuses
	// connections. It may be nil.
	Probe func(ctx context.Context, address string) (holder string, err error)
	// Successors names the hosts that are to take over from this one, best first. It may be nil.
	Successors func() []string
	// Outranked reports whether a successor suits much better as the owner. It may be nil.
	Outranked func() bool
}

// Manager observes the lease, takes it when it is free, and renews it.
type Manager struct {
	opts Options

	mu sync.Mutex
	// lease is the newest content seen, at version.
	lease        Lease
	leaseVersion uint64
	fenceVersion uint64
	// changedAt is when the lease last changed, as far as the observation was without a gap.
	changedAt time.Duration
	// readAt is the moment up to which the last successful read showed all changes.
	readAt time.Duration
	known  bool
	// probed is set once an owner was asked; a process that has just started asks at once.
	probed     bool
	owns       bool
	validUntil time.Duration
	// confirmedAt is when the last successful renewal was sent.
	confirmedAt time.Duration
	refused     bool
	// turnAt is when this process takes a lease that is free, 0 while it is not.
	turnAt time.Duration
	// latency is how long the store last took to answer.
	latency time.Duration
	// gone is the holder whose process has ended for sure.
	gone      string
	reachable time.Duration
}

// New returns a manager that does nothing before Run.
func New(opts Options) *Manager { return &Manager{opts: opts} }

// Valid reports whether this process may act as the owner now.
func (m *Manager) Valid() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owns && m.opts.Now() < m.validUntil
}

// MayContinue reports whether this process may go on with the executors that it is in contact with. Another process may own
// them by now; executors that it has reached reject orders of this one, and for the others it waits.
func (m *Manager) MayContinue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owns && m.opts.Now() < m.confirmedAt+Continuation
}

// ValidUntil returns up to when this process is the owner for sure.
func (m *Manager) ValidUntil() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.validUntil
}

// OwnerAddress returns where the current owner answers, or "" if none is known.
func (m *Manager) OwnerAddress() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.Released {
		return ""
	}
	return m.lease.Address
}

// StoreSeen returns when the store last answered this process.
func (m *Manager) StoreSeen() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachable
}

// Refuse keeps this process from taking the lease, because it is about to stop.
func (m *Manager) Refuse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused = true
}

// takeOver tries to become the owner and leads until the lease is lost.
func (m *Manager) takeOver(ctx context.Context) {
	m.mu.Lock()
	m.turnAt = 0
	previous, version, fence := m.lease, m.leaseVersion, m.fenceVersion
	m.mu.Unlock()
	next := Lease{Holder: m.opts.Holder, Address: m.opts.Address, Epoch: previous.Epoch + 1, ValidMS: validity.Milliseconds(), Successors: m.successors()}
	sent := m.opts.Now()
	written, err := m.write(ctx, next, version, &fence, callTimeout)
	if err != nil {
		m.opts.Log.WithError(err).WithField("epoch", next.Epoch).Warn("takeover failed")
		elapsed.Sleep(ctx, retryPause)
		return
	}
	m.mu.Lock()
	m.lease, m.leaseVersion, m.fenceVersion = next, written, written
	m.owns, m.validUntil, m.confirmedAt, m.changedAt = true, sent+validity, sent, m.opts.Now()
	m.mu.Unlock()
	m.opts.Log.WithFields(log.Fields{
		"epoch": next.Epoch, "previous": previous.Holder, "released": previous.Released, "version": written,
	}).Info("ownership taken")
	m.lead(ctx, Term{Epoch: next.Epoch, FenceVersion: written})
}

// write puts the lease row, and the fence row if fence is set, if both are unchanged.
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
		txn.AcrossParts = true
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.opts.Store.Commit(ctx, txn)
}

func (m *Manager) lead(ctx context.Context, term Term) {
	leadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := m.opts.Lead(leadCtx, term); err != nil && leadCtx.Err() == nil {
			m.opts.Log.WithError(err).WithField("epoch", term.Epoch).Error("leading ended")
		}
		stop()
	}()
	reason := m.renew(leadCtx)
	stop()
	m.mu.Lock()
	m.owns = false
	m.mu.Unlock()
	<-done
	m.opts.Log.WithFields(log.Fields{"epoch": term.Epoch, "reason": reason}).Info("ownership ended")
	m.release(term)
}

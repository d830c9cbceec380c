// Package leader elects the leader of one data centre by a lease.
//
// The lease is a row of the platform's table. It does not require synchronized clocks: a candidate takes over
// when the version of the row has not changed for the time to live, measured by the candidate's own monotonic
// clock. Each control transaction of a leader carries a precondition on the fence row, whose version
// changes only at takeover, so a leader that was paused past its lease cannot write.
package leader

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/tamarackworks/tamarackworks/cloud"
)

// Default times of the lease; see section 6 of the design.
const (
	DefaultTTL           = 5 * time.Second
	DefaultRenewInterval = time.Second
	DefaultGracePeriod   = 3 * time.Second
)

// ErrLost means that another process has taken over the lease.
var ErrLost = errors.New("leader: lease is held by another process")

// Options configure a Leader.
type Options struct {
	Table      cloud.Table
	DataCentre string
	// Holder is the name of this process in the lease row. A random nonce distinguishes its incarnations.
	Holder string
	// TTL is how long the lease row must stay unchanged before a candidate takes over. The default is DefaultTTL.
	TTL time.Duration
	// RenewInterval is the interval between renewals, and between the reads of a candidate. The default is
	// DefaultRenewInterval.
	RenewInterval time.Duration
	// GracePeriod is how long a leader may act after it started its last confirmed renewal. It must be shorter than TTL.
	// The default is DefaultGracePeriod.
	GracePeriod time.Duration
	Log         log.Interface
}

// Lease is the right to act as the leader of a data centre.
type Lease struct {
	// Epoch increases by one at each takeover.
	Epoch uint64
	// Fence must be a precondition of each control transaction under this lease.
	Fence cloud.Precondition
}

// Record is the content of the lease row.
type Record struct {
	// Holder is empty after a resignation.
	Holder string `json:"holder"`
	Nonce  string `json:"nonce"`
	Epoch  uint64 `json:"epoch"`
	// Renewal counts the renewals in this epoch.
	Renewal uint64 `json:"renewal"`
}

// fenceRecord is the content of the fence row.
type fenceRecord struct {
	Epoch uint64 `json:"epoch"`
}

// Leader campaigns for the lease and renews it.
type Leader struct {
	opts  Options
	nonce string

	// sem serializes the table operations of Run and Resign. It is a channel so that waiting for it ends with a context.
	sem chan struct{}

	mu       sync.Mutex
	held     bool
	resigned bool
	lease    Lease
	// confirmedAt is the time just before the last confirmed write of the lease row was sent.
	confirmedAt time.Time

	// The fields below are used only while sem is held.

	// version and record are the version and content of the lease row when this process last read or wrote it.
	version uint64
	record  Record
	// versionSeenAt is when this process, as a candidate, first read the current version.
	versionSeenAt time.Time
}

// New returns a Leader. It does nothing until Run is called.
func New(opts Options) *Leader {
	if opts.TTL <= 0 {
		opts.TTL = DefaultTTL
	}
	if opts.RenewInterval <= 0 {
		opts.RenewInterval = DefaultRenewInterval
	}
	if opts.GracePeriod <= 0 {
		opts.GracePeriod = DefaultGracePeriod
	}
	if opts.Log == nil {
		opts.Log = log.Log
	}
	return &Leader{opts: opts, nonce: uuid.NewString(), sem: make(chan struct{}, 1)}
}

// LeaseKey returns the key of the lease row of a data centre.
func LeaseKey(dataCentre string) string { return "leader/" + dataCentre }

// FenceKey returns the key of the fence row of a data centre.
func FenceKey(dataCentre string) string { return "fence/" + dataCentre }

// Lead returns the lease and true if this process may act as leader now.
func (l *Leader) Lead() (Lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || l.resigned || time.Since(l.confirmedAt) >= l.opts.GracePeriod {
		return Lease{}, false
	}
	return l.lease, true
}

// Run campaigns for the lease and renews it until ctx ends or Resign is called. It does not give up the lease when it
// returns.
func (l *Leader) Run(ctx context.Context) {
	ticker := time.NewTicker(l.opts.RenewInterval)
	defer ticker.Stop()
	for {
		if !l.acquire(ctx) {
			return
		}
		l.mu.Lock()
		held, resigned := l.held, l.resigned
		l.mu.Unlock()
		if resigned {
			l.release()
			return
		}
		// The timeout leaves time for a second attempt within the grace period.
		opCtx, cancel := context.WithTimeout(ctx, l.opts.GracePeriod-l.opts.RenewInterval)
		var err error
		if held {
			err = l.renew(opCtx)
		} else {
			err = l.campaign(opCtx)
		}
		cancel()
		l.release()
		if err != nil && ctx.Err() == nil {
			l.opts.Log.WithError(err).WithField("dc", l.opts.DataCentre).Warn("leader lease operation failed")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Resign makes Lead return false at once and gives up the lease, so that a candidate does not have to wait for the time
// to live.
func (l *Leader) Resign(ctx context.Context) error {
	l.mu.Lock()
	held := l.held
	l.resigned = true
	l.mu.Unlock()
	if !l.acquire(ctx) {
		return ctx.Err()
	}
	defer l.release()
	l.mu.Lock()
	held = held || l.held
	l.held = false
	l.mu.Unlock()
	if !held {
		return nil
	}
	record := l.record
	record.Holder, record.Nonce = "", ""
	_, err := l.opts.Table.Commit(ctx, cloud.Txn{
		Preconditions: []cloud.Precondition{{Key: LeaseKey(l.opts.DataCentre), Version: l.version}},
		Ops:           []cloud.Op{putOp(LeaseKey(l.opts.DataCentre), record)},
	})
	if err == nil || errors.Is(err, cloud.ErrConflict) {
		return nil
	}
	return errors.Wrap(err, "resign")
}

// acquire takes sem. It returns false if ctx ends first.
func (l *Leader) acquire(ctx context.Context) bool {
	select {
	case l.sem <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Leader) release() { <-l.sem }

// campaign reads the lease row and takes over the lease if it is free or was not renewed for the time to live.
func (l *Leader) campaign(ctx context.Context) error {
	record, version, err := l.readLease(ctx)
	if err != nil {
		return err
	}
	if version != l.version || l.versionSeenAt.IsZero() {
		l.version, l.versionSeenAt = version, time.Now()
	}
	l.record = record
	switch {
	case record.Nonce == l.nonce:
		// An earlier write of this process took effect although its result was lost.
		return l.resumeLease(ctx)
	case version != 0 && record.Holder != "" && time.Since(l.versionSeenAt) < l.opts.TTL:
		return nil
	}
	return l.takeOver(ctx)
}

// takeOver writes the lease row for the next epoch, together with the fence row, unless the lease row has changed.
func (l *Leader) takeOver(ctx context.Context) error {
	next := Record{Holder: l.opts.Holder, Nonce: l.nonce, Epoch: l.record.Epoch + 1}
	startedAt := time.Now()
	version, err := l.opts.Table.Commit(ctx, cloud.Txn{
		Preconditions: []cloud.Precondition{{Key: LeaseKey(l.opts.DataCentre), Version: l.version}},
		Ops: []cloud.Op{
			putOp(LeaseKey(l.opts.DataCentre), next),
			putOp(FenceKey(l.opts.DataCentre), fenceRecord{Epoch: next.Epoch}),
		},
	})
	switch {
	case err == nil:
		l.version, l.record = version, next
		l.setHeld(next.Epoch, version, startedAt)
		l.opts.Log.WithFields(log.Fields{"dc": l.opts.DataCentre, "epoch": next.Epoch}).Info("took over leadership")
		return nil
	case errors.Is(err, cloud.ErrConflict):
		return nil
	}
	// If the write was ambiguous, the next read shows whether the row has the nonce of this process.
	return errors.Wrap(err, "take over")
}

// resumeLease renews a lease that the row shows under the nonce of this process but that was not confirmed.
func (l *Leader) resumeLease(ctx context.Context) error {
	row, err := l.opts.Table.Get(ctx, FenceKey(l.opts.DataCentre))
	if err != nil {
		return errors.Wrap(err, "read fence")
	}
	var fence fenceRecord
	if err := json.Unmarshal(row.Value, &fence); err != nil {
		return errors.Wrap(err, "decode fence")
	}
	if fence.Epoch != l.record.Epoch {
		return nil
	}
	// This process may act only after a renewal whose start time is known.
	return l.writeRenewal(ctx, row.Version)
}

// renew writes the next renewal. After a conflict it reads the row, because an earlier renewal of this process may have
// taken effect. It returns ErrLost if another process has the lease.
func (l *Leader) renew(ctx context.Context) error {
	l.mu.Lock()
	fenceVersion := l.lease.Fence.Version
	l.mu.Unlock()
	err := l.writeRenewal(ctx, fenceVersion)
	if err == nil || errors.Is(err, cloud.ErrUnavailable) {
		return err
	}
	record, version, readErr := l.readLease(ctx)
	if readErr != nil {
		return errors.Join(err, readErr)
	}
	if record.Nonce != l.nonce {
		l.mu.Lock()
		l.held = false
		l.mu.Unlock()
		l.version, l.record, l.versionSeenAt = version, record, time.Now()
		return ErrLost
	}
	l.version, l.record = version, record
	return l.writeRenewal(ctx, fenceVersion)
}

// writeRenewal writes the next renewal on top of the known version of the lease row.
func (l *Leader) writeRenewal(ctx context.Context, fenceVersion uint64) error {
	next := l.record
	next.Renewal++
	startedAt := time.Now()
	version, err := l.opts.Table.Commit(ctx, cloud.Txn{
		Preconditions: []cloud.Precondition{{Key: LeaseKey(l.opts.DataCentre), Version: l.version}},
		Ops:           []cloud.Op{putOp(LeaseKey(l.opts.DataCentre), next)},
	})
	if err != nil {
		return errors.Wrap(err, "renew")
	}
	l.version, l.record = version, next
	l.setHeld(next.Epoch, fenceVersion, startedAt)
	return nil
}

// setHeld records a confirmed write of the lease row.
func (l *Leader) setHeld(epoch, fenceVersion uint64, confirmedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.confirmedAt = true, confirmedAt
	l.lease = Lease{
		Epoch: epoch,
		Fence: cloud.Precondition{Key: FenceKey(l.opts.DataCentre), Version: fenceVersion},
	}
}

// readLease returns the lease row and its version, or zero values if there is none.
func (l *Leader) readLease(ctx context.Context) (Record, uint64, error) {
	row, err := l.opts.Table.Get(ctx, LeaseKey(l.opts.DataCentre))
	if errors.Is(err, cloud.ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, errors.Wrap(err, "read lease")
	}
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Record{}, 0, errors.Wrap(err, "decode lease")
	}
	return record, row.Version, nil
}

// putOp returns the operation that writes a value as JSON.
func putOp(key string, value any) cloud.Op {
	// The values contain only strings and numbers, so encoding cannot fail.
	data, _ := json.Marshal(value)
	return cloud.Op{Key: key, Value: data}
}

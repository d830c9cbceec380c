package frontend

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/rowstore"
)

// writeHedged applies a conditional or idempotent transaction until its outcome is certain or ctx ends. It tries the primary
// partition, the owner and the fallback partition, because the store may be unreachable from this host only, or fail in some
// partitions only. A conflict means that the rows exist already. If all three paths certainly fail, it returns at once.
// storeViaOwner is told whether a direct write may have been or may yet be applied.
func (f *Frontend) writeHedged(
	ctx context.Context, txn func(partition string) rowstore.Txn, id string, storeViaOwner func(ctx context.Context, uncertain bool) error,
) (outcome Outcome, tries int, err error) {
	var unsettled atomic.Int32
	commit := func(ctx context.Context, partition string) (uint64, error) {
		unsettled.Add(1)
		err := f.commit(ctx, txn(partition))
		if err == nil || errors.Is(err, rowstore.ErrUnavailable) {
			unsettled.Add(-1)
		}
		return 0, err
	}
	primary := func(ctx context.Context) (uint64, error) { return commit(ctx, SubmitPartition(id)) }
	fallback := func(ctx context.Context) (uint64, error) { return commit(ctx, FallbackSubmitPartition(id)) }
	viaOwner := func(ctx context.Context) (uint64, error) { return 0, storeViaOwner(ctx, unsettled.Load() > 0) }
	r, err := rowstore.Race(ctx, rowstore.RaceOptions{HedgeDelay: hedgeDelay, GiveUpAfter: 3},
		[]rowstore.Attempt{primary, viaOwner, fallback, viaOwner, primary})
	switch {
	case err == nil, errors.Is(err, rowstore.ErrConflict):
		return OK, r.Tries, nil
	case errors.Is(err, rowstore.ErrUnavailable):
		return Unavailable, r.Tries, err
	case errors.Is(err, rowstore.ErrInvalid):
		return Rejected, r.Tries, err
	}
	return Unknown, r.Tries, err
}

// errStoreUnresponsive means that the write was not attempted; see Options.StoreResponsive.
var errStoreUnresponsive = errors.Wrap(rowstore.ErrUnavailable, "no recent response from the store")

// commit applies a transaction once, from this host, unless the store is known to be unresponsive.
func (f *Frontend) commit(ctx context.Context, txn rowstore.Txn) error {
	if !f.opts.StoreResponsive() {
		return errStoreUnresponsive
	}
	_, err := f.opts.Store.Commit(ctx, txn)
	return err
}

// withTimeout calls f with a context that ends after timeout.
func withTimeout(ctx context.Context, timeout time.Duration, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(ctx)
}

// StoreJob stores an encoded job on behalf of another host. It is idempotent. uncertain means that an attempt on another path may
// store the job; then, and for a job of which this was said before, the error never matches rowstore.ErrUnavailable.
func (f *Frontend) StoreJob(ctx context.Context, id string, value []byte, uncertain bool) error {
	now := f.opts.Now()
	defer f.submitted.begin(id)()
	err := f.commitForPeer(ctx, func(partition string) rowstore.Txn { return jobTxn(partition, id, value) }, id)
	if err == nil || errors.Is(err, rowstore.ErrConflict) {
		return nil
	}
	f.submitted.record(id, now, uncertain || !errors.Is(err, rowstore.ErrUnavailable))
	if errors.Is(err, rowstore.ErrUnavailable) && f.submitted.isUncertain(id, now) {
		return errors.Wrap(rowstore.ErrAmbiguous, "an earlier attempt may have stored the job")
	}
	return err
}

// StoreCancel stores a cancellation on behalf of another host. It is idempotent.
func (f *Frontend) StoreCancel(ctx context.Context, id string) error {
	return f.commitForPeer(ctx, func(partition string) rowstore.Txn { return cancelTxn(partition, id) }, id)
}

// commitForPeer writes to the primary partition, and to the fallback one only if the first write certainly had no
// effect.
func (f *Frontend) commitForPeer(ctx context.Context, txn func(partition string) rowstore.Txn, id string) error {
	err := f.commit(ctx, txn(SubmitPartition(id)))
	if errors.Is(err, rowstore.ErrUnavailable) {
		return f.commit(ctx, txn(FallbackSubmitPartition(id)))
	}
	return err
}

// jobTxn creates the row of a job unless it exists.
func jobTxn(partition, id string, value []byte) rowstore.Txn {
	key := rowstore.Key{Table: JobTable, Partition: partition, Name: id}
	return rowstore.Txn{Expect: []rowstore.Expect{{Key: key}}, Put: []rowstore.Row{{Key: key, Value: value}}}
}

func cancelTxn(partition, id string) rowstore.Txn {
	key := rowstore.Key{Table: CancelTable, Partition: partition, Name: id}
	return rowstore.Txn{Put: []rowstore.Row{{Key: key, Value: []byte("{}")}}}
}

// exists queries the owner first, which knows nearly all jobs, and then the store.
func (f *Frontend) exists(ctx context.Context, id string) (bool, error) {
	known := false
	err := withTimeout(ctx, ownerTimeout, func(ctx context.Context) (err error) {
		_, known, err = f.opts.Owner.JobStatus(ctx, id)
		return err
	})
	if err == nil && known {
		return true, nil
	}
	return f.isStored(ctx, id)
}

// isStored looks for the row of a job in its primary and its fallback partition in parallel. The job is absent only if both
// have been read.
func (f *Frontend) isStored(ctx context.Context, id string) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		row *rowstore.Row
		err error
	}
	results := make(chan result, 2)
	for _, partition := range []string{SubmitPartition(id), FallbackSubmitPartition(id)} {
		go func() {
			row, err := f.get(ctx, rowstore.Key{Table: JobTable, Partition: partition, Name: id})
			results <- result{row, err}
		}()
	}
	var readErr error
	for range 2 {
		r := <-results
		if r.row != nil {
			return true, nil
		}
		if r.err != nil {
			readErr = r.err
		}
	}
	return false, readErr
}

// get reads one row, or returns nil if it is absent. It retries failures until the deadline of ctx.
func (f *Frontend) get(ctx context.Context, key rowstore.Key) (*rowstore.Row, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := f.opts.Store.Read(callCtx, rowstore.Range{Table: key.Table, Partition: key.Partition, From: key.Name, Limit: 1})
		cancel()
		if err == nil {
			if len(page.Rows) == 1 && page.Rows[0].Key == key {
				return &page.Rows[0], nil
			}
			return nil, nil
		}
		if !sleep(ctx, retryDelay) {
			return nil, err
		}
	}
}

// sleep waits for d. It returns false if ctx ends first, and at once if the deadline of ctx is less than d away, because
// another call could not be answered before it.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d {
		return false
	}
	return elapsed.Sleep(ctx, d)
}

package frontend

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/rowstore"
)

// write stores rows by a conditional or idempotent transaction until the outcome is certain or the time is up: in the part
// of the job, by the owner, and in the spare part, because the store may turn away this host or fail in some parts only. A
// conflict means that the rows are there already. When all refuse, so does the answer, at once.
func (f *Frontend) write(
	ctx context.Context, txn func(part string) rowstore.Txn, id string, relay func(context.Context) error,
) (outcome Outcome, tries int, err error) {
	direct := func(ctx context.Context) (uint64, error) { return 0, f.writeOnce(ctx, txn(SubmitPart(id))) }
	spare := func(ctx context.Context) (uint64, error) { return 0, f.writeOnce(ctx, txn(SpareSubmitPart(id))) }
	byOwner := func(ctx context.Context) (uint64, error) { return 0, relay(ctx) }
	r, err := rowstore.Race(ctx, rowstore.RaceOptions{Every: hedgeAfter, Refusals: 3},
		[]rowstore.Attempt{direct, byOwner, spare, byOwner, direct})
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

// errStoreSilent means that the write was not tried.
var errStoreSilent = errors.Wrap(rowstore.ErrUnavailable, "the store has not answered lately")

func (f *Frontend) writeOnce(ctx context.Context, txn rowstore.Txn) error {
	if !f.opts.StoreAnswers() {
		return errStoreSilent
	}
	_, err := f.opts.Store.Commit(ctx, txn)
	return err
}

func call(ctx context.Context, timeout time.Duration, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(ctx)
}

// StoreJob stores a job for another host. The same id is one job.
func (f *Frontend) StoreJob(ctx context.Context, id string, value []byte) error {
	err := f.writeForOther(ctx, func(part string) rowstore.Txn { return jobTxn(part, id, value) }, id)
	if errors.Is(err, rowstore.ErrConflict) {
		return nil
	}
	return err
}

// StoreCancel stores a cancellation for another host.
func (f *Frontend) StoreCancel(ctx context.Context, id string) error {
	return f.writeForOther(ctx, func(part string) rowstore.Txn { return cancelTxn(part, id) }, id)
}

// writeForOther tries the spare part only if the other one certainly has not taken the rows.
func (f *Frontend) writeForOther(ctx context.Context, txn func(part string) rowstore.Txn, id string) error {
	err := f.writeOnce(ctx, txn(SubmitPart(id)))
	if errors.Is(err, rowstore.ErrUnavailable) {
		return f.writeOnce(ctx, txn(SpareSubmitPart(id)))
	}
	return err
}

func jobTxn(part, id string, value []byte) rowstore.Txn {
	key := rowstore.Key{Table: JobTable, Part: part, Name: id}
	return rowstore.Txn{Expect: []rowstore.Expect{{Key: key}}, Put: []rowstore.Row{{Key: key, Value: value}}}
}

func cancelTxn(part, id string) rowstore.Txn {
	key := rowstore.Key{Table: CancelTable, Part: part, Name: id}
	return rowstore.Txn{Put: []rowstore.Row{{Key: key, Value: []byte("{}")}}}
}

// exists asks the owner first, which knows nearly all jobs, and else the store.
func (f *Frontend) exists(ctx context.Context, id string) (bool, error) {
	known := false
	err := call(ctx, ownerTimeout, func(ctx context.Context) (err error) {
		_, known, err = f.opts.Owner.JobStatus(ctx, id)
		return err
	})
	if err == nil && known {
		return true, nil
	}
	return f.isStored(ctx, id)
}

// isStored looks for the row of a job in both of its parts at the same time. A job is absent only if both have been read.
func (f *Frontend) isStored(ctx context.Context, id string) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		row *rowstore.Row
		err error
	}
	results := make(chan result, 2)
	for _, part := range []string{SubmitPart(id), SpareSubmitPart(id)} {
		go func() {
			row, err := f.get(ctx, rowstore.Key{Table: JobTable, Part: part, Name: id})
			results <- result{row, err}
		}()
	}
	var failed error
	for range 2 {
		r := <-results
		if r.row != nil {
			return true, nil
		}
		if r.err != nil {
			failed = r.err
		}
	}
	return false, failed
}

// get reads one row, or nil if it is absent. Failures are repeated while there is time.
func (f *Frontend) get(ctx context.Context, key rowstore.Key) (*rowstore.Row, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		page, err := f.opts.Store.Read(callCtx, rowstore.Range{Table: key.Table, Part: key.Part, From: key.Name, Limit: 1})
		cancel()
		if err == nil {
			if len(page.Rows) == 1 && page.Rows[0].Key == key {
				return &page.Rows[0], nil
			}
			return nil, nil
		}
		if !sleep(ctx, retryPause) {
			return nil, err
		}
	}
}

// sleep waits unless ctx ends first, or would end before the next call could be answered.
func sleep(ctx context.Context, d time.Duration) bool {
	if limit, ok := ctx.Deadline(); ok && time.Until(limit) < d {
		return false
	}
	return elapsed.Sleep(ctx, d)
}

package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/frontend"
	"github.com/tamarackworks/tamarackworks/ownership"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/scheduler"
)

const (
	// maxRecords and maxOwnRows keep a transaction below 100 entries: each row is an expectation and a write.
	maxRecords = 28
	maxOwnRows = 20
	// commitGap gathers the ends of several tasks into one transaction.
	commitGap = 15 * time.Millisecond
	// commitTimeout bounds one attempt. A slow store takes 0.7 s, which includes the wait for its part.
	commitTimeout = 2 * time.Second
	// commitHedge is when a transaction that has not been answered is sent again, because the answer may be lost.
	commitHedge = 450 * time.Millisecond
	// commitTries bounds the attempts that are under way.
	commitTries = 4
	// commitRetry spaces attempts, below the rate limits of the store.
	commitRetry = 80 * time.Millisecond
)

// ownRows holds rows that only the owner writes, beside the records of jobs.
type ownRows struct {
	versions map[rowstore.Key]uint64
	// dirty holds the values to be stored; nil removes the row.
	dirty map[rowstore.Key][]byte
}

func newOwnRows() *ownRows {
	return &ownRows{versions: make(map[rowstore.Key]uint64), dirty: make(map[rowstore.Key][]byte)}
}

// loaded notes the version of a stored row.
func (o *ownRows) loaded(r rowstore.Row) { o.versions[r.Key] = r.Version }

func (o *ownRows) put(key rowstore.Key, value []byte) { o.dirty[key] = value }

func (o *ownRows) remove(key rowstore.Key) { o.dirty[key] = nil }

// take adds some of the changes to a transaction.
func (o *ownRows) take(txn *rowstore.Txn) {
	n := 0
	for key, value := range o.dirty {
		if n++; n > maxOwnRows {
			return
		}
		delete(o.dirty, key)
		version := o.versions[key]
		switch {
		case value != nil:
			txn.Put = append(txn.Put, rowstore.Row{Key: key, Value: value})
		case version != 0:
			txn.Delete = append(txn.Delete, key)
		default:
			// The row was never stored.
			continue
		}
		txn.Expect = append(txn.Expect, rowstore.Expect{Key: key, Version: version})
	}
}

// committed is the event that a commit has ended.
type committed struct {
	commit  *scheduler.Commit
	txn     rowstore.Txn
	version uint64
	took    time.Duration
	err     error
}

// startCommit stores what changed, one transaction at a time.
func (l *lead) startCommit(now time.Duration) {
	if l.committing || now < l.commitAt {
		return
	}
	commit := l.core.TakeCommit(maxRecords)
	if commit == nil {
		if len(l.rows.dirty) == 0 {
			return
		}
		commit = &scheduler.Commit{}
	}
	txn, err := l.transaction(commit)
	if err != nil {
		l.log.WithError(err).Error("record cannot be stored")
		return
	}
	if len(txn.Put)+len(txn.Delete) == 0 {
		l.acknowledge(commit)
		return
	}
	l.committing = true
	go func() {
		began := l.opts.Now()
		version, err := l.commit(txn)
		l.emit(committed{commit, txn, version, l.opts.Now() - began, err})
	}()
}

// transaction builds the writes of a commit, each conditional on the version that this owner knows.
func (l *lead) transaction(commit *scheduler.Commit) (rowstore.Txn, error) {
	txn := rowstore.Txn{Expect: []rowstore.Expect{{Key: ownership.FenceKey, Version: l.term.FenceVersion}}}
	for _, w := range commit.Writes {
		value, err := w.Record.Encode()
		if err != nil {
			return txn, errors.Wrap(err, w.Job)
		}
		key := rowstore.Key{Table: frontend.RecordTable, Name: w.Job}
		txn.Expect = append(txn.Expect, rowstore.Expect{Key: key, Version: w.Version})
		txn.Put = append(txn.Put, rowstore.Row{Key: key, Value: value})
	}
	l.rows.take(&txn)
	return txn, nil
}

// commit repeats a transaction until its outcome is certain.
func (l *lead) commit(txn rowstore.Txn) (uint64, error) {
	attempt := func(ctx context.Context) (uint64, error) {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		return l.opts.Store.Commit(ctx, txn)
	}
	for {
		r, err := rowstore.Race(l.ctx, rowstore.RaceOptions{Every: commitHedge}, rowstore.Repeat(commitTries, attempt))
		l.opts.Metrics.repeated(r.Tries)
		var conflict *rowstore.ConflictError
		switch {
		case err == nil:
			return r.Version, nil
		case errors.As(err, &conflict):
			return l.resolve(txn, conflict.Rows)
		case errors.Is(err, rowstore.ErrInvalid):
			return 0, err
		}
		if !elapsed.Sleep(l.ctx, commitRetry) {
			return 0, l.ctx.Err()
		}
	}
}

// resolve decides whether a conflict means that an earlier attempt of the same transaction was applied.
func (l *lead) resolve(txn rowstore.Txn, rows []rowstore.Row) (uint64, error) {
	current := make(map[rowstore.Key]rowstore.Row, len(rows))
	for _, r := range rows {
		current[r.Key] = r
	}
	if fence, ok := current[ownership.FenceKey]; ok && fence.Version != l.term.FenceVersion {
		return 0, ErrDeposed
	}
	var version uint64
	for _, r := range txn.Put {
		stored, ok := current[r.Key]
		if !ok || !bytes.Equal(stored.Value, r.Value) {
			return 0, errors.Wrap(ErrInconsistent, mismatch(txn, current))
		}
		version = max(version, stored.Version)
	}
	for _, key := range txn.Delete {
		if _, ok := current[key]; ok {
			return 0, errors.Wrap(ErrInconsistent, mismatch(txn, current))
		}
	}
	return version, nil
}

// mismatch describes the first expectation that does not hold.
func mismatch(txn rowstore.Txn, current map[rowstore.Key]rowstore.Row) string {
	for _, e := range txn.Expect {
		if v := current[e.Key].Version; v != e.Version {
			return fmt.Sprintf("%s/%s is at version %d, expected %d", e.Table, e.Name, v, e.Version)
		}
	}
	return "no expectation differs"
}

func (l *lead) afterCommit(e committed) error {
	l.committing = false
	l.commitAt = l.opts.Now() + commitGap
	if e.err != nil {
		return e.err
	}
	l.opts.Metrics.committed(len(e.txn.Put), e.took)
	l.core.Committed(e.commit, e.version)
	for _, key := range e.txn.Delete {
		delete(l.rows.versions, key)
	}
	for _, r := range e.txn.Put {
		if r.Table == frontend.RecordTable {
			continue
		}
		l.rows.versions[r.Key] = e.version
		switch {
		case r.Table == rosterTable:
			l.rosterStored(r.Name, r.Value)
		case r.Key == ordersKey:
			l.sendOrders(r.Value)
		}
	}
	l.acknowledge(e.commit)
	return nil
}

func (l *lead) acknowledge(commit *scheduler.Commit) {
	for id, end := range commit.Ends {
		if s := l.sessions[id]; s != nil {
			s.Acknowledge(end.BornUnixMS, end.Number)
		}
	}
}

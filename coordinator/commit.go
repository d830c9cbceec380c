package coordinator

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/frontend"
	"github.com/tamarackworks/tamarackworks/ownership"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/scheduler"
)

const (
	// maxRowsPerCommit keeps a transaction below 100 entries: each row takes two, an expected version and a write, and the fence takes
	// one. minOwnerRowsPerCommit of them are for other rows than job records if there are as many.
	maxRowsPerCommit      = 48
	minOwnerRowsPerCommit = 20
	// commitInterval is the pause between two commits, so that one transaction covers the ends of several tasks.
	commitInterval = 15 * time.Millisecond
	// commitTimeout bounds one attempt. A slow store takes 0.7 s, including the wait for earlier transactions on the same
	// partition of the table.
	commitTimeout = 2 * time.Second
	// minCommitHedge is how long to wait at least for a response before the transaction is sent again, because the response may be
	// lost, and maxCommitHedge how long at most. Between them it is commitHedgeFactor times the last commit: at a slow store a
	// transaction that is sent again too soon only delays the next one, as a partition applies one after the other.
	minCommitHedge    = 450 * time.Millisecond
	maxCommitHedge    = time.Second
	commitHedgeFactor = 1.5
	// maxCommitAttempts bounds the attempts in flight at the same time.
	maxCommitAttempts = 4
	// commitRetryDelay is the pause after all attempts have failed; it keeps retries below the rate limits of the store.
	commitRetryDelay = 80 * time.Millisecond
)

// ownerRows tracks the rows other than job records that only the owner writes.
type ownerRows struct {
	// versions holds the stored version of each row.
	versions map[rowstore.Key]uint64
	// dirty holds the values that are not stored yet; nil deletes the row.
	dirty map[rowstore.Key][]byte
}

func newOwnerRows() *ownerRows {
	return &ownerRows{versions: make(map[rowstore.Key]uint64), dirty: make(map[rowstore.Key][]byte)}
}

// recordVersion records the version of a row that was read.
func (o *ownerRows) recordVersion(r rowstore.Row) { o.versions[r.Key] = r.Version }

func (o *ownerRows) put(key rowstore.Key, value []byte) { o.dirty[key] = value }

func (o *ownerRows) remove(key rowstore.Key) { o.dirty[key] = nil }

// addTo moves up to limit dirty rows into a transaction, those that work waits for first.
func (o *ownerRows) addTo(txn *rowstore.Txn, limit int) {
	keys := slices.SortedFunc(maps.Keys(o.dirty), func(a, b rowstore.Key) int {
		return cmp.Or(cmp.Compare(o.rank(a), o.rank(b)), cmp.Compare(a.Name, b.Name))
	})
	for _, key := range keys {
		value, version := o.dirty[key], o.versions[key]
		if value == nil && version == 0 {
			// The row was never stored.
			delete(o.dirty, key)
			continue
		}
		if limit--; limit < 0 {
			return
		}
		delete(o.dirty, key)
		if value != nil {
			txn.Put = append(txn.Put, rowstore.Row{Key: key, Value: value})
		} else {
			txn.Delete = append(txn.Delete, key)
		}
		txn.Expect = append(txn.Expect, rowstore.Expect{Key: key, Version: version})
	}
}

// rank returns the rank of a dirty row; the lowest is stored first. It answers a burst beside a slow store, when a hundred machines move
// and a few transactions a second are applied: machines wait for the row of orders, tasks for the records of new executors, and
// nothing for the removal of a record.
func (o *ownerRows) rank(key rowstore.Key) int {
	switch {
	case key.Table != executorRecordTable:
		return 0
	case o.dirty[key] != nil:
		return 1
	}
	return 2
}

// commitDone is the event that a commit has succeeded or failed.
type commitDone struct {
	commit   *scheduler.Commit
	txn      rowstore.Txn
	version  uint64
	duration time.Duration
	err      error
}

// startCommit starts a transaction with the changed job records and owner rows, unless one is in progress or there is
// nothing to store.
func (l *leadership) startCommit(now time.Duration) {
	if l.committing || now < l.nextCommitAt {
		return
	}
	commit := l.core.TakeCommit(maxRowsPerCommit - min(len(l.rows.dirty), minOwnerRowsPerCommit))
	if commit == nil {
		if len(l.rows.dirty) == 0 {
			return
		}
		commit = &scheduler.Commit{}
	}
	txn, err := l.buildTransaction(commit)
	if err != nil {
		l.log.WithError(err).Error("job record cannot be encoded")
		return
	}
	if len(txn.Put)+len(txn.Delete) == 0 {
		// The ends changed no record, so they are durable without a transaction.
		l.core.Committed(commit, 0)
		l.acknowledgeEnds(commit)
		return
	}
	l.committing = true
	hedge := l.commitHedge
	go func() {
		began := l.opts.Now()
		version, err := l.commit(txn, hedge)
		l.emit(commitDone{commit, txn, version, l.opts.Now() - began, err})
	}()
}

// buildTransaction returns a transaction with the writes of a commit and dirty owner rows. Each write is conditional on
// the version that this owner knows, and the whole transaction on the fence, so that a former owner cannot write.
func (l *leadership) buildTransaction(commit *scheduler.Commit) (rowstore.Txn, error) {
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
	l.rows.addTo(&txn, maxRowsPerCommit-len(commit.Writes))
	return txn, nil
}

// commit retries a transaction until its outcome is certain, and returns its version. hedge is the time without a response after which it is
// sent again.
func (l *leadership) commit(txn rowstore.Txn, hedge time.Duration) (uint64, error) {
	attempt := func(ctx context.Context) (uint64, error) {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		return l.opts.Store.Commit(ctx, txn)
	}
	for {
		r, err := rowstore.Race(l.ctx, rowstore.RaceOptions{HedgeDelay: hedge}, rowstore.Repeat(maxCommitAttempts, attempt))
		l.opts.Metrics.countRetries(r.Tries)
		var conflict *rowstore.ConflictError
		switch {
		case err == nil:
			return r.Version, nil
		case errors.As(err, &conflict):
			return l.resolveConflict(txn, conflict.Rows)
		case errors.Is(err, rowstore.ErrInvalid):
			return 0, err
		}
		if !elapsed.Sleep(l.ctx, commitRetryDelay) {
			return 0, l.ctx.Err()
		}
	}
}

// resolveConflict decides whether a conflict means that an earlier attempt of the same transaction was applied, and
// returns the version of that attempt. rows are the current rows of the keys in txn.Expect.
func (l *leadership) resolveConflict(txn rowstore.Txn, rows []rowstore.Row) (uint64, error) {
	current := make(map[rowstore.Key]rowstore.Row, len(rows))
	for _, r := range rows {
		current[r.Key] = r
	}
	if fence, ok := current[ownership.FenceKey]; ok && fence.Version != l.term.FenceVersion {
		return 0, ErrOwnershipLost
	}
	var version uint64
	for _, r := range txn.Put {
		stored, ok := current[r.Key]
		if !ok || !bytes.Equal(stored.Value, r.Value) {
			return 0, errors.Wrap(ErrUnexpectedVersion, describeMismatch(txn, current))
		}
		version = max(version, stored.Version)
	}
	for _, key := range txn.Delete {
		if _, ok := current[key]; ok {
			return 0, errors.Wrap(ErrUnexpectedVersion, describeMismatch(txn, current))
		}
	}
	return version, nil
}

// describeMismatch describes the first row of a transaction that is not at the expected version.
func describeMismatch(txn rowstore.Txn, current map[rowstore.Key]rowstore.Row) string {
	for _, e := range txn.Expect {
		if v := current[e.Key].Version; v != e.Version {
			return fmt.Sprintf("row %s/%s is at version %d, expected %d", e.Table, e.Name, v, e.Version)
		}
	}
	return "all rows are at the expected versions"
}

// commitHedge returns the hedge of the commit that follows one that took a time.
func commitHedge(took time.Duration) time.Duration {
	return min(max(time.Duration(commitHedgeFactor*float64(took)), minCommitHedge), maxCommitHedge)
}

// handleCommitDone passes a durable commit to the core, opens the sessions and sends the machine orders that waited for it, and
// acknowledges task ends. The error of a failed commit ends the term.
func (l *leadership) handleCommitDone(e commitDone) error {
	l.committing = false
	l.nextCommitAt = l.opts.Now() + commitInterval
	l.commitHedge = commitHedge(e.duration)
	if e.err != nil {
		return e.err
	}
	l.opts.Metrics.observeCommit(len(e.txn.Put), e.duration)
	l.deletions.observe(e.version)
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
		case r.Table == executorRecordTable:
			l.handleExecutorRecordStored(r.Name, r.Value)
		case r.Key == recentOrdersKey:
			l.sendStoredOrders(r.Value)
		}
	}
	l.acknowledgeEnds(e.commit)
	return nil
}

// acknowledgeEnds tells the executors which task ends are durable, so that they stop reporting them.
func (l *leadership) acknowledgeEnds(commit *scheduler.Commit) {
	for id, end := range commit.Ends {
		if s := l.sessions[id]; s != nil {
			s.Acknowledge(end.BornUnixMS, end.Number)
		}
	}
}

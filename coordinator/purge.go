package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/frontend"
	"github.com/tamarackworks/tamarackworks/ownership"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/scheduler"
)

const (
	// purgeBatch is the number of jobs that are deleted at a time, purgeInterval the pause after it. They limit the rate of
	// deletions.
	purgeBatch    = 30
	purgeInterval = 2 * time.Second
)

// purge starts to delete the rows of jobs that finished longer than the retention ago.
func (l *leadership) purge(now time.Duration) {
	if l.purging || now < l.nextPurgeAt || l.deletions.full() || !l.opts.OwnsJobs() {
		return
	}
	expired := l.core.TakeExpired(purgeBatch)
	if len(expired) == 0 {
		return
	}
	l.purging = true
	rows := l.deletions.begin(expired)
	l.log.WithField("jobs", len(expired)).Info("rows of finished jobs are being deleted")
	go func() {
		done, err := l.deleteJobRows(expired, rows)
		l.emit(purgeDone{expired, done, err})
	}()
}

// purgeDone is the event that a deletion has succeeded or failed.
type purgeDone struct {
	jobs []scheduler.ExpiredJob
	done removal
	err  error
}

// removeOrphanedRecords has the records removed of finished jobs without rows: a former owner was lost before it had deleted them. A job
// that is submitted under such an ID waits for that. submitted holds the jobs with rows.
func (l *leadership) removeOrphanedRecords(submitted map[string]bool) {
	var orphans []scheduler.ExpiredJob
	for id, stored := range l.jobRecords {
		if !submitted[id] && stored.record != nil && stored.record.Status.Final() {
			orphans = append(orphans, scheduler.ExpiredJob{Job: id, Version: stored.version})
		}
	}
	if len(orphans) > 0 {
		l.log.WithField("records", len(orphans)).Info("records without jobs are to be removed")
		l.deletions.begin(orphans)
		l.core.KeepExpired(orphans)
	}
}

// removal is what a purge has deleted.
type removal struct {
	// versions holds the versions at which rows were deleted. resubmitted holds rows of jobs that were submitted again before that.
	versions    map[rowstore.Key]uint64
	resubmitted []rowstore.Row
}

// deleteJobRows deletes the rows of each job before its record, because a job without a record would run again.
func (l *leadership) deleteJobRows(expired []scheduler.ExpiredJob, byPartition map[string]jobRowDeletions) (removal, error) {
	done := removal{versions: make(map[rowstore.Key]uint64)}
	for _, rows := range byPartition {
		if err := l.deletePartition(rows, &done); err != nil {
			return done, err
		}
	}
	return done, l.deleteRecords(expired)
}

// deletePartition deletes rows of jobs in one partition. An earlier attempt may have been carried out, or may be carried out later, and the
// job may have been submitted again since; the expected versions keep its new row from being deleted.
func (l *leadership) deletePartition(rows jobRowDeletions, done *removal) error {
	for len(rows) > 0 {
		version, err := l.deleteRows(rows.txn())
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			resubmitted, ok := rows.resolve(conflict.Rows)
			if !ok {
				return err
			}
			for _, r := range resubmitted {
				done.resubmitted = append(done.resubmitted, r)
				done.versions[r.Key], done.versions[cancelKey(r.Key)] = r.Version-1, r.Version-1
			}
			continue
		}
		if err != nil {
			return err
		}
		for key := range rows {
			done.versions[key], done.versions[cancelKey(key)] = version, version
		}
		return nil
	}
	return nil
}

// deleteRecords deletes the records of jobs. Those that are absent already were deleted by an attempt whose response was lost.
func (l *leadership) deleteRecords(expired []scheduler.ExpiredJob) error {
	txn := rowstore.Txn{Expect: []rowstore.Expect{{Key: ownership.FenceKey, Version: l.term.FenceVersion}}}
	for _, x := range expired {
		key := rowstore.Key{Table: frontend.RecordTable, Name: x.Job}
		txn.Expect = append(txn.Expect, rowstore.Expect{Key: key, Version: x.Version})
		txn.Delete = append(txn.Delete, key)
	}
	_, err := l.deleteRows(txn)
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	stored := make(map[rowstore.Key]bool, len(conflict.Rows))
	for _, r := range conflict.Rows {
		stored[r.Key] = true
	}
	left := slices.DeleteFunc(slices.Clone(expired), func(x scheduler.ExpiredJob) bool {
		return !stored[rowstore.Key{Table: frontend.RecordTable, Name: x.Job}]
	})
	switch len(left) {
	case 0:
		return nil
	case len(expired):
		return err
	}
	return l.deleteRecords(left)
}

// deleteRows makes one attempt to commit a deletion and returns its version; a failed purge is tried again later.
func (l *leadership) deleteRows(txn rowstore.Txn) (uint64, error) {
	ctx, cancel := context.WithTimeout(l.ctx, commitTimeout)
	defer cancel()
	return l.opts.Store.Commit(ctx, txn)
}

// handlePurgeDone drops the deleted jobs from the core and adds those that were submitted again under their IDs, or returns the jobs to a
// later purge.
func (l *leadership) handlePurgeDone(now time.Duration, e purgeDone) {
	l.purging, l.nextPurgeAt = false, l.opts.Now()+purgeInterval
	entry := l.log.WithField("jobs", len(e.jobs))
	if e.err != nil {
		l.core.KeepExpired(e.jobs)
		entry.WithError(e.err).Warn("rows of finished jobs could not be deleted")
		return
	}
	l.core.Forget(e.jobs)
	entry.Info("rows of finished jobs deleted")
	jobs := e.done.resubmitted
	for _, r := range l.deletions.complete(e.done.versions) {
		if r.Table == frontend.CancelTable {
			l.core.Cancel(now, r.Name)
		} else {
			jobs = append(jobs, r)
		}
	}
	l.applyJobs(now, jobs, false)
}

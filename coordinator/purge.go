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
	l.deletions.begin(expired)
	l.log.WithField("jobs", len(expired)).Info("rows of finished jobs are being deleted")
	go func() {
		versions, err := l.deleteJobRows(expired)
		l.emit(purgeDone{expired, versions, err})
	}()
}

// purgeDone is the event that a deletion has succeeded or failed.
type purgeDone struct {
	jobs []scheduler.ExpiredJob
	// versions holds the versions at which the rows of the jobs were deleted.
	versions map[rowstore.Key]uint64
	err      error
}

// jobRows returns the keys of the rows that other processes may have written for a job. A job may have rows in both partitions. One that is
// left would be a new job to the next owner.
func jobRows(job string) (keys []rowstore.Key) {
	for _, partition := range []string{frontend.SubmitPartition(job), frontend.FallbackSubmitPartition(job)} {
		keys = append(keys,
			rowstore.Key{Table: frontend.JobTable, Partition: partition, Name: job},
			rowstore.Key{Table: frontend.CancelTable, Partition: partition, Name: job})
	}
	return keys
}

// removeOrphanedRecords has the records removed of finished jobs without rows: a former owner was lost before it had deleted them. A job
// that is submitted under such an ID waits for that. submitted holds the jobs with rows.
func (l *leadership) removeOrphanedRecords(submitted map[string]bool) {
	var orphans []scheduler.ExpiredJob
	for id, stored := range l.jobRecords {
		if !submitted[id] && stored.record != nil && stored.record.Status.Final() {
			orphans = append(orphans, scheduler.ExpiredJob{Job: id, Version: stored.version, RecordOnly: true})
		}
	}
	if len(orphans) > 0 {
		l.log.WithField("records", len(orphans)).Info("records without jobs are to be removed")
		l.deletions.begin(orphans)
		l.core.KeepExpired(orphans)
	}
}

// deleteJobRows deletes the rows of each job before its record, because a job without a record would run again. It returns the versions
// at which the rows were deleted, 0 for those that were absent when this owner began.
func (l *leadership) deleteJobRows(expired []scheduler.ExpiredJob) (map[rowstore.Key]uint64, error) {
	byPartition := make(map[string][]rowstore.Key)
	versions := make(map[rowstore.Key]uint64)
	for _, x := range expired {
		for _, key := range jobRows(x.Job) {
			if x.RecordOnly {
				versions[key] = 0
				continue
			}
			byPartition[key.Partition] = append(byPartition[key.Partition], key)
		}
	}
	for _, keys := range byPartition {
		version, err := l.deleteRows(rowstore.Txn{Delete: keys})
		if err != nil {
			return nil, err
		}
		for _, key := range keys {
			versions[key] = version
		}
	}
	return versions, l.deleteRecords(expired)
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
	var jobs []rowstore.Row
	for _, r := range l.deletions.complete(e.versions) {
		if r.Table == frontend.CancelTable {
			l.core.Cancel(now, r.Name)
		} else {
			jobs = append(jobs, r)
		}
	}
	l.applyJobs(now, jobs, false)
}

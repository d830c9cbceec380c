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
	keys := jobRows(expired)
	l.deletions.begin(keys)
	l.log.WithField("jobs", len(expired)).Info("rows of finished jobs are being deleted")
	go func() {
		versions, err := l.deleteJobRows(expired, keys)
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

// jobRows returns the keys of the rows that other processes wrote for jobs. A job may have rows in both partitions. One that is left
// would be a new job to the next owner.
func jobRows(expired []scheduler.ExpiredJob) (keys []rowstore.Key) {
	for _, x := range expired {
		for _, partition := range []string{frontend.SubmitPartition(x.Job), frontend.FallbackSubmitPartition(x.Job)} {
			keys = append(keys,
				rowstore.Key{Table: frontend.JobTable, Partition: partition, Name: x.Job},
				rowstore.Key{Table: frontend.CancelTable, Partition: partition, Name: x.Job})
		}
	}
	return keys
}

// deleteJobRows deletes the rows of each job before its record, because a job without a record would run again. It returns the versions
// at which the rows were deleted.
func (l *leadership) deleteJobRows(expired []scheduler.ExpiredJob, keys []rowstore.Key) (map[rowstore.Key]uint64, error) {
	byPartition := make(map[string][]rowstore.Key)
	for _, key := range keys {
		byPartition[key.Partition] = append(byPartition[key.Partition], key)
	}
	versions := make(map[rowstore.Key]uint64, len(keys))
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

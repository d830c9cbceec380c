package coordinator

import (
	"context"
	"time"

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
	if l.purging || now < l.nextPurgeAt || !l.opts.OwnsJobs() {
		return
	}
	expired := l.core.TakeExpired(purgeBatch)
	if len(expired) == 0 {
		return
	}
	l.purging = true
	l.log.WithField("jobs", len(expired)).Info("rows of finished jobs are being deleted")
	go func() {
		err := l.deleteJobRows(expired)
		l.emit(purgeDone{expired, err})
	}()
}

// purgeDone is the event that a deletion has succeeded or failed.
type purgeDone struct {
	jobs []scheduler.ExpiredJob
	err  error
}

// deleteJobRows deletes each job before its record, because a job without a record would run again.
func (l *leadership) deleteJobRows(expired []scheduler.ExpiredJob) error {
	byPartition := make(map[string][]rowstore.Key)
	for _, x := range expired {
		// A job may have rows in both partitions. One that is left would be a new job to the next owner.
		for _, partition := range []string{frontend.SubmitPartition(x.Job), frontend.FallbackSubmitPartition(x.Job)} {
			byPartition[partition] = append(byPartition[partition],
				rowstore.Key{Table: frontend.JobTable, Partition: partition, Name: x.Job},
				rowstore.Key{Table: frontend.CancelTable, Partition: partition, Name: x.Job})
		}
	}
	for _, keys := range byPartition {
		if err := l.deleteRows(rowstore.Txn{Delete: keys}); err != nil {
			return err
		}
	}
	txn := rowstore.Txn{Expect: []rowstore.Expect{{Key: ownership.FenceKey, Version: l.term.FenceVersion}}}
	for _, x := range expired {
		key := rowstore.Key{Table: frontend.RecordTable, Name: x.Job}
		txn.Expect = append(txn.Expect, rowstore.Expect{Key: key, Version: x.Version})
		txn.Delete = append(txn.Delete, key)
	}
	return l.deleteRows(txn)
}

// deleteRows makes one attempt to commit a deletion; a failed purge is tried again later.
func (l *leadership) deleteRows(txn rowstore.Txn) error {
	ctx, cancel := context.WithTimeout(l.ctx, commitTimeout)
	defer cancel()
	_, err := l.opts.Store.Commit(ctx, txn)
	return err
}

// handlePurgeDone drops the deleted jobs from the core, or returns them to a later purge.
func (l *leadership) handlePurgeDone(e purgeDone) {
	l.purging, l.nextPurgeAt = false, l.opts.Now()+purgeInterval
	entry := l.log.WithField("jobs", len(e.jobs))
	if e.err != nil {
		l.core.KeepExpired(e.jobs)
		entry.WithError(e.err).Warn("rows of finished jobs could not be deleted")
		return
	}
	l.core.Forget(e.jobs)
	entry.Info("rows of finished jobs deleted")
}

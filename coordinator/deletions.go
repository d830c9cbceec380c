package coordinator

import (
	"maps"

	"github.com/tamarackworks/tamarackworks/feed"
	"github.com/tamarackworks/tamarackworks/frontend"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/scheduler"
)

// maxDeletions bounds the rows whose deletion a feed has not passed; further deletions wait.
const maxDeletions = 40 * purgeBatch

// deletions keeps rows that this owner deletes from being taken for new ones. The partitions of a table are read one after the other, so
// a full batch may have rows that were deleted after their partition was read. Versions tell them from rows that were stored under
// the same key after the deletion.
type deletions struct {
	// pending holds the rows whose deletion has begun and is not known to have succeeded.
	pending map[rowstore.Key]pendingDeletion
	// versions holds the versions of deletions that the feed of the table has not passed.
	versions map[rowstore.Key]uint64
	// newest is the newest version of the store that this owner knows.
	newest uint64
}

// pendingDeletion is the deletion of a row that is not known to have succeeded.
type pendingDeletion struct {
	// since is the newest version that was known when the first attempt began. Until then the job had a row, so that a row from before is its
	// own, and a later one belongs to a job that was submitted again.
	since uint64
	// delivered is the newest row that was delivered for the key since then, nil if there is none.
	delivered *rowstore.Row
}

func newDeletions() deletions {
	return deletions{pending: make(map[rowstore.Key]pendingDeletion), versions: make(map[rowstore.Key]uint64)}
}

// begin records that jobs are to be deleted, and returns the rows to delete by partition.
func (d *deletions) begin(expired []scheduler.ExpiredJob) map[string]jobRowDeletions {
	byPartition := make(map[string]jobRowDeletions)
	for _, x := range expired {
		for i, key := range jobRowKeys(x.Job) {
			for _, k := range []rowstore.Key{key, cancelKey(key)} {
				if _, ok := d.pending[k]; !ok {
					d.pending[k] = pendingDeletion{since: d.newest}
				}
			}
			if byPartition[key.Partition] == nil {
				byPartition[key.Partition] = make(jobRowDeletions)
			}
			byPartition[key.Partition][key] = jobRowDeletion{version: x.Rows[i], since: d.pending[key].since}
		}
	}
	return byPartition
}

// complete records that rows were deleted, each at a version, and returns the rows that were stored under their keys after that and
// have been delivered already.
func (d *deletions) complete(versions map[rowstore.Key]uint64) []rowstore.Row {
	var stored []rowstore.Row
	for key, version := range versions {
		if r := d.pending[key].delivered; r != nil && r.Version > version {
			stored = append(stored, *r)
		}
		delete(d.pending, key)
		d.versions[key] = version
	}
	return stored
}

// filter returns the rows of a batch without those that this owner has deleted since they were read, and keeps back those whose
// deletion is pending. Deletions up to the version of the batch are forgotten: no later batch has the rows.
func (d *deletions) filter(b feed.Batch) []rowstore.Row {
	rows := b.Rows
	if len(d.pending)+len(d.versions) > 0 {
		rows = nil
		for _, r := range b.Rows {
			if r.Deleted || !d.hold(r) && r.Version >= d.versions[r.Key] {
				rows = append(rows, r)
			}
		}
	}
	d.observe(b.Version)
	maps.DeleteFunc(d.versions, func(key rowstore.Key, version uint64) bool { return key.Table == b.Table && version <= b.Version })
	return rows
}

// hold keeps a row back if a deletion for its key is pending, and reports whether it has.
func (d *deletions) hold(r rowstore.Row) bool {
	p, pending := d.pending[r.Key]
	if pending && (p.delivered == nil || p.delivered.Version < r.Version) {
		p.delivered = &r
		d.pending[r.Key] = p
	}
	return pending
}

// observe records that the store has reached a version.
func (d *deletions) observe(version uint64) { d.newest = max(d.newest, version) }

// full reports whether further deletions have to wait.
func (d *deletions) full() bool { return len(d.versions) >= maxDeletions }

// jobRowDeletions holds the rows of jobs in one partition that are to be deleted.
type jobRowDeletions map[rowstore.Key]jobRowDeletion

// jobRowDeletion is the deletion of a row at a version, 0 if there is none. Rows later than since belong to another job.
type jobRowDeletion struct{ version, since uint64 }

// jobRowKeys returns the keys of the rows by which a job may have been submitted. It may have rows in both partitions. One that is left would
// be a new job to the next owner.
func jobRowKeys(job string) []rowstore.Key {
	return []rowstore.Key{
		{Table: frontend.JobTable, Partition: frontend.SubmitPartition(job), Name: job},
		{Table: frontend.JobTable, Partition: frontend.FallbackSubmitPartition(job), Name: job},
	}
}

// cancelKey returns the key of the cancellation that belongs to the row of a job.
func cancelKey(row rowstore.Key) rowstore.Key {
	row.Table = frontend.CancelTable
	return row
}

// txn returns the transaction that deletes the rows and their cancellations at the expected versions.
func (d jobRowDeletions) txn() (txn rowstore.Txn) {
	for key, x := range d {
		txn.Expect = append(txn.Expect, rowstore.Expect{Key: key, Version: x.version})
		txn.Delete = append(txn.Delete, key, cancelKey(key))
	}
	return txn
}

// resolve adapts the expectations to the current rows after a conflict. It takes out and returns the rows of jobs that were submitted again,
// and returns false if the rows do not explain the conflict.
func (d jobRowDeletions) resolve(current []rowstore.Row) (resubmitted []rowstore.Row, ok bool) {
	stored := make(map[rowstore.Key]rowstore.Row, len(current))
	for _, r := range current {
		stored[r.Key] = r
	}
	for key, x := range d {
		r := stored[key]
		if r.Version == x.version {
			continue
		}
		ok = true
		if r.Version > x.since {
			resubmitted = append(resubmitted, r)
			delete(d, key)
			continue
		}
		x.version = r.Version
		d[key] = x
	}
	return resubmitted, ok
}

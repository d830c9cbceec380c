package coordinator

import (
	"github.com/tamarackworks/tamarackworks/feed"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/scheduler"
)

// maxDeletions bounds the rows whose deletion a feed has not passed; further deletions wait.
const maxDeletions = 40 * purgeBatch

// deletions keeps rows that this owner deletes from being taken for new ones. The partitions of a table are read one after the other, so
// a full batch may have rows that were deleted after their partition was read. Versions tell them from rows that were stored under
// the same key after the deletion.
type deletions struct {
	// pending holds the rows whose deletion has begun and is not known to have succeeded, with the newest row that was delivered
	// for the key meanwhile; nil if there is none.
	pending map[rowstore.Key]*rowstore.Row
	// versions holds the versions of deletions that the feed of the table has not passed.
	versions map[rowstore.Key]uint64
}

func newDeletions() deletions {
	return deletions{pending: make(map[rowstore.Key]*rowstore.Row), versions: make(map[rowstore.Key]uint64)}
}

// begin records that jobs are to be deleted.
func (d *deletions) begin(expired []scheduler.ExpiredJob) {
	for _, x := range expired {
		for _, key := range jobRows(x.Job) {
			if _, ok := d.pending[key]; !ok {
				d.pending[key] = nil
			}
		}
	}
}

// complete records that rows were deleted, each at a version, and returns the rows that were stored under their keys after that and
// have been delivered already.
func (d *deletions) complete(versions map[rowstore.Key]uint64) []rowstore.Row {
	var stored []rowstore.Row
	for key, version := range versions {
		if r := d.pending[key]; r != nil && r.Version > version {
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
			held, pending := d.pending[r.Key]
			switch {
			case r.Deleted:
			case pending:
				if held == nil || held.Version < r.Version {
					d.pending[r.Key] = &r
				}
				continue
			case r.Version < d.versions[r.Key]:
				continue
			}
			rows = append(rows, r)
		}
	}
	for key, version := range d.versions {
		if key.Table == b.Table && version <= b.Version {
			delete(d.versions, key)
		}
	}
	return rows
}

// full reports whether further deletions have to wait.
func (d *deletions) full() bool { return len(d.versions) >= maxDeletions }

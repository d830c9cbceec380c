package coordinator

import (
	"maps"
	"slices"

	"github.com/tamarackworks/tamarackworks/feed"
	"github.com/tamarackworks/tamarackworks/rowstore"
)

// maxDeletions bounds the rows whose deletion a feed has not passed; further deletions wait.
const maxDeletions = 40 * purgeBatch

// deletions keeps rows that this owner deletes from being taken for new ones. The partitions of a table are read one after the other, so
// a full batch may have rows that were deleted after their partition was read. Versions tell them from rows that were stored under
// the same key after the deletion.
type deletions struct {
	// versions holds the versions of deletions that the feed of the table has not passed.
	versions map[rowstore.Key]uint64
}

func newDeletions() deletions {
	return deletions{versions: make(map[rowstore.Key]uint64)}
}

// add records that rows were deleted, each at a version.
func (d *deletions) add(versions map[rowstore.Key]uint64) { maps.Copy(d.versions, versions) }

// filter returns the rows of a batch without those that this owner has deleted since they were read. Deletions up to the version of the
// batch are forgotten: no later batch has the rows.
func (d *deletions) filter(b feed.Batch) []rowstore.Row {
	rows := slices.DeleteFunc(b.Rows, func(r rowstore.Row) bool { return !r.Deleted && r.Version < d.versions[r.Key] })
	maps.DeleteFunc(d.versions, func(key rowstore.Key, version uint64) bool { return key.Table == b.Table && version <= b.Version })
	return rows
}

// full reports whether further deletions have to wait.
func (d *deletions) full() bool { return len(d.versions) >= maxDeletions }

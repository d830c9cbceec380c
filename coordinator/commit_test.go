package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/rowstore"
)

// Replays a burst beside a slow store: a hundred machines have left pools and joined others, and more are ordered. Guards against orders
// and new executors that wait behind removals of records for several transactions of 0.25 s and more.
func TestRowsThatWorkWaitsForAreStoredFirst(t *testing.T) {
	o := newOwnerRows()
	for i := range 100 {
		gone := executorRecordKey(fmt.Sprintf("gone-%02d", i))
		o.versions[gone] = 1
		o.remove(gone)
		o.remove(executorRecordKey(fmt.Sprintf("never-stored-%02d", i)))
		o.put(executorRecordKey(fmt.Sprintf("new-%02d", i)), []byte("{}"))
	}
	o.put(recentOrdersKey, []byte("{}"))
	var puts, deletes int
	for n := 0; len(o.dirty) > 0; n++ {
		var txn rowstore.Txn
		o.addTo(&txn, maxRowsPerCommit)
		assert.Assert(t, 1+len(txn.Expect)+len(txn.Put)+len(txn.Delete) <= 100)
		if n == 0 {
			assert.Equal(t, txn.Put[0].Key, recentOrdersKey)
		}
		if puts < 101 {
			assert.Assert(t, len(txn.Delete) == 0 || puts+len(txn.Put) == 101, "removals in transaction %d, %d rows were stored", n, puts)
		}
		puts, deletes = puts+len(txn.Put), deletes+len(txn.Delete)
	}
	assert.Equal(t, puts, 101)
	assert.Equal(t, deletes, 100)
}

// Guards against transactions that are sent twice at a slow store, where each one delays the next, and against waiting long for a response
// that is lost at a prompt one.
func TestCommitsAreHedgedByTheLastOne(t *testing.T) {
	assert.Equal(t, commitHedge(10*time.Millisecond), minCommitHedge)
	assert.Equal(t, commitHedge(500*time.Millisecond), 750*time.Millisecond)
	assert.Equal(t, commitHedge(3*time.Second), maxCommitHedge)
}

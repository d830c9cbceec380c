package memory

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/structs"
)

func put(key, value string, version uint64) cloud.Txn {
	return cloud.Txn{
		Preconditions: []cloud.Precondition{{Key: key, Version: version}},
		Ops:           []cloud.Op{{Key: key, Value: []byte(value)}},
	}
}

// Guards against two writes with the same precondition that both succeed.
func TestCommitChecksPreconditions(t *testing.T) {
	h := New(Options{}).Handle()
	v, err := h.Commit(t.Context(), put("a", "1", 0))
	assert.NilError(t, err)
	_, err = h.Commit(t.Context(), put("a", "2", 0))
	assert.ErrorIs(t, err, cloud.ErrConflict)
	_, err = h.Commit(t.Context(), put("a", "2", v))
	assert.NilError(t, err)
}

// Guards against LoseResponses dropping the write, and DropWrites applying it.
func TestAmbiguousWrites(t *testing.T) {
	p := New(Options{})
	h := p.Handle()
	h.SetFaults(Faults{LoseResponses: 1, DropWrites: 1})
	_, err := h.Commit(t.Context(), put("lost", "1", 0))
	assert.ErrorIs(t, err, cloud.ErrAmbiguous)
	_, err = h.Commit(t.Context(), put("dropped", "1", 0))
	assert.ErrorIs(t, err, cloud.ErrAmbiguous)
	_, err = h.Get(t.Context(), "lost")
	assert.NilError(t, err)
	_, err = h.Get(t.Context(), "dropped")
	assert.ErrorIs(t, err, cloud.ErrNotFound)
}

// Guards against a host list without lag, and a reboot after which the host has its old incarnation.
func TestHostListLagsBehindReboot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{ListLag: 2 * time.Second, RebootTime: 10 * time.Second})
		h := p.Handle()
		p.SetHost(structs.HostState{Name: "h1", DataCentre: "dc1", Incarnation: 1, Live: true})
		assert.NilError(t, h.Reboot(t.Context(), "h1", 1))
		hosts, err := h.Hosts(t.Context(), "dc1")
		assert.NilError(t, err)
		assert.Assert(t, hosts[0].Live)
		time.Sleep(3 * time.Second)
		hosts, _ = h.Hosts(t.Context(), "dc1")
		assert.Assert(t, !hosts[0].Live)
		time.Sleep(10 * time.Second)
		hosts, _ = h.Hosts(t.Context(), "dc1")
		assert.Assert(t, hosts[0].Live)
		assert.Equal(t, hosts[0].Incarnation, uint64(2))
	})
}

// Guards against a task that continues after its lease expired.
func TestTaskIsLostWhenItsLeaseLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(Options{}).Handle()
		spec := cloud.TaskSpec{ID: "t1", Host: "h1", Payload: `{"run_ms":10000}`, Lease: time.Second}
		assert.NilError(t, h.StartTask(t.Context(), spec))
		time.Sleep(2 * time.Second)
		task, err := h.Task(t.Context(), "t1")
		assert.NilError(t, err)
		assert.Equal(t, task.State, cloud.TaskLost)
		assert.ErrorIs(t, h.RenewTask(t.Context(), "t1", time.Second), cloud.ErrConflict)
	})
}

// Guards against a checkpoint without the progress of the task, so that the resumed task starts from the beginning.
func TestCheckpointResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(Options{}).Handle()
		spec := cloud.TaskSpec{ID: "t1", Host: "h1", Payload: `{"run_ms":10000}`, Lease: time.Minute}
		assert.NilError(t, h.StartTask(t.Context(), spec))
		time.Sleep(8 * time.Second)
		checkpoint, err := h.CheckpointTask(t.Context(), "t1")
		assert.NilError(t, err)
		spec.ID, spec.Checkpoint = "t2", checkpoint
		assert.NilError(t, h.StartTask(t.Context(), spec))
		time.Sleep(3 * time.Second)
		task, err := h.Task(t.Context(), "t2")
		assert.NilError(t, err)
		assert.Equal(t, task.State, cloud.TaskDone)
	})
}

package platformserver

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/standin/platformclient"
	"github.com/tamarackworks/tamarackworks/structs"
)

func start(t *testing.T) (*memory.Platform, *Server, *platformclient.Client) {
	t.Helper()
	p := memory.New(memory.Options{})
	s := New(p)
	srv := httptest.NewServer(s.API())
	t.Cleanup(srv.Close)
	return p, s, platformclient.New(platformclient.Options{URL: srv.URL, DataCentre: "dc1"})
}

func put(key, value string, version uint64) cloud.Txn {
	return cloud.Txn{
		Preconditions: []cloud.Precondition{{Key: key, Version: version}},
		Ops:           []cloud.Op{{Key: key, Value: []byte(value)}},
	}
}

// Guards against an error that reaches the client as another kind of error after it passed through HTTP.
func TestErrorsKeepTheirKindOverHTTP(t *testing.T) {
	p, _, c := start(t)
	ctx := t.Context()
	_, err := c.Get(ctx, "missing")
	assert.ErrorIs(t, err, cloud.ErrNotFound)
	_, err = c.Commit(ctx, put("a", "1", 0))
	assert.NilError(t, err)
	_, err = c.Commit(ctx, put("a", "1", 0))
	assert.ErrorIs(t, err, cloud.ErrConflict)
	_, err = c.Commit(ctx, cloud.Txn{})
	assert.ErrorIs(t, err, cloud.ErrInvalid)

	p.SetFaults(memory.Faults{LoseResponses: 1})
	_, err = c.Commit(ctx, put("lost", "1", 0))
	assert.ErrorIs(t, err, cloud.ErrAmbiguous)
	row, err := c.Get(ctx, "lost")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "1")

	p.SetFaults(memory.Faults{Down: true})
	_, err = c.Commit(ctx, put("b", "1", 0))
	assert.ErrorIs(t, err, cloud.ErrUnavailable)
}

// Guards against a refused connection reported as ambiguous: callers would wait for the outcome of a write that was never
// sent.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	c := platformclient.New(platformclient.Options{URL: "http://127.0.0.1:1"})
	_, err := c.Commit(t.Context(), put("a", "1", 0))
	assert.ErrorIs(t, err, cloud.ErrUnavailable)
}

// Guards against a partition of one data centre that also cuts off the others.
func TestFaultsOfOneDataCentre(t *testing.T) {
	_, s, c := start(t)
	s.dataCentreHandle("dc2").SetFaults(memory.Faults{Down: true})
	_, err := c.Commit(t.Context(), put("a", "1", 0))
	assert.NilError(t, err)
}

// Guards against routes that do not decode what the client encodes.
func TestHostsObjectsAndTasks(t *testing.T) {
	p, _, c := start(t)
	ctx := t.Context()
	p.SetHost(structs.HostState{Name: "h1", DataCentre: "dc1", Incarnation: 1, Live: true})
	hosts, err := c.Hosts(ctx, "dc1")
	assert.NilError(t, err)
	assert.Equal(t, len(hosts), 1)
	assert.NilError(t, c.PutObject(ctx, "o/1", []byte("value")))
	value, err := c.GetObject(ctx, "o/1")
	assert.NilError(t, err)
	assert.Equal(t, string(value), "value")
	spec := cloud.TaskSpec{ID: "t1", DataCentre: "dc1", Host: "h1", Payload: `{"run_ms":60000}`, Lease: 60e9}
	assert.NilError(t, c.StartTask(ctx, spec))
	assert.NilError(t, c.ThrottleTask(ctx, "t1", true))
	checkpoint, err := c.CheckpointTask(ctx, "t1")
	assert.NilError(t, err)
	assert.Assert(t, checkpoint != "")
	tasks, err := c.Tasks(ctx, "dc1")
	assert.NilError(t, err)
	assert.Equal(t, tasks[0].State, cloud.TaskCheckpointed)
	assert.NilError(t, c.Reboot(ctx, "h1", 1))
	assert.ErrorIs(t, c.Reboot(ctx, "h1", 7), cloud.ErrConflict)
}

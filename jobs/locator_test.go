package jobs

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/structs"
)

// Guards against a second job when the load balancer sends a repeated submission to another data centre, and against a
// job that only its own data centre can report or cancel.
func TestJobsAreFoundFromOtherDataCentres(t *testing.T) {
	env := newTestEnv(t)
	other := NewStore(Options{DataCentre: "other", Table: env.entryHandle, Snapshots: env})
	first, err := env.submit(t.Context(), "job", "", false, false, 1000, false)
	assert.NilError(t, err)
	again, err := other.Submit(t.Context(), Submission{ID: first.ID, Caller: "c", Spec: first.Spec})
	assert.NilError(t, err)
	assert.Equal(t, again.DataCentre, "dc")
	cancelled, err := other.Cancel(t.Context(), first.ID)
	assert.NilError(t, err)
	assert.Equal(t, cancelled.State, structs.JobCancelled)
	assert.Equal(t, env.job("job").State, structs.JobCancelled)
}

package interference

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// sampleLogs are the merged logs of two owners. The first one wrote two lines, in the wrong order, and a third one that is cut.
const sampleLogs = `
  6.0 host-a {"fields":{"epoch":1,"instance":"a","penalty":true,"serving_ms":3000,"above_objective_ms":300,"best_effort_ms":2000,"paced_down_ms":500,"kept_apart":2,"effects":[{"serving":"api","beside":"noisy","rise":1.5,"kept_apart":2}]},"timestamp":"2026-01-01T00:00:06Z","message":"interference"}
  3.0 host-a {"fields":{"epoch":1,"instance":"a","penalty":true,"serving_ms":1000,"effects":[]},"timestamp":"2026-01-01T00:00:03Z","message":"interference"}
  9.0 host-b {"fields":{"epoch":2,"instance":"b","penalty":true,"serving_ms":1000,"above_objective_ms":100,"kept_apart":1,"effects":[{"serving":"api","beside":"noisy","rise":0.5,"kept_apart":1}]},"timestamp":"2026-01-01T00:00:09Z","message":"interference"}
  9.5 host-b {"fields":{"job":"interference"},"timestamp":"2026-01-01T00:00:09Z","message":"job accepted"}
  9.9 host-b {"fields":{"epoch":2,"instance":"b","serving_ms":9
`

// Guards against totals that count a term twice or only the last one, and against the kept-apart count of one term only.
func TestReportSumsTheTermsOfAllOwners(t *testing.T) {
	r, err := Read(strings.NewReader(sampleLogs))
	assert.NilError(t, err)
	assert.DeepEqual(t, r, &Report{
		Totals:            Totals{ServingMS: 4000, AboveObjectiveMS: 400, BestEffortMS: 2000, PacedDownMS: 500, KeptApart: 3},
		ServingAboveShare: 0.1, PacedDownShare: 0.25,
		Effects: []Effect{{Serving: "api", Beside: "noisy", Rise: 0.5, Highest: 1.5, KeptApart: 3}},
	})
	var out bytes.Buffer
	assert.NilError(t, r.WriteTable(&out))
	assert.Assert(t, cmp.Contains(out.String(), "4.0 task-seconds, 0.1000 of them above"))
	_, err = Read(strings.NewReader("no log\n"))
	assert.Assert(t, errors.Is(err, ErrInput))
}

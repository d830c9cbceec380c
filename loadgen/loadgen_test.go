package loadgen

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/standin/targetserver"
	"github.com/tamarackworks/tamarackworks/structs"
)

var demand = Demand{
	Services: []string{"a", "b"}, MeanRate: 100, BurstFactor: 5, IdleFactor: 0.05,
	BurstTime: 2 * time.Second, Length: 8 * time.Second, RunTime: 5 * time.Millisecond,
	Deadline: time.Second, NonIdempotentShare: 0.5, KeyedShare: 0.5, Seed: 7,
}

// Guards against traces that differ between runs with the same demand, and against fields that are lost when a trace
// is written to a file and read back.
func TestGenerateIsDeterministicAndSurvivesAFile(t *testing.T) {
	first, err := Generate(demand)
	assert.NilError(t, err)
	second, err := Generate(demand)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, second)
	var file bytes.Buffer
	assert.NilError(t, WriteTrace(&file, first))
	read, err := ReadTrace(&file)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, first)
}

// Guards against wrong rates: in a burst a service receives a hundred times the requests that it receives between bursts.
func TestBurstsRotate(t *testing.T) {
	arrivals, err := Generate(demand)
	assert.NilError(t, err)
	inBurst, outsideBurst := 0, 0
	for _, a := range arrivals {
		if (a.AtMS/2000)%2 == 0 && a.Service == "a" {
			inBurst++
		} else if a.Service == "a" {
			outsideBurst++
		}
	}
	assert.Assert(t, inBurst > 1600 && inBurst < 2400, "arrivals in bursts: %d", inBurst)
	assert.Assert(t, outsideBurst < 60, "arrivals outside bursts: %d", outsideBurst)
}

// Guards against a malformed line that is skipped without an error.
func TestReadTraceNamesTheLine(t *testing.T) {
	_, err := ReadTrace(strings.NewReader("{\"service\":\"a\"}\n{\n"))
	assert.ErrorIs(t, err, ErrTrace)
	assert.ErrorContains(t, err, "line 2")
}

// Guards against a checker that overlooks a kind of violation.
func TestCheckFindsEachViolation(t *testing.T) {
	record := func(id string, o structs.Outcome) Record {
		return Record{ID: id, Outcome: o, Status: 200, Attempts: 1, Arrival: Arrival{Service: "a"}}
	}
	execution := func(id, service string) targetserver.Execution {
		return targetserver.Execution{Text: id, Service: service}
	}
	foreign := record("5", structs.OutcomeDone)
	foreign.Foreign = true
	v := Check(
		[]Record{
			record("1", structs.OutcomeDone), record("2", structs.OutcomeNotRun), record("3", structs.OutcomeDone),
			record("4", structs.OutcomeDone), foreign,
		},
		[]targetserver.Execution{
			execution("1", "a"), execution("1", "a"), execution("2", "a"), execution("4", "b"), execution("5", "a"),
		})
	assert.DeepEqual(t, v, Violations{Doubled: 1, FalseNotRun: 1, FalseDone: 1, Foreign: 1, WrongService: 1})
}

// Guards against a runner that accepts the response to another request.
func TestRunnerDetectsForeignResponses(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Tamarack-Outcome", "done")
		_ = json.NewEncoder(w).Encode(targetserver.Result{Text: "another"})
	}))
	defer srv.Close()
	r := NewRunner(Options{Entries: []string{srv.URL}})
	records := r.Run(t.Context(), []Arrival{{Service: "a", DeadlineMS: 60000}})
	assert.Assert(t, records[0].Foreign)
}

// Guards against a panic on arbitrary trace files, and against traces that change when they are written and read again.
func FuzzReadTrace(f *testing.F) {
	f.Add("{\"service\":\"a\",\"at_ms\":1,\"run_ms\":2,\"deadline_ms\":3}\n")
	f.Add("{\n")
	f.Fuzz(func(t *testing.T, content string) {
		arrivals, err := ReadTrace(strings.NewReader(content))
		if err != nil {
			return
		}
		var file bytes.Buffer
		assert.NilError(t, WriteTrace(&file, arrivals))
		reread, err := ReadTrace(&file)
		assert.NilError(t, err)
		assert.DeepEqual(t, reread, arrivals)
	})
}

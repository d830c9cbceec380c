package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"
)

func readTrace(t *testing.T, scenario string) *Trace {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", scenario+".jsonl"))
	assert.NilError(t, err)
	defer f.Close()
	trace, err := Read(f)
	assert.NilError(t, err)
	return trace
}

// Guards against unnoticed changes in the results of the policies on the recorded traces. After an intended change run
// `go test ./replay -update` and state the figures before and after in the commit.
func TestTracesReplayToStatedOutcomes(t *testing.T) {
	for _, scenario := range Scenarios() {
		t.Run(scenario, func(t *testing.T) {
			var table bytes.Buffer
			assert.NilError(t, WriteTable(&table, Compare(readTrace(t, scenario), Policies())))
			golden.Assert(t, table.String(), scenario+".golden")
		})
	}
}

// Guards against a generator that depends on more than its options, so that the command in a header does not generate
// its trace, and against unknown scenarios and unordered traces that are accepted.
func TestSeedMakesTheStoredTrace(t *testing.T) {
	for _, scenario := range Scenarios() {
		trace, err := Generate(GenerateOptions{Scenario: scenario, Seed: 1})
		assert.NilError(t, err)
		assert.DeepEqual(t, trace, readTrace(t, scenario))
	}
	_, err := Generate(GenerateOptions{Scenario: "none"})
	assert.ErrorIs(t, err, ErrScenario)
	_, err = Read(bytes.NewBufferString("{}\n{\"t\":2}\n{\"t\":1}\n"))
	assert.ErrorIs(t, err, ErrTrace)
}

// Guards against policies that exceed a disruption budget or use a host for two pools, against requests that are
// counted neither as on time nor as late or rejected, and against bounds that a policy beats.
func TestPoliciesStayWithinBudgetsAndBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		trace, err := Generate(GenerateOptions{
			Scenario: rapid.SampledFrom(Scenarios()).Draw(rt, "scenario"), Seed: rapid.Uint64().Draw(rt, "seed"),
			Duration: 20 * time.Second, HostsPerPool: rapid.IntRange(2, 5).Draw(rt, "hosts"),
			SpareHosts: rapid.IntRange(1, 6).Draw(rt, "spare"), Services: rapid.IntRange(1, 4).Draw(rt, "services"),
			BurstTime: time.Duration(rapid.IntRange(3, 12).Draw(rt, "burst")) * time.Second,
		})
		assert.NilError(rt, err)
		bound := ClairvoyantBound(trace)
		for _, p := range Policies() {
			r := Run(trace, p, nil)
			assert.Equal(rt, r.BudgetViolations, 0, p.Name)
			assert.Equal(rt, r.WrongPoolStarts, 0, p.Name)
			assert.Equal(rt, r.OnTime+r.Late+r.Rejected, r.Urgent, p.Name)
			if p.BurstSized {
				continue
			}
			assert.Assert(rt, r.OnTime <= bound.OnTime, p.Name)
			assert.Assert(rt, r.BufferMS >= bound.BufferMS-1, "%s: buffer %f host-ms, bound %f", p.Name, r.BufferMS, bound.BufferMS)
			assert.Assert(rt, r.OnTime < r.Urgent || r.Cancelled > 0 || r.Moves >= bound.Moves, "%s: %d moves, bound %d", p.Name, r.Moves, bound.Moves)
		}
	})
}

// Guards against a panic on arbitrary trace files.
func FuzzRead(f *testing.F) {
	f.Add("{\"scenario\":\"steady\"}\n{\"t\":1,\"kind\":\"urgent\"}\n")
	f.Add("{}\n{\"t\":2}\n{\"t\":1}\n")
	f.Fuzz(func(t *testing.T, content string) {
		_, _ = Read(strings.NewReader(content))
	})
}

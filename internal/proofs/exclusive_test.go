package proofs

import (
	"bufio"
	"encoding/json"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/internal/localfleet"
	"github.com/tamarackworks/tamarackworks/loadgen"
	"github.com/tamarackworks/tamarackworks/structs"
)

// written is one log line of a leader about an assignment that it wrote.
type written struct {
	Message   string    `json:"message"`
	Timestamp time.Time `json:"timestamp"`
	Fields    struct {
		Host       string        `json:"host"`
		Pool       string        `json:"pool"`
		Phase      structs.Phase `json:"phase"`
		Generation uint64        `json:"generation"`
		Reason     string        `json:"reason"`
	} `json:"fields"`
}

// history reads from the logs of all entry hosts which assignments were written, by host.
func (w *world) history() map[string][]written {
	lines := make(map[string][]written)
	for _, e := range w.Entries {
		file, err := os.Open(e.LogPath)
		w.must(err)
		scanner := bufio.NewScanner(file)
		for scanner.Scan() {
			var line written
			// A killed process may leave half a line, which is skipped.
			if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Message == "assignment written" {
				lines[line.Fields.Host] = append(lines[line.Fields.Host], line)
			}
		}
		w.must(scanner.Err())
		w.must(file.Close())
	}
	return lines
}

// exclusive checks that each target started only requests of the pool that it was assigned to (P2). A leader logs an
// assignment after the write and before anybody learns of it from the leader, so between the line about an active
// assignment and the first line about a later one only that pool may be served.
func (w *world) exclusive() {
	w.t.Helper()
	histories := w.history()
	moves := 0
	for _, target := range w.Targets {
		executions, err := loadgen.Executions(w.ctx, target.ControlAddress)
		w.must(err)
		for _, line := range histories[target.Host] {
			if line.Fields.Phase != structs.PhaseActive {
				continue
			}
			from, to := line.Timestamp, nextWrite(histories[target.Host], line.Fields.Generation)
			service := w.serviceOf(line.Fields.Pool)
			moves++
			for _, e := range executions {
				if e.Service != service && e.Started.After(from) && e.Started.Before(to) {
					w.t.Errorf("%s served %s at %s, but was in pool %s from %s to %s",
						target.Host, e.Service, e.Started.Format(time.StampMicro), line.Fields.Pool, from.Format(time.StampMicro), to.Format(time.StampMicro))
				}
			}
		}
	}
	assert.Assert(w.t, moves >= len(w.Targets), "%d assignments in the logs", moves)
}

// nextWrite is when the first assignment with a larger generation was logged, or a time after the test.
func nextWrite(lines []written, generation uint64) time.Time {
	next := time.Now().Add(time.Hour)
	for _, l := range lines {
		if l.Fields.Generation > generation && l.Timestamp.Before(next) {
			next = l.Timestamp
		}
	}
	return next
}

func (w *world) serviceOf(pool string) string {
	for _, service := range services {
		if pool == w.Entries[0].DataCentre+"-"+service || pool == w.Entries[len(w.Entries)-1].DataCentre+"-"+service {
			return service
		}
	}
	return ""
}

func withSpare(o *localfleet.Options) { o.SparePerDC = 2 }

// burst asks each service in turn for about twice what its pools hold.
func burst() loadgen.Demand {
	return loadgen.Demand{
		Services: services, MeanRate: 60, BurstFactor: 5, IdleFactor: 0.05, BurstTime: 5 * time.Second, Length: 20 * time.Second,
		RunTime: 200 * time.Millisecond, Deadline: 10 * time.Second, BatchShare: 0.2,
		NonIdempotentShare: 0.3, KeyedShare: 1, Seed: 11,
	}
}

// Guards against a host that serves two pools while the planner moves hosts between pools in rotating bursts (P2).
func TestHostsServeOnePoolWhileBurstsMoveThem(t *testing.T) {
	t.Parallel()
	w := start(t, sizes(2, 4), withSpare)
	records := w.load(burst(), repeat())()
	w.judge(records)
	w.exclusive()
	moved := 0
	for _, lines := range w.history() {
		for _, l := range lines {
			if l.Fields.Phase == structs.PhaseReleasing {
				moved++
			}
		}
	}
	t.Logf("%d moves", moved)
	assert.Assert(t, moved > 0)
}

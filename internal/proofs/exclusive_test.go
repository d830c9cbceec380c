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

// assignmentLog is a log line that a leader writes after it has stored an assignment.
type assignmentLog struct {
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

// loggedAssignments returns the assignments in the logs of all entry hosts, by the host that was assigned.
func (tf *testFleet) loggedAssignments() map[string][]assignmentLog {
	byHost := make(map[string][]assignmentLog)
	for _, e := range tf.Entries {
		file, err := os.Open(e.LogPath)
		tf.must(err)
		scanner := bufio.NewScanner(file)
		for scanner.Scan() {
			var line assignmentLog
			// Skips lines that are no JSON: a killed process may leave an incomplete one.
			if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Message == "assignment written" {
				byHost[line.Fields.Host] = append(byHost[line.Fields.Host], line)
			}
		}
		tf.must(scanner.Err())
		tf.must(file.Close())
	}
	return byHost
}

// assertAssignedPoolOnly checks that each target started only requests of the pool that it was assigned to (P2). A
// leader logs an assignment after it has stored it and before it tells any other process. Between the line about an
// active assignment and the first line about a later one, the host may therefore serve only that pool.
func (tf *testFleet) assertAssignedPoolOnly() {
	tf.t.Helper()
	logs := tf.loggedAssignments()
	activeAssignments := 0
	for _, target := range tf.Targets {
		executions, err := loadgen.Executions(tf.ctx, target.ControlAddress)
		tf.must(err)
		for _, line := range logs[target.Host] {
			if line.Fields.Phase != structs.PhaseActive {
				continue
			}
			from, to := line.Timestamp, nextAssignmentTime(logs[target.Host], line.Fields.Generation)
			service := tf.serviceOfPool(line.Fields.Pool)
			activeAssignments++
			for _, e := range executions {
				if e.Service != service && e.Started.After(from) && e.Started.Before(to) {
					tf.t.Errorf("%s started a request of service %s at %s, but was assigned to pool %s from %s to %s",
						target.Host, e.Service, e.Started.Format(time.StampMicro), line.Fields.Pool, from.Format(time.StampMicro), to.Format(time.StampMicro))
				}
			}
		}
	}
	assert.Assert(tf.t, activeAssignments >= len(tf.Targets), "%d active assignments in the logs", activeAssignments)
}

// nextAssignmentTime returns when the first assignment with a larger generation was logged. If there is none, it
// returns a time after the end of the test.
func nextAssignmentTime(logs []assignmentLog, generation uint64) time.Time {
	next := time.Now().Add(time.Hour)
	for _, l := range logs {
		if l.Fields.Generation > generation && l.Timestamp.Before(next) {
			next = l.Timestamp
		}
	}
	return next
}

// serviceOfPool returns the service of a pool by the pool's name, or an empty string for a spare pool.
func (tf *testFleet) serviceOfPool(pool string) string {
	for _, service := range services {
		if pool == tf.Entries[0].DataCentre+"-"+service || pool == tf.Entries[len(tf.Entries)-1].DataCentre+"-"+service {
			return service
		}
	}
	return ""
}

func withSpareTargets(o *localfleet.Options) { o.SparePerDC = 2 }

// rotatingBursts returns a demand in which each service bursts in turn, at about twice the capacity of its pools.
func rotatingBursts() loadgen.Demand {
	return loadgen.Demand{
		Services: services, MeanRate: 60, BurstFactor: 5, IdleFactor: 0.05, BurstTime: 5 * time.Second, Length: 20 * time.Second,
		RunTime: 200 * time.Millisecond, Deadline: 10 * time.Second, BatchShare: 0.2,
		NonIdempotentShare: 0.3, KeyedShare: 1, Seed: 11,
	}
}

// Guards against a host that executes requests of two pools at once (P2). Rotating bursts make the planner move hosts
// between pools under load.
func TestHostsServeOnePoolWhileBurstsMoveThem(t *testing.T) {
	t.Parallel()
	tf := startFleet(t, withSizes(2, 4), withSpareTargets)
	records := tf.startLoad(rotatingBursts(), withRepeats())()
	tf.checkOutcomes(records)
	tf.assertAssignedPoolOnly()
	released := 0
	for _, lines := range tf.loggedAssignments() {
		for _, l := range lines {
			if l.Fields.Phase == structs.PhaseReleasing {
				released++
			}
		}
	}
	t.Logf("%d hosts released for a move", released)
	assert.Assert(t, released > 0)
}

package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/frontend"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/standin/rows"
	"github.com/tamarackworks/tamarackworks/standin/workers"
	"github.com/tamarackworks/tamarackworks/workload"
)

// Guards against a job that counts as not started although a former owner may have started it: by the older of its two rows, with a
// record, or at a takeover without a cutoff.
func TestOriginOfLoadedJobs(t *testing.T) {
	oldest := oldestVersions([]rowstore.Row{
		{Key: rowstore.Key{Partition: "submit-1", Name: "two rows"}, Version: 120}, {Key: rowstore.Key{Partition: "submit-2", Name: "two rows"}, Version: 90},
		{Key: rowstore.Key{Partition: "submit-1", Name: "one row"}, Version: 101},
	})
	assert.DeepEqual(t, oldest, map[string]uint64{"two rows": 90, "one row": 101})
	assert.Equal(t, originOf(101, false, 100), originUnstarted)
	assert.Equal(t, originOf(100, false, 100), originInherited, "the cutoff itself may be the version of a row that was started")
	assert.Equal(t, originOf(101, true, 100), originInherited)
	assert.Equal(t, originOf(101, false, 0), originInherited)
}

// cutKind is what the owner loses beside the writes to the store.
type cutKind struct{ reads, hosts bool }

// cutKinds are a data centre that is cut off, and two ways in which a store turns a host away.
var cutKinds = map[string]cutKind{"cut": {true, true}, "turned away": {true, false}, "writes refused": {}}

// cutOff cuts the owner off from the store, and from half of the n executors: those it keeps are out of reach of the other hosts.
// heal ends it.
func (c *cluster) cutOff(owner *host, n int, kind cutKind) (heal func()) {
	owner.cutOff.Store(kind.hosts)
	owner.handle.SetFault(func(write bool) rows.Fault {
		if write || kind.reads {
			return rows.Refuse
		}
		return rows.None
	})
	for i := range n {
		for _, h := range c.hosts {
			if (h == owner) == (i >= n/2) {
				h.unreachable.Store(fmt.Sprintf("x%d", i), true)
			}
		}
	}
	return func() {
		owner.handle.SetFault(nil)
		owner.cutOff.Store(false)
		for _, h := range c.hosts {
			h.unreachable.Clear()
		}
	}
}

// Replays the load of a data centre that is cut off in a burst together with the owner. Guards against jobs that wait until the
// leases on the executors there have expired although the former owner cannot have started them, and against jobs that both owners
// start.
func TestJobsAcceptedSinceTheOwnerWasCutOffStartAtOnce(t *testing.T) {
	for name, kind := range cutKinds {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				const executors, interval = 12, 50 * time.Millisecond
				c := newCluster(t, 3, executors)
				// By now the store counts as prompt, so that the short limit applies.
				time.Sleep(8 * time.Second)
				c.cutOff(c.ownerHost(), executors, kind)
				var ids, certain []string
				began := c.now()
				for ; c.now() < began+4*time.Second; time.Sleep(interval) {
					id := fmt.Sprintf("job%d", len(ids))
					ids = append(ids, id)
					c.submit(id, plainStep(1))
					if c.now() > began+time.Second {
						certain = append(certain, id)
					}
				}
				c.awaitAll(certain, workload.StatusCompleted, 2*time.Second)
				c.awaitAll(ids, workload.StatusCompleted, 30*time.Second)
				c.checkViolations()
			})
		})
	}
}

// ownerFault is a step of TestCutoffsUnderRandomFaults.
type ownerFault struct {
	after time.Duration
	kind  string
	// executor is the index of the executor that the fault affects, lasts how long it lasts.
	executor int
	lasts    time.Duration
}

// Guards against tasks that run twice or are lost when an owner takes jobs for not started that a former owner may have started: owners
// are cut off from the store and from executors one after the other while jobs arrive all the time, executors restart under their id,
// orders arrive late, and executors are out of reach of the next owner.
func TestCutoffsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) ownerFault {
			return ownerFault{
				after:    time.Duration(rapid.IntRange(0, 3000).Draw(rt, "after ms")) * time.Millisecond,
				kind:     rapid.SampledFrom([]string{"writes refused", "cut", "turned away", "restart", "unreachable", "late orders", "late writes", "kill"}).Draw(rt, "kind"),
				executor: rapid.IntRange(0, 5).Draw(rt, "executor"),
				lasts:    time.Duration(rapid.IntRange(500, 9000).Draw(rt, "lasts ms")) * time.Millisecond,
			}
		}), 1, 6).Draw(rt, "faults")
		var violations []string
		inBubble(t, func(t *testing.T) { violations = runOwnerFaults(t, faults) })
		if len(violations) > 0 {
			rt.Fatal(violations)
		}
	})
}

// runOwnerFaults runs jobs beside faults and returns what went wrong.
func runOwnerFaults(t *testing.T, faults []ownerFault) (violations []string) {
	const executors, jobInterval = 6, 70 * time.Millisecond
	c := newCluster(t, 4, executors)
	c.fleet.SetDuration(func(id workload.TaskID) (time.Duration, workload.End) {
		return time.Duration(150+70*id.Index) * time.Millisecond, workload.EndDone
	})
	var ids []string
	submitFor := func(d time.Duration) {
		for end := c.now() + d; c.now() < end; time.Sleep(jobInterval) {
			id := fmt.Sprintf("job%d", len(ids))
			ids = append(ids, id)
			c.submit(id, plainStep(1+len(ids)%2), plainStep(1, 0))
			if len(ids)%3 == 0 {
				// The fallback partition takes the job too, later.
				time.AfterFunc(time.Duration(len(ids)%7)*200*time.Millisecond, func() { c.submitAgain(id) })
			}
		}
	}
	time.Sleep(5 * time.Second)
	killed, restarts := 0, 0
	for _, f := range faults {
		submitFor(f.after)
		owner, id := c.ownerHost(), fmt.Sprintf("x%d", f.executor)
		switch {
		case f.kind == "restart":
			c.fleet.Restart(id)
			restarts++
		case f.kind == "late orders":
			c.fleet.SetFault(func(executor, _ string) workers.Fault {
				if executor == id {
					return workers.Late
				}
				return workers.None
			})
			time.AfterFunc(f.lasts/4, func() { c.fleet.SetFault(nil) })
		case owner == nil:
		case f.kind == "unreachable":
			owner.unreachable.Store(id, true)
			time.AfterFunc(f.lasts, func() { owner.unreachable.Delete(id) })
		case f.kind == "late writes":
			owner.handle.SetFault(func(write bool) rows.Fault {
				if write {
					return rows.Late
				}
				return rows.None
			})
			time.AfterFunc(f.lasts, func() { owner.handle.SetFault(nil) })
		case f.kind == "kill" && killed < 2:
			killed++
			c.kill(owner)
		default:
			time.AfterFunc(f.lasts, c.cutOff(owner, executors, cutKinds[f.kind]))
		}
	}
	submitFor(4 * time.Second)
	// Two restarts right after the start of a task may make its job fail.
	mayFail := restarts > 1
	for end := c.now() + 40*time.Second; len(c.unfinished(ids, mayFail)) > 0 && c.now() < end; {
		time.Sleep(100 * time.Millisecond)
	}
	if left := c.unfinished(ids, mayFail); len(left) > 0 {
		violations = append(violations, fmt.Sprintf("not completed: %v", left))
	}
	return append(violations, c.fleet.Violations()...)
}

// unfinished returns the jobs that are not completed, without those that failed if mayFail is set.
func (c *cluster) unfinished(ids []string, mayFail bool) (left []string) {
	for _, id := range ids {
		if status := c.status(id); status != workload.StatusCompleted && !(mayFail && status.Final()) {
			left = append(left, id)
		}
	}
	return left
}

// submitAgain stores the row of a job in its fallback partition too.
func (c *cluster) submitAgain(id string) {
	row, _ := c.store.Get(rowstore.Key{Table: frontend.JobTable, Partition: frontend.SubmitPartition(id), Name: id})
	c.store.Put(rowstore.Key{Table: frontend.JobTable, Partition: frontend.FallbackSubmitPartition(id), Name: id}, row.Value)
}

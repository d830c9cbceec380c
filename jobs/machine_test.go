package jobs

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/planner"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
)

// jobsModel drives a testEnv with random submissions, cancellations, faults, lost workers and leader changes, and holds
// what must be true of the jobs.
type jobsModel struct {
	env *testEnv
	// accepted tells of each accepted job by id whether it is idempotent. rejected holds the ids that were refused or
	// not accepted.
	accepted map[string]bool
	rejected []string
	// final holds the first final state that was seen of each job.
	final map[string]structs.JobState
	// leaders holds all schedulers so far. Only the last one has a valid fence.
	leaders     []*Scheduler
	leaderships []*testLeadership
	handles     []*memory.Handle
}

func (m *jobsModel) newLeader() {
	s, l := m.env.newLeader(nil)
	m.leaders, m.leaderships = append(m.leaders, s), append(m.leaderships, l)
	m.handles = append(m.handles, s.opts.Table.(*memory.Handle))
}

func (m *jobsModel) submit(t *rapid.T) {
	id := fmt.Sprintf("j%d", len(m.accepted)+len(m.rejected))
	idempotent := rapid.Bool().Draw(t, "idempotent")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	team := rapid.SampledFrom([]string{"a", "small"}).Draw(t, "team")
	_, err := m.env.submit(ctx, id, team, idempotent, rapid.Bool().Draw(t, "checkpointable"),
		rapid.Int64Range(0, 40000).Draw(t, "run"), rapid.IntRange(0, 5).Draw(t, "fail") == 0)
	switch {
	case err == nil:
		m.accepted[id] = idempotent
	case err == ErrUnknown:
		// The platform delays no write, so the row exists now or never will.
		if _, err := m.env.faultFree.Get(context.Background(), jobPrefix("dc")+id); err == nil {
			m.accepted[id] = idempotent
			return
		}
		m.rejected = append(m.rejected, id)
	default:
		m.rejected = append(m.rejected, id)
	}
}

func (m *jobsModel) cancel(t *rapid.T) {
	if len(m.accepted) == 0 {
		t.Skip("no job")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	id := fmt.Sprintf("j%d", rapid.IntRange(0, len(m.accepted)+len(m.rejected)-1).Draw(t, "id"))
	_, _ = m.env.store.Cancel(ctx, id)
}

// runPasses makes passes of the current leader, at the same time as passes of a randomly drawn leader that may be
// fenced.
func (m *jobsModel) runPasses(t *rapid.T) {
	n := rapid.IntRange(1, 10).Draw(t, "passes")
	stale := rapid.IntRange(0, len(m.leaders)-1).Draw(t, "leader")
	for range n {
		go func() { _ = m.leaders[stale].Pass(context.Background()) }()
		_ = m.leaders[len(m.leaders)-1].Pass(context.Background())
		time.Sleep(time.Second)
	}
	synctest.Wait()
}

func (m *jobsModel) setFaults(t *rapid.T) {
	f := rapid.SampledFrom([]memory.Faults{
		{}, {}, {LoseResponses: 3}, {DropWrites: 3}, {LoseResponses: 1, DropWrites: 1}, {RefuseWrites: true}, {Down: true},
		{Latency: 300 * time.Millisecond}, {Latency: 700 * time.Millisecond, LoseResponses: 5},
	}).Draw(t, "faults")
	if rapid.Bool().Draw(t, "entry") {
		m.env.entryHandle.SetFaults(f)
		return
	}
	m.handles[len(m.handles)-1].SetFaults(f)
}

func (m *jobsModel) changeWorker(t *rapid.T) {
	host := fmt.Sprintf("h%d", rapid.IntRange(0, 3).Draw(t, "host"))
	state, _ := m.env.platform.Host(host)
	switch rapid.IntRange(0, 2).Draw(t, "event") {
	case 0:
		m.env.platform.SetWorkerFailing(host, rapid.Bool().Draw(t, "failing"))
	case 1:
		_ = m.env.faultFree.Reboot(context.Background(), host, state.Incarnation)
	case 2:
		phase := rapid.SampledFrom([]structs.Phase{structs.PhaseActive, structs.PhaseDraining}).Draw(t, "phase")
		m.env.updateSnapshot(0, func(_ int, h *planner.Host) {
			if h.Name == host {
				h.Phase = phase
			}
		})
	}
}

func (m *jobsModel) changeLoad(t *rapid.T) {
	m.env.updateSnapshot(rapid.SampledFrom([]int{0, 50}).Draw(t, "backlog"), func(_ int, h *planner.Host) {
		h.InFlight = rapid.IntRange(0, 8).Draw(t, "in flight")
	})
}

// checkInvariants verifies what must be true after each action.
func (m *jobsModel) checkInvariants(t *rapid.T) {
	for id, idempotent := range m.accepted {
		job, starts := m.env.job(id), m.env.countStarts(id)
		assert.Assert(t, idempotent || starts <= 1, "%s started %d times: %+v", id, starts, job)
		assert.Assert(t, starts <= MaxAttempts || idempotent)
		if first, ok := m.final[id]; ok {
			assert.Equal(t, job.State, first, id)
		} else if job.State.Final() {
			m.final[id] = job.State
		}
		if job.State == structs.JobRefused || job.Reason == "cancelled before it started" {
			assert.Equal(t, starts, 0, id)
		}
		assert.Assert(t, job.State != structs.JobDone || starts > 0, id)
		assert.Assert(t, !job.State.Final() || job.State == structs.JobDone || job.Reason != "", id)
	}
	for _, id := range m.rejected {
		assert.Equal(t, m.env.countStarts(id), 0, id)
	}
}

// finishAll ends all faults and expects that every job reaches a final state.
func (m *jobsModel) finishAll(t *rapid.T) {
	m.env.entryHandle.SetFaults(memory.Faults{})
	for _, h := range m.handles {
		h.SetFaults(memory.Faults{})
	}
	m.env.updateSnapshot(0, func(_ int, h *planner.Host) {
		h.Phase, h.InFlight = structs.PhaseActive, 0
		m.env.platform.SetWorkerFailing(h.Name, false)
	})
	m.newLeader()
	for i := 0; i < 40 && len(m.final) < len(m.accepted); i++ {
		runPasses(context.Background(), m.leaders[len(m.leaders)-1], 10)
		m.checkInvariants(t)
	}
	for id := range m.accepted {
		job := m.env.job(id)
		assert.Assert(t, job.State.Final(), "%+v", job)
	}
}

// Guards, under random faults and leader changes, against a job with two final states or none, a non-idempotent job that
// starts twice, and a job that ran although it was reported as refused, not accepted or cancelled before its start.
func TestEachJobEndsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides Deadline, which must not be called in a synctest bubble.
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			m := &jobsModel{env: newTestEnv(rt), accepted: make(map[string]bool), final: make(map[string]structs.JobState)}
			m.newLeader()
			rt.Repeat(map[string]func(*rapid.T){
				"submit": m.submit, "submit2": m.submit, "cancel": m.cancel, "pass": m.runPasses, "pass2": m.runPasses, "faults": m.setFaults,
				"worker": m.changeWorker, "load": m.changeLoad, "lead": func(*rapid.T) { m.newLeader() }, "": m.checkInvariants,
				"sleep": func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second) },
			})
			m.finishAll(rt)
		})
	})
}

package frontend

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/scheduler"
	"github.com/tamarackworks/tamarackworks/standin/rows"
	"github.com/tamarackworks/tamarackworks/workload"
)

// closeQueue makes x refuse all jobs of its queue with an objective, as the owner of ten hosts tells it.
func closeQueue(x *fixture) {
	x.match.Policy = workload.Policy{Objective: 600}
	x.frontend.UpdateLoad(QueueLoad{Hosts: 10, Closures: []scheduler.Closure{
		{Queue: "long", Cause: scheduler.ClosedForBacklog, Work: -1, Horizon: time.Hour, Return: 3 * time.Second, Rate: 1000, Floor: 1, Slope: 1},
	}})
}

// Guards against a rejection of a job that is stored, that another attempt may have stored, or of which nobody can be asked, and
// against closures that outlast the contact with the owner.
func TestOnlyJobsThatWereCertainlyNeverStoredAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(t *testing.T, x, other *fixture)
		want    Outcome
	}{
		"closed":        {func(_ *testing.T, x, _ *fixture) { closeQueue(x) }, Rejected},
		"stale closure": {func(_ *testing.T, x, _ *fixture) { closeQueue(x); time.Sleep(closureTTL) }, OK},
		"open again":    {func(_ *testing.T, x, _ *fixture) { closeQueue(x); x.frontend.UpdateLoad(QueueLoad{}) }, OK},
		"closed for others": {func(_ *testing.T, x, _ *fixture) {
			closeQueue(x)
			x.frontend.closures.load.Closures[0].Organisation = "o"
		}, OK},
		"owner silent":         {func(_ *testing.T, x, _ *fixture) { closeQueue(x); x.owner.unreachable = true }, OK},
		"accepted before":      {func(t *testing.T, x, _ *fixture) { x.submit(t, "j"); closeQueue(x) }, OK},
		"uncertain here":       {func(_ *testing.T, x, _ *fixture) { closeQueue(x); x.frontend.submitted.record("j", 0, true) }, OK},
		"in progress here":     {func(_ *testing.T, x, _ *fixture) { closeQueue(x); x.frontend.submitted.begin("j") }, OK},
		"rejected before":      {func(t *testing.T, x, _ *fixture) { closeQueue(x); x.submit(t, "j") }, Rejected},
		"uncertain elsewhere":  {func(_ *testing.T, x, other *fixture) { closeQueue(x); other.frontend.submitted.record("j", 0, true) }, OK},
		"relayed by the owner": {func(_ *testing.T, x, other *fixture) { closeQueue(x); other.frontend.submitted.begin("j") }, OK},
		"store does not answer": {func(_ *testing.T, x, _ *fixture) {
			closeQueue(x)
			failed := false
			x.handle.SetFault(func(bool) rows.Fault {
				if failed {
					return rows.None
				}
				failed = true
				return rows.LoseResponse
			})
		}, OK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, other := newFixture(t), newFixture(t)
				x.owner.frontend = other.frontend
				c.prepare(t, x, other)
				result, took := x.submit(t, "j")
				assert.Equal(t, result.Outcome, c.want)
				if c.want == Rejected {
					assert.Assert(t, !x.stored("j") && took < 100*time.Millisecond)
					assert.Assert(t, result.RetryAfter >= 3*time.Second, "%v", result.RetryAfter)
					_, known := other.frontend.FirstSubmitted("j")
					assert.Assert(t, known, "lateness counts from the first submission")
				}
			})
		})
	}
}

// Replays an attempt whose connection breaks while its write is on its way to the store. Guards against another host that refuses the
// job a moment before it is stored.
func TestJobsThatMayBeStoredLateAreNotRefusedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, owner := newFixture(t), newFixture(t), newFixture(t)
		first.owner.frontend, second.owner.frontend = owner.frontend, owner.frontend
		first.match.Policy = workload.Policy{Objective: 600}
		first.handle.SetFault(func(bool) rows.Fault { return rows.Late })
		ctx, disconnect := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer disconnect()
		assert.Equal(t, first.frontend.Submit(ctx, first.match, &workload.Job{ID: "j"}).Outcome, Unknown)
		closeQueue(second)
		result, _ := second.submit(t, "j")
		assert.Equal(t, result.Outcome, OK)
		time.Sleep(5 * time.Second)
	})
}

// Guards against refused callers that return together, and against delays beyond the work that they return with.
func TestRefusedJobsReturnSpreadOverTheirWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(t)
		closeQueue(x)
		var delays [4]int
		for i := range 100 {
			// This host's share of the core is a tenth, at which each job takes 120 ms.
			job := &workload.Job{ID: fmt.Sprint("j", i), Steps: []workload.Step{{Count: 1, Size: workload.Resources{CPUMilli: 100}, Estimate: 120}}}
			result := x.frontend.Submit(t.Context(), x.match, job)
			assert.Equal(t, result.Outcome, Rejected)
			assert.Assert(t, result.RetryAfter >= 3*time.Second && result.RetryAfter <= 15*time.Second)
			delays[min(int((result.RetryAfter-3*time.Second)/(4*time.Second)), 3)]++
		}
		// 12 s of work in windows of 4 s.
		for _, n := range delays[:3] {
			assert.Assert(t, n > 30 && n < 37, "%v", delays)
		}
	})
}

// Guards against an organisation that is shut out altogether: all hosts together let one of its jobs a second pass.
func TestClosedOrganisationsKeepAFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(t)
		x.match.Organisation = "o"
		accepted := 0
		for i := range 400 {
			closeQueue(x)
			if result, _ := x.submit(t, fmt.Sprint("j", i)); result.Outcome == OK {
				accepted++
			}
			time.Sleep(100 * time.Millisecond)
		}
		// Ten hosts let one job each pass in ten seconds.
		assert.Assert(t, accepted == 3 || accepted == 4, "%d", accepted)
	})
}

// Guards against the refusal of a job that may be stored, because many later submissions displaced what the host knows of it.
func TestUncertainSubmissionsOutlastCertainOnes(t *testing.T) {
	var s submissions
	const uncertain = maxSubmissions / 5
	for i := range uncertain {
		s.record(fmt.Sprint("uncertain", i), 0, true)
	}
	for i := range maxSubmissions {
		s.record(fmt.Sprint("refused", i), time.Second, false)
	}
	for i := range uncertain {
		assert.Assert(t, !s.isCertain(fmt.Sprint("uncertain", i), time.Second, 0))
	}
	assert.Assert(t, len(s.byID) <= maxSubmissions)
}

// Guards against messages to the owner, and responses held back for them, where no queue can be closed.
func TestOnlyJobsThatCanBeRefusedAreReportedAsUncertain(t *testing.T) {
	for _, objective := range []workload.Millis{0, 600} {
		synctest.Test(t, func(t *testing.T) {
			x, other := newFixture(t), newFixture(t)
			x.owner.frontend = other.frontend
			x.match.Policy = workload.Policy{Objective: objective}
			x.handle.SetFault(func(bool) rows.Fault { return rows.Late })
			ctx, disconnect := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer disconnect()
			assert.Equal(t, x.frontend.Submit(ctx, x.match, &workload.Job{ID: "j"}).Outcome, Unknown)
			assert.Equal(t, other.frontend.submitted.isUncertain("j", other.frontend.opts.Now()), objective > 0)
			time.Sleep(5 * time.Second)
		})
	}
}

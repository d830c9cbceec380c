package frontend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/scheduler"
	"github.com/tamarackworks/tamarackworks/standin/rows"
	"github.com/tamarackworks/tamarackworks/workload"
)

// Guards against a host that hands out the same room twice: to jobs of which the owner does not know yet, or that other hosts use.
func TestCreditFollowsTheRoom(t *testing.T) {
	var r jobRoom
	now := time.Minute
	assert.Assert(t, !r.take(11, 10, now), "the owner told nothing")
	assert.Assert(t, r.take(10, 10, now))
	assert.Assert(t, !r.take(1, 10, now))
	now += 2 * roomLag
	r.update(80, 2, now)
	assert.Assert(t, r.take(20, 10, now))
	assert.Assert(t, !r.take(1, 10, now), "half of the part of this host")
	r.update(80, 2, now)
	assert.Assert(t, !r.take(1, 10, now), "the owner does not know of the jobs yet")
	now += 2 * roomLag
	r.update(-5, 0, now)
	assert.Assert(t, !r.take(1, 10, now))
	now += roomTTL + 1
	assert.Assert(t, r.take(10, 10, now), "the owner tells nothing any more")
	assert.Assert(t, !r.take(1, 10, now))
}

// Guards against accepting jobs for which the owner has no room, against a refusal that promises too much, and against refusing a job that
// is stored.
func TestJobsWithoutRoomAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(t *testing.T, x *fixture)
		want    Outcome
	}{
		"room":          {func(*testing.T, *fixture) {}, OK},
		"no room":       {func(_ *testing.T, x *fixture) { x.owner.full = true }, Rejected},
		"no bound":      {func(_ *testing.T, x *fixture) { x.frontend.opts.UnconfirmedJobMemory, x.owner.full = 0, true }, OK},
		"no owner":      {func(_ *testing.T, x *fixture) { x.owner.unreachable = true }, Unknown},
		"told room":     {func(_ *testing.T, x *fixture) { x.owner.full = true; x.frontend.UpdateRoom(1<<30, 3) }, OK},
		"may be stored": {func(_ *testing.T, x *fixture) { x.owner.full = true; x.frontend.RecordUncertain("1") }, Unknown},
		"stored": {func(t *testing.T, x *fixture) {
			x.owner.full = true
			key := rowstore.Key{Table: JobTable, Partition: SubmitPartition("1"), Name: "1"}
			_, err := x.handle.Commit(t.Context(), rowstore.Txn{Put: []rowstore.Row{{Key: key, Value: []byte("{}")}}})
			assert.NilError(t, err)
		}, Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newFixture(t)
				x.frontend.opts.UnconfirmedJobMemory = 1
				c.prepare(t, x)
				job := &workload.Job{ID: "1", Steps: []workload.Step{{Count: 1}}}
				assert.Assert(t, scheduler.Footprint(job) > 1)
				result := x.frontend.Submit(t.Context(), x.match, job)
				assert.Equal(t, result.Outcome, c.want)
				assert.Equal(t, result.RetryAfter > 0, c.want != OK)
			})
		})
	}
}

// Replays an attempt whose connection breaks while its write is on its way to the store, for a job of a kind that no closure refuses. Guards
// against another host that promises that the job never runs, a moment before it is stored.
func TestJobsThatMayBeStoredLateAreNotRefusedForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, owner := newFixture(t), newFixture(t), newFixture(t)
		for _, x := range []*fixture{first, second} {
			x.owner.frontend = owner.frontend
			x.frontend.opts.UnconfirmedJobMemory = 1
		}
		job := func() *workload.Job {
			return &workload.Job{ID: "1", Steps: []workload.Step{{Count: 1, LongRunning: true}}}
		}
		assert.Assert(t, !scheduler.MayBeRefused(job()))
		first.handle.SetFault(func(bool) rows.Fault { return rows.Late })
		ctx, disconnect := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer disconnect()
		assert.Equal(t, first.frontend.Submit(ctx, first.match, job()).Outcome, Unknown)
		second.owner.full = true
		assert.Equal(t, second.frontend.Submit(t.Context(), second.match, job()).Outcome, Unknown)
		time.Sleep(5 * time.Second)
	})
}

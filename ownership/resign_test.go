package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/standin/rows"
)

// Guards against an owner that resigns in an outage of the store for all, at a slow store, or right after its takeover, and against one
// that waits for its lease to end although the store serves other hosts.
func TestOwnersResignOnlyIfTheStoreServesOthers(t *testing.T) {
	const ms = time.Millisecond
	served := []time.Duration{20 * ms, 100 * ms}
	refused := storeContact{led: 2 * time.Second, prompt: true, failing: 300 * ms, silence: 350 * ms, refused: 2, peers: served}
	with := func(change func(*storeContact)) storeContact {
		s := refused
		change(&s)
		return s
	}
	for name, tc := range map[string]struct {
		contact storeContact
		want    bool
	}{
		"refused":                      {refused, true},
		"refused once":                 {with(func(s *storeContact) { s.refused = 1 }), false},
		"silent":                       {with(func(s *storeContact) { s.refused, s.silence = 0, 600*ms }), true},
		"silent for a short time":      {with(func(s *storeContact) { s.refused, s.silence = 0, 599*ms }), false},
		"served":                       {with(func(s *storeContact) { s.failing = 0 }), false},
		"slow store":                   {with(func(s *storeContact) { s.prompt = false }), false},
		"just taken over":              {with(func(s *storeContact) { s.led = 999 * ms }), false},
		"no peers":                     {with(func(s *storeContact) { s.peers = nil }), false},
		"one served peer":              {with(func(s *storeContact) { s.peers = []time.Duration{20 * ms, 301 * ms} }), false},
		"peers served before it fails": {with(func(s *storeContact) { s.peers = []time.Duration{151 * ms, 160 * ms} }), false},
	} {
		assert.Equal(t, tc.contact.shouldResign(), tc.want, name)
	}
}

// Replays a store that turns the owner away and serves all other hosts. Guards against a takeover that waits for the lease to end, and
// against a resigned owner that goes on. In each of the other cases a resignation would only stop accepted jobs.
func TestOwnerThatTheStoreTurnsAwayIsReplacedBeforeItsLeaseEnds(t *testing.T) {
	refuse := func(bool) rows.Fault { return rows.Refuse }
	all := func(fault func(bool) rows.Fault) func(*group, *candidate) {
		return func(g *group, _ *candidate) {
			for _, c := range g.candidates {
				c.handle.SetFault(fault)
			}
		}
	}
	for name, tc := range map[string]struct {
		lose func(g *group, first *candidate)
		// within is the time to the takeover, 0 if the owner must not resign.
		within time.Duration
	}{
		"refused":                     {func(_ *group, c *candidate) { c.handle.SetFault(refuse) }, 1100 * time.Millisecond},
		"no responses":                {func(_ *group, c *candidate) { c.handle.SetFault(dropCall) }, 1100 * time.Millisecond},
		"refused, hosts cut off":      {func(g *group, c *candidate) { g.silentOwners.Store(true); c.handle.SetFault(refuse) }, 0},
		"writes refused":              {func(_ *group, c *candidate) { c.handle.SetFault(faultFunc("refuse writes")) }, 0},
		"all refused":                 {all(refuse), 0},
		"all without responses":       {all(dropCall), 0},
		"partition of the lease down": {func(g *group, _ *candidate) { g.store.SetDown(leasePartition) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				names := []string{"a", "b", "c", "d"}
				g := newGroup(t, names...)
				g.successors.Store(&names)
				g.stopTime = 200 * time.Millisecond
				go g.changeRows(t)
				time.Sleep(8 * time.Second)
				first := g.owners()[0]
				holder := first.manager.Holder()
				tc.lose(g, first)
				began := time.Now()
				for first.manager.OwnsJobs() || len(g.owners()) == 0 {
					if time.Sleep(10 * time.Millisecond); time.Since(began) > 3*time.Second {
						break
					}
				}
				took := time.Since(began)
				assert.Equal(t, first.manager.Holder() != holder, tc.within != 0, "took %s", took)
				if tc.within != 0 {
					assert.Assert(t, took <= tc.within, "took %s", took)
				}
				time.Sleep(2 * time.Second)
				terms := g.stop()
				assert.Equal(t, wrongCutoff(terms), "")
				if tc.within != 0 {
					assert.Assert(t, !terms[0].ended.After(terms[1].began), "the resigned owner goes on beside its successor")
					assert.Assert(t, terms[1].AcceptedAfter != 0)
				}
			})
		})
	}
}

// Guards against a takeover that is late by the time-out of a probe that gets no response.
func TestProbesWithoutResponseDoNotDelayTheTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"a", "b", "c"}
		g := newGroup(t, names...)
		g.successors.Store(&names)
		time.Sleep(8 * time.Second)
		first := g.owners()[0]
		g.hangingProbes.Store(true)
		first.handle.SetFault(dropCall)
		time.Sleep(shortValidity + takeoverMargin + minSlot + maxJitter + 50*time.Millisecond)
		assert.Equal(t, len(g.owners()), 1)
	})
}

// hedgedStore refuses a commit after a second one, which is made meanwhile, has succeeded.
type hedgedStore struct {
	Store
	hedge func()
}

func (s *hedgedStore) Commit(context.Context, rowstore.Txn) (uint64, error) {
	if hedge := s.hedge; hedge != nil {
		s.hedge = nil
		hedge()
		return 0, rowstore.ErrUnavailable
	}
	return 1, nil
}

// Guards against an owner that resigns after a single refused attempt, because one that was refused after the renewal had succeeded counts
// for the next renewal.
func TestAttemptsRefusedAfterASuccessDoNotCount(t *testing.T) {
	store := &hedgedStore{}
	m := New(Options{Store: store, Now: func() time.Duration { return time.Minute }})
	store.hedge = func() {
		_, err := m.attemptRenewal(t.Context(), Lease{}, 1)
		assert.NilError(t, err)
	}
	_, err := m.attemptRenewal(t.Context(), Lease{}, 1)
	assert.ErrorIs(t, err, rowstore.ErrUnavailable)
	assert.Equal(t, m.failed, failedRenewals{})
}

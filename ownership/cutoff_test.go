package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/standin/rows"
)

// Guards against a cutoff that is read while a former owner may still start jobs that arrive: the holder of the lease, or an owner
// before it that was replaced because its address refused connections.
func TestCutoffIsReadAfterTheLastStart(t *testing.T) {
	const seen, changed = 10 * time.Second, 13 * time.Second
	short := Lease{Holder: "a", ValidMS: 1100, StartsMS: 600}
	for name, tc := range map[string]struct {
		o    leaseObservation
		want time.Duration
	}{
		"short limit":               {leaseObservation{short, changed, seen, false}, changed + 600*time.Millisecond},
		"row of a former version":   {leaseObservation{Lease{Holder: "a", ValidMS: 1100}, changed, seen, false}, changed + 1100*time.Millisecond},
		"limit beyond the validity": {leaseObservation{Lease{Holder: "a", ValidMS: 1100, StartsMS: 1200}, changed, seen, false}, changed + 1100*time.Millisecond},
		"no validity":               {leaseObservation{Lease{}, changed, seen, false}, changed + fullValidity},
		"holder has stopped":        {leaseObservation{short, changed, seen, true}, seen + fullValidity},
		"new holder":                {leaseObservation{short, changed, changed, false}, changed + fullValidity},
		"new holder has stopped":    {leaseObservation{short, changed, changed, true}, changed + fullValidity},
	} {
		assert.Equal(t, formerStartsEndAt(tc.o), tc.want+cutoffMargin, name)
	}
	assert.Equal(t, acceptanceCutoff{leaseVersion: 7, version: 9}.of(7), uint64(9))
	assert.Equal(t, acceptanceCutoff{leaseVersion: 7, version: 9}.of(8), uint64(0), "the lease has changed since")
}

// Guards against a cutoff that is later than it has to be, so that jobs wait for executors that no former owner can have used, and
// against one that is too early. A process that has not ended although its address refuses connections may still start jobs.
func TestTakeoversKnowWhatWasAcceptedAfterTheLastStart(t *testing.T) {
	for name, tc := range map[string]struct {
		// led is how long the first owner leads before lose ends its renewals.
		led  time.Duration
		lose func(g *group, first *candidate)
		// limit bounds the time from the last row that the first owner could start to the cutoff; 0 means that there is no cutoff.
		limit time.Duration
	}{
		"lost at a fast store":       {8 * time.Second, func(_ *group, c *candidate) { c.handle.SetFault(dropCall) }, 250 * time.Millisecond},
		"lost before it is fast":     {time.Second, func(_ *group, c *candidate) { c.handle.SetFault(dropCall) }, 250 * time.Millisecond},
		"released":                   {8 * time.Second, func(_ *group, c *candidate) { go c.manager.Withdraw(context.Background()) }, 100 * time.Millisecond},
		"refuses connections, fast":  {8 * time.Second, loseAndRefuse, 250 * time.Millisecond},
		"refuses connections, early": {2700 * time.Millisecond, loseAndRefuse, 0},
		// The renewal after the sixth prompt one is the first with the short limit.
		"first short renewal has no response": {3200 * time.Millisecond, loseAfterNextWrite, 250 * time.Millisecond},
		"another run answers":                 {8 * time.Second, restart, 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				names := []string{"a", "b", "c"}
				g := newGroup(t, names...)
				g.successors.Store(&names)
				go g.changeRows(t)
				time.Sleep(tc.led)
				first := g.owners()[0]
				tc.lose(g, first)
				time.Sleep(4 * time.Second)
				terms := g.stop()
				assert.Equal(t, len(terms), 2, "%+v", terms)
				former, later := terms[0], terms[1]
				assert.Equal(t, wrongCutoff(terms), "")
				if tc.limit == 0 {
					assert.Equal(t, later.AcceptedAfter, uint64(0))
					return
				}
				late := time.Duration(later.AcceptedAfter-former.lastStartable) * arrivalInterval
				assert.Assert(t, later.AcceptedAfter != 0 && late <= tc.limit, "cutoff %d, last startable %d", later.AcceptedAfter, former.lastStartable)
			})
		})
	}
}

func loseAfterNextWrite(_ *group, c *candidate) {
	writes := 0
	c.handle.SetFault(func(write bool) rows.Fault {
		if write {
			writes++
		}
		if write && writes == 1 {
			return rows.LoseResponse
		}
		return rows.Refuse
	})
}

func loseAndRefuse(g *group, c *candidate) {
	c.handle.SetFault(dropCall)
	g.ended.Store(c.manager.opts.Address, "")
}

func restart(g *group, c *candidate) {
	c.handle.SetFault(dropCall)
	c.cancel()
	g.ended.Store(c.manager.opts.Address, c.manager.opts.Name+"/2")
}

// Guards against a takeover that waits for a read that gets no response: without a cutoff all stored jobs are inherited.
func TestTakeoverDoesNotWaitForTheCutoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b")
		time.Sleep(8 * time.Second)
		first := g.owners()[0]
		g.silentReads.Store(true)
		first.handle.SetFault(dropCall)
		time.Sleep(1700 * time.Millisecond)
		assert.Equal(t, len(g.owners()), 1)
		for _, term := range g.stop() {
			assert.Equal(t, term.AcceptedAfter, uint64(0))
		}
	})
}

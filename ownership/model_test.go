package ownership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/standin/rows"
)

// faultStep changes the faults of the store once, after a delay.
type faultStep struct {
	delay time.Duration
	// candidate is the index of the candidate whose calls suffer the fault from then on; slow is Store.SetSlow's argument.
	candidate int
	fault     string
	slow      time.Duration
	// unreachable candidates do not answer the probes of others.
	unreachable bool
}

// faultNames are the faults of one candidate's calls, either of reads and writes or of writes only.
var faultNames = []string{"none", "silent", "refuse", "lose writes", "refuse writes", "late writes", "some lost"}

// faultFunc returns the function for Handle.SetFault that applies a fault of faultNames.
func faultFunc(name string) func(write bool) rows.Fault {
	n := 0
	return func(write bool) rows.Fault {
		n++
		switch {
		case name == "silent":
			return rows.DropCall
		case name == "refuse", name == "refuse writes" && write:
			return rows.Refuse
		case name == "lose writes" && write:
			return rows.LoseResponse
		case name == "late writes" && write && n%2 == 0:
			return rows.Late
		case name == "some lost" && n%3 == 0:
			return rows.LoseResponse
		}
		return rows.None
	}
}

func drawSteps(rt *rapid.T, candidates int) []faultStep {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) faultStep {
		return faultStep{
			delay:       time.Duration(rapid.IntRange(10, 4000).Draw(rt, "after ms")) * time.Millisecond,
			candidate:   rapid.IntRange(0, candidates-1).Draw(rt, "member"),
			fault:       rapid.SampledFrom(faultNames).Draw(rt, "fault"),
			unreachable: rapid.Bool().Draw(rt, "unreachable"),
			slow:        rapid.SampledFrom([]time.Duration{0, 0, 0, 100, 400, 800}).Draw(rt, "slow ms") * time.Millisecond,
		}
	}), 1, 25).Draw(rt, "events")
}

// runSteps runs the steps and returns a violation: more than one owner at any time, not exactly one after all faults have ended, or
// a cutoff after which a former owner could start a job. It returns "" if there was none.
func runSteps(t *testing.T, names []string, steps []faultStep) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, names...)
		g.successors.Store(&names)
		go g.changeRows(t)
		g.stopTime = 150 * time.Millisecond
		watch := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if n := len(g.owners()); n > 1 && violation == "" {
					violation = fmt.Sprintf("%d owners", n)
				}
			}
		}
		watch(time.Second)
		for _, step := range steps {
			watch(step.delay)
			g.candidates[step.candidate].handle.SetFault(faultFunc(step.fault))
			g.store.SetSlow(step.slow)
			if address := g.candidates[step.candidate].manager.opts.Address; step.unreachable {
				g.unreachable.Store(address, true)
			} else {
				g.unreachable.Delete(address)
			}
		}
		for _, c := range g.candidates {
			c.handle.SetFault(nil)
		}
		g.store.SetSlow(0)
		// Calls under way may need their full time-out; a takeover follows.
		watch(8 * time.Second)
		if n := len(g.owners()); n != 1 && violation == "" {
			violation = fmt.Sprintf("%d owners after all faults have ended", n)
		}
		if wrong := wrongCutoff(g.stop()); wrong != "" && violation == "" {
			violation = wrong
		}
	})
	return violation
}

// No sequence of faults of the store may lead to two owners at once, and there must be an owner after all faults have ended.
func TestOneOwnerAfterAnyFaultsOfTheStore(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(rt *rapid.T) {
		if violation := runSteps(t, names, drawSteps(rt, len(names))); violation != "" {
			rt.Fatal(violation)
		}
	})
}

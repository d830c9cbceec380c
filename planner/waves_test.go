package planner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/structs"
)

// runWave runs a wave with no other losses, in steps of the default host time, and checks that each step takes out
// hosts of one rack only. It returns when the wave completed and the estimate at its start.
func runWave(t *testing.T, s Snapshot, maxParallel int) (end, estimate time.Time) {
	t.Helper()
	s.Waves = []Wave{{Wave: structs.Wave{Name: "w", MaxParallel: maxParallel}, Done: make(map[string]bool)}}
	now := testNow
	for {
		plan := NextExits(s, now)[0]
		if estimate.IsZero() {
			estimate = plan.End
		}
		if plan.Remaining == 0 {
			return now, estimate
		}
		assert.Assert(t, len(plan.Exits) > 0, plan.Waiting)
		racks := make(map[string]bool)
		for _, e := range plan.Exits {
			for i := range s.Hosts {
				if s.Hosts[i].Name == e.Host {
					racks[s.Hosts[i].Rack] = true
				}
			}
			s.Waves[0].Done[e.Host] = true
		}
		assert.Equal(t, len(racks), 1)
		now = now.Add(DefaultHostTime)
	}
}

// A wave at the design size (1,500 hosts, 206 pools) must maintain every host once within two weeks, work on one rack at
// a time, and not end after its estimate.
func TestWaveMaintainsEveryHostInTwoWeeks(t *testing.T) {
	end, estimate := runWave(t, fleet(205, 7, 65), 4)
	assert.Assert(t, end.Sub(testNow) <= 14*24*time.Hour, end.Sub(testNow))
	assert.Assert(t, !end.After(estimate), "end %s, estimate %s", end, estimate)
	// A wave is slowest with one host at a time.
	end, estimate = runWave(t, fleet(205, 7, 65), 1)
	assert.Assert(t, end.Sub(testNow) <= 14*24*time.Hour, end.Sub(testNow))
	assert.Equal(t, end, estimate)
}

// No host may leave while the wave is paused, while its parallelism is used up, without disruption budget after an
// unplanned loss, during an urgent backlog, or without spare capacity. The plan must state the reason. A pool with a
// budget of 0 has no estimate.
func TestWaveWaitsWithAReason(t *testing.T) {
	tests := map[string]func(s *Snapshot){
		"the wave is paused":                        func(s *Snapshot) { s.Waves[0].Paused = true },
		"as many hosts as allowed are out":          func(s *Snapshot) { s.Hosts[0].Phase = structs.PhaseRebooting; s.Waves[0].MaxParallel = 1 },
		"pool p000 has no availability budget left": func(s *Snapshot) { s.Hosts[1].Live = false },
		"pool p000 has an urgent backlog":           func(s *Snapshot) { s.Pools[0].Backlog = 1 },
		"pool p000 has no capacity to spare":        func(s *Snapshot) { s.Pools[0].ArrivalRate = 30 },
	}
	for want, change := range tests {
		s := fleet(1, 4, 0)
		s.Waves = []Wave{{Wave: structs.Wave{Name: "w", MaxParallel: 2}}}
		change(&s)
		plan := NextExits(s, testNow)[0]
		assert.Equal(t, len(plan.Exits), 0, want)
		assert.Equal(t, plan.Waiting, want)
		assert.Assert(t, !plan.End.IsZero())
	}
	s := fleet(1, 4, 0)
	s.Pools[0].MaxUnavailable = 0
	s.Waves = []Wave{{Wave: structs.Wave{Name: "w", MaxParallel: 2}}}
	assert.Assert(t, NextExits(s, testNow)[0].End.IsZero())
}

package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackworks/tamarackworks/structs"
)

// DefaultHostTime is the assumed time that a host is out for maintenance, used until one was observed.
const DefaultHostTime = 10 * time.Minute

// Exit takes one host of a pool out of service for maintenance.
type Exit struct {
	Host, Pool string
}

// WavePlan is the next step of one wave and its estimated end.
type WavePlan struct {
	Wave string
	// Exits lists the hosts to take out now.
	Exits []Exit
	// Out counts the hosts that are out for maintenance, Remaining those that have not returned from it yet, including
	// the ones that are out.
	Out, Remaining int
	// End is the estimated completion time; zero if the disruption budget of some pool is 0, so that the wave cannot
	// complete.
	End time.Time
	// Waiting is the reason why no host leaves now; empty if some do or the wave is complete.
	Waiting string
}

// NextExits plans for each wave the next hosts to leave. A wave works on one rack at a time. A host leaves only if its
// pool has disruption budget left, no urgent backlog, and enough slots without the host. Waves share the budgets: an
// earlier wave of the snapshot is planned first.
func NextExits(s Snapshot, now time.Time) []WavePlan {
	byName, _ := groupByPool(&s)
	plans := make([]WavePlan, 0, len(s.Waves))
	for i := range s.Waves {
		plans = append(plans, planWave(&s, &s.Waves[i], byName, now))
	}
	return plans
}

// rackProgress is the progress of a wave on one rack. remainingByPool counts the hosts in pending and out by pool.
type rackProgress struct {
	name            string
	pending, out    []*Host
	done            int
	remainingByPool map[string]int
}

// planWave plans the next step of one wave and charges its exits to the pools in byName.
func planWave(s *Snapshot, w *Wave, byName map[string]*poolView, now time.Time) WavePlan {
	racks := racksInScope(s, w, byName)
	plan := WavePlan{Wave: w.Name}
	rackStarted := false
	for _, r := range racks {
		plan.Out += len(r.out)
		plan.Remaining += len(r.out) + len(r.pending)
		rackStarted = rackStarted || len(r.out) > 0
	}
	plan.End = estimateEnd(w, racks, byName, now)
	if plan.Remaining == plan.Out {
		return plan
	}
	if w.Paused {
		plan.Waiting = "the wave is paused"
		return plan
	}
	maxExits := max(1, w.MaxParallel) - plan.Out
	if maxExits <= 0 {
		plan.Waiting = "as many hosts as allowed are out"
		return plan
	}
	for _, r := range racks {
		// The next rack starts only when all hosts of the current one are back, so that a rack failure and the
		// wave together take out hosts of at most two racks.
		if rackStarted && len(r.out) == 0 {
			continue
		}
		plan.Exits = planExits(r, byName, maxExits, &plan.Waiting)
		if len(plan.Exits) > 0 {
			plan.Waiting = ""
			break
		}
	}
	return plan
}

// racksInScope returns the racks with hosts in the scope of the wave: first those with hosts out for maintenance, then
// those with hosts done, then by name.
func racksInScope(s *Snapshot, w *Wave, byName map[string]*poolView) []*rackProgress {
	index := make(map[string]*rackProgress)
	var racks []*rackProgress
	for i := range s.Hosts {
		h := &s.Hosts[i]
		if byName[h.Pool] == nil || len(w.Pools) > 0 && !slices.Contains(w.Pools, h.Pool) {
			continue
		}
		r := index[h.Rack]
		if r == nil {
			r = &rackProgress{name: h.Rack, remainingByPool: make(map[string]int)}
			index[h.Rack] = r
			racks = append(racks, r)
		}
		switch {
		case w.Done[h.Name]:
			r.done++
			continue
		case h.Phase == structs.PhaseDraining || h.Phase == structs.PhaseRebooting:
			r.out = append(r.out, h)
		default:
			r.pending = append(r.pending, h)
		}
		r.remainingByPool[h.Pool]++
	}
	slices.SortFunc(racks, func(a, b *rackProgress) int {
		return cmp.Or(-compareBool(len(a.out) > 0, len(b.out) > 0), -compareBool(a.done > 0, b.done > 0),
			cmp.Compare(a.name, b.name))
	})
	return racks
}

// planExits plans up to maxExits exits from one rack, hosts with fewer requests and tasks first, and charges them to the
// pools. It stores in waiting why the last blocked host may not leave.
func planExits(r *rackProgress, byName map[string]*poolView, maxExits int, waiting *string) []Exit {
	slices.SortFunc(r.pending, func(a, b *Host) int {
		return cmp.Or(cmp.Compare(a.InFlight+a.Tasks, b.InFlight+b.Tasks), cmp.Compare(a.Name, b.Name))
	})
	var exits []Exit
	for _, h := range r.pending {
		v := byName[h.Pool]
		if reason := exitBlockedReason(h, v); reason != "" {
			*waiting = reason
			continue
		}
		if len(exits) == maxExits {
			break
		}
		v.removeHost(h)
		exits = append(exits, Exit{Host: h.Name, Pool: h.Pool})
	}
	return exits
}

// exitBlockedReason returns why a host may not leave now, or an empty string if it may.
func exitBlockedReason(h *Host, v *poolView) string {
	switch {
	case !slices.Contains(v.usable, h):
		return "host " + h.Name + " is not in service, or leaves already"
	case v.remainingBudget() < 1:
		return "pool " + v.Name + " has no availability budget left"
	case v.Backlog > 0:
		return "pool " + v.Name + " has an urgent backlog"
	case v.load() > float64(v.usableSlots-h.slots()):
		return "pool " + v.Name + " has no capacity to spare"
	}
	return ""
}

// estimateEnd returns the estimated completion time of a wave, or zero if the disruption budget of a pool is 0. Racks
// follow one another; each takes as many rounds of the host time as budgets and parallelism require.
func estimateEnd(w *Wave, racks []*rackProgress, byName map[string]*poolView, now time.Time) time.Time {
	hostTime := w.HostTime
	if hostTime <= 0 {
		hostTime = DefaultHostTime
	}
	end := now
	for _, r := range racks {
		rounds := ceilDiv(len(r.out)+len(r.pending), max(1, w.MaxParallel))
		for pool, n := range r.remainingByPool {
			if byName[pool].MaxUnavailable < 1 {
				return time.Time{}
			}
			rounds = max(rounds, ceilDiv(n, byName[pool].MaxUnavailable))
		}
		end = end.Add(time.Duration(rounds) * hostTime)
	}
	return end
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

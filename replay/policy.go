package replay

import (
	"slices"
	"time"

	"github.com/tamarackworks/tamarackworks/planner"
	"github.com/tamarackworks/tamarackworks/structs"
)

// Policy decides which hosts move between pools. Maintenance waves and the placement of jobs are planned by package
// planner under every policy.
type Policy struct {
	Name string
	// Moves returns the moves to start now. If it is nil, no host ever moves.
	Moves func(s planner.Snapshot, now time.Time) []planner.Move
	// BurstSized sizes each pool for the largest load that the trace offers to it and leaves the spare pool empty.
	BurstSized bool
}

// Policies returns the baselines (fixed pools, fixed pools sized for bursts, greedy moves) and the planner's profiles.
func Policies() []Policy {
	return []Policy{
		{Name: "fixed"},
		{Name: "fixed-burst", BurstSized: true},
		{Name: "greedy", Moves: greedyMoves},
		FromProfile(planner.ProfileBuffer()),
		FromProfile(planner.ProfileMoves()),
	}
}

// FromProfile returns the planner's move policy with the given profile.
func FromProfile(p planner.Profile) Policy {
	return Policy{Name: p.Name, Moves: func(s planner.Snapshot, now time.Time) []planner.Move {
		return planner.Moves(s, now, p)
	}}
}

// greedyMoves moves hosts from pools without a backlog to every pool with one, a host for each DefaultSlots (8) waiting
// requests, and returns borrowed hosts as soon as the backlog is gone. It respects disruption budgets and minimum pool
// sizes.
func greedyMoves(s planner.Snapshot, _ time.Time) []planner.Move {
	g := newGreedyPass(s)
	for i := range s.Pools {
		p := &s.Pools[i]
		shortfall := (p.Backlog+structs.DefaultSlots-1)/structs.DefaultSlots - g.incoming[p.Name]
		if p.Spare || shortfall <= 0 {
			continue
		}
		for j := range s.Hosts {
			if h := &s.Hosts[j]; shortfall > 0 && h.Pool != p.Name && g.backlog[h.Pool] == 0 && g.tryMove(h, p.Name) {
				shortfall--
			}
		}
	}
	for j := range s.Hosts {
		if h := &s.Hosts[j]; h.Pool != h.HomePool && g.backlog[h.Pool] == 0 {
			g.tryMove(h, h.HomePool)
		}
	}
	return g.moves
}

// greedyPass is the state of one greedyMoves call: the hosts by pool and the moves planned so far.
type greedyPass struct {
	pools                                  map[string]*planner.Pool
	usable, unavailable, incoming, backlog map[string]int
	moved                                  []string
	moves                                  []planner.Move
}

func newGreedyPass(s planner.Snapshot) *greedyPass {
	g := &greedyPass{
		pools: make(map[string]*planner.Pool), usable: make(map[string]int), unavailable: make(map[string]int),
		incoming: make(map[string]int), backlog: make(map[string]int),
	}
	for i := range s.Pools {
		g.pools[s.Pools[i].Name] = &s.Pools[i]
		g.backlog[s.Pools[i].Name] = s.Pools[i].Backlog
	}
	for i := range s.Hosts {
		h := &s.Hosts[i]
		if usable(h) {
			g.usable[h.Pool]++
		} else {
			g.unavailable[h.Pool]++
		}
		if h.NextPool != "" {
			g.incoming[h.NextPool]++
		}
	}
	return g
}

// usable reports whether a host takes new requests of its pool.
func usable(h *planner.Host) bool {
	return h.Phase == structs.PhaseActive && h.Live && !h.Leaving
}

// tryMove plans a move unless the host is not usable or has moved in this pass, or its pool is at its minimum size or
// out of disruption budget. It reports whether it planned the move.
func (g *greedyPass) tryMove(h *planner.Host, to string) bool {
	from := g.pools[h.Pool]
	if !usable(h) || slices.Contains(g.moved, h.Name) || g.usable[h.Pool] <= from.MinHosts || g.unavailable[h.Pool] >= from.MaxUnavailable {
		return false
	}
	g.usable[h.Pool]--
	g.unavailable[h.Pool]++
	g.moved = append(g.moved, h.Name)
	g.moves = append(g.moves, planner.Move{Host: h.Name, From: h.Pool, To: to})
	return true
}

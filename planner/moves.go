package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tamarackworks/tamarackworks/structs"
)

// lowLoadRatio is the fraction of a pool's usable slots up to which its load counts as low, so that borrowed hosts may
// return.
const lowLoadRatio = 0.5

// Profile holds the parameters of the move policy. Its durations are compared only with times passed to the planner.
type Profile struct {
	Name string
	// Hysteresis is how long the load of a pool must be low before borrowed hosts return.
	Hysteresis time.Duration
	// LeadTime is the expected time from the decision to move a host until it serves its new pool.
	LeadTime time.Duration
	// MaxDonorLoad is the fraction of a donor's remaining slots that its load may use after it gives hosts away.
	MaxDonorLoad float64
	// UseBurstLength sizes moves by the observed length of bursts, so that queueing absorbs a part of a burst.
	UseBurstLength bool
	// StartLimitShare is the fraction of the urgent start limit within which the work of a burst of known length, or the
	// backlog of a donor, is planned to start.
	StartLimitShare float64
	// DeferredShare weighs the hosts that donors above their home size can give in later passes. A pool waits for them,
	// instead of taking hosts from pools at their home size, as long as they cover its shortage.
	DeferredShare float64
	// Deadband is the shortage, in hosts, that is tolerated because the load of a burst is known only roughly.
	Deadband float64
	// RefillDelay is how long the load of a pool above its home size must be low before it gives hosts to pools below
	// theirs; 0 disables refills.
	RefillDelay time.Duration
}

// ProfileBuffer returns the profile that gives the most weight to the cost of buffer hosts: borrowed hosts return soon.
func ProfileBuffer() Profile {
	return Profile{Name: "buffer", Hysteresis: time.Second, LeadTime: 1500 * time.Millisecond, MaxDonorLoad: 0.5, UseBurstLength: true, StartLimitShare: 0.8, DeferredShare: 1}
}

// ProfileMoves returns the profile that gives the most weight to the number of moves: borrowed hosts stay until another
// pool needs them or the load was low for minutes.
func ProfileMoves() Profile {
	return Profile{Name: "moves", Hysteresis: 5 * time.Minute, LeadTime: 1500 * time.Millisecond, MaxDonorLoad: 0.5, UseBurstLength: true, StartLimitShare: 0.85, DeferredShare: 2, RefillDelay: 2 * time.Second, Deadband: 1}
}

// Reasons of moves.
const (
	ReasonBurst  = "burst"
	ReasonReturn = "return"
	ReasonRefill = "refill"
)

// Move moves one host from one pool to another.
type Move struct {
	Host, From, To string
	// Reason is ReasonBurst, ReasonReturn or ReasonRefill.
	Reason string
}

// Moves plans the moves to start now: first hosts for pools whose backlog will not clear within the
// urgent start limit, then refills of pools below their home size, then returns of borrowed hosts. It counts the
// moves in progress in the snapshot, so a repeated call does not plan a move twice.
func Moves(s Snapshot, now time.Time, p Profile) []Move {
	byName, pools := groupByPool(&s)
	for _, v := range pools {
		h, ok := s.History.Loads[v.Name]
		if !ok {
			h.Recent = v.load()
		}
		v.history, v.now = h, now
	}
	var moves []Move
	inNeed := make(map[string]bool)
	for _, v := range poolsInNeed(pools, p) {
		inNeed[v.Name] = true
		moves = append(moves, borrowHosts(v, pools, inNeed, p)...)
	}
	if p.RefillDelay > 0 {
		for _, v := range pools {
			moves = append(moves, refillPool(v, pools, inNeed, s.History, now, p)...)
		}
	}
	for _, v := range pools {
		if !inNeed[v.Name] {
			moves = append(moves, returnHosts(v, byName, s.History, now, p)...)
		}
	}
	return moves
}

// slotShortage returns how many more slots the pool needs so that its newest request starts within the urgent start
// limit. It is 0 or less if the backlog clears in time. The load is expected to last as long as earlier bursts, or
// indefinitely if none was observed.
func slotShortage(v *poolView, p Profile) float64 {
	if v.Backlog == 0 {
		return 0
	}
	available := float64(v.usableSlots + v.incomingSlots)
	load := v.history.Recent
	work := float64(v.Backlog) * v.ServiceTime.Seconds()
	limit := structs.UrgentStartLimit.Seconds()
	if remaining := v.remainingBurst(p); p.UseBurstLength && remaining > 0 {
		// All work of the burst has to start by the end of the burst plus the planned share of the limit.
		return (work+load*remaining.Seconds())/(remaining.Seconds()+limit*p.StartLimitShare) - available
	}
	growth := max(0, load-float64(v.usableSlots)) * p.LeadTime.Seconds()
	return max(load, (work+growth)/limit) - available
}

// remainingBurst returns how long the current burst is expected to go on, at least the lead time. It returns 0 outside
// bursts and if no burst length is known.
func (v *poolView) remainingBurst(p Profile) time.Duration {
	h := v.history
	if h.BurstLength == 0 || h.BurstSince.IsZero() {
		return 0
	}
	return max(p.LeadTime, h.BurstLength-v.now.Sub(h.BurstSince))
}

// maxUsefulSlots returns an upper bound of the additional slots that would have work: one for each queued request, and
// the load beyond the usable slots, less the slots that are moving in.
func maxUsefulSlots(v *poolView) float64 {
	overload := v.load() - float64(v.usableSlots)
	return float64(v.Backlog) + max(0, overload) - float64(v.incomingSlots)
}

// poolsInNeed returns the pools that need hosts, ordered by descending priority, then descending shortage, then name.
func poolsInNeed(pools []*poolView, p Profile) []*poolView {
	var inNeed []*poolView
	for _, v := range pools {
		if v.Service != "" && slotShortage(v, p) > 0 && maxUsefulSlots(v) > 0 {
			inNeed = append(inNeed, v)
		}
	}
	slices.SortFunc(inNeed, func(a, b *poolView) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(slotShortage(b, p), slotShortage(a, p)),
			cmp.Compare(a.Name, b.Name))
	})
	return inNeed
}

// borrowHosts plans moves into one pool until its shortage is covered or no donor is left. Pools above their home size
// give first. Other pools give only what those cannot give even in later passes, when their disruption budgets allow
// more, because a host taken from a pool at its home size is likely to be taken back.
func borrowHosts(v *poolView, pools []*poolView, inNeed map[string]bool, p Profile) []Move {
	var moves []Move
	shortage := func() float64 { return min(slotShortage(v, p), maxUsefulSlots(v)) - p.Deadband*structs.DefaultSlots }
	borrow := func(belowHome bool) bool {
		donor := bestDonor(v, pools, inNeed, p, belowHome)
		if donor == nil {
			return false
		}
		h := pickHost(donor, v, donor.usable)
		donor.removeHost(h)
		v.addIncoming(h)
		moves = append(moves, Move{Host: h.Name, From: donor.Name, To: v.Name, Reason: ReasonBurst})
		return true
	}
	for shortage() > 0 && borrow(false) {
	}
	deferredSlots := 0.0
	for _, d := range pools {
		if d != v && !inNeed[d.Name] && !d.Spare {
			deferredSlots += float64(max(0, excess(d, p, false)) * structs.DefaultSlots)
		}
	}
	for shortage() > deferredSlots*p.DeferredShare && borrow(true) {
	}
	return moves
}

// refillPool plans moves that bring a pool back to its home size from pools above theirs, before its next burst needs
// the hosts.
func refillPool(v *poolView, pools []*poolView, inNeed map[string]bool, history History, now time.Time, p Profile) []Move {
	var moves []Move
	if v.Spare {
		return nil
	}
	for len(v.usable)+v.incoming < v.homeSize {
		var donor *poolView
		for _, d := range pools {
			since, low := history.LowSince[d.Name]
			if d == v || d.Spare || inNeed[d.Name] || !low || now.Sub(since) < p.RefillDelay || surplus(d, p, false) < 1 {
				continue
			}
			if donor == nil || surplus(d, p, false) > surplus(donor, p, false) {
				donor = d
			}
		}
		if donor == nil {
			break
		}
		h := pickHost(donor, v, donor.usable)
		donor.removeHost(h)
		v.addIncoming(h)
		moves = append(moves, Move{Host: h.Name, From: donor.Name, To: v.Name, Reason: ReasonRefill})
	}
	return moves
}

// bestDonor returns the pool that gives the next host to v, or nil if none can. It prefers spare pools, then the pool
// with the largest surplus. If belowHome is set, donors may fall below their home size.
func bestDonor(v *poolView, pools []*poolView, inNeed map[string]bool, p Profile, belowHome bool) *poolView {
	var best *poolView
	most := 0
	for _, d := range pools {
		n := surplus(d, p, belowHome)
		if d == v || inNeed[d.Name] || n < 1 {
			continue
		}
		if best == nil || d.Spare && !best.Spare || d.Spare == best.Spare && n > most {
			best, most = d, n
		}
	}
	return best
}

// surplus returns how many hosts a pool can give away now, within its disruption budget.
func surplus(d *poolView, p Profile, belowHome bool) int {
	return min(d.remainingBudget(), excess(d, p, belowHome))
}

// excess returns how many usable hosts a pool has beyond its minimum, beyond what its load and backlog need and,
// unless belowHome is set, beyond its home size. Spare pools have no home size to keep.
func excess(d *poolView, p Profile, belowHome bool) int {
	if len(d.usable) == 0 {
		return 0
	}
	perHost := float64(d.usableSlots) / float64(len(d.usable))
	// The backlog left over from a burst must start in time on the remaining slots.
	backlog := float64(d.Backlog) * d.ServiceTime.Seconds() / (structs.UrgentStartLimit.Seconds() * p.StartLimitShare)
	keep := max(d.MinHosts, int(math.Ceil((d.load()/p.MaxDonorLoad+backlog)/perHost)))
	if !belowHome && !d.Spare {
		keep = max(keep, d.homeSize)
	}
	return len(d.usable) - keep
}

// pickHost returns the candidate to move. It prefers hosts whose home pool is the destination, then racks where the
// destination has fewer hosts, then hosts with fewer requests and tasks to drain, then racks where the donor has more
// hosts, then the name.
func pickHost(from, to *poolView, candidates []*Host) *Host {
	return slices.MinFunc(candidates, func(a, b *Host) int {
		return cmp.Or(
			-compareBool(a.HomePool == to.Name, b.HomePool == to.Name),
			cmp.Compare(to.racks[a.Rack], to.racks[b.Rack]),
			cmp.Compare(a.InFlight+a.Tasks, b.InFlight+b.Tasks),
			cmp.Compare(from.racks[b.Rack], from.racks[a.Rack]),
			cmp.Compare(a.Name, b.Name))
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// returnHosts plans the return of borrowed hosts to their home pools once the load of the pool was low for the
// hysteresis time.
func returnHosts(v *poolView, byName map[string]*poolView, history History, now time.Time, p Profile) []Move {
	since, low := history.LowSince[v.Name]
	if !low || v.Spare || now.Sub(since) < p.Hysteresis {
		return nil
	}
	var moves []Move
	for surplus(v, p, true) > 0 {
		borrowed := slices.DeleteFunc(slices.Clone(v.usable), func(h *Host) bool {
			home := byName[h.HomePool]
			return home == nil || home == v
		})
		if len(borrowed) == 0 {
			break
		}
		h := pickHost(v, byName[borrowed[0].HomePool], borrowed)
		v.removeHost(h)
		byName[h.HomePool].addIncoming(h)
		moves = append(moves, Move{Host: h.Name, From: v.Name, To: h.HomePool, Reason: ReasonReturn})
	}
	return moves
}

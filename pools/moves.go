package pools

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

const (
	// backlogClearTime is the time within which waiting work should be done; the objectives allow 600 ms in addition to
	// the run time of the work itself.
	backlogClearTime = 350 * time.Millisecond
	// standbyIdleTime is how long a machine must be idle before it moves to standby; a move there and back makes it
	// unavailable for 3 s.
	standbyIdleTime = 700 * time.Millisecond
	// lendIdleTime is how long a machine must be idle before it moves to another pool with a shortfall.
	lendIdleTime = 150 * time.Millisecond
	// lateWeight is the weight of late work as demand, relative to work that can be on time. It is low because most callers no
	// longer wait for late results.
	lateWeight = 0.25
	// calledDelay is how long after a call from standby a pool sends no machine back: until the machine takes tasks, some 0.5 s
	// after its move.
	calledDelay = moveTime + 500*time.Millisecond
	// minShortfall is the smallest shortfall that is worth a move, as a fraction of the machine's CPU.
	minShortfall = 0.35
)

// poolState is a pool with its capacity and shortfall during planning. CPU is in thousandths of a core.
type poolState struct {
	Pool
	// freeCPU is the free CPU of its usable machines. incomingCPU is the CPU of machines on their way, and of machines in the
	// pool whose executor has yet to register.
	freeCPU, incomingCPU float64
	// finiteCPU is the CPU that finite tasks reserve on its machines.
	finiteCPU float64
	// machines is the number of machines that are reachable or about to be, inTransit the number of those on their way, unreported the
	// number of those whose executor this owner has not heard of yet.
	machines, inTransit, unreported int
	// idle holds the machines that can be moved away, longest idle first except in standby.
	idle []*Machine
	// busy holds the machines on which only finite tasks run.
	busy []*Machine
	// shortfall is the CPU that the pool lacks, at first without its late work; negative if it has more than it needs.
	// initialShortfall is its value before machines were assigned.
	shortfall, initialShortfall float64
	// machineCPU is the CPU of the largest machine of all pools.
	machineCPU float64
	// ahead is the part of shortfall that is only there because a burst is about to begin. It is met last.
	ahead float64
}

// MovePlan is the result of PlanMoves.
type MovePlan struct {
	Actions []Action
	// Yielding holds the machines on which no late work may start, so that they become idle and can be moved.
	Yielding []string
}

// PlanMoves moves idle machines to the pools whose work waits or arrives faster than running tasks end, and moves machines
// that are not needed to a standby pool, where they cost nothing. This serves queues that in turn have bursts of more work
// than their pool can run. A machine is moved only when nothing runs on it. Work that can be on time comes first: late work of
// a pool neither attracts nor keeps machines that another pool needs for it.
//
// When pools get bursts in turn and it is certain when the next one begins, machines are called for it ahead of time, idle
// machines are lent rather than returned, and some are held for it.
func PlanMoves(s Snapshot, a *Arrivals) MovePlan {
	a.Observe(s)
	states, standby := poolStates(s, a)
	if len(states) == 0 {
		return MovePlan{}
	}
	actions := a.assignMachines(s.Now, states, standby)
	yielding := yieldingMachines(states)
	for _, p := range states {
		p.shortfall += lateWeight * float64(p.Late) / backlogClearTime.Seconds()
		if p.machines+p.inTransit+p.unreported == 0 && p.Waiting+p.Late+p.TooLate > 0 {
			// However little or late the work is, without a machine it would wait for good.
			p.shortfall = max(p.shortfall, p.machineCPU)
		}
	}
	actions = append(actions, a.assignMachines(s.Now, states, standby)...)
	if standby != nil {
		actions = append(actions, a.moveIdleToStandby(s.Now, states, standby, actions)...)
	}
	return MovePlan{actions, yielding}
}

// yieldingMachines selects the machines that are to run out of late work, as many as pools lack for work that can be on time.
// They come from pools without such a lack. Machines that yield already come first, so that the selection is stable; then
// those with the fewest tasks.
func yieldingMachines(states map[string]*poolState) []string {
	missing := 0.0
	var candidates []*Machine
	for _, p := range states {
		switch {
		case p.shortfall > minShortfall*p.machineCPU && p.Waiting > 0:
			missing += p.shortfall
		case p.shortfall <= 0 && p.Late+p.TooLate > 0:
			candidates = append(candidates, p.busy...)
		}
	}
	slices.SortFunc(candidates, func(a, b *Machine) int {
		if a.Yielding != b.Yielding {
			if a.Yielding {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Tasks, b.Tasks), cmp.Compare(a.ID, b.ID))
	})
	var yielding []string
	for _, m := range candidates {
		if missing <= 0 {
			break
		}
		missing -= float64(m.Capacity.CPUMilli)
		yielding = append(yielding, m.ID)
	}
	return yielding
}

// poolStates sums the machines of each pool and computes its shortfall. Machines that are cordoned or have an order in
// progress add no capacity. The first standby pool is returned on its own, nil if there is none.
func poolStates(s Snapshot, a *Arrivals) (states map[string]*poolState, standby *poolState) {
	states = make(map[string]*poolState)
	for _, p := range s.Pools {
		state := &poolState{Pool: p}
		if p.Standby {
			if standby == nil {
				standby = state
			}
			continue
		}
		states[p.Name] = state
	}
	machineCPU := 0.0
	for i := range s.Machines {
		m := &s.Machines[i]
		machineCPU = max(machineCPU, float64(m.Capacity.CPUMilli))
		state := states[m.Pool]
		if state == nil && standby != nil && m.Pool == standby.Name {
			state = standby
		}
		if state == nil {
			continue
		}
		switch {
		case m.State != workload.MachineUp:
			if m.State != workload.MachineDown {
				state.incomingCPU += float64(m.Capacity.CPUMilli)
				state.inTransit++
			}
		case m.Ordered || m.Cordoned:
			state.finiteCPU += float64(m.FiniteCPU)
		default:
			state.finiteCPU += float64(m.FiniteCPU)
			state.addMachine(m, standby)
		}
	}
	for _, state := range states {
		// Only the first machine is considered for a move to another pool. The one that is idle longest comes first: a
		// machine whose last task has just ended may get the next one, and must not block the others.
		sort.SliceStable(state.idle, func(a, b int) bool { return state.idle[a].IdleFor > state.idle[b].IdleFor })
		state.machineCPU = machineCPU
		state.shortfall = state.demand(a.turns.rising(s.Now, state.Name, a.rates.rate(state.Name))) - state.freeCPU - state.incomingCPU
		if missing := state.Spread - state.machines - state.inTransit; missing > 0 {
			state.shortfall = max(state.shortfall, float64(missing)*state.machineCPU)
		}
		if state.Unplaced+state.Confined > 0 && state.inTransit == 0 {
			// Requests one machine at a time, since it may take several of the tasks.
			state.shortfall = max(state.shortfall, state.machineCPU)
		}
		if load := a.turns.callsAhead(s.Now, state.Name); load > 0 {
			present := state.shortfall
			state.shortfall = max(present, load-state.finiteCPU-state.freeCPU-state.incomingCPU)
			state.ahead = state.shortfall - max(present, 0)
		}
	}
	return states, standby
}

// demand returns the CPU that a pool should have free, late work left out: for waiting finite tasks, for waiting long-running
// tasks, and for work that arrives faster than finite tasks release CPU. Without the last part, the machines on their way to a rising burst
// would seem sufficient until the arrivals meanwhile had become a backlog, and more machines would come one move too late.
// The rate is in thousandths of a core.
func (p *poolState) demand(rate float64) float64 {
	return float64(p.Waiting)/backlogClearTime.Seconds() + float64(p.LongRunning) + max(0, rate-p.finiteCPU)
}

// addMachine counts a machine that is up, not cordoned and without an order.
func (p *poolState) addMachine(m *Machine, standby *poolState) {
	if p == standby || m.Executor == "" || m.Reachable {
		p.machines++
	} else if !m.Reported {
		p.unreported++
	}
	switch {
	case p == standby:
		p.idle = append(p.idle, m)
	case m.Executor == "":
		// The machine has just arrived or come up, and its executor is about to register.
		p.incomingCPU += float64(m.Capacity.CPUMilli)
	case m.Usable:
		p.freeCPU += float64(m.FreeCPU)
		if m.Tasks == 0 {
			p.idle = append(p.idle, m)
		} else if m.LongRunning == 0 {
			p.busy = append(p.busy, m)
		}
	}
}

// byShortfall returns the pools by decreasing shortfall, then by name.
func byShortfall(states map[string]*poolState) []*poolState {
	var list []*poolState
	for _, p := range states {
		list = append(list, p)
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].shortfall != list[b].shortfall {
			return list[a].shortfall > list[b].shortfall
		}
		return list[a].Name < list[b].Name
	})
	return list
}

// assignMachines moves machines one at a time to the pool with the largest unmet share of its shortfall, so that the burst of
// one queue does not take them all. Machines come from pools whose burst has ended if this pool's turn comes, then from standby, then
// from other pools without a shortfall.
func (a *Arrivals) assignMachines(now time.Duration, states map[string]*poolState, standby *poolState) []Action {
	var actions []Action
	candidates := byShortfall(states)
	for _, p := range candidates {
		p.initialShortfall = p.shortfall
	}
	for len(candidates) > 0 {
		sort.SliceStable(candidates, func(a, b int) bool { return candidates[a].unmetShare() > candidates[b].unmetShare() })
		p := candidates[0]
		m, from, reason := a.findIdleMachine(p, states, standby)
		if m == nil {
			candidates = candidates[1:]
			continue
		}
		from.idle = from.idle[1:]
		from.machines--
		from.shortfall += float64(m.Capacity.CPUMilli)
		p.shortfall -= float64(m.Capacity.CPUMilli)
		p.incomingCPU += float64(m.Capacity.CPUMilli)
		if from == standby {
			a.calledAt[p.Name] = now
		}
		ahead := p.shortfall+float64(m.Capacity.CPUMilli) <= p.ahead
		if ahead {
			reason = "burst is about to begin"
		}
		actions = append(actions, Action{Kind: ActionMove, Machine: m.ID, Pool: p.Name, Reason: reason, Ahead: ahead})
	}
	return actions
}

// unmetShare returns the fraction of the pool's initial shortfall that is still unmet.
func (p *poolState) unmetShare() float64 {
	if p.initialShortfall <= 0 {
		return 0
	}
	return p.shortfall / p.initialShortfall
}

// findIdleMachine returns an idle machine for a pool, the pool that it comes from and the reason of the move. The machine is
// nil if there is none, or if the shortfall is too small for a move.
func (a *Arrivals) findIdleMachine(p *poolState, states map[string]*poolState, standby *poolState) (*Machine, *poolState, string) {
	worthMove := func(m *Machine) bool { return p.shortfall > minShortfall*float64(m.Capacity.CPUMilli) }
	lend := func(may func(from *poolState) bool) (*Machine, *poolState, string) {
		sources := byShortfall(states)
		for i := len(sources) - 1; i >= 0; i-- {
			from := sources[i]
			if from == p || from.shortfall > 0 || len(from.idle) == 0 || from.machines <= from.minMachines() || !may(from) {
				continue
			}
			if m := from.idle[0]; worthMove(m) && m.IdleFor >= lendIdleTime && -from.shortfall >= float64(m.Capacity.CPUMilli) {
				return m, from, "work waits, machine is idle"
			}
		}
		return nil, nil, ""
	}
	if a.turns.expected() != nil {
		if m, from, reason := lend(func(from *poolState) bool { return a.turns.lends(from.Name, p.Name) }); m != nil {
			return m, from, reason
		}
	}
	if standby != nil && len(standby.idle) > 0 && worthMove(standby.idle[0]) {
		return standby.idle[0], standby, "work waits, machine is in standby"
	}
	return lend(func(*poolState) bool { return true })
}

// minMachines returns the number of machines that the pool keeps when idle machines are moved away.
func (p *poolState) minMachines() int { return max(p.Spread, 1) }

// moveIdleToStandby moves machines to standby that have been idle for standbyIdleTime, in pools without waiting work that do
// not need them. It leaves out the machines of moves, which are already assigned to another pool. While bursts can be forecast, machines
// are held for a burst that is about to begin, and in a pool that has just called some. They are held for the time of a move:
// a machine that is called back is paid for during a move, so a longer wait would cost more.
func (a *Arrivals) moveIdleToStandby(now time.Duration, states map[string]*poolState, standby *poolState, moves []Action) []Action {
	moving := make(map[string]bool, len(moves))
	for _, a := range moves {
		moving[a.Machine] = true
	}
	held, inTurns := a.turns.holdsIdle(now), a.turns.expected() != nil
	var actions []Action
	for _, p := range byShortfall(states) {
		calledAt, called := a.calledAt[p.Name]
		justCalled := inTurns && called && now-calledAt < calledDelay
		for _, m := range p.idle {
			surplus := -p.shortfall - float64(m.Capacity.CPUMilli)
			if moving[m.ID] || m.IdleFor < standbyIdleTime || p.machines <= p.minMachines() || surplus < 0 || p.Waiting+p.Late+p.TooLate > 0 {
				continue
			}
			if m.IdleFor < standbyIdleTime+moveTime && (justCalled || held) {
				continue
			}
			p.machines--
			p.shortfall += float64(m.Capacity.CPUMilli)
			actions = append(actions, Action{Kind: ActionMove, Machine: m.ID, Pool: standby.Name, Reason: "machine is idle"})
		}
	}
	return actions
}

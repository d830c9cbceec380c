package coordinator

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/tamarackworks/tamarackworks/pools"
	"github.com/tamarackworks/tamarackworks/workload"
)

const (
	// activeListInterval is the interval between reads of the machine list while orders, moves or waves are in progress or a list
	// has to confirm the end of an executor, idleListInterval the interval otherwise.
	activeListInterval = 250 * time.Millisecond
	idleListInterval   = 1500 * time.Millisecond
	// machineTimeout bounds one call to the machine service.
	machineTimeout = 800 * time.Millisecond
	// orderRetryDelay is the pause between attempts of an order, and after a failed order before the machine is planned again.
	orderRetryDelay = 150 * time.Millisecond
	// firstOrderDelay is how long a new owner waits before its first order. The predecessor's ownership ended before the term
	// began, and an attempt that it had started takes at most machineTimeout.
	firstOrderDelay = 800 * time.Millisecond
	// recentOrderMargin extends the time for which orders are remembered, to cover attempts in flight.
	recentOrderMargin = 2 * time.Second
	// maxRecentOrders bounds the size of the row of recent orders. An order takes some 25 bytes, and a row holds 64 KiB.
	maxRecentOrders = 2000
	// maxOrderAttempts bounds the attempts of one order before the machine is planned again.
	maxOrderAttempts = 5
)

// machineState holds machines, pools, waves and machine orders. Maps are by machine ID unless stated otherwise.
type machineState struct {
	// ordersAllowedAt is when this owner may send its first order.
	ordersAllowedAt time.Duration
	// list is the last list of machines, updated with the effect of orders that were confirmed since.
	list []workload.Machine
	// index holds the index of each machine in list.
	index map[string]int
	// seen holds where a list last showed each executor that is listed or has a record.
	seen map[string]sighting
	// surveys holds what the last lists show, and unconfirmed is set if a later one may show that an executor has ended.
	surveys     surveys
	unconfirmed bool
	// listedAt is when the last list was requested, or when a request last failed or its list was not used.
	listedAt time.Duration
	// listing is set while a list is being requested.
	listing bool
	pools   []workload.Service
	waves   map[string]*pools.Wave
	// wavesReadAt is when this owner read each wave, by name.
	wavesReadAt map[string]time.Duration
	// progress is the stored progress of each wave, by name.
	progress map[string]waveProgress
	// pendingOrders holds orders without an outcome; they are sent once they are stored as recent orders.
	pendingOrders map[string]pools.Action
	// lastOrderAt is when the last order for each machine was planned or had its outcome; inFlight holds the machines whose
	// order is being sent.
	lastOrderAt map[string]time.Duration
	inFlight    map[string]bool
	// blockedUntil is until when a machine gets no order, after a failed order or an order of a predecessor.
	blockedUntil map[string]time.Duration
	// confirmedAt is when the last order for a machine was confirmed. Lists requested before do not show its effect.
	confirmedAt map[string]time.Duration
	arrivals    *pools.Arrivals
	turns       turnState
	// unverified holds the executors of machines whose order was confirmed, until a list shows whether the executor is gone.
	unverified map[string]string
	// endedIncarnations holds, by executor ID, the incarnations of executors that were ended by an order for their machine,
	// or that did not respond and had ended by the lists.
	endedIncarnations map[string]int64
	// usageCountedAt is when machine time was last counted, nextUsageLogAt when usage may be logged again, and loggedUsage
	// the usage by pool that was logged last.
	usageCountedAt, nextUsageLogAt time.Duration
	loggedUsage                    map[string]poolUsage
}

func newMachineState(firstOrderAt time.Duration) machineState {
	return machineState{
		ordersAllowedAt: firstOrderAt, waves: make(map[string]*pools.Wave), wavesReadAt: make(map[string]time.Duration), progress: make(map[string]waveProgress),
		pendingOrders: make(map[string]pools.Action), blockedUntil: make(map[string]time.Duration),
		lastOrderAt: make(map[string]time.Duration), inFlight: make(map[string]bool),
		confirmedAt: make(map[string]time.Duration), seen: make(map[string]sighting), arrivals: pools.NewArrivals(), turns: newTurnState(), endedIncarnations: make(map[string]int64),
		unverified: make(map[string]string),
	}
}

// setList replaces the list of machines by one that was requested at sentAt.
func (m *machineState) setList(list []workload.Machine, sentAt time.Duration) {
	m.list, m.listedAt, m.index = list, sentAt, make(map[string]int, len(list))
	for i := range list {
		m.index[list[i].ID] = i
	}
}

// locateExecutors notes where a list shows each executor, and forgets executors that are neither listed nor recorded.
func (l *leadership) locateExecutors(list []workload.Machine) {
	seen := make(map[string]sighting, len(list))
	for id := range l.executorRecords {
		if x, ok := l.machines.seen[id]; ok {
			seen[id] = x
		}
	}
	for _, machine := range list {
		if machine.Executor != "" && machine.ID != "" {
			seen[machine.Executor] = sighting{machine.Executor, machine.ID, machine.Pool}
		}
	}
	l.machines.seen = seen
}

func (m *machineState) configure(config *workload.Configuration) { m.pools = config.Services }

// machineEvent is the event that a call to the machine service ended: a request for the list of machines if isList is set,
// otherwise the order in action.
type machineEvent struct {
	list []workload.Machine
	// pages is the number of reads that the list took.
	pages  int
	isList bool
	sentAt time.Duration
	action pools.Action
	err    error
}

// planMachines requests the list of machines when it is due, and executes the decisions of the planners.
func (l *leadership) planMachines(now time.Duration) {
	m := &l.machines
	pause := idleListInterval
	if len(m.pendingOrders) > 0 || l.anyWaveUnfinished() || l.anyMachineMoving() || m.unconfirmed {
		pause = activeListInterval
	}
	if !m.listing && (m.listedAt == 0 || now-m.listedAt >= pause) {
		m.listing = true
		go l.listMachines(now)
	}
	if m.list == nil || !l.opts.OwnsJobs() {
		return
	}
	s := l.snapshot(now)
	l.replayArrivals(now)
	l.markLeavingExecutors(s)
	l.updateMachineUsage(now, s)
	actions := pools.PlanWaves(s)
	plan := pools.PlanMoves(s, m.arrivals)
	actions = append(actions, plan.Actions...)
	l.setYielding(plan.Yielding)
	l.countForecasts()
	m.forgetOrders(now - l.opts.MachineDelay - recentOrderMargin)
	ordered := false
	for _, a := range actions {
		ordered = l.executeMachineAction(now, a) || ordered
	}
	if ordered {
		l.storeOrders(now)
	}
}

// setYielding tells the core on which executors no late work may start.
func (l *leadership) setYielding(machines []string) {
	executors := make(map[string]bool, len(machines))
	for _, machine := range machines {
		executors[l.executorOf(machine)] = true
	}
	l.core.SetYielding(executors)
}

func (l *leadership) anyMachineMoving() bool {
	for _, m := range l.machines.list {
		if m.State == workload.MachineMoving {
			return true
		}
	}
	return false
}

// snapshot returns the input of the planners: machines with the load of their executors, waves, and pools with demand.
func (l *leadership) snapshot(now time.Duration) pools.Snapshot {
	usage := make(map[string]int)
	usages := l.core.Usages(now)
	for i, u := range usages {
		usage[u.ID] = i
	}
	s := pools.Snapshot{Now: now}
	var capacities []workload.Resources
	for _, m := range l.machines.list {
		capacities = append(capacities, m.Capacity)
		x := pools.Machine{Machine: m, Reported: m.Executor == ""}
		if i, ok := usage[m.Executor]; ok && m.Executor != "" {
			u := usages[i]
			x.Tasks, x.LongRunning, x.IdleFor = u.Tasks, u.LongRunning, u.IdleFor
			x.Cordoned, x.Yielding, x.FreeCPU, x.FiniteCPU = u.Cordoned, u.Yielding, u.FreeCPU, u.FiniteCPU
			x.Usable, x.Reachable, x.Reported = u.Usable, u.Reachable, u.Reported
		}
		_, ordered := l.machines.pendingOrders[m.ID]
		x.Ordered = ordered || now < l.machines.blockedUntil[m.ID]
		s.Machines = append(s.Machines, x)
	}
	for _, w := range l.machines.waves {
		s.Waves = append(s.Waves, w)
	}
	l.core.SetMachineCapacities(capacities)
	demands := l.core.Demands(now)
	for _, p := range l.machines.pools {
		d := demands[p.Name]
		s.Pools = append(s.Pools, pools.Pool{
			Name: p.Name, Standby: p.Standby, Waiting: d.Waiting, Late: d.Late, TooLate: d.TooLate, Arrived: d.Arrived,
			LongRunning: d.LongRunning, Unplaced: d.Unplaced, Confined: d.Confined, Spread: d.Spread,
			CordonedFit: d.CordonedFit, CordonedFitFor: d.CordonedFitFor,
		})
	}
	return s
}

// executeMachineAction executes a decision that needs no order. Otherwise it cordons the executor, adds a pending order
// and returns true. It returns false if the order has to wait.
func (l *leadership) executeMachineAction(now time.Duration, a pools.Action) bool {
	switch a.Kind {
	case pools.ActionComplete:
		a.Wave.Completed = true
		l.log.WithFields(log.Fields{"wave": a.Wave.Name, "took_ms": (now - a.Wave.Started).Milliseconds()}).Info("wave completed")
		l.storeWaveStatus(a.Wave)
		l.storeWaveProgress(now)
		return false
	case pools.ActionCordon, pools.ActionUncordon:
		if id := l.executorOf(a.Machine); id != "" {
			l.core.Cordon(now, id, a.Kind == pools.ActionCordon)
			l.logMachineAction(a, nil)
		}
		return false
	}
	if now < l.machines.ordersAllowedAt || len(l.machines.lastOrderAt) >= maxRecentOrders {
		return false
	}
	if id := l.executorOf(a.Machine); id != "" {
		if a.Kind == pools.ActionMove && !l.core.Idle(id) {
			return false
		}
		l.core.Cordon(now, id, true)
	}
	l.machines.pendingOrders[a.Machine] = a
	l.machines.lastOrderAt[a.Machine] = now
	l.countMove(now, a)
	l.logMachineAction(a, nil)
	return true
}

func (l *leadership) logMachineAction(a pools.Action, err error) {
	entry := l.log.WithFields(log.Fields{"machine": a.Machine, "action": string(a.Kind), "pool": a.Pool, "reason": a.Reason})
	if err != nil {
		entry.WithError(err).Warn("machine order failed")
		return
	}
	entry.Info("machine planned")
}

func (l *leadership) executorOf(machine string) string {
	if i, ok := l.machines.index[machine]; ok {
		return l.machines.list[i].Executor
	}
	return ""
}

func (l *leadership) listMachines(sent time.Duration) {
	ctx, cancel := context.WithTimeout(l.ctx, machineTimeout)
	defer cancel()
	list, pages, err := l.opts.Machines.List(ctx)
	l.emit(machineEvent{list: list, pages: pages, isList: true, sentAt: sent, err: err})
}

// handleMachineEvent applies a list of machines, or the outcome of an order.
func (l *leadership) handleMachineEvent(now time.Duration, e machineEvent) {
	m := &l.machines
	if e.isList {
		m.listing = false
		if e.err != nil {
			l.log.WithError(e.err).Warn("machines cannot be listed")
			m.listedAt = now
			return
		}
		if !l.opts.OwnsJobs() {
			// A new owner may have ordered machines after it saw runs end on them. This owner, which may have missed those ends,
			// must not conclude from the list that the runs were cut off.
			m.listedAt = now
			return
		}
		m.surveys.add(newSurvey(e.list, e.pages, e.sentAt))
		m.setList(e.list, e.sentAt)
		l.locateExecutors(e.list)
		l.locateWaveMachines()
		for i := range m.list {
			if at, ok := m.confirmedAt[m.list[i].ID]; ok && e.sentAt < at {
				m.list[i].State, m.list[i].Executor = workload.MachineMoving, ""
				continue
			}
			l.verifyOrder(now, e.sentAt, m.list[i])
		}
		l.endUnlistedExecutors(now)
		return
	}
	delete(m.pendingOrders, e.action.Machine)
	delete(m.inFlight, e.action.Machine)
	m.lastOrderAt[e.action.Machine] = now
	id := l.executorOf(e.action.Machine)
	if e.err != nil {
		if e.action.Kind == pools.ActionMove {
			l.core.Cordon(now, id, false)
		}
		l.logMachineAction(e.action, e.err)
		m.blockedUntil[e.action.Machine] = now + orderRetryDelay
		return
	}
	m.confirmedAt[e.action.Machine] = now
	m.unverified[e.action.Machine] = id
	if i, ok := m.index[e.action.Machine]; ok {
		m.list[i].State, m.list[i].Executor = workload.MachineMoving, ""
		if e.action.Kind == pools.ActionMove {
			m.list[i].Pool = e.action.Pool
		}
	}
	if e.action.Kind == pools.ActionMaintain {
		e.action.Wave.Begun[e.action.Machine] = true
		l.storeWaveProgress(now)
	}
}

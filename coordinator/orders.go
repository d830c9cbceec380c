package coordinator

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/pools"
	"github.com/tamarackworks/tamarackworks/workload"
)

// storeOrders puts the recent orders into the owner's rows. Orders are sent once the row is durable, so that a new owner
// knows which machines its predecessor may just have ordered.
func (l *leadership) storeOrders(now time.Duration) {
	wall := l.opts.WallMS()
	orderedAtMS := make(map[string]int64, len(l.machines.lastOrderAt))
	for id, at := range l.machines.lastOrderAt {
		orderedAtMS[id] = wall - (now - at).Milliseconds()
	}
	value, err := json.Marshal(orderedAtMS)
	if err != nil {
		l.log.WithError(err).Error("recent machine orders cannot be encoded")
		return
	}
	l.rows.put(recentOrdersKey, value)
}

// forgetOrders drops the times of orders that are older than a new owner has to know.
func (m *machineState) forgetOrders(before time.Duration) {
	maps.DeleteFunc(m.lastOrderAt, func(_ string, at time.Duration) bool { return at < before })
}

// sendStoredOrders sends the pending orders that a stored row of recent orders covers.
func (l *leadership) sendStoredOrders(value []byte) {
	var stored map[string]int64
	if err := json.Unmarshal(value, &stored); err != nil {
		l.log.WithError(err).Error("stored machine orders cannot be decoded")
		return
	}
	for id := range stored {
		if a, ok := l.machines.pendingOrders[id]; ok && !l.machines.inFlight[id] {
			l.machines.inFlight[id] = true
			go l.sendOrder(a)
		}
	}
}

// inheritOrders blocks each machine in the predecessor's row of recent orders until the delay and inheritedOrderMargin have
// passed since its order. The row holds the Unix time of each order in milliseconds.
func (m *machineState) inheritOrders(value []byte, now time.Duration, wallMS int64, delay time.Duration) error {
	var orderedAtMS map[string]int64
	if err := json.Unmarshal(value, &orderedAtMS); err != nil {
		return err
	}
	for id, at := range orderedAtMS {
		ago := max(0, time.Duration(wallMS-at)*time.Millisecond)
		m.blockedUntil[id] = now + delay + inheritedOrderMargin - ago
	}
	return nil
}

// inheritedOrderMargin covers later attempts of an order, and differences between the clocks of hosts.
const inheritedOrderMargin = 1500 * time.Millisecond

// sendOrder sends an order until it is confirmed or rejected, at most maxOrderAttempts times and only while the ownership is
// confirmed, and emits the outcome. All orders can be retried safely.
func (l *leadership) sendOrder(a pools.Action) {
	order := pools.Order{Machine: a.Machine, Pool: a.Pool, Holder: l.opts.Holder, Fence: l.term.Epoch}
	call := l.opts.Machines.Move
	if a.Kind == pools.ActionMaintain {
		order.Wave, call = a.Wave.Number, l.opts.Machines.Maintain
	}
	var err error
	for n := 0; n < maxOrderAttempts; n++ {
		if !l.opts.OwnsJobs() {
			err = errors.Wrap(pools.ErrNoResponse, "ownership is not confirmed")
			break
		}
		ctx, cancel := context.WithTimeout(l.ctx, machineTimeout)
		err = call(ctx, order)
		cancel()
		if err == nil || errors.Is(err, pools.ErrRejected) {
			break
		}
		if !elapsed.Sleep(l.ctx, orderRetryDelay) {
			return
		}
	}
	l.emit(machineEvent{action: a, err: err})
}

// verifyOrder checks on a listed machine whether its confirmed order ended the executor. The service also confirms an order
// that it carried out earlier, for a former owner; then the executor keeps running and is uncordoned. An entry that shows neither is
// left to a later list: an executor that starts again under its ID is not named meanwhile.
func (l *leadership) verifyOrder(now, sentAt time.Duration, machine workload.Machine) {
	m := &l.machines
	id, ok := m.unverified[machine.ID]
	if !ok {
		return
	}
	x := m.seen[id]
	x.executor, x.machine = id, machine.ID
	up, named := machine.State == workload.MachineUp, machine.Executor == id
	switch {
	case up && named:
		l.core.Cordon(now, id, false)
	case machine.State != workload.MachineDown && (named || machineEntry{machine.State, machine.Pool, machine.Executor}.excludes(x)):
		l.endExecutor(now, id, endEvidence{
			reason: "order confirmed", machine: machine.ID, listed: true, state: machine.State, listedAt: sentAt,
		})
	default:
		return
	}
	delete(m.unverified, machine.ID)
}

// listMargin is how long after an executor's registration or last contact a list must have been requested to be certain to
// include the executor if it still runs.
const listMargin = 500 * time.Millisecond

// endUnlistedExecutors ends executors that do not respond and have ended by the lists. An executor that is only unreachable stays
// listed; the tasks of the others can start elsewhere before their leases expire.
func (l *leadership) endUnlistedExecutors(now time.Duration) {
	m := &l.machines
	m.unconfirmed = false
	for id, record := range l.executorRecords {
		since, lost := l.core.NoContactSince(id)
		if !lost {
			continue
		}
		x, ok := m.seen[id]
		if !ok {
			x = sighting{executor: id, pool: record.Service}
		}
		shown := m.surveys.presenceOf(x, since)
		if s := l.sessions[id]; shown == ended && s != nil && !s.CloseUnlessStartedSince(m.surveys.last.requestedAt) {
			// It may have started again under its ID after the list was read, and have carried the order out.
			shown = unconfirmed
		}
		switch shown {
		case ended:
			l.endExecutor(now, id, m.absenceEvidence(x))
		case unconfirmed:
			m.unconfirmed = true
		}
	}
}

// absenceEvidence describes the last list, which shows that an executor has ended.
func (m *machineState) absenceEvidence(x sighting) endEvidence {
	last := m.surveys.last
	entry, listed := last.machines[x.machine]
	return endEvidence{reason: "not listed", machine: x.machine, listed: listed, state: entry.state, listedAt: last.requestedAt}
}

// endEvidence says from what the owner concludes that an executor has ended.
type endEvidence struct {
	reason string
	// machine is where the executor was last seen, empty if unknown; listed and state are what the list shows of it.
	machine string
	listed  bool
	state   workload.MachineState
	// listedAt is when the list was requested.
	listedAt time.Duration
}

// endExecutor records that an executor and all its tasks have certainly ended. An empty ID is ignored.
func (l *leadership) endExecutor(now time.Duration, id string, because endEvidence) {
	if id == "" {
		return
	}
	silent := time.Duration(0)
	if since, lost := l.core.NoContactSince(id); lost {
		silent = now - since
	}
	l.log.WithFields(log.Fields{
		"executor": id, "reason": because.reason, "machine": because.machine, "machine_listed": because.listed, "state": string(because.state),
		"silent_ms": silent.Milliseconds(), "list_age_ms": (now - because.listedAt).Milliseconds(),
	}).Info("executor concluded to have ended")
	maps.DeleteFunc(l.machines.unverified, func(_, executor string) bool { return executor == id })
	l.machines.endedIncarnations[id] = l.core.Incarnation(id)
	l.core.EndExecutor(now, id)
	l.dropExecutor(id)
}

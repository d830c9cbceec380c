package coordinator

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/pools"
	"github.com/tamarackworks/tamarackworks/workload"
)

// storeOrders makes the machines that are ordered durable; their orders are sent when that is done, so that a new owner
// knows which machines its predecessor may just have ordered.
func (l *lead) storeOrders(now time.Duration) {
	wall := l.opts.WallMS()
	recent := make(map[string]int64, len(l.machines.lastOrder))
	for id, at := range l.machines.lastOrder {
		recent[id] = wall - (now - at).Milliseconds()
	}
	value, err := json.Marshal(recent)
	if err != nil {
		l.log.WithError(err).Error("orders cannot be stored")
		return
	}
	l.rows.put(ordersKey, value)
}

// forgetOrders drops orders that need not be remembered any more.
func (m *machineState) forgetOrders(before time.Duration) {
	maps.DeleteFunc(m.lastOrder, func(_ string, at time.Duration) bool { return at < before })
}

// sendOrders sends the orders for machines that are stored as ordered.
func (l *lead) sendOrders(value []byte) {
	var stored map[string]int64
	if err := json.Unmarshal(value, &stored); err != nil {
		l.log.WithError(err).Error("stored orders cannot be read")
		return
	}
	for id := range stored {
		if a, ok := l.machines.ordered[id]; ok && !l.machines.sent[id] {
			l.machines.sent[id] = true
			go l.orderMachine(a)
		}
	}
}

// inherit keeps the machines that a predecessor may just have ordered from orders for the delay after that. The value
// holds the time of day of each order.
func (m *machineState) inherit(value []byte, now time.Duration, wallMS int64, delay time.Duration) error {
	var recent map[string]int64
	if err := json.Unmarshal(value, &recent); err != nil {
		return err
	}
	for id, at := range recent {
		ago := max(0, time.Duration(wallMS-at)*time.Millisecond)
		m.settleUntil[id] = now + delay + inheritMargin - ago
	}
	return nil
}

// inheritMargin covers attempts of an order after the first, and differences between the clocks of hosts.
const inheritMargin = 1500 * time.Millisecond

// orderMachine repeats an order until it is answered; all orders can be repeated safely.
func (l *lead) orderMachine(a pools.Action) {
	order := pools.Order{Machine: a.Machine, Pool: a.Pool, Holder: l.opts.Holder, Fence: l.term.Epoch}
	call := l.opts.Machines.Move
	if a.Kind == pools.ActionUpkeep {
		order.Wave, call = a.Wave.Number, l.opts.Machines.Upkeep
	}
	var err error
	for n := 0; n < orderAttempts; n++ {
		if !l.opts.Valid() {
			err = errors.Wrap(pools.ErrNoAnswer, "ownership is not confirmed")
			break
		}
		ctx, cancel := context.WithTimeout(l.ctx, machineTimeout)
		err = call(ctx, order)
		cancel()
		if err == nil || errors.Is(err, pools.ErrRejected) {
			break
		}
		if !elapsed.Sleep(l.ctx, orderRetry) {
			return
		}
	}
	l.emit(machineEvent{action: a, err: err})
}

// confirmOrder compares a machine with its last order. The service also confirms an order that was carried out before,
// for an earlier owner; then the executor runs on.
func (l *lead) confirmOrder(now time.Duration, machine workload.Machine) {
	id, ok := l.machines.confirming[machine.ID]
	if !ok {
		return
	}
	delete(l.machines.confirming, machine.ID)
	if machine.State == workload.MachineUp && machine.Executor == id {
		l.core.Cordon(now, id, false)
		return
	}
	l.endExecutor(now, id)
}

// listSettle is how much later than its registration or its last contact a list must have been asked for to show an
// executor for sure.
const listSettle = 500 * time.Millisecond

// endUnlisted ends silent executors that no machine of a list runs. Executors that are cut off and run on stay listed, so
// the tasks of those that are not can start elsewhere before their leases lapse.
func (l *lead) endUnlisted(now, sentAt time.Duration) {
	listed := make(map[string]bool, len(l.machines.list))
	for _, m := range l.machines.list {
		listed[m.Executor] = true
	}
	for _, id := range l.machines.confirming {
		listed[id] = true
	}
	for id := range l.roster {
		since, silent := l.core.SilentSince(id)
		if silent && !listed[id] && sentAt > since+listSettle {
			l.endExecutor(now, id)
		}
	}
}

// endExecutor notes that an executor and all that ran on it have ended for sure.
func (l *lead) endExecutor(now time.Duration, id string) {
	if id == "" {
		return
	}
	l.machines.ended[id] = l.core.Born(id)
	l.core.EndExecutor(now, id)
	l.dropExecutor(id)
}

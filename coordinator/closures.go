package coordinator

import (
	"time"

	"github.com/apex/log"

	"github.com/tamarackworks/tamarackworks/pools"
	"github.com/tamarackworks/tamarackworks/scheduler"
	"github.com/tamarackworks/tamarackworks/workload"
)

const (
	// closureInterval is the interval between decisions on which queues are closed.
	closureInterval = 200 * time.Millisecond
	// closuresAfter is how long an owner leads before it closes queues. Until then it may not know all executors and machines.
	closuresAfter = 3 * time.Second
	// machineMoveTime is how long a machine takes to move to another pool.
	machineMoveTime = 1500 * time.Millisecond
)

// closureState is what the owner told of closed queues.
type closureState struct {
	nextAt time.Duration
	logged map[closedFor]bool
}

type closedFor struct {
	queue, organisation string
	cause               scheduler.ClosureCause
}

// publishClosures decides which queues are closed and tells Options.PublishClosures. While the ownership is not confirmed it says
// nothing.
func (l *leadership) publishClosures(now time.Duration) {
	if l.opts.PublishClosures == nil || now < l.closures.nextAt || !l.opts.OwnsJobs() {
		return
	}
	l.closures.nextAt = now + closureInterval
	var closures []scheduler.Closure
	if l.machines.list != nil && now-l.startedAt >= closuresAfter {
		closures = l.core.Closures(now, l.expectedMachines(now))
	}
	l.logClosures(closures)
	l.opts.Metrics.closures.Set(float64(len(closures)))
	l.opts.PublishClosures(closures)
}

// publishRoom tells Options.PublishRoom how much memory is left for jobs, unless the ownership is not confirmed.
func (l *leadership) publishRoom(now time.Duration) {
	if room, ok := l.core.JobRoom(now); ok && l.opts.PublishRoom != nil && l.opts.OwnsJobs() {
		l.opts.PublishRoom(room)
	}
}

// logClosures logs which queues were closed and opened since the last call.
func (l *leadership) logClosures(closures []scheduler.Closure) {
	logged := make(map[closedFor]bool, len(closures))
	for _, x := range closures {
		key := closedFor{x.Queue, x.Organisation, x.Cause}
		logged[key] = true
		if !l.closures.logged[key] {
			l.log.WithFields(log.Fields{
				"queue": x.Queue, "organisation": x.Organisation, "cause": string(x.Cause), "closed_above": x.Work,
				"horizon_ms": x.Horizon.Milliseconds(), "return_ms": x.Return.Milliseconds(), "rate_cpu_milli": x.Rate,
			}).Info("queue closed")
		}
	}
	for key := range l.closures.logged {
		if !logged[key] {
			l.log.WithFields(log.Fields{"queue": key.queue, "organisation": key.organisation, "cause": string(key.cause)}).Info("queue open")
		}
	}
	l.closures.logged = logged
}

// expectedMachines returns the machines on which an executor may run soon: those in transit, those that return from maintenance,
// and those in standby.
func (l *leadership) expectedMachines(now time.Duration) []scheduler.ExpectedMachine {
	standby := make(map[string]bool)
	for _, p := range l.machines.pools {
		standby[p.Name] = p.Standby
	}
	var expected []scheduler.ExpectedMachine
	for _, m := range l.machines.list {
		x := scheduler.ExpectedMachine{Service: m.Pool, Executor: m.Executor, CPUMilli: m.Capacity.CPUMilli}
		order, ordered := l.machines.pendingOrders[m.ID]
		switch {
		case m.State == workload.MachineDown || ordered && order.Kind != pools.ActionMove:
			continue
		case ordered:
			x.Service, x.Executor, x.In = order.Pool, "", machineMoveTime
		case m.State == workload.MachineMoving:
			x.In = min(max(l.machines.confirmedAt[m.ID]+machineMoveTime-now, 0), machineMoveTime)
		case m.State == workload.MachineInMaintenance:
			x.In = machineMoveTime
		}
		if standby[x.Service] {
			x.Service = ""
			x.In += machineMoveTime
		}
		expected = append(expected, x)
	}
	return expected
}

package coordinator

import (
	"time"

	"github.com/apex/log"

	"github.com/tamarackworks/tamarackworks/pools"
	"github.com/tamarackworks/tamarackworks/workload"
)

// usageLogInterval limits how often machine usage is logged, so that the log volume does not grow with the load.
const usageLogInterval = time.Second

// poolUsage counts the machines of a pool by state. Arriving machines are moving in, or their executor has not
// registered yet. Cordoned machines are also counted as busy or idle.
type poolUsage struct {
	busy, idle, arriving, maintenance, standby, cordoned int
	// unplaced and confined are as in pools.Pool, and longRunningCPU is its LongRunning.
	unplaced, confined int
	longRunningCPU     int64
}

// countMachines counts the machines of each pool by state, and what waits for them. Machines that are down are not counted.
func countMachines(s pools.Snapshot) map[string]poolUsage {
	standby := make(map[string]bool)
	usage := make(map[string]poolUsage)
	for _, p := range s.Pools {
		standby[p.Name] = p.Standby
		if p.Unplaced > 0 || p.Confined > 0 || p.LongRunning > 0 {
			usage[p.Name] = poolUsage{unplaced: p.Unplaced, confined: p.Confined, longRunningCPU: p.LongRunning}
		}
	}
	for i := range s.Machines {
		m := &s.Machines[i]
		u := usage[m.Pool]
		switch {
		case m.State == workload.MachineMoving && !standby[m.Pool]:
			u.arriving++
		case m.State == workload.MachineInMaintenance:
			u.maintenance++
		case m.State == workload.MachineDown:
		case standby[m.Pool]:
			u.standby++
		case m.Executor == "":
			// The machine has just arrived, and its executor will register shortly.
			u.arriving++
		case m.Tasks > 0:
			u.busy++
		default:
			u.idle++
		}
		if m.Cordoned && m.State == workload.MachineUp {
			u.cordoned++
		}
		usage[m.Pool] = u
	}
	return usage
}

// updateMachineUsage tells the core how many machines are arriving in each pool, and counts and logs machine usage.
func (l *leadership) updateMachineUsage(now time.Duration, s pools.Snapshot) {
	usage := countMachines(s)
	arriving := make(map[string]int, len(usage))
	for pool, u := range usage {
		arriving[pool] = u.arriving
	}
	for _, a := range l.machines.pendingOrders {
		if a.Kind == pools.ActionMove {
			arriving[a.Pool]++
		}
	}
	l.core.ExpectMachines(arriving)
	if l.machines.usageCountedAt > 0 {
		l.opts.Metrics.machines(usage, now-l.machines.usageCountedAt)
	}
	l.machines.usageCountedAt = now
	if now < l.machines.nextUsageLogAt {
		return
	}
	l.machines.nextUsageLogAt = now + usageLogInterval
	for pool, u := range usage {
		if u != l.machines.loggedUsage[pool] {
			l.log.WithFields(log.Fields{
				"pool": pool, "busy": u.busy, "idle": u.idle, "coming": u.arriving, "upkeep": u.maintenance, "standby": u.standby,
				"cordoned": u.cordoned, "unplaced": u.unplaced, "confined": u.confined, "long_running_cpu_milli": u.longRunningCPU,
			}).Info("machines of a pool")
		}
	}
	l.machines.loggedUsage = usage
}

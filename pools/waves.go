package pools

import (
	"math"
	"sort"
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

const (
	// maintenanceTime is about how long maintenance makes a machine unavailable: the maintenance itself, the start of the executor
	// and the time until the list of machines shows it.
	maintenanceTime = 2500 * time.Millisecond
	// deadlineMargin is the factor on the time that the remaining maintenance takes. When the result exceeds the time left,
	// the wave no longer waits for finite tasks to end.
	deadlineMargin = 1.15
)

// PlanWaves plans the maintenance of the machines of all waves in the order that disturbs running tasks least: idle machines
// first, then those with the fewest long-running tasks. The machines that come next are cordoned in advance, so that the
// wave does not wait for their tasks to end.
func PlanWaves(s Snapshot) []Action {
	machines := make(map[string]*Machine, len(s.Machines))
	for i := range s.Machines {
		machines[s.Machines[i].ID] = &s.Machines[i]
	}
	var actions []Action
	for _, w := range s.Waves {
		if !w.Completed {
			actions = append(actions, planWave(s, w, machines)...)
		}
	}
	return actions
}

// planWave plans the next actions of one wave. Machines that are out of service for good are skipped.
func planWave(s Snapshot, w *Wave, machines map[string]*Machine) []Action {
	var pending []*Machine
	down, awaited := 0, 0
	for _, id := range w.Machines {
		m := machines[id]
		if m == nil {
			if !w.Begun[id] && !w.leavesOut(id, s.Now) {
				awaited++
			}
			continue
		}
		switch {
		case w.Begun[id]:
			if m.State != workload.MachineUp || m.Ordered {
				down++
			}
		case m.Ordered || m.State == workload.MachineInMaintenance:
			// The maintenance of a machine that is down for it but not in Begun was ordered by an earlier owner.
			pending = append(pending, m)
			down++
		default:
			pending = append(pending, m)
		}
	}
	if len(pending) == 0 {
		if awaited > 0 {
			return nil
		}
		return []Action{{Kind: ActionComplete, Wave: w, Reason: "all machines have begun their upkeep"}}
	}
	backlogged := s.poolsWithBacklog()
	sort.SliceStable(pending, func(a, b int) bool {
		return maintenanceRank(pending[a], backlogged[pending[a].Pool]) < maintenanceRank(pending[b], backlogged[pending[b].Pool])
	})
	maxDown, forced := wavePace(s, w, len(pending))
	released := s.executorsToRelease()
	quota := newCordonQuota(pending, max(w.plannedEnd()-s.Now, maintenanceTime))
	var actions []Action
	for _, m := range pending {
		if m.Ordered || m.State != workload.MachineUp {
			continue
		}
		ready := m.Reported && (m.Tasks == 0 || (forced && m.LongRunning == 0))
		switch {
		case down < maxDown && ready && (m.Cordoned || m.Tasks == 0):
			down++
			actions = append(actions, Action{Kind: ActionMaintain, Machine: m.ID, Wave: w, Reason: maintenanceReason(forced && m.Tasks > 0)})
		case m.Cordoned && released[m.Executor]:
			actions = append(actions, Action{Kind: ActionUncordon, Machine: m.ID, Wave: w, Reason: "long-running tasks have no other machine"})
		case !m.Cordoned && s.hasUnplaced(m.Pool):
		case quota.take(m) && !m.Cordoned:
			actions = append(actions, Action{Kind: ActionCordon, Machine: m.ID, Wave: w, Reason: "upkeep is next"})
		}
	}
	return actions
}

// leavesOut reports whether the wave is completed without a machine that is not listed. It answers machines that come while the machine
// service is slow or silent: the last list may be older than the machine. One that was never listed may still come until the planned end
// of the wave; the operator may also have named a machine that does not exist.
func (w *Wave) leavesOut(machine string, now time.Duration) bool {
	return w.Gone[machine] && (w.Listed[machine] || now >= w.plannedEnd())
}

// cordonQuota limits the machines that are cordoned because their maintenance is next. Cordoned machines are missing in a burst,
// so their number is no larger than the wave needs to end in time.
type cordonQuota struct {
	// finite is how many machines may wait for finite tasks to end. longRunning is how many machines of each pool may wait
	// for long-running tasks to leave. The tasks of one step leave one after another, so a second machine would mostly wait
	// for the first.
	finite      int
	longRunning map[string]int
}

const (
	// finiteTaskTime is about how long finite tasks keep a cordoned machine busy.
	finiteTaskTime = 2500 * time.Millisecond
	// relocationTime is about how long long-running tasks take to leave a cordoned machine: to stop, to start elsewhere
	// and to become ready.
	relocationTime = 4 * time.Second
)

// newCordonQuota returns the quota with which all pending machines can be emptied within a time.
func newCordonQuota(pending []*Machine, within time.Duration) cordonQuota {
	q := cordonQuota{longRunning: make(map[string]int)}
	for _, m := range pending {
		if m.LongRunning > 0 {
			q.longRunning[m.Pool]++
		} else {
			q.finite++
		}
	}
	q.finite = parallelismNeeded(q.finite, finiteTaskTime, within)
	for pool, n := range q.longRunning {
		q.longRunning[pool] = parallelismNeeded(n, relocationTime, within)
	}
	return q
}

// parallelismNeeded returns how many of n operations must run in parallel for all to end within a time, if one takes each.
func parallelismNeeded(n int, each, within time.Duration) int {
	return int(math.Ceil(float64(n) * float64(each) / float64(within)))
}

// take uses up one place of the quota and reports whether there was one. It must be called for machines that are already
// cordoned too, since they count.
func (q *cordonQuota) take(m *Machine) bool {
	if m.LongRunning > 0 {
		q.longRunning[m.Pool]--
		return q.longRunning[m.Pool] >= 0
	}
	q.finite--
	return q.finite >= 0
}

// hasUnplaced reports whether a pool has long-running tasks that no executor can take, waiting or on a cordoned machine. Cordoning
// another machine of the pool would make that worse.
func (s *Snapshot) hasUnplaced(pool string) bool {
	for _, p := range s.Pools {
		if p.Name == pool {
			return p.Unplaced+p.Confined > 0
		}
	}
	return false
}

// releaseDelay is how long long-running tasks may wait although a cordoned executor could take them, before it takes tasks again. A machine
// from another pool comes within some 2 s, if there is one.
const releaseDelay = 2500 * time.Millisecond

// executorsToRelease returns the cordoned executors that are to take tasks again.
func (s *Snapshot) executorsToRelease() map[string]bool {
	release := make(map[string]bool)
	for _, p := range s.Pools {
		if p.CordonedFit != "" && p.CordonedFitFor >= releaseDelay {
			release[p.CordonedFit] = true
		}
	}
	return release
}

// plannedEnd returns the time by which the planner aims to complete the wave.
func (w *Wave) plannedEnd() time.Duration {
	return w.Started + time.Duration(plannedFraction*float64(w.Duration))
}

// wavePace returns how many machines may be down at the same time, and whether finite tasks are no longer waited for. While
// work waits, no more machines are down than the wave needs to end in time, because they are missing for the backlog.
func wavePace(s Snapshot, w *Wave, pending int) (maxDown int, forced bool) {
	limit := max(w.MaxAtOnce, 1)
	rounds := (pending + limit - 1) / limit
	forced = time.Duration(float64(rounds)*float64(maintenanceTime)*deadlineMargin) > w.Started+w.Duration-s.Now
	untilPlannedEnd := w.plannedEnd() - s.Now
	if forced || untilPlannedEnd <= maintenanceTime {
		return limit, forced
	}
	needed := parallelismNeeded(pending, maintenanceTime, untilPlannedEnd)
	for _, p := range s.Pools {
		if p.hasBacklog() {
			return min(limit, needed), false
		}
	}
	return min(limit, noBacklogFactor*needed), false
}

const (
	// plannedFraction is the part of a wave's duration that is planned with. The rest is for machines whose long-running
	// tasks leave one after another.
	plannedFraction = 0.7
	// noBacklogFactor is how many times the needed number of machines may be down while no work waits.
	noBacklogFactor = 2
)

func maintenanceReason(forced bool) string {
	if forced {
		return "wave would end late"
	}
	return "machine is idle"
}

// maintenanceRank returns the sort key of a machine in its wave; the smallest comes first. Cordoned or idle machines come before
// others, whose tasks would have to end first. Within each group, machines of pools with waiting work come last, and
// otherwise those with the fewest long-running tasks first.
func maintenanceRank(m *Machine, hasBacklog bool) int {
	r := 100*m.LongRunning + m.Tasks
	if !m.Cordoned && m.Tasks > 0 {
		r += notCordonedPenalty
	}
	if hasBacklog {
		r += backlogPenalty
	}
	return r
}

// poolsWithBacklog returns the names of the pools in which work waits.
func (s *Snapshot) poolsWithBacklog() map[string]bool {
	backlogged := make(map[string]bool)
	for _, p := range s.Pools {
		if p.hasBacklog() {
			backlogged[p.Name] = true
		}
	}
	return backlogged
}

const (
	// backlogPenalty outweighs any number of tasks on a machine, notCordonedPenalty outweighs both together.
	backlogPenalty     = 1 << 19
	notCordonedPenalty = 1 << 20
)

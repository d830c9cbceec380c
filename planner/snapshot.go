// Package planner decides which hosts move between pools, which hosts leave
// for maintenance, and which jobs run where. All decisions are pure functions
// of a Snapshot and a time: the same input gives the same output on every
// entry host and in a replay.
package planner

import (
	"math"
	"time"

	"github.com/tamarackworks/tamarackworks/structs"
)

// Snapshot is the state of one data centre as its leader knows it. The caller fills it from the fleet
// view, the rows of the table and the heartbeats of all entry hosts. The functions of this package do not modify it.
type Snapshot struct {
	// Pools lists the pools of the data centre, one entry each.
	Pools []Pool
	// Hosts lists all hosts of the data centre, including those out of service.
	Hosts []Host
	// Waves lists the maintenance waves.
	Waves []Wave
	// Jobs lists the long-running jobs that are not in a final state.
	Jobs []Job
	// Teams holds the quotas by team name; a team without an entry has no limit.
	Teams map[string]structs.Team
	// Learned holds the observed resource use and run times of jobs by LearnedKey.
	Learned map[string]Learned
	// History is the value returned by the last call of Observe; the zero value is valid.
	History History
}

// Pool is a declared pool with its current load, summed over all entry hosts.
type Pool struct {
	structs.Pool
	// Backlog is the number of queued urgent requests.
	Backlog int
	// BatchBacklog is the number of queued batch requests. It never causes a move.
	BatchBacklog int
	// InFlight is the number of requests that targets are executing.
	InFlight int
	// ArrivalRate is the rate of urgent arrivals over the last heartbeat interval, in requests per second.
	ArrivalRate float64
	// ServiceTime is the observed mean run time of a request, or the declared one until requests were observed.
	ServiceTime time.Duration
}

// Host is a host with its assignment, its state in the platform's host list and its load.
type Host struct {
	Name string
	Rack string
	// HomePool is the declared pool.
	HomePool string
	// Pool is the pool of the current assignment.
	Pool string
	// NextPool is the destination of a move in progress, empty otherwise.
	NextPool string
	Phase    structs.Phase
	// Live is false if the platform's host list does not show the host as live.
	Live bool
	// Leaving is true if the host list, a drain object or a peer reports that the host is leaving.
	Leaving bool
	// Slots is the number of requests the host executes concurrently; 0 means structs.DefaultSlots.
	Slots int
	// InFlight is the number of requests that the host is executing.
	InFlight int
	// Cores, MemoryMB (in MiB) and Accelerators are the capacity of the host.
	Cores, MemoryMB, Accelerators int
	// Tasks is the number of batch tasks running on the host.
	Tasks int
	// RecentFailures is the number of tasks that failed on the host within a window that the caller chooses.
	RecentFailures int
}

// Wave is a maintenance wave with its progress.
type Wave struct {
	structs.Wave
	// Started is when the wave started.
	Started time.Time
	// Done holds the names of the hosts that have returned from maintenance.
	Done map[string]bool
	// HostTime is the observed mean time that a host is out for maintenance; 0 means DefaultHostTime.
	HostTime time.Duration
}

// History is the state that decisions carry from one call to the next. It is plain data and may be stored.
type History struct {
	// At is the time of the last observation.
	At time.Time
	// LowSince holds, by pool, since when the pool has continuously had a low load (see lowLoadRatio) and no backlog.
	LowSince map[string]time.Time
	// Loads holds the load history by pool.
	Loads map[string]LoadHistory
}

// LoadHistory is the smoothed load of one pool, in slots, and its bursts.
type LoadHistory struct {
	// Mean is the load averaged over meanLoadPeriod, Recent the load averaged over recentLoadPeriod.
	Mean, Recent float64
	// BurstSince is when the current burst began; zero outside bursts.
	BurstSince time.Time
	// BurstLength is the expected duration of a burst; 0 until one was observed.
	BurstLength time.Duration
}

// usable reports whether the host takes new requests of its pool.
func (h *Host) usable() bool {
	return h.Phase == structs.PhaseActive && h.Live && !h.Leaving
}

// slots returns the number of requests that the host executes concurrently, with the default applied.
func (h *Host) slots() int {
	if h.Slots <= 0 {
		return structs.DefaultSlots
	}
	return h.Slots
}

// load returns the number of slots that urgent arrivals keep busy on average.
func (p *Pool) load() float64 { return p.ArrivalRate * p.ServiceTime.Seconds() }

// poolView is the working state of one pool during a planning pass: the pool with its hosts. It changes as hosts
// are planned to leave or to join.
type poolView struct {
	*Pool
	usable []*Host
	// usableSlots and incomingSlots count the slots of the usable hosts and of the hosts that are moving in.
	usableSlots, incomingSlots int
	// incoming counts the hosts that are moving in.
	incoming int
	// unavailable counts the hosts of the pool that are not usable; they count against its disruption budget.
	unavailable int
	// racks counts the usable and incoming hosts by rack.
	racks map[string]int
	// homeSize is the number of hosts whose home pool this is.
	homeSize int
	// history and now are set only while moves are planned.
	history LoadHistory
	now     time.Time
}

// remainingBudget returns how many more hosts may be taken out of the pool now under its disruption budget.
func (v *poolView) remainingBudget() int { return v.MaxUnavailable - v.unavailable }

// removeHost removes a host from the usable ones and charges it to the disruption budget.
func (v *poolView) removeHost(h *Host) {
	for i, u := range v.usable {
		if u == h {
			v.usable = append(v.usable[:i:i], v.usable[i+1:]...)
			break
		}
	}
	v.usableSlots -= h.slots()
	v.unavailable++
	v.racks[h.Rack]--
}

// addIncoming counts a host that is moving into the pool.
func (v *poolView) addIncoming(h *Host) {
	v.incomingSlots += h.slots()
	v.incoming++
	v.racks[h.Rack]++
}

// groupByPool returns the declared pools with their hosts, by name and in the order of the snapshot. Hosts of
// undeclared pools are ignored.
func groupByPool(s *Snapshot) (map[string]*poolView, []*poolView) {
	byName := make(map[string]*poolView, len(s.Pools))
	pools := make([]*poolView, 0, len(s.Pools))
	for i := range s.Pools {
		v := &poolView{Pool: &s.Pools[i], racks: make(map[string]int)}
		byName[v.Name] = v
		pools = append(pools, v)
	}
	for i := range s.Hosts {
		h := &s.Hosts[i]
		if v, ok := byName[h.HomePool]; ok {
			v.homeSize++
		}
		if v, ok := byName[h.Pool]; ok {
			if h.usable() {
				v.usable = append(v.usable, h)
				v.usableSlots += h.slots()
				v.racks[h.Rack]++
			} else {
				v.unavailable++
			}
		}
		if v, ok := byName[h.NextPool]; ok && h.Phase == structs.PhaseReleasing && h.Live {
			v.addIncoming(h)
		}
	}
	return byName, pools
}

const (
	// meanLoadPeriod is the averaging period of the mean load. It is much longer than a burst, which lasts seconds.
	meanLoadPeriod = time.Minute
	// recentLoadPeriod is the averaging period of the recent load. It smooths the variation of arrivals within one
	// heartbeat interval, about 10 % at 100 requests per second.
	recentLoadPeriod = time.Second
	// burstRatio is the ratio of the recent to the mean load above which a burst begins.
	burstRatio = 2
)

// Observe returns the history updated with a snapshot taken at now. Call it once before each planning pass.
func Observe(h History, s Snapshot, now time.Time) History {
	next := History{At: now, LowSince: make(map[string]time.Time, len(s.Pools)), Loads: make(map[string]LoadHistory, len(s.Pools))}
	_, pools := groupByPool(&s)
	for _, v := range pools {
		next.Loads[v.Name] = observeLoad(h, v, now)
		if v.Backlog > 0 || v.load() > lowLoadRatio*float64(v.usableSlots) {
			continue
		}
		since, ok := h.LowSince[v.Name]
		if !ok {
			since = now
		}
		next.LowSince[v.Name] = since
	}
	return next
}

// observeLoad returns the load history of one pool updated with its current load. A load that jumps above burstRatio
// times the recent load replaces the recent load at once, so that the start of a burst is not smoothed away.
func observeLoad(h History, v *poolView, now time.Time) LoadHistory {
	load := v.load()
	l, ok := h.Loads[v.Name]
	if !ok {
		return LoadHistory{Mean: load, Recent: load}
	}
	elapsed := now.Sub(h.At)
	l.Mean += smoothingWeight(elapsed, meanLoadPeriod) * (load - l.Mean)
	if load > burstRatio*l.Recent {
		l.Recent = load
	}
	l.Recent += smoothingWeight(elapsed, recentLoadPeriod) * (load - l.Recent)
	switch {
	case l.BurstSince.IsZero() && l.Recent > burstRatio*l.Mean:
		l.BurstSince = now
	case !l.BurstSince.IsZero() && l.Recent < l.Mean:
		length := now.Sub(l.BurstSince)
		// A longer burst raises the expected length at once; a shorter one lowers it by half of the difference.
		l.BurstLength = max(length, (l.BurstLength+length)/2)
		l.BurstSince = time.Time{}
	}
	return l
}

// smoothingWeight returns the weight in an exponential average over period of an observation made elapsed after the
// previous one. With it, the average does not depend on how often observations are made.
func smoothingWeight(elapsed, period time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/period.Seconds())
}

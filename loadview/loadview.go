// Package loadview sums the load that the entry hosts of a data centre report
// and combines it with the state of the fleet into the planner's snapshot.
package loadview

import (
	"sync"
	"time"

	"github.com/tamarackworks/tamarackworks/planner"
	"github.com/tamarackworks/tamarackworks/structs"
)

// staleAfter is the age above which the report of an entry host is dropped: four heartbeats of 500 ms.
const staleAfter = 2 * time.Second

// minRateInterval is the shortest interval over which an arrival rate is computed. Over a shorter one a single arrival
// would look like a burst.
const minRateInterval = 400 * time.Millisecond

// PoolLoad is the load of one pool at one entry host.
type PoolLoad struct {
	Pool string
	// QueuedUrgent and QueuedBatch are the numbers of requests that wait in the queues of the entry host.
	QueuedUrgent int
	QueuedBatch  int
	// Arrived is the number of urgent requests that arrived since the entry host started.
	Arrived uint64
	// MeanRunTime is the observed mean run time of a request, 0 if none was observed.
	MeanRunTime time.Duration
}

// HostLoad is the load that one entry host puts on one host.
type HostLoad struct {
	Host string
	// InProgress is the number of requests of the entry host that the host executes.
	InProgress int
}

// Report is the load of one entry host at one point in time.
type Report struct {
	// Entry is the id of the entry host.
	Entry string
	// Incarnation changes when the entry host restarts, which resets its counters.
	Incarnation string
	Pools       []PoolLoad
	Hosts       []HostLoad
}

// Options configure an Aggregator.
type Options struct {
	DataCentre string
	// View returns the current view of the fleet.
	View func() *structs.View
	// Own returns the current load of the entry host that this process runs on.
	Own func() Report
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Aggregator holds the last report of each entry host of a data centre and sums their load. It is safe for concurrent
// use.
type Aggregator struct {
	opts Options

	mu      sync.Mutex
	reports map[string]*entryLoad
}

// entryLoad is the last report of an entry host with the arrival rates derived from its reports.
type entryLoad struct {
	report     Report
	receivedAt time.Time
	// rateSince is when the current rate interval began, and arrivedAtRateSince holds the Arrived counts of that
	// time by pool.
	rateSince          time.Time
	arrivedAtRateSince map[string]uint64
	// rates holds the arrival rates by pool in requests a second.
	rates map[string]float64
}

// New returns an Aggregator without reports.
func New(opts Options) *Aggregator {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Aggregator{opts: opts, reports: make(map[string]*entryLoad)}
}

// Add replaces the last report of an entry host.
func (a *Aggregator) Add(r Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(r, a.opts.Now())
}

// add replaces the last report of an entry host and, once the rate interval is long enough, computes new arrival rates
// and begins the next interval. The caller must hold a.mu.
func (a *Aggregator) add(r Report, now time.Time) {
	load, ok := a.reports[r.Entry]
	if !ok || load.report.Incarnation != r.Incarnation {
		load = &entryLoad{rateSince: now, arrivedAtRateSince: arrivalCounts(r), rates: make(map[string]float64)}
		a.reports[r.Entry] = load
	}
	load.report, load.receivedAt = r, now
	elapsed := now.Sub(load.rateSince)
	if elapsed < minRateInterval {
		return
	}
	arrived := arrivalCounts(r)
	for pool, n := range arrived {
		// The arrivals of a pool that was not in the earlier report are counted from zero.
		load.rates[pool] = float64(n-load.arrivedAtRateSince[pool]) / elapsed.Seconds()
	}
	load.rateSince, load.arrivedAtRateSince = now, arrived
}

// arrivalCounts returns the Arrived counts of a report by pool.
func arrivalCounts(r Report) map[string]uint64 {
	arrived := make(map[string]uint64, len(r.Pools))
	for _, p := range r.Pools {
		arrived[p.Pool] = p.Arrived
	}
	return arrived
}

// totals is the load summed over all entry hosts, by pool and by host.
type totals struct {
	pools map[string]*poolTotals
	hosts map[string]int
}

// poolTotals is the load of one pool, summed over all entry hosts.
type poolTotals struct {
	queuedUrgent, queuedBatch int
	arrivalRate               float64
	// weightedSeconds / weight is the mean run time in seconds, weighted by the arrival rate at each entry host.
	weightedSeconds, weight float64
}

// computeTotals adds a current report of this entry host and sums all reports that are not stale. It deletes the others.
func (a *Aggregator) computeTotals() totals {
	own := a.opts.Own()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.opts.Now()
	a.add(own, now)
	total := totals{pools: make(map[string]*poolTotals), hosts: make(map[string]int)}
	for entry, load := range a.reports {
		if now.Sub(load.receivedAt) > staleAfter {
			delete(a.reports, entry)
			continue
		}
		total.include(load)
	}
	return total
}

// minRunTimeWeight is added to the weight of each run time, so that the run time of an entry host without arrivals
// counts if no other one is known.
const minRunTimeWeight = 1e-6

// include adds the load of one entry host.
func (t *totals) include(load *entryLoad) {
	for _, p := range load.report.Pools {
		sum, ok := t.pools[p.Pool]
		if !ok {
			sum = &poolTotals{}
			t.pools[p.Pool] = sum
		}
		sum.queuedUrgent += p.QueuedUrgent
		sum.queuedBatch += p.QueuedBatch
		sum.arrivalRate += load.rates[p.Pool]
		if p.MeanRunTime > 0 {
			w := load.rates[p.Pool] + minRunTimeWeight
			sum.weight += w
			sum.weightedSeconds += w * p.MeanRunTime.Seconds()
		}
	}
	for _, h := range load.report.Hosts {
		t.hosts[h.Host] += h.InProgress
	}
}

// InProgress returns the number of requests in progress on each host, summed over all entry hosts.
func (a *Aggregator) InProgress() map[string]int { return a.computeTotals().hosts }

// PlannerSnapshot returns the pools and hosts of the data centre with their load, and the teams. The caller adds waves,
// jobs and history. It implements jobs.SnapshotSource.
func (a *Aggregator) PlannerSnapshot() planner.Snapshot {
	total := a.computeTotals()
	view := a.opts.View()
	snapshot := planner.Snapshot{Teams: make(map[string]structs.Team, len(view.Teams))}
	for name, t := range view.Teams {
		snapshot.Teams[name] = *t
	}
	inFlight := make(map[string]int)
	for _, h := range view.Hosts {
		if h.DataCentre != a.opts.DataCentre {
			continue
		}
		host := plannerHost(view, h, total.hosts[h.Name])
		inFlight[host.Pool] += host.InFlight
		snapshot.Hosts = append(snapshot.Hosts, host)
	}
	for name, p := range view.Pools {
		if p.DataCentre == a.opts.DataCentre {
			snapshot.Pools = append(snapshot.Pools, plannerPool(view, p, total.pools[name], inFlight[name]))
		}
	}
	sortSnapshot(&snapshot)
	return snapshot
}

// plannerHost combines the declaration, assignment and state of a host with its load.
func plannerHost(view *structs.View, h *structs.Host, inFlight int) planner.Host {
	host := planner.Host{
		Name: h.Name, Rack: h.Rack, HomePool: h.Pool, Slots: h.Slots, InFlight: inFlight,
		Cores: h.Cores, MemoryMB: h.MemoryMB, Accelerators: h.Accelerators,
	}
	if as := view.Assignments[h.Name]; as != nil {
		host.Pool, host.NextPool, host.Phase = as.Pool, as.NextPool, as.Phase
	}
	state, known := view.States[h.Name]
	host.Live = known && state.Live
	_, leaving := view.Leaving[h.Name]
	host.Leaving = leaving || state.Leaving || view.Drains[h.Name] != nil
	return host
}

// plannerPool combines the declaration of a pool with its load, which may be nil. Without an observed run time it uses the
// one that the service declares.
func plannerPool(view *structs.View, p *structs.Pool, sum *poolTotals, inFlight int) planner.Pool {
	pool := planner.Pool{Pool: *p, InFlight: inFlight}
	if service := view.Services[p.Service]; service != nil {
		pool.ServiceTime = time.Duration(service.DeclaredRunTimeMS) * time.Millisecond
	}
	if sum == nil {
		return pool
	}
	pool.Backlog, pool.BatchBacklog, pool.ArrivalRate = sum.queuedUrgent, sum.queuedBatch, sum.arrivalRate
	if sum.weight > 0 {
		pool.ServiceTime = time.Duration(sum.weightedSeconds / sum.weight * float64(time.Second))
	}
	return pool
}

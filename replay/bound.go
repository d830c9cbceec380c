package replay

import (
	"cmp"
	"slices"

	"github.com/tamarackworks/tamarackworks/structs"
)

// Bound holds limits, computed from the whole trace, that no policy on the fleet of the trace can beat.
type Bound struct {
	// OnTime is the largest number of urgent requests that can start on time.
	OnTime int
	// BufferMS is the least host time that is held back as a buffer, in host-milliseconds.
	BufferMS float64
	// Moves is the least number of moves that allows every urgent request to start on time.
	Moves int
}

// ClairvoyantBound computes the bound of a trace.
//
// BufferMS: at any time the pools together hold back at least the hosts in service, minus those that the offered
// load of all pools needs, minus those that batch work keeps busy. Batch work is bounded by a fluid model, which
// does all work that has arrived as soon as hosts are free, without placement constraints.
//
// OnTime: requests that arrive in a window and must start by its end cannot use more slots than the fleet has.
// Even if the shortest requests start first, those that exceed these slots are missed. The misses of disjoint
// windows add up.
//
// Moves: see moveBound.
func ClairvoyantBound(t *Trace) Bound {
	return Bound{OnTime: onTimeBound(t), BufferMS: bufferBound(t), Moves: moveBound(t)}
}

// change is a step of a piecewise constant function of time, such as the load of a service or a number of hosts.
type change struct {
	atMS    int64
	service string
	delta   int
}

// offeredChanges returns the changes of the offered load in order of time: up by one at each arrival, down by one when
// the request would end had it not waited.
func offeredChanges(t *Trace) []change {
	var changes []change
	for i := range t.Records {
		r := &t.Records[i]
		if r.Kind == KindUrgent {
			changes = append(changes, change{r.AtMS, r.Service, 1}, change{r.AtMS + r.RunMS, r.Service, -1})
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(a.atMS, b.atMS) })
	return changes
}

// peakHosts returns, by service, the number of hosts that the largest offered load needs.
func peakHosts(t *Trace) map[string]int {
	load := make(map[string]int)
	peak := make(map[string]int)
	for _, c := range offeredChanges(t) {
		load[c.service] += c.delta
		peak[c.service] = max(peak[c.service], (load[c.service]+t.Header.Fleet.Slots-1)/t.Header.Fleet.Slots)
	}
	return peak
}

func fleetHosts(f Fleet) int { return len(f.Services)*f.HostsPerPool + f.SpareHosts }

// hostsInService returns the changes of the number of hosts in service, which come from lost racks. Hosts out for
// maintenance count as in service; bufferBound subtracts them. The bounds on moves and on late requests count all
// hosts as in service, which can only lower these bounds.
func hostsInService(t *Trace) []change {
	fleet := t.Header.Fleet
	total := fleetHosts(fleet)
	racks := max(1, (total+fleet.RackSize-1)/fleet.RackSize)
	inRack := make(map[string]int)
	for i := range total {
		inRack[rackName(i%racks)]++
	}
	changes := []change{{delta: total}}
	for i := range t.Records {
		switch r := &t.Records[i]; r.Kind {
		case KindRackLost:
			changes = append(changes, change{atMS: r.AtMS, delta: -inRack[r.Rack]})
		case KindRackBack:
			changes = append(changes, change{atMS: r.AtMS, delta: inRack[r.Rack]})
		}
	}
	return changes
}

// bufferBound integrates over time the hosts that neither urgent nor batch work can use.
func bufferBound(t *Trace) float64 {
	type step struct {
		atMS int64
		do   func()
	}
	slots := t.Header.Fleet.Slots
	load := make(map[string]int)
	neededHosts, inService, batchWork := 0, 0, 0.0
	var steps []step
	for _, c := range offeredChanges(t) {
		steps = append(steps, step{c.atMS, func() {
			neededHosts -= (load[c.service] + slots - 1) / slots
			load[c.service] += c.delta
			neededHosts += (load[c.service] + slots - 1) / slots
		}})
	}
	for _, c := range hostsInService(t) {
		steps = append(steps, step{c.atMS, func() { inService += c.delta }})
	}
	for i := range t.Records {
		r := &t.Records[i]
		if r.Kind != KindBatch {
			continue
		}
		// Work after the end of the trace does not count.
		work := float64(min(r.RunMS, t.Header.DurationMS-r.AtMS)) * float64(r.Cores) / float64(t.Header.Fleet.Cores)
		steps = append(steps, step{r.AtMS, func() { batchWork += work }})
	}
	steps = append(steps, step{t.Header.DurationMS, func() {}})
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.atMS, b.atMS) })
	bufferMS, nowMS := 0.0, int64(0)
	for _, s := range steps {
		if s.atMS > t.Header.DurationMS {
			break
		}
		idle := float64(s.atMS-nowMS) * float64(max(0, inService-neededHosts))
		used := min(idle, batchWork)
		batchWork -= used
		bufferMS += idle - used
		nowMS = s.atMS
		s.do()
	}
	return max(0, bufferMS-maxRebootMS(t))
}

// maxRebootMS returns the most host time, in host-milliseconds, that a wave may take for reboots. Hosts are out of
// service during that time.
func maxRebootMS(t *Trace) float64 {
	for i := range t.Records {
		if t.Records[i].Kind == KindWave {
			return float64(fleetHosts(t.Header.Fleet)) * float64(t.Header.Fleet.RebootMS)
		}
	}
	return 0
}

// minSlots returns the least number of slots that can start all runs within a window of the given length. The work that
// m slots start within the window is at most m times its length plus the m longest runs, which may end after it.
func minSlots(runs []int64, lengthMS int64) int {
	sorted := slices.Sorted(slices.Values(runs))
	work := int64(0)
	for _, run := range sorted {
		work += run
	}
	for m := 0; ; m++ {
		if work <= int64(m)*lengthMS {
			return m
		}
		work -= sorted[len(sorted)-1-m]
	}
}

// maxStartable returns the largest number of runs that m slots can start within a window of the given length, by the
// same limit on the work as minSlots. The shortest runs count first.
func maxStartable(runs []int64, m int, lengthMS int64) int {
	sorted := slices.Sorted(slices.Values(runs))
	work := int64(0)
	for n, run := range sorted {
		work += run
		longest := int64(0)
		for _, last := range sorted[max(0, n+1-m) : n+1] {
			longest += last
		}
		if work-longest > int64(m)*lengthMS {
			return n
		}
	}
	return len(sorted)
}

// requestsBetween returns the run times of the urgent requests of a service, or of all services if it is empty, that
// arrive in [from, to).
func requestsBetween(t *Trace, service string, from, to int64) []int64 {
	var runs []int64
	i, _ := slices.BinarySearchFunc(t.Records, from, func(r Record, at int64) int { return cmp.Compare(r.AtMS, at) })
	for ; i < len(t.Records) && t.Records[i].AtMS < to; i++ {
		if r := &t.Records[i]; r.Kind == KindUrgent && (service == "" || r.Service == service) {
			runs = append(runs, r.RunMS)
		}
	}
	return runs
}

// onTimeBound returns the number of urgent requests minus those that the whole fleet must miss in disjoint windows.
func onTimeBound(t *Trace) int {
	total, missed := 0, 0
	for i := range t.Records {
		if t.Records[i].Kind == KindUrgent {
			total++
		}
	}
	limit := structs.UrgentStartLimit.Milliseconds()
	length := 4 * limit
	for from := int64(0); from < t.Header.DurationMS; from += length + limit {
		runs := requestsBetween(t, "", from, from+length)
		m := fleetHosts(t.Header.Fleet) * t.Header.Fleet.Slots
		missed += len(runs) - maxStartable(runs, m, length+limit)
	}
	return total - missed
}

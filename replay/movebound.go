package replay

import (
	"cmp"
	"slices"

	"github.com/tamarackworks/tamarackworks/structs"
)

// windowStepMS is the distance between the starts of windows, and maxWindowMS the length of the longest window. The
// lengths of windows are multiples of twice windowStepMS.
const (
	windowStepMS = 1000
	maxWindowMS  = 16000
)

// moveBound returns the least number of moves of any policy that starts every urgent request on time.
//
// The requests of one service that arrive in a window must start by the end of the window plus the start limit. At
// some moment of that interval the pool therefore has at least minSlots slots. Windows with disjoint intervals give
// a sequence of demands (pool, hosts) in order of time. Serving such a sequence with a fixed set of hosts is paging:
// page (p, i) is the i-th host of pool p, and a move loads one page and evicts another. Evicting the page whose next
// use is furthest away gives the least number of loads (Belady's algorithm), so no policy needs fewer moves. Lost
// racks and minimum pool sizes can only add moves. Every choice of windows gives a valid bound; the largest is used.
func moveBound(t *Trace) int {
	all := windowDemands(t)
	maxHosts := 0
	for _, d := range all {
		maxHosts = max(maxHosts, d.hosts)
	}
	best := 0
	for minHosts := 2; minHosts <= maxHosts; minHosts++ {
		all = slices.DeleteFunc(all, func(d hostDemand) bool { return d.hosts < minHosts })
		best = max(best, pagingMoves(t, selectDisjoint(all)))
	}
	return best
}

// hostDemand requires that the pool of a service has at least the given number of hosts at some moment of an interval.
type hostDemand struct {
	service      string
	hosts        int
	fromMS, toMS int64
}

// windowDemands returns the demands of all windows, ordered by the end of their intervals, the larger demand first.
func windowDemands(t *Trace) []hostDemand {
	limit := structs.UrgentStartLimit.Milliseconds()
	slots := t.Header.Fleet.Slots
	var all []hostDemand
	for length := int64(2 * windowStepMS); length <= maxWindowMS; length += 2 * windowStepMS {
		for from := int64(0); from < t.Header.DurationMS; from += windowStepMS {
			for _, service := range t.Header.Fleet.Services {
				need := minSlots(requestsBetween(t, service, from, from+length), length+limit)
				hosts := min(fleetHosts(t.Header.Fleet), (need+slots-1)/slots)
				all = append(all, hostDemand{service, hosts, from, from + length + limit})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b hostDemand) int {
		return cmp.Or(cmp.Compare(a.toMS, b.toMS), cmp.Compare(b.hosts, a.hosts))
	})
	return all
}

// selectDisjoint returns demands with disjoint intervals, chosen in the given order.
func selectDisjoint(all []hostDemand) []hostDemand {
	var chosen []hostDemand
	end := int64(0)
	for _, d := range all {
		if d.fromMS >= end {
			chosen = append(chosen, d)
			end = d.toMS
		}
	}
	return chosen
}

// pagingMoves returns the number of page loads for a sequence of demands if the page with the furthest next use is
// evicted. At the start each host is in its home pool, and the spare hosts hold no page.
func pagingMoves(t *Trace, sequence []hostDemand) int {
	type page struct {
		service string
		index   int
	}
	fleet := t.Header.Fleet
	cached := make(map[page]bool)
	for _, service := range fleet.Services {
		for i := range fleet.HostsPerPool {
			cached[page{service, i}] = true
		}
	}
	spare := fleet.SpareHosts
	// nextUse returns the index of the next demand for a page, or the number of demands if there is none.
	nextUse := func(p page, after int) int {
		for k := after; k < len(sequence); k++ {
			if sequence[k].service == p.service && p.index < sequence[k].hosts {
				return k
			}
		}
		return len(sequence)
	}
	moves := 0
	for k, d := range sequence {
		for i := range d.hosts {
			p := page{d.service, i}
			if cached[p] {
				continue
			}
			moves++
			if spare > 0 {
				spare--
			} else {
				var victim page
				furthest := -1
				for c := range cached {
					if c.service == d.service && c.index < d.hosts {
						continue
					}
					if next := nextUse(c, k+1); next > furthest {
						victim, furthest = c, next
					}
				}
				delete(cached, victim)
			}
			cached[p] = true
		}
	}
	return moves
}

package router

import (
	"math"
	"slices"
)

// peerReport holds the requests in progress by host name that another entry host reported.
type peerReport struct {
	receivedAt int64
	inProgress map[string]int64
}

func newPeerReport(receivedAt int64, loads []HostLoad) peerReport {
	inProgress := make(map[string]int64, len(loads))
	for _, l := range loads {
		inProgress[l.Host] += int64(l.InProgress)
	}
	return peerReport{receivedAt: receivedAt, inProgress: inProgress}
}

// divideSlots drops expired peer reports and divides the slots of each service's targets among this entry
// host and the entry hosts with unexpired reports. Entry hosts with the same reports compute shares that add
// up to the slots. The caller holds mu.
func (r *Router) divideSlots(now int64) {
	expiry := int64(never)
	entries := []string{r.opts.Entry}
	for entry, report := range r.peerReports {
		until := report.receivedAt + int64(r.opts.PeerTTL)
		if now >= until {
			delete(r.peerReports, entry)
			delete(r.queued, entry)
			continue
		}
		expiry = min(expiry, until)
		entries = append(entries, entry)
	}
	r.peerExpiry.Store(expiry)
	slices.Sort(entries)
	self := slices.Index(entries, r.opts.Entry)
	inProgress := make([]map[string]int64, len(entries))
	for k, entry := range entries {
		inProgress[k] = r.peerReports[entry].inProgress
	}
	ix := r.index.Load()
	if ix == nil {
		return
	}
	demand := make([]float64, len(entries))
	for service, st := range ix.services {
		for k, entry := range entries {
			demand[k] = float64(r.queued[entry][service])
		}
		st.addInProgress(demand, inProgress, self)
		lo, hi := st.shareInterval(demand, self)
		for i, t := range st.targets {
			t.setShare(slotCount(st.hosts[i]), lo, hi)
		}
	}
}

// addInProgress adds the requests in progress of each entry host to its demand, and stores the sum of those
// of the peers in each target. demand and inProgress have one element per entry host; self is the index of
// this one.
func (st *serviceTargets) addInProgress(demand []float64, inProgress []map[string]int64, self int) {
	for i, t := range st.targets {
		var peers int64
		for k := range demand {
			if k == self {
				demand[k] += float64(t.inProgress.Load())
				continue
			}
			n := inProgress[k][st.hosts[i].Name]
			demand[k] += float64(n)
			peers += n
		}
		t.peerInProgress.Store(peers)
	}
}

// shareInterval returns the part of the interval [0, 1] that belongs to this entry host. The parts are in
// proportion to the demand of each entry host plus an equal part of the service's slots, so that an entry host
// without work has a share at once when requests arrive.
func (st *serviceTargets) shareInterval(demand []float64, self int) (lo, hi float64) {
	var slots int64
	for _, h := range st.hosts {
		slots += slotCount(h)
	}
	base := float64(slots) / float64(len(demand))
	total := 0.0
	for k, d := range demand {
		if k == self {
			lo = total
		}
		total += d + base
		if k == self {
			hi = total
		}
	}
	return lo / total, hi / total
}

// setShare sets the share to the slots between the fractions lo and hi, at least 1, and the available slots
// to those that the peers do not use, at least the share.
func (t *target) setShare(slots int64, lo, hi float64) {
	boundary := func(x float64) int64 { return int64(math.Floor(x*float64(slots) + t.roundingOffset)) }
	share := max(1, boundary(hi)-boundary(lo))
	t.totalSlots.Store(slots)
	t.share.Store(share)
	t.availableSlots.Store(max(share, slots-t.peerInProgress.Load()))
}

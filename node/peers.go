package node

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/tamarackworks/tamarackworks/ownership"
	"github.com/tamarackworks/tamarackworks/settings"
)

// Headers with which an entry host describes itself in calls to other entry hosts.
const (
	hostHeader       = "Tamarack-Host"
	dataCentreHeader = "Tamarack-Data-Centre"
	cpuShareHeader   = "Tamarack-Cpu-Share"
	// storeAgeHeader is how long ago the newest call to the store was sent that got a response, in milliseconds.
	storeAgeHeader = "Tamarack-Store-Age-Ms"
)

// peerTTL is how long after its last call a host counts as live. Under usual load, hosts query the owner for the status of
// jobs several times a second.
const peerTTL = 3 * time.Second

// maxPeers bounds the hosts that are kept. Anybody who reaches the internal API can claim to be one.
const maxPeers = 1024

// outrankFactor is the smallest multiple of the owner's CPU share with which another host replaces the owner. A change of the
// owner costs some tenths of a second in which no task starts.
const outrankFactor = 2

// peer describes an entry host, as it does itself in the headers of its calls.
type peer struct {
	name, dataCentre string
	// cpuShare is the number of cores that the host may use.
	cpuShare float64
	lastSeen time.Duration
	// storeAnswered is when the newest call of the host to the store was sent that got a response; 0 if unknown.
	storeAnswered time.Duration
}

// peers keeps the hosts that recently called this one. While this host is the owner, it chooses its successors from them.
type peers struct {
	self peer
	now  func() time.Duration
	// answered is the storeAnswered of this host.
	answered func() time.Duration

	mu     sync.Mutex
	byName map[string]peer
}

func newPeers(self peer, now, answered func() time.Duration) *peers {
	return &peers{self: self, now: now, answered: answered, byName: make(map[string]peer)}
}

// setHeaders adds the description of this host to the headers of a call.
func (p *peers) setHeaders(h http.Header) {
	h.Set(hostHeader, p.self.name)
	h.Set(dataCentreHeader, p.self.dataCentre)
	h.Set(cpuShareHeader, strconv.FormatFloat(p.self.cpuShare, 'g', -1, 64))
	if at := p.answered(); at != 0 {
		h.Set(storeAgeHeader, strconv.FormatInt((p.now()-at).Milliseconds(), 10))
	}
}

// recordCaller stores the description of the host that made a call, unless its names are not valid or maxPeers other hosts have called
// lately. A malformed CPU share counts as 0, so that the host is the last choice as a successor. Without a valid age, as from hosts of
// former versions, it is not known when the store answered.
func (p *peers) recordCaller(h http.Header) {
	name, dataCentre := h.Get(hostHeader), h.Get(dataCentreHeader)
	if !settings.ValidName(name) || dataCentre != "" && !settings.ValidName(dataCentre) {
		return
	}
	share, err := strconv.ParseFloat(h.Get(cpuShareHeader), 64)
	if err != nil || !(share >= 0) {
		share = 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.byName[name]; !known && len(p.byName) >= maxPeers {
		p.dropSilent()
		if len(p.byName) >= maxPeers {
			return
		}
	}
	caller := peer{name: name, dataCentre: dataCentre, cpuShare: share, lastSeen: p.now()}
	if age, err := strconv.ParseUint(h.Get(storeAgeHeader), 10, 31); err == nil {
		// The milliseconds of the header are rounded down.
		caller.storeAnswered = max(p.byName[name].storeAnswered, caller.lastSeen-time.Duration(age+1)*time.Millisecond)
	}
	p.byName[name] = caller
}

// storeAnswered returns, for each live host, when its newest call to the store was sent that got a response, as far as known.
func (p *peers) storeAnswered() []time.Duration {
	var times []time.Duration
	for _, host := range p.live() {
		if host.storeAnswered > 0 {
			times = append(times, host.storeAnswered)
		}
	}
	return times
}

// successors returns the names of the hosts that should take over from this host, best first.
func (p *peers) successors() []string { return rankSuccessors(p.live(), p.self.dataCentre) }

// outranked reports whether another host has so much more CPU time that it should be the owner instead.
func (p *peers) outranked() bool {
	return slices.ContainsFunc(p.live(), func(other peer) bool { return other.cpuShare >= outrankFactor*p.self.cpuShare })
}

// live returns the hosts that called within peerTTL, and drops the others.
func (p *peers) live() []peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSilent()
	return slices.Collect(maps.Values(p.byName))
}

// dropSilent drops the hosts that have not called within peerTTL. The caller holds the lock.
func (p *peers) dropSilent() {
	now := p.now()
	maps.DeleteFunc(p.byName, func(_ string, host peer) bool { return now-host.lastSeen > peerTTL })
}

// rankSuccessors returns the names of up to ownership.MaxSuccessors hosts, best first. Hosts that another one would outrank come
// last: they would hand over again, and are short of processor time until then. Within that it spreads the hosts over data centres, so
// that they do not fail together: hosts outside the owner's data centre come first, and each data centre appears once before
// any appears twice. Then a higher CPU share comes first.
func rankSuccessors(hosts []peer, ownDataCentre string) []string {
	slices.SortFunc(hosts, func(a, b peer) int {
		return cmp.Or(-cmp.Compare(a.cpuShare, b.cpuShare), cmp.Compare(a.name, b.name))
	})
	largestShare := 0.0
	for _, host := range hosts {
		largestShare = max(largestShare, host.cpuShare)
	}
	perDataCentre := make(map[string]int)
	ranks := make([]int, len(hosts))
	order := make([]int, len(hosts))
	for i, host := range hosts {
		order[i], ranks[i] = i, perDataCentre[host.dataCentre]
		if host.dataCentre == ownDataCentre {
			ranks[i] += ownership.MaxSuccessors
		}
		if largestShare >= outrankFactor*host.cpuShare {
			ranks[i] += 2 * len(hosts)
		}
		perDataCentre[host.dataCentre]++
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(ranks[a], ranks[b]) })
	var names []string
	for _, i := range order[:min(len(order), ownership.MaxSuccessors)] {
		names = append(names, hosts[i].name)
	}
	return names
}

// interceptor adds the description of this host to outgoing calls and records the callers of incoming ones.
func (p *peers) interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if r.Spec().IsClient {
				p.setHeaders(r.Header())
			} else {
				p.recordCaller(r.Header())
			}
			return next(ctx, r)
		}
	}
}

// Package router selects a target for each attempt of a request. It holds the
// state of one entry host about its targets: requests in progress, adaptive
// concurrency limits, the share of each target's slots that belongs to this
// entry host, and ejection after repeated failures.
package router

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/structs"
)

// Errors returned by Acquire.
var (
	// ErrNoTarget means that the view has no usable target for the service, or that all of them were tried already.
	ErrNoTarget = errors.New("router: no usable target")
	// ErrBusy means that all usable targets are at their concurrency limit.
	ErrBusy = errors.New("router: all targets are at their limit")
)

// ViewSource supplies the current view. Views are immutable. A new view has a new pointer, which is
// published by an atomic store and read by an atomic load; the confirmation of releases relies on this
// (see Router.Acquire).
type ViewSource interface{ View() *structs.View }

// Options configure a Router. Zero values select the defaults.
type Options struct {
	Views ViewSource
	// Entry is the id of this entry host, under which its peers pass its load to SetPeerLoads and SetQueued.
	// All entry hosts divide the slots in the order of the ids.
	Entry string
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed makes the choices reproducible for a single goroutine; 0 means a random seed.
	Seed uint64
	// PeerTTL is how long the load reported by a peer is used; 0 means DefaultPeerTTL.
	PeerTTL time.Duration
	// FailureTTL is how long a failure counts as load; 0 means DefaultFailureTTL.
	FailureTTL time.Duration
	// EjectAfter is the number of consecutive failures that eject a target; 0 means DefaultEjectAfter.
	EjectAfter int
	// EjectMin and EjectMax bound the ejection time, which doubles with each failed probe; 0 means
	// DefaultEjectMin and DefaultEjectMax.
	EjectMin, EjectMax time.Duration
}

// Defaults of Options.
const (
	// DefaultPeerTTL covers four heartbeats of 500 ms.
	DefaultPeerTTL    = 2 * time.Second
	DefaultFailureTTL = 5 * time.Second
	DefaultEjectAfter = 5
	DefaultEjectMin   = time.Second
	DefaultEjectMax   = 30 * time.Second
)

// Result reports how an attempt ended. A result without a flag and with an outcome other than done
// changes neither the concurrency limit nor the failure counts of the target.
type Result struct {
	Outcome structs.Outcome
	// Rejected means that the target refused the request because its slots are full.
	Rejected bool
	// Failed means that the target or the connection to it failed.
	Failed bool
	// Timeout means that no response arrived in time.
	Timeout bool
	// RunTime is the time from dispatch to the end of the attempt.
	RunTime time.Duration
}

// HostLoad is the load that one entry host puts on a host.
type HostLoad struct {
	Host           string
	InProgress     int
	RecentFailures int
}

// Router selects targets. It is safe for concurrent use.
type Router struct {
	opts  Options
	start time.Time
	index atomic.Pointer[index]
	// peerExpiry is the earliest time at which a peer report expires.
	peerExpiry atomic.Int64
	onFree     atomic.Pointer[func(service string)]
	// testHook is set by tests. Acquire calls it with false before it counts the request at a target, and with
	// true before it loads the view again.
	testHook func(counted bool)

	mu          sync.Mutex
	targets     map[string]*target
	peerReports map[string]peerReport
	queued      map[string]map[string]int

	// ejectMu makes the check of the ejection cap and the ejection atomic.
	ejectMu sync.Mutex

	rngMu sync.Mutex
	rng   *rand.Rand
}

// index holds the data of one view that Acquire needs.
type index struct {
	view     *structs.View
	services map[string]*serviceTargets
}

// serviceTargets lists the usable targets of one service. targets[i] is the state of hosts[i].
type serviceTargets struct {
	hosts   []*structs.Host
	targets []*target
}

// New returns a router.
func New(opts Options) *Router {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	setDefault(&opts.PeerTTL, DefaultPeerTTL)
	setDefault(&opts.FailureTTL, DefaultFailureTTL)
	setDefault(&opts.EjectAfter, DefaultEjectAfter)
	setDefault(&opts.EjectMin, DefaultEjectMin)
	setDefault(&opts.EjectMax, DefaultEjectMax)
	r := &Router{
		opts:        opts,
		start:       opts.Now(),
		targets:     make(map[string]*target),
		peerReports: make(map[string]peerReport),
		queued:      make(map[string]map[string]int),
	}
	r.peerExpiry.Store(never)
	if opts.Seed != 0 {
		r.rng = rand.New(rand.NewPCG(opts.Seed, opts.Seed))
	}
	return r
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// OnFree registers the function that is called after a slot of a service became free. The function is
// called without locks held, on the goroutine that called Done. It replaces the one registered before.
func (r *Router) OnFree(f func(service string)) { r.onFree.Store(&f) }

// Acquire reserves a slot on a target of the service whose host name is not in tried. It compares two
// random targets and takes the less loaded one (power of two choices). It returns ErrNoTarget or ErrBusy if
// there is none.
//
// An entry host confirms the release of a host once a view without the host is published and InProgress
// is 0. Therefore Acquire first increments the counter and then loads the view again: either the
// confirmation sees the counter, or this call sees the view without the host and takes another target.
func (r *Router) Acquire(service string, tried []string) (*Slot, error) {
	for {
		now := r.now()
		ix := r.current()
		if r.testHook != nil {
			r.testHook(false)
		}
		s, err := r.selectSlot(ix, service, tried, now)
		if err != nil {
			return nil, err
		}
		if r.testHook != nil {
			r.testHook(true)
		}
		if host := r.current().hostOf(ix, service, s); host != nil {
			s.host = host
			return s, nil
		}
		s.target.release(s)
	}
}

// hostOf returns the host of the slot as ix lists it for the service, or nil if ix does not list it. The
// slot was selected from the index old.
func (ix *index) hostOf(old *index, service string, s *Slot) *structs.Host {
	if ix == old {
		return s.host
	}
	st := ix.services[service]
	if st == nil {
		return nil
	}
	if i := slices.Index(st.targets, s.target); i >= 0 {
		return st.hosts[i]
	}
	return nil
}

func (r *Router) selectSlot(ix *index, service string, tried []string, now int64) (*Slot, error) {
	st := ix.services[service]
	if st == nil {
		return nil, ErrNoTarget
	}
	if now >= r.peerExpiry.Load() {
		r.expirePeerReports(now)
	}
	n := len(st.targets)
	i := r.randomIndex(n)
	best := st.lessLoaded(i, r.randomOther(i, n), tried, now)
	if best >= 0 {
		if s := st.targets[best].take(st.hosts[best], service, now); s != nil {
			return s, nil
		}
	}
	return st.takeLeastLoaded(i, service, tried, now)
}

// lessLoaded returns the index of the less loaded of two targets among those that can take a request, or
// -1 if neither can.
func (st *serviceTargets) lessLoaded(i, j int, tried []string, now int64) int {
	si, oki := st.score(i, tried, now)
	sj, okj := st.score(j, tried, now)
	switch {
	case oki && (!okj || si <= sj):
		return i
	case okj:
		return j
	}
	return -1
}

// takeLeastLoaded reserves a slot on the least loaded of all targets, starting at offset. It is used when
// neither of the two random choices can take the request.
func (st *serviceTargets) takeLeastLoaded(offset int, service string, tried []string, now int64) (*Slot, error) {
	n := len(st.targets)
	for range n {
		best, bestScore, untried := -1, 0.0, false
		for k := range n {
			i := offset + k
			if i >= n {
				i -= n
			}
			if slices.Contains(tried, st.hosts[i].Name) {
				continue
			}
			untried = true
			if s, ok := st.score(i, nil, now); ok && (best < 0 || s < bestScore) {
				best, bestScore = i, s
			}
		}
		if !untried {
			return nil, ErrNoTarget
		}
		if best < 0 {
			break
		}
		if s := st.targets[best].take(st.hosts[best], service, now); s != nil {
			return s, nil
		}
	}
	return nil, ErrBusy
}

func (st *serviceTargets) score(i int, tried []string, now int64) (float64, bool) {
	if len(tried) > 0 && slices.Contains(tried, st.hosts[i].Name) {
		return 0, false
	}
	return st.targets[i].score(now)
}

func slotCount(h *structs.Host) int64 {
	if h.Slots > 0 {
		return int64(h.Slots)
	}
	return structs.DefaultSlots
}

func (r *Router) randomIndex(n int) int {
	if r.rng == nil {
		return rand.IntN(n)
	}
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return r.rng.IntN(n)
}

// randomOther returns a random index below n other than i, or i if there is no other.
func (r *Router) randomOther(i, n int) int {
	if n == 1 {
		return i
	}
	j := r.randomIndex(n - 1)
	if j >= i {
		j++
	}
	return j
}

func (r *Router) now() int64 { return int64(r.opts.Now().Sub(r.start)) }

// current returns the index of the current view.
func (r *Router) current() *index {
	if ix := r.index.Load(); ix != nil && ix.view == r.opts.Views.View() {
		return ix
	}
	return r.rebuild()
}

// rebuild builds the index of the current view and divides the slots again. It removes the state of hosts that the view does
// not list any more and that have no requests in progress.
func (r *Router) rebuild() *index {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.opts.Views.View()
	if ix := r.index.Load(); ix != nil && ix.view == v {
		return ix
	}
	ix := &index{view: v, services: make(map[string]*serviceTargets)}
	if v != nil {
		used := make(map[string]bool, len(v.Hosts))
		for service, hosts := range v.TargetsByService {
			if len(hosts) == 0 {
				continue
			}
			st := &serviceTargets{hosts: hosts, targets: make([]*target, len(hosts))}
			for i, h := range hosts {
				used[h.Name] = true
				st.targets[i] = r.target(h, v)
			}
			r.ejectMu.Lock()
			st.restoreExcessEjected()
			r.ejectMu.Unlock()
			ix.services[service] = st
		}
		for name, t := range r.targets {
			if !used[name] && v.Hosts[name] == nil && t.inProgress.Load() == 0 {
				delete(r.targets, name)
			}
		}
	}
	r.index.Store(ix)
	r.divideSlots(r.now())
	return ix
}

// target returns the state of a host. It resets limit, failures and ejection for a newer incarnation of
// the host.
func (r *Router) target(h *structs.Host, v *structs.View) *target {
	t := r.targets[h.Name]
	if t == nil {
		t = newTarget(r, h)
		r.targets[h.Name] = t
	}
	t.totalSlots.Store(slotCount(h))
	if inc := v.States[h.Name].Incarnation; inc > t.incarnation {
		if t.incarnation != 0 {
			t.reset()
		}
		t.incarnation = inc
	}
	return t
}

// InProgress returns the number of requests of this entry host in progress at a host.
func (r *Router) InProgress(host string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.targets[host]; t != nil {
		return int(t.inProgress.Load())
	}
	return 0
}

// Loads returns the hosts with requests in progress or recent failures, for heartbeats.
func (r *Router) Loads() []HostLoad {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var loads []HostLoad
	for name, t := range r.targets {
		l := HostLoad{Host: name, InProgress: int(t.inProgress.Load()), RecentFailures: int(t.unexpiredFailures(now))}
		if l.InProgress > 0 || l.RecentFailures > 0 {
			loads = append(loads, l)
		}
	}
	slices.SortFunc(loads, func(a, b HostLoad) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return loads
}

// SetPeerLoads replaces the load last reported by another entry host of the data centre. It expires after
// PeerTTL. Failures that a peer saw are not used, because their cause may be the peer's own network.
func (r *Router) SetPeerLoads(entry string, loads []HostLoad) {
	if entry == r.opts.Entry {
		return // this router has the exact counts of its own entry host
	}
	now := r.now()
	report := newPeerReport(now, loads)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerReports[entry] = report
	r.divideSlots(now)
}

// SetQueued replaces the number of waiting requests by service of an entry host, as sent in heartbeats.
// It is called for this entry host too, with Options.Entry. The slots are divided in proportion to the
// waiting requests and those in progress; without calls only those in progress count. The new numbers are
// used when the slots are divided next: after SetPeerLoads, a new view or the expiry of a peer's load.
func (r *Router) SetQueued(entry string, queued map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queued[entry] = maps.Clone(queued)
}

func (r *Router) expirePeerReports(now int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.divideSlots(now)
}

package memory

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/structs"
)

// Options configure a Platform. The zero value has no lags, and hosts are live again at once after a reboot.
type Options struct {
	// ListLag is how long it takes until a change of a host shows in the host list.
	ListLag time.Duration
	// UsageLag is the run time that a task must have completed before its usage is reported.
	UsageLag time.Duration
	// RebootTime is how long a host is not live during a reboot.
	RebootTime time.Duration
	// OnReboot is called without locks held when a host starts to reboot.
	OnReboot func(host string)
}

// Faults are the failures to inject. They apply to one Handle or, if set on the Platform, to all handles. A write that has
// a fault of its handle is not subject to those of the platform, except for the latency.
type Faults struct {
	// Down makes every call fail with ErrUnavailable before it takes effect.
	Down bool `json:"down"`
	// Latency delays every call.
	Latency time.Duration `json:"latency"`
	// LoseResponses is the number of writes, from the next one on, that take effect but return ErrAmbiguous.
	LoseResponses int `json:"lose_answers"`
	// DropWrites is the number of writes, after those of LoseResponses, that have no effect and return ErrAmbiguous.
	DropWrites int `json:"drop_writes"`
	// RefuseWrites makes writes fail with ErrUnavailable before they take effect, while reads work.
	RefuseWrites bool `json:"refuse_writes"`
}

// Counters count the operations that reached the platform. Dropped writes are included, calls that failed with
// ErrUnavailable are not.
type Counters struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Platform holds the state that all handles share: table, objects, hosts and tasks.
type Platform struct {
	opts Options

	mu             sync.Mutex
	rows           map[string]cloud.Row
	objects        map[string][]byte
	lastVersion    uint64
	hosts          map[string]*hostRecord
	tasks          map[string]*taskRecord
	failingWorkers map[string]bool
	faults         Faults
	counters       Counters
}

// New returns an empty platform.
func New(opts Options) *Platform {
	return &Platform{
		opts:           opts,
		rows:           make(map[string]cloud.Row),
		objects:        make(map[string][]byte),
		hosts:          make(map[string]*hostRecord),
		tasks:          make(map[string]*taskRecord),
		failingWorkers: make(map[string]bool),
	}
}

// SetFaults replaces the faults that all handles see.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the faults that all handles see.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counters returns the number of operations since the platform was created.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// Handle is one client of the platform. It has its own faults, so that tests can
// partition one process from the platform.
type Handle struct {
	p      *Platform
	mu     sync.Mutex
	faults Faults
}

var _ cloud.Platform = (*Handle)(nil)

// Handle returns a new handle without faults of its own.
func (p *Platform) Handle() *Handle { return &Handle{p: p} }

// SetFaults replaces the faults of this handle.
func (h *Handle) SetFaults(f Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = f
}

// writeFault says whether one write takes effect and what the caller learns about it.
type writeFault int

const (
	writeOK writeFault = iota
	writeUnavailable
	writeResponseLost
	writeDropped
)

// nextWriteFault returns the fault of the next write and uses up one of the counted faults.
func (f *Faults) nextWriteFault() writeFault {
	switch {
	case f.Down || f.RefuseWrites:
		return writeUnavailable
	case f.LoseResponses > 0:
		f.LoseResponses--
		return writeResponseLost
	case f.DropWrites > 0:
		f.DropWrites--
		return writeDropped
	}
	return writeOK
}

// waitLatency waits for the injected latencies of the handle and the platform, or until ctx ends.
func (h *Handle) waitLatency(ctx context.Context) error {
	h.mu.Lock()
	latency := h.faults.Latency
	h.mu.Unlock()
	latency += h.p.Faults().Latency
	if latency <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginRead applies the faults of reads and counts the read.
func (h *Handle) beginRead(ctx context.Context) error {
	if h.waitLatency(ctx) != nil {
		return cloud.ErrUnavailable
	}
	h.mu.Lock()
	down := h.faults.Down
	h.mu.Unlock()
	h.p.mu.Lock()
	defer h.p.mu.Unlock()
	if down || h.p.faults.Down {
		return cloud.ErrUnavailable
	}
	h.p.counters.Reads++
	return nil
}

// write runs fn under p.mu, subject to the faults of writes, and counts the write.
func (h *Handle) write(ctx context.Context, fn func() error) error {
	if h.waitLatency(ctx) != nil {
		return cloud.ErrUnavailable
	}
	h.mu.Lock()
	fault := h.faults.nextWriteFault()
	h.mu.Unlock()
	h.p.mu.Lock()
	defer h.p.mu.Unlock()
	if fault == writeOK {
		fault = h.p.faults.nextWriteFault()
	}
	if fault == writeUnavailable {
		return cloud.ErrUnavailable
	}
	h.p.counters.Writes++
	if fault == writeDropped {
		return cloud.ErrAmbiguous
	}
	err := fn()
	if fault == writeResponseLost {
		return cloud.ErrAmbiguous
	}
	return err
}

// hostEvent is the state of a host from a point in time on, which may be in the future.
type hostEvent struct {
	at    time.Time
	state structs.HostState
}

// hostRecord holds the events of one host in the order of time.
type hostRecord struct {
	events []hostEvent
}

// at returns the state at t, or false if the host has no event up to t.
func (r *hostRecord) at(t time.Time) (structs.HostState, bool) {
	for i := len(r.events) - 1; i >= 0; i-- {
		if !r.events[i].at.After(t) {
			return r.events[i].state, true
		}
	}
	return structs.HostState{}, false
}

// dropAfter removes the events after t, so that a new event replaces a pending end of a reboot.
func (r *hostRecord) dropAfter(t time.Time) {
	for len(r.events) > 0 && r.events[len(r.events)-1].at.After(t) {
		r.events = r.events[:len(r.events)-1]
	}
}

// maxHostEvents bounds the events kept for each host. Past events are needed because the list lags.
const maxHostEvents = 64

func (r *hostRecord) add(e hostEvent) {
	r.events = append(r.events, e)
	if len(r.events) > maxHostEvents {
		r.events = r.events[len(r.events)-maxHostEvents:]
	}
}

// SetHost sets the state of a host from now on. The list shows it after ListLag, but a new host at once.
func (p *Platform) SetHost(state structs.HostState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	r, ok := p.hosts[state.Name]
	if !ok {
		// A new host is listed at once, so that tests need not wait for ListLag.
		r = &hostRecord{}
		p.hosts[state.Name] = r
		r.add(hostEvent{at: now.Add(-p.opts.ListLag), state: state})
		return
	}
	r.dropAfter(now)
	r.add(hostEvent{at: now, state: state})
}

// Host returns the current state of a host, regardless of ListLag.
func (p *Platform) Host(name string) (structs.HostState, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.hosts[name]
	if !ok {
		return structs.HostState{}, false
	}
	return r.at(time.Now())
}

// Hosts implements cloud.HostList. It returns the states as of ListLag ago, sorted by name. An empty data centre lists
// all hosts.
func (h *Handle) Hosts(ctx context.Context, dataCentre string) ([]structs.HostState, error) {
	if err := h.beginRead(ctx); err != nil {
		return nil, err
	}
	p := h.p
	p.mu.Lock()
	defer p.mu.Unlock()
	visibleAt := time.Now().Add(-p.opts.ListLag)
	var states []structs.HostState
	for _, r := range p.hosts {
		state, ok := r.at(visibleAt)
		if ok && (dataCentre == "" || state.DataCentre == dataCentre) {
			states = append(states, state)
		}
	}
	sortHosts(states)
	return states, nil
}

// Reboot implements cloud.Maintenance. It calls OnReboot if this call started the reboot.
func (h *Handle) Reboot(ctx context.Context, host string, incarnation uint64) error {
	started := false
	err := h.write(ctx, func() error {
		var err error
		started, err = h.p.reboot(host, incarnation)
		return err
	})
	if started && h.p.opts.OnReboot != nil {
		h.p.opts.OnReboot(host)
	}
	return err
}

// reboot ends the tasks of a host and records when it is live again, with the next incarnation. It reports whether this
// call started the reboot: a host that is not live is left as it is. The caller holds p.mu.
func (p *Platform) reboot(host string, incarnation uint64) (bool, error) {
	r, ok := p.hosts[host]
	if !ok {
		return false, cloud.ErrNotFound
	}
	now := time.Now()
	state, _ := r.at(now)
	if state.Incarnation != incarnation {
		return false, cloud.ErrConflict
	}
	if !state.Live {
		return false, nil
	}
	p.loseTasks(host, now)
	r.dropAfter(now)
	state.Live, state.Leaving = false, false
	r.add(hostEvent{at: now, state: state})
	state.Live = true
	state.Incarnation++
	r.add(hostEvent{at: now.Add(p.opts.RebootTime), state: state})
	return true, nil
}

package replay

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarackworks/tamarackworks/planner"
	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// tickMS is the heartbeat interval. The leader plans once per heartbeat.
	tickMS = 500
	// moveOverheadMS is the time that the two writes and the release round of a move take in addition to draining.
	moveOverheadMS = 200
	// checkpointMS is how long a checkpoint of one task takes.
	checkpointMS  = 1000
	sparePoolName = "spare"
	// runTimeWeight is the weight of one observation in the moving average of the run time of a pool's requests.
	runTimeWeight = 0.05
	// listLagMS is the time from the loss of a host until the platform's list shows it. Until then requests are still
	// sent to the host and do not complete.
	listLagMS = 2000
	// epochMS is the Unix time at which virtual time starts. The value is arbitrary.
	epochMS = 1_800_000_000_000
)

// Result holds the figures of one policy on one trace. All times are in virtual milliseconds.
type Result struct {
	Policy, Scenario string
	// Hosts is the number of hosts of the fleet, spare hosts included.
	Hosts int
	// Urgent counts the urgent requests that were not cancelled. Each of them is counted as OnTime if it started by its
	// deadline, Rejected if it was not admitted, or Late.
	Urgent, OnTime, Rejected, Late, Cancelled int
	// LongestWaitMS is the longest time from the arrival of a request to its start.
	LongestWaitMS int64
	// Batch counts the batch jobs that arrived and were not cancelled; BatchDone, BatchRefused and BatchFailed count
	// those of them that ended in the respective state.
	Batch, BatchDone, BatchRefused, BatchFailed int
	// HostMS is the time of hosts in service, and BufferMS the part of it that is held back as a buffer: in each
	// pool, the spare pool included, the hosts beyond those that the offered load needs (the requests that would
	// run now if none had waited, rounded up to whole hosts), minus the hosts that batch work keeps busy. Batch
	// progress that is lost counts as buffer.
	HostMS, BufferMS float64
	// Moves counts the moves that began.
	Moves int
	// Exits counts the hosts that left for maintenance, Maintained those that came back.
	Exits, Maintained int
	// BudgetViolations counts hosts taken out of service although their pool's disruption budget was used up.
	// WrongPoolStarts counts requests that started on a host of another pool or on one that was not active.
	BudgetViolations, WrongPoolStarts int
}

// BufferCost returns the share of the host time that was held back as a buffer.
func (r Result) BufferCost() float64 { return r.BufferMS / r.HostMS }

// OnTimeShare returns the share of urgent requests that started on time; 1 if there were none.
func (r Result) OnTimeShare() float64 {
	if r.Urgent == 0 {
		return 1
	}
	return float64(r.OnTime) / float64(r.Urgent)
}

// Sample is the state of the fleet at one heartbeat.
type Sample struct {
	AtMS int64
	// Backlog is the number of waiting urgent requests.
	Backlog int
	// BufferHosts is the number of hosts held back as a buffer (see Result.BufferMS), Moves the number of moves so far.
	BufferHosts float64
	Moves       int
	// Hosts is the number of hosts by pool, the spare pool last.
	Hosts []int
}

// request is an admitted urgent request.
type request struct {
	// number is the position of the request in the order of arrival.
	number    int
	pool      *pool
	arrivedMS int64
	// deadlineMS is the latest time to start.
	deadlineMS int64
	runMS      int64
	// host executes the request; nil while it waits.
	host *host
	// runID identifies the current execution. The end of an earlier execution, on a lost host, is ignored.
	runID int
}

// pool is a pool with its hosts and waiting requests.
type pool struct {
	planner.Pool
	queue []*request
	hosts []*host
	// arrivals counts the requests that arrived since the last heartbeat.
	arrivals int
	// offered is the number of requests that would run now if none had waited.
	offered int
	// batchHosts is the number of hosts that batch work keeps busy, as the sum of the shares of its tasks.
	batchHosts float64
}

// host is a host with the requests and tasks that run on it.
type host struct {
	planner.Host
	running map[*request]bool
	tasks   []*job
	// lost is set as soon as the rack of the host is lost. Live becomes false when the platform's list shows the loss.
	lost bool
	// readyMS is the earliest time at which a move or exit of the host completes.
	readyMS int64
}

// job is a batch job.
type job struct {
	structs.Job
	record    Record
	throttled bool
	// progress is the work done up to updatedMS, in milliseconds at full speed.
	progress float64
	// checkpointed is the progress in the last checkpoint.
	checkpointed float64
	speed        float64
	updatedMS    int64
	host         *host
	// completionID identifies the scheduled completion. Completions scheduled before the last change of speed are ignored.
	completionID int
}

// event runs do at a point of virtual time. Events at the same time run in the order of seq.
type event struct {
	atMS int64
	seq  int
	do   func()
}

// eventHeap implements heap.Interface, the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].atMS < h[j].atMS || h[i].atMS == h[j].atMS && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// replayer is the state of one replay.
type replayer struct {
	trace        *Trace
	policy       Policy
	result       Result
	nowMS        int64
	events       eventHeap
	seq          int
	pools        map[string]*pool
	orderedPools []*pool
	hosts        []*host
	byName       map[string]*host
	jobs         []*job
	history      planner.History
	learned      map[string]planner.Learned
	waves        []planner.Wave
	// outage is true while the table is down. No planning pass runs then, and no move or exit completes.
	outage bool
	// requestCount counts the urgent requests that arrived.
	requestCount int
	rng          *rand.Rand
	onSample     func(Sample)
}

// Run replays a trace under a policy. The function onSample is called once per heartbeat; it may be nil.
func Run(t *Trace, p Policy, onSample func(Sample)) Result {
	r := &replayer{
		trace: t, policy: p, pools: make(map[string]*pool), byName: make(map[string]*host),
		learned: make(map[string]planner.Learned), rng: rand.New(rand.NewPCG(t.Header.Seed, 1)), onSample: onSample,
	}
	r.result = Result{Policy: p.Name, Scenario: t.Header.Scenario}
	r.buildFleet()
	for i := range t.Records {
		record := &t.Records[i]
		r.at(record.AtMS, func() { r.applyRecord(record) })
	}
	for at := int64(tickMS); at <= t.Header.DurationMS; at += tickMS {
		r.at(at, r.tick)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		if e.atMS > t.Header.DurationMS && r.queuesEmpty() {
			break
		}
		r.advanceTo(e.atMS)
		e.do()
	}
	r.countOutcomes()
	return r.result
}

// queuesEmpty reports whether no urgent request waits. The replay continues past the end of the trace only until all
// waiting requests have started or are late.
func (r *replayer) queuesEmpty() bool {
	for _, p := range r.orderedPools {
		if len(p.queue) > 0 {
			return false
		}
	}
	return true
}

// at schedules a function for a virtual time.
func (r *replayer) at(ms int64, do func()) {
	r.seq++
	heap.Push(&r.events, event{atMS: ms, seq: r.seq, do: do})
}

// time returns the current virtual time.
func (r *replayer) time() time.Time { return time.UnixMilli(epochMS + r.nowMS) }

// advanceTo moves virtual time forward and adds up the host time and the buffer until the end of the trace.
func (r *replayer) advanceTo(toMS int64) {
	end := min(toMS, r.trace.Header.DurationMS)
	if d := float64(end - r.nowMS); d > 0 {
		for _, p := range r.orderedPools {
			live := 0
			for _, h := range p.hosts {
				if h.Live {
					live++
				}
			}
			r.result.HostMS += d * float64(live)
			r.result.BufferMS += d * bufferHosts(live, p.offered, r.slots(), p.batchHosts)
		}
	}
	r.nowMS = toMS
}

func (r *replayer) slots() int { return r.trace.Header.Fleet.Slots }

// bufferHosts returns how many of the live hosts of a pool are held back as a buffer.
func bufferHosts(live, offered, slots int, batch float64) float64 {
	need := (offered + slots - 1) / slots
	return max(0, float64(live-need)-batch)
}

// buildFleet creates the pools and hosts. Consecutive hosts are in different racks, so a rack has hosts of several pools.
func (r *replayer) buildFleet() {
	fleet := r.trace.Header.Fleet
	sizes := make(map[string]int)
	peak := peakHosts(r.trace)
	for _, service := range fleet.Services {
		sizes[service] = fleet.HostsPerPool
		if r.policy.BurstSized {
			sizes[service] = max(fleet.HostsPerPool, peak[service])
		}
	}
	if !r.policy.BurstSized {
		sizes[sparePoolName] = fleet.SpareHosts
	}
	total := 0
	for _, n := range sizes {
		total += n
	}
	r.result.Hosts = total
	racks := max(1, (total+fleet.RackSize-1)/fleet.RackSize)
	for _, name := range append(slices.Clone(fleet.Services), sparePoolName) {
		p := &pool{Pool: planner.Pool{
			Pool:        structs.Pool{Name: name, Service: name, MinHosts: 1, MaxUnavailable: max(1, sizes[name]/4)},
			ServiceTime: time.Duration(fleet.DeclaredRunMS) * time.Millisecond,
		}}
		if name == sparePoolName {
			p.Service, p.Spare, p.MinHosts, p.MaxUnavailable = "", true, 0, sizes[name]
		}
		r.pools[name] = p
		r.orderedPools = append(r.orderedPools, p)
		for range sizes[name] {
			r.addHost(p, rackName(len(r.hosts)%racks))
		}
	}
}

func (r *replayer) addHost(p *pool, rack string) {
	fleet := r.trace.Header.Fleet
	h := &host{running: make(map[*request]bool), Host: planner.Host{
		Name: hostName(len(r.hosts)), Rack: rack, HomePool: p.Name, Pool: p.Name, Phase: structs.PhaseActive, Live: true,
		Slots: fleet.Slots, Cores: fleet.Cores, MemoryMB: 1,
	}}
	r.hosts = append(r.hosts, h)
	r.byName[h.Name] = h
	p.hosts = append(p.hosts, h)
}

// applyRecord carries out the event of a record.
func (r *replayer) applyRecord(record *Record) {
	switch record.Kind {
	case KindUrgent:
		r.admitRequest(record)
	case KindBatch:
		r.submitJob(record)
	case KindRackLost, KindRackBack:
		for _, h := range r.hosts {
			if h.Rack == record.Rack {
				r.applyRackEvent(h, record.Kind == KindRackBack)
			}
		}
	case KindWave:
		wave := structs.Wave{Name: "wave", MaxParallel: 2}
		r.waves = append(r.waves, planner.Wave{Wave: wave, Started: r.time(), Done: make(map[string]bool)})
	case KindOutageStart, KindOutageEnd:
		r.outage = record.Kind == KindOutageStart
		for _, h := range r.hosts {
			r.completeIfDrained(h)
		}
	case KindCancel:
		r.cancelShare(record.Percent)
	}
}

// admitRequest starts an urgent request if its pool has a free slot. Otherwise it queues the request, or rejects it if
// the predicted wait exceeds the start limit.
func (r *replayer) admitRequest(record *Record) {
	p := r.pools[record.Service]
	p.arrivals++
	p.offered++
	r.at(r.nowMS+record.RunMS, func() { p.offered-- })
	limit := structs.UrgentStartLimit.Milliseconds()
	if record.DeadlineMS > 0 {
		limit = min(limit, record.DeadlineMS)
	}
	r.result.Urgent++
	r.requestCount++
	req := &request{number: r.requestCount, pool: p, arrivedMS: r.nowMS, deadlineMS: r.nowMS + limit, runMS: record.RunMS}
	if h := freeHost(p); h != nil {
		r.startRequest(req, h)
		return
	}
	if r.predictedWaitMS(p) > float64(limit) {
		r.result.Rejected++
		return
	}
	p.queue = append(p.queue, req)
}

// predictedWaitMS returns the expected wait in milliseconds of a request at the end of the queue. The slots of hosts
// that move to the pool count.
func (r *replayer) predictedWaitMS(p *pool) float64 {
	slots := 0
	for _, h := range r.hosts {
		if h.NextPool == p.Name || h.Pool == p.Name && usable(&h.Host) {
			slots += h.Slots
		}
	}
	if slots == 0 {
		return math.Inf(1)
	}
	return float64(len(p.queue)) * float64(p.ServiceTime.Milliseconds()) / float64(slots)
}

// freeHost returns the usable host with a free slot that has the fewest requests, or nil.
func freeHost(p *pool) *host {
	var best *host
	for _, h := range p.hosts {
		if usable(&h.Host) && h.InFlight < h.Slots && (best == nil || h.InFlight < best.InFlight) {
			best = h
		}
	}
	return best
}

func (r *replayer) startRequest(req *request, h *host) {
	wait := r.nowMS - req.arrivedMS
	r.result.LongestWaitMS = max(r.result.LongestWaitMS, wait)
	if h.Pool != req.pool.Name || h.Phase != structs.PhaseActive {
		r.result.WrongPoolStarts++
	}
	r.result.OnTime++
	req.host = h
	req.runID++
	runID := req.runID
	h.InFlight++
	h.running[req] = true
	r.at(r.nowMS+req.runMS, func() { r.completeRequest(req, runID) })
}

// completeRequest ends an execution of a request unless the host is lost or the request was started again.
func (r *replayer) completeRequest(req *request, runID int) {
	h := req.host
	if h == nil || req.runID != runID || h.lost {
		return
	}
	delete(h.running, req)
	req.host = nil
	h.InFlight--
	observed := float64(req.runMS) * float64(time.Millisecond)
	req.pool.ServiceTime += time.Duration(runTimeWeight * (observed - float64(req.pool.ServiceTime)))
	r.dispatch(req.pool)
	r.completeIfDrained(h)
}

// applyRackEvent loses or restores a host with its rack. The platform's list shows a loss after listLagMS.
func (r *replayer) applyRackEvent(h *host, back bool) {
	h.lost = !back
	if back {
		r.setLive(h, true)
		return
	}
	r.at(r.nowMS+listLagMS, func() {
		if h.lost {
			r.setLive(h, false)
		}
	})
}

// dispatch starts waiting requests on free slots, in order. Requests whose deadline has passed are dropped as late.
func (r *replayer) dispatch(p *pool) {
	for len(p.queue) > 0 {
		req := p.queue[0]
		if r.nowMS > req.deadlineMS {
			r.result.Late++
			p.queue = p.queue[1:]
			continue
		}
		h := freeHost(p)
		if h == nil {
			return
		}
		p.queue = p.queue[1:]
		r.startRequest(req, h)
	}
}

// setLive applies a change in whether the platform's list shows a host as live. If the host is lost, its requests return
// to the head of the queue, to be retried within their deadlines, and its tasks return to their last checkpoint.
func (r *replayer) setLive(h *host, live bool) {
	if h.Live == live {
		return
	}
	h.Live = live
	p := r.pools[h.Pool]
	if live {
		h.Phase, h.NextPool = structs.PhaseActive, ""
		r.dispatch(p)
		return
	}
	retried := slices.SortedFunc(maps.Keys(h.running), func(a, b *request) int { return a.number - b.number })
	for _, req := range retried {
		req.host = nil
		req.runID++
		r.result.OnTime--
	}
	clear(h.running)
	h.InFlight = 0
	p.queue = append(retried, p.queue...)
	for _, j := range slices.Clone(h.tasks) {
		r.endTask(j, false)
		r.requeueOrFail(j, h)
	}
	r.dispatch(p)
}

// cancelShare cancels each waiting request and each unfinished job with a probability given in percent.
func (r *replayer) cancelShare(percent int) {
	hit := func() bool { return r.rng.IntN(100) < percent }
	for _, p := range r.orderedPools {
		p.queue = slices.DeleteFunc(p.queue, func(*request) bool {
			if !hit() {
				return false
			}
			r.result.Urgent--
			r.result.Cancelled++
			return true
		})
	}
	for _, j := range r.jobs {
		if !j.State.Final() && hit() {
			if j.host != nil {
				r.endTask(j, false)
			}
			j.State = structs.JobCancelled
			r.result.Batch--
		}
	}
}

// countOutcomes counts the requests that still wait as late, and the jobs by their final states.
func (r *replayer) countOutcomes() {
	for _, p := range r.orderedPools {
		r.result.Late += len(p.queue)
	}
	for _, j := range r.jobs {
		switch j.State {
		case structs.JobDone:
			r.result.BatchDone++
		case structs.JobRefused:
			r.result.BatchRefused++
		case structs.JobFailed:
			r.result.BatchFailed++
		}
	}
}

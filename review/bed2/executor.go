package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of executors, as in the settings of a small deployment.
const (
	heartbeat          = 1500 * time.Millisecond
	maxHoldMS          = 6000
	gangWait           = 3 * time.Second
	checkpointInterval = 2 * time.Second
	restoreTime        = 600 * time.Millisecond
	stopTime           = 50 * time.Millisecond
	maxHoldWait        = 2 * time.Second
	executorCPU        = 16000
	executorMemory     = 32768
	greyTime           = 300 * time.Millisecond
	executorTick       = 20 * time.Millisecond
	maxListedEnds      = 500
)

// work is what the text of a job (Spec) tells an executor about its work items.
type work struct {
	// MS is the work of each item, Uneven by how many percent it differs from item to item. CPU and Memory are what an item takes.
	// Gang is the size of a gang.
	MS, Uneven, CPU, Memory, Gang int
	Checkpoints, Advice           bool
	// Steps tells the same for each step of the job; it replaces the rest if there is any.
	Steps []work `json:",omitempty"`
	// After and Spread are as in the job, for the checks.
	After  []int `json:",omitempty"`
	Spread int   `json:",omitempty"`
}

// executor is one life of an executor.
type executor struct {
	fleet   *fleet
	machine *machine
	id      string
	address string
	server  *http.Server

	mu       sync.Mutex
	alive    bool
	born     time.Time
	clock0   int64
	fence    uint64
	deadline int64
	runs     map[string]*run
	highest  map[string]int
	ends     []end
	lastEnd  int64
	changed  chan struct{}
	sequence int
	// dark is set while it neither answers nor reports, though its work goes on. late is the share of the orders that get no answer
	// and are carried out late. lapses counts how often its lease ran out.
	dark bool
	// busy is set while it answers starts with 503, grey while it fails all that it starts.
	busy   bool
	grey   bool
	late   float64
	lapses int
}

// run is one run of a work item.
type run struct {
	task, step string
	number     int
	work       work
	startedAt  time.Time
	// workingSince is when it began to work; zero while a gang waits. saved is the work that its first checkpoint held.
	workingSince time.Time
	saved        time.Duration
	checkpoint   string
	stopAt       time.Time
}

type end struct {
	lapses     int
	n          int64
	task       string
	run        int
	how        string
	checkpoint string
}

// startExecutor starts a new life of an executor on a machine.
func (f *fleet) startExecutor(m *machine) *executor {
	listener, err := net.Listen("tcp", f.host+":0")
	if err != nil {
		panic(err)
	}
	e := &executor{
		fleet: f, machine: m, id: "i-" + randomHex(8), address: listener.Addr().String(), alive: true, born: time.Now(),
		clock0: rand.Int64N(1000000) + 1000, runs: make(map[string]*run), highest: make(map[string]int), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.start)
	mux.HandleFunc("POST /run-stop", e.stop)
	mux.HandleFunc("POST /hold", e.hold)
	mux.HandleFunc("POST /pace", e.pace)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	go e.live()
	return e
}

// live reports to the store and lets the work go on until the executor ends.
func (e *executor) live() {
	var reported time.Time
	for {
		e.mu.Lock()
		alive := e.alive
		if alive {
			e.advance(time.Now())
		}
		e.mu.Unlock()
		if !alive {
			return
		}
		e.mu.Lock()
		dark := e.dark
		e.mu.Unlock()
		if dark {
			if !reported.IsZero() && time.Since(reported) > 3*heartbeat {
				reported = time.Time{}
				e.fleet.store.remove("servers", e.id)
			}
			time.Sleep(executorTick)
			continue
		}
		if time.Since(reported) >= heartbeat {
			reported = time.Now()
			e.report()
		}
		time.Sleep(executorTick)
	}
}

func (e *executor) report() {
	e.sequence++
	e.fleet.store.put("servers", e.id, map[string]any{
		"Service": e.machine.pool, "Address": e.address, "Zone": e.machine.zone, "Version": "v1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Capacity": map[string]int{"Cpu": executorCPU, "MemMb": executorMemory, "Gpu": 0},
		"Labels": e.machine.labels(), "ClockMs": e.clock(), "Sequence": e.sequence, "born": e.born.UnixMilli(),
	})
}

// crash ends the executor with all that runs there. Its entry goes after three intervals of silence.
func (e *executor) crash() {
	e.mu.Lock()
	e.alive = false
	lost := len(e.runs)
	for _, r := range e.runs {
		e.fleet.left(e, r, "lost")
	}
	e.runs = make(map[string]*run)
	close(e.changed)
	e.changed = make(chan struct{})
	e.mu.Unlock()
	_ = e.server.Close()
	e.fleet.record.line("executor %s on %s crashes, %d runs are lost", e.id, e.machine.id, lost)
	time.AfterFunc(3*heartbeat, func() { e.fleet.store.remove("servers", e.id) })
}

// clock is the executor's own steady clock.
func (e *executor) clock() int64 { return e.clock0 + time.Since(e.born).Milliseconds() }

// advance ends what is due. The caller holds e.mu.
func (e *executor) advance(now time.Time) {
	if len(e.runs) > 0 && e.clock() >= e.deadline {
		e.lapses++
		for _, r := range e.runs {
			e.finish(r, "lapsed")
		}
		return
	}
	for _, r := range e.runs {
		switch {
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			e.finish(r, "stopped")
		case e.grey && now.Sub(r.startedAt) > greyTime && (r.work.Gang == 0 || e.fleet.gangState(r, now) != "alone"):
			e.finish(r, "failed")
		case r.work.Gang > 0:
			e.advanceGang(r, now)
		case r.done(now) >= r.total():
			e.finish(r, "done")
		default:
			r.save(now)
		}
	}
}

// advanceGang lets a member of a gang wait, work and end together with the others.
func (e *executor) advanceGang(r *run, now time.Time) {
	switch how := e.fleet.gangState(r, now); {
	case how != "":
		e.finish(r, how)
	case !r.workingSince.IsZero():
		r.save(now)
	}
}

// total is the work of the run's item.
func (r *run) total() time.Duration {
	ms := r.work.MS
	if n := r.work.Uneven * ms / 100; n > 0 {
		ms += int(hash(r.task)%uint64(2*n)) - n
	}
	return time.Duration(ms) * time.Millisecond
}

// done is how much of its work is done.
func (r *run) done(now time.Time) time.Duration {
	if r.workingSince.IsZero() || now.Before(r.workingSince) {
		return r.saved
	}
	return r.saved + now.Sub(r.workingSince)
}

// save writes a checkpoint for each interval of work.
func (r *run) save(now time.Time) {
	if !r.work.Checkpoints {
		return
	}
	n := r.done(now) / checkpointInterval
	if n > 0 && n*checkpointInterval > r.saved {
		r.checkpoint = fmt.Sprintf("%08x%08x", (n * checkpointInterval).Milliseconds(), hash(r.task)&0xffffffff)
	}
}

// finish lists the end of a run. The caller holds e.mu.
func (e *executor) finish(r *run, how string) {
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.lastEnd++
	e.ends = append(e.ends, end{e.lapses, e.lastEnd, r.task, r.number, how, r.checkpoint})
	e.fleet.left(e, r, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

type order struct {
	Task         string
	RunId        int
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	Checkpoint   string
	Ticket       string
	LastSeen     int64
	WaitMs       int64
}

// accept decodes an order and checks its instance and fence number. It returns with e.mu held if ok.
func (e *executor) accept(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	e.mu.Lock()
	if !e.alive {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if e.dark {
		e.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if (r.URL.Path == "/run-start" || r.URL.Path == "/run-stop") && rand.Float64() < e.late {
		e.mu.Unlock()
		e.carryOutLate(r.URL.Path, o)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if o.FencingToken < e.fence {
		e.mu.Unlock()
		e.refuse(w, "fence")
		return o, false
	}
	e.fence = o.FencingToken
	return o, true
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	respond(w, http.StatusConflict, map[string]any{"ClockMs": e.clock(), "born": e.born.UnixMilli(), "Reason": reason})
}

func (e *executor) ok(w http.ResponseWriter) {
	respond(w, http.StatusOK, map[string]any{"ClockMs": e.clock(), "born": e.born.UnixMilli()})
}

// extend prolongs the lease. The caller holds e.mu.
func (e *executor) extend(deadline int64) {
	e.deadline = max(e.deadline, min(deadline, e.clock()+maxHoldMS))
}

func (e *executor) start(w http.ResponseWriter, r *http.Request) {
	o, ok := e.accept(w, r)
	if !ok {
		return
	}
	if e.busy {
		e.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	reason := e.begin(o)
	e.mu.Unlock()
	if reason != "" {
		e.refuse(w, reason)
		return
	}
	e.ok(w)
}

// begin starts a run and returns "", or why it does not. The caller holds e.mu.
func (e *executor) begin(o order) string {
	if o.DeadlineMs <= e.clock() {
		return "late"
	}
	e.extend(o.DeadlineMs)
	if x := e.runs[o.Task]; x != nil && x.number == o.RunId {
		return ""
	}
	if e.highest[o.Task] >= o.RunId {
		return "old"
	}
	x := &run{task: o.Task, step: o.Task[:strings.LastIndex(o.Task, ".")], number: o.RunId, startedAt: time.Now(), checkpoint: o.Checkpoint}
	if err := json.Unmarshal([]byte(o.Spec), &x.work); err != nil {
		return "room"
	}
	if len(x.work.Steps) > 0 {
		step, _ := strconv.Atoi(x.step[strings.LastIndex(x.step, ".")+1:])
		x.work = x.work.Steps[step]
	}
	cpu, memory := x.work.CPU, x.work.Memory
	for _, y := range e.runs {
		cpu, memory = cpu+y.work.CPU, memory+y.work.Memory
	}
	if cpu > executorCPU || memory > executorMemory || e.runs[o.Task] != nil {
		return "room"
	}
	if x.work.Advice && !e.fleet.advice.valid(x.step, e.id, o.Ticket) {
		return "ticket"
	}
	if len(o.Checkpoint) >= 8 {
		if ms, err := strconv.ParseInt(o.Checkpoint[:8], 16, 64); err == nil {
			x.saved = time.Duration(ms) * time.Millisecond
		}
	}
	if x.work.Gang == 0 {
		x.workingSince = x.startedAt
		if o.Checkpoint != "" {
			x.workingSince = x.startedAt.Add(restoreTime)
		}
	}
	e.runs[o.Task], e.highest[o.Task] = x, o.RunId-1
	e.fleet.joined(e, x)
	return ""
}

// carryOutLate carries an order out 2 to 12 s later; nobody gets the answer.
func (e *executor) carryOutLate(path string, o order) {
	time.AfterFunc(2*time.Second+time.Duration(rand.Int64N(int64(10*time.Second))), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.alive || o.FencingToken < e.fence {
			return
		}
		e.fence = o.FencingToken
		if path == "/run-stop" {
			e.halt(o)
			return
		}
		reason := e.begin(o)
		e.fleet.record.line("late start of %s/%d on %s: %q", o.Task, o.RunId, e.id, reason)
	})
}

// halt begins to stop a run. The caller holds e.mu.
func (e *executor) halt(o order) {
	e.highest[o.Task] = max(e.highest[o.Task], o.RunId)
	if x := e.runs[o.Task]; x != nil && x.number <= o.RunId && x.stopAt.IsZero() {
		x.stopAt = time.Now().Add(stopTime)
	}
}

func (e *executor) stop(w http.ResponseWriter, r *http.Request) {
	o, ok := e.accept(w, r)
	if !ok {
		return
	}
	e.halt(o)
	e.mu.Unlock()
	e.ok(w)
}

func (e *executor) pace(w http.ResponseWriter, r *http.Request) {
	if _, ok := e.accept(w, r); !ok {
		return
	}
	e.mu.Unlock()
	e.ok(w)
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := e.accept(w, r)
	if !ok {
		return
	}
	if o.DeadlineMs > 0 {
		e.extend(o.DeadlineMs)
	}
	for len(e.ends) > 0 && e.ends[0].n <= o.LastSeen {
		e.fleet.noted(e.ends[0], e.lapses)
		e.ends = e.ends[1:]
	}
	deadline := time.After(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait))
	for waiting := true; waiting && len(e.ends) == 0 && e.alive && !e.dark; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
	}
	if !e.alive || e.dark {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, finished := []any{}, []any{}
	now := time.Now()
	for _, x := range e.runs {
		percent := min(100, 100*float64(x.done(now))/float64(max(x.total(), 1)))
		running = append(running, []any{x.task, x.number, x.checkpoint, int(percent), x.work.CPU})
	}
	for _, x := range e.ends[:min(len(e.ends), maxListedEnds)] {
		finished = append(finished, []any{x.n, x.task, x.run, x.how, x.checkpoint})
	}
	body := map[string]any{"ClockMs": e.clock(), "born": e.born.UnixMilli(), "Running": running, "Finished": finished}
	e.mu.Unlock()
	respond(w, http.StatusOK, body)
}

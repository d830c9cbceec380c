package bed

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of executors, as the settings give them.
const (
	heartbeat          = 1500 * time.Millisecond
	maxHold            = 6 * time.Second
	stopTakes          = 100 * time.Millisecond
	checkpointInterval = 2 * time.Second
	maxHoldWait        = 2 * time.Second
	maxListedEnds      = 500
)

// Size is what a task asks of an executor, or what an executor has.
type Size struct {
	CPU int `json:"Cpu"`
	Mem int `json:"MemMb"`
	GPU int `json:"Gpu"`
}

// Work tells how long a task works and how it ends. Its Size is what an executor that checks its capacity reserves for it.
type Work struct {
	Size        Size
	For         time.Duration
	How         string
	Checkpoints bool
	// Lasts is set for tasks that last: they are at work after startup, and For is how long they would last.
	Lasts bool
}

// startup is how long a task that lasts takes until it is at work.
const startup = 500 * time.Millisecond

// HowGone is how a run ends with its executor; all other ends are those of the users' pages.
const HowGone = "gone"

// Executor is a stand-in of one life of an executor.
type Executor struct {
	ID, Service, Rack string
	Capacity          Size

	bed     *Bed
	address string
	born    int64
	began   time.Time

	mu         sync.Mutex
	changed    chan struct{}
	fence      uint64
	deadlineMS int64
	used       Size
	runs       map[string]*run
	highest    map[string]int
	ends       []end
	lastEnd    int64
	sequence   int
	gone       bool
	// reaches tells whether a call with a fencing token comes through; nil means all.
	reaches  func(fence uint64) bool
	server   *http.Server
	stopBeat chan struct{}
}

type run struct {
	task     string
	number   int
	began    time.Time
	work     Work
	stopping bool
	saved    string
	timer    *time.Timer
}

type end struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

func (e *Executor) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	e.began, e.born = time.Now(), time.Now().UnixMilli()
	e.changed = make(chan struct{})
	e.runs, e.highest = make(map[string]*run), make(map[string]int)
	e.stopBeat = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.serve(e.runStart))
	mux.HandleFunc("POST /run-stop", e.serve(e.runStop))
	mux.HandleFunc("POST /pace", e.serve(e.pace))
	mux.HandleFunc("POST /hold", e.serve(e.hold))
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	e.register()
	go e.beat()
	return nil
}

// tokensPerEpoch is the number of fencing tokens between two holders.
const tokensPerEpoch = 1 << 20

// CutFromAllBut cuts the executor off from all entry hosts but the one that holds an epoch; 0 heals the cut. Calls that do not come
// through get no response.
func (e *Executor) CutFromAllBut(epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reaches = nil
	if epoch != 0 {
		e.reaches = func(fence uint64) bool { return fence/tokensPerEpoch == epoch }
	}
	e.bed.Record.Add(e.ID, "cut off from all but the holder of epoch %d (0: from none)", epoch)
}

// Crash ends the executor with all that runs on it. Its registration is removed after three heartbeats of silence.
func (e *Executor) Crash() {
	e.bed.Record.Add(e.ID, "crashes")
	e.end()
	time.AfterFunc(3*heartbeat, func() { e.bed.Store.Delete("servers", e.ID) })
}

// End ends the executor with all that runs on it and removes its registration.
func (e *Executor) End() {
	e.end()
	e.bed.Store.Delete("servers", e.ID)
}

func (e *Executor) end() {
	e.mu.Lock()
	e.gone = true
	for _, r := range e.runs {
		r.timer.Stop()
		e.bed.ended(e, r, HowGone)
	}
	e.runs = make(map[string]*run)
	e.mu.Unlock()
	close(e.stopBeat)
	// The connections of an executor that has ended are reset.
	_ = e.server.Close()
}

// Restart starts another life on the machine of an executor that has ended.
func (e *Executor) Restart() (*Executor, error) { return e.restartIn("") }

// restartIn starts another life of the machine in a pool; an empty one means that of the life before. In standby nothing starts.
func (e *Executor) restartIn(pool string) (*Executor, error) {
	if pool == "" {
		pool = e.Service
	}
	machine, life, _ := strings.Cut(e.ID, "-")
	n, err := strconv.Atoi(life)
	if err != nil {
		return nil, err
	}
	next := &Executor{ID: fmt.Sprintf("%s-%d", machine, n+1), Service: pool, Rack: e.Rack, Capacity: e.Capacity, bed: e.bed}
	next.gone = pool == Standby
	e.bed.mu.Lock()
	for i, x := range e.bed.executors {
		if x == e {
			e.bed.executors[i] = next
		}
	}
	e.bed.mu.Unlock()
	if next.gone {
		return next, nil
	}
	e.bed.Record.Add(next.ID, "starts in %s, after %s", pool, e.ID)
	return next, next.start()
}

func (e *Executor) register() {
	e.mu.Lock()
	e.sequence++
	n := e.sequence
	e.mu.Unlock()
	e.bed.Store.Put("servers", e.ID, map[string]any{
		"Service": e.Service, "Address": e.address, "Zone": "z1", "Version": "1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": n, "Capacity": e.Capacity, "Labels": []string{"a", e.Rack}, "born": e.born,
	})
}

func (e *Executor) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.register()
		case <-e.stopBeat:
			return
		}
	}
}

// order is the body of all calls to an executor.
type order struct {
	Task         string `json:"Task"`
	RunID        int    `json:"RunId"`
	Spec         string `json:"Spec"`
	DeadlineMS   int64  `json:"DeadlineMs"`
	FencingToken uint64 `json:"FencingToken"`
	Checkpoint   string `json:"Checkpoint"`
	LastSeen     int64  `json:"LastSeen"`
	WaitMS       int64  `json:"WaitMs"`
	Percent      int    `json:"Percent"`
	Ticket       string `json:"Ticket"`
}

// serve checks the life and the fencing token that a call is meant for.
func (e *Executor) serve(do func(*order, map[string]any) int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("Expect-Instance"); id != "" && id != e.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body := make(map[string]any)
		e.mu.Lock()
		if e.reaches != nil && !e.reaches(o.FencingToken) {
			e.mu.Unlock()
			<-r.Context().Done()
			return
		}
		status := http.StatusConflict
		if o.FencingToken < e.fence {
			body["Reason"] = "fence"
		} else {
			e.fence = o.FencingToken
			status = do(&o, body)
		}
		body["ClockMs"], body["born"] = e.clock(), e.born
		e.mu.Unlock()
		writeJSON(w, status, body)
	}
}

func (e *Executor) clock() int64 { return time.Since(e.began).Milliseconds() + 1000 }

// extend extends the lease of all runs. The caller holds the lock.
func (e *Executor) extend(deadlineMS int64) {
	deadlineMS = min(deadlineMS, e.clock()+maxHold.Milliseconds())
	if deadlineMS <= e.deadlineMS {
		return
	}
	e.deadlineMS = deadlineMS
	time.AfterFunc(time.Duration(deadlineMS-e.clock())*time.Millisecond, e.expire)
}

// expire kills all runs if the lease has expired.
func (e *Executor) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.clock() < e.deadlineMS {
		return
	}
	for _, r := range e.runs {
		e.finish(r, "lapsed")
	}
}

// finish ends a run. The caller holds the lock.
func (e *Executor) finish(r *run, how string) {
	if e.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(e.runs, r.task)
	e.used.CPU -= r.work.Size.CPU
	e.used.Mem -= r.work.Size.Mem
	e.lastEnd++
	e.ends = append(e.ends, end{e.lastEnd, r.task, r.number, how, e.saved(r)})
	e.bed.ended(e, r, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// saved returns the checkpoint of a run.
func (e *Executor) saved(r *run) string {
	if r.work.Checkpoints {
		if n := int(time.Since(r.began) / checkpointInterval); n > 0 {
			return fmt.Sprintf("%08x%08x", n, len(r.task)*7919+r.number)
		}
	}
	return r.saved
}

func (e *Executor) runStart(o *order, body map[string]any) int {
	refuse := func(reason string) int {
		body["Reason"] = reason
		return http.StatusConflict
	}
	if o.DeadlineMS <= e.clock() {
		return refuse("late")
	}
	if r := e.runs[o.Task]; r != nil && r.number == o.RunID {
		e.extend(o.DeadlineMS)
		return http.StatusOK
	}
	if o.RunID <= e.highest[o.Task] {
		e.extend(o.DeadlineMS)
		return refuse("old")
	}
	if !e.bed.advice.valid(o.Task, e.ID, o.Ticket) {
		return refuse("ticket")
	}
	work := e.bed.work(o.Task, o.RunID)
	if e.used.CPU+work.Size.CPU > e.Capacity.CPU || e.used.Mem+work.Size.Mem > e.Capacity.Mem || e.runs[o.Task] != nil {
		e.extend(o.DeadlineMS)
		return refuse("room")
	}
	e.extend(o.DeadlineMS)
	r := &run{task: o.Task, number: o.RunID, began: time.Now(), work: work, saved: o.Checkpoint}
	e.runs[o.Task], e.highest[o.Task] = r, o.RunID
	e.used.CPU += work.Size.CPU
	e.used.Mem += work.Size.Mem
	r.timer = time.AfterFunc(work.For, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.finish(r, work.How)
	})
	e.bed.started(e, r, o)
	return http.StatusOK
}

func (e *Executor) runStop(o *order, _ map[string]any) int {
	e.highest[o.Task] = max(e.highest[o.Task], o.RunID)
	if r := e.runs[o.Task]; r != nil && r.number == o.RunID && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTakes, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.finish(r, "stopped")
		})
	}
	return http.StatusOK
}

func (e *Executor) pace(*order, map[string]any) int { return http.StatusOK }

func (e *Executor) hold(o *order, body map[string]any) int {
	for len(e.ends) > 0 && e.ends[0].number <= o.LastSeen {
		e.ends = e.ends[1:]
	}
	if o.DeadlineMS > 0 {
		e.extend(o.DeadlineMS)
	}
	if len(e.ends) == 0 && o.WaitMS > 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(time.Duration(o.WaitMS)*time.Millisecond, maxHoldWait)):
		}
		e.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range e.runs {
		percent := min(99, int(100*time.Since(r.began)/r.work.For))
		if r.work.Lasts {
			percent = min(100, int(100*time.Since(r.began)/startup))
		}
		running = append(running, []any{r.task, r.number, e.saved(r), percent, r.work.Size.CPU})
	}
	for _, x := range e.ends[:min(len(e.ends), maxListedEnds)] {
		finished = append(finished, []any{x.number, x.task, x.run, x.how, x.saved})
	}
	body["Running"], body["Finished"] = running, finished
	return http.StatusOK
}

// Used returns the CPU that runs on the executor reserve.
func (e *Executor) Used() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.used.CPU
}

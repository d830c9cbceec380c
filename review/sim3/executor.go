package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 6 * time.Second
	stopTime    = 50 * time.Millisecond
	listedEnds  = 500
	rateOfSaves = 2 * time.Second
	// gangWait is how long a member of a gang waits for the others.
	gangWait = 3 * time.Second
)

// run is a run of a work item on an executor.
type run struct {
	task       string
	number     int
	start      time.Time
	takes      time.Duration
	stopping   bool
	size       resources
	lasting    bool
	checkpoint string
	saves      bool
	timer      *time.Timer
}

type end struct {
	n     int64
	task  string
	run   int
	how   string
	saved string
}

// executor is a stand-in of an executor with its machine. All its lives have the same id and address.
type executor struct {
	w              *world
	id, machine    string
	service, zone  string
	rack, kind     string
	address        string
	capacity       resources
	guards         bool
	mu             sync.Mutex
	up             bool
	server         *http.Server
	born           time.Time
	fence          uint64
	deadline       int64
	leaseTimer     *time.Timer
	runs           map[string]*run
	settled        map[string]int
	ends           []end
	lastEnd        int64
	changed        chan struct{}
	stopHeartbeats chan struct{}
	// answer, if set, may answer an order in place of the executor; it returns 0 to let it pass.
	answer func(path string) (status int)
}

// addExecutor adds a machine of kind "a" with its executor to a service.
func (w *world) addExecutor(service string, n int, capacity resources) *executor {
	return w.addExecutorOfKind("a", service, n, capacity)
}

func (w *world) addExecutorOfKind(kind, service string, n int, capacity resources) *executor {
	e := &executor{
		w: w, id: fmt.Sprintf("i-%s-%d", service, n), machine: fmt.Sprintf("m-%s-%d", service, n), service: service,
		zone: w.zones[n%len(w.zones)], rack: fmt.Sprintf("r%d", n), kind: kind, capacity: capacity, guards: true,
		address: w.freeAddress(),
	}
	w.mu.Lock()
	w.executors = append(w.executors, e)
	w.mu.Unlock()
	e.boot()
	return e
}

// boot begins a new life of the executor.
func (e *executor) boot() {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		e.w.fail("executor %s cannot listen: %v", e.id, err)
	}
	e.mu.Lock()
	e.up, e.born = true, time.Now()
	e.fence, e.deadline, e.lastEnd, e.ends = 0, 0, 0, nil
	e.runs, e.settled, e.changed = make(map[string]*run), make(map[string]int), make(chan struct{})
	e.stopHeartbeats = make(chan struct{})
	stop := e.stopHeartbeats
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.order(e.serveStart))
	mux.HandleFunc("POST /run-stop", e.order(e.serveStop))
	mux.HandleFunc("POST /pace", e.order(func(w http.ResponseWriter, _ *orderBody) { e.reply(w, http.StatusOK, nil) }))
	mux.HandleFunc("POST /hold", e.order(e.serveHold))
	e.server = &http.Server{Handler: mux}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	e.w.log("executor up", "executor", e.id)
	e.register(0)
	go func() {
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				e.register(n)
			}
		}
	}()
}

func (e *executor) register(sequence int) {
	e.mu.Lock()
	body := map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Sequence": sequence, "Capacity": e.capacity, "Labels": []string{e.kind, e.rack}, "born": e.born.UnixMilli(),
	}
	up := e.up
	e.mu.Unlock()
	if up {
		e.w.store.put("servers", e.id, body)
	}
}

// crash ends the process of the executor: its address refuses connections until boot.
func (e *executor) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	close(e.stopHeartbeats)
	var lost []string
	for _, r := range e.runs {
		r.timer.Stop()
		lost = append(lost, fmt.Sprintf("%s/%d", r.task, r.number))
	}
	if e.leaseTimer != nil {
		e.leaseTimer.Stop()
	}
	e.runs = nil
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	slices.Sort(lost)
	e.w.log("executor crashes", "executor", e.id, "runs", strings.Join(lost, " "))
	for _, l := range lost {
		e.w.ended(e, l, "crash")
	}
}

// flap lets an executor go down and up by turns for a time, with a period of 1.4 s.
func flap(e *executor, during time.Duration) {
	for began := time.Now(); time.Since(began) < during; {
		e.crash()
		time.Sleep(700 * time.Millisecond)
		e.boot()
		time.Sleep(700 * time.Millisecond)
	}
}

// forget removes the registration, as the platform does after three intervals of silence.
func (e *executor) forget() { e.w.store.remove("servers", e.id) }

func (e *executor) running() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var tasks []string
	for t := range e.runs {
		tasks = append(tasks, t)
	}
	slices.Sort(tasks)
	return tasks
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() }

type orderBody struct {
	Task         string
	RunID        int `json:"RunId"`
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	Checkpoint   string
	LastSeen     int64
	WaitMs       int64
}

func (e *executor) order(serve func(http.ResponseWriter, *orderBody)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.answer != nil {
			if status := e.answer(r.URL.Path); status != 0 {
				w.WriteHeader(status)
				return
			}
		}
		var b orderBody
		if json.NewDecoder(r.Body).Decode(&b) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.mu.Lock()
		if !e.up {
			e.mu.Unlock()
			return
		}
		if b.FencingToken < e.fence {
			e.mu.Unlock()
			e.reply(w, http.StatusConflict, map[string]any{"Reason": "fence"})
			return
		}
		e.fence = b.FencingToken
		e.mu.Unlock()
		serve(w, &b)
	}
}

func (e *executor) reply(w http.ResponseWriter, status int, more map[string]any) {
	e.mu.Lock()
	body := map[string]any{"ClockMs": e.clock(), "born": e.born.UnixMilli()}
	e.mu.Unlock()
	for k, v := range more {
		body[k] = v
	}
	writeJSON(w, status, body)
}

// extend extends the lease; the caller holds the lock.
func (e *executor) extend(deadline int64) {
	deadline = min(deadline, e.clock()+maxHold.Milliseconds())
	if deadline <= e.deadline {
		return
	}
	e.deadline = deadline
	if e.leaseTimer != nil {
		e.leaseTimer.Stop()
	}
	born := e.born
	e.leaseTimer = time.AfterFunc(time.Duration(deadline-e.clock())*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.up || !e.born.Equal(born) || e.clock() < e.deadline {
			return
		}
		for _, r := range e.runs {
			e.finish(r, "lapsed")
		}
	})
}

// finish ends a run; the caller holds the lock.
func (e *executor) finish(r *run, how string) {
	if e.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(e.runs, r.task)
	e.settled[r.task] = max(e.settled[r.task], r.number)
	e.lastEnd++
	saved := r.checkpoint
	e.ends = append(e.ends, end{e.lastEnd, r.task, r.number, how, saved})
	close(e.changed)
	e.changed = make(chan struct{})
	e.w.ended(e, fmt.Sprintf("%s/%d", r.task, r.number), how)
}

func (e *executor) serveStart(w http.ResponseWriter, b *orderBody) {
	e.mu.Lock()
	reason := ""
	switch r := e.runs[b.Task]; {
	case r != nil && r.number == b.RunID:
		e.extend(b.DeadlineMs)
	case r != nil || b.RunID <= e.settled[b.Task]:
		e.extend(b.DeadlineMs)
		reason = "old"
	case b.DeadlineMs <= e.clock():
		reason = "late"
	default:
		e.extend(b.DeadlineMs)
		reason = e.start(b)
	}
	e.mu.Unlock()
	if reason != "" {
		e.w.log("start refused", "executor", e.id, "task", b.Task, "run", b.RunID, "reason", reason)
		e.reply(w, http.StatusConflict, map[string]any{"Reason": reason})
		return
	}
	e.reply(w, http.StatusOK, nil)
}

// start begins a run and returns the reason if it cannot; the caller holds the lock.
func (e *executor) start(b *orderBody) (reason string) {
	item, ok := e.w.item(b.Task)
	if ok && item.label != "" && item.label != e.kind {
		e.w.violate("ROUTE: %s of kind %s was told to start %s, which needs %s", e.id, e.kind, b.Task, item.label)
	}
	if !ok {
		e.w.violate("UNASKED: %s was told to start %s, which no requester sent", e.id, b.Task)
		return "room"
	}
	used := resources{}
	for _, r := range e.runs {
		used = used.plus(r.size)
	}
	if used = used.plus(item.size); !used.within(e.capacity) {
		if e.guards {
			return "room"
		}
		e.w.violate("LIMIT: %s is over its capacity with %s", e.id, b.Task)
	}
	r := &run{task: b.Task, number: b.RunID, start: time.Now(), takes: item.takes, size: item.size, lasting: item.lasts, saves: item.saves, checkpoint: b.Checkpoint}
	if item.gang > 0 {
		// A member works from when all are there; until then it waits.
		r.timer = time.AfterFunc(gangWait, func() { e.finishIf(r, "alone") })
	} else {
		r.timer = time.AfterFunc(item.takes, func() { e.finishIf(r, "done") })
	}
	e.runs[b.Task] = r
	e.w.started(e, b.Task, b.RunID)
	if item.gang > 0 {
		go e.w.joinGang(e, r, item.gang)
	}
	return ""
}

// finishIf ends a run that has not ended yet and does not last.
func (e *executor) finishIf(r *run, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.up && !r.lasting {
		e.finish(r, how)
	}
}

func (e *executor) serveStop(w http.ResponseWriter, b *orderBody) {
	e.mu.Lock()
	if r := e.runs[b.Task]; r != nil && r.number <= b.RunID && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.up {
				e.finish(r, "stopped")
			}
		})
	}
	e.settled[b.Task] = max(e.settled[b.Task], b.RunID)
	e.mu.Unlock()
	e.reply(w, http.StatusOK, nil)
}

func (e *executor) serveHold(w http.ResponseWriter, b *orderBody) {
	e.mu.Lock()
	e.extend(b.DeadlineMs)
	for len(e.ends) > 0 && e.ends[0].n <= b.LastSeen {
		e.w.acknowledged(e, fmt.Sprintf("%s/%d", e.ends[0].task, e.ends[0].run))
		e.ends = e.ends[1:]
	}
	changed, pending, born := e.changed, len(e.ends), e.born
	e.mu.Unlock()
	if pending == 0 && b.WaitMs > 0 {
		select {
		case <-changed:
		case <-time.After(min(time.Duration(b.WaitMs)*time.Millisecond, 2*time.Second)):
		}
	}
	e.mu.Lock()
	if !e.up || !e.born.Equal(born) {
		e.mu.Unlock()
		return
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range e.runs {
		percent := min(100*float64(time.Since(r.start))/float64(r.takes), 99)
		if r.lasting && time.Since(r.start) > r.takes {
			percent = 100
		}
		if r.saves {
			if n := int(time.Since(r.start) / rateOfSaves); n > 0 {
				r.checkpoint = fmt.Sprintf("%016x", n)
			}
		}
		running = append(running, []any{r.task, r.number, r.checkpoint, percent, r.size.CPU})
	}
	for _, x := range e.ends[:min(len(e.ends), listedEnds)] {
		finished = append(finished, []any{x.n, x.task, x.run, x.how, x.saved})
		e.w.listed(e, fmt.Sprintf("%s/%d", x.task, x.run))
	}
	e.mu.Unlock()
	e.reply(w, http.StatusOK, map[string]any{"Running": running, "Finished": finished})
}

// stepOf returns the job, the occurrence and the step of a work item.
func stepOf(task string) (job string, occurrence, step int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, 0
	}
	occurrence, _ = strconv.Atoi(parts[1])
	step, _ = strconv.Atoi(parts[2])
	return parts[0], occurrence, step
}

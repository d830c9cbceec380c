package main

import (
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maintenanceTime = 2 * time.Second
	machinePage     = 200
)

// machine is a machine of the platform, which runs at most one executor.
type machine struct {
	id, pool, zone, rack string
	state                string
	executor             *executor
	wave                 int
}

// fleet holds the machines with their executors, and what they have run.
type fleet struct {
	host   string
	store  *store
	record *record
	advice *advice

	mu       sync.Mutex
	machines []*machine
	gangs    map[gangKey]*gang
	// running counts the runs of each job that are on an executor, done holds the work items that ended as done, by job.
	running map[string]int
	done    map[string]map[string]bool
	usedCPU int
	starts  int
	waves   map[int]map[string]bool
	// unnoted counts the ends that no owner has taken note of.
	unnoted int
}

type gangKey struct {
	step string
	run  int
}

type gang struct {
	members int
	full    time.Time
	ended   string
}

func newFleet(host string, s *store, r *record) *fleet {
	return &fleet{
		host: host, store: s, record: r, advice: &advice{tickets: make(map[string]time.Time)}, gangs: make(map[gangKey]*gang),
		running: make(map[string]int), done: make(map[string]map[string]bool), waves: make(map[int]map[string]bool),
	}
}

// addMachines adds n machines of a pool, spread over zones and racks.
func (f *fleet) addMachines(n int, pool string, zones []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range n {
		zone := i % len(zones)
		m := &machine{id: "m-" + randomHex(5), pool: pool, zone: zones[zone], rack: "r" + string(rune('1'+zone)) + "-" + string(rune('1'+i/4)), state: "up"}
		m.executor = f.startExecutor(m)
		f.machines = append(f.machines, m)
	}
}

// joined and left note the begin and the end of a run. The caller holds the lock of the executor.
func (f *fleet) joined(e *executor, r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[jobOf(r.task)]++
	f.usedCPU += r.work.CPU
	f.starts++
	f.record.line("run %s/%d starts on %s", r.task, r.number, e.id)
	if r.work.Gang > 0 {
		key := gangKey{r.step, r.number}
		if f.gangs[key] == nil {
			f.gangs[key] = &gang{}
		}
		g := f.gangs[key]
		if g.members++; g.members == r.work.Gang {
			g.full = time.Now()
			if r.checkpoint != "" {
				g.full = g.full.Add(restoreTime)
			}
		}
	}
}

func (f *fleet) left(e *executor, r *run, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	job := jobOf(r.task)
	f.running[job]--
	f.usedCPU -= r.work.CPU
	if how != "lost" {
		f.unnoted++
	}
	if how == "done" {
		if f.done[job] == nil {
			f.done[job] = make(map[string]bool)
		}
		f.done[job][r.task] = true
	}
	f.record.line("run %s/%d ends on %s: %s", r.task, r.number, e.id, how)
	if g := f.gangs[gangKey{r.step, r.number}]; g != nil && g.ended == "" {
		g.ended = "broken"
		if how == "done" {
			g.ended = "done"
		}
	}
}

// noted counts an end that an owner took note of.
func (f *fleet) noted(end) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unnoted--
}

// gangState tells a member of a gang how it ends now, or "". It begins to work once all members are there.
func (f *fleet) gangState(r *run, now time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangs[gangKey{r.step, r.number}]
	switch {
	case g.ended != "":
		return g.ended
	case g.full.IsZero() && now.Sub(r.startedAt) > gangWait:
		return "alone"
	case g.full.IsZero():
		return ""
	case r.workingSince.IsZero():
		r.workingSince = g.full
	}
	if r.done(now) >= r.total() {
		return "done"
	}
	return ""
}

func jobOf(task string) string { return task[:strings.Index(task, ".")] }

// executorIDs returns the ids of all executors, in order.
func (f *fleet) executorIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for _, m := range f.machines {
		if m.executor != nil {
			ids = append(ids, m.executor.id)
		}
	}
	sort.Strings(ids)
	return ids
}

// busiest returns the executor that has the most runs of a job, or nil.
func (f *fleet) busiest(job string) *executor {
	f.mu.Lock()
	machines := append([]*machine{}, f.machines...)
	f.mu.Unlock()
	var best *executor
	most := 0
	for _, m := range machines {
		e := m.executor
		if e == nil {
			continue
		}
		n := 0
		e.mu.Lock()
		for _, r := range e.runs {
			if jobOf(r.task) == job {
				n++
			}
		}
		e.mu.Unlock()
		if n > most {
			best, most = e, n
		}
	}
	return best
}

// crash ends the executor of a machine, which starts a new one after a time.
func (f *fleet) crash(e *executor, downFor time.Duration) {
	f.mu.Lock()
	e.machine.state, e.machine.executor = "down", nil
	f.mu.Unlock()
	e.crash()
	time.AfterFunc(downFor, func() { f.restart(e.machine) })
}

func (f *fleet) restart(m *machine) {
	e := f.startExecutor(m)
	f.mu.Lock()
	defer f.mu.Unlock()
	m.state, m.executor = "up", e
	f.record.line("machine %s is up with executor %s", m.id, e.id)
}

func (f *fleet) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", f.list)
	mux.HandleFunc("POST /machine-upkeep", f.maintain)
	mux.HandleFunc("POST /machine-move", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusConflict, map[string]string{"Reason": "busy"})
	})
	mux.HandleFunc("POST /advise", f.advice.advise)
	return mux
}

func (f *fleet) list(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	all := append([]*machine{}, f.machines...)
	sort.Slice(all, func(a, b int) bool { return all[a].id < all[b].id })
	from := 0
	if token := r.URL.Query().Get("PageToken"); token != "" {
		from = sort.Search(len(all), func(i int) bool { return all[i].id >= token })
	}
	page := []any{}
	var next any
	for _, m := range all[from:] {
		if len(page) == machinePage {
			next = m.id
			break
		}
		id := ""
		if m.executor != nil {
			id = m.executor.id
		}
		page = append(page, map[string]any{
			"Machine": m.id, "Pool": m.pool, "State": m.state, "Zone": m.zone, "Labels": []string{"a", m.rack},
			"Capacity": map[string]int{"Cpu": executorCPU, "MemMb": executorMemory, "Gpu": 0}, "Id": id,
		})
	}
	f.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"Machines": page, "NextToken": next})
}

// maintain takes a machine down for its upkeep in a wave.
func (f *fleet) maintain(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string
		Wave    int
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	var m *machine
	for _, x := range f.machines {
		if x.id == o.Machine {
			m = x
		}
	}
	status, reason := http.StatusOK, ""
	var ended *executor
	switch {
	case m == nil:
		status = http.StatusBadRequest
	case m.wave == o.Wave:
	case !f.waves[o.Wave][m.id]:
		status, reason = http.StatusConflict, "wave"
	case m.state != "up":
		status, reason = http.StatusConflict, "busy"
	default:
		ended, m.executor, m.state, m.wave = m.executor, nil, "upkeep", o.Wave
	}
	f.mu.Unlock()
	if ended != nil {
		ended.crash()
		f.store.remove("servers", ended.id)
		time.AfterFunc(maintenanceTime, func() { f.restart(m) })
	}
	respond(w, status, map[string]string{"Reason": reason})
}

// advice is the service that decides which executors may run a step.
type advice struct {
	turn sync.Mutex

	mu sync.Mutex
	// everyNth lets about one executor of so many run a step; 1 lets all of them.
	everyNth atomic.Uint64
	tickets  map[string]time.Time
	record   *record
}

// Times of the advice service.
const (
	decisionTime   = 5 * time.Millisecond
	decisionPeriod = time.Millisecond
	ticketValid    = 3 * time.Second
)

// allows is the policy: it does not change for a step.
func (a *advice) allows(step, executor string) bool {
	return hash(step+"/"+executor)%a.everyNth.Load() == 0
}

func (a *advice) advise(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Step    string
		Workers []string
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || len(o.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	time.Sleep(decisionTime + time.Duration(len(o.Workers))*decisionPeriod)
	a.turn.Unlock()
	approved := [][2]string{}
	a.mu.Lock()
	for _, id := range o.Workers {
		if a.allows(o.Step, id) {
			ticket := randomHex(16)
			a.tickets[o.Step+"/"+id+"/"+ticket] = time.Now().Add(ticketValid)
			approved = append(approved, [2]string{id, ticket})
		}
	}
	a.mu.Unlock()
	a.record.line("advice for step %s on %d executors: %d approved", o.Step, len(o.Workers), len(approved))
	respond(w, http.StatusOK, map[string]any{"Approved": approved, "ValidMs": ticketValid.Milliseconds()})
}

func (a *advice) valid(step, executor, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[step+"/"+executor+"/"+ticket])
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

func randomHex(digits int) string {
	b := make([]byte, (digits+1)/2)
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(b)[:digits]
}

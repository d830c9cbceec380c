package main

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
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
	// extra is a label beside the kind and the rack.
	extra string
}

func (m *machine) labels() []string {
	if m.extra != "" {
		return []string{"a", m.rack, m.extra}
	}
	return []string{"a", m.rack}
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
	// checks is set if starts are checked; breaches holds what the checks found.
	checks   bool
	breaches []string
	live     map[string]map[string]bool
	// notedDone holds the work items of which an end as done was taken note of, startedSince the start after a run that ended so.
	notedDone    map[string]bool
	alone        int
	startedSince map[string]string
	cancelledAt  map[string]time.Time
	// doneRuns holds the runs of a work item that ended as done.
	doneRuns map[string][]int
	// counts holds the number of work items of each step, by job.
	counts map[string][]int
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
		live: make(map[string]map[string]bool), notedDone: make(map[string]bool), startedSince: make(map[string]string),
		cancelledAt: make(map[string]time.Time), counts: make(map[string][]int), doneRuns: make(map[string][]int),
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
	f.check(e, r)
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
	if how == "alone" && f.cancelledAt[job].IsZero() {
		f.alone++
	}
	if how != "lost" {
		f.unnoted++
	}
	if how == "done" {
		if f.done[job] == nil {
			f.done[job] = make(map[string]bool)
		}
		f.done[job][r.task] = true
		f.doneRuns[r.task] = append(f.doneRuns[r.task], r.number)
		for i := range r.work.Gang {
			f.done[job][fmt.Sprintf("%s.%d", r.step, i)] = true
		}
	}
	delete(f.live[r.task], e.id)
	f.record.line("run %s/%d ends on %s: %s", r.task, r.number, e.id, how)
	if g := f.gangs[gangKey{r.step, r.number}]; g != nil && g.ended == "" {
		g.ended = "broken"
		if how == "done" {
			g.ended = "done"
		}
	}
}

// noted counts an end that an owner took note of. lapses is how often the lease of the executor has run out by now.
func (f *fleet) noted(x end, lapses int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unnoted--
	if !f.checks || x.how != "done" || x.lapses != lapses {
		return
	}
	f.notedDone[x.task] = true
	if start := f.startedSince[fmt.Sprintf("%s/%d", x.task, x.run)]; start != "" {
		f.breach("TWICE: %s started again as %s after its end, which is taken note of now", x.task, start)
	}
}

func (f *fleet) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.breaches = append(f.breaches, text)
	f.record.line("BREACH %s", text)
}

// check applies the rules to a start. The caller holds f.mu.
func (f *fleet) check(e *executor, r *run) {
	if !f.checks {
		return
	}
	if f.live[r.task] == nil {
		f.live[r.task] = make(map[string]bool)
	}
	if len(f.live[r.task]) > 0 {
		f.breach("TWICE: %s/%d starts on %s and runs on %v", r.task, r.number, e.id, f.live[r.task])
	}
	f.live[r.task][e.id] = true
	job := jobOf(r.task)
	if f.done[job][r.task] {
		start := fmt.Sprintf("%d on %s", r.number, e.id)
		for _, ended := range f.doneRuns[r.task] {
			f.startedSince[fmt.Sprintf("%s/%d", r.task, ended)] = start
		}
		if f.notedDone[r.task] {
			f.breach("TWICE: %s starts as %s after its end was taken note of", r.task, start)
		}
	}
	if at, ok := f.cancelledAt[job]; ok && time.Since(at) > 3*time.Second {
		f.breach("UNASKED: %s/%d starts %.1f s after its job was cancelled", r.task, r.number, time.Since(at).Seconds())
	}
	parts := strings.Split(r.task, ".")
	for _, earlier := range r.work.After {
		prefix, n := parts[0]+"."+parts[1]+"."+fmt.Sprint(earlier)+".", 0
		for item := range f.done[job] {
			if strings.HasPrefix(item, prefix) {
				n++
			}
		}
		if want := f.counts[job][earlier]; n < want {
			f.breach("ORDER: %s/%d starts, %d of %d items of step %d are done", r.task, r.number, n, want, earlier)
		}
	}
	if r.work.Spread > 0 {
		n := 0
		for _, x := range e.runs {
			if x.step == r.step {
				n++
			}
		}
		if n > r.work.Spread {
			f.breach("ROUTE: %d items of step %s on %s", n, r.step, e.id)
		}
	}
	if c := r.checkpoint; c != "" {
		ok := false
		for i := range 40 {
			item := r.task
			if r.work.Gang > 0 {
				item = fmt.Sprintf("%s.%d", r.step, i)
			}
			ok = ok || c[8:] == fmt.Sprintf("%08x", hash(item)&0xffffffff)
		}
		if !ok {
			f.breach("UNASKED: %s/%d starts with checkpoint %s of another item", r.task, r.number, c)
		}
	}
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
			"Machine": m.id, "Pool": m.pool, "State": m.state, "Zone": m.zone, "Labels": m.labels(),
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

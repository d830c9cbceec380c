package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

type resources struct {
	CPU   int `json:"Cpu"`
	MemMB int `json:"MemMb"`
	GPU   int `json:"Gpu"`
}

func (r resources) plus(o resources) resources {
	return resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPU + o.GPU}
}

func (r resources) within(o resources) bool {
	return r.CPU <= o.CPU && r.MemMB <= o.MemMB && r.GPU <= o.GPU
}

type step struct {
	Count         int
	CPU           int `json:"Cpu"`
	MemMB         int `json:"MemMb"`
	EstimateMs    int
	After         []int  `json:",omitempty"`
	Checkpointing bool   `json:",omitempty"`
	Gang          bool   `json:",omitempty"`
	AntiAffinity  int    `json:",omitempty"`
	LongRunning   bool   `json:",omitempty"`
	MayMiss       int    `json:",omitempty"`
	Requirements  string `json:",omitempty"`
}

type jobBody struct {
	Spec        string
	Steps       []step
	RepeatCount int   `json:",omitempty"`
	StartAtMs   int64 `json:",omitempty"`
	IntervalMs  int64 `json:",omitempty"`
}

// job is what a requester has sent, and what was seen of it.
type job struct {
	id    string
	queue string
	body  jobBody
	// takes is how long a work item of each step runs; the estimate if it is not set.
	takes    time.Duration
	accepted bool
	sentAt   time.Time
}

// item is what an executor knows of a work item.
type item struct {
	size         resources
	takes        time.Duration
	lasts, saves bool
	// gang is the number of members of its gang, 0 if it is in none.
	gang int
	// label is the label that its executor must have, or empty.
	label string
}

// seenRun is a run of a work item as its executor saw it.
type seenRun struct {
	task, executor string
	run            int
	from, to       time.Time
	how            string
	listedAt       time.Time
	ackedAt        time.Time
}

// world holds the stand-ins of one case, the processes under test, and what was seen.
type world struct {
	began  time.Time
	dir    string
	net    string
	next   int
	zones  []string
	store  *store
	nodes  []*node
	record *os.File
	// storeAddress and machineAddress are set by the first startNodes. cpuShares holds the shares of the machines, 0.4 if it is empty.
	storeAddress, machineAddress string
	cpuShares                    []string

	mu         sync.Mutex
	executors  []*executor
	jobs       map[string]*job
	runs       map[string]*seenRun
	violations []string
	machines   *machineService
	routes     []route
	gangs      map[string][]member
	services   []string
}

type route struct{ name, host, prefix, service string }

// newWorld prepares a case whose record is written into a folder.
func newWorld(folder string) *world {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		cannotRun("no record: %v", err)
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		cannotRun("no temporary folder: %v", err)
	}
	w := &world{
		began: time.Now(), dir: dir, record: f, zones: []string{"za", "zb", "zc"}, store: newStore(),
		jobs: make(map[string]*job), runs: make(map[string]*seenRun), net: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250),
	}
	w.machines = &machineService{w: w}
	return w
}

// cannotRun ends a case that cannot run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case cannot run: "+format+"\n", args...)
	os.Exit(2)
}

// fail ends the processes under test and then the case, which cannot run.
func (w *world) fail(format string, args ...any) {
	w.close()
	cannotRun(format, args...)
}

// log writes a line into the record.
func (w *world) log(what string, fields ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", time.Since(w.began).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	fmt.Fprintln(w.record, b.String())
}

// violate notes that the rule under test, or another one, was broken.
func (w *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.log("BROKEN " + text)
	go func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.violations = append(w.violations, text)
	}()
}

// freeAddress returns an address of its own with a free port.
func (w *world) freeAddress() string {
	w.next++
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.net, 1+w.next%250))
	if err != nil {
		w.fail("no free address: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serve serves a stand-in at an address of its own.
func (w *world) serve(h http.Handler) (address string) {
	address = w.freeAddress()
	l, err := net.Listen("tcp", address)
	if err != nil {
		w.fail("cannot listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return address
}

// configure writes a version of the manifest. The queues are named after their services.
func (w *world) configure(version int, maxAttempts int, services ...string) {
	type m = map[string]any
	var routes, pools []m
	w.routes, w.services = nil, services
	for _, s := range services {
		r := route{"q-" + s, s + ".example", "/" + s + "/", s}
		w.routes = append(w.routes, r)
		routes = append(routes, m{
			"Name": r.name, "Host": r.host, "Prefix": r.prefix, "Service": s, "TimeoutMs": 5000, "Priority": 0, "MaxAttempts": maxAttempts,
			"SlackFactor": 2, "TargetCompletionMs": 20000,
		})
		pools = append(pools, m{"Name": s, "AdmissionCheck": true})
	}
	w.store.put("op", "config", m{"Version": version, "Routes": routes, "Services": pools, "Limits": m{}})
	w.log("manifest confirmed", "version", version)
}

// submit hands a job in, at a node, until it is accepted or rejected. It returns the last status.
func (w *world) submit(n *node, id, service string, takes time.Duration, body jobBody) int {
	j := &job{id: id, queue: service, body: body, takes: takes, sentAt: time.Now()}
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	status := 0
	for try := 0; try < 4; try++ {
		status, _ = w.call(n, http.MethodPost, service, id, body)
		w.log("POST", "job", id, "node", n.name, "status", status)
		if status == http.StatusOK {
			w.mu.Lock()
			j.accepted = true
			w.mu.Unlock()
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status
}

// state asks for the state of a job; it is "" without an answer of 200.
func (w *world) state(n *node, id string) (state string, status int) {
	w.mu.Lock()
	service := w.jobs[id].queue
	w.mu.Unlock()
	status, body := w.call(n, http.MethodGet, service, id, nil)
	var s struct{ State string }
	_ = json.Unmarshal(body, &s)
	w.log("GET", "job", id, "node", n.name, "status", status, "state", s.State)
	return s.State, status
}

// pending asks for the length of a queue; it is -1 without an answer of 200.
func (w *world) pending(n *node, service string) int {
	status, body := w.call(n, http.MethodGet, service, "", nil)
	s := struct{ Pending int }{-1}
	_ = json.Unmarshal(body, &s)
	w.log("GET queue", "service", service, "node", n.name, "status", status, "pending", s.Pending)
	return s.Pending
}

// call makes one call of a requester. The status is 0 without an answer.
func (w *world) call(n *node, method, service, id string, body any) (status int, answer []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+"/"+service+"/"+id, bytes.NewReader(data))
	if err != nil {
		w.fail("%v", err)
	}
	req.Host = service + ".example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := requesters.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

var requesters = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// item returns a work item that a requester has sent.
func (w *world) item(task string) (item, bool) {
	id, occurrence, n := stepOf(task)
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if j == nil || n >= len(j.body.Steps) || occurrence >= max(j.body.RepeatCount, 1) {
		return item{}, false
	}
	s := j.body.Steps[n]
	takes := j.takes
	if takes == 0 {
		takes = time.Duration(s.EstimateMs) * time.Millisecond
	}
	members := 0
	if s.Gang {
		members = s.Count
	}
	return item{resources{s.CPU, s.MemMB, 0}, takes, s.LongRunning, s.Checkpointing, members, s.Requirements}, true
}

// member is a run of a member of a gang.
type member struct {
	e *executor
	r *run
}

// joinGang notes that a member of a gang is there. Once all members of the run are, they work; when one of them ends, the others break.
func (w *world) joinGang(e *executor, r *run, size int) {
	key := fmt.Sprintf("%s/%d", r.task[:strings.LastIndex(r.task, ".")], r.number)
	w.mu.Lock()
	if w.gangs == nil {
		w.gangs = make(map[string][]member)
	}
	w.gangs[key] = append(w.gangs[key], member{e, r})
	members := slices.Clone(w.gangs[key])
	w.mu.Unlock()
	if len(members) < size {
		return
	}
	w.log("gang is complete", "run", key)
	for _, m := range members {
		m.e.mu.Lock()
		if m.e.runs[m.r.task] == m.r {
			m.r.timer.Stop()
			m.r.timer = time.AfterFunc(m.r.takes, func() { m.e.finishIf(m.r, "done") })
		}
		m.e.mu.Unlock()
	}
}

// breakGang ends the other members of a gang of which one has ended in another way than done.
func (w *world) breakGang(task string, number int) {
	key := fmt.Sprintf("%s/%d", task[:strings.LastIndex(task, ".")], number)
	w.mu.Lock()
	members := slices.Clone(w.gangs[key])
	w.mu.Unlock()
	for _, m := range members {
		m.e.finishIf(m.r, "broken")
	}
}

func (w *world) started(e *executor, task string, number int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprintf("%s/%d", task, number)
	w.runs[key] = &seenRun{task: task, executor: e.id, run: number, from: time.Now()}
	w.log("start", "executor", e.id, "task", task, "run", number)
}

func (w *world) ended(e *executor, key, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[key]; r != nil {
		r.to, r.how = time.Now(), how
		if how != "done" && how != "broken" {
			go w.breakGang(r.task, r.run)
		}
	}
	w.log("end", "executor", e.id, "run", key, "how", how)
}

func (w *world) listed(_ *executor, key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[key]; r != nil && r.listedAt.IsZero() {
		r.listedAt = time.Now()
	}
}

func (w *world) acknowledged(e *executor, key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[key]; r != nil && r.ackedAt.IsZero() {
		r.ackedAt = time.Now()
	}
	w.log("taken note of", "executor", e.id, "run", key)
}

// runsOf returns the runs of the work items of a job, in the order of their starts.
func (w *world) runsOf(id string) []seenRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []seenRun
	for _, r := range w.runs {
		if strings.HasPrefix(r.task, id+".") {
			runs = append(runs, *r)
		}
	}
	slices.SortFunc(runs, func(a, b seenRun) int { return a.from.Compare(b.from) })
	return runs
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// machineService is a stand-in of the service of machines.
type machineService struct {
	w  *world
	mu sync.Mutex
	// silent is set while calls get no answer. Orders that come meanwhile have no effect.
	silent bool
	orders []machineOrder
	// done is 1 for a machine that is down for its upkeep, and 2 after it.
	done map[string]int
}

type machineOrder struct {
	at                    time.Time
	machine, holder, what string
	fence                 string
}

func (m *machineService) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, r *http.Request) {
		if m.isSilent() {
			<-r.Context().Done()
			return
		}
		m.w.mu.Lock()
		executors := slices.Clone(m.w.executors)
		m.w.mu.Unlock()
		list := []map[string]any{}
		for _, e := range executors {
			e.mu.Lock()
			entry := map[string]any{
				"Machine": e.machine, "Pool": e.service, "State": "up", "Zone": e.zone, "Labels": []string{e.kind, e.rack}, "Capacity": e.capacity, "Id": "",
			}
			if e.up {
				entry["Id"] = e.id
			}
			e.mu.Unlock()
			if m.inUpkeep(e.machine) {
				entry["State"], entry["Id"] = "upkeep", ""
			}
			list = append(list, entry)
		}
		writeJSON(w, http.StatusOK, map[string]any{"Machines": list, "NextToken": ""})
	})
	mux.HandleFunc("POST /machine-move", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusConflict, map[string]any{"Reason": "busy"})
	})
	mux.HandleFunc("POST /machine-upkeep", m.serveUpkeep)
	return mux
}

func (m *machineService) isSilent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.silent
}

func (m *machineService) setSilent(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silent = on
	m.w.log("service of machines", "silent", on)
}

// inUpkeep reports whether a machine is down for its upkeep.
func (m *machineService) inUpkeep(machine string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.done[machine] == 1
}

const upkeepTime = 2 * time.Second

func (m *machineService) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string
		Wave    int
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := machineOrder{time.Now(), b.Machine, r.Header.Get("Lease-Holder"), "upkeep", r.Header.Get("Fencing-Token")}
	m.mu.Lock()
	m.orders = append(m.orders, o)
	silent := m.silent
	done := m.done[b.Machine]
	if !silent && done == 0 {
		if m.done == nil {
			m.done = make(map[string]int)
		}
		m.done[b.Machine] = 1
	}
	m.mu.Unlock()
	m.w.log("order", "machine", b.Machine, "what", o.what, "holder", o.holder, "fence", o.fence, "answered", !silent)
	if silent {
		<-r.Context().Done()
		return
	}
	if done == 0 {
		go m.keepUp(b.Machine)
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

// keepUp carries the upkeep of a machine out.
func (m *machineService) keepUp(machine string) {
	m.w.mu.Lock()
	executors := slices.Clone(m.w.executors)
	m.w.mu.Unlock()
	var e *executor
	for _, x := range executors {
		if x.machine == machine {
			e = x
		}
	}
	if e == nil {
		return
	}
	e.crash()
	e.forget()
	time.Sleep(upkeepTime)
	m.mu.Lock()
	m.done[machine] = 2
	m.mu.Unlock()
	e.mu.Lock()
	e.id += "x"
	e.mu.Unlock()
	e.boot()
}

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, w: bufio.NewWriter(file)}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

// zones of the deployment; each has one machine with a node.
var zones = []string{"tallinn-a", "tartu-b", "parnu-c"}

// bed is a small deployment: the project's nodes as processes, and stand-ins of the platform, the executors and the requesters.
type bed struct {
	record   *record
	store    *store
	fleet    *fleet
	folder   string
	nodes    []*node
	version  int
	trouble  bool
	mu       sync.Mutex
	jobs     []*job
	sampling chan struct{}
	watching bool
}

// queue is a route of the manifest.
type queue struct {
	name, host, prefix, service string
	priority                    int
	advice                      bool
}

type node struct {
	name, zone, ip, settings string
	process                  *exec.Cmd
	done                     chan struct{}
}

// job is an accepted job as the requester and the executors know it.
type job struct {
	id     string
	queue  queue
	items  int
	due    func() []string
	work   work
	sentAt time.Time
	// hopeless is set if it can never be done, so that nothing is asked of it.
	hopeless bool
	// state is the last one that was answered, at answeredAt.
	state string
	// idleSince is since when nothing of it runs although the rule LOST says that it has to, idle the longest such time while the
	// bed watches.
	idleSince time.Time
	idle      time.Duration
}

// The parts of the host of every address: a loopback network of its own for each run.
func newBed(recordPath string) (*bed, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-bed2-")
	if err != nil {
		return nil, err
	}
	b := &bed{record: r, folder: folder, trouble: os.Getenv("TROUBLE") != "0", sampling: make(chan struct{})}
	network := fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, 1+os.Getpid()/200%250)
	host := network + "200"
	b.store = newStore(r)
	b.fleet = newFleet(host, b.store, r)
	b.fleet.advice.record = r
	b.fleet.advice.everyNth.Store(1)
	storeAddress, err := serve(host, b.store.handler())
	if err != nil {
		return nil, err
	}
	cloudAddress, err := serve(host, b.fleet.handler())
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/node.ini.tmpl")
	if err != nil {
		return nil, err
	}
	for i, zone := range zones {
		n := &node{name: "edge-" + zone + "-1", zone: zone, ip: fmt.Sprintf("%s%d", network, i+1)}
		n.settings = filepath.Join(folder, n.name+".ini")
		values := map[string]string{
			"NodeName": n.name, "Zone": zone, "Limits.CpuShare": "0.4", "Limits.MemoryMb": "284", "BindAddrs.Frontend": n.ip + ":8624",
			"BindAddrs.Ready": n.ip + ":8622", "Ip": n.ip, "InternalPorts.0": "7060", "platform.Address": storeAddress,
			"CloudApi.Address": cloudAddress, "Recommendation": cloudAddress, "Bounds.LeaseMs": "3000", "Bounds.StopTimeoutMs": "200",
			"Bounds.MaxHoldMs": "6000", "Bounds.status_s": "120", "Bounds.ConfigApplyMs": "2000", "Bounds.GraceS": "6",
		}
		text := regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\}\}`).ReplaceAllStringFunc(string(template), func(s string) string {
			return values[strings.Trim(s, "{}")]
		})
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		b.nodes = append(b.nodes, n)
	}
	return b, nil
}

// serve serves a stand-in at a free port.
func serve(host string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// start starts the nodes with the command of the deploy file, and waits until all are ready.
func (b *bed) start() error {
	for _, n := range b.nodes {
		if err := n.start(b); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range b.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	b.record.line("all nodes are ready")
	go b.sample()
	return nil
}

func (n *node) start(b *bed) error {
	log, err := os.OpenFile(filepath.Join(b.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command("target/tamarack-node")
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TAMARACKWORKS_NODE_FILE=" + n.settings}
	n.process.Stdout, n.process.Stderr = log, log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.done = make(chan struct{})
	if err := n.process.Start(); err != nil {
		return err
	}
	go func(p *exec.Cmd, done chan struct{}) {
		_ = p.Wait()
		close(done)
	}(n.process, n.done)
	return nil
}

// kill sends SIGKILL to a node and starts it again after a time.
func (b *bed) kill(n *node, downFor time.Duration) {
	b.record.line("SIGKILL to %s", n.name)
	_ = n.process.Process.Kill()
	<-n.done
	time.AfterFunc(downFor, func() {
		if err := n.start(b); err != nil {
			b.record.line("%s does not start: %v", n.name, err)
			return
		}
		b.record.line("%s starts again", n.name)
	})
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.ip + ":8622/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// owner returns the node that last wrote to the store under a condition: the holder of the lease.
func (b *bed) owner() *node {
	var lease struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(b.store.value("tamarack_owner", "lease", "lease"), &lease)
	for _, n := range b.nodes {
		if strings.HasPrefix(lease.Holder, n.name+"/") {
			return n
		}
	}
	return nil
}

// stop ends all processes.
func (b *bed) stop() {
	for _, n := range b.nodes {
		if n.process != nil && n.process.Process != nil {
			_ = n.process.Process.Kill()
			<-n.done
		}
	}
	b.record.close()
	if keep := os.Getenv("REVIEW_KEEP_LOGS"); keep != "" {
		_ = os.MkdirAll(keep, 0o700)
		for _, n := range b.nodes {
			if data, err := os.ReadFile(filepath.Join(b.folder, n.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(b.folder)
}

// configure writes the manifest with a queue for each service.
func (b *bed) configure(queues ...queue) {
	b.version += 7
	routes, services, seen := []any{}, []any{}, map[string]bool{}
	for _, q := range queues {
		route := map[string]any{
			"Name": q.name, "Host": q.host, "Prefix": q.prefix, "Kind": "non_idempotent", "TimeoutMs": 3000, "TargetCompletionMs": 600,
			"Priority": q.priority, "Service": q.service, "MaxAttempts": 4, "SlackFactor": 1.6,
		}
		if q.advice {
			route["Recommendation"] = map[string]any{
				"DecisionMs": decisionTime.Milliseconds(), "PeriodMs": decisionPeriod.Milliseconds(), "ValidMs": ticketValid.Milliseconds(),
			}
		}
		routes = append(routes, route)
		if !seen[q.service] {
			seen[q.service] = true
			services = append(services, map[string]any{"Name": q.service, "AdmissionCheck": true})
		}
	}
	b.store.put("op", "config", map[string]any{
		"Version": b.version, "Routes": routes, "Services": services, "Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144},
	})
}

// call sends a request of a requester to one node. Status 0 means no answer.
func (b *bed) call(n *node, method string, q queue, id string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+n.ip+":8624"+q.prefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = q.host
	req.Header.Set("Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// submit hands a job in; the same ID goes to another node after no answer, a 503 or a 504.
func (b *bed) submit(q queue, w work, steps []map[string]any, more map[string]any) *job {
	return b.submitAs(randomHex(16), q, w, steps, more)
}

// submitAs does the same under a given ID.
func (b *bed) submitAs(id string, q queue, w work, steps []map[string]any, more map[string]any) *job {
	spec, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	body := map[string]any{"Spec": string(spec), "Steps": steps}
	for k, v := range more {
		body[k] = v
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	j := &job{id: id, queue: q, work: w, sentAt: time.Now()}
	for _, s := range steps {
		j.items += s["Count"].(int)
	}
	for try := range 5 {
		n := b.nodes[(int(hash(j.id)%3)+try)%len(b.nodes)]
		status, _ := b.call(n, http.MethodPost, q, j.id, data)
		b.record.line("POST job %s (%d work items) to %s: %d", j.id, j.items, n.name, status)
		if status == http.StatusOK {
			b.mu.Lock()
			b.jobs = append(b.jobs, j)
			b.mu.Unlock()
			return j
		}
		if status == http.StatusNotFound || status == http.StatusBadRequest {
			return nil
		}
		time.Sleep(2 * time.Second)
	}
	return nil
}

// ask asks for the state of a job, until an answer or for 3 s.
func (b *bed) ask(j *job) string {
	for try := 0; try < 3; try++ {
		n := b.nodes[(int(hash(j.id)%3)+try)%len(b.nodes)]
		status, body := b.call(n, http.MethodGet, j.queue, j.id, nil)
		var answer struct{ State string }
		switch {
		case status == http.StatusOK && json.Unmarshal(body, &answer) == nil:
			j.state = answer.State
		case status == http.StatusGone:
			j.state = "410"
		default:
			j.state = fmt.Sprintf("no answer (%d)", status)
			continue
		}
		b.record.line("GET job %s from %s: %s", j.id, n.name, j.state)
		return j.state
	}
	b.record.line("GET job %s: %s", j.id, j.state)
	return j.state
}

// dueItems returns the work items whose turn has come and that have not ended as done.
func (b *bed) dueItems(j *job) int {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	done := b.fleet.done[j.id]
	if j.due == nil {
		return j.items - len(done)
	}
	n := 0
	for _, item := range j.due() {
		if !done[item] {
			n++
		}
	}
	return n
}

// sample watches the condition of the rule LOST: nothing of the job runs while a work item's turn has come, there is capacity for it
// twice over, and under half of the service's capacity is in use.
func (b *bed) sample() {
	for {
		select {
		case <-b.sampling:
			return
		case <-time.After(100 * time.Millisecond):
		}
		b.sampleOnce()
	}
}

func (b *bed) sampleOnce() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range b.jobs {
		due := b.dueItems(j)
		b.fleet.mu.Lock()
		running, used, capacity := b.fleet.running[j.id], b.fleet.usedCPU, 0
		for _, m := range b.fleet.machines {
			if m.executor != nil && m.pool == j.queue.service && b.fleet.mayRun(j, m.executor) {
				capacity += executorCPU
			}
		}
		total := len(b.fleet.machines) * executorCPU
		b.fleet.mu.Unlock()
		need := 2 * max(j.work.CPU*max(j.work.Gang, 1), 1)
		now := time.Now()
		switch {
		case due == 0 || running > 0 || 2*used >= total || capacity-used < need:
			j.idleSince = time.Time{}
		case j.idleSince.IsZero():
			j.idleSince = now
		case b.watching:
			j.idle = max(j.idle, now.Sub(j.idleSince))
		}
	}
}

// mayRun reports whether the policy lets an executor run the first step of a job. The caller holds f.mu.
func (f *fleet) mayRun(j *job, e *executor) bool {
	return !j.work.Advice || f.advice.allows(j.id+".0.0", e.id)
}

const (
	// finishTime is finish_s: how long after the end of the traffic the jobs are asked for.
	finishTime = 14 * time.Second
	// idleLimit is how long a job may have nothing running then, watchTime how long that is watched.
	idleLimit = 3 * time.Second
	watchTime = 10 * time.Second
)

// judge asks for all jobs finishTime after the end of the traffic, watches those that are not completed, and returns how many break a
// rule.
func (b *bed) judge() int {
	b.record.line("end of the traffic")
	time.Sleep(finishTime)
	broken, states := 0, make(map[string]int)
	var unfinished []*job
	for _, j := range b.jobs {
		if j.hopeless {
			b.ask(j)
			continue
		}
		state := b.ask(j)
		states[state]++
		missing := b.dueItems(j)
		switch {
		case state == "410" || strings.HasPrefix(state, "no answer"):
			broken++
			b.record.line("LOST: job %s is accepted, GET answers: %s", j.id, state)
		case state == "failed" || state == "cancelled":
			// No requester cancels, and no run of the stand-ins ends as failed but in the case grey, once for each item.
			broken++
			b.record.line("LOST: job %s is shown as %s without cause", j.id, state)
		case state == "completed" && missing > 0:
			broken++
			b.record.line("MIXED: job %s is shown as completed, %d work items have not ended so", j.id, missing)
		case state != "completed":
			unfinished = append(unfinished, j)
		}
	}
	if len(unfinished) > 0 {
		b.mu.Lock()
		b.watching = true
		for _, j := range unfinished {
			j.idleSince = time.Time{}
		}
		b.mu.Unlock()
		time.Sleep(watchTime)
	}
	close(b.sampling)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range unfinished {
		if j.idle < idleLimit {
			continue
		}
		broken++
		b.record.line("LOST: job %s is shown as %s and has %d work items that are due and not done; nothing of it runs for %.1f s", j.id, j.state, b.dueItems(j), j.idle.Seconds())
	}
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.record.line("jobs by state: %v; ends of runs that nobody has taken note of: %d; starts: %d", states, b.fleet.unnoted, b.fleet.starts)
	return broken
}

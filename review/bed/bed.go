package bed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record is the account of a play: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	began time.Time
	f     *os.File
}

// Add writes a line with the time since the start.
func (r *Record) Add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A full disk shows in the exit of the case.
	_, _ = fmt.Fprintf(r.f, "%8.3f %-8s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

// Run is one run of a task, as an executor saw it.
type Run struct {
	Task, Executor string
	Number         int
	Began, Ended   time.Time
	How            string
}

// Bed is a small deployment.
type Bed struct {
	Record  *Record
	Store   *Store
	Trouble bool
	// WorkOf tells what the work of a task is. It must be set before jobs are sent.
	WorkOf func(task string, run int) Work

	dir       string
	executors []*Executor
	nodes     []*Node
	machines  *Machines
	advice    *Advice

	storeAddress, machineAddress, adviceAddress string

	mu   sync.Mutex
	runs []*Run
	open map[string]*Run
}

// New starts the stand-ins of the platform. record is the path of the record.
func New(record string) (*Bed, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	b := &Bed{
		Record: &Record{began: time.Now(), f: f}, Trouble: os.Getenv("TROUBLE") != "0", open: make(map[string]*Run),
	}
	b.Store = newStore(b.Record)
	b.machines = &Machines{bed: b}
	b.advice = &Advice{bed: b}
	if b.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if b.storeAddress, err = serve(b.Store.handler()); err != nil {
		return nil, err
	}
	if b.machineAddress, err = serve(b.machines.handler()); err != nil {
		return nil, err
	}
	if b.adviceAddress, err = serve(b.advice.handler()); err != nil {
		return nil, err
	}
	b.Record.Add("bed", "trouble: %t", b.Trouble)
	return b, nil
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// AddExecutor starts an executor on a machine of its own.
func (b *Bed) AddExecutor(id, service, rack string, capacity Size) (*Executor, error) {
	e := &Executor{ID: id, Service: service, Rack: rack, Capacity: capacity, bed: b}
	b.mu.Lock()
	b.executors = append(b.executors, e)
	b.mu.Unlock()
	return e, e.start()
}

func (b *Bed) work(task string, run int) Work { return b.WorkOf(task, run) }

func (b *Bed) started(e *Executor, r *run, o *order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := &Run{Task: r.task, Executor: e.ID, Number: r.number, Began: r.began}
	b.runs = append(b.runs, x)
	b.open[fmt.Sprint(e.ID, r.task, r.number)] = x
	b.Record.Add(e.ID, "starts %s run %d, fence %d", r.task, r.number, o.FencingToken)
}

func (b *Bed) ended(e *Executor, r *run, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if x := b.open[fmt.Sprint(e.ID, r.task, r.number)]; x != nil {
		x.Ended, x.How = time.Now(), how
	}
	b.Record.Add(e.ID, "ends %s run %d: %s", r.task, r.number, how)
}

// Runs returns the runs of the tasks with a prefix.
func (b *Bed) Runs(prefix string) []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var runs []Run
	for _, r := range b.runs {
		if strings.HasPrefix(r.Task, prefix) {
			runs = append(runs, *r)
		}
	}
	return runs
}

// Running returns the number of runs of tasks with a prefix that have not ended.
func (b *Bed) Running(prefix string) int {
	n := 0
	for _, r := range b.Runs(prefix) {
		if r.Ended.IsZero() {
			n++
		}
	}
	return n
}

// Node is an entry host: the program of the deploy file, with settings from its template.
type Node struct {
	Name, IP string
	CPUShare float64
	// Callers is the address for callers.
	Callers string

	bed      *Bed
	proxies  []*Proxy
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
	log      *os.File
}

const (
	frontendPort, readyPort, internalPort = 8624, 8622, 7060
	adminPort                             = 9464
)

// AddNode starts an entry host on a free loopback address.
func (b *Bed) AddNode(name, zone string, cpuShare float64) (*Node, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	n := &Node{
		Name: name, IP: ip, CPUShare: cpuShare, Callers: fmt.Sprintf("%s:%d", ip, frontendPort), bed: b,
		settings: filepath.Join(b.dir, name+".ini"),
	}
	// The host reaches the platform through proxies of its own.
	platform := make(map[string]string)
	for name, target := range map[string]string{"store": b.storeAddress, "machines": b.machineAddress, "advice": b.adviceAddress} {
		p, address, err := newProxy(target)
		if err != nil {
			return nil, err
		}
		n.proxies, platform[name] = append(n.proxies, p), address
	}
	template, err := os.ReadFile("deploy/node.ini.tmpl")
	if err != nil {
		return nil, err
	}
	text := string(template)
	for field, value := range map[string]any{
		"NodeName": name, "Zone": zone, "Ip": ip, "Limits.CpuShare": cpuShare, "Limits.MemoryMb": 284,
		"BindAddrs.Frontend": n.Callers, "BindAddrs.Ready": fmt.Sprintf("%s:%d", ip, readyPort), "InternalPorts.0": internalPort,
		"platform.Address": platform["store"], "CloudApi.Address": platform["machines"], "Recommendation": platform["advice"],
		"Bounds.LeaseMs": 3000, "Bounds.StopTimeoutMs": 200, "Bounds.MaxHoldMs": 6000, "Bounds.status_s": 120, "Bounds.GraceS": 6,
	} {
		text = strings.ReplaceAll(text, "{{"+field+"}}", fmt.Sprint(value))
	}
	if i := strings.Index(text, "{{"); i >= 0 {
		return nil, fmt.Errorf("the template has an unknown placeholder: %.40s", text[i:])
	}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	b.nodes = append(b.nodes, n)
	return n, n.Start()
}

// freeIP returns a loopback address on which the ports of an entry host are free.
func freeIP() (string, error) {
	for range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		free := true
		for _, port := range []int{frontendPort, readyPort, internalPort, adminPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			if err := l.Close(); err != nil {
				return "", err
			}
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address has the ports free")
}

// Start starts the process.
func (n *Node) Start() error {
	var err error
	if n.log, err = os.OpenFile(filepath.Join(n.bed.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	n.cmd = exec.Command("target/tamarack-node")
	n.cmd.Env = []string{"TAMARACKWORKS_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + n.bed.dir}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		n.bed.Record.Add(n.Name, "process ended: %v", err)
		close(done)
	}(n.cmd, n.done)
	n.bed.Record.Add(n.Name, "process starts at %s, %.3g cores", n.IP, n.CPUShare)
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.bed.Record.Add(n.Name, "gets %s", s)
	// The process may have ended already.
	_ = n.cmd.Process.Signal(s)
}

// CutFromPlatform cuts the host off from the platform, in both directions, or heals the cut.
func (n *Node) CutFromPlatform(on bool) {
	n.bed.Record.Add(n.Name, "cut off from the platform: %t", on)
	for _, p := range n.proxies {
		p.Cut(on)
	}
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	<-n.done
}

// Wait waits for the end of the process.
func (n *Node) Wait() { <-n.done }

// AwaitReady waits until all nodes report that they are ready.
func (b *Bed) AwaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range b.nodes {
		for {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", n.IP, readyPort))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Epoch returns the epoch of the last lease. The fencing tokens of its holder are multiples of it.
func (b *Bed) Epoch() uint64 {
	var lease struct {
		Epoch uint64 `json:"epoch"`
	}
	// A lease that cannot be read has epoch 0, which no holder has.
	_ = json.Unmarshal(b.Store.Get("tamarack_owner", "lease", "lease"), &lease)
	return lease.Epoch
}

// LastWriter returns the node that last wrote to the store under a condition as the one that acts for all: the holder in the lease.
func (b *Bed) LastWriter() *Node {
	var lease struct {
		Holder   string `json:"holder"`
		Released bool   `json:"released"`
	}
	if err := json.Unmarshal(b.Store.Get("tamarack_owner", "lease", "lease"), &lease); err != nil || lease.Released {
		return nil
	}
	for _, n := range b.nodes {
		if strings.HasPrefix(lease.Holder, n.Name+"/") {
			return n
		}
	}
	return nil
}

// Close ends all processes and removes the temporary files. keep names a directory for the logs, or is empty.
func (b *Bed) Close() {
	for _, n := range b.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, n := range b.nodes {
			if data, err := os.ReadFile(filepath.Join(b.dir, n.Name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.Name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(b.dir)
	_ = b.Record.f.Close()
}

// Queue is a route of the manifest.
type Queue struct {
	Name, Host, Prefix, Service string
	MaxAttempts, Priority       int
	// Advised queues run only on the executors that the advice service allows.
	Advised bool
}

// Manifest writes a manifest as the operator does.
func (b *Bed) Manifest(version int, queues []Queue, services ...map[string]any) {
	var routes []map[string]any
	for _, q := range queues {
		route := map[string]any{
			"Name": q.Name, "Host": q.Host, "Prefix": q.Prefix, "Service": q.Service, "TimeoutMs": 3000, "TargetCompletionMs": 600,
			"Priority": q.Priority, "MaxAttempts": q.MaxAttempts, "SlackFactor": 2,
		}
		if q.Advised {
			route["Recommendation"] = map[string]any{"DecisionMs": decisionMS, "PeriodMs": periodMS, "ValidMs": validMS}
		}
		routes = append(routes, route)
	}
	b.Store.Put("op", "config", map[string]any{
		"Version": version, "Routes": routes, "Services": services, "Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144},
	})
	b.Record.Add("operator", "manifest %d is confirmed", version)
}

// timeBudget is how long a caller waits for an answer.
const timeBudget = 3 * time.Second

var caller = &http.Client{Timeout: timeBudget}

// Call sends one request of a caller and returns the status, 0 if there was no answer.
func (b *Bed) Call(n *Node, method string, q Queue, id string, body any) (int, map[string]any) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+n.Callers+q.Prefix+id, reader)
	if err != nil {
		panic(err)
	}
	r.Host = q.Host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(timeBudget.Milliseconds()))
	resp, err := caller.Do(r)
	if err != nil {
		if method != http.MethodGet {
			b.Record.Add("caller", "%s %s%s to %s: no answer", method, q.Prefix, id, n.Name)
		}
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer := make(map[string]any)
	// An answer may have no body.
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	if method != http.MethodGet {
		b.Record.Add("caller", "%s %s%s to %s: %d", method, q.Prefix, id, n.Name, resp.StatusCode)
	}
	return resp.StatusCode, answer
}

// Submit hands a job in at one node after the other until it is accepted.
func (b *Bed) Submit(q Queue, id string, job map[string]any) error {
	for try := range 8 {
		if status, _ := b.Call(b.nodes[try%len(b.nodes)], http.MethodPost, q, id, job); status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s is not accepted", id)
}

// State asks the nodes in turn for the state of a job, until one answers with 200 or 410. It returns the state, "gone" for 410, or "".
func (b *Bed) State(q Queue, id string) string {
	for try := range 4 {
		switch status, answer := b.Call(b.nodes[try%len(b.nodes)], http.MethodGet, q, id, nil); status {
		case http.StatusOK:
			if s, ok := answer["State"].(string); ok {
				return s
			}
			return "unreadable"
		case http.StatusGone:
			return "gone"
		}
	}
	return ""
}

// JobID returns a new id of a job.
func JobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Main runs a case within a time limit and exits with its code. The arguments are the path of the record.
func Main(play func(*Bed) (int, error)) {
	os.Exit(run1(play))
}

const playLimit = 115 * time.Second

func run1(play func(*Bed) (int, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE RECORD")
		return ExitNotRun
	}
	b, err := New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer b.Close()
	type result struct {
		code int
		err  error
	}
	results := make(chan result, 1)
	go func() {
		code, err := play(b)
		results <- result{code, err}
	}()
	select {
	case r := <-results:
		if r.err != nil {
			b.Record.Add("bed", "the case could not run: %v", r.err)
			return ExitNotRun
		}
		b.Record.Add("bed", "exit code %d", r.code)
		return r.code
	case <-time.After(playLimit):
		b.Record.Add("bed", "the case could not run: it took too long")
		return ExitNotRun
	}
}

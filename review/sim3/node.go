package main

import (
	"fmt"
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

// node is a process of the system on a machine of its own.
type node struct {
	w              *world
	name, ip, zone string
	callers, ready string
	settings       string
	mu             sync.Mutex
	cmd            *exec.Cmd
	ended          chan struct{}
	log            *os.File
}

// bounds are those of the smaller deployments.
type bounds struct{ statusS int }

// startNodes starts the program of the deploy file once a machine, with settings from its template, and waits until all are ready.
func (w *world) startNodes(count int, b bounds) {
	if w.storeAddress == "" {
		w.storeAddress, w.machineAddress = w.serve(w.store.handler()), w.serve(w.machines.handler())
	}
	template, err := os.ReadFile("deploy/node.ini.tmpl")
	if err != nil {
		w.fail("run it in the root of the repository: %v", err)
	}
	run := deployRun(w)
	for range count {
		i := len(w.nodes)
		n := &node{w: w, name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", w.net, 251+i), zone: w.zones[i%len(w.zones)]}
		ports := freePorts(w, n.ip, 3)
		n.callers, n.ready = fmt.Sprintf("%s:%d", n.ip, ports[0]), fmt.Sprintf("%s:%d", n.ip, ports[1])
		fields := map[string]string{
			"NodeName": n.name, "Zone": n.zone, "Limits.CpuShare": w.cpuShare(i), "Limits.MemoryMb": "284", "BindAddrs.Frontend": n.callers, "BindAddrs.Ready": n.ready,
			"Ip": n.ip, "InternalPorts.0": fmt.Sprint(ports[2]), "platform.Address": w.storeAddress, "CloudApi.Address": w.machineAddress, "Recommendation": "",
			"Bounds.LeaseMs": "3000", "Bounds.StopTimeoutMs": "200", "Bounds.MaxHoldMs": "6000", "Bounds.status_s": fmt.Sprint(b.statusS), "Bounds.GraceS": "6",
		}
		text := regexp.MustCompile(`\{\{([A-Za-z_.0-9]+)\}\}`).ReplaceAllStringFunc(string(template), func(p string) string {
			value, ok := fields[strings.Trim(p, "{}")]
			if !ok {
				w.fail("the template has an unknown field %s", p)
			}
			return value
		})
		n.settings = filepath.Join(w.dir, n.name+".ini")
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			w.fail("%v", err)
		}
		if n.log, err = os.Create(filepath.Join(w.dir, n.name+".log")); err != nil {
			w.fail("%v", err)
		}
		w.nodes = append(w.nodes, n)
		n.start(run)
	}
	for _, n := range w.nodes {
		w.await(10*time.Second, n.name+" is ready", n.isReady)
	}
	w.log("all nodes are ready")
}

// cpuShare returns the share of a core of the next machine.
func (w *world) cpuShare(i int) string {
	if i < len(w.cpuShares) {
		return w.cpuShares[i]
	}
	return "0.4"
}

// deployRun returns the command of the deploy file.
func deployRun(w *world) string {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		w.fail("%v", err)
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(data)
	if m == nil {
		w.fail("the deploy file has no command")
	}
	return string(m[1])
}

func freePorts(w *world, ip string, count int) []int {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			w.fail("%v", err)
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

func (n *node) start(run string) {
	words := strings.Fields(run)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.w.dir, "TAMARACKWORKS_NODE_FILE=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		n.w.fail("%v (build it as the deploy file says)", err)
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	n.w.log("process started", "node", n.name)
	go func() {
		err := cmd.Wait()
		n.w.log("process ended", "node", n.name, "how", err)
		close(ended)
	}()
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until a condition holds; the case cannot run without it.
func (w *world) await(limit time.Duration, what string, holds func() bool) {
	if !w.within(limit, holds) {
		w.fail("not within %s: %s", limit, what)
	}
}

// within reports whether a condition holds within a time.
func (w *world) within(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// startOver ends all processes and removes what they have stored, before a case begins.
func (w *world) startOver() {
	w.endNodes()
	w.nodes = nil
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	var own []row
	for k, r := range w.store.rows {
		if strings.HasPrefix(k.table, "tamarack_") {
			own = append(own, r)
		}
	}
	w.store.apply(nil, own)
}

// close ends all processes that were started.
func (w *world) close() {
	w.endNodes()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs of the processes:", w.dir)
	}
}

func (w *world) endNodes() {
	for _, n := range w.nodes {
		n.mu.Lock()
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
		}
		ended := n.ended
		n.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
}

// owner returns the node that owns the jobs, by the row of the lease in the store.
func (w *world) owner() *node {
	lease := string(w.store.values("tamarack_owner")["lease"])
	for _, n := range w.nodes {
		if strings.Contains(lease, n.name+"/") {
			return n
		}
	}
	return nil
}

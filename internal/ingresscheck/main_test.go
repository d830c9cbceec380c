package ingresscheck

import (
	"bufio"
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/internal/localfleet"
)

const (
	// maxDescriptors is the descriptor limit of the daemons, lowered so that a small crowd shows what a large one does.
	maxDescriptors = 600
	// descriptorBound is the number of open descriptors that a daemon must stay below. The rest of the limit is for files and
	// for connections that the daemon opens itself.
	descriptorBound = 300
	// waitTimeout ends a wait that hangs. No assertion depends on its length.
	waitTimeout = 60 * time.Second
	// sampleInterval is the time between two readings of a process.
	sampleInterval = 10 * time.Millisecond
)

// binDir holds the programs. Those of the daemons under test are scripts that lower the descriptor limit and then run the
// program, because the Go runtime raises a soft limit to the hard one.
var binDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "tamarack-ingress-")
	if err == nil {
		defer os.RemoveAll(dir)
		binDir = dir
		err = build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

func build(dir string) error {
	programs := filepath.Join(dir, "programs")
	cmd := exec.Command("go", "build", "-o", programs+"/", "./cmd/tamarackd", "./cmd/tamarack-node", "./cmd/tamarack",
		"./cmd/tamarack-platform", "./cmd/tamarack-target")
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	for _, name := range []string{"tamarack", "tamarack-platform", "tamarack-target"} {
		if err := os.Rename(filepath.Join(programs, name), filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	for _, name := range []string{"tamarackd", "tamarack-node"} {
		script := fmt.Sprintf("#!/bin/sh\nulimit -n %d && exec '%s' \"$@\"\n", maxDescriptors, filepath.Join(programs, name))
		if err := os.WriteFile(filepath.Join(dir, name), []byte(script), 0o700); err != nil {
			return err
		}
	}
	return nil
}

// observer samples the open descriptors of a process and the bytes that the kernel holds for its connections.
type observer struct {
	pid         int
	ports       map[uint16]bool
	stop        chan struct{}
	done        chan struct{}
	descriptors int
	queuedBytes int
	err         error
}

func observe(t *testing.T, pid int, addresses ...string) *observer {
	t.Helper()
	o := &observer{pid: pid, ports: make(map[uint16]bool), stop: make(chan struct{}), done: make(chan struct{})}
	for _, a := range addresses {
		o.ports[netip.MustParseAddrPort(a).Port()] = true
	}
	go func() {
		defer close(o.done)
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			o.sample()
			select {
			case <-o.stop:
				return
			case <-tick.C:
			}
		}
	}()
	return o
}

func (o *observer) sample() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", o.pid))
	if err == nil {
		o.descriptors = max(o.descriptors, len(entries))
		var queued int
		queued, err = receiveQueues(o.ports)
		o.queuedBytes = max(o.queuedBytes, queued)
	}
	if o.err == nil {
		o.err = err
	}
}

// receiveQueues returns the bytes that the kernel has received on the connections of local ports and that were not read.
func receiveQueues(ports map[uint16]bool) (int, error) {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer f.Close()
	total := 0
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		const listening = "0A"
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, portHex, _ := strings.Cut(fields[1], ":")
		port, err := strconv.ParseUint(portHex, 16, 16)
		if err != nil || !ports[uint16(port)] {
			continue
		}
		_, queueHex, _ := strings.Cut(fields[4], ":")
		queue, err := strconv.ParseUint(queueHex, 16, 32)
		if err != nil {
			return 0, err
		}
		total += int(queue)
	}
	return total, lines.Err()
}

// check ends the observation and compares it with the bounds. memoryBound is in MiB.
func (o *observer) check(t *testing.T, memoryBound float64) {
	t.Helper()
	close(o.stop)
	<-o.done
	peak, err := peakResidentKB(o.pid)
	assert.NilError(t, err)
	assert.NilError(t, o.err)
	memory := float64(peak)/(1<<10) + float64(o.queuedBytes)/(1<<20)
	t.Logf("peak resident %.1f MiB, with bytes that the kernel holds %.1f MiB (bound %.0f); descriptors %d (bound %d)",
		float64(peak)/(1<<10), memory, memoryBound, o.descriptors, descriptorBound)
	assert.Check(t, memory <= memoryBound, "memory %.1f MiB", memory)
	assert.Check(t, o.descriptors <= descriptorBound, "descriptors %d", o.descriptors)
}

func peakResidentKB(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		}
	}
	return 0, fmt.Errorf("no VmHWM of process %d", pid)
}

// await polls until check returns nil.
func await(t *testing.T, what string, check func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if err := localfleet.Poll(ctx, check); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

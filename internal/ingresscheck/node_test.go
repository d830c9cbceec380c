package ingresscheck

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/internal/gen/schedule/v1/schedulev1connect"
	"github.com/tamarackworks/tamarackworks/internal/localfleet"
	"github.com/tamarackworks/tamarackworks/platform"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/standin/rows"
)

const (
	// nodeMemoryMB is the memory of the host in the settings of the daemon, and the bound of its memory.
	nodeMemoryMB = 64
	// nodeBodyBytes is the largest legal body.
	nodeBodyBytes = 256 << 10
)

// testNode is a running tamarack-node.
type testNode struct {
	callers, ready, internal, admin string
	observer                        *observer
	ended                           chan struct{}
}

func startNode(t *testing.T) *testNode {
	t.Helper()
	store := rows.New()
	store.Put(rowstore.Key{Table: platform.OperatorTable, Name: "config"},
		[]byte(`{"Version":1,"Routes":[{"Name":"q","Host":"h","Prefix":"/q/","Service":"s"}],"Services":[{"Name":"s"}]}`))
	a, err := localfleet.FreeAddresses(4)
	assert.NilError(t, err)
	n := &testNode{callers: a[0], ready: a[1], internal: a[2], admin: a[3], ended: make(chan struct{})}
	dir := t.TempDir()
	path := filepath.Join(dir, "node.ini")
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, `[node]
name = n
data_centre = a
memory_mb = %d
[listen]
callers = %s
ready = %s
internal = %s
admin = %s
[platform]
store = %s
machines = 127.0.0.1:1
[shutdown]
lame_duck = 0s
`, nodeMemoryMB, n.callers, n.ready, n.internal, n.admin, startStore(t, store)), 0o600))
	log, err := os.Create(filepath.Join(dir, "log"))
	assert.NilError(t, err)
	cmd := exec.Command(filepath.Join(binDir, "tamarack-node"), "--config", path)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(t, cmd.Start())
	go func() {
		defer close(n.ended)
		// The test checks that the process lives; how it ends after the test does not matter.
		_ = cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-n.ended
		assert.Check(t, log.Close())
		if t.Failed() {
			content, err := os.ReadFile(log.Name())
			t.Logf("log (%v): %s", err, content[max(0, len(content)-4000):])
		}
	})
	await(t, "ready", func() error {
		resp, err := http.Get("http://" + n.ready + "/readyz")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
	n.submit(t, "calm request with the largest legal body", 0xc0, nodeBody(nodeBodyBytes))
	n.observer = observe(t, cmd.Process.Pid, a...)
	return n
}

// nodeBody returns a valid job that is padded to size bytes with white space, as the rows of the store are smaller than that.
func nodeBody(size int) []byte {
	job := `{"Spec":"x","Steps":[{"Count":1,"Cpu":100,"MemMb":10,"EstimateMs":1000}]`
	return []byte(job + strings.Repeat(" ", size-len(job)-1) + "}")
}

// submit submits a job until it is accepted.
func (n *testNode) submit(t *testing.T, what string, id int, body []byte) {
	t.Helper()
	client := &http.Client{Timeout: writeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	await(t, what, func() error {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://%s/q/%016x", n.callers, id), bytes.NewReader(body))
		if err != nil {
			return err
		}
		r.Host = "h"
		resp, err := client.Do(r)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
}

// check checks that the process lives, answers an ordinary request while the clients are still connected, and stayed within its
// bounds.
func (n *testNode) check(t *testing.T) {
	t.Helper()
	n.submit(t, "ordinary request", 0xc1, nodeBody(2<<10))
	select {
	case <-n.ended:
		t.Fatal("the process has ended")
	default:
	}
	n.observer.check(t, nodeMemoryMB)
}

const submission = "POST /q/%016x HTTP/1.1\r\nHost: h\r\n"

// Guards against a host that holds the bodies of any number of callers in memory: sent at once and not finished.
func TestNodeLargeBodiesAtOnce(t *testing.T) {
	n := startNode(t)
	sendCrowd(t, n.callers, nil, client{header: submission, body: nodeBody(nodeBodyBytes)})
	n.check(t)
}

// Guards against the same with bodies that arrive piece by piece.
func TestNodeLargeBodiesInPieces(t *testing.T) {
	n := startNode(t)
	sendCrowd(t, n.callers, nil, client{header: submission, body: nodeBody(nodeBodyBytes), piece: pieceBytes})
	n.check(t)
}

// Guards against the same with bodies of unknown length in large chunks.
func TestNodeLargeChunks(t *testing.T) {
	n := startNode(t)
	sendCrowd(t, n.callers, nil, client{header: submission, body: nodeBody(nodeBodyBytes), chunk: largeChunk, piece: pieceBytes})
	n.check(t)
}

// Guards against the same with chunks that are so small that their framing and bookkeeping cost more than their bytes.
func TestNodeSmallChunks(t *testing.T) {
	n := startNode(t)
	sendCrowd(t, n.callers, nil, client{header: submission, body: nodeBody(nodeBodyBytes), chunk: smallChunk, piece: pieceBytes})
	n.check(t)
}

// Guards against the same on the API of the other hosts.
func TestNodeInternalBodies(t *testing.T) {
	n := startNode(t)
	sendCrowd(t, n.internal, nil, client{
		header: "POST " + schedulev1connect.ScheduleServiceStoreJobProcedure + "?%016x HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n",
		body:   bytes.Repeat([]byte(" "), nodeBodyBytes), chunk: largeChunk,
	})
	n.check(t)
}

// Guards against connections to the ready and admin listeners that use up the descriptors of the process.
func TestNodeConnectionsToReadyAndAdmin(t *testing.T) {
	n := startNode(t)
	for _, address := range []string{n.ready, n.admin} {
		sendCrowd(t, address, nil, client{header: "GET /metrics?%016x HTTP/1.1\r\nHost: h\r\n", body: nodeBody(2 << 10)})
	}
	n.check(t)
}

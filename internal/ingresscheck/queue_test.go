package ingresscheck

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// frozenTimeout ends what a client does while the daemon is suspended. No assertion depends on its length.
const frozenTimeout = 3 * time.Second

// connectAll lets a number of clients connect to each address and send bytes, at the same time. It returns when all have sent what the
// kernel takes; the connections stay open until the end of the test.
func connectAll(t *testing.T, clients int, addresses ...string) {
	t.Helper()
	var wg sync.WaitGroup
	conns := newOpenConns(t)
	header := []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n")
	for _, address := range addresses {
		for range clients {
			wg.Go(func() {
				conn, err := net.DialTimeout("tcp", address, frozenTimeout)
				if err != nil {
					// The kernel may drop connections.
					return
				}
				conns.add(conn)
				// The client sends until the buffers are full.
				_ = conn.SetWriteDeadline(time.Now().Add(frozenTimeout))
				_, _ = conn.Write(append(header, make([]byte, nodeBodyBytes)...))
			})
		}
	}
	wg.Wait()
}

// Guards against connections that the kernel completes while the process does not accept them: each holds what its client has sent, and
// no limit of the process counts them.
func TestNodeConnectionsWhileSuspended(t *testing.T) {
	n := startNode(t)
	assert.NilError(t, syscall.Kill(n.observer.pid, syscall.SIGSTOP))
	connectAll(t, 800, n.callers, n.ready, n.internal, n.admin)
	assert.NilError(t, syscall.Kill(n.observer.pid, syscall.SIGCONT))
	n.check(t)
}

// Guards against the same on an entry host.
func TestEntryConnectionsWhileSuspended(t *testing.T) {
	e := startEntryOn(t, entryMemoryMB)
	assert.NilError(t, e.Pause())
	connectAll(t, 1200, e.CallerAddress, e.PeerAddress, e.OperatorAddress, e.AdminAddress)
	assert.NilError(t, e.Resume())
	e.check(t)
}

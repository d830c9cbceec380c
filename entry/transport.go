package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// idleTimeout is how long idle connections for idempotent requests are kept.
	idleTimeout = 30 * time.Second
	// nonIdempotentIdleTimeout is how long idle connections for non-idempotent requests are kept. It is short
	// because a middlebox may lose the state of an idle connection: docs/design.md section 10 allows less
	// than 1 s.
	nonIdempotentIdleTimeout = 900 * time.Millisecond
	// dialTimeout bounds a connection attempt on the local network, so that there is time left for a retry.
	dialTimeout = time.Second
	// maxHeaderBytes bounds the header of a target's response.
	maxHeaderBytes = 64 << 10
	// unusedTargetAfter is the time since the last use after which a target is removed and its idle
	// connections are closed.
	unusedTargetAfter = 5 * time.Minute
)

// errConnLimit means that this entry host already has all connections to the target that it may open.
var errConnLimit = errors.New("entry: connection limit of the target reached")

// conn is a connection to a target. It counts started writes, which shows whether a request may have been sent.
type conn struct {
	net.Conn
	target    *target
	closeOnce sync.Once

	mu sync.Mutex
	// writeCount counts started writes. A failed write may have sent bytes, so it is counted too.
	writeCount uint64
	// aborted prevents further writes.
	aborted bool
}

// Write implements net.Conn. It fails on an aborted connection.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.aborted {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writeCount++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *conn) startedWrites() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeCount
}

// abort prevents further writes and closes the connection. It reports whether a write started since the
// count was writesBefore. Closing alone is not enough: a write could still start after the outcome was decided.
func (c *conn) abort(writesBefore uint64) bool {
	c.mu.Lock()
	c.aborted = true
	wrote := c.writeCount > writesBefore
	c.mu.Unlock()
	// The connection is not used any more, so an error of Close has no effect.
	_ = c.Close()
	return wrote
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { c.target.openConns.Add(-1) })
	return c.Conn.Close()
}

// target holds the connections of this entry host to one target. limit bounds openConns.
type target struct {
	address   string
	limit     int64
	openConns atomic.Int64
	lastUse   atomic.Int64

	idempotent    *http.Transport
	nonIdempotent *http.Transport
}

func newTarget(address string, limit int) *target {
	if limit <= 0 {
		limit = structs.DefaultConnections
	}
	t := &target{address: address, limit: int64(limit)}
	t.idempotent = t.newTransport(idleTimeout)
	t.nonIdempotent = t.newTransport(nonIdempotentIdleTimeout)
	return t
}

func (t *target) newTransport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            t.dial,
		MaxIdleConnsPerHost:    int(t.limit),
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// dial opens a connection within the limit, which both transports share.
func (t *target) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !t.reserve() {
		// Idle connections of the other transport may use up the limit.
		t.closeIdle()
		if !t.reserve() {
			return nil, errConnLimit
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		t.openConns.Add(-1)
		return nil, err
	}
	return &conn{Conn: c, target: t}, nil
}

// reserve counts a connection as open, or returns false if the limit is reached.
func (t *target) reserve() bool {
	if t.openConns.Add(1) > t.limit {
		t.openConns.Add(-1)
		return false
	}
	return true
}

func (t *target) closeIdle() {
	t.idempotent.CloseIdleConnections()
	t.nonIdempotent.CloseIdleConnections()
}

// targets holds the connections to all targets.
type targets struct {
	now   func() time.Time
	mu    sync.RWMutex
	byKey map[targetKey]*target
}

// targetKey includes the limit, so that a changed limit takes effect on new connections.
type targetKey struct {
	address     string
	connections int
}

func newTargets(now func() time.Time) *targets {
	return &targets{now: now, byKey: make(map[targetKey]*target)}
}

func (ts *targets) get(h *structs.Host) *target {
	key := targetKey{address: h.Address, connections: h.Connections}
	now := ts.now().UnixNano()
	ts.mu.RLock()
	t := ts.byKey[key]
	ts.mu.RUnlock()
	if t == nil {
		t = ts.add(key, now)
	}
	t.lastUse.Store(now)
	return t
}

// add adds a target and removes those that were not used for unusedTargetAfter, which bounds the size of the
// map when hosts often move between pools.
func (ts *targets) add(key targetKey, now int64) *target {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if t := ts.byKey[key]; t != nil {
		return t
	}
	for k, t := range ts.byKey {
		if now-t.lastUse.Load() > int64(unusedTargetAfter) {
			t.closeIdle()
			delete(ts.byKey, k)
		}
	}
	t := newTarget(key.address, key.connections)
	t.lastUse.Store(now)
	ts.byKey[key] = t
	return t
}

func (ts *targets) closeIdle() {
	ts.mu.RLock()
	defer ts.mu.RUnlock()
	for _, t := range ts.byKey {
		t.closeIdle()
	}
}

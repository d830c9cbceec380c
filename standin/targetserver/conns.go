package targetserver

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener limits the open connections of a target and injects faults into
// them: it can silence the open connections, which stay open but carry no data
// any more, and close all of them as a reboot does.
type Listener struct {
	net.Listener
	limit int

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*conn]struct{}
	// downUntil is when a reboot ends; until then new connections are closed at once.
	downUntil time.Time
}

// NewListener wraps l. Connections over the limit are closed at once; a limit of 0 means 64.
func NewListener(l net.Listener, limit int) *Listener {
	if limit <= 0 {
		limit = 64
	}
	return &Listener{Listener: l, limit: limit, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if wrapped := l.admit(c); wrapped != nil {
			return wrapped, nil
		}
		_ = c.Close()
	}
}

// admit wraps and registers c, or returns nil if the limit is reached or a reboot is under way.
func (l *Listener) admit(c net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit || time.Now().Before(l.downUntil) {
		return nil
	}
	wrapped := &conn{Conn: c, l: l}
	l.conns[wrapped] = struct{}{}
	return wrapped
}

// Silence makes the connections that are open now silent until they are closed; later ones are not affected.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// Reboot closes all connections and, for the given time, each new one at once.
func (l *Listener) Reboot(down time.Duration) {
	l.mu.Lock()
	l.downUntil = time.Now().Add(down)
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		// An error of Close does not matter: a reboot only has to end the connection for the peer.
		_ = c.Close()
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// conn is an open connection of a Listener.
type conn struct {
	net.Conn
	l      *Listener
	silent atomic.Bool
	once   sync.Once
}

// Read discards the data that arrives on a silent connection.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write reports success on a silent connection, but sends nothing.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.l.mu.Lock()
		delete(c.l.conns, c)
		c.l.mu.Unlock()
	})
	return c.Conn.Close()
}

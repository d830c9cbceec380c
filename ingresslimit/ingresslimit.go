// Package ingresslimit bounds what the clients of a listener can make a process hold: connections, and bytes of request bodies.
// Under pressure it first drops the clients that send nothing. docs/design/ingress-limits.md has the reasons.
package ingresslimit

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// ErrNoRoom means that the body of a request was not read, because the bodies in memory use up their budget.
var ErrNoRoom = errors.New("ingresslimit: no room for the body")

// errDropped is the error of reads of a body whose client was dropped.
var errDropped = errors.New("ingresslimit: the client was dropped")

const (
	// stallGrace is how long a client may send nothing of a body before it can be dropped to make room for the body of another one.
	stallGrace = time.Second
	// connectionGrace is how long a connection may be silent before it can be closed in place of a new one. It is short because
	// clients that come back at once would otherwise fill each free place before an ordinary caller does.
	connectionGrace = 20 * time.Millisecond
	// roomTimeout is how long a request waits for room in the budget, a little longer than stallGrace so that clients
	// that have just stopped sending are dropped first.
	roomTimeout = 1200 * time.Millisecond
	// retryInterval is the time between two attempts to make room.
	retryInterval = 100 * time.Millisecond
	// bodyStep is the room that a body of unknown length takes at a time.
	bodyStep = 32 << 10
	// smallReserveShare is the share of the budget that small bodies may use in addition: one of this number.
	smallReserveShare = 4
	// receiveBuffer is the receive buffer of a connection, of which the kernel uses twice as much memory. A fixed size keeps the
	// kernel from growing the buffer to some MB.
	receiveBuffer = 32 << 10
	// refusalLinger is how long the rest of a body that no handler reads is discarded, so that the client can read the response.
	refusalLinger = 500 * time.Millisecond
	// defaultBodyTimeout applies if the settings bound the time of a request in no way.
	defaultBodyTimeout = 30 * time.Second
	// logInterval is the time between two log lines about clients that were refused or dropped.
	logInterval = time.Second
	// Settings of HTTP/2, with which a connection buffers at most 64 KiB that no handler has read.
	maxStreams     = 32
	http2Buffer    = 64 << 10
	http2FrameSize = 16 << 10
)

// Options configure a Limiter.
type Options struct {
	// Listener is the name of the listener in metrics and log lines.
	Listener string
	// Connections bounds the open connections, and the requests with a body that are handled at the same time.
	Connections int
	// BodyBytes bounds the bytes of request bodies from their first byte until the handler returns.
	BodyBytes int64
	// ExceedAlone lets a body exceed BodyBytes while it is the only one. It is for handlers that bound the size of a body by
	// a value that is not known when the process starts.
	ExceedAlone bool
	// BodyTimeout is the time for a body in addition to that of its bytes at MinBodyRate bytes a second.
	BodyTimeout time.Duration
	MinBodyRate int
	// ReserveFirst takes the room for a body before the handler runs, for handlers that do not call Admit. It answers 503 if
	// there is none.
	ReserveFirst bool
	// Authenticate, if set, returns an error for requests of unknown clients before room is taken and anything is read of their bodies.
	// They are answered with 401.
	Authenticate func(http.Header) error
	// Refuse, if set, answers requests for which there is no room, instead of a plain 503.
	Refuse func(http.ResponseWriter, *http.Request)

	Log     log.Interface
	Metrics *Metrics
}

// Limiter bounds the connections and bodies of one listener.
type Limiter struct {
	opts Options

	mu    sync.Mutex
	conns map[*conn]bool
	// bodies are those of requests in progress; those that were read to their end still use memory.
	bodies    map[*body]bool
	usedBytes int64
	// byAddress holds what each peer address uses.
	byAddress map[netip.Addr]*usage
	// freed is closed and replaced when room becomes free.
	freed chan struct{}
	// noVictimUntil is the time before which no connection can be dropped, so that a flood of connections does not make the
	// limiter search all of them each time.
	noVictimUntil time.Time

	loggedAt          time.Time
	refused, dropped  int
	connGauge, bGauge prometheus.Gauge
}

// usage is what one peer address uses.
type usage struct {
	conns int
	bytes int64
}

// New returns a limiter for one listener.
func New(o Options) *Limiter {
	if o.BodyTimeout <= 0 {
		o.BodyTimeout = defaultBodyTimeout
	}
	return &Limiter{
		opts: o, conns: make(map[*conn]bool), bodies: make(map[*body]bool), byAddress: make(map[netip.Addr]*usage), freed: make(chan struct{}),
		connGauge: o.Metrics.connections.WithLabelValues(o.Listener), bGauge: o.Metrics.bodyBytes.WithLabelValues(o.Listener),
	}
}

// ListenConfig returns how to open the listener, so that all of its connections have a receive buffer of fixed size.
func (l *Limiter) ListenConfig() net.ListenConfig {
	return net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(controlErr, err)
	}}
}

// minQueue is the least number of connections that the kernel completes before the process accepts them.
const minQueue = 32

// LimitQueue bounds the connections that the kernel completes while none is accepted, to as many as the limiter admits. Each holds what its
// client has sent. The kernel drops the first packet of further ones, and their clients send it again.
func (l *Limiter) LimitQueue(inner net.Listener) error {
	s, ok := inner.(syscall.Conn)
	if !ok {
		return errors.Errorf("ingresslimit: the queue of a %T cannot be bounded", inner)
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	// A second call for a listening socket changes the length of its queue only.
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), max(l.opts.Connections, minQueue)) })
	return errors.Join(err, listenErr)
}

// Configure adds to a server what the limiter needs to know of connections, and bounds HTTP/2.
func (l *Limiter) Configure(s *http.Server) {
	s.Handler = l.handler(s.Handler)
	s.ConnContext = connContext
	s.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: http2Buffer, MaxReceiveBufferPerStream: http2Buffer,
		MaxReadFrameSize: http2FrameSize,
	}
}

// Listener returns a listener that bounds the connections of inner. TLS must run on top of it.
func (l *Limiter) Listener(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection that is admitted, and closes those that are not.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.limiter.admitConn(c); admitted != nil {
			return admitted, nil
		}
		// Nobody reads an error of a connection that is refused.
		_ = c.Close()
	}
}

// conn is a connection that counts towards the limit.
type conn struct {
	net.Conn
	limiter *Limiter
	address netip.Addr

	// The limiter's mu guards the following fields. requests counts the requests in progress, bodies holds those of them
	// whose body is being read. waitingSince is when the connection was made or its last request ended.
	waitingSince time.Time
	requests     int
	bodies       map[*body]bool
	closed       bool
}

type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	return context.WithValue(ctx, connKey{}, c)
}

// CloseWrite lets the server end a connection without discarding a response that the client has not received yet.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.removeConn(c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

func peerAddress(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// admitConn counts a new connection, if need be in place of one that sends nothing. It returns nil if there is no room.
func (l *Limiter) admitConn(inner net.Conn) net.Conn {
	now := time.Now()
	c := &conn{Conn: inner, limiter: l, address: peerAddress(inner), waitingSince: now, bodies: make(map[*body]bool)}
	var victim *conn
	l.mu.Lock()
	defer func() {
		l.mu.Unlock()
		if victim != nil {
			// The victim is already removed; closing it ends its handler.
			_ = victim.Conn.Close()
		}
	}()
	full := len(l.conns) >= l.opts.Connections
	if full || l.isOverShare(int64(len(l.conns)), int64(l.usageOf(c.address).conns), int64(l.opts.Connections)) {
		if victim = l.findVictim(now, c.address, full); victim == nil {
			l.count(l.opts.Metrics.refusals, "connections", &l.refused)
			l.releaseUsage(c.address)
			return nil
		}
		l.removeConn(victim)
		l.count(l.opts.Metrics.drops, "connections", &l.dropped)
	}
	l.conns[c] = true
	l.usageOf(c.address).conns++
	l.connGauge.Set(float64(len(l.conns)))
	return c
}

// isOverShare reports whether an address takes more than its share of a budget: while more than three quarters of the budget
// are in use, an address with half of it gets no more. All callers may come from one address, so the share does not bind before.
func (l *Limiter) isOverShare(used, byAddress, budget int64) bool {
	return used >= budget-budget/4 && byAddress >= budget/2
}

// usageOf returns what an address uses. The caller holds l.mu.
func (l *Limiter) usageOf(a netip.Addr) *usage {
	u := l.byAddress[a]
	if u == nil {
		u = &usage{}
		l.byAddress[a] = u
	}
	return u
}

// releaseUsage forgets an address that uses nothing. The caller holds l.mu.
func (l *Limiter) releaseUsage(a netip.Addr) {
	if u := l.byAddress[a]; u != nil && u.conns == 0 && u.bytes == 0 {
		delete(l.byAddress, a)
	}
}

// findVictim returns the connection that has been silent for the longest time, at least connectionGrace, and whose requests all
// wait for their body. If any is false, it must be of the address. The caller holds l.mu.
func (l *Limiter) findVictim(now time.Time, a netip.Addr, any bool) *conn {
	if any && now.Before(l.noVictimUntil) {
		return nil
	}
	var victim *conn
	oldest := now
	for c := range l.conns {
		if !any && c.address != a || c.requests > len(c.bodies) {
			continue
		}
		if since := c.silentSince(now); since.Before(oldest) {
			oldest, victim = since, c
		}
	}
	if now.Sub(oldest) >= connectionGrace {
		return victim
	}
	if any {
		l.noVictimUntil = now.Add(connectionGrace - now.Sub(oldest))
	}
	return nil
}

// silentSince returns since when the connection has sent nothing of use: no whole header, and nothing of a body or much less than
// MinBodyRate. The caller holds l.mu.
func (c *conn) silentSince(now time.Time) time.Time {
	since := c.waitingSince
	for b := range c.bodies {
		last := b.lastRead
		if b.slow(now) {
			last = b.started
		}
		if last.After(since) {
			since = last
		}
	}
	return since
}

// removeConn stops counting a connection. The caller holds l.mu.
func (l *Limiter) removeConn(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	delete(l.conns, c)
	l.usageOf(c.address).conns--
	l.releaseUsage(c.address)
	l.connGauge.Set(float64(len(l.conns)))
}

// count counts a client that was refused or dropped, and logs the counts at most once in logInterval. The caller holds l.mu.
func (l *Limiter) count(metric *prometheus.CounterVec, cause string, counter *int) {
	metric.WithLabelValues(l.opts.Listener, cause).Inc()
	*counter++
	if now := time.Now(); now.Sub(l.loggedAt) >= logInterval {
		l.opts.Log.WithFields(log.Fields{
			"listener": l.opts.Listener, "refused": l.refused, "dropped": l.dropped, "cause": cause, "connections": len(l.conns), "body_bytes": l.usedBytes,
		}).Warn("clients refused or dropped: a limit of the listener is reached")
		l.loggedAt, l.refused, l.dropped = now, 0, 0
	}
}

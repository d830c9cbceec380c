package ingresslimit

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
)

// RetryAfterSeconds is when a refused client may come back: clients that send nothing are dropped by then.
const RetryAfterSeconds = "1"

// body is the body of a request in progress. It takes room from the budget before bytes are read.
type body struct {
	inner   io.ReadCloser
	limiter *Limiter
	conn    *conn
	address netip.Addr
	ctx     context.Context
	control *http.ResponseController
	http1   bool
	// declared is the length of the body, or -1.
	declared int64

	// The limiter's mu guards the following fields. ended is set once the body was read to its end or failed.
	reserved, received int64
	started, lastRead  time.Time
	ended, dropped     bool
	timer              *time.Timer

	// controlMu guards control against use after the handler has returned, which the server does not allow.
	controlMu sync.Mutex
	released  bool
}

// handler limits the bodies of the requests that next handles.
func (l *Limiter) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		l.beginRequest(c)
		defer l.endRequest(c)
		if l.opts.Authenticate != nil {
			if err := l.opts.Authenticate(r.Header); err != nil {
				l.opts.Metrics.refusals.WithLabelValues(l.opts.Listener, "credentials").Inc()
				rejectUnauthenticated(w, r, err)
				return
			}
		}
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		b := l.newBody(w, r, c)
		if b == nil {
			l.refuse(w, r)
			return
		}
		defer b.release()
		if l.opts.ReserveFirst && b.admit() != nil {
			l.refuse(w, r)
			return
		}
		// The server looks at the body of its own request to decide whether the connection can be used again.
		limited := r.WithContext(r.Context())
		limited.Body = b
		next.ServeHTTP(w, limited)
		b.limitDiscard()
	})
}

// refuse answers that the request was not handled and may be repeated, and closes the connection.
func (l *Limiter) refuse(w http.ResponseWriter, r *http.Request) {
	if l.opts.Refuse != nil {
		l.opts.Refuse(w, r)
		return
	}
	w.Header().Set("Retry-After", RetryAfterSeconds)
	Discard(w)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// errorWriter writes errors in the protocol of a call.
var errorWriter = connect.NewErrorWriter()

// rejectUnauthenticated answers a request of an unknown client, and closes the connection.
func rejectUnauthenticated(w http.ResponseWriter, r *http.Request, cause error) {
	Discard(w)
	if !errorWriter.IsSupported(r) {
		http.Error(w, cause.Error(), http.StatusUnauthorized)
		return
	}
	// The client may have closed the connection.
	_ = errorWriter.Write(w, r, connect.NewError(connect.CodeUnauthenticated, cause))
}

// Discard makes the server close the connection of a request whose body is not read, after a short time in which the client
// can receive the response. It must be called before the header of the response is written.
func Discard(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// A writer without read deadlines belongs to a test that has no connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalLinger))
}

// limitDiscard bounds the time in which the server discards what the handler has not read. The server sets the deadline anew for the
// next request of the connection.
func (b *body) limitDiscard() {
	b.limiter.mu.Lock()
	unread := !b.ended
	b.limiter.mu.Unlock()
	if unread && b.http1 {
		// A writer without read deadlines belongs to a test that has no connection.
		_ = b.control.SetReadDeadline(time.Now().Add(refusalLinger))
	}
}

func (l *Limiter) beginRequest(c *conn) {
	if c == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.requests++
}

func (l *Limiter) endRequest(c *conn) {
	if c == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.requests--
	c.waitingSince = time.Now()
}

// newBody counts a request with a body, or returns nil if too many are in progress.
func (l *Limiter) newBody(w http.ResponseWriter, r *http.Request, c *conn) *body {
	now := time.Now()
	b := &body{
		inner: r.Body, limiter: l, conn: c, ctx: r.Context(), control: http.NewResponseController(w), http1: r.ProtoMajor == 1,
		declared: r.ContentLength, started: now, lastRead: now,
	}
	if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		b.address = a.Addr().Unmap()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.bodies) >= l.opts.Connections {
		l.count(l.opts.Metrics.refusals, "requests", &l.refused)
		return nil
	}
	l.bodies[b] = true
	if c != nil {
		c.bodies[b] = true
	}
	b.timer = time.AfterFunc(l.opts.BodyTimeout, b.checkTimeout)
	return b
}

// Admit takes the room for the body of a request before it is read: its declared length, or the first step of a body of
// unknown length. The error matches ErrNoRoom. Without a limiter there is always room.
func Admit(r *http.Request) error {
	if b, ok := r.Body.(*body); ok {
		return b.admit()
	}
	return nil
}

func (b *body) admit() error {
	if b.declared < 0 {
		return b.reserve(bodyStep)
	}
	return b.reserve(b.declared)
}

// reserve waits up to roomTimeout until the body has room for total bytes, and drops clients that send nothing to make room.
func (b *body) reserve(total int64) error {
	l := b.limiter
	var timeout <-chan time.Time
	for {
		l.mu.Lock()
		if b.dropped {
			l.mu.Unlock()
			return errDropped
		}
		ok := l.take(b, total)
		if !ok {
			l.dropStalled(time.Now(), b, total-b.reserved)
		}
		freed := l.freed
		l.mu.Unlock()
		if ok {
			return nil
		}
		if timeout == nil {
			t := time.NewTimer(roomTimeout)
			defer t.Stop()
			timeout = t.C
		}
		retry := time.NewTimer(retryInterval)
		select {
		case <-freed:
		case <-retry.C:
		case <-b.ctx.Done():
			retry.Stop()
			return errors.Wrap(errDropped, b.ctx.Err().Error())
		case <-timeout:
			retry.Stop()
			l.mu.Lock()
			l.count(l.opts.Metrics.refusals, "body_bytes", &l.refused)
			l.mu.Unlock()
			return ErrNoRoom
		}
		retry.Stop()
		l.mu.Lock()
		// The wait is ours, not the client's.
		b.lastRead = time.Now()
		l.mu.Unlock()
	}
}

// take reserves total bytes for a body if there is room. The caller holds l.mu.
func (l *Limiter) take(b *body, total int64) bool {
	more := total - b.reserved
	if more <= 0 {
		return true
	}
	u := l.usageOf(b.address)
	room := l.usedBytes+more <= l.opts.BodyBytes && !l.isOverShare(l.usedBytes, u.bytes, l.opts.BodyBytes)
	alone := l.opts.ExceedAlone && l.usedBytes == b.reserved
	// Small bodies, such as those of heartbeats, have a reserve that large ones cannot use up.
	small := b.declared >= 0 && total <= bodyStep && l.usedBytes+more <= l.opts.BodyBytes+l.opts.BodyBytes/smallReserveShare
	if !room && !alone && !small {
		l.releaseUsage(b.address)
		return false
	}
	b.reserved = total
	l.usedBytes += more
	u.bytes += more
	l.bGauge.Set(float64(l.usedBytes))
	return true
}

// dropStalled drops clients that send nothing, those that have been silent for the longest time first, until need bytes will be
// free. The caller holds l.mu.
func (l *Limiter) dropStalled(now time.Time, except *body, need int64) {
	// Those that were dropped before will release their room soon.
	for b := range l.bodies {
		if b.dropped {
			need -= b.reserved
		}
	}
	for need > 0 {
		var victim *body
		for b := range l.bodies {
			if b != except && b.reserved > 0 && b.stalled(now) && (victim == nil || b.lastRead.Before(victim.lastRead)) {
				victim = b
			}
		}
		if victim == nil {
			return
		}
		need -= victim.reserved
		victim.drop("stalled_body")
	}
}

// stalled reports whether the client may be dropped to make room: it has sent nothing for stallGrace, or much less than
// MinBodyRate for longer. The caller holds l.mu.
func (b *body) stalled(now time.Time) bool {
	return !b.ended && !b.dropped && (now.Sub(b.lastRead) >= stallGrace || b.slow(now))
}

// slow reports whether the client sends less than MinBodyRate. The caller holds l.mu.
func (b *body) slow(now time.Time) bool {
	age := now.Sub(b.started)
	return age >= 2*stallGrace && float64(b.received) < float64(b.limiter.opts.MinBodyRate)*age.Seconds()
}

// drop makes the handler's read of the body fail. Closing the connection makes no promise about the request. The caller holds l.mu.
func (b *body) drop(cause string) {
	b.dropped = true
	b.limiter.count(b.limiter.opts.Metrics.drops, cause, &b.limiter.dropped)
	if b.http1 && b.conn != nil {
		// Close of the counted connection takes l.mu, so the inner one is closed.
		b.limiter.removeConn(b.conn)
		_ = b.conn.Conn.Close()
		return
	}
	// A stream shares its connection with others; its deadline ends only its own read. The server of HTTP/2 may need l.mu before
	// it takes the deadline.
	go b.interrupt()
}

// interrupt ends a read of the body with an error.
func (b *body) interrupt() {
	b.controlMu.Lock()
	defer b.controlMu.Unlock()
	if !b.released {
		// A writer without read deadlines belongs to a test that has no connection.
		_ = b.control.SetReadDeadline(time.Unix(1, 0))
	}
}

// checkTimeout drops the client if the body takes longer than BodyTimeout and the time of its bytes at MinBodyRate.
func (b *body) checkTimeout() {
	l := b.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.ended || b.dropped {
		return
	}
	allowed := l.opts.BodyTimeout + time.Duration(float64(b.received)/float64(l.opts.MinBodyRate)*float64(time.Second))
	if left := allowed - time.Since(b.started); left > 0 {
		b.timer.Reset(left)
		return
	}
	b.drop("slow_body")
}

// Read implements io.Reader. The error matches ErrNoRoom if there is no room for more bytes.
func (b *body) Read(p []byte) (int, error) {
	room := b.reserved - b.received
	if room <= 0 && len(p) > 0 {
		total := b.received + bodyStep
		if b.declared >= 0 {
			// The end of a body of known length needs no further room.
			total = b.declared
		}
		if err := b.reserve(total); err != nil {
			b.end()
			return 0, err
		}
		room = b.reserved - b.received
	}
	if room > 0 {
		p = p[:min(int64(len(p)), room)]
	}
	n, err := b.inner.Read(p)
	l := b.limiter
	l.mu.Lock()
	b.received += int64(n)
	if n > 0 {
		b.lastRead = time.Now()
	}
	if b.dropped {
		err = errDropped
	}
	l.mu.Unlock()
	if err != nil {
		b.end()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error { return b.inner.Close() }

// end marks that the client owes no more bytes.
func (b *body) end() {
	b.limiter.mu.Lock()
	defer b.limiter.mu.Unlock()
	b.endLocked()
}

func (b *body) endLocked() {
	if b.ended {
		return
	}
	b.ended = true
	b.timer.Stop()
	if b.conn != nil {
		delete(b.conn.bodies, b)
	}
}

// release returns the room of the body when its handler has returned.
func (b *body) release() {
	b.controlMu.Lock()
	b.released = true
	b.controlMu.Unlock()
	l := b.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	b.endLocked()
	delete(l.bodies, b)
	l.usedBytes -= b.reserved
	l.usageOf(b.address).bytes -= b.reserved
	l.releaseUsage(b.address)
	l.bGauge.Set(float64(l.usedBytes))
	close(l.freed)
	l.freed = make(chan struct{})
}

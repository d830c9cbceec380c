package ingresslimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

func newTestLimiter(o Options) *Limiter {
	o.Log, o.Metrics, o.MinBodyRate = &log.Logger{Handler: discard.Default}, NewMetrics(prometheus.NewRegistry()), max(o.MinBodyRate, 1)
	return New(o)
}

// addressConn is a connection from an address.
type addressConn struct {
	net.Conn
	address string
}

func (a addressConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.ParseIP(a.address), Port: 1}
}

func (l *Limiter) admitFrom(address string) *conn {
	inner, _ := net.Pipe()
	c, _ := l.admitConn(addressConn{inner, address}).(*conn)
	return c
}

// Guards against new clients that are locked out by silent ones, and against dropping a connection that is in use.
func TestSilentConnectionMakesRoom(t *testing.T) {
	l := newTestLimiter(Options{Connections: 2})
	busy, idle := l.admitFrom("10.0.0.1"), l.admitFrom("10.0.0.2")
	busy.requests = 1
	busy.waitingSince = busy.waitingSince.Add(-time.Minute)
	assert.Assert(t, l.admitFrom("10.0.0.3") == nil, "a connection that was just made was dropped")
	l.noVictimUntil = time.Time{}
	idle.waitingSince = idle.waitingSince.Add(-2 * connectionGrace)
	assert.Assert(t, l.admitFrom("10.0.0.3") != nil)
	assert.Assert(t, idle.closed && !busy.closed)
	assert.NilError(t, busy.Close())
	assert.Equal(t, len(l.conns), 1)
	assert.Equal(t, len(l.byAddress), 1)
}

// Guards against one address that takes all connections, and against a share that binds while there is room: all callers may
// come from one address.
func TestShareOfAnAddressBindsWhenScarce(t *testing.T) {
	l := newTestLimiter(Options{Connections: 8})
	for range 6 {
		assert.Assert(t, l.admitFrom("10.0.0.1") != nil)
	}
	assert.Assert(t, l.admitFrom("10.0.0.1") == nil)
	assert.Assert(t, l.admitFrom("10.0.0.2") != nil)
}

func (l *Limiter) addBody(reserved int64, silent time.Duration) *body {
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("x"))
	b := l.newBody(httptest.NewRecorder(), r, nil)
	b.started = b.started.Add(-silent)
	b.lastRead = b.lastRead.Add(-silent)
	l.take(b, reserved)
	return b
}

// Guards against dropping more clients than needed, those that have been silent for a shorter time, or bodies that have arrived.
func TestLongestSilentBodiesAreDroppedFirst(t *testing.T) {
	l := newTestLimiter(Options{Connections: 8, BodyBytes: 100})
	l.opts.ExceedAlone = true
	whole, oldest, old, fresh := l.addBody(10, time.Minute), l.addBody(30, 40*time.Second), l.addBody(30, 30*time.Second), l.addBody(0, 0)
	whole.end()
	l.mu.Lock()
	l.dropStalled(time.Now(), fresh, 20)
	l.dropStalled(time.Now(), fresh, 20)
	l.mu.Unlock()
	assert.Assert(t, oldest.dropped && !old.dropped && !whole.dropped && !fresh.dropped)
	for _, b := range []*body{whole, oldest, old, fresh} {
		b.release()
	}
	assert.Equal(t, l.usedBytes, int64(0))
	assert.Equal(t, len(l.byAddress), 0)
}

// Guards against a client that sends a byte now and then and counts as one that sends.
func TestSlowBodyCountsAsStalled(t *testing.T) {
	l := newTestLimiter(Options{Connections: 8, BodyBytes: 100, MinBodyRate: 1000})
	b := l.addBody(50, 3*stallGrace)
	b.lastRead, b.received = time.Now(), 20
	assert.Assert(t, b.stalled(time.Now()))
	b.received = 5000
	assert.Assert(t, !b.stalled(time.Now()))
}

// startServer serves a handler that reads bodies whole, behind a limiter.
func startServer(t *testing.T, l *Limiter, h http.HandlerFunc) string {
	config := l.ListenConfig()
	inner, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: h}
	l.Configure(s)
	go func() {
		// Serve returns when the test closes the server.
		_ = s.Serve(l.Listener(inner))
	}()
	t.Cleanup(func() { assert.Check(t, s.Close()) })
	return inner.Addr().String()
}

func readWhole(w http.ResponseWriter, r *http.Request) {
	err := Admit(r)
	if err == nil {
		_, err = io.ReadAll(r.Body)
	}
	if errors.Is(err, ErrNoRoom) {
		Discard(w)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func post(t *testing.T, address string, body io.Reader) int {
	t.Helper()
	resp, err := http.Post("http://"+address, "text/plain", body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}

// Guards against a body that is read although there is no room for it, whether its length is known or not, and against a refusal that
// outlasts the shortage. The body that is in memory has arrived, so its client is not dropped.
func TestBodiesAreRefusedWhileThereIsNoRoom(t *testing.T) {
	for _, first := range []bool{false, true} {
		l := newTestLimiter(Options{Connections: 8, BodyBytes: 2 * bodyStep, ReserveFirst: first})
		held, release := make(chan struct{}), make(chan struct{})
		address := startServer(t, l, func(w http.ResponseWriter, r *http.Request) {
			readWhole(w, r)
			if r.URL.Path == "/hold" {
				close(held)
				<-release
			}
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			assert.Check(t, post(t, address+"/hold", strings.NewReader(strings.Repeat("x", 2*bodyStep))) == http.StatusOK)
		}()
		<-held
		assert.Equal(t, post(t, address, strings.NewReader(strings.Repeat("x", bodyStep+1))), http.StatusServiceUnavailable)
		assert.Equal(t, post(t, address, strings.NewReader("x")), http.StatusOK, "small bodies have a reserve")
		if !first {
			assert.Equal(t, post(t, address, io.MultiReader(strings.NewReader("x"))), http.StatusServiceUnavailable)
		}
		close(release)
		<-done
		assert.Equal(t, post(t, address, strings.NewReader("x")), http.StatusOK)
		assert.Equal(t, post(t, address, io.MultiReader(strings.NewReader(strings.Repeat("x", bodyStep+1)))), http.StatusOK)
	}
}

// Guards against reading anything of a request whose credentials are wrong, and against room that is taken for it.
func TestUnknownClientsAreRefusedUnread(t *testing.T) {
	l := newTestLimiter(Options{Connections: 8, BodyBytes: 10, ReserveFirst: true, Authenticate: func(h http.Header) error {
		if h.Get("Authorization") == "" {
			return errors.New("who are you")
		}
		return nil
	}})
	address := startServer(t, l, readWhole)
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err, "the body was waited for")
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	assert.NilError(t, resp.Body.Close())
	r, err := http.NewRequest(http.MethodPost, "http://"+address, strings.NewReader("x"))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer x")
	resp, err = http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.NilError(t, resp.Body.Close())
}

// Guards against a large body that is refused although nothing else is in memory.
func TestLoneBodyMayExceedTheBudget(t *testing.T) {
	l := newTestLimiter(Options{Connections: 8, BodyBytes: 10, ExceedAlone: true})
	assert.Equal(t, post(t, startServer(t, l, readWhole), strings.NewReader(strings.Repeat("x", 1000))), http.StatusOK)
}

// Guards against a body that never ends although other clients do not need its room.
func TestBodyThatTakesTooLongIsDropped(t *testing.T) {
	l := newTestLimiter(Options{Connections: 8, BodyBytes: 1 << 20, BodyTimeout: 50 * time.Millisecond, MinBodyRate: 1 << 20})
	failed := make(chan error, 1)
	address := startServer(t, l, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		failed <- err
	})
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	assert.ErrorIs(t, <-failed, errDropped)
	_, err = bufio.NewReader(c).ReadByte()
	assert.Assert(t, err != nil, "the connection is still open")
}

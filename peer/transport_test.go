package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// pipeListener accepts in-memory connections made by its dial method.
type pipeListener struct {
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
	mu      sync.Mutex
	dialled []*pipeConn
}

// pipeConn is the client side of a connection. Once dropWrites is closed, all written bytes are lost, as behind a middlebox
// that has lost the state of the connection. Connections dialled later work.
type pipeConn struct {
	net.Conn
	dropWrites chan struct{}
	closed     chan struct{}
	once       sync.Once
}

func (c *pipeConn) Write(b []byte) (int, error) {
	select {
	case <-c.dropWrites:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

func (c *pipeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	c := &pipeConn{Conn: client, dropWrites: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	l.dialled = append(l.dialled, c)
	l.mu.Unlock()
	l.accept <- server
	return c, nil
}

// Guards against a peer that stays unreachable because calls reuse idle connections that no longer transmit anything.
func TestCallsRecoverFromStalledConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tn := newTestNetwork()
		a, b := tn.newEntry("a", ""), tn.newEntry("b", "")
		_, handler := b.Handler()
		l := &pipeListener{accept: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(l) }()
		a.opts.Transport = func(string) http.RoundTripper { return NewTransport(nil, l.dial) }
		release := func() error {
			_, err := a.Service.Release(t.Context(), b.opts.Registration, "h", 5)
			return err
		}
		// Two concurrent calls leave two idle connections. After a call on the first one fails, the next call must not use the
		// second one.
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { _ = release() })
		}
		wg.Wait()
		l.mu.Lock()
		for _, c := range l.dialled {
			close(c.dropWrites)
		}
		l.mu.Unlock()
		began := time.Now()
		assert.ErrorIs(t, release(), ErrUnreachable)
		assert.Equal(t, time.Since(began), CallTimeout)
		assert.NilError(t, release())
		for _, c := range l.dialled[:len(l.dialled)-1] {
			<-c.closed
		}
		a.close()
		_ = server.Close()
	})
}

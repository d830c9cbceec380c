package ingresscheck

import (
	"bytes"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// unreadBodyBytes is the size of requests whose responses are not read. A response has six times that size, as the target escapes the
	// text that it returns.
	unreadBodyBytes = 900 << 10
	// unreadTimeout is the read timeout of the daemon, lowered so that it passes during the test.
	unreadTimeout = 2 * time.Second
	// unreadBuffer is the receive buffer of clients that do not read.
	unreadBuffer = 4 << 10
)

// sendUnread lets crowdSize clients send a complete request at the same time. They read nothing, and their connections stay open until the
// end of the test.
func sendUnread(t *testing.T, address, header string, body []byte) {
	t.Helper()
	dialer := net.Dialer{Timeout: writeTimeout, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadBuffer)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	request := client{header: header, body: body}
	var wg sync.WaitGroup
	conns := newOpenConns(t)
	for n := range crowdSize {
		wg.Go(func() {
			conn, err := dialer.DialContext(t.Context(), "tcp", address)
			if err != nil {
				// The daemon may refuse connections.
				return
			}
			conns.add(conn)
			_ = conn.SetDeadline(time.Now().Add(writeTimeout))
			// The daemon may close the connection at any time.
			_, _ = conn.Write(request.wire(n * finishEvery))
		})
	}
	wg.Wait()
}

// Guards against clients that do not read their responses: they keep the memory of the responses, and the places of other callers.
func TestEntryUnreadResponses(t *testing.T) {
	e := startEntryWith(t, entryMemoryMB, unreadTimeout)
	const text = `{"text":""}`
	body := append([]byte(text[:len(text)-2]), bytes.Repeat([]byte("<"), unreadBodyBytes)...)
	sendUnread(t, e.CallerAddress, entryRequest, append(body, text[len(text)-2:]...))
	e.request(t, "ordinary request with a large body", bytes.Repeat([]byte("x"), entryBodyBytes))
	e.check(t)
}

package ingresscheck

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of clients.
	crowdSize = 400
	// finishEvery is the share of clients that send their body to its end: one of this number.
	finishEvery = 10
	// writeTimeout ends a write that the daemon neither reads nor refuses. No assertion depends on its length.
	writeTimeout = 20 * time.Second
	pieceBytes   = 16 << 10
	largeChunk   = 64 << 10
	smallChunk   = 8
)

// client is what each client of a crowd sends.
type client struct {
	// header is the request line and header without that of the length. A %016x in it is replaced by the number of the client.
	header string
	body   []byte
	// chunk is the size of the chunks of the body; 0 sends a body with its length.
	chunk int
	// piece is the size of each write; 0 writes the body at once.
	piece int
}

// openConns keeps the connections of clients open until the end of a test.
type openConns struct {
	mu    sync.Mutex
	conns []net.Conn
}

func newOpenConns(t *testing.T) *openConns {
	o := &openConns{}
	t.Cleanup(func() {
		for _, conn := range o.conns {
			_ = conn.Close()
		}
	})
	return o
}

func (o *openConns) add(conn net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conns = append(o.conns, conn)
}

// sendCrowd lets crowdSize clients send their requests at the same time. All but one of finishEvery stop just short of the end
// of their body. It returns when all have sent what they send; the connections stay open until the end of the test.
func sendCrowd(t *testing.T, address string, config *tls.Config, c client) {
	t.Helper()
	var wg sync.WaitGroup
	conns := newOpenConns(t)
	for n := range crowdSize {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, writeTimeout)
			if err != nil {
				// The daemon may refuse connections.
				return
			}
			_ = conn.SetDeadline(time.Now().Add(writeTimeout))
			if config != nil {
				conn = tls.Client(conn, config)
			}
			conns.add(conn)
			// The daemon may close the connection at any time.
			_ = c.send(conn, n)
		})
	}
	wg.Wait()
}

func (c *client) send(w io.Writer, n int) error {
	wire := c.wire(n)
	if c.piece == 0 {
		_, err := w.Write(wire)
		return err
	}
	for len(wire) > 0 {
		piece := wire[:min(c.piece, len(wire))]
		if _, err := w.Write(piece); err != nil {
			return err
		}
		wire = wire[len(piece):]
	}
	return nil
}

// wire returns the bytes that client n sends.
func (c *client) wire(n int) []byte { return c.encode(fmt.Sprintf(c.header, n), n%finishEvery == 0) }

// encode returns a request, up to its end or just short of it.
func (c *client) encode(header string, finish bool) []byte {
	var b bytes.Buffer
	b.WriteString(header)
	if c.chunk == 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(c.body))
		b.Write(c.body)
		if !finish {
			b.Truncate(b.Len() - 1)
		}
		return b.Bytes()
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for body := c.body; len(body) > 0; {
		chunk := body[:min(c.chunk, len(body))]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
		body = body[len(chunk):]
	}
	if finish {
		b.WriteString("0\r\n\r\n")
	}
	return b.Bytes()
}

// stalledBody is a body that ends neither after its content nor with an error until the test ends.
type stalledBody struct {
	content io.Reader
	sent    func()
	release <-chan struct{}
}

func (s *stalledBody) Read(p []byte) (int, error) {
	n, err := s.content.Read(p)
	if err == nil {
		return n, nil
	}
	s.sent()
	<-s.release
	return 0, io.ErrUnexpectedEOF
}

// sendStreams lets crowdSize clients send bodies of unknown length in streams of few HTTP/2 connections. All stop short of the
// end. It returns when each has sent its body or was refused.
func sendStreams(t *testing.T, url string, header http.Header, config *tls.Config, body []byte) {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	transport := &http.Transport{TLSClientConfig: config, Protocols: protocols}
	release := make(chan struct{})
	var sent, ended sync.WaitGroup
	t.Cleanup(func() {
		close(release)
		transport.CloseIdleConnections()
		ended.Wait()
	})
	// The first request makes the connection that the streams share; without it, each would dial its own.
	first, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(first)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	for range crowdSize {
		sent.Add(1)
		once := sync.OnceFunc(sent.Done)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url,
			&stalledBody{content: bytes.NewReader(body), sent: once, release: release})
		if err != nil {
			t.Fatal(err)
		}
		r.Header = header.Clone()
		ended.Go(func() {
			timeout := time.AfterFunc(writeTimeout, once)
			defer timeout.Stop()
			resp, err := transport.RoundTrip(r)
			if err == nil {
				_ = resp.Body.Close()
			}
			once()
		})
	}
	sent.Wait()
}

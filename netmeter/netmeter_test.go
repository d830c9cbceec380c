package netmeter

import (
	"io"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"
)

// Guards against bytes of one direction that are counted twice or not at all, on dialled or accepted connections.
func TestBothDirectionsAreCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	client, err := New(registry, "client")
	assert.NilError(t, err)
	server, err := New(registry, "server")
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		c, err := server.Listener(l).Accept()
		if err == nil {
			_, err = io.CopyN(c, c, 5)
		}
		done <- err
	}()
	c, err := client.Dial(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("hello"))
	assert.NilError(t, err)
	_, err = io.ReadFull(c, make([]byte, 5))
	assert.NilError(t, err)
	assert.NilError(t, <-done)
	for _, counter := range []prometheus.Counter{client.sent, client.received, server.sent, server.received} {
		assert.Equal(t, testutil.ToFloat64(counter), 5.0)
	}
}

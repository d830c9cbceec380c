// Package netmeter counts the bytes that a process sends and receives on its control
// connections, to measure the network cost of the control plane.
package netmeter

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Meter counts the bytes sent and received on connections with one kind of remote.
type Meter struct {
	received prometheus.Counter
	sent     prometheus.Counter
}

// New returns a meter and registers its counters. They are labelled with the kind of the remote side, for example
// "platform".
func New(registerer prometheus.Registerer, remote string) (*Meter, error) {
	m := &Meter{received: counter(remote, "received"), sent: counter(remote, "sent")}
	for _, c := range []prometheus.Collector{m.received, m.sent} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// counter returns the counter of one direction, "received" or "sent".
func counter(remote, direction string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name:        "tamarack_control_bytes_total",
		Help:        "Bytes on control connections, TLS records included, IP and TCP headers not included.",
		ConstLabels: prometheus.Labels{"remote": remote, "direction": direction},
	})
}

// Dial opens a connection like net.Dialer.DialContext and counts its bytes.
func (m *Meter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, m: m}, nil
}

// Listener returns a listener that accepts connections from l and counts their bytes.
func (m *Meter) Listener(l net.Listener) net.Listener { return &listener{Listener: l, m: m} }

type listener struct {
	net.Listener
	m *Meter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, m: l.m}, nil
}

type conn struct {
	net.Conn
	m *Meter
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.received.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.sent.Add(float64(n))
	return n, err
}

package bed

import (
	"io"
	"net"
	"sync"
)

// Proxy forwards connections to an address. While it is cut, nothing passes it and nothing is closed, as in a partition.
type Proxy struct {
	target string

	mu   sync.Mutex
	cut  bool
	open *sync.Cond
}

// newProxy starts a proxy and returns it with its address.
func newProxy(target string) (*Proxy, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p := &Proxy{target: target}
	p.open = sync.NewCond(&p.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, l.Addr().String(), nil
}

// Cut turns the cut on or off.
func (p *Proxy) Cut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = on
	p.open.Broadcast()
}

// pass blocks while the proxy is cut.
func (p *Proxy) pass() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.open.Wait()
	}
}

func (p *Proxy) forward(client net.Conn) {
	p.pass()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{client, server}, {server, client}} {
		go func() {
			p.copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
	_ = client.Close()
	_ = server.Close()
}

// copy copies what arrives until one side closes. What has arrived during a cut is delivered when it ends, unless its sender has
// closed the connection since.
func (p *Proxy) copy(from io.Reader, to io.Writer) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.pass()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

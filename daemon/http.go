package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/ingresslimit"
	"github.com/tamarackworks/tamarackworks/kernel"
)

// ErrListen means that an address could not be bound.
var ErrListen = errors.New("daemon: cannot listen")

// DefaultMaxHeaderBytes bounds the header of a request. It is far below the default of the standard library, because headers are in memory
// before any other limit applies.
const DefaultMaxHeaderBytes = 16 << 10

// HTTPOptions configures an HTTPServer.
type HTTPOptions struct {
	Address string
	Handler http.Handler
	// TLS is the TLS configuration; nil serves plain HTTP.
	TLS *tls.Config
	// WrapListener, if set, wraps the listener, for example to limit or meter connections. TLS runs on top of it.
	WrapListener func(net.Listener) net.Listener

	// Limiter, if set, bounds the connections and the bodies of requests.
	Limiter *ingresslimit.Limiter

	// MaxHeaderBytes defaults to DefaultMaxHeaderBytes.
	MaxHeaderBytes int
	// ReadHeaderTimeout defaults to 5 s.
	ReadHeaderTimeout time.Duration
	// ReadTimeout has the meaning and the default of the field of http.Server.
	ReadTimeout time.Duration
	// IdleTimeout defaults to 1 min.
	IdleTimeout time.Duration
	// AllowH2C accepts HTTP/2 without TLS, which connect clients may use.
	AllowH2C bool
}

// HTTPServer is an HTTP server as a kernel service.
type HTTPServer struct {
	opts   HTTPOptions
	server *http.Server
}

// NewHTTPServer returns a server that listens from Start on.
func NewHTTPServer(opts HTTPOptions) *HTTPServer {
	if opts.MaxHeaderBytes <= 0 {
		opts.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if opts.ReadHeaderTimeout <= 0 {
		opts.ReadHeaderTimeout = 5 * time.Second
	}
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = time.Minute
	}
	return &HTTPServer{opts: opts}
}

// Provision implements kernel.Service.
func (s *HTTPServer) Provision(*kernel.Kernel) error { return nil }

// Start binds the address and serves in the background. A port of 0 selects a free one; see Address. The error matches
// ErrListen.
func (s *HTTPServer) Start(ctx context.Context) error {
	var config net.ListenConfig
	if s.opts.Limiter != nil {
		config = s.opts.Limiter.ListenConfig()
	}
	l, err := config.Listen(ctx, "tcp", s.opts.Address)
	if err != nil {
		return errors.Wrap(ErrListen, err.Error())
	}
	s.opts.Address = l.Addr().String()
	if s.opts.Limiter != nil {
		if err := s.opts.Limiter.LimitQueue(l); err != nil {
			return errors.Join(ErrListen, err, l.Close())
		}
	}
	if s.opts.WrapListener != nil {
		l = s.opts.WrapListener(l)
	}
	if s.opts.Limiter != nil {
		l = s.opts.Limiter.Listener(l)
	}
	if s.opts.TLS != nil {
		l = tls.NewListener(l, s.opts.TLS)
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(s.opts.TLS != nil)
	protocols.SetUnencryptedHTTP2(s.opts.AllowH2C)
	s.server = &http.Server{
		Handler:           s.opts.Handler,
		MaxHeaderBytes:    s.opts.MaxHeaderBytes,
		ReadHeaderTimeout: s.opts.ReadHeaderTimeout,
		ReadTimeout:       s.opts.ReadTimeout,
		IdleTimeout:       s.opts.IdleTimeout,
		Protocols:         &protocols,
	}
	if s.opts.Limiter != nil {
		s.opts.Limiter.Configure(s.server)
	}
	go func() {
		// Serve returns ErrServerClosed after Stop and is not expected to fail otherwise.
		_ = s.server.Serve(l)
	}()
	return nil
}

// Address returns the bound address after Start, and the configured one before.
func (s *HTTPServer) Address() string { return s.opts.Address }

// Stop closes the listener and waits until no request is in progress or ctx ends.
func (s *HTTPServer) Stop(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

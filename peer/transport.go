package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1/fleetv1connect"
	"github.com/tamarackworks/tamarackworks/security"
)

// idleTimeout is long enough for heartbeats to another data centre to reuse their connection: with 8 entry hosts there,
// each is called every 40 s, and a new TLS connection costs about 4 KB. It stays below the default idle timeout of the
// server, 1 min.
const idleTimeout = 55 * time.Second

// NewTransport returns the HTTP/1.1 transport for calls to one peer. A nil tlsConfig means the default one, and a nil dial
// means net.Dialer. Dialling and the TLS handshake are each bounded by CallTimeout.
func NewTransport(tlsConfig *tls.Config, dial func(ctx context.Context, network, address string) (net.Conn, error)) http.RoundTripper {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	dialWithTimeout := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, CallTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: dialWithTimeout, TLSClientConfig: tlsConfig, TLSHandshakeTimeout: CallTimeout,
		MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout, Protocols: protocols,
	}
}

// closeIdle closes the idle connections of a transport that has the method for it.
func closeIdle(t http.RoundTripper) {
	if c, ok := t.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// bearerInterceptor adds the token to outgoing calls and rejects incoming calls without it. It does nothing if the token
// is empty.
func bearerInterceptor(token string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if req.Spec().IsClient {
				if token != "" {
					req.Header().Set("Authorization", "Bearer "+token)
				}
			} else if err := authenticate(req.Header(), token); err != nil {
				return nil, connect.NewError(connect.CodeUnauthenticated, err)
			}
			return next(ctx, req)
		}
	})
}

// errUnauthenticated means that a call does not carry the token of the peers.
var errUnauthenticated = errors.New("peer: a valid bearer token is required")

// authenticate returns an error unless the header of a call carries the token. It accepts every call if the token is empty.
func authenticate(h http.Header, token string) error {
	if token == "" || security.Equal(security.Bearer(h), token) {
		return nil
	}
	return errUnauthenticated
}

// Authenticate returns an error unless the header of a call carries the token of the peers. The handler checks it too, but only once it
// has read and decoded the message.
func (s *Service) Authenticate(h http.Header) error { return authenticate(h, s.opts.Token) }

// tracingInterceptor records a span for each call that it sees, as a client or a server, and propagates the trace context.
// It skips heartbeats, which are too frequent to trace.
func tracingInterceptor(tracer trace.Tracer) connect.Interceptor {
	propagator := propagation.TraceContext{}
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			procedure := req.Spec().Procedure
			if procedure == fleetv1connect.PeerServiceHeartbeatProcedure {
				return next(ctx, req)
			}
			kind := trace.SpanKindServer
			if req.Spec().IsClient {
				kind = trace.SpanKindClient
			} else {
				ctx = propagator.Extract(ctx, propagation.HeaderCarrier(req.Header()))
			}
			ctx, span := tracer.Start(ctx, procedure, trace.WithSpanKind(kind))
			defer span.End()
			if req.Spec().IsClient {
				propagator.Inject(ctx, propagation.HeaderCarrier(req.Header()))
			}
			resp, err := next(ctx, req)
			if err != nil {
				span.SetStatus(codes.Error, err.Error())
			}
			return resp, err
		}
	})
}

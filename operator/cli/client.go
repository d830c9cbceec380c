package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1/fleetv1connect"
)

// api is the client of one server's operator API.
type api = fleetv1connect.OperatorServiceClient

// server is the operator API of one entry host.
type server struct {
	url string
	api api
}

// client holds the servers in the order in which they are tried. The timeout applies to each call to a server.
type client struct {
	servers []server
	timeout time.Duration
}

// newClient returns a client of the servers in the arguments.
func newClient(a args) (*client, error) {
	if len(a.Server) == 0 {
		return nil, errors.New("no server is given; set --server or TAMARACK_SERVER")
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if a.CAFile != "" {
		pem, err := os.ReadFile(a.CAFile)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("%s contains no PEM certificate", a.CAFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	}
	var options []connect.ClientOption
	if a.TokenFile != "" {
		token, err := os.ReadFile(a.TokenFile)
		if err != nil {
			return nil, err
		}
		options = append(options, connect.WithInterceptors(newTokenInterceptor(strings.TrimSpace(string(token)))))
	}
	c := &client{timeout: a.Timeout}
	for _, url := range a.Server {
		url = strings.TrimSuffix(url, "/")
		service := fleetv1connect.NewOperatorServiceClient(&http.Client{Transport: transport}, url, options...)
		c.servers = append(c.servers, server{url: url, api: service})
	}
	return c, nil
}

// newTokenInterceptor returns an interceptor that sends a bearer token with each call.
func newTokenInterceptor(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, req)
		}
	}
}

// callReadOnly makes a call that changes nothing on one server after the other, until one succeeds or gives an error that the
// others would give too.
func callReadOnly[T any](ctx context.Context, c *client, call func(context.Context, api) (*connect.Response[T], error)) (*T, error) {
	var errs []error
	for _, s := range c.servers {
		attempt, cancel := context.WithTimeout(ctx, c.timeout)
		response, err := call(attempt, s.api)
		cancel()
		if err == nil {
			return response.Msg, nil
		}
		if isDefinitive(err) {
			return nil, err
		}
		errs = append(errs, errors.Wrap(err, s.url))
	}
	return nil, errors.Join(errs...)
}

// isDefinitive reports whether err is an answer of a server that the other servers would give too.
func isDefinitive(err error) bool {
	return connect.IsWireError(err) && connect.CodeOf(err) != connect.CodeUnavailable
}

// neverSent reports whether a call failed before the server could act on it: no connection, or no valid certificate.
func neverSent(err error) bool {
	var op *net.OpError
	var certificate *tls.CertificateVerificationError
	return errors.As(err, &op) && op.Op == "dial" || errors.As(err, &certificate)
}

func isInvalidArgument(err error) bool { return hasCode(err, connect.CodeInvalidArgument) }

// hasCode reports whether err is an answer of a server with the code. Errors that the client itself makes do not count.
func hasCode(err error, code connect.Code) bool {
	var e *connect.Error
	return errors.As(err, &e) && e.Code() == code && connect.IsWireError(e)
}

package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
)

// credential is an operator name with the digest of its bearer token. Digests have equal lengths, so that comparing
// them takes the same time for every token.
type credential struct {
	digest [sha256.Size]byte
	name   string
}

// operatorNameKey is the context key of the authenticated operator's name.
type operatorNameKey struct{}

// operatorName returns the name of the authenticated operator, empty if no tokens are set.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorNameKey{}).(string)
	return name
}

func newCredentials(tokens map[string]string) []credential {
	credentials := make([]credential, 0, len(tokens))
	for token, name := range tokens {
		credentials = append(credentials, credential{digest: sha256.Sum256([]byte(token)), name: name})
	}
	return credentials
}

// errUnauthenticated means that a call carries no token of an operator.
var errUnauthenticated = errors.New("a valid bearer token is required")

// newAuthInterceptor returns an interceptor that requires one of the credentials. Without credentials it accepts every call.
func newAuthInterceptor(credentials []credential) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if len(credentials) == 0 {
				return next(ctx, req)
			}
			name, ok := authenticate(credentials, req.Header().Get("Authorization"))
			if !ok {
				return nil, connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
			}
			return next(context.WithValue(ctx, operatorNameKey{}, name), req)
		}
	}
}

// Authenticate returns an error unless the header of a call carries the token of an operator, or no token is required. The handler
// checks it too, but only once it has read and decoded the message.
func (s *Server) Authenticate(h http.Header) error {
	if len(s.credentials) == 0 {
		return nil
	}
	if _, ok := authenticate(s.credentials, h.Get("Authorization")); !ok {
		return errUnauthenticated
	}
	return nil
}

// authenticate returns the operator whose token is in an Authorization header. It compares with every credential, so that
// the time does not depend on which one matches.
func authenticate(credentials []credential, header string) (string, bool) {
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", false
	}
	digest := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, c := range credentials {
		if subtle.ConstantTimeCompare(digest[:], c.digest[:]) == 1 {
			name, found = c.name, true
		}
	}
	return name, found
}

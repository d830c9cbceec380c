// Package security loads certificates and tokens from files and checks tokens of requests.
package security

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/settings"
)

// ErrLoad is matched by all errors of this package.
var ErrLoad = errors.New("security: cannot load")

// minTokenLength rejects tokens that are short enough to guess.
const minTokenLength = 16

// ServerTLS returns the TLS configuration of a listener, or nil if s.Insecure is set. It requires TLS 1.3.
func ServerTLS(s settings.Security) (*tls.Config, error) {
	if s.Insecure {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, errors.Wrap(ErrLoad, err.Error())
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2", "http/1.1"},
	}, nil
}

// ClientTLS returns the TLS configuration of outgoing calls, or nil if caFile is empty. It trusts only the certificates in
// caFile and requires TLS 1.3.
func ClientTLS(caFile string) (*tls.Config, error) {
	if caFile == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(ErrLoad, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Wrapf(ErrLoad, "%s contains no certificate", caFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// Token reads a file that holds one token. An empty path returns an empty token.
func Token(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(ErrLoad, err.Error())
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minTokenLength {
		return "", errors.Wrapf(ErrLoad, "%s: the token is shorter than %d bytes", path, minTokenLength)
	}
	return token, nil
}

// Tokens reads a file with one "name token" pair per line and returns the names by token. Empty lines and
// lines that start with # are skipped. An empty path returns an empty map.
func Tokens(path string) (map[string]string, error) {
	names := make(map[string]string)
	if path == "" {
		return names, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(ErrLoad, err.Error())
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		fields := strings.Fields(text)
		if len(fields) != 2 || !settings.ValidName(fields[0]) || len(fields[1]) < minTokenLength {
			return nil, errors.Wrapf(ErrLoad, "%s:%d: expected a name and a token of at least %d bytes",
				path, line, minTokenLength)
		}
		if _, ok := names[fields[1]]; ok {
			return nil, errors.Wrapf(ErrLoad, "%s:%d: the token is already used on an earlier line", path, line)
		}
		names[fields[1]] = fields[0]
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(ErrLoad, err.Error())
	}
	return names, nil
}

// Bearer returns the bearer token of the Authorization header, or an empty string.
func Bearer(h http.Header) string {
	token, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(token)
}

// Equal reports whether two tokens are equal, in a time that does not depend on their content.
func Equal(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

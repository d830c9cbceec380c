package security

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/security/devcert"
	"github.com/tamarackworks/tamarackworks/settings"
)

// Guards against clients that reject a server certificate of their configured authority, or accept one of another
// authority.
func TestClientTrustsOnlyConfiguredAuthority(t *testing.T) {
	files, err := devcert.Write(t.TempDir(), net.IPv4(127, 0, 0, 1))
	assert.NilError(t, err)
	server, err := ServerTLS(settings.Security{CertFile: files.Cert, KeyFile: files.Key})
	assert.NilError(t, err)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	srv.TLS = server
	srv.StartTLS()
	defer srv.Close()

	get := func(c *tls.Config) error {
		client := http.Client{Transport: &http.Transport{TLSClientConfig: c}}
		resp, err := client.Get(srv.URL)
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	trusting, err := ClientTLS(files.CA)
	assert.NilError(t, err)
	assert.NilError(t, get(trusting))
	other, err := devcert.Write(t.TempDir(), net.IPv4(127, 0, 0, 1))
	assert.NilError(t, err)
	distrusting, err := ClientTLS(other.CA)
	assert.NilError(t, err)
	assert.ErrorContains(t, get(distrusting), "certificate")
}

// Guards against a tokens file that is accepted although a line is invalid or a token is duplicate.
func TestTokens(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens")
	for _, tc := range []struct {
		content string
		ok      bool
	}{
		{"# operators\nalice 0123456789abcdef\n\nbob fedcba9876543210\n", true},
		{"alice short\n", false},
		{"alice\n", false},
		{"alice 0123456789abcdef\nbob 0123456789abcdef\n", false},
	} {
		assert.NilError(t, os.WriteFile(path, []byte(tc.content), 0o600))
		names, err := Tokens(path)
		if !tc.ok {
			assert.ErrorIs(t, err, ErrLoad)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, names["0123456789abcdef"], "alice")
	}
}

package targetserver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func post(t *testing.T, c *http.Client, url, id, body string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/work/match", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set(HeaderRequestID, id)
	return c.Do(req)
}

// Guards against a stand-in that executes more requests at once than it has slots.
func TestFullTargetRejectsAsNotRun(t *testing.T) {
	s := New(Options{Host: "h1", Slots: 1})
	srv := httptest.NewServer(s.API())
	defer srv.Close()
	s.slots <- struct{}{}
	resp, err := post(t, srv.Client(), srv.URL, "r1", "{}")
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), "not_run")
	assert.Equal(t, len(s.Executions()), 0)
}

// Guards against a crossed answer that still carries the id of its own request.
func TestCrossedAnswersCarryAnotherID(t *testing.T) {
	s := New(Options{Host: "h1"})
	s.SetFaults(Faults{CrossAnswers: true})
	srv := httptest.NewServer(s.API())
	defer srv.Close()
	for _, id := range []string{"r1", "r2"} {
		resp, err := post(t, srv.Client(), srv.URL, id, "{}")
		assert.NilError(t, err)
		assert.Assert(t, resp.Header.Get(HeaderRequestID) != id)
		assert.NilError(t, resp.Body.Close())
	}
}

// Guards against Silence also affecting connections that are opened later.
func TestSilencedConnectionsDoNotAnswerButNewOnesDo(t *testing.T) {
	s := New(Options{Host: "h1"})
	srv := httptest.NewUnstartedServer(s.API())
	l := NewListener(srv.Listener, 0)
	srv.Listener = l
	srv.Start()
	defer srv.Close()
	old := &http.Client{Transport: &http.Transport{}, Timeout: 200 * time.Millisecond}
	resp, err := post(t, old, srv.URL, "r1", "{}")
	assert.NilError(t, err)
	// Reading to the end lets the transport reuse the connection.
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	l.Silence()
	_, err = post(t, old, srv.URL, "r2", "{}")
	assert.Assert(t, err != nil)
	resp, err = post(t, &http.Client{Transport: &http.Transport{}}, srv.URL, "r3", "{}")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
}

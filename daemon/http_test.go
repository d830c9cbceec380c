package daemon

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a shutdown that aborts a request in progress.
func TestStopWaitsForRequestsInProgress(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := NewHTTPServer(HTTPOptions{Address: "127.0.0.1:0", Handler: http.HandlerFunc(
		func(w http.ResponseWriter, _ *http.Request) {
			close(entered)
			<-release
			_, _ = io.WriteString(w, "whole")
		})})
	assert.NilError(t, s.Start(t.Context()))
	body := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + s.Address())
		if err != nil {
			body <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		body <- string(b)
	}()
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(t.Context()) }()
	close(release)
	assert.Equal(t, <-body, "whole")
	assert.NilError(t, <-stopped)
}

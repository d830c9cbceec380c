package ingresscheck

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/structs"
)

// awaitStarted submits an ordinary job and waits until a worker has it.
func (e *testEntry) awaitStarted(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: writeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var job structs.Job
	await(t, "ordinary job", func() error {
		resp, err := client.Post(e.CallerURL()+"/v1/jobs", "application/json", strings.NewReader(`{"service":"match","cores":1,"memory_mb":1,"run_time_ms":1}`))
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusAccepted {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return json.NewDecoder(resp.Body).Decode(&job)
	})
	await(t, "start of the ordinary job", func() error {
		resp, err := client.Get(e.CallerURL() + "/v1/jobs/" + job.ID)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if err := json.NewDecoder(resp.Body).Decode(&job); err != nil {
			return err
		}
		if job.State == structs.JobQueued {
			return fmt.Errorf("the job is queued: %s", job.Reason)
		}
		return nil
	})
	assert.Assert(t, job.State != structs.JobRefused, job.Reason)
}

// Guards against payloads of accepted jobs that keep the jobs of all callers from starting.
func TestEntryJobsBehindLargePayloads(t *testing.T) {
	e := startEntryOn(t, entryMemoryMB)
	e.awaitStarted(t)
	wholeCrowd{clients: 16, requests: 8}.send(t, e.CallerAddress, "POST /v1/jobs?%016x HTTP/1.1\r\nHost: h\r\n",
		[]byte(`{"service":"match","cores":1,"memory_mb":1,"run_time_ms":1,"payload":"`+strings.Repeat("x", 250<<10)+`"}`))
	e.awaitStarted(t)
	e.check(t)
}

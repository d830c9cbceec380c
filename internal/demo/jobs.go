package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/internal/localfleet"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
)

// errJobNotEnded means that a job has not ended yet.
var errJobNotEnded = errors.New("demo: job has not ended")

// submitJobs submits jobCount long jobs and returns their ids. It also submits a job that needs more cores than any
// host has, which must be refused.
func (d *demonstration) submitJobs(ctx context.Context) ([]string, error) {
	payload, err := json.Marshal(memory.TaskPayload{RunMS: jobRunTime.Milliseconds()})
	if err != nil {
		return nil, err
	}
	spec := structs.JobSpec{
		Service: services[0], Cores: 2, MemoryMB: 1024, RunTimeMS: 1000,
		Idempotent: true, Checkpointable: true, Payload: string(payload),
	}
	var ids []string
	for range jobCount {
		job, status, err := d.postJob(ctx, spec)
		if err != nil || status >= http.StatusMultipleChoices {
			return nil, errors.Join(err, errors.Wrapf(ErrOutcome, "job submission: status %d", status))
		}
		ids = append(ids, job.ID)
	}
	spec.Cores = 100000
	_, status, err := d.postJob(ctx, spec)
	refused := err == nil && status >= http.StatusBadRequest && status < http.StatusInternalServerError
	d.addCheck("job that fits no host is refused", refused, "status %d", status)
	return ids, nil
}

// survivingEntryURL returns the base URL of an entry host that is not killed during the demonstration.
func (d *demonstration) survivingEntryURL() string { return d.fleet.Entries[1].CallerURL() }

// postJob submits a job and returns it with the HTTP status of the response.
func (d *demonstration) postJob(ctx context.Context, spec structs.JobSpec) (structs.Job, int, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return structs.Job{}, 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.survivingEntryURL()+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return structs.Job{}, 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	return sendJobRequest(req)
}

// sendJobRequest sends a request whose response holds a job if its status is 2xx.
func sendJobRequest(req *http.Request) (structs.Job, int, error) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return structs.Job{}, 0, err
	}
	defer resp.Body.Close()
	var job structs.Job
	if resp.StatusCode < http.StatusMultipleChoices {
		err = json.NewDecoder(resp.Body).Decode(&job)
	}
	return job, resp.StatusCode, err
}

// awaitJobs waits until all jobs have ended and checks that they are done.
func (d *demonstration) awaitJobs(ctx context.Context, ids []string) error {
	done := 0
	for _, id := range ids {
		job, err := d.awaitJob(ctx, id)
		if err != nil {
			return err
		}
		if job.State == structs.JobDone {
			done++
		} else {
			fmt.Fprintf(d.out, "job %s: %s %s\n", id, job.State, job.Reason)
		}
	}
	d.addCheck("long jobs done", done == len(ids), "%d of %d", done, len(ids))
	return nil
}

// awaitJob polls a job until it is in a final state.
func (d *demonstration) awaitJob(ctx context.Context, id string) (structs.Job, error) {
	var job structs.Job
	err := localfleet.Poll(ctx, func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.survivingEntryURL()+"/v1/jobs/"+id, nil)
		if err != nil {
			return err
		}
		var status int
		if job, status, err = sendJobRequest(req); err != nil {
			return err
		}
		if status != http.StatusOK || !job.State.Final() {
			time.Sleep(100 * time.Millisecond)
			return errors.Wrapf(errJobNotEnded, "%s: status %d, state %s", id, status, job.State)
		}
		return nil
	})
	return job, err
}

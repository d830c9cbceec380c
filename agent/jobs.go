package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/entry"
	"github.com/tamarackworks/tamarackworks/jobs"
	"github.com/tamarackworks/tamarackworks/structs"
)

// storeRetryAfter is how long callers are told to wait before they retry, if the job store cannot be reached or the
// result of a submission is unknown.
const storeRetryAfter = 2 * time.Second

// Error codes of the API for long jobs.
const (
	codeJobRefused       = "job_refused"
	codeUnknownJob       = "unknown_job"
	codeJobResultUnknown = "job_result_unknown"
	codeJobMismatch      = "job_mismatch"
)

// callerJobs adapts the job store to the caller API.
type callerJobs struct{ store *jobs.Store }

// Submit implements entry.Jobs.
func (c callerJobs) Submit(ctx context.Context, s entry.JobSubmission) (structs.Job, error) {
	job, err := c.store.Submit(ctx, jobs.Submission(s))
	return job, jobError(err)
}

// Get implements entry.Jobs.
func (c callerJobs) Get(ctx context.Context, id string) (structs.Job, error) {
	job, err := c.store.Get(ctx, id)
	return job, jobError(err)
}

// Cancel implements entry.Jobs.
func (c callerJobs) Cancel(ctx context.Context, id string) (structs.Job, error) {
	job, err := c.store.Cancel(ctx, id)
	return job, jobError(err)
}

// jobError converts an error of package jobs to an error of the caller API. Errors that it does not know count as
// an unavailable store, with the outcome that the request did not run.
func jobError(err error) error {
	var refused *jobs.RefusedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return &entry.APIError{
			Status: http.StatusUnprocessableEntity, Code: codeJobRefused, Message: refused.Reason, Outcome: structs.OutcomeNotRun,
		}
	case errors.Is(err, jobs.ErrNotFound):
		return &entry.APIError{Status: http.StatusNotFound, Code: codeUnknownJob, Message: "no such job", Outcome: structs.OutcomeNotRun}
	case errors.Is(err, jobs.ErrMismatch):
		return &entry.APIError{
			Status: http.StatusUnprocessableEntity, Code: codeJobMismatch,
			Message: "the key belongs to another job", Outcome: structs.OutcomeNotRun,
		}
	case errors.Is(err, jobs.ErrUnknown):
		return &entry.APIError{
			Status: http.StatusServiceUnavailable, Code: codeJobResultUnknown, Message: "the job may have been accepted; ask again with the same key",
			Outcome: structs.OutcomeUnknown, RetryAfterMS: storeRetryAfter.Milliseconds(),
		}
	}
	return &entry.APIError{
		Status: http.StatusServiceUnavailable, Code: entry.CodeStoreUnavailable, Message: "the store of jobs cannot be reached",
		Outcome: structs.OutcomeNotRun, RetryAfterMS: storeRetryAfter.Milliseconds(),
	}
}

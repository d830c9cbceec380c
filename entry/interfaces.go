package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/claims"
	"github.com/tamarackworks/tamarackworks/structs"
)

// ErrNoTarget means that the service has no usable target in this data centre.
var ErrNoTarget = errors.New("entry: no usable target")

// RejectedError means that a request was not admitted and did not run.
type RejectedError struct {
	// Reason is a short text for the caller.
	Reason string
	// RetryAfter is the predicted time until the request can be admitted.
	RetryAfter time.Duration
}

func (e *RejectedError) Error() string { return "entry: rejected: " + e.Reason }

// AdmissionRequest describes a request that asks for admission.
type AdmissionRequest struct {
	ID       string
	Service  string
	Team     string
	Priority structs.Priority
	Deadline time.Time
}

// Result is the result of one attempt, which is reported to the router.
type Result struct {
	Outcome structs.Outcome
	// Rejected means that the target had no free slot.
	Rejected bool
	// Failed means that the target could not be reached, sent no complete and valid response, or sent a status of 500 or
	// above.
	Failed bool
	// Timeout means that the attempt timed out.
	Timeout bool
	// RunTime is the time from dispatch to the end of the attempt.
	RunTime time.Duration
}

// Admission queues requests and selects targets.
type Admission interface {
	// Enter returns a permit, *RejectedError, ErrNoTarget or the error of ctx.
	Enter(ctx context.Context, req AdmissionRequest) (Permit, error)
}

// Permit is the admission of a request, with a slot on a target.
type Permit interface {
	// Host is the target of the current attempt.
	Host() *structs.Host
	// Retry reports the current attempt and selects a target whose host name is not in tried.
	// After an error the permit holds no slot, and Close must still be called.
	Retry(r Result, tried []string) error
	// Close reports the last attempt and releases the permit.
	Close(r Result)
}

// Jobs accepts, reads and cancels long jobs. Errors of type *APIError are sent to the caller unchanged.
type Jobs interface {
	Submit(ctx context.Context, sub JobSubmission) (structs.Job, error)
	Get(ctx context.Context, id string) (structs.Job, error)
	Cancel(ctx context.Context, id string) (structs.Job, error)
}

// Claims stores a claim of an idempotency key before its request is dispatched. *claims.Store implements it.
type Claims interface {
	Claim(ctx context.Context, key claims.Key, fingerprint, nonce string) (claims.Record, error)
	Finish(nonce string, final claims.Final)
	Lookup(ctx context.Context, key claims.Key) (claims.Record, error)
}

// ErrNotForwarded means that a request certainly did not reach another data centre.
var ErrNotForwarded = errors.New("entry: request was not forwarded")

// Forwarder sends a request to an entry host of another data centre. An error that does not match
// ErrNotForwarded means that the request may have run.
type Forwarder interface {
	Forward(ctx context.Context, req ForwardRequest) (ForwardResponse, error)
}

// ForwardRequest is a request of a caller that is forwarded to another data centre.
type ForwardRequest struct {
	Service        string
	Caller         string
	RequestID      string
	IdempotencyKey string
	Idempotent     bool
	// FirstAttempt means that the caller declares that it sends the key for the first time.
	FirstAttempt bool
	Priority     structs.Priority
	Team         string
	// DeadlineMS is the time left in milliseconds.
	DeadlineMS  int64
	Body        []byte
	ContentType string
	Traceparent string
}

// ForwardResponse is the response of another data centre. ErrorCode is empty if a target responded.
type ForwardResponse struct {
	Outcome      structs.Outcome
	Status       int
	Body         []byte
	ContentType  string
	ErrorCode    string
	ErrorMessage string
	RetryAfterMS int64
}

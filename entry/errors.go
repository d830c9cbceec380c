package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/tamarackworks/tamarackworks/structs"
)

// Codes of errors sent to callers.
const (
	CodeUnauthorized      = "unauthorized"
	CodeUnknownService    = "unknown_service"
	CodeMissingHeader     = "missing_header"
	CodeMalformedHeader   = "malformed_header"
	CodeMalformedBody     = "malformed_body"
	CodeBodyTooLarge      = "body_too_large"
	CodeDeadlineExpired   = "deadline_expired"
	CodeDraining          = "draining"
	CodeNotReady          = "not_ready"
	CodeRejected          = "rejected"
	CodeNoTarget          = "no_target"
	CodeStoreUnavailable  = "store_unavailable"
	CodeInProgress        = "in_progress"
	CodeKeyMismatch       = "key_mismatch"
	CodeMalformedKey      = "malformed_key"
	CodeNotRun            = "not_run"
	CodeUnknownJob        = "unknown_job"
	CodeUnknownKey        = "unknown_key"
	CodeResponseNotStored = "response_not_stored"
	CodeTargetRejected    = "target_rejected"
	CodeTargetUnreachable = "target_unreachable"
	CodeNoAnswer          = "no_answer"
	CodeBadAnswer         = "bad_answer"
	CodeTimeout           = "timeout"
	CodeCallerGone        = "caller_gone"
	CodeForwardFailed     = "forward_failed"
	CodeInternal          = "internal"
)

const (
	// minRetryAfter is the smallest time in a Retry-After header, which has the unit of whole seconds.
	minRetryAfter = time.Second
	// statusClientClosedRequest is the status if the caller closed the connection before the response.
	statusClientClosedRequest = 499
)

// APIError is the JSON error body of the caller API.
type APIError struct {
	Status  int             `json:"-"`
	Code    string          `json:"code"`
	Message string          `json:"message"`
	Outcome structs.Outcome `json:"outcome"`
	// RetryAfterMS is the time in milliseconds after which the caller may repeat the request; 0 means that it
	// should not.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
}

func (e *APIError) Error() string { return e.Code + ": " + e.Message }

// permanentError returns an error with the outcome not_run for a request that would fail again if repeated.
func permanentError(status int, code, message string) *APIError {
	return &APIError{Status: status, Code: code, Message: message, Outcome: structs.OutcomeNotRun}
}

// retryableError returns an error with the outcome not_run for a request that may be repeated after the given time.
func retryableError(status int, code, message string, after time.Duration) *APIError {
	e := permanentError(status, code, message)
	e.RetryAfterMS = retryAfterMS(after)
	return e
}

func retryAfterMS(after time.Duration) int64 {
	return max(after, minRetryAfter).Milliseconds()
}

// retryAfterSeconds converts milliseconds to the value of Retry-After. It rounds up, so that a caller does
// not retry too early.
func retryAfterSeconds(ms int64) string {
	return strconv.FormatInt((ms+999)/1000, 10)
}

func writeError(w http.ResponseWriter, e *APIError) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(e.Outcome))
	if e.RequestID != "" {
		h.Set(HeaderRequestID, e.RequestID)
	}
	if e.RetryAfterMS > 0 {
		h.Set("Retry-After", retryAfterSeconds(e.RetryAfterMS))
	}
	if e.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(e.Status)
	// A failed write means that the caller closed the connection, so the error cannot be reported to it.
	_ = json.NewEncoder(w).Encode(e)
}

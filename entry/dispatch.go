package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/structs"
)

// serve admits a validated request, dispatches it and returns the response to the caller.
func (s *Server) serve(ctx context.Context, req *request) *callerResponse {
	return req.correctOutcome(s.admitAndDispatch(ctx, req))
}

func (s *Server) admitAndDispatch(ctx context.Context, req *request) *callerResponse {
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	permit, err := s.opts.Admission.Enter(ctx, AdmissionRequest{
		ID: req.id, Service: req.service.Name, Team: req.team, Priority: req.priority, Deadline: req.deadline,
	})
	if err != nil {
		return s.respondNotAdmitted(ctx, req, err)
	}
	// Close is deferred so that the slot is released after a panic as well; a slot in use blocks the release of its host.
	result := Result{Outcome: structs.OutcomeNotRun}
	defer func() { permit.Close(result) }()
	if !req.needsClaim() {
		return s.dispatch(ctx, req, permit, &result)
	}
	if resp := s.claim(ctx, req); resp != nil {
		return resp
	}
	resp := s.dispatch(ctx, req, permit, &result)
	s.finish(req, resp)
	return resp
}

// respondNotAdmitted returns the response to a request that Enter did not admit. The request is forwarded to
// another data centre if the service has no target here and allows it.
func (s *Server) respondNotAdmitted(ctx context.Context, req *request, err error) *callerResponse {
	resp := errorResponse(s.admissionError(ctx, err))
	if errors.Is(err, ErrNoTarget) && s.mayForward(req) {
		resp = s.forward(ctx, req)
	}
	if resp.outcome == structs.OutcomeNotRun && req.needsClaim() {
		if earlier := s.earlierResponse(ctx, req); earlier != nil {
			return earlier
		}
	}
	return resp
}

func (s *Server) admissionError(ctx context.Context, err error) *APIError {
	var rejected *RejectedError
	switch {
	case ctx.Err() == context.Canceled:
		return callerGoneError(structs.OutcomeNotRun)
	case errors.As(err, &rejected):
		return retryableError(http.StatusServiceUnavailable, CodeRejected, rejected.Reason, rejected.RetryAfter)
	case errors.Is(err, ErrNoTarget):
		return retryableError(http.StatusServiceUnavailable, CodeNoTarget, "the service has no usable target", minRetryAfter)
	case ctx.Err() != nil:
		return retryableError(http.StatusServiceUnavailable, CodeRejected, "the request could not start before its deadline", minRetryAfter)
	}
	s.opts.Log.WithError(err).Error("admission failed")
	return retryableError(http.StatusInternalServerError, CodeInternal, "the request could not be admitted", minRetryAfter)
}

// detach returns a context for the dispatch. A non-idempotent request continues after its caller closed the
// connection, so that its outcome is known.
func (s *Server) detach(ctx context.Context, req *request) (context.Context, context.CancelFunc) {
	if req.idempotent {
		return ctx, func() {}
	}
	return context.WithDeadline(context.WithoutCancel(ctx), req.deadline)
}

// dispatch runs attempts until one must not be retried. It stores the result of the last one in result.
func (s *Server) dispatch(ctx context.Context, req *request, permit Permit, result *Result) *callerResponse {
	ctx, cancel := s.detach(ctx, req)
	defer cancel()
	var tried []string
	var history attemptHistory
	for n := 1; ; n++ {
		host := permit.Host()
		last := n == s.opts.MaxAttempts
		timeout := attemptTimeout(req.deadline.Sub(s.opts.Now()), req.idempotent && !last)
		a := s.runAttempt(ctx, req, host, req.nonce+"-"+strconv.Itoa(n), timeout)
		s.logAttempt(req, host, a)
		history.add(a)
		*result = a.result
		if last || !mayRetry(req, a) || ctx.Err() != nil {
			return history.callerResponse(ctx, req)
		}
		tried = append(tried, host.Name)
		if err := permit.Retry(a.result, tried); err != nil {
			history.setRetryAfter(err)
			return history.callerResponse(ctx, req)
		}
		s.metrics.retries.Inc()
	}
}

// attemptTimeout returns the timeout of an attempt. It leaves half of the remaining time for a retry if the
// request may be retried after a timeout.
func attemptTimeout(left time.Duration, retry bool) time.Duration {
	if retry {
		return left / 2
	}
	return left
}

// mayRetry reports whether the request may be sent to another target after the attempt.
func mayRetry(req *request, a attempt) bool {
	if a.result.Outcome == structs.OutcomeNotRun {
		return true
	}
	if !req.idempotent {
		return false
	}
	if a.response == nil {
		return true
	}
	switch a.response.status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (s *Server) logAttempt(req *request, host *structs.Host, a attempt) {
	if a.err == nil {
		return
	}
	s.opts.Log.WithFields(log.Fields{
		"request": req.id, "service": req.service.Name, "host": host.Name, "outcome": string(a.result.Outcome),
	}).WithError(a.err).Warn("attempt failed")
}

// attemptHistory combines the results of all attempts of a request.
type attemptHistory struct {
	last attempt
	// response is the last complete response of a target.
	response *response
	// mayHaveRun means that a target may have executed the request in an attempt without a valid response.
	mayHaveRun bool
	// retryAfter is the time after which admission may allow another attempt.
	retryAfter time.Duration
}

// setRetryAfter takes the predicted wait from the error of Permit.Retry.
func (h *attemptHistory) setRetryAfter(err error) {
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		h.retryAfter = rejected.RetryAfter
	}
}

func (h *attemptHistory) add(a attempt) {
	h.last = a
	if a.response != nil {
		h.response = a.response
	}
	if a.result.Outcome == structs.OutcomeUnknown {
		h.mayHaveRun = true
	}
}

// outcome returns the outcome over all attempts, which is not_run only if no target may have executed the request.
func (h *attemptHistory) outcome() structs.Outcome {
	switch {
	case h.response != nil:
		return structs.OutcomeDone
	case h.mayHaveRun:
		return structs.OutcomeUnknown
	}
	return structs.OutcomeNotRun
}

// callerResponse returns the response to the caller.
func (h *attemptHistory) callerResponse(ctx context.Context, req *request) *callerResponse {
	outcome := h.outcome()
	if outcome == structs.OutcomeDone {
		return &callerResponse{status: h.response.status, outcome: outcome, response: h.response}
	}
	if ctx.Err() == context.Canceled {
		return errorResponse(callerGoneError(outcome))
	}
	e := h.lastAttemptError()
	e.Outcome = outcome
	// A caller that repeats a non-idempotent request without a key could run it twice if it may have run.
	if outcome == structs.OutcomeNotRun || req.idempotent || req.key != "" {
		e.RetryAfterMS = retryAfterMS(h.retryAfter)
	}
	return errorResponse(e)
}

// lastAttemptError returns the error that describes the last attempt.
func (h *attemptHistory) lastAttemptError() *APIError {
	r := h.last.result
	switch {
	case r.Timeout:
		return &APIError{Status: http.StatusGatewayTimeout, Code: CodeTimeout, Message: "no target answered in time"}
	case r.Rejected:
		return &APIError{Status: http.StatusServiceUnavailable, Code: CodeTargetRejected, Message: "no target had a free slot"}
	case r.Outcome == structs.OutcomeNotRun:
		return &APIError{Status: http.StatusBadGateway, Code: CodeTargetUnreachable, Message: "no target could be reached"}
	case isInvalidResponse(h.last.err):
		return &APIError{Status: http.StatusBadGateway, Code: CodeBadAnswer, Message: "the answer of the target was not valid"}
	}
	return &APIError{Status: http.StatusBadGateway, Code: CodeNoAnswer, Message: "the connection ended before the answer was complete"}
}

func isInvalidResponse(err error) bool {
	for _, e := range []error{errWrongID, errNoLength, errDigest, errTooLarge} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

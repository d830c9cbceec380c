package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/claims"
	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// claimTimeout bounds the wait for the claim store, because the request holds a slot on a target meanwhile.
	claimTimeout = 2 * time.Second
	// rejectedLookupTimeout bounds the read of the claim before a rejection is sent. It is short because a
	// rejection has to be immediate.
	rejectedLookupTimeout = 100 * time.Millisecond
	// lookupTimeout bounds the read of the claim when a caller asks for the outcome of a key.
	lookupTimeout = 2 * time.Second
)

// claim stores a claim of the request's key. It returns the response to the caller if the request must not
// be dispatched, otherwise nil.
func (s *Server) claim(ctx context.Context, req *request) *callerResponse {
	if s.opts.Claims == nil {
		return errorResponse(storeUnavailableError())
	}
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, req.deadline.Sub(s.opts.Now())/2))
	defer cancel()
	ctx, span := s.tracer.Start(ctx, "entry.claim")
	defer span.End()
	record, err := s.opts.Claims.Claim(ctx, req.claimKey(), req.fingerprint(), req.nonce)
	if err == nil && record.State == "" {
		req.noEarlierRun = true
		if ctx.Err() == nil {
			return nil
		}
		s.opts.Claims.Finish(req.nonce, claims.NotRun())
		err = claims.ErrDeadline
	}
	if err == nil {
		return storedResponse(record)
	}
	if ctx.Err() == context.Canceled && errors.Is(err, claims.ErrDeadline) {
		return errorResponse(callerGoneError(structs.OutcomeNotRun))
	}
	// After a mismatch the key belongs to another request, so this one never ran.
	req.noEarlierRun = req.noEarlierRun || errors.Is(err, claims.ErrMismatch)
	return errorResponse(claimError(err))
}

func storeUnavailableError() *APIError {
	return retryableError(http.StatusServiceUnavailable, CodeStoreUnavailable, "the key cannot be claimed at the moment", minRetryAfter)
}

func inProgressError() *APIError {
	e := retryableError(http.StatusConflict, CodeInProgress, "a request with this key may be running or may have run", minRetryAfter)
	e.Outcome = structs.OutcomeUnknown
	return e
}

// correctOutcome replaces the outcome not_run of an error by unknown if an earlier submission of the key may
// have run: this request was not dispatched, but the claim store did not rule out an earlier run and the
// caller does not declare that this is its first attempt.
func (r *request) correctOutcome(resp *callerResponse) *callerResponse {
	if resp.outcome != structs.OutcomeNotRun || resp.err == nil || !r.needsClaim() || r.firstAttempt || r.noEarlierRun {
		return resp
	}
	return withUnknownOutcome(resp.err)
}

// withUnknownOutcome returns the response for a copy of the error with the outcome unknown.
func withUnknownOutcome(e *APIError) *callerResponse {
	changed := *e
	changed.Outcome = structs.OutcomeUnknown
	return errorResponse(&changed)
}

func keyMismatchError() *APIError {
	return permanentError(http.StatusUnprocessableEntity, CodeKeyMismatch, "the key was used for a request with another body")
}

// claimError translates an error of package claims to one for the caller.
func claimError(err error) *APIError {
	switch {
	case errors.Is(err, claims.ErrInProgress):
		return inProgressError()
	case errors.Is(err, claims.ErrMismatch):
		return keyMismatchError()
	}
	return storeUnavailableError()
}

// storedResponse returns the response for a claim in StateDone: the one that the target sent when the
// request ran, or an error if it is not stored.
func storedResponse(record claims.Record) *callerResponse {
	r := record.Response
	if r == nil || r.Omitted {
		e := permanentError(http.StatusGone, CodeResponseNotStored, "the request ran, but its response was too large to be stored")
		e.Outcome = structs.OutcomeDone
		return errorResponse(e)
	}
	return &callerResponse{status: r.Status, outcome: structs.OutcomeDone, response: &response{
		status: r.Status, contentType: r.ContentType, encoding: r.Encoding, body: r.Body,
	}}
}

// finish records how a claimed request ended. The response to the caller does not wait for the store.
func (s *Server) finish(req *request, resp *callerResponse) {
	final := claims.Unknown()
	switch resp.outcome {
	case structs.OutcomeDone:
		r := resp.response
		final = claims.Done(claims.Response{Status: r.status, ContentType: r.contentType, Encoding: r.encoding, Body: r.body})
	case structs.OutcomeNotRun:
		final = claims.NotRun()
	}
	s.opts.Claims.Finish(req.nonce, final)
}

// earlierResponse returns the response for an earlier submission of the same key that ran or may have run,
// or nil. It is called before a rejection is sent, because the caller must not get not_run if an earlier
// submission ran. It returns an error for a claim that cannot be read, because the error code of a rejection
// implies that the claim was looked up.
func (s *Server) earlierResponse(ctx context.Context, req *request) *callerResponse {
	if s.opts.Claims == nil || ctx.Err() == context.Canceled {
		return nil
	}
	// The deadline may have passed while the request was queued; the claim is still looked up for the response.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), rejectedLookupTimeout)
	defer cancel()
	record, err := s.opts.Claims.Lookup(ctx, req.claimKey())
	if err != nil && !errors.Is(err, claims.ErrNotFound) {
		return errorResponse(storeUnavailableError())
	}
	if err != nil || record.State == claims.StateNotRun || record.State == claims.StateVoid {
		req.noEarlierRun = err == nil || errors.Is(err, claims.ErrNotFound)
		return nil
	}
	if record.Fingerprint != req.fingerprint() {
		req.noEarlierRun = true
		return errorResponse(keyMismatchError())
	}
	if record.State == claims.StateDone {
		return storedResponse(record)
	}
	return errorResponse(inProgressError())
}

// getOutcome handles GET /v1/services/{service}/requests/{key}.
func (s *Server) getOutcome(w http.ResponseWriter, hr *http.Request) {
	resp := s.outcome(hr)
	s.metrics.outcome(resp)
	s.writeResponse(w, "", resp)
}

// outcome looks up the claim of the key in the path.
func (s *Server) outcome(hr *http.Request) *callerResponse {
	caller, apiErr := s.caller(hr)
	if apiErr != nil {
		return errorResponse(apiErr)
	}
	if apiErr := s.beginRequest(); apiErr != nil {
		apiErr.Outcome = structs.OutcomeUnknown
		return errorResponse(apiErr)
	}
	defer s.endRequest()
	service, name := hr.PathValue("service"), hr.PathValue("key")
	if s.opts.View().Services[service] == nil {
		return errorResponse(unknownServiceError())
	}
	if len(name) > maxKeyBytes || !isPrintable(name) {
		return errorResponse(permanentError(http.StatusBadRequest, CodeMalformedKey, "the key is not valid"))
	}
	if s.opts.Claims == nil {
		return errorResponse(outcomeUnavailableError())
	}
	ctx, cancel := context.WithTimeout(hr.Context(), lookupTimeout)
	defer cancel()
	record, err := s.opts.Claims.Lookup(ctx, claims.Key{Caller: caller, Service: service, IdempotencyKey: name})
	if errors.Is(err, claims.ErrNotFound) {
		// A submission may still be queued, so the absence of a claim does not mean not_run.
		e := permanentError(http.StatusNotFound, CodeUnknownKey, "no request with this key was dispatched so far")
		e.Outcome = structs.OutcomeUnknown
		return errorResponse(e)
	}
	if err != nil {
		return errorResponse(outcomeUnavailableError())
	}
	return recordResponse(record)
}

func outcomeUnavailableError() *APIError {
	e := storeUnavailableError()
	e.Message, e.Outcome = "the outcome cannot be read at the moment", structs.OutcomeUnknown
	return e
}

// recordResponse returns the response for the stored claim of a key.
func recordResponse(record claims.Record) *callerResponse {
	switch record.State {
	case claims.StateDone:
		return storedResponse(record)
	case claims.StateNotRun, claims.StateVoid:
		return errorResponse(retryableError(http.StatusConflict, CodeNotRun, "the request with this key did not run", minRetryAfter))
	}
	return errorResponse(inProgressError())
}

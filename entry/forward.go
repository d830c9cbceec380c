package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/propagation"

	"github.com/tamarackworks/tamarackworks/structs"
)

// mayForward reports whether the request may be forwarded to another data centre. A forwarded request is not
// forwarded again. The protocol between entry hosts has no field for the content encoding.
func (s *Server) mayForward(req *request) bool {
	return s.opts.Forwarder != nil && req.service.CrossDC && !req.forwarded && req.encoding == ""
}

// forward sends the request to another data centre, whose entry host claims the key if needed.
func (s *Server) forward(ctx context.Context, req *request) *callerResponse {
	ctx, cancel := s.detach(ctx, req)
	defer cancel()
	ctx, span := s.tracer.Start(ctx, "entry.forward", clientSpanOptions...)
	defer span.End()
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	resp, err := s.opts.Forwarder.Forward(ctx, ForwardRequest{
		Service: req.service.Name, Caller: req.caller, RequestID: req.id, IdempotencyKey: req.key,
		Idempotent: req.idempotent, FirstAttempt: req.firstAttempt, Priority: req.priority, Team: req.team,
		DeadlineMS: max(req.deadline.Sub(s.opts.Now()).Milliseconds(), 1),
		Body:       req.body, ContentType: req.contentType, Traceparent: carrier.Get("traceparent"),
	})
	cr := checkForwardResponse(req, resp, err)
	s.metrics.forwards.WithLabelValues(string(cr.outcome)).Inc()
	return cr
}

// checkForwardResponse converts the result of a forwarded request to the response to the caller. An error
// other than ErrNotForwarded and an invalid response leave the outcome unknown.
func checkForwardResponse(req *request, resp ForwardResponse, err error) *callerResponse {
	if errors.Is(err, ErrNotForwarded) {
		return errorResponse(retryableError(http.StatusServiceUnavailable, CodeNoTarget, "no data centre has a usable target", minRetryAfter))
	}
	valid := resp.Status >= 200 && resp.Status <= 599 && validOutcome(resp.Outcome) &&
		(resp.ErrorCode != "" || resp.Outcome == structs.OutcomeDone)
	if err != nil || !valid {
		e := &APIError{
			Status: http.StatusBadGateway, Code: CodeForwardFailed,
			Message: "the other data centre did not answer", Outcome: structs.OutcomeUnknown,
		}
		if req.idempotent || req.key != "" {
			e.RetryAfterMS = retryAfterMS(minRetryAfter)
		}
		return errorResponse(e)
	}
	if resp.ErrorCode != "" {
		return errorResponse(&APIError{
			Status: resp.Status, Code: resp.ErrorCode, Message: resp.ErrorMessage,
			Outcome: resp.Outcome, RetryAfterMS: resp.RetryAfterMS,
		})
	}
	return &callerResponse{status: resp.Status, outcome: resp.Outcome, response: &response{
		status: resp.Status, contentType: resp.ContentType, body: resp.Body,
	}}
}

func validOutcome(o structs.Outcome) bool {
	return o == structs.OutcomeDone || o == structs.OutcomeNotRun || o == structs.OutcomeUnknown
}

// ServeForwarded serves a request that another data centre forwarded. The entry host there authenticated the
// caller.
func (s *Server) ServeForwarded(ctx context.Context, fr ForwardRequest) ForwardResponse {
	started := s.opts.Now()
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": fr.Traceparent})
	ctx, span := s.tracer.Start(ctx, "entry.forwarded", serverSpanOptions...)
	defer span.End()
	// Readiness is checked before validation: until the entry host has its state, the view lacks services
	// that are declared, and a request for one would be refused as unknown.
	refused := s.beginRequest()
	req, invalid := s.forwarded(fr)
	var cr *callerResponse
	if refused == nil {
		defer s.endRequest()
	}
	switch {
	case refused != nil:
		cr = req.correctOutcome(errorResponse(refused))
	case invalid != nil:
		cr = req.correctOutcome(errorResponse(invalid))
	default:
		cr = s.serve(ctx, req)
	}
	s.metrics.request(req, cr, s.opts.Now().Sub(started))
	return cr.toForwardResponse()
}

// forwarded converts and validates a forwarded request, with the same limits as a request from a caller.
func (s *Server) forwarded(fr ForwardRequest) (*request, *APIError) {
	req := &request{
		id: fr.RequestID, nonce: uuid.NewString(), caller: fr.Caller, key: fr.IdempotencyKey, team: fr.Team,
		idempotent: fr.Idempotent, firstAttempt: fr.FirstAttempt, priority: fr.Priority, contentType: fr.ContentType, body: fr.Body, forwarded: true,
	}
	service := s.opts.View().Services[fr.Service]
	if service == nil {
		return req, unknownServiceError()
	}
	req.service = service
	for name, value := range map[string]string{
		HeaderIdempotencyKey: fr.IdempotencyKey, HeaderTeam: fr.Team, "Content-Type": fr.ContentType,
	} {
		if value == "" {
			continue
		}
		if _, err := singleValue(http.Header{name: {value}}, name, maxContentTypeBytes); err != nil {
			return req, err
		}
	}
	if fr.Priority != structs.PriorityUrgent && fr.Priority != structs.PriorityBatch {
		return req, malformedHeaderError(HeaderPriority, "urgent or batch")
	}
	if int64(len(fr.Body)) > s.bodyLimit(service) {
		return req, bodyTooLargeError(s.bodyLimit(service))
	}
	if fr.DeadlineMS <= 0 {
		return req, deadlineExpiredError()
	}
	req.deadline = s.opts.Now().Add(min(time.Duration(fr.DeadlineMS)*time.Millisecond, s.opts.MaxDeadline))
	return req, nil
}

// toForwardResponse converts the response for the entry host that forwarded the request.
func (cr *callerResponse) toForwardResponse() ForwardResponse {
	r := ForwardResponse{Outcome: cr.outcome, Status: cr.status}
	e := cr.err
	if e == nil && cr.response.encoding != "" {
		e = &APIError{
			Status: http.StatusBadGateway, Code: CodeBadAnswer,
			Message: "the request ran, but its encoded response cannot be forwarded", Outcome: cr.outcome,
		}
		r.Status = e.Status
	}
	if e != nil {
		r.ErrorCode, r.ErrorMessage, r.RetryAfterMS = e.Code, e.Message, e.RetryAfterMS
		return r
	}
	r.Body, r.ContentType = cr.response.body, cr.response.contentType
	return r
}

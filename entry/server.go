package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// DefaultMaxBodyBytes bounds the body of a request.
	DefaultMaxBodyBytes = 1 << 20
	// DefaultMaxResponseBytes bounds the body of a target's response, which is held in memory.
	DefaultMaxResponseBytes = 8 << 20
	// DefaultMaxDeadline bounds the deadline that a caller may ask for.
	DefaultMaxDeadline = 10 * time.Minute
	// DefaultDeadline applies when neither the caller nor the service sets a deadline.
	DefaultDeadline = 30 * time.Second
	// DefaultResponseTimeout is the default of Options.ResponseTimeout.
	DefaultResponseTimeout = 30 * time.Second
	// DefaultMaxAttempts bounds the attempts of one request.
	DefaultMaxAttempts = 3
	// AnonymousCaller is the caller when no tokens are configured.
	AnonymousCaller = "anonymous"
)

// Options configure a Server. Admission and View are required.
type Options struct {
	// View returns the current view; it must not return nil.
	View      func() *structs.View
	Admission Admission
	// Claims makes non-idempotent requests with a key run at most once; nil rejects them.
	Claims Claims
	// Jobs adds the routes of long jobs; nil leaves them out.
	Jobs Jobs
	// Forwarder sends requests to another data centre; nil means that requests are not forwarded.
	Forwarder Forwarder
	// Tokens maps bearer tokens to callers; if it is empty, every caller is AnonymousCaller.
	Tokens map[string]string
	// Ready reports whether the entry host has loaded its state; nil means that it always has.
	Ready func() bool

	MaxBodyBytes     int64
	MaxResponseBytes int64
	MaxDeadline      time.Duration
	DefaultDeadline  time.Duration
	MaxAttempts      int
	// ResponseTimeout bounds the time in which a caller receives each part of a response.
	ResponseTimeout time.Duration
	// LameDuck is how long Drain still accepts requests while the server reports that it is not ready.
	LameDuck time.Duration

	Now        func() time.Time
	Log        log.Interface
	Registerer prometheus.Registerer
	Tracer     trace.Tracer
}

func (o *Options) setDefaults() {
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if o.MaxDeadline <= 0 {
		o.MaxDeadline = DefaultMaxDeadline
	}
	if o.DefaultDeadline <= 0 {
		o.DefaultDeadline = DefaultDeadline
	}
	if o.ResponseTimeout <= 0 {
		o.ResponseTimeout = DefaultResponseTimeout
	}
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	if o.Tracer == nil {
		o.Tracer = otel.Tracer("github.com/tamarackworks/tamarackworks/entry")
	}
}

// Server serves the requests and jobs of callers.
type Server struct {
	opts    Options
	tracer  trace.Tracer
	metrics *metrics
	targets *targets
	// callers maps hashes of tokens to callers. With hashes the time of a lookup does not depend on how much
	// of a wrong token is correct.
	callers map[[sha256.Size]byte]string

	mu sync.Mutex
	// drainStarted makes the server not ready; rejectingNew means that new requests are rejected as well.
	drainStarted bool
	rejectingNew bool
	inFlight     int
	// idle is closed once rejectingNew is set and no request is in progress.
	idle chan struct{}
}

// NewServer returns a server. It fails if the metrics cannot be registered.
func NewServer(opts Options) (*Server, error) {
	if opts.Admission == nil || opts.View == nil {
		return nil, errors.New("entry: Admission and View are required")
	}
	opts.setDefaults()
	m, err := newMetrics(opts.Registerer)
	if err != nil {
		return nil, errors.Wrap(err, "register metrics")
	}
	s := &Server{
		opts:    opts,
		tracer:  opts.Tracer,
		metrics: m,
		targets: newTargets(opts.Now),
		callers: make(map[[sha256.Size]byte]string),
		idle:    make(chan struct{}),
	}
	for token, caller := range opts.Tokens {
		s.callers[sha256.Sum256([]byte(token))] = caller
	}
	return s, nil
}

// Handler returns the handler of the caller API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/services/{service}/requests", s.postRequest)
	mux.HandleFunc("GET /v1/services/{service}/requests/{key}", s.getOutcome)
	if s.opts.Jobs != nil {
		s.jobRoutes(mux)
	}
	return mux
}

// Ready reports whether the entry host should receive requests.
func (s *Server) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.drainStarted && (s.opts.Ready == nil || s.opts.Ready())
}

// Drain makes the server not ready, still accepts requests for Options.LameDuck, then rejects new ones and
// waits until none is in progress or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.drainStarted = true
	s.mu.Unlock()
	lameDuck := time.NewTimer(s.opts.LameDuck)
	defer lameDuck.Stop()
	select {
	case <-lameDuck.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	if !s.rejectingNew {
		s.rejectingNew = true
		if s.inFlight == 0 {
			close(s.idle)
		}
	}
	s.mu.Unlock()
	defer s.targets.closeIdle()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginRequest counts a request in progress. It returns an error if the server accepts no new requests.
func (s *Server) beginRequest() *APIError {
	ready := s.opts.Ready == nil || s.opts.Ready()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejectingNew {
		return retryableError(http.StatusServiceUnavailable, CodeDraining, "this entry host is shutting down", minRetryAfter)
	}
	if !ready {
		return retryableError(http.StatusServiceUnavailable, CodeNotReady, "this entry host has no state yet", minRetryAfter)
	}
	s.inFlight++
	s.metrics.inFlight.Inc()
	return nil
}

// endRequest ends a request that beginRequest counted.
func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.metrics.inFlight.Dec()
	if s.rejectingNew && s.inFlight == 0 {
		close(s.idle)
	}
}

// caller identifies the caller by its bearer token.
func (s *Server) caller(hr *http.Request) (string, *APIError) {
	if len(s.callers) == 0 {
		return AnonymousCaller, nil
	}
	token, ok := strings.CutPrefix(hr.Header.Get("Authorization"), "Bearer ")
	caller, known := s.callers[sha256.Sum256([]byte(token))]
	if !ok || !known {
		return "", permanentError(http.StatusUnauthorized, CodeUnauthorized, "a valid bearer token is required")
	}
	return caller, nil
}

// callerResponse is the final response to a caller.
type callerResponse struct {
	status   int
	outcome  structs.Outcome
	response *response
	// err is set instead of response if there is no response of a target to send.
	err *APIError
}

func errorResponse(e *APIError) *callerResponse {
	return &callerResponse{status: e.Status, outcome: e.Outcome, err: e}
}

func (s *Server) postRequest(w http.ResponseWriter, hr *http.Request) {
	started := s.opts.Now()
	ctx := propagation.TraceContext{}.Extract(hr.Context(), propagation.HeaderCarrier(hr.Header))
	ctx, span := s.tracer.Start(ctx, "entry.request", serverSpanOptions...)
	defer span.End()
	req, resp := s.handleRequest(ctx, w, hr)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("request", req.id), attribute.String("outcome", string(resp.outcome)))
	}
	s.metrics.request(req, resp, s.opts.Now().Sub(started))
	s.writeResponse(w, req.id, resp)
}

func (s *Server) handleRequest(ctx context.Context, w http.ResponseWriter, hr *http.Request) (*request, *callerResponse) {
	caller, apiErr := s.caller(hr)
	if apiErr != nil {
		return &request{}, errorResponse(apiErr)
	}
	if apiErr := s.beginRequest(); apiErr != nil {
		refused := &request{}
		if refused.parseHeaders(hr.Header) != nil {
			return &request{}, errorResponse(apiErr)
		}
		return refused, refused.correctOutcome(errorResponse(apiErr))
	}
	defer s.endRequest()
	req, apiErr := s.parseRequest(hr, caller)
	if apiErr != nil {
		return req, req.correctOutcome(errorResponse(apiErr))
	}
	if apiErr := s.readBody(w, hr, req); apiErr != nil {
		return req, req.correctOutcome(errorResponse(apiErr))
	}
	return req, s.serve(ctx, req)
}

func (s *Server) writeResponse(w http.ResponseWriter, id string, resp *callerResponse) {
	if !s.Ready() {
		// The caller should send its next request to another entry host.
		w.Header().Set("Connection", "close")
	}
	if resp.err != nil {
		e := *resp.err
		e.RequestID = id
		writeError(w, &e)
		return
	}
	h := w.Header()
	h.Set(HeaderOutcome, string(resp.outcome))
	setIfPresent(h, HeaderRequestID, id)
	setIfPresent(h, "Content-Type", resp.response.contentType)
	setIfPresent(h, "Content-Encoding", resp.response.encoding)
	setIfPresent(h, "Retry-After", resp.response.retryAfter)
	h.Set("Content-Length", strconv.Itoa(len(resp.response.body)))
	w.WriteHeader(resp.status)
	s.writeBody(w, resp.response.body)
}

// responsePart is the part of a response that a caller must receive within Options.ResponseTimeout.
const responsePart = 64 << 10

// writeBody writes the body of a response. A caller that does not receive it is cut off, because the request and the response are in memory
// until then.
func (s *Server) writeBody(w http.ResponseWriter, body []byte) {
	control := http.NewResponseController(w)
	for len(body) > 0 {
		// If the connection does not support write deadlines, the timeouts of its HTTP server apply.
		_ = control.SetWriteDeadline(time.Now().Add(s.opts.ResponseTimeout))
		n, err := w.Write(body[:min(len(body), responsePart)])
		if err != nil {
			// The caller closed the connection or does not read; the outcome is already recorded.
			return
		}
		body = body[n:]
	}
	_ = control.SetWriteDeadline(time.Time{})
}

func setIfPresent(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

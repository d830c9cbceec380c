package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/tamarackworks/tamarackworks/structs"
)

// Span options are kept in variables, because they would otherwise be allocated for each request.
var (
	serverSpanOptions = []trace.SpanStartOption{trace.WithSpanKind(trace.SpanKindServer)}
	clientSpanOptions = []trace.SpanStartOption{trace.WithSpanKind(trace.SpanKindClient)}
)

// connectTimeoutDivisor divides the timeout of an attempt; the result bounds the time for the connection.
// A request that must not be retried once it was sent can thus still be sent to another target.
const connectTimeoutDivisor = 3

// Errors of a target's response that is invalid or incomplete.
var (
	errWrongID   = errors.New("entry: response does not echo the request id")
	errNoLength  = errors.New("entry: response has neither a declared length nor chunking")
	errDigest    = errors.New("entry: response does not match its digest")
	errTooLarge  = errors.New("entry: response is larger than the limit")
	errTruncated = errors.New("entry: response ended early")
)

// response is a complete response of a target that passed all checks.
type response struct {
	status      int
	contentType string
	encoding    string
	retryAfter  string
	body        []byte
}

// attempt is the result of one dispatch to a target.
type attempt struct {
	result Result
	// response is nil if the target sent no valid response or rejected the request.
	response *response
	err      error
}

// connTrace records the connections that the transport gave to an attempt and enforces its connection and
// response timeouts. One timer for both timeouts and a plain cancellation cost less per request than nested
// contexts with timeouts.
type connTrace struct {
	cancel context.CancelFunc

	mu    sync.Mutex
	conns []tracedConn
	timer *time.Timer
	// responseTime is the time left for the response after the time for the connection; 0 once its timer runs.
	responseTime time.Duration
	timedOut     bool
}

// startTimer starts the timer of an attempt.
func (ct *connTrace) startTimer(timeout time.Duration) {
	connect := min(dialTimeout, timeout/connectTimeoutDivisor)
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.responseTime = timeout - connect
	ct.timer = time.AfterFunc(connect, ct.onTimer)
}

// onTimer cancels the attempt if it has no connection after the connection timeout, or no response after
// the response timeout.
func (ct *connTrace) onTimer() {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if len(ct.conns) > 0 && ct.responseTime > 0 {
		ct.timer.Reset(ct.responseTime)
		ct.responseTime = 0
		return
	}
	ct.timedOut = true
	ct.cancel()
}

// stopTimer stops the timer and reports whether a timeout was exceeded.
func (ct *connTrace) stopTimer() bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.timer.Stop()
	return ct.timedOut
}

// tracedConn is a connection and the number of writes that had started on it before the attempt.
type tracedConn struct {
	conn         *conn
	writesBefore uint64
}

// gotConn is the hook of httptrace for a connection that the transport chose.
func (ct *connTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.conns = append(ct.conns, tracedConn{conn: c, writesBefore: c.startedWrites()})
}

// abort closes the connections of the attempt and reports whether any byte may have been written.
func (ct *connTrace) abort() bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	wrote := false
	for _, tc := range ct.conns {
		if tc.conn.abort(tc.writesBefore) {
			wrote = true
		}
	}
	return wrote
}

// runAttempt dispatches the request once to a target and classifies the outcome.
func (s *Server) runAttempt(ctx context.Context, req *request, host *structs.Host, id string, timeout time.Duration) attempt {
	callerCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, span := s.tracer.Start(ctx, "entry.attempt", clientSpanOptions...)
	defer span.End()
	started := s.opts.Now()
	ct := &connTrace{cancel: cancel}
	ct.startTimer(timeout)
	a := s.exchange(ctx, ct, req, host, id, timeout)
	timedOut := ct.stopTimer()
	a.result.RunTime = s.opts.Now().Sub(started)
	a.result.Timeout = a.err != nil && (timedOut || ctx.Err() == context.DeadlineExceeded)
	if callerCtx.Err() == context.Canceled {
		// The caller closed its connection, which says nothing about the target.
		a.result.Failed = false
	}
	if a.result.Timeout {
		// Idle connections to this target may be unresponsive for the same reason.
		s.targets.get(host).closeIdle()
	}
	if span.IsRecording() {
		span.SetAttributes(attribute.String("host", host.Name), attribute.String("outcome", string(a.result.Outcome)))
		if a.err != nil {
			span.SetStatus(codes.Error, a.err.Error())
		}
	}
	s.metrics.attempt(a.result)
	return a
}

func (s *Server) exchange(ctx context.Context, ct *connTrace, req *request, host *structs.Host, id string, timeout time.Duration) attempt {
	t := s.targets.get(host)
	transport := t.nonIdempotent
	if req.idempotent {
		transport = t.idempotent
	}
	hr, err := newTargetRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: ct.gotConn}), req, host, id, timeout)
	if err != nil {
		return attempt{result: Result{Outcome: structs.OutcomeNotRun}, err: err}
	}
	resp, err := transport.RoundTrip(hr)
	if err != nil {
		return classifyNoResponse(ct, err)
	}
	checked, err := checkResponse(resp, id, s.opts.MaxResponseBytes)
	if err != nil {
		// The transport would reuse the connection of a response without a body, so it is closed explicitly.
		ct.abort()
		return attempt{result: Result{Outcome: structs.OutcomeUnknown, Failed: true}, err: err}
	}
	return classifyResponse(resp, checked)
}

func newTargetRequest(ctx context.Context, req *request, host *structs.Host, id string, timeout time.Duration) (*http.Request, error) {
	url := "http://" + host.Address + "/work/" + req.service.Name
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(req.body))
	if err != nil {
		return nil, err
	}
	// Idempotency-Key is not passed on: net/http would repeat a request that carries it.
	h := make(http.Header, 6)
	hr.Header = h
	// All values share one array, which saves an allocation for each header.
	values := [...]string{id, req.service.Name, strconv.FormatInt(max(timeout.Milliseconds(), 1), 10), req.contentType, req.encoding}
	for i, name := range [...]string{HeaderRequestID, HeaderService, HeaderDeadline, "Content-Type", "Content-Encoding"} {
		if values[i] != "" {
			h[name] = values[i : i+1 : i+1]
		}
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(h))
	return hr, nil
}

// classifyNoResponse classifies an attempt that ended without the header of a response. It is unknown if any
// byte may have been written, otherwise not_run.
func classifyNoResponse(ct *connTrace, err error) attempt {
	if ct.abort() {
		return attempt{result: Result{Outcome: structs.OutcomeUnknown, Failed: true}, err: err}
	}
	limited := errors.Is(err, errConnLimit)
	return attempt{result: Result{Outcome: structs.OutcomeNotRun, Rejected: limited, Failed: !limited}, err: err}
}

// classifyResponse classifies an attempt with a complete response that passed the checks.
func classifyResponse(resp *http.Response, checked *response) attempt {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == string(structs.OutcomeNotRun) {
		return attempt{result: Result{Outcome: structs.OutcomeNotRun, Rejected: true}}
	}
	failed := resp.StatusCode >= http.StatusInternalServerError
	return attempt{result: Result{Outcome: structs.OutcomeDone, Failed: failed}, response: checked}
}

// checkResponse reads the response. It returns an error unless the response echoes the request id, declares
// its length or is chunked, is complete, within the limit, and matches its digest if it has one.
func checkResponse(resp *http.Response, id string, limit int64) (*response, error) {
	// The body is read to its end below, or the connection is closed; an error of Close adds nothing.
	defer func() { _ = resp.Body.Close() }()
	if ids := resp.Header.Values(HeaderRequestID); len(ids) != 1 || ids[0] != id {
		return nil, errWrongID
	}
	chunked := len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked"
	if resp.ContentLength < 0 && !chunked {
		return nil, errNoLength
	}
	if resp.ContentLength > limit {
		return nil, errTooLarge
	}
	body, err := readAll(io.LimitReader(resp.Body, limit+1), resp.ContentLength)
	if err != nil {
		return nil, errors.Wrap(errTruncated, err.Error())
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	if err := checkDigest(resp.Header, body); err != nil {
		return nil, err
	}
	return &response{
		status:      resp.StatusCode,
		contentType: resp.Header.Get("Content-Type"),
		encoding:    resp.Header.Get("Content-Encoding"),
		retryAfter:  resp.Header.Get("Retry-After"),
		body:        body,
	}, nil
}

func checkDigest(h http.Header, body []byte) error {
	digests := h.Values(HeaderDigest)
	if len(digests) == 0 {
		return nil
	}
	if len(digests) > 1 || digests[0] != fmt.Sprintf("%016x", xxhash.Sum64(body)) {
		return errDigest
	}
	return nil
}

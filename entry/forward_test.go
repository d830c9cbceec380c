package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
)

// forwarderFunc implements Forwarder with a function.
type forwarderFunc func(context.Context, ForwardRequest) (ForwardResponse, error)

func (f forwarderFunc) Forward(ctx context.Context, req ForwardRequest) (ForwardResponse, error) {
	return f(ctx, req)
}

// Guards against a request that is lost between data centres, that is forwarded more than once, or whose key
// is claimed by both entry hosts.
func TestRequestWithoutTargetIsForwardedOnce(t *testing.T) {
	p := memory.New(memory.Options{})
	remote := newTestEnv(t, 1, withClaims(t, p.Handle(), "e2"))
	remote.server.opts.Forwarder = forwarderFunc(func(context.Context, ForwardRequest) (ForwardResponse, error) {
		t.Error("forwarded a second time")
		return ForwardResponse{}, ErrNotForwarded
	})
	local := newTestEnv(t, 0, withClaims(t, p.Handle(), "e1"))
	local.admission.err = ErrNoTarget
	local.server.opts.Forwarder = forwarderFunc(func(ctx context.Context, req ForwardRequest) (ForwardResponse, error) {
		return remote.server.ServeForwarded(ctx, req), nil
	})
	r := local.post(t, `{"text":"far"}`, keyedHeaders("k")...)
	assert.Equal(t, r.outcome, structs.OutcomeDone)
	assert.Equal(t, remote.targets[0].Executions()[0].Text, "far")
	assert.DeepEqual(t, local.post(t, `{"text":"far"}`, keyedHeaders("k")...).body, r.body)
	assert.Equal(t, len(remote.targets[0].Executions()), 1)

	remote.admission.err = ErrNoTarget
	r = local.post(t, `{}`)
	assert.Equal(t, r.err.Code, CodeNoTarget)
	assert.Equal(t, r.outcome, structs.OutcomeNotRun)
	assert.Equal(t, r.header.Get("Retry-After"), "1")
	// A request of a service without CrossDC is not forwarded.
	local.view.Services["match"].CrossDC = false
	entered := remote.admission.enteredCount()
	assert.Equal(t, local.post(t, `{}`).err.Code, CodeNoTarget)
	assert.Equal(t, remote.admission.enteredCount(), entered)
}

// Guards against a final 404 for a declared service from an entry host that has no state yet. In a run with
// random faults 11 callers got unknown_service while the entry hosts of the other data centre restarted.
func TestForwardToAnEntryHostWithoutStateIsNotReady(t *testing.T) {
	remote := newTestEnv(t, 0, func(o *Options) { o.Ready = func() bool { return false } })
	remote.view = &structs.View{}
	local := newTestEnv(t, 0, nil)
	local.admission.err = ErrNoTarget
	local.server.opts.Forwarder = forwarderFunc(func(ctx context.Context, req ForwardRequest) (ForwardResponse, error) {
		return remote.server.ServeForwarded(ctx, req), nil
	})
	r := local.post(t, `{}`)
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.err.Code, CodeNotReady)
	assert.Equal(t, r.header.Get("Retry-After"), "1")
}

// Guards against a report of not_run when a forwarded request may have run (P4).
func TestFailedForwardIsUnknownUnlessItWasNotSent(t *testing.T) {
	env := newTestEnv(t, 0, nil)
	env.admission.err = ErrNoTarget
	for _, c := range []struct {
		resp ForwardResponse
		err  error
		want structs.Outcome
	}{
		{err: errors.Wrap(ErrNotForwarded, "dial"), want: structs.OutcomeNotRun},
		{err: errors.New("connection reset"), want: structs.OutcomeUnknown},
		{resp: ForwardResponse{}, want: structs.OutcomeUnknown},
		{resp: ForwardResponse{Status: 200, Outcome: structs.OutcomeNotRun}, want: structs.OutcomeUnknown},
		{resp: ForwardResponse{Status: 503, Outcome: structs.OutcomeNotRun, ErrorCode: CodeRejected}, want: structs.OutcomeNotRun},
	} {
		env.server.opts.Forwarder = forwarderFunc(func(context.Context, ForwardRequest) (ForwardResponse, error) {
			return c.resp, c.err
		})
		assert.Equal(t, env.post(t, `{}`).outcome, c.want, "%+v", c)
	}
}

// fakeJobs implements Jobs with jobs in memory.
type fakeJobs map[string]structs.Job

func (s fakeJobs) Submit(_ context.Context, sub JobSubmission) (structs.Job, error) {
	s[sub.ID] = structs.Job{ID: sub.ID, Caller: sub.Caller, Spec: sub.Spec, State: structs.JobQueued}
	return s[sub.ID], nil
}

func (s fakeJobs) Get(_ context.Context, id string) (structs.Job, error) {
	job, ok := s[id]
	if !ok {
		return job, permanentError(http.StatusNotFound, CodeUnknownJob, "no such job")
	}
	return job, nil
}

func (s fakeJobs) Cancel(_ context.Context, id string) (structs.Job, error) {
	job := s[id]
	job.State = structs.JobCancelled
	s[id] = job
	return job, nil
}

// Guards against a repeated submission that creates a second job, and against access to the jobs of
// another caller.
func TestJobsBelongToTheirCaller(t *testing.T) {
	jobs := fakeJobs{}
	env := newTestEnv(t, 0, func(o *Options) {
		o.Jobs = jobs
		o.Tokens = map[string]string{"t1": "c1", "t2": "c2"}
	})
	h := headers(HeaderIdempotencyKey, "k", "Authorization", "Bearer t1")
	for range 2 {
		r := env.do(t, http.MethodPost, "/v1/jobs", `{"service":"match","cores":1}`, h)
		assert.Equal(t, r.status, http.StatusAccepted)
	}
	assert.Equal(t, len(jobs), 1)
	for id := range jobs {
		other := env.do(t, http.MethodDelete, "/v1/jobs/"+id, "", headers("Authorization", "Bearer t2"))
		assert.Equal(t, other.err.Code, CodeUnknownJob)
		own := env.do(t, http.MethodDelete, "/v1/jobs/"+id, "", headers("Authorization", "Bearer t1"))
		assert.Equal(t, own.status, http.StatusOK)
	}
	for body, code := range map[string]string{
		`{`: CodeMalformedBody, `{"service":"other"}`: CodeUnknownService, `{"size":1}`: CodeMalformedBody,
	} {
		assert.Equal(t, env.do(t, http.MethodPost, "/v1/jobs", body, h).err.Code, code)
	}
}

// FuzzRequest guards against caller input that crashes the handler, that gets a response without an
// outcome, or that gets not_run although the request ran.
func FuzzRequest(f *testing.F) {
	f.Add("true", "urgent", "1000", "k", "team", "text/plain", []byte("{}"))
	f.Add("false", "", "-1", "", "", "", []byte{0})
	// A request may reach the target after its response was sent. Therefore the target checks whether not_run was
	// reported for its id, and the fuzz function checks whether the target ran it.
	var ran, notRun sync.Map
	var ranAfterNotRun atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		id := strings.TrimSuffix(hr.Header.Get(HeaderRequestID), "-1")
		ran.Store(id, true)
		if _, reported := notRun.Load(id); reported {
			ranAfterNotRun.Add(1)
		}
		echoTarget(w, hr)
	}))
	f.Cleanup(srv.Close)
	view := &structs.View{Services: map[string]*structs.Service{"match": {Name: "match"}}}
	server, err := NewServer(Options{
		View:      func() *structs.View { return view },
		Admission: &fakeAdmission{hosts: []*structs.Host{{Name: "a", Address: srv.Listener.Addr().String()}}},
	})
	assert.NilError(f, err)
	f.Cleanup(server.targets.closeIdle)
	f.Fuzz(func(t *testing.T, idempotent, priority, deadline, key, team, contentType string, body []byte) {
		hr := httptest.NewRequest(http.MethodPost, "/v1/services/match/requests", bytes.NewReader(body))
		for name, value := range map[string]string{
			HeaderIdempotent: idempotent, HeaderPriority: priority, HeaderDeadline: deadline,
			HeaderIdempotencyKey: key, HeaderTeam: team, "Content-Type": contentType,
		} {
			hr.Header[name] = []string{value}
		}
		w := httptest.NewRecorder()
		server.Handler().ServeHTTP(w, hr)
		outcome := structs.Outcome(w.Header().Get(HeaderOutcome))
		assert.Assert(t, validOutcome(outcome), "status %d", w.Code)
		if id := w.Header().Get(HeaderRequestID); outcome == structs.OutcomeNotRun {
			notRun.Store(id, true)
			_, executed := ran.Load(id)
			assert.Assert(t, !executed)
		}
		assert.Equal(t, ranAfterNotRun.Load(), int64(0))
	})
}

// Guards against accepting a response that is not known to be complete: one that ends early, has neither a length nor
// chunking, is too large, or has another request id or a wrong digest. A digest is not required (P3).
func TestAnswerWithoutProofOfCompletenessIsRefused(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTamarack-Request-Id: r1\r\n"
	for raw, want := range map[string]error{
		head + "Content-Length: 2\r\n\r\nok":                            nil,
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": nil,
		head + "Content-Length: 9\r\n\r\nok":                            errTruncated,
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n":          errTruncated,
		head + "\r\nok": errNoLength,
		head + "Content-Length: 65\r\n\r\n" + strings.Repeat("x", 65):   errTooLarge,
		head + "Tamarack-Request-Id: r2\r\nContent-Length: 2\r\n\r\nok": errWrongID,
		head + "Tamarack-Digest: 00\r\nContent-Length: 2\r\n\r\nok":     errDigest,
	} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
		assert.NilError(t, err)
		_, err = checkResponse(resp, "r1", 64)
		assert.Assert(t, errors.Is(err, want), "%q: %v", raw, err)
	}
}

// FuzzResponse guards against a response of a target that is accepted although it lacks the request id, its
// length or the right digest (P3).
func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nTamarack-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nTamarack-Request-Id: r1\r\nContent-Length: 9\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nTamarack-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nTamarack-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
	f.Add("HTTP/1.1 200 OK\r\nTamarack-Request-Id: r2\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nTamarack-Request-Id: r1\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nTamarack-Request-Id: r1\r\nTamarack-Digest: 00\r\nContent-Length: 2\r\n\r\nok")
	f.Fuzz(func(t *testing.T, raw string) {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
		if err != nil {
			return
		}
		checked, err := checkResponse(resp, "r1", 64)
		if err != nil {
			return
		}
		assert.DeepEqual(t, resp.Header.Values(HeaderRequestID), []string{"r1"})
		chunked := slices.Contains(resp.TransferEncoding, "chunked")
		assert.Assert(t, chunked || resp.ContentLength == int64(len(checked.body)))
		assert.Assert(t, len(checked.body) <= 64)
		assert.NilError(t, checkDigest(resp.Header, checked.body))
	})
}

// FuzzJob guards against a job specification that crashes the handler or gets a response without an outcome
// or state.
func FuzzJob(f *testing.F) {
	f.Add("k", []byte(`{"service":"match","cores":1}`))
	f.Add("", []byte(`{"cores":-1}`))
	view := &structs.View{Services: map[string]*structs.Service{"match": {Name: "match"}}}
	server, err := NewServer(Options{View: func() *structs.View { return view }, Admission: &fakeAdmission{}, Jobs: fakeJobs{}})
	assert.NilError(f, err)
	handler := server.Handler()
	f.Fuzz(func(t *testing.T, key string, body []byte) {
		req := httptest.NewRequest(http.MethodPost, "/v1/jobs", bytes.NewReader(body))
		req.Header[HeaderIdempotencyKey] = []string{key}
		resp := httptest.NewRecorder()
		handler.ServeHTTP(resp, req)
		var parsed struct {
			State   structs.JobState `json:"state"`
			Outcome structs.Outcome  `json:"outcome"`
		}
		assert.NilError(t, json.Unmarshal(resp.Body.Bytes(), &parsed))
		assert.Assert(t, resp.Code < http.StatusInternalServerError && (parsed.State != "" || parsed.Outcome != ""))
	})
}

package entry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/standin/targetserver"
	"github.com/tamarackworks/tamarackworks/structs"
)

// TestMain fails if goroutines outlive the requests and servers of the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeAdmission selects the hosts in order, without limits.
type fakeAdmission struct {
	mu      sync.Mutex
	hosts   []*structs.Host
	err     error
	entered int
	results []Result
}

func (f *fakeAdmission) Enter(ctx context.Context, _ AdmissionRequest) (Permit, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entered++
	if f.err != nil {
		return nil, f.err
	}
	return &fakePermit{f: f, host: f.hosts[0]}, ctx.Err()
}

func (f *fakeAdmission) reportedResults() []Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.results)
}

type fakePermit struct {
	f    *fakeAdmission
	host *structs.Host
}

func (p *fakePermit) Host() *structs.Host { return p.host }

func (p *fakePermit) Retry(r Result, tried []string) error {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	for _, h := range p.f.hosts {
		if !slices.Contains(tried, h.Name) {
			p.f.results = append(p.f.results, r)
			p.host = h
			return nil
		}
	}
	return ErrNoTarget
}

func (p *fakePermit) Close(r Result) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	p.f.results = append(p.f.results, r)
}

// testEnv is one entry host with targets.
type testEnv struct {
	server    *Server
	http      *httptest.Server
	admission *fakeAdmission
	targets   []*targetserver.Server
	listeners []*targetserver.Listener
	view      *structs.View
}

func newTestEnv(t *testing.T, n int, configure func(*Options)) *testEnv {
	t.Helper()
	env := &testEnv{admission: &fakeAdmission{}}
	env.view = &structs.View{Services: map[string]*structs.Service{"match": {Name: "match", CrossDC: true}}}
	for i := range n {
		name := string(rune('a' + i))
		target := targetserver.New(targetserver.Options{Host: name})
		srv := httptest.NewUnstartedServer(target.API())
		l := targetserver.NewListener(srv.Listener, 0)
		srv.Listener = l
		srv.Start()
		t.Cleanup(srv.Close)
		env.targets, env.listeners = append(env.targets, target), append(env.listeners, l)
		env.admission.hosts = append(env.admission.hosts, &structs.Host{Name: name, Address: srv.Listener.Addr().String()})
	}
	env.start(t, configure)
	return env
}

func (env *testEnv) start(t *testing.T, configure func(*Options)) {
	t.Helper()
	opts := Options{
		View: func() *structs.View { return env.view }, Admission: env.admission,
		Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
	}
	if configure != nil {
		configure(&opts)
	}
	server, err := NewServer(opts)
	assert.NilError(t, err)
	env.server = server
	env.http = httptest.NewServer(server.Handler())
	t.Cleanup(server.targets.closeIdle)
	t.Cleanup(env.http.Close)
}

type reply struct {
	status  int
	outcome structs.Outcome
	header  http.Header
	body    []byte
	err     APIError
}

// headers returns request headers from pairs of name and value. The required ones have defaults; an empty
// value removes a header.
func headers(pairs ...string) http.Header {
	h := http.Header{HeaderIdempotent: {"true"}, HeaderTeam: {"tests"}, HeaderDeadline: {"10000"}}
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			h.Del(pairs[i])
			continue
		}
		h.Set(pairs[i], pairs[i+1])
	}
	return h
}

func (env *testEnv) do(t *testing.T, method, path, body string, h http.Header) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, env.http.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header = h
	resp, err := env.http.Client().Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	r := reply{status: resp.StatusCode, outcome: structs.Outcome(resp.Header.Get(HeaderOutcome)), header: resp.Header, body: b}
	_ = json.Unmarshal(b, &r.err)
	return r
}

func (env *testEnv) post(t *testing.T, body string, pairs ...string) reply {
	t.Helper()
	return env.do(t, http.MethodPost, "/v1/services/match/requests", body, headers(pairs...))
}

// Guards against a request that does not reach a target, or a response that is not passed back completely.
func TestRequestReturnsTheAnswerOfTheTarget(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	r := env.post(t, `{"text":"hello"}`)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.outcome, structs.OutcomeDone)
	var result targetserver.Result
	assert.NilError(t, json.Unmarshal(r.body, &result))
	assert.Equal(t, result.Text, "hello")
	assert.Assert(t, strings.HasPrefix(env.targets[0].Executions()[0].RequestID, r.header.Get(HeaderRequestID)))
}

// Guards against responses that are accepted although they are incomplete or belong to another request, and
// against an outcome other than unknown when the request may have run (P3, P4).
func TestBadAnswersAreUnknownAndNotPassedOn(t *testing.T) {
	for name, f := range map[string]targetserver.Faults{
		"crossed":   {CrossAnswers: true},
		"truncated": {Truncate: true},
		"lost":      {LoseAnswers: true},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, 2, nil)
			env.targets[0].SetFaults(f)
			r := env.post(t, `{"text":"x"}`, HeaderIdempotent, "false")
			assert.Equal(t, r.outcome, structs.OutcomeUnknown)
			assert.Equal(t, r.status, http.StatusBadGateway)
			assert.Equal(t, r.header.Get("Retry-After"), "")
			assert.Equal(t, len(env.targets[1].Executions()), 0)
			// The same fault on an idempotent request leads to another target.
			r = env.post(t, `{"text":"x"}`)
			assert.Equal(t, r.outcome, structs.OutcomeDone)
			assert.Equal(t, len(env.targets[1].Executions()), 1)
		})
	}
}

// Guards against a refused connection or a rejection by a target that is not reported as not_run, or not
// retried.
func TestNotRunIsRetriedEvenIfNotIdempotent(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	good := env.admission.hosts[0].Address
	env.admission.hosts[0].Address = closed.Addr().String()
	r := env.post(t, `{}`, HeaderIdempotent, "false")
	assert.Equal(t, r.outcome, structs.OutcomeDone)
	assert.Assert(t, env.admission.reportedResults()[0].Failed)

	env.admission.hosts[0].Address = good
	env.targets[0].SetFaults(targetserver.Faults{Refuse: true})
	env.targets[1].SetFaults(targetserver.Faults{Refuse: true})
	r = env.post(t, `{}`, HeaderIdempotent, "false")
	assert.Equal(t, r.outcome, structs.OutcomeNotRun)
	assert.Equal(t, r.err.Code, CodeTargetRejected)
	assert.Equal(t, r.header.Get("Retry-After"), "1")
	assert.Assert(t, r.err.RetryAfterMS >= 1000)
}

// Guards against a report of not_run when an earlier attempt of the request may have run (P4).
func TestUnknownAttemptOutweighsALaterRejection(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	env.targets[0].SetFaults(targetserver.Faults{LoseAnswers: true})
	env.targets[1].SetFaults(targetserver.Faults{Refuse: true})
	r := env.post(t, `{}`)
	assert.Equal(t, r.outcome, structs.OutcomeUnknown)
	assert.Equal(t, len(env.targets[0].Executions()), 1)
}

// Guards against an unresponsive connection that uses up the whole deadline, and against the use of other idle
// connections to the same target afterwards.
func TestSilentConnectionsTimeOutAndAreClosed(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	assert.Equal(t, env.post(t, `{}`).outcome, structs.OutcomeDone)
	env.listeners[0].Silence()
	r := env.post(t, `{}`, HeaderDeadline, "600")
	assert.Equal(t, r.outcome, structs.OutcomeDone)
	assert.Assert(t, env.admission.reportedResults()[1].Timeout)
	assert.Equal(t, len(env.targets[1].Executions()), 1)
	// The next request opens a new connection to the first target, which works.
	assert.Equal(t, env.post(t, `{}`).outcome, structs.OutcomeDone)
	assert.Equal(t, len(env.targets[0].Executions()), 2)
}

// Guards against a target that fails fast and is not reported to the router.
func TestFastFailuresAreReportedAndRetried(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	env.targets[0].SetFaults(targetserver.Faults{FailAll: true})
	assert.Equal(t, env.post(t, `{}`).status, http.StatusOK)
	results := env.admission.reportedResults()
	assert.Assert(t, results[0].Failed && !results[1].Failed)
	// The status 500 of a target to a non-idempotent request is passed to the caller.
	r := env.post(t, `{}`, HeaderIdempotent, "false")
	assert.Equal(t, r.status, http.StatusInternalServerError)
	assert.Equal(t, r.outcome, structs.OutcomeDone)
}

// Guards against invalid requests that reach a target, and against errors without a code or outcome.
func TestInvalidRequestsAreRefused(t *testing.T) {
	env := newTestEnv(t, 1, func(o *Options) { o.MaxBodyBytes = 16 })
	long := strings.Repeat("x", 300)
	cases := []struct {
		body   string
		pairs  []string
		status int
		code   string
	}{
		{"", []string{HeaderIdempotent, ""}, 400, CodeMissingHeader},
		{"", []string{HeaderIdempotent, "yes"}, 400, CodeMalformedHeader},
		{"", []string{HeaderPriority, "high"}, 400, CodeMalformedHeader},
		{"", []string{HeaderDeadline, "soon"}, 400, CodeMalformedHeader},
		{"", []string{HeaderDeadline, "99999999999"}, 400, CodeMalformedHeader},
		{"", []string{HeaderIdempotencyKey, long}, 400, CodeMalformedHeader},
		{"", []string{HeaderDeadline, "0"}, 400, CodeDeadlineExpired},
		{strings.Repeat("x", 17), nil, 413, CodeBodyTooLarge},
	}
	for _, c := range cases {
		r := env.post(t, c.body, c.pairs...)
		assert.Equal(t, r.status, c.status, "%v", c.pairs)
		assert.Equal(t, r.err.Code, c.code)
		assert.Equal(t, r.outcome, structs.OutcomeNotRun)
	}
	r := env.do(t, http.MethodPost, "/v1/services/other/requests", "", headers())
	assert.Equal(t, r.err.Code, CodeUnknownService)
	assert.Equal(t, r.status, http.StatusNotFound)
	assert.Equal(t, env.admission.entered, 0)
}

// Guards against a rejection that does not tell the caller the predicted wait.
func TestRejectionCarriesThePredictedWait(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.admission.err = &RejectedError{Reason: "queue is full", RetryAfter: 2500 * time.Millisecond}
	r := env.post(t, `{}`)
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.header.Get("Retry-After"), "3")
	assert.Equal(t, r.err.RetryAfterMS, int64(2500))
	assert.Equal(t, r.outcome, structs.OutcomeNotRun)
}

// Guards against a shutdown that aborts a request in progress or accepts new ones (P7).
func TestDrainWaitsForRequestsInProgress(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.targets[0].SetFaults(targetserver.Faults{Freeze: true})
	done := make(chan reply)
	go func() { done <- env.post(t, `{}`) }()
	for env.admission.enteredCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, env.server.Drain(canceled), context.Canceled)
	assert.Assert(t, !env.server.Ready())
	assert.Equal(t, env.post(t, `{}`).err.Code, CodeDraining)
	env.targets[0].SetFaults(targetserver.Faults{})
	assert.NilError(t, env.server.Drain(t.Context()))
	assert.Equal(t, (<-done).outcome, structs.OutcomeDone)
}

// Guards against more connections to a target than it accepts, and against a request that waits for a
// connection instead of failing at once.
func TestConnectionLimitIsReportedAsNotRun(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.admission.hosts[0].Connections = 1
	env.targets[0].SetFaults(targetserver.Faults{Freeze: true})
	done := make(chan reply)
	go func() { done <- env.post(t, `{}`) }()
	for env.listeners[0].Open() == 0 {
		time.Sleep(time.Millisecond)
	}
	r := env.post(t, `{}`, HeaderIdempotent, "false")
	assert.Equal(t, r.err.Code, CodeTargetRejected)
	assert.Equal(t, r.outcome, structs.OutcomeNotRun)
	env.targets[0].SetFaults(targetserver.Faults{})
	assert.Equal(t, (<-done).outcome, structs.OutcomeDone)
	// A connection of the other transport is closed for a new one once it is idle.
	for _, idempotent := range []string{"false", "true", "false"} {
		r = env.post(t, `{}`, HeaderIdempotent, idempotent)
		for r.outcome == structs.OutcomeNotRun {
			r = env.post(t, `{}`, HeaderIdempotent, idempotent)
		}
		assert.Equal(t, r.outcome, structs.OutcomeDone)
		assert.Assert(t, env.server.targets.get(env.admission.hosts[0]).openConns.Load() <= 1)
	}
	assert.Assert(t, env.server.targets.get(env.admission.hosts[0]).nonIdempotent.IdleConnTimeout < time.Second)
}

// Guards against a target to which no connection can be opened and that uses up the whole time of a request.
func TestAttemptHasSeparateTimesForConnectionAndResponse(t *testing.T) {
	for conns, want := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			ct := &connTrace{cancel: cancel, conns: make([]tracedConn, conns)}
			start := time.Now()
			ct.startTimer(300 * time.Millisecond)
			<-ctx.Done()
			assert.Equal(t, time.Since(start), want)
			assert.Assert(t, ct.stopTimer())
		})
	}
}

func (f *fakeAdmission) enteredCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entered
}

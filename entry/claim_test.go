package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/claims"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/standin/targetserver"
	"github.com/tamarackworks/tamarackworks/structs"
)

// withClaims returns a function that sets Options.Claims to a new claim store on the given platform.
func withClaims(t *testing.T, h *memory.Handle, id string) func(*Options) {
	t.Helper()
	store, err := claims.New(claims.Options{
		Table: h, Entry: id, Incarnation: "1", Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		assert.NilError(t, store.Stop(ctx))
	})
	return func(o *Options) { o.Claims = store }
}

// keyedHeaders returns the headers of a non-idempotent request with a key, as name and value pairs.
func keyedHeaders(key string, extra ...string) []string {
	return append([]string{HeaderIdempotent, "false", HeaderIdempotencyKey, key}, extra...)
}

// Guards against a second execution when a caller sends one key to two entry hosts at once, and
// against a different response to a repetition (P5).
func TestOneKeyThroughTwoEntryHostsRunsOnce(t *testing.T) {
	p := memory.New(memory.Options{})
	first := newTestEnv(t, 1, withClaims(t, p.Handle(), "e1"))
	second := &testEnv{admission: first.admission, targets: first.targets, view: first.view}
	second.start(t, withClaims(t, p.Handle(), "e2"))
	for i := range 20 {
		key := "k" + strconv.Itoa(i)
		var wg sync.WaitGroup
		for _, env := range []*testEnv{first, second, first, second} {
			wg.Go(func() {
				r := env.post(t, `{"text":"`+key+`"}`, keyedHeaders(key)...)
				assert.Check(t, r.outcome == structs.OutcomeDone || r.status == http.StatusConflict && r.outcome == structs.OutcomeUnknown)
			})
		}
		wg.Wait()
	}
	assert.Equal(t, len(first.targets[0].Executions()), 20)
	again := second.post(t, `{"text":"k3"}`, keyedHeaders("k3")...)
	for again.outcome == structs.OutcomeUnknown {
		// The record of the first execution is written in the background.
		again = second.post(t, `{"text":"k3"}`, keyedHeaders("k3")...)
	}
	read := first.do(t, http.MethodGet, "/v1/services/match/requests/k3", "", nil)
	assert.DeepEqual(t, again.body, read.body)
	assert.Equal(t, read.outcome, structs.OutcomeDone)
	assert.Equal(t, len(first.targets[0].Executions()), 20)
	r := first.post(t, `{"text":"other"}`, keyedHeaders("k3")...)
	assert.Equal(t, r.status, http.StatusUnprocessableEntity)
	assert.Equal(t, r.err.Code, CodeKeyMismatch)
}

// Guards against a request that is dispatched without a durable claim while the claim store is down, and
// against idempotent requests that fail without the store.
func TestStoreDownRejectsOnlyRequestsThatNeedAClaim(t *testing.T) {
	h := memory.New(memory.Options{}).Handle()
	env := newTestEnv(t, 1, withClaims(t, h, "e1"))
	h.SetFaults(memory.Faults{Down: true})
	r := env.post(t, `{}`, keyedHeaders("k", HeaderAttempt, "1")...)
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.err.Code, CodeStoreUnavailable)
	assert.Equal(t, r.outcome, structs.OutcomeNotRun)
	// The outcome of a repetition, or of a request that may be one, must not be not_run.
	for _, more := range [][]string{nil, {HeaderAttempt, "2"}} {
		for _, admission := range []error{nil, &RejectedError{Reason: "full"}} {
			env.admission.err = admission
			assert.Equal(t, env.post(t, `{}`, keyedHeaders("k", more...)...).outcome, structs.OutcomeUnknown)
		}
	}
	env.admission.err = nil
	assert.Equal(t, env.post(t, `{}`, keyedHeaders("k", HeaderAttempt, "0")...).status, http.StatusBadRequest)
	assert.Assert(t, r.err.RetryAfterMS >= 1000)
	assert.Equal(t, len(env.targets[0].Executions()), 0)
	assert.Equal(t, env.post(t, `{}`, HeaderIdempotencyKey, "k").outcome, structs.OutcomeDone)
	assert.Equal(t, env.post(t, `{}`, HeaderIdempotent, "false").outcome, structs.OutcomeDone)
	h.SetFaults(memory.Faults{})
	assert.Equal(t, env.post(t, `{}`, keyedHeaders("k")...).outcome, structs.OutcomeDone)
}

// Guards against a request that can run again after the response of the target was lost, and against a
// rejection with the outcome not_run for a key whose request may have run (P4).
func TestLostAnswerOfAKeyedRequestStaysUnknown(t *testing.T) {
	h := memory.New(memory.Options{}).Handle()
	env := newTestEnv(t, 1, withClaims(t, h, "e1"))
	env.targets[0].SetFaults(targetserver.Faults{LoseAnswers: true})
	r := env.post(t, `{}`, keyedHeaders("k")...)
	assert.Equal(t, r.outcome, structs.OutcomeUnknown)
	assert.Equal(t, r.header.Get("Retry-After"), "1")
	env.targets[0].SetFaults(targetserver.Faults{})
	for _, admission := range []error{nil, &RejectedError{Reason: "full"}, ErrNoTarget} {
		env.admission.err = admission
		r = env.post(t, `{}`, keyedHeaders("k")...)
		assert.Equal(t, r.status, http.StatusConflict)
		assert.Equal(t, r.outcome, structs.OutcomeUnknown)
	}
	// An error in the headers does not show whether an earlier attempt ran.
	r = env.post(t, `{}`, append(keyedHeaders("k"), HeaderDeadline, "0")...)
	assert.Equal(t, r.err.Code, CodeDeadlineExpired)
	assert.Equal(t, r.outcome, structs.OutcomeUnknown)
	// If the claim cannot be read, the response must not have the code of a rejection, which implies a lookup.
	h.SetFaults(memory.Faults{Down: true})
	env.admission.err = &RejectedError{Reason: "full"}
	r = env.post(t, `{}`, keyedHeaders("k")...)
	assert.Equal(t, r.err.Code, CodeStoreUnavailable)
	h.SetFaults(memory.Faults{})
	r = env.do(t, http.MethodGet, "/v1/services/match/requests/k", "", nil)
	assert.Equal(t, r.outcome, structs.OutcomeUnknown)
	r = env.do(t, http.MethodGet, "/v1/services/match/requests/other", "", nil)
	assert.Equal(t, r.err.Code, CodeUnknownKey)
	assert.Equal(t, len(env.targets[0].Executions()), 1)
}

// Guards against a dispatched request without a stored outcome because its caller closed the connection, and
// against an idempotent attempt that continues after its caller closed the connection.
func TestCallerGoesAway(t *testing.T) {
	env := newTestEnv(t, 1, withClaims(t, memory.New(memory.Options{}).Handle(), "e1"))
	env.targets[0].SetFaults(targetserver.Faults{Freeze: true})
	for i, pairs := range [][]string{keyedHeaders("k"), nil} {
		ctx, cancel := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, env.http.URL+"/v1/services/match/requests", nil)
		assert.NilError(t, err)
		req.Header = headers(pairs...)
		done := make(chan error)
		go func() {
			_, err := env.http.Client().Do(req)
			done <- err
		}()
		for env.listeners[0].Open() <= i {
			time.Sleep(time.Millisecond)
		}
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	}
	// Only the idempotent attempt ends while the target is frozen, and it does not count as a failure of the target.
	for len(env.admission.reportedResults()) == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.DeepEqual(t, env.admission.reportedResults()[0].Failed, false)
	env.targets[0].SetFaults(targetserver.Faults{})
	assert.NilError(t, env.server.Drain(t.Context()))
	assert.Equal(t, env.admission.reportedResults()[1].Outcome, structs.OutcomeDone)
	key := claims.Key{Caller: AnonymousCaller, Service: "match", IdempotencyKey: "k"}
	record, err := env.server.opts.Claims.Lookup(t.Context(), key)
	assert.NilError(t, err)
	assert.Equal(t, record.State, claims.StateDone)
}

// Guards against a key that applies to more than one caller, and against requests without a valid token.
func TestKeysAreScopedByCaller(t *testing.T) {
	claimed := withClaims(t, memory.New(memory.Options{}).Handle(), "e1")
	env := newTestEnv(t, 1, func(o *Options) {
		claimed(o)
		o.Tokens = map[string]string{"t1": "c1", "t2": "c2"}
	})
	assert.Equal(t, env.post(t, `{}`).status, http.StatusUnauthorized)
	assert.Equal(t, env.post(t, `{}`, "Authorization", "Bearer t3").err.Code, CodeUnauthorized)
	for _, token := range []string{"t1", "t2"} {
		r := env.post(t, `{"text":"`+token+`"}`, keyedHeaders("k", "Authorization", "Bearer "+token)...)
		assert.Equal(t, r.outcome, structs.OutcomeDone)
	}
	assert.Equal(t, len(env.targets[0].Executions()), 2)
}

package proofs

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/admission"
	"github.com/tamarackworks/tamarackworks/loadgen"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/standin/targetserver"
	"github.com/tamarackworks/tamarackworks/structs"
)

// Guards against a key that runs twice, a false outcome or a foreign answer when entry hosts are killed at
// random moments, also two at once and one twice, while callers repeat through the others (P3, P4, P5).
func TestKilledEntryHostsKeepOutcomesTrue(t *testing.T) {
	t.Parallel()
	w := start(t)
	rng := rand.New(rand.NewPCG(1, 1))
	wait := w.load(demand(1, 9*time.Second), repeat())
	for round := range 4 {
		w.pass(time.Duration(300+rng.IntN(700)) * time.Millisecond)
		first := w.Entries[rng.IntN(2)]
		w.must(first.Kill())
		second := w.Entries[2+rng.IntN(2)]
		if round%2 == 1 {
			w.must(second.Kill())
		}
		w.pass(time.Duration(rng.IntN(300)) * time.Millisecond)
		w.restart(first)
		if round%2 == 1 {
			w.restart(second)
		}
	}
	records := wait()
	w.judge(records)
	w.allIdempotentDone(records)
}

// answer is the outcome of one request sent outside of the load.
type answer struct {
	status     int
	outcome    string
	retryAfter string
	body       string
}

// ask sends one request. A nil error means that the entry host answered.
func (w *world) ask(url string, keyed bool) (answer, error) {
	if keyed {
		return w.askKey(url, uuid.NewString(), 1)
	}
	return w.askKey(url, "", 1)
}

// askKey sends a non-idempotent request with the key, or an idempotent one if the key is empty.
func (w *world) askKey(url, key string, attempt int) (answer, error) {
	body := strings.NewReader(`{"run_ms":1,"text":"` + key + `"}`)
	req, err := http.NewRequestWithContext(w.ctx, http.MethodPost, url+"/v1/services/"+services[0]+"/requests", body)
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Tamarack-Idempotent", strconv.FormatBool(key == ""))
	req.Header.Set("Tamarack-Deadline-Ms", "10000")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set("Tamarack-Attempt", strconv.Itoa(attempt))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("Tamarack-Outcome"), resp.Header.Get("Retry-After"), string(text)}, err
}

// served waits until every entry host serves a keyed request, which needs the store.
func (w *world) served() {
	w.t.Helper()
	for _, e := range w.Entries {
		w.until("keyed request through "+e.ID, func() error {
			a, err := w.ask(e.CallerURL(), true)
			if err == nil && a.outcome != string(structs.OutcomeDone) {
				err = fmt.Errorf("%+v", a)
			}
			return err
		})
	}
}

// refusesOnlyKeyed checks what every entry host answers while the store takes no writes.
func (w *world) refusesOnlyKeyed() {
	w.t.Helper()
	for _, e := range w.Entries {
		a, err := w.ask(e.CallerURL(), true)
		w.must(err)
		assert.Equal(w.t, a.status, http.StatusServiceUnavailable, "%s: %+v", e.ID, a)
		assert.Equal(w.t, a.outcome, string(structs.OutcomeNotRun))
		assert.Assert(w.t, a.retryAfter != "")
		a, err = w.ask(e.CallerURL(), false)
		w.must(err)
		assert.Equal(w.t, a.outcome, string(structs.OutcomeDone), "%s: %+v", e.ID, a)
	}
}

// Guards against wrong outcomes while the store is down, slow around the client time-out of 2 s, loses answers,
// drops or refuses writes, and against idempotent requests that need the store or keyed ones dispatched without
// a claim. Ends with recovery (P3, P4, P5).
func TestPlatformFaultsKeepOutcomesTrue(t *testing.T) {
	t.Parallel()
	w := start(t)
	wait := w.load(demand(2, 14*time.Second), repeat())
	steps := []struct {
		faults  memory.Faults
		refuses bool
		length  time.Duration
	}{
		{memory.Faults{Down: true}, true, time.Second},
		{memory.Faults{LoseAnswers: 200}, false, time.Second},
		{memory.Faults{DropWrites: 100}, false, time.Second},
		{memory.Faults{Latency: 1900 * time.Millisecond}, false, 2500 * time.Millisecond},
		{memory.Faults{RefuseWrites: true}, true, time.Second},
		{memory.Faults{Latency: 2100 * time.Millisecond, LoseAnswers: 50}, false, 2500 * time.Millisecond},
		{memory.Faults{Down: true}, true, 500 * time.Millisecond},
	}
	for _, s := range steps {
		w.platformFaults("", s.faults)
		if s.refuses {
			w.refusesOnlyKeyed()
		}
		w.pass(s.length)
	}
	w.platformFaults("", memory.Faults{})
	w.served()
	records := wait()
	w.judge(records)
	w.allIdempotentDone(records)
}

// Guards against wrong outcomes when targets freeze, lose, cross, delay or truncate answers, fail everything, drop
// their connections into silence or are killed and restarted, one after the other and two at once (P3, P4, P5).
func TestFaultyTargetsKeepOutcomesTrue(t *testing.T) {
	t.Parallel()
	w := start(t)
	d := demand(3, 9*time.Second)
	// A keyed request on a broken connection waits for its whole deadline.
	d.Deadline = 12 * time.Second
	wait := w.load(d, repeat())
	faults := []targetserver.Faults{
		{Freeze: true}, {LoseAnswers: true}, {CrossAnswers: true}, {Truncate: true}, {FailAll: true},
		{Delay: 300 * time.Millisecond, CrossAnswers: true}, {Refuse: true},
	}
	for i, f := range faults {
		first, second := w.Targets[i%4], w.Targets[4+(i+1)%4]
		w.must(first.SetFaults(f))
		w.must(second.SetFaults(faults[(i+2)%len(faults)]))
		w.pass(700 * time.Millisecond)
		w.must(first.SetFaults(targetserver.Faults{}))
		w.must(second.SetFaults(targetserver.Faults{}))
		w.must(first.SilenceConnections())
	}
	for _, target := range []int{0, 5, 0} {
		w.killTarget(w.Targets[target])
		w.pass(300 * time.Millisecond)
		w.must(w.Targets[target].Start())
		w.pass(200 * time.Millisecond)
	}
	w.judge(wait())
	w.served()
}

// Guards against a target that attracts work by failing fast: it looks idle all the time. Its share of the
// requests must stay below that of a healthy target. Then all targets fail, which must not eject the pools for good.
func TestFastFailingTargetGetsNoShare(t *testing.T) {
	t.Parallel()
	// Three targets in the pool leave a second one to retry on when one of them is ejected.
	w := start(t, sizes(1, 5))
	failing := w.Targets[0]
	w.must(failing.SetFaults(targetserver.Faults{FailAll: true}))
	d := demand(4, 3*time.Second)
	d.NonIdempotentShare = 0
	d.Services, d.MeanRate = services[:1], 80
	records := w.load(d, repeat())()
	w.judge(records)
	healthy := uint64(math.MaxUint64)
	for _, target := range w.Targets {
		if target != failing && target.Pool == failing.Pool {
			healthy = min(healthy, w.counters(target).Executed)
		}
	}
	failed := w.counters(failing).Failed
	t.Logf("%d requests failed fast, %d went to the healthy target of its pool with the fewest", failed, healthy)
	assert.Assert(t, failed > 0 && failed*2 < healthy)
	for _, target := range w.Targets {
		w.must(target.SetFaults(targetserver.Faults{FailAll: true}))
	}
	before := w.failed()
	sent := uint64(len(w.load(d, loadgen.Options{})()))
	attempts := w.failed() - before
	// Each entry host has a budget of a tenth of its requests, and the burst that was saved up.
	bound := sent + sent/10 + uint64(len(w.Entries)*admission.DefaultRetryBurst)
	t.Logf("all targets fail: %d attempts of %d requests, at most %d", attempts, sent, bound)
	assert.Assert(t, attempts >= sent && attempts <= bound)
	for _, target := range w.Targets {
		w.must(target.SetFaults(targetserver.Faults{}))
	}
	w.served()
}

// failed is the number of requests that all targets failed at once.
func (w *world) failed() uint64 {
	w.t.Helper()
	var n uint64
	for _, target := range w.Targets {
		n += w.counters(target).Failed
	}
	return n
}

// Guards against requests served by another data centre although their own has a target, or although the service
// does not allow it, and against requests lost although it does: one data centre loses all its hosts.
func TestRequestsCrossOnlyWithoutATargetOfTheirOwn(t *testing.T) {
	t.Parallel()
	w := start(t)
	path, err := w.WriteFile("service.yaml", w.declaration("service", services[1], "cross_dc: true", "cross_dc: false"))
	w.must(err)
	w.accept("apply", "--title", "keep "+services[1]+" at home", path)
	w.inEffect()
	began := time.Now()
	d := demand(12, 3*time.Second)
	w.judge(w.load(d, loadgen.Options{Repeat: true, Entries: w.CallerURLs("dc1")})())
	for _, target := range w.Targets[4:] {
		assert.Equal(t, w.executed(target, began), 0, "%s served another data centre", target.Host)
	}
	for _, target := range w.Targets[:4] {
		w.killTarget(target)
		w.must(w.SetHostState(structs.HostState{Name: target.Host, DataCentre: "dc1", Incarnation: 1}))
	}
	for _, e := range w.Entries[:2] {
		w.until("requests of "+e.ID+" cross", func() error {
			a, err := w.ask(e.CallerURL(), false)
			if err == nil && a.outcome != string(structs.OutcomeDone) {
				err = fmt.Errorf("%+v", a)
			}
			return err
		})
	}
	records := w.load(d, loadgen.Options{Entries: w.CallerURLs("dc1")})()
	w.judge(records)
	for _, r := range records {
		want := structs.OutcomeDone
		if r.Arrival.Service == services[1] {
			want = structs.OutcomeNotRun
		}
		assert.Equal(t, r.Outcome, want, "%+v", r)
	}
}

// Guards against connections that were lost by a middlebox and stay in use: they are silent for good while new
// ones work. All targets lose theirs at once, twice; every idempotent request must still be served.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	w := start(t)
	d := demand(5, 6*time.Second)
	d.Deadline = 12 * time.Second
	wait := w.load(d, repeat())
	for range 2 {
		w.pass(1500 * time.Millisecond)
		for _, target := range w.Targets {
			w.must(target.SilenceConnections())
		}
	}
	records := wait()
	w.judge(records)
	w.allIdempotentDone(records)
}

// Guards against "not run" about a key that ran: its first answer was lost, then the store goes down, so that the
// entry host that gets the repetition cannot read the claim (P4).
func TestRepeatedKeyIsNotReportedAsNotRunWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	w := start(t)
	for _, target := range w.Targets {
		w.must(target.SetFaults(targetserver.Faults{LoseAnswers: true}))
	}
	key := uuid.NewString()
	a, err := w.askKey(w.Entries[0].CallerURL(), key, 1)
	w.must(err)
	assert.Equal(t, a.outcome, string(structs.OutcomeUnknown))
	w.platformFaults("", memory.Faults{Down: true})
	for _, e := range w.Entries {
		a, err = w.askKey(e.CallerURL(), key, 2)
		w.must(err)
		assert.Equal(t, a.outcome, string(structs.OutcomeUnknown), "%s: %+v", e.ID, a)
		assert.Assert(t, a.retryAfter != "")
	}
}

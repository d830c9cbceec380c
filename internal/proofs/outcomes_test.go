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

// Guards against a keyed request that is executed twice, a wrong outcome, or the response of another request, when
// entry hosts are killed at random times and callers repeat their requests through the others (P3, P4, P5). Two entry
// hosts are also killed at once, and the same one repeatedly.
func TestKilledEntryHostsKeepOutcomesTrue(t *testing.T) {
	t.Parallel()
	tf := startFleet(t)
	rng := rand.New(rand.NewPCG(1, 1))
	wait := tf.startLoad(mostlyKeyedDemand(1, 9*time.Second), withRepeats())
	for round := range 4 {
		tf.sleep(time.Duration(300+rng.IntN(700)) * time.Millisecond)
		first := tf.Entries[rng.IntN(2)]
		tf.must(first.Kill())
		second := tf.Entries[2+rng.IntN(2)]
		if round%2 == 1 {
			tf.must(second.Kill())
		}
		tf.sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		tf.restart(first)
		if round%2 == 1 {
			tf.restart(second)
		}
	}
	records := wait()
	tf.checkOutcomes(records)
	tf.assertIdempotentDone(records)
}

// response is the answer to a request that a test sends itself, outside of the load.
type response struct {
	status     int
	outcome    string
	retryAfter string
	body       string
}

// sendRequest sends a non-idempotent request with a new idempotency key, or an idempotent one without a key. A nil
// error means that the entry host answered.
func (tf *testFleet) sendRequest(url string, keyed bool) (response, error) {
	if keyed {
		return tf.sendWithKey(url, uuid.NewString(), 1)
	}
	return tf.sendWithKey(url, "", 1)
}

// sendWithKey sends a non-idempotent request with the idempotency key, or an idempotent one if the key is empty.
func (tf *testFleet) sendWithKey(url, key string, attempt int) (response, error) {
	body := strings.NewReader(`{"run_ms":1,"text":"` + key + `"}`)
	req, err := http.NewRequestWithContext(tf.ctx, http.MethodPost, url+"/v1/services/"+services[0]+"/requests", body)
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Tamarack-Idempotent", strconv.FormatBool(key == ""))
	req.Header.Set("Tamarack-Deadline-Ms", "10000")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set("Tamarack-Attempt", strconv.Itoa(attempt))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get("Tamarack-Outcome"), resp.Header.Get("Retry-After"), string(text)}, err
}

// awaitKeyedService waits until every entry host serves a keyed request, for which it must read and write the store.
func (tf *testFleet) awaitKeyedService() {
	tf.t.Helper()
	for _, e := range tf.Entries {
		tf.waitFor("keyed request through "+e.ID, func() error {
			resp, err := tf.sendRequest(e.CallerURL(), true)
			if err == nil && resp.outcome != string(structs.OutcomeDone) {
				err = fmt.Errorf("%+v", resp)
			}
			return err
		})
	}
}

// assertOnlyKeyedRefused checks that, while the store takes no writes, every entry host rejects a keyed request as
// not run with Retry-After, and still serves an idempotent request without a key.
func (tf *testFleet) assertOnlyKeyedRefused() {
	tf.t.Helper()
	for _, e := range tf.Entries {
		resp, err := tf.sendRequest(e.CallerURL(), true)
		tf.must(err)
		assert.Equal(tf.t, resp.status, http.StatusServiceUnavailable, "%s: %+v", e.ID, resp)
		assert.Equal(tf.t, resp.outcome, string(structs.OutcomeNotRun))
		assert.Assert(tf.t, resp.retryAfter != "")
		resp, err = tf.sendRequest(e.CallerURL(), false)
		tf.must(err)
		assert.Equal(tf.t, resp.outcome, string(structs.OutcomeDone), "%s: %+v", e.ID, resp)
	}
}

// Guards against wrong outcomes while the store is down, is slower or a little faster than the client timeout of 2 s,
// loses responses, or drops or refuses writes (P3, P4, P5). Also guards against idempotent requests that depend on the
// store, keyed requests that are dispatched without a claim, and entry hosts that do not recover with the store.
func TestPlatformFaultsKeepOutcomesTrue(t *testing.T) {
	t.Parallel()
	tf := startFleet(t)
	wait := tf.startLoad(mostlyKeyedDemand(2, 14*time.Second), withRepeats())
	steps := []struct {
		faults  memory.Faults
		refuses bool
		length  time.Duration
	}{
		{memory.Faults{Down: true}, true, time.Second},
		{memory.Faults{LoseResponses: 200}, false, time.Second},
		{memory.Faults{DropWrites: 100}, false, time.Second},
		{memory.Faults{Latency: 1900 * time.Millisecond}, false, 2500 * time.Millisecond},
		{memory.Faults{RefuseWrites: true}, true, time.Second},
		{memory.Faults{Latency: 2100 * time.Millisecond, LoseResponses: 50}, false, 2500 * time.Millisecond},
		{memory.Faults{Down: true}, true, 500 * time.Millisecond},
	}
	for _, s := range steps {
		tf.setPlatformFaults("", s.faults)
		if s.refuses {
			tf.assertOnlyKeyedRefused()
		}
		tf.sleep(s.length)
	}
	tf.setPlatformFaults("", memory.Faults{})
	tf.awaitKeyedService()
	records := wait()
	tf.checkOutcomes(records)
	tf.assertIdempotentDone(records)
}

// Guards against wrong outcomes when targets freeze, refuse or fail all requests, lose, delay or truncate responses
// or send that of another request, silence their connections, or are killed and restarted (P3, P4, P5). Faults occur
// one after the other and on two targets at once.
func TestFaultyTargetsKeepOutcomesTrue(t *testing.T) {
	t.Parallel()
	tf := startFleet(t)
	d := mostlyKeyedDemand(3, 9*time.Second)
	// A keyed request whose connection is silent waits until its deadline.
	d.Deadline = 12 * time.Second
	wait := tf.startLoad(d, withRepeats())
	faults := []targetserver.Faults{
		{Freeze: true}, {LoseAnswers: true}, {CrossAnswers: true}, {Truncate: true}, {FailAll: true},
		{Delay: 300 * time.Millisecond, CrossAnswers: true}, {Refuse: true},
	}
	for i, f := range faults {
		first, second := tf.Targets[i%4], tf.Targets[4+(i+1)%4]
		tf.must(first.SetFaults(f))
		tf.must(second.SetFaults(faults[(i+2)%len(faults)]))
		tf.sleep(700 * time.Millisecond)
		tf.must(first.SetFaults(targetserver.Faults{}))
		tf.must(second.SetFaults(targetserver.Faults{}))
		tf.must(first.SilenceConnections())
	}
	for _, target := range []int{0, 5, 0} {
		tf.killTarget(tf.Targets[target])
		tf.sleep(300 * time.Millisecond)
		restarted := tf.Targets[target]
		tf.must(restarted.Start())
		// A process that starts may listen later than the next step of the test uses its control address.
		tf.waitFor("restart of "+restarted.Host, func() error { return restarted.SetFaults(targetserver.Faults{}) })
		tf.sleep(200 * time.Millisecond)
	}
	tf.checkOutcomes(wait())
	tf.awaitKeyedService()
}

// Guards against a target that attracts requests because it fails them fast and therefore looks idle. It must get
// less than half as many requests as any healthy target of its pool. Then all targets fail: retries must stay within
// the retry budget, and the targets must get requests again after they recover.
func TestFastFailingTargetGetsNoShare(t *testing.T) {
	t.Parallel()
	// With three targets in the pool, a retry still has a second target when one of them is ejected.
	tf := startFleet(t, withSizes(1, 5))
	failing := tf.Targets[0]
	tf.must(failing.SetFaults(targetserver.Faults{FailAll: true}))
	d := mostlyKeyedDemand(4, 3*time.Second)
	d.NonIdempotentShare = 0
	d.Services, d.MeanRate = services[:1], 80
	records := tf.startLoad(d, withRepeats())()
	tf.checkOutcomes(records)
	healthy := uint64(math.MaxUint64)
	for _, target := range tf.Targets {
		if target != failing && target.Pool == failing.Pool {
			healthy = min(healthy, tf.counters(target).Executed)
		}
	}
	failed := tf.counters(failing).Failed
	t.Logf("%d requests on the failing target, %d on the healthy target of its pool with the fewest", failed, healthy)
	assert.Assert(t, failed > 0 && failed*2 < healthy)
	for _, target := range tf.Targets {
		tf.must(target.SetFaults(targetserver.Faults{FailAll: true}))
	}
	before := tf.failedRequests()
	sent := uint64(len(tf.startLoad(d, loadgen.Options{})()))
	attempts := tf.failedRequests() - before
	// The retry budget of an entry host is a tenth of its requests, plus the burst that it has saved up before.
	bound := sent + sent/10 + uint64(len(tf.Entries)*admission.DefaultRetryBurst)
	t.Logf("all targets fail: %d attempts of %d requests, at most %d", attempts, sent, bound)
	assert.Assert(t, attempts >= sent && attempts <= bound)
	for _, target := range tf.Targets {
		tf.must(target.SetFaults(targetserver.Faults{}))
	}
	tf.awaitKeyedService()
}

// failedRequests returns the number of requests that the targets have answered with an injected failure.
func (tf *testFleet) failedRequests() uint64 {
	tf.t.Helper()
	var n uint64
	for _, target := range tf.Targets {
		n += tf.counters(target).Failed
	}
	return n
}

// Guards against requests that are served by another data centre although their own has a target or their service
// does not allow it, and against requests that fail although their service allows it. One data centre loses all its
// hosts.
func TestRequestsCrossOnlyWithoutATargetOfTheirOwn(t *testing.T) {
	t.Parallel()
	tf := startFleet(t)
	path, err := tf.WriteFile("service.yaml", tf.editedDeclaration("service", services[1], "cross_dc: true", "cross_dc: false"))
	tf.must(err)
	tf.submitByCommand("apply", "--title", "keep "+services[1]+" at home", path)
	tf.awaitTicketsInEffect()
	began := time.Now()
	d := mostlyKeyedDemand(12, 3*time.Second)
	tf.checkOutcomes(tf.startLoad(d, loadgen.Options{Repeat: true, Entries: tf.CallerURLs("dc1")})())
	for _, target := range tf.Targets[4:] {
		assert.Equal(t, tf.countStartedAfter(target, began), 0, "%s served requests of another data centre", target.Host)
	}
	for _, target := range tf.Targets[:4] {
		tf.killTarget(target)
		tf.must(tf.SetHostState(structs.HostState{Name: target.Host, DataCentre: "dc1", Incarnation: 1}))
	}
	for _, e := range tf.Entries[:2] {
		tf.waitFor("requests of "+e.ID+" served by the other data centre", func() error {
			resp, err := tf.sendRequest(e.CallerURL(), false)
			if err == nil && resp.outcome != string(structs.OutcomeDone) {
				err = fmt.Errorf("%+v", resp)
			}
			return err
		})
	}
	records := tf.startLoad(d, loadgen.Options{Entries: tf.CallerURLs("dc1")})()
	tf.checkOutcomes(records)
	for _, r := range records {
		want := structs.OutcomeDone
		if r.Arrival.Service == services[1] {
			want = structs.OutcomeNotRun
		}
		assert.Equal(t, r.Outcome, want, "%+v", r)
	}
}

// Guards against connections that stay in use after a middlebox has dropped their state: they carry no more data, while
// new connections work. The connections of all targets are silenced at once, twice. Every idempotent request must still
// be served.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	tf := startFleet(t)
	d := mostlyKeyedDemand(5, 6*time.Second)
	d.Deadline = 12 * time.Second
	wait := tf.startLoad(d, withRepeats())
	for range 2 {
		tf.sleep(1500 * time.Millisecond)
		for _, target := range tf.Targets {
			tf.must(target.SilenceConnections())
		}
	}
	records := wait()
	tf.checkOutcomes(records)
	tf.assertIdempotentDone(records)
}

// Guards against the outcome "not run" for a keyed request that was executed (P4). The target's response is lost,
// then the store goes down, so that the entry host that gets the repeated request cannot read the claim.
func TestRepeatedKeyIsNotReportedAsNotRunWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	tf := startFleet(t)
	for _, target := range tf.Targets {
		tf.must(target.SetFaults(targetserver.Faults{LoseAnswers: true}))
	}
	key := uuid.NewString()
	resp, err := tf.sendWithKey(tf.Entries[0].CallerURL(), key, 1)
	tf.must(err)
	assert.Equal(t, resp.outcome, string(structs.OutcomeUnknown))
	tf.setPlatformFaults("", memory.Faults{Down: true})
	for _, e := range tf.Entries {
		resp, err = tf.sendWithKey(e.CallerURL(), key, 2)
		tf.must(err)
		assert.Equal(t, resp.outcome, string(structs.OutcomeUnknown), "%s: %+v", e.ID, resp)
		assert.Assert(t, resp.retryAfter != "")
	}
}

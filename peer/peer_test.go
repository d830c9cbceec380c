package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/entry"
	"github.com/tamarackworks/tamarackworks/fleet"
	"github.com/tamarackworks/tamarackworks/structs"
)

// testNetwork connects services in one process by address. Calls to unresponsive addresses hang until they time out.
type testNetwork struct {
	mu           sync.Mutex
	handlers     map[string]http.Handler
	unresponsive map[string]bool
	// idleCloses counts the calls of CloseIdleConnections.
	idleCloses atomic.Int64
}

// testTransport is the transport for calls to one address.
type testTransport struct {
	network *testNetwork
	address string
}

func (t testTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.network.mu.Lock()
	handler, unresponsive := t.network.handlers[t.address], t.network.unresponsive[t.address]
	t.network.mu.Unlock()
	if handler == nil {
		return nil, syscall.ECONNREFUSED
	}
	if unresponsive {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	rec := httptest.NewRecorder()
	handler.ServeHTTP(rec, req)
	return rec.Result(), nil
}

func (t testTransport) CloseIdleConnections() { t.network.idleCloses.Add(1) }

// testEntry is an entry host without a controller: changes apply directly to its replica.
type testEntry struct {
	*Service
	replica *fleet.Replica
	// published is set once a release is published.
	published atomic.Bool
	// countedTooEarly is set if requests in progress are counted before that.
	countedTooEarly atomic.Bool
	inProgress      atomic.Int64
	// reportedVersion is the last version that a peer reported.
	reportedVersion atomic.Uint64
}

func (e *testEntry) MergeTickets(_ context.Context, t []structs.Ticket) error {
	e.replica.MergeTickets(t)
	return nil
}

func (e *testEntry) MergeAssignments(_ context.Context, a []structs.Assignment) error {
	e.replica.MergeAssignments(a)
	return nil
}

func (e *testEntry) MarkLeaving(_ context.Context, hosts []Leaving) error {
	for _, h := range hosts {
		e.replica.MarkLeaving(h.Host, h.Incarnation, h.Reason)
	}
	return nil
}

func (e *testEntry) Release(_ context.Context, host string, generation uint64) error {
	e.replica.Release(host, generation)
	e.published.Store(true)
	return nil
}

func (e *testEntry) PeerVersion(_ Identity, version uint64) { e.reportedVersion.Store(version) }

func (e *testEntry) InProgress(string) int {
	if !e.published.Load() {
		e.countedTooEarly.Store(true)
	}
	return int(e.inProgress.Load())
}

func (e *testEntry) PoolLoads() []PoolLoad { return []PoolLoad{{Pool: "a", QueuedUrgent: 3}} }
func (e *testEntry) HostLoads() []HostLoad { return nil }

// newEntry adds an entry host of data centre dc1, at an address equal to its id.
func (tn *testNetwork) newEntry(id, token string, peers ...string) *testEntry {
	e := &testEntry{replica: fleet.New(fleet.Options{DataCentre: "dc1"})}
	opts := Options{
		Registration: structs.Registration{Entry: id, DataCentre: "dc1", Incarnation: id + "-1", PeerAddress: id},
		Token:        token, Control: e, Fleet: e.replica, Loads: e,
		Transport: func(address string) http.RoundTripper { return testTransport{tn, address} },
	}
	for _, p := range peers {
		opts.Peers = append(opts.Peers, Identity{Entry: p, DataCentre: "dc1", Address: p})
	}
	e.Service = New(opts)
	tn.mu.Lock()
	defer tn.mu.Unlock()
	_, tn.handlers[id] = e.Handler()
	return e
}

func newTestNetwork() *testNetwork {
	return &testNetwork{handlers: make(map[string]http.Handler), unresponsive: make(map[string]bool)}
}

func (tn *testNetwork) setUnresponsive(address string, unresponsive bool) {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	tn.unresponsive[address] = unresponsive
}

// mergeTestState adds one object, at version 1, and one active host, at generation 4.
func mergeTestState(e *testEntry) {
	e.replica.MergeObjects([]structs.Object{{Kind: structs.KindTeam, Name: "t", Number: 1, Spec: []byte(`{"name":"t"}`)}}, 1)
	e.replica.MergeAssignments([]structs.Assignment{{Host: "h", DataCentre: "dc1", Pool: "a", Phase: structs.PhaseActive, Generation: 4}})
}

// Guards against a release that counts the requests in progress before the view without the host is published: a request
// that starts in between would not be counted.
func TestReleasePublishesBeforeItCounts(t *testing.T) {
	tn := newTestNetwork()
	a, b := tn.newEntry("a", ""), tn.newEntry("b", "")
	b.inProgress.Store(2)
	status, err := a.Service.Release(t.Context(), b.opts.Registration, "h", 5)
	assert.NilError(t, err)
	assert.Assert(t, status.Released && status.InProgress == 2)
	assert.Assert(t, !b.countedTooEarly.Load())
	assert.Equal(t, b.replica.View().Released["h"], uint64(5))
}

// Guards against a release that is meant for one process of an entry host and confirmed by a later process: the later one
// knows nothing about the requests of the first.
func TestReleaseOfAnotherIncarnationIsNotConfirmed(t *testing.T) {
	tn := newTestNetwork()
	a, b := tn.newEntry("a", ""), tn.newEntry("b", "")
	reg := b.opts.Registration
	reg.Incarnation = "older"
	status, err := a.Service.Release(t.Context(), reg, "h", 5)
	assert.NilError(t, err)
	assert.Assert(t, !status.Released)
}

// Guards against peer calls that are accepted without the shared token.
func TestCallsNeedTheToken(t *testing.T) {
	tn := newTestNetwork()
	b := tn.newEntry("b", "secret")
	_, err := tn.newEntry("a", "wrong").Service.Release(t.Context(), b.opts.Registration, "h", 5)
	assert.ErrorIs(t, err, ErrUnreachable)
	_, err = tn.newEntry("c", "secret").Service.Release(t.Context(), b.opts.Registration, "h", 5)
	assert.NilError(t, err)
}

// Guards against a host that is released while a dependent still uses it. A dependent took its state from a peer and is not
// registered yet, so a release does not ask it directly.
func TestReleaseWaitsForDependents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tn := newTestNetwork()
		a, p, d := tn.newEntry("a", ""), tn.newEntry("p", ""), tn.newEntry("d", "", "p")
		mergeTestState(p)
		states, err := d.States(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, d.replica.Restore(states[0]))
		d.inProgress.Store(1)
		status, err := a.Service.Release(t.Context(), p.opts.Registration, "h", 5)
		assert.NilError(t, err)
		assert.Assert(t, status.Released && status.InProgress == 1)
		assert.Equal(t, d.replica.View().Released["h"], uint64(5))
		tn.setUnresponsive("d", true)
		status, err = p.Service.Release(t.Context(), p.opts.Registration, "h", 6)
		assert.NilError(t, err)
		assert.Assert(t, !status.Released, "the release is confirmed although a dependent does not answer")
		tn.setUnresponsive("d", false)
		_, err = p.Service.Release(t.Context(), p.opts.Registration, "h", 6)
		assert.NilError(t, err)
		p.DropDependents(func(structs.Registration) bool { return true })
		tn.setUnresponsive("d", true)
		status, err = p.Service.Release(t.Context(), p.opts.Registration, "h", 6)
		assert.NilError(t, err)
		assert.Assert(t, !status.Released, "a dependent that had answered was dropped because of the platform's list")
		p.SetRegistered("dc1", []structs.Registration{d.opts.Registration})
		status, err = a.Service.Release(t.Context(), p.opts.Registration, "h", 6)
		assert.NilError(t, err)
		assert.Assert(t, status.Released)
	})
}

// Guards against releases that are blocked forever by a dependent whose machine is gone.
func TestGoneDependentsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tn := newTestNetwork()
		p, d := tn.newEntry("p", ""), tn.newEntry("d", "", "p")
		mergeTestState(p)
		_, err := d.States(t.Context())
		assert.NilError(t, err)
		tn.setUnresponsive("d", true)
		_, err = p.Service.Release(t.Context(), p.opts.Registration, "h", 5)
		assert.NilError(t, err)
		p.DropDependents(func(structs.Registration) bool { return true })
		status, err := p.Service.Release(t.Context(), p.opts.Registration, "h", 5)
		assert.NilError(t, err)
		assert.Assert(t, status.Released)
	})
}

// Guards against a transferred state that shows a host as usable although the peer that sent it had confirmed its release.
func TestStateContainsConfirmedReleases(t *testing.T) {
	tn := newTestNetwork()
	p, d := tn.newEntry("p", ""), tn.newEntry("d", "", "p")
	mergeTestState(p)
	_, err := p.Service.Release(t.Context(), p.opts.Registration, "h", 5)
	assert.NilError(t, err)
	states, err := d.States(t.Context())
	assert.NilError(t, err)
	assert.NilError(t, d.replica.Restore(states[0]))
	a := d.replica.View().Assignments["h"]
	assert.Equal(t, a.Phase, structs.PhaseReleasing)
	assert.Equal(t, a.Generation, uint64(5))
}

// Guards against calls that wait forever on a connection whose state a middlebox has lost, and against later calls that use
// another idle connection to the same peer.
func TestUnresponsiveConnectionsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tn := newTestNetwork()
		a, b := tn.newEntry("a", "", "b"), tn.newEntry("b", "")
		tn.setUnresponsive("b", true)
		began := time.Now()
		_, err := a.Service.Release(t.Context(), b.opts.Registration, "h", 5)
		assert.ErrorIs(t, err, ErrUnreachable)
		assert.Equal(t, time.Since(began), CallTimeout)
		assert.Equal(t, tn.idleCloses.Load(), int64(1))
	})
}

// Guards against a peer that still counts as alive after its heartbeats have stopped, or never again after a partition has
// ended.
func TestHeartbeatsFollowPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tn := newTestNetwork()
		a, b := tn.newEntry("a", "", "b"), tn.newEntry("b", "")
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { a.Run(ctx) })
		wg.Go(func() { b.Run(ctx) })
		mergeTestState(b)
		time.Sleep(time.Second + time.Millisecond)
		assert.Equal(t, a.LiveEntries(), 2)
		assert.Equal(t, b.Peers()[0].Pools[0].QueuedUrgent, 3)
		assert.Equal(t, a.reportedVersion.Load(), uint64(1))
		peerB := a.Peers()[0].Identity
		assert.Assert(t, !a.InEffectSince(peerB, 1).IsZero())
		assert.Assert(t, a.InEffectSince(peerB, 2).IsZero())
		tn.setUnresponsive("b", true)
		tn.setUnresponsive("a", true)
		time.Sleep(LocalTTL + CallTimeout)
		assert.Equal(t, a.LiveEntries(), 1)
		tn.setUnresponsive("b", false)
		tn.setUnresponsive("a", false)
		time.Sleep(2 * CallTimeout)
		assert.Equal(t, b.LiveEntries(), 2)
		cancel()
		wg.Wait()
	})
}

// Guards against a compressor that keeps its writer between messages, which takes 1 MB for each peer.
func TestCompressorsShareWriters(t *testing.T) {
	for range 2 {
		c := &pooledCompressor{}
		var out bytes.Buffer
		c.Reset(&out)
		_, err := c.Write([]byte("load"))
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		c.Reset(io.Discard)
		assert.Assert(t, c.w == nil)
		r, err := gzip.NewReader(&out)
		assert.NilError(t, err)
		text, err := io.ReadAll(r)
		assert.NilError(t, err)
		assert.Equal(t, string(text), "load")
	}
}

// forwardFunc is a ForwardHandler.
type forwardFunc func(entry.ForwardRequest) entry.ForwardResponse

func (f forwardFunc) ServeForwarded(_ context.Context, req entry.ForwardRequest) entry.ForwardResponse {
	return f(req)
}

// Guards against a forwarded request that is rejected because the first entry host that is tried is down, although another
// one would serve it.
func TestForwardTriesAnotherEntryHost(t *testing.T) {
	tn := newTestNetwork()
	a, up := tn.newEntry("a", ""), tn.newEntry("up", "")
	up.opts.Forward = forwardFunc(func(entry.ForwardRequest) entry.ForwardResponse {
		return entry.ForwardResponse{Outcome: structs.OutcomeDone, Status: http.StatusOK}
	})
	for _, id := range []string{"down", "up"} {
		a.recordContact(Identity{Entry: id, DataCentre: "dc2", Incarnation: id + "-1", Address: id}, 0, nil, nil)
	}
	for range 20 {
		resp, err := a.Forward(t.Context(), entry.ForwardRequest{Service: "s", DeadlineMS: 60000})
		assert.NilError(t, err)
		assert.Equal(t, resp.Outcome, structs.OutcomeDone)
	}
}

package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/fleet"
	"github.com/tamarackworks/tamarackworks/leader"
	"github.com/tamarackworks/tamarackworks/membership"
	"github.com/tamarackworks/tamarackworks/peer"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
	"github.com/tamarackworks/tamarackworks/ticket"
)

// testCluster runs entry hosts in one process on an in-memory platform. A call between two of them hangs until its
// context ends if isBlocked returns true.
type testCluster struct {
	t            *testing.T
	platform     *memory.Platform
	mu           sync.Mutex
	entryHosts   map[string]*entryHost
	isBlocked    func(from, to, path string) bool
	waves        Waves
	incarnations map[string]uint64
	// registry, if set, receives the metrics of an entry host.
	registry   prometheus.Registerer
	discardLog log.Interface
}

// entryHost is one process of the cluster and the load that it reports.
type entryHost struct {
	*Controller
	fleet   *fleet.Replica
	handle  *memory.Handle
	handler http.Handler
	stopped bool
	mu      sync.Mutex
	// requests holds, by host, the pools of the requests in progress.
	requests map[string][]string
}

// InProgress implements peer.Loads.
func (e *entryHost) InProgress(host string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests[host])
}

func newTestCluster(t *testing.T) *testCluster {
	tc := &testCluster{t: t, platform: memory.New(memory.Options{}), entryHosts: make(map[string]*entryHost), incarnations: make(map[string]uint64), discardLog: &log.Logger{Handler: discard.New()}}
	for i := range 4 {
		tc.platform.SetHost(structs.HostState{Name: fmt.Sprintf("h%d", i), DataCentre: "dc1", Incarnation: 1, Live: true})
	}
	return tc
}

// clusterTransport carries calls between two entry hosts of a cluster.
type clusterTransport struct {
	cluster  *testCluster
	from, to string
}

func (t clusterTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.cluster.mu.Lock()
	to := t.cluster.entryHosts[t.to]
	blocked := to == nil || to.stopped || t.cluster.isBlocked != nil && t.cluster.isBlocked(t.from, t.to, req.URL.Path)
	t.cluster.mu.Unlock()
	if blocked {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	rec := httptest.NewRecorder()
	to.handler.ServeHTTP(rec, req)
	return rec.Result(), nil
}

func (e *entryHost) PoolLoads() []peer.PoolLoad { return nil }
func (e *entryHost) HostLoads() []peer.HostLoad { return nil }

type planFunc func(view *structs.View) []Move

func (f planFunc) Plan(view *structs.View, _ []peer.Status, _ time.Time) []Move { return f(view) }

// start starts an entry host. Its name, <dc>-<number>, is also its address. peerNames are the peers in its settings.
func (tc *testCluster) start(name string, h *memory.Handle, plan planFunc, peerNames ...string) *entryHost {
	dc, _, _ := strings.Cut(name, "-")
	e := &entryHost{fleet: fleet.New(fleet.Options{DataCentre: dc}), handle: h, requests: make(map[string][]string)}
	tc.incarnations[name]++
	incarnation := tc.incarnations[name]
	tc.platform.SetHost(structs.HostState{Name: "m-" + name, DataCentre: dc, Incarnation: incarnation, Live: true})
	reg := structs.Registration{
		Entry: name, DataCentre: dc, Incarnation: fmt.Sprintf("%s/%d", name, incarnation), PeerAddress: name,
		Host: "m-" + name, HostIncarnation: incarnation,
	}
	lease := leader.New(leader.Options{Table: h, DataCentre: dc, Holder: name, Log: tc.discardLog})
	opts := Options{Registration: reg, Table: h, Hosts: h, Fleet: e.fleet, Leader: lease, Log: tc.discardLog}
	if plan != nil {
		opts.Planner = plan
	}
	e.Controller = New(opts)
	var peers []peer.Identity
	for _, peerName := range peerNames {
		peerDC, _, _ := strings.Cut(peerName, "-")
		peers = append(peers, peer.Identity{Entry: peerName, DataCentre: peerDC, Address: peerName})
	}
	s := peer.New(peer.Options{
		Registration: reg, Peers: peers, Control: e.Controller, Fleet: e.fleet, Loads: e, Log: tc.discardLog,
		Transport: func(address string) http.RoundTripper { return clusterTransport{tc, name, address} },
	})
	_, e.handler = s.Handler()
	e.Connect(s, membership.New(membership.Options{
		Table: h, Hosts: h, DataCentre: dc, Leadership: lease, Releaser: s, OnWrite: e.AssignmentsWritten, Log: tc.discardLog,
	}), tc.waves)
	tc.mu.Lock()
	tc.entryHosts[name] = e
	tc.mu.Unlock()
	e.opts.Registerer = tc.registry
	assert.NilError(tc.t, e.Provision(nil))
	assert.NilError(tc.t, e.Start(tc.t.Context()))
	return e
}

// kill ends a process without a graceful stop, and its requests with it.
func (tc *testCluster) kill(e *entryHost) {
	tc.mu.Lock()
	e.stopped = true
	tc.mu.Unlock()
	e.cancel()
	// The loop starts background work, so it has to end first.
	<-e.done
	e.background.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = make(map[string][]string)
}

// stop ends all faults and stops the running processes gracefully.
func (tc *testCluster) stop() {
	tc.platform.SetFaults(memory.Faults{})
	for _, e := range tc.entryHosts {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		if !e.stopped {
			e.handle.SetFaults(memory.Faults{})
			assert.NilError(tc.t, e.Stop(ctx))
		}
		cancel()
	}
}

// submit submits a ticket and returns its number. The entry host via, if not nil, merges and pushes it.
func (tc *testCluster) submit(via *entryHost, objects ...structs.TicketObject) uint64 {
	tc.t.Helper()
	tk := structs.Ticket{ID: fmt.Sprint(time.Now().UnixNano()), Title: "test", Author: "test", Objects: objects}
	number, err := ticket.Submit(tc.t.Context(), tc.platform.Handle(), tk)
	assert.NilError(tc.t, err)
	accepted, err := ticket.Get(tc.t.Context(), tc.platform.Handle(), number)
	assert.NilError(tc.t, err)
	if via != nil {
		via.TicketAccepted(accepted)
	}
	return number
}

// object returns the declaration of an object in a ticket. base is the number of the ticket that last changed
// it, 0 for a new object.
func object(kind structs.Kind, name string, base uint64, spec any) structs.TicketObject {
	data, _ := json.Marshal(spec)
	return structs.TicketObject{Kind: kind, Name: name, Base: base, Spec: data}
}

// declarations declares a service with pools a and b, and four hosts that alternate between them.
func declarations() []structs.TicketObject {
	objects := []structs.TicketObject{
		object(structs.KindService, "s", 0, structs.Service{Name: "s"}),
		object(structs.KindPool, "a", 0, structs.Pool{Name: "a", DataCentre: "dc1", Service: "s", MaxUnavailable: 1}),
		object(structs.KindPool, "b", 0, structs.Pool{Name: "b", DataCentre: "dc1", Service: "s", MaxUnavailable: 1}),
	}
	for i := range 4 {
		h := host(i, []string{"a", "b"}[i%2])
		objects = append(objects, object(structs.KindHost, h.Name, 0, h))
	}
	return objects
}

func host(i int, pool string) structs.Host {
	return structs.Host{Name: fmt.Sprintf("h%d", i), DataCentre: "dc1", Rack: "r", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Pool: pool}
}

// runWithCluster runs a test in synthetic time on a cluster with the declarations.
func runWithCluster(t *testing.T, test func(t *testing.T, tc *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		tc.submit(nil, declarations()...)
		test(t, tc)
	})
}

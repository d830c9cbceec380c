package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/leader"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
)

// testEnv is a data centre with pools a, b and c, hosts and fake entry hosts.
type testEnv struct {
	platform *memory.Platform
	mu       sync.Mutex
	entries  map[string]*fakeEntry
	failure  string
}

// fakeEntry is an entry host that uses every host that is active in its copy of the assignments, which may be outdated.
// A frozen entry host does not answer or send for a while, a dead one never again.
type fakeEntry struct {
	reg              structs.Registration
	frozen           bool
	dead             bool
	knownAssignments map[string]structs.Assignment
	released         map[string]uint64
	// requests holds, by host, the pool of each request in progress.
	requests map[string][]string
}

func newTestEnv(t *testing.T, hosts int) *testEnv {
	env := &testEnv{platform: memory.New(memory.Options{RebootTime: 5 * time.Second}), entries: make(map[string]*fakeEntry)}
	h := env.platform.Handle()
	for _, pool := range []structs.Pool{{Name: "a", MaxUnavailable: 1}, {Name: "b", MaxUnavailable: 1}, {Name: "c", MaxUnavailable: 2}} {
		pool.DataCentre = "dc1"
		spec, _ := json.Marshal(pool)
		op := putOp("object/pool/"+pool.Name, structs.Object{Kind: structs.KindPool, Name: pool.Name, Number: 1, Spec: spec})
		_, err := h.Commit(t.Context(), cloud.Txn{Ops: []cloud.Op{op}})
		assert.NilError(t, err)
	}
	for i := range hosts {
		a := structs.Assignment{Host: fmt.Sprintf("h%d", i), DataCentre: "dc1", Pool: []string{"a", "b", "c"}[i%3], Phase: structs.PhaseActive, Generation: 1, Incarnation: 1}
		a.Home = a.Pool
		_, err := h.Commit(t.Context(), cloud.Txn{Ops: []cloud.Op{putOp("assign/dc1/"+a.Host, a)}})
		assert.NilError(t, err)
		env.platform.SetHost(structs.HostState{Name: a.Host, DataCentre: "dc1", Incarnation: 1, Live: true})
	}
	return env
}

// addEntry starts an entry host, which registers and then reads the assignments.
func (env *testEnv) addEntry(id string, incarnation uint64) {
	machine := "m-" + id
	reg := structs.Registration{Entry: id, DataCentre: "dc1", Incarnation: fmt.Sprintf("%s-%d", id, incarnation), PeerAddress: id, Host: machine, HostIncarnation: incarnation}
	env.platform.SetHost(structs.HostState{Name: machine, Incarnation: incarnation, Live: true})
	r := Registrar{Table: env.platform.Handle(), Hosts: env.platform.Handle(), Registration: reg}
	if err := r.Register(context.Background()); err != nil {
		return
	}
	e := &fakeEntry{reg: reg, knownAssignments: env.assignments(), released: make(map[string]uint64), requests: make(map[string][]string)}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.entries[reg.Incarnation] = e
}

func (env *testEnv) assignments() map[string]structs.Assignment {
	rows, _ := env.platform.Handle().List(context.Background(), "assign/dc1/", "", 1000)
	out := make(map[string]structs.Assignment)
	for _, row := range rows {
		var a structs.Assignment
		_ = json.Unmarshal(row.Value, &a)
		out[a.Host] = a
	}
	return out
}

// send starts a request for the pool to which the host belongs according to the entry host. It records a failure if the
// host is in use for another pool or moved to another pool.
func (env *testEnv) send(e *fakeEntry, host string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	a := e.knownAssignments[host]
	if e.frozen || e.dead || a.Phase != structs.PhaseActive || e.released[host] >= a.Generation {
		return
	}
	for _, other := range env.entries {
		for _, pool := range other.requests[host] {
			if pool != a.Pool && !other.dead {
				env.failure = fmt.Sprintf("%s is used for pools %s and %s at once", host, pool, a.Pool)
			}
		}
	}
	if cur := env.assignments()[host]; cur.Pool != a.Pool {
		env.failure = fmt.Sprintf("request of pool %s to %s after it moved to %s", a.Pool, host, cur.Pool)
	}
	e.requests[host] = append(e.requests[host], a.Pool)
}

// answer ends the requests of an entry host to a host.
func (env *testEnv) answer(e *fakeEntry, host string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	e.requests[host] = nil
}

// refresh makes an entry host read the current assignments.
func (env *testEnv) refresh(e *fakeEntry) {
	rows := env.assignments()
	env.mu.Lock()
	defer env.mu.Unlock()
	if !e.frozen {
		e.knownAssignments = rows
	}
}

// Release implements Releaser. Frozen and dead entry hosts do not answer.
func (env *testEnv) Release(_ context.Context, reg structs.Registration, host string, generation uint64) (ReleaseStatus, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, e := range env.entries {
		if e.reg.PeerAddress == reg.PeerAddress && !e.dead && !e.frozen {
			e.released[host] = max(e.released[host], generation)
			return ReleaseStatus{Released: true, InProgress: len(e.requests[host]), Incarnation: e.reg.Incarnation}, nil
		}
	}
	return ReleaseStatus{}, errors.New("timeout")
}

// checkInvariants returns a violation, empty if there is none: the hosts out of service exceed a budget, or a request of
// a running entry host is in progress for another pool than the current one.
func (env *testEnv) checkInvariants() string {
	rows := env.assignments()
	env.mu.Lock()
	defer env.mu.Unlock()
	out := map[string]int{}
	for host, a := range rows {
		if a.Phase != structs.PhaseActive {
			out[a.Pool]++
		}
		for _, e := range env.entries {
			for _, pool := range e.requests[host] {
				if !e.dead && pool != a.Pool {
					return fmt.Sprintf("request of pool %s in progress on %s, which moved to %s", pool, host, a.Pool)
				}
			}
		}
	}
	if out["a"] > 1 || out["b"] > 1 || out["c"] > 2 {
		return fmt.Sprintf("planned steps exceed a budget: %v", out)
	}
	return env.failure
}

type fixedLeadership struct{ lease leader.Lease }

func (f *fixedLeadership) Lead() (leader.Lease, bool) { return f.lease, true }

func discardLog() log.Interface { return &log.Logger{Handler: discard.New()} }

// newLeader takes the fence over, as a new leader does, and returns its Membership and its table.
func (env *testEnv) newLeader() (*Membership, *memory.Handle) {
	h := env.platform.Handle()
	version, _ := h.Commit(context.Background(), cloud.Txn{Ops: []cloud.Op{{Key: "fence/dc1", Value: []byte("{}")}}})
	m := New(Options{Table: h, Hosts: h, DataCentre: "dc1", Releaser: env, Log: discardLog(),
		Leadership: &fixedLeadership{lease: leader.Lease{Fence: cloud.Precondition{Key: "fence/dc1", Version: version}}}})
	return m, h
}

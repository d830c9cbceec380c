package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/structs"
)

// testInput is everything that the replicas of a run may merge. As in production, each incarnation of a host has one
// state and each generation one assignment.
type testInput struct {
	tickets     []structs.Ticket
	assignments []structs.Assignment
	states      []structs.HostState
	leaving     []structs.HostState
	released    []structs.Assignment
}

func drawInput(t *rapid.T) *testInput {
	in := &testInput{}
	hosts := []string{"h0", "h1", "h2", "h3"}
	pools := rapid.SampledFrom([]string{"p0", "p1", "p2"})
	centres := rapid.SampledFrom([]string{"dc1", "dc1", "dc1", "dc2"})
	for number := range rapid.IntRange(1, 12).Draw(t, "tickets") {
		var objects []structs.TicketObject
		for range rapid.IntRange(1, 3).Draw(t, "objects") {
			o := putObject(structs.KindDrain, rapid.SampledFrom(hosts).Draw(t, "drain"), structs.Drain{})
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				o = putObject(structs.KindPool, pools.Draw(t, "pool"), structs.Pool{DataCentre: centres.Draw(t, "dc"), Service: rapid.SampledFrom([]string{"", "web", "api"}).Draw(t, "service")})
			case 1, 2:
				o = putObject(structs.KindHost, o.Name, structs.Host{DataCentre: centres.Draw(t, "dc"), Pool: pools.Draw(t, "home"), Slots: number})
			}
			if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
				o.Delete, o.Spec = true, nil
			}
			if !slices.ContainsFunc(objects, func(p structs.TicketObject) bool { return p.Kind == o.Kind && p.Name == o.Name }) {
				objects = append(objects, o)
			}
		}
		in.tickets = append(in.tickets, structs.Ticket{Number: uint64(number + 1), Objects: objects})
	}
	phase := rapid.SampledFrom([]structs.Phase{structs.PhaseActive, structs.PhaseActive, structs.PhaseReleasing, structs.PhaseDown})
	for _, host := range hosts {
		for i := range rapid.Uint64Range(0, 3).Draw(t, "events") {
			in.assignments = append(in.assignments, structs.Assignment{
				Host: host, DataCentre: centres.Draw(t, "dc"), Pool: pools.Draw(t, "pool"), Phase: phase.Draw(t, "phase"),
				Generation: i + 1, Incarnation: rapid.Uint64Range(0, 3).Draw(t, "boot"),
			})
			in.states = append(in.states, structs.HostState{
				Name: host, DataCentre: "dc1", Incarnation: i, Live: rapid.Bool().Draw(t, "live"), Leaving: rapid.IntRange(0, 3).Draw(t, "leaves") == 0,
			})
			if rapid.IntRange(0, 2).Draw(t, "leaving") == 0 {
				in.leaving = append(in.leaving, structs.HostState{Name: host, Incarnation: rapid.Uint64Range(0, 3).Draw(t, "mark")})
			}
			if rapid.IntRange(0, 2).Draw(t, "release") == 0 {
				in.released = append(in.released, structs.Assignment{Host: host, Generation: rapid.Uint64Range(0, 4).Draw(t, "generation")})
			}
		}
	}
	return in
}

// event is one call of a replica. tickets and version say what the call delivers.
type event struct {
	apply   func(r *Replica)
	tickets []structs.Ticket
	version uint64
}

func (in *testInput) ticketEvent(tickets ...structs.Ticket) event {
	return event{apply: func(r *Replica) { r.MergeTickets(tickets) }, tickets: tickets}
}

// allEvents returns events that deliver each part of the input once.
func (in *testInput) allEvents() []event {
	var events []event
	add := func(apply func(r *Replica)) { events = append(events, event{apply: apply}) }
	for _, t := range in.tickets {
		events = append(events, in.ticketEvent(t))
	}
	for _, a := range in.assignments {
		add(func(r *Replica) { r.MergeAssignments([]structs.Assignment{a}) })
	}
	for _, s := range in.states {
		add(func(r *Replica) { r.SetHostStates([]structs.HostState{s}) })
	}
	for _, l := range in.leaving {
		add(func(r *Replica) { r.MarkLeaving(l.Name, l.Incarnation, "test") })
	}
	for _, a := range in.released {
		add(func(r *Replica) { r.Release(a.Host, a.Generation) })
	}
	return events
}

// extraEvents returns duplicates, batches, snapshots read from the table and states of other replicas.
func (in *testInput) extraEvents(t *rapid.T) []event {
	var events []event
	for range rapid.IntRange(0, 6).Draw(t, "extra") {
		to := rapid.IntRange(0, len(in.tickets)).Draw(t, "to")
		other := New(Options{DataCentre: "dc1"})
		other.MergeTickets(in.tickets[:to])
		switch rapid.IntRange(0, 3).Draw(t, "form") {
		case 0:
			events = append(events, in.ticketEvent(in.tickets[:to]...))
		case 1:
			// Rows are read after the head and may be newer.
			version := uint64(rapid.IntRange(0, to).Draw(t, "head"))
			merge := func(r *Replica) { r.MergeObjects(slices.Collect(maps.Values(other.objects)), version) }
			events = append(events, event{apply: merge, version: version})
		case 2:
			other.MergeAssignments(in.assignments[:rapid.IntRange(0, len(in.assignments)).Draw(t, "rows")])
			// The state of a replica without tickets is empty, so Restore rejects it.
			state := other.Snapshot()
			events = append(events, event{apply: func(r *Replica) { _ = r.Restore(state) }, version: uint64(to)})
		default:
			events = append(events, rapid.SampledFrom(in.allEvents()).Draw(t, "again"))
		}
	}
	return events
}

// applyInRandomOrder applies events to a new replica in a random order and checks after each that no version, object,
// assignment or host state is replaced by an older one.
func applyInRandomOrder(t *rapid.T, events []event, name string) *Replica {
	now := time.Unix(0, 0)
	r := New(Options{DataCentre: "dc1", Now: func() time.Time { now = now.Add(1); return now }})
	r.MergeAssignments(nil)
	got := make(map[uint64]bool)
	var version, last uint64
	published := make(map[*structs.View]string)
	for _, e := range rapid.Permutation(events).Draw(t, name) {
		before, numbers := r.View(), maps.Clone(r.objects)
		published[before] = string(encode(before))
		e.apply(r)
		for _, t := range e.tickets {
			got[t.Number] = true
			last = max(last, t.Number)
		}
		version = max(version, e.version)
		for got[version+1] {
			version++
		}
		var missing []uint64
		for n := version + 1; n < last; n++ {
			if !got[n] {
				missing = append(missing, n)
			}
		}
		assert.Equal(t, r.Version(), version)
		assert.DeepEqual(t, r.Missing(), missing)
		for id, o := range numbers {
			assert.Assert(t, r.objects[id].Number >= o.Number, "%v was replaced by an older version", id)
		}
		for host, a := range before.Assignments {
			assert.Assert(t, r.View().Assignments[host].Generation >= a.Generation, "%s was replaced by an older one", host)
		}
		for host, s := range before.States {
			assert.Assert(t, r.View().States[host].Incarnation >= s.Incarnation, "%s was replaced by an older one", host)
		}
	}
	for view, content := range published {
		assert.Equal(t, string(encode(view)), content, "a published view changed")
	}
	for n := range version {
		assert.Assert(t, !r.InEffectSince(n).IsZero() && !r.InEffectSince(n+1).Before(r.InEffectSince(n)))
	}
	assert.Assert(t, r.InEffectSince(version+1).IsZero())
	return r
}

// expectedTarget returns the pool and service of a host, empty if it is not usable. It evaluates the definition of a
// usable host over the whole input.
func (in *testInput) expectedTarget(name string) (pool, service string) {
	declared := func(kind structs.Kind, name string) (o structs.TicketObject, ok bool) {
		for _, t := range in.tickets {
			if i := slices.IndexFunc(t.Objects, func(p structs.TicketObject) bool { return p.Kind == kind && p.Name == name }); i >= 0 {
				o, ok = t.Objects[i], !t.Objects[i].Delete
			}
		}
		return o, ok
	}
	object, ok := declared(structs.KindHost, name)
	if _, drained := declared(structs.KindDrain, name); !ok || drained {
		return "", ""
	}
	host, p := structs.Host{}, structs.Pool{}
	_ = json.Unmarshal(object.Spec, &host)
	current := structs.Assignment{}
	for _, a := range in.assignments {
		if a.Host == name && a.DataCentre == "dc1" {
			current = a
		}
	}
	state := structs.HostState{Live: true}
	left := false
	for _, s := range in.states {
		if s.Name == name && s.Incarnation >= current.Incarnation {
			state = s
		}
	}
	newest := max(state.Incarnation, current.Incarnation)
	for _, s := range in.states {
		left = left || s.Name == name && s.Leaving && s.Incarnation >= newest
	}
	for _, l := range in.leaving {
		left = left || l.Name == name && l.Incarnation >= newest
	}
	for _, a := range in.released {
		left = left || a.Host == name && a.Generation >= current.Generation
	}
	object, ok = declared(structs.KindPool, current.Pool)
	_ = json.Unmarshal(object.Spec, &p)
	if left || !ok || !state.Live || current.Phase != structs.PhaseActive || host.DataCentre != "dc1" || p.DataCentre != "dc1" {
		return "", ""
	}
	return current.Pool, p.Service
}

// Guards against merges whose result depends on the order, repetition, gaps or batches of their input, that restore old
// state or deleted objects, or that list hosts which must not be used.
func TestMergeIsOrderIndependentAndMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		a := applyInRandomOrder(t, append(in.allEvents(), in.extraEvents(t)...), "first order")
		b := applyInRandomOrder(t, append(in.allEvents(), in.extraEvents(t)...), "second order")
		assert.DeepEqual(t, a.View(), b.View())
		assert.DeepEqual(t, a.Snapshot(), b.Snapshot())
		pools, services := make(map[string][]string), make(map[string][]string)
		for _, name := range []string{"h0", "h1", "h2", "h3"} {
			pool, service := in.expectedTarget(name)
			pools[pool] = append(pools[pool], name)
			services[service] = append(services[service], name)
		}
		assertTargets(t, a.View().TargetsByPool, pools)
		assertTargets(t, a.View().TargetsByService, services)
		c := New(Options{DataCentre: "dc1"})
		assert.NilError(t, c.Restore(a.Snapshot()))
		assert.DeepEqual(t, c.Snapshot(), a.Snapshot())
		published := a.View()
		a.MergeTickets(in.tickets)
		assert.Assert(t, a.View() == published)
	})
}

// assertTargets compares target lists with the expected host names. Hosts under the empty name are in no list.
func assertTargets(t *rapid.T, got map[string][]*structs.Host, want map[string][]string) {
	delete(want, "")
	assert.Equal(t, len(got), len(want))
	for list, hosts := range got {
		assert.DeepEqual(t, hostNames(hosts), want[list])
	}
}

// Guards against merging a state that was damaged in transit.
func TestRestoreRefusesDamagedState(t *testing.T) {
	r := newSmallReplica()
	for i := range 4 {
		state := r.Snapshot()
		switch i {
		case 0:
			state.Objects[2].Value[5]++
		case 1:
			state.Objects = state.Objects[1:]
		case 2:
			state.Version++
		case 3:
			state.Objects[0].Number, state.Objects[0].Deleted = 7, true
		}
		other := New(Options{DataCentre: "dc1"})
		assert.ErrorIs(t, other.Restore(state), ErrDigest)
		state.Digest = state.ComputeDigest()
		if i == 0 || i == 3 {
			assert.ErrorIs(t, other.Restore(state), ErrMalformed)
			assert.Assert(t, !other.Ready() && other.Version() == 0)
		}
	}
}

// Guards against a ticket history that grows without bound or returns tickets in the wrong order.
func TestTicketHistoryIsBounded(t *testing.T) {
	r := New(Options{DataCentre: "dc1", TicketHistory: 3, TicketHistoryBytes: 100})
	for _, n := range []uint64{5, 2, 4, 1, 3, 3} {
		r.MergeTickets([]structs.Ticket{{Number: n}})
	}
	numbers := func(after uint64, limit int) string {
		list := ""
		for _, t := range r.Tickets(after, limit) {
			list += fmt.Sprint(t.Number)
		}
		return list
	}
	assert.Equal(t, numbers(0, 10), "345")
	assert.Equal(t, numbers(3, 1), "4")
	for n := uint64(6); n < 8; n++ {
		r.MergeTickets([]structs.Ticket{{Number: n, Title: string(make([]byte, 60))}})
	}
	assert.Equal(t, numbers(0, 10), "7")
}

package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/structs"
)

func encodeSpec(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func putObject(kind structs.Kind, name string, v any) structs.TicketObject {
	return structs.TicketObject{Kind: kind, Name: name, Spec: encodeSpec(v)}
}

func hostNames(hosts []*structs.Host) []string {
	list := []string{}
	for _, h := range hosts {
		list = append(list, h.Name)
	}
	return list
}

// newSmallReplica returns a replica with service web, pool p1 of web, spare pool p2 and hosts h0 to h3 of p1.
func newSmallReplica() *Replica {
	r := New(Options{DataCentre: "dc1", Now: func() time.Time { return time.Unix(100, 0) }})
	objects := []structs.TicketObject{
		putObject(structs.KindService, "web", structs.Service{}),
		putObject(structs.KindPool, "p1", structs.Pool{DataCentre: "dc1", Service: "web"}),
		putObject(structs.KindPool, "p2", structs.Pool{DataCentre: "dc1", Spare: true}),
	}
	for i := range 4 {
		objects = append(objects, putObject(structs.KindHost, fmt.Sprintf("h%d", i), structs.Host{DataCentre: "dc1", Pool: "p1"}))
	}
	r.MergeTickets([]structs.Ticket{{Number: 1, Objects: objects}})
	var assignments []structs.Assignment
	for i := range 4 {
		assignments = append(assignments, structs.Assignment{
			Host: fmt.Sprintf("h%d", i), DataCentre: "dc1", Pool: "p1", Phase: structs.PhaseActive, Generation: 1,
		})
	}
	r.MergeAssignments(assignments)
	return r
}

// Guards against a host that stays in the target lists although it is down, leaving, in another pool or drained, and
// against one that does not return to them afterwards.
func TestUsableHosts(t *testing.T) {
	r := newSmallReplica()
	check := func(want ...string) {
		t.Helper()
		assert.DeepEqual(t, hostNames(r.View().TargetsByService["web"]), want)
		assert.DeepEqual(t, hostNames(r.View().TargetsByPool["p1"]), want)
	}
	check("h0", "h1", "h2", "h3")
	r.SetHostStates([]structs.HostState{
		{Name: "h0", DataCentre: "dc1", Incarnation: 4},
		{Name: "h1", DataCentre: "dc1", Incarnation: 2, Live: true},
	})
	check("h1", "h2", "h3")
	r.MarkLeaving("h1", 2, "reboot")
	check("h2", "h3")
	// An older or equal incarnation in the list does not clear the mark.
	r.SetHostStates([]structs.HostState{{Name: "h1", DataCentre: "dc1", Incarnation: 1, Live: true}})
	r.SetHostStates([]structs.HostState{{Name: "h1", DataCentre: "dc1", Incarnation: 2, Live: true}})
	check("h2", "h3")
	assert.Equal(t, r.LeavingReason("h1"), "reboot")
	r.SetHostStates([]structs.HostState{{Name: "h1", DataCentre: "dc1", Incarnation: 3, Live: true}})
	check("h1", "h2", "h3")
	r.MergeAssignments([]structs.Assignment{{Host: "h2", DataCentre: "dc1", Pool: "p2", Phase: structs.PhaseActive, Generation: 2}})
	check("h1", "h3")
	assert.DeepEqual(t, hostNames(r.View().TargetsByPool["p2"]), []string{"h2"})
	r.MergeTickets([]structs.Ticket{{Number: 2, Objects: []structs.TicketObject{putObject(structs.KindDrain, "h3", structs.Drain{})}}})
	check("h1")
	r.MergeTickets([]structs.Ticket{{Number: 3, Objects: []structs.TicketObject{{Kind: structs.KindDrain, Name: "h3", Delete: true}}}})
	check("h1", "h3")
}

// Guards against a released host that is used again before its next active assignment: while it moves, two pools could
// use it at once.
func TestReleaseHoldsUntilNewerActiveAssignment(t *testing.T) {
	r := newSmallReplica()
	assign := func(generation uint64, phase structs.Phase) {
		r.MergeAssignments([]structs.Assignment{{Host: "h0", DataCentre: "dc1", Pool: "p1", Phase: phase, Generation: generation}})
	}
	usable := func() bool { return len(r.View().TargetsByPool["p1"]) == 4 }
	r.Release("h0", 3)
	assert.Assert(t, !usable())
	assert.Equal(t, r.View().Released["h0"], uint64(3))
	assign(3, structs.PhaseActive)
	assert.Assert(t, !usable())
	assign(4, structs.PhaseReleasing)
	assert.Assert(t, !usable())
	assign(5, structs.PhaseActive)
	assert.Assert(t, usable())
	r.Release("h0", 4)
	assert.Assert(t, usable())
}

// Guards against serving from a state that lacks assignments, and against a host that is used for its declared home
// pool before the leader assigned it: a ticket that changes the home pool would put the host into two pools at once.
func TestHostsWithoutAssignmentAreNotUsed(t *testing.T) {
	r := New(Options{DataCentre: "dc1"})
	r.MergeTickets([]structs.Ticket{{Number: 1, Objects: []structs.TicketObject{
		putObject(structs.KindPool, "p1", structs.Pool{DataCentre: "dc1"}),
		putObject(structs.KindHost, "h0", structs.Host{DataCentre: "dc1", Pool: "p1"}),
	}}})
	assert.Assert(t, !r.Ready() && len(r.View().TargetsByPool) == 0)
	assert.ErrorIs(t, New(Options{DataCentre: "dc1"}).Restore(r.Snapshot()), ErrEmpty)
	r.MergeAssignments(nil)
	assert.Assert(t, r.Ready())
	assert.Equal(t, len(r.View().TargetsByPool), 0)
	r.MergeAssignments([]structs.Assignment{{Host: "h0", DataCentre: "dc1", Pool: "p1", Phase: structs.PhaseActive, Generation: 1}})
	assert.DeepEqual(t, hostNames(r.View().TargetsByPool["p1"]), []string{"h0"})
}

// Guards against a watcher that misses the last view, and against a slow watcher that blocks the controller.
func TestWatchCombinesPublications(t *testing.T) {
	r := newSmallReplica()
	updates, stop := r.Watch()
	r.Release("h0", 1)
	r.Release("h1", 1)
	<-updates
	assert.Equal(t, len(r.View().Released), 2)
	r.Release("h1", 1)
	stop()
	r.Release("h2", 1)
	assert.Equal(t, len(updates), 0)
}

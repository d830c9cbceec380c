package operator

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/fleet"
	fleetv1 "github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
	"github.com/tamarackworks/tamarackworks/ticket"
)

// hookedTable calls beforeCommit once, directly before the next commit.
type hookedTable struct {
	ticket.Table
	beforeCommit func()
}

func (h *hookedTable) Commit(ctx context.Context, txn cloud.Txn) (uint64, error) {
	before := h.beforeCommit
	h.beforeCommit = func() {}
	before()
	return h.Table.Commit(ctx, txn)
}

func ticketObject(kind structs.Kind, name string, base uint64, spec string) *fleetv1.TicketObject {
	return &fleetv1.TicketObject{Kind: string(kind), Name: name, Base: base, Spec: []byte(spec), Delete: spec == ""}
}

func submit(s *Server, id string, objects ...*fleetv1.TicketObject) error {
	t := &fleetv1.Ticket{Id: id, Objects: objects}
	_, err := s.SubmitTicket(context.Background(), connect.NewRequest(&fleetv1.SubmitTicketRequest{Ticket: t}))
	return err
}

// Guards against accepting a ticket that refers to an object which a concurrent ticket deletes, although the two tickets have no
// object in common and so do not conflict, and against validating a ticket on a view that lags behind the table.
func TestReferencesAreCheckedAtTheCommittedHead(t *testing.T) {
	table := &hookedTable{Table: memory.New(memory.Options{}).Handle(), beforeCommit: func() {}}
	replica := fleet.New(fleet.Options{DataCentre: "dc1"})
	s := NewServer(Options{Fleet: replica, Table: table})
	assert.NilError(t, submit(s, "a", ticketObject(structs.KindPool, "p1", 0, `{"data_centre":"dc1","spare":true}`)))
	table.beforeCommit = func() {
		assert.NilError(t, submit(s, "b", ticketObject(structs.KindPool, "p1", 1, "")))
	}
	host := `{"data_centre":"dc1","rack":"r1","address":"10.0.0.1:80","pool":"p1"}`
	err := submit(s, "c", ticketObject(structs.KindHost, "h1", 0, host))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	assert.ErrorContains(t, err, `pool "p1" does not exist`)
	_, err = s.ListHosts(t.Context(), connect.NewRequest(&fleetv1.ListHostsRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
}

// Guards against lists that fail while the table is unavailable although the view holds what they need.
func TestListsServeFromTheViewWhileTheTableIsDown(t *testing.T) {
	table := memory.New(memory.Options{}).Handle()
	replica := fleet.New(fleet.Options{DataCentre: "dc1"})
	replica.MergeAssignments(nil)
	s := NewServer(Options{Fleet: replica, Table: table, Accepted: func(t structs.Ticket) {
		replica.MergeTickets([]structs.Ticket{t})
	}})
	assert.NilError(t, submit(s, "a", ticketObject(structs.KindTeam, "t1", 0, `{"max_jobs":1}`)))
	assert.NilError(t, submit(s, "b", ticketObject(structs.KindTeam, "t2", 0, `{}`)))
	table.SetFaults(memory.Faults{Down: true})
	objects, err := s.ListObjects(t.Context(), connect.NewRequest(&fleetv1.ListObjectsRequest{Kind: "team"}))
	assert.NilError(t, err)
	assert.Equal(t, len(objects.Msg.Objects), 2)
	tickets, err := s.ListTickets(t.Context(), connect.NewRequest(&fleetv1.ListTicketsRequest{Limit: 1}))
	assert.NilError(t, err)
	assert.Equal(t, tickets.Msg.Tickets[0].Number, uint64(2))
	_, err = s.GetTicket(t.Context(), connect.NewRequest(&fleetv1.GetTicketRequest{Number: 1}))
	assert.NilError(t, err)
	assert.Equal(t, connect.CodeOf(submit(s, "c", ticketObject(structs.KindTeam, "t3", 0, `{}`))), connect.CodeUnavailable)
}

package proofs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	fleetv1 "github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1"
	"github.com/tamarackworks/tamarackworks/internal/localfleet"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
)

// teamTicket returns a ticket that declares a team. Base is the number of the ticket that wrote the state it changes,
// or 0.
func teamTicket(title, team string, base uint64, quota int) *fleetv1.Ticket {
	spec, err := json.Marshal(structs.Team{Name: team, MaxConcurrent: quota})
	if err != nil {
		panic(err)
	}
	return &fleetv1.Ticket{Id: uuid.NewString(), Title: title, Objects: []*fleetv1.TicketObject{
		{Kind: string(structs.KindTeam), Name: team, Base: base, Spec: spec},
	}}
}

// submit submits a ticket through one entry host and returns its number.
func (tf *testFleet) submit(e *localfleet.Entry, t *fleetv1.Ticket) (uint64, error) {
	ctx, cancel := context.WithTimeout(tf.ctx, waitTimeout)
	defer cancel()
	resp, err := tf.operatorClientOf(e).SubmitTicket(ctx, connect.NewRequest(&fleetv1.SubmitTicketRequest{Ticket: t}))
	if err != nil {
		return 0, err
	}
	return resp.Msg.GetNumber(), nil
}

// submitUntilKnown repeats the submission of a ticket, with the same id, until an entry host returns its number.
func (tf *testFleet) submitUntilKnown(e *localfleet.Entry, t *fleetv1.Ticket) uint64 {
	tf.t.Helper()
	var number uint64
	tf.waitFor("ticket "+t.GetTitle(), func() error {
		var err error
		number, err = tf.submit(e, t)
		return err
	})
	tf.lastTicket = max(tf.lastTicket, number)
	return number
}

// Guards against two conflicting tickets that are both accepted or both rejected, and against a rejection that does
// not name the object and the conflicting ticket (P8). Two operators submit at the same time through different data
// centres.
func TestRacingOperatorsOneWins(t *testing.T) {
	t.Parallel()
	tf := startFleet(t)
	var base uint64
	for round := range 10 {
		var numbers [2]uint64
		var errs [2]error
		var group sync.WaitGroup
		for i := range 2 {
			group.Go(func() {
				numbers[i], errs[i] = tf.submit(tf.Entries[2*i], teamTicket(fmt.Sprintf("race %d", round), "racing", base, 10*round+i+1))
			})
		}
		group.Wait()
		winner, loser := 0, 1
		if errs[0] != nil {
			winner, loser = 1, 0
		}
		tf.must(errs[winner])
		assert.Equal(t, connect.CodeOf(errs[loser]), connect.CodeAborted, "both tickets were accepted, or one was rejected for another reason: %v", errs[loser])
		for _, part := range []string{"team/racing", fmt.Sprint(numbers[winner])} {
			assert.Assert(t, strings.Contains(errs[loser].Error(), part), "%q lacks %q", errs[loser], part)
		}
		base = numbers[winner]
		tf.lastTicket = base
	}
	tf.awaitTicketsInEffect()
}

// Guards against a ticket that is lost or accepted twice when its entry host is killed after the write to the store and
// before the response to the operator (P8). The writes of its data centre take effect but are not confirmed, and it is
// killed as soon as the row exists. The submission is repeated with the same id through another data centre.
func TestTicketOfKilledEntryHostIsAcceptedOnce(t *testing.T) {
	t.Parallel()
	tf := startFleet(t)
	for round := range 3 {
		e := tf.Entries[round%2]
		tf.setPlatformFaults("dc1", memory.Faults{LoseResponses: 1 << 20, Latency: 300 * time.Millisecond})
		ticket := teamTicket(fmt.Sprintf("killed %d", round), fmt.Sprintf("team%d", round), 0, 1)
		answered := make(chan error, 1)
		go func() { _, err := tf.submit(e, ticket); answered <- err }()
		tf.waitFor("row of the ticket in the store", func() error {
			_, err := tf.table.Get(tf.ctx, "ticket/id/"+ticket.GetId())
			return err
		})
		tf.must(e.Kill())
		assert.Assert(t, <-answered != nil, "the ticket was answered before the entry host was killed")
		tf.setPlatformFaults("dc1", memory.Faults{})
		number := tf.submitUntilKnown(tf.Entries[2], ticket)
		assert.Equal(t, number, uint64(round+2), "a number was skipped or the ticket has two numbers")
		assert.Equal(t, tf.submitUntilKnown(tf.Entries[3], ticket), number)
		tf.restart(e)
	}
	tf.awaitTicketsInEffect()
}

// Guards against a data centre that stops serving, or never catches up with the tickets, when it is cut off from the
// platform twice while the other data centre accepts tickets (P8). Meanwhile its keyed requests are refused.
func TestDataCentreCutOffFromThePlatformCatchesUp(t *testing.T) {
	t.Parallel()
	tf := startFleet(t)
	wait := tf.startLoad(mostlyKeyedDemand(9, 7*time.Second), withRepeats())
	for round := range 2 {
		tf.setPlatformFaults("dc2", memory.Faults{Down: true})
		for i := range 5 {
			tf.submitUntilKnown(tf.Entries[i%2], teamTicket("cut off", fmt.Sprintf("cut%d-%d", round, i), 0, 1))
		}
		_, err := tf.submit(tf.Entries[2], teamTicket("refused", "refused", 0, 1))
		assert.Assert(t, err != nil, "a ticket was accepted without the store")
		for _, e := range tf.Entries[2:] {
			resp, err := tf.sendRequest(e.CallerURL(), true)
			tf.must(err)
			assert.Equal(t, resp.outcome, string(structs.OutcomeNotRun), "%+v", resp)
			resp, err = tf.sendRequest(e.CallerURL(), false)
			tf.must(err)
			assert.Equal(t, resp.outcome, string(structs.OutcomeDone), "%+v", resp)
		}
		// The entry hosts of the other data centre send the tickets to those that are cut off.
		tf.awaitTicketsInEffect()
		tf.setPlatformFaults("dc2", memory.Faults{})
		tf.awaitKeyedService()
	}
	tf.awaitTicketsInEffect()
	records := wait()
	tf.checkOutcomes(records)
	tf.assertIdempotentDone(records)
}

// Guards against a fleet version that is lost or decreases when all entry hosts of a data centre are restarted one
// after the other under load, by a kill or a graceful stop (P8). A ticket is accepted before each of them starts
// again.
func TestReplacedDataCentreKeepsItsState(t *testing.T) {
	t.Parallel()
	tf := startFleet(t)
	wait := tf.startLoad(mostlyKeyedDemand(10, 8*time.Second), withRepeats())
	for i, e := range tf.Entries[:2] {
		tf.must(errors.Join(stopOrKill(e, i == 0), tf.SetHostState(structs.HostState{Name: e.Host, DataCentre: e.DataCentre, Incarnation: 1})))
		tf.submitUntilKnown(tf.Entries[2], teamTicket("replaced", "replaced-"+e.ID, 0, 1))
		tf.restart(e)
		tf.awaitTicketsInEffect()
	}
	tf.checkOutcomes(wait())
}

func stopOrKill(e *localfleet.Entry, kill bool) error {
	if kill {
		return e.Kill()
	}
	return e.Stop(waitTimeout)
}

// Guards against an entry host that does not start while the store is down, or starts without the accepted tickets or
// the declared hosts (P8): it must take the state from its peers. One entry host of each data centre is restarted.
// When the store is back, a ticket must reach all entry hosts.
func TestEntryHostStartsFromPeersWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	tf := startFleet(t)
	tf.submitUntilKnown(tf.Entries[0], teamTicket("before", "before", 0, 1))
	tf.awaitTicketsInEffect()
	tf.setPlatformFaults("", memory.Faults{Down: true})
	for _, e := range []*localfleet.Entry{tf.Entries[0], tf.Entries[2]} {
		tf.must(e.Kill())
		tf.restart(e)
		resp, err := tf.sendRequest(e.CallerURL(), false)
		tf.must(err)
		assert.Equal(t, resp.outcome, string(structs.OutcomeDone), "%+v", resp)
	}
	tf.awaitTicketsInEffect()
	tf.assertOnlyKeyedRefused()
	tf.setPlatformFaults("", memory.Faults{})
	tf.submitUntilKnown(tf.Entries[0], teamTicket("after", "after", 0, 1))
	tf.awaitTicketsInEffect()
	tf.awaitKeyedService()
}

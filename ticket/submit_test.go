package ticket

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
)

// teamObject returns a ticket object that sets max_jobs of a team.
func teamObject(name string, base uint64, jobs int) structs.TicketObject {
	spec := json.RawMessage(fmt.Sprintf(`{"max_jobs": %d}`, jobs))
	return structs.TicketObject{Kind: structs.KindTeam, Name: name, Base: base, Spec: spec}
}

func newTicket(id string, objects ...structs.TicketObject) structs.Ticket {
	return structs.Ticket{ID: id, Title: "title of " + id, Author: "author of " + id, Objects: objects}
}

// Guards against a stale base that is accepted, and against a rejection that does not name the conflicting
// ticket.
func TestSubmitNamesTheConflictingTicket(t *testing.T) {
	table := memory.New(memory.Options{}).Handle()
	number, err := Submit(t.Context(), table, newTicket("a", teamObject("x", 0, 1)))
	assert.NilError(t, err)
	assert.Equal(t, number, uint64(1))
	_, err = Submit(t.Context(), table, newTicket("b", teamObject("y", 0, 1), teamObject("x", 0, 2)))
	want := &ConflictError{Kind: structs.KindTeam, Name: "x", Number: 1, Title: "title of a", Author: "author of a"}
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, conflict, want)
	// The same ticket submitted again returns its number; another ticket under its id is rejected.
	number, err = Submit(t.Context(), table, newTicket("a", teamObject("x", 1, 1)))
	assert.NilError(t, err)
	assert.Equal(t, number, uint64(1))
	_, err = Submit(t.Context(), table, newTicket("a", teamObject("x", 1, 2)))
	assert.ErrorIs(t, err, ErrIDReused)
	// A deleted object counts as absent, so base 0 matches it.
	_, err = Submit(t.Context(), table, newTicket("c", structs.TicketObject{Kind: structs.KindTeam, Name: "x", Base: 1, Delete: true}))
	assert.NilError(t, err)
	_, err = Submit(t.Context(), table, newTicket("d", teamObject("x", 0, 3)))
	assert.NilError(t, err)
}

// Guards against a submission that is reported as accepted or rejected while the result of its commit is unknown,
// against one that is committed twice when it is repeated, and against an endless wait while the table is down.
// The faults lose the response of the commit or drop the commit; then the table stays down.
func TestSubmitReportsUnknownResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, faults := range []memory.Faults{{LoseResponses: 1}, {DropWrites: 1}} {
			table := memory.New(memory.Options{}).Handle()
			table.SetFaults(faults)
			down := &commitHookTable{Table: table, afterCommit: func() { table.SetFaults(memory.Faults{Down: true}) }}
			_, err := Submit(t.Context(), down, newTicket("a", teamObject("x", 0, 1)))
			var unknown *UnknownError
			assert.Assert(t, errors.As(err, &unknown), "%v", err)
			assert.Equal(t, unknown.ID, "a")
			_, err = Submit(t.Context(), table, newTicket("b", teamObject("x", 0, 1)))
			assert.ErrorIs(t, err, ErrUnavailable)
			table.SetFaults(memory.Faults{})
			number, err := Submit(t.Context(), table, newTicket("a", teamObject("x", 0, 1)))
			assert.NilError(t, err)
			assert.Equal(t, number, uint64(1))
			head, err := Head(t.Context(), table)
			assert.NilError(t, err)
			assert.Equal(t, head, uint64(1))
		}
	})
}

// commitHookTable calls afterCommit after each commit.
type commitHookTable struct {
	Table
	afterCommit func()
}

func (h *commitHookTable) Commit(ctx context.Context, txn cloud.Txn) (uint64, error) {
	version, err := h.Table.Commit(ctx, txn)
	h.afterCommit()
	return version, err
}

// Guards against a ticket with more than MaxObjects objects that is accepted or split, and against a ticket with
// MaxObjects objects that the transaction limit of the platform refuses.
func TestSubmitLimitsObjects(t *testing.T) {
	assert.Equal(t, MaxObjects, 40)
	table := memory.New(memory.Options{}).Handle()
	var objects []structs.TicketObject
	for i := range MaxObjects + 1 {
		objects = append(objects, teamObject(fmt.Sprintf("t%d", i), 0, 1))
	}
	_, err := Submit(t.Context(), table, newTicket("a", objects...))
	assert.ErrorContains(t, err, "41 objects, the limit is 40")
	_, err = Submit(t.Context(), table, newTicket("a", objects[:MaxObjects]...))
	assert.NilError(t, err)
}

// lateCommitTable is a table whose commits may return an unknown result and take effect later, while the caller
// already retries. commitDelay returns the delay of a commit, 0 for one that is applied at once.
type lateCommitTable struct {
	Table
	commitDelay func() time.Duration
	pending     sync.WaitGroup
}

func (l *lateCommitTable) Commit(ctx context.Context, txn cloud.Txn) (uint64, error) {
	delay := l.commitDelay()
	if delay == 0 {
		return l.Table.Commit(ctx, txn)
	}
	l.pending.Go(func() {
		time.Sleep(delay)
		_, _ = l.Table.Commit(context.WithoutCancel(ctx), txn)
	})
	return 0, cloud.ErrAmbiguous
}

// conflictRun is a run in which several operators submit conflicting tickets through a faulty table. It records
// the operations for the linearizability check.
type conflictRun struct {
	platform *memory.Platform
	// clock orders the calls and returns of operations.
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
	// unresolved holds the operations that ended without a number or a conflict.
	unresolved []porcupine.Operation
	seed       uint64
}

type submitInput struct {
	id      string
	objects []structs.TicketObject
}

type submitOutput struct {
	number   uint64
	conflict *ConflictError
}

// operator submits a number of tickets with random objects, bases and faults.
func (r *conflictRun) operator(ctx context.Context, client, tickets int) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(client)))
	handle := r.platform.Handle()
	handle.SetFaults(memory.Faults{
		Latency: time.Duration(rng.IntN(20)) * time.Millisecond, LoseResponses: rng.IntN(3), DropWrites: rng.IntN(3),
	})
	table := &lateCommitTable{Table: handle, commitDelay: func() time.Duration {
		// One commit in four is late, by up to 300 ms.
		return time.Duration(max(0, rng.IntN(1200)-900)) * time.Millisecond
	}}
	for i := range tickets {
		in := submitInput{id: fmt.Sprintf("c%d-%d", client, i)}
		for name := range 3 {
			if (len(in.objects) > 0 || name < 2) && rng.IntN(2) == 0 {
				continue
			}
			// The base is the current number or a stale one; a failed read leaves it at 0.
			var o structs.Object
			row, _ := handle.Get(ctx, ObjectKey(structs.KindTeam, fmt.Sprint(name)))
			_ = json.Unmarshal(row.Value, &o)
			in.objects = append(in.objects, teamObject(fmt.Sprint(name), o.Number, client*100+i))
		}
		r.submit(ctx, table, client, in, time.Duration(50+rng.IntN(2000))*time.Millisecond)
	}
	table.pending.Wait()
}

// submit submits a ticket up to two times and records the operation.
func (r *conflictRun) submit(ctx context.Context, table Table, client int, in submitInput, timeout time.Duration) {
	op := porcupine.Operation{ClientId: client, Input: in, Call: r.clock.Add(1)}
	// After an unknown result, a later call that fails does not decide the result of the earlier one.
	var unknown *UnknownError
	var out submitOutput
	for range 2 {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		number, err := Submit(attempt, table, newTicket(in.id, in.objects...))
		cancel()
		out = submitOutput{number: number}
		if errors.As(err, &out.conflict) || err == nil {
			break
		}
		if !errors.As(err, &unknown) && !errors.Is(err, ErrUnavailable) {
			panic(err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	op.Output, op.Return = out, r.clock.Add(1)
	if out.number == 0 && out.conflict == nil {
		// A submission with an unknown result may take effect until all late commits are done; one that ended
		// with ErrUnavailable never does. Both are looked up at the end, where the latter has to be absent.
		op.Metadata = unknown != nil
		op.Return = math.MaxInt64
		r.unresolved = append(r.unresolved, op)
		return
	}
	r.ops = append(r.ops, op)
}

// verify looks up the unresolved operations and checks the tickets in the table against the results that the
// operators received.
func (r *conflictRun) verify(ctx context.Context, table Table) error {
	for _, op := range r.unresolved {
		number, err := Find(ctx, table, op.Input.(submitInput).id)
		if errors.Is(err, ErrNotFound) {
			continue
		}
		if !op.Metadata.(bool) {
			return fmt.Errorf("%v was reported as not accepted and is ticket %d", op.Input, number)
		}
		op.Output = submitOutput{number: number}
		r.ops = append(r.ops, op)
	}
	accepted := make(map[string]uint64)
	for _, op := range r.ops {
		if out := op.Output.(submitOutput); out.number > 0 {
			accepted[op.Input.(submitInput).id] = out.number
		}
	}
	log, err := Load(ctx, table, 0, 1000)
	if err != nil {
		return err
	}
	head, err := Head(ctx, table)
	if err != nil || head != uint64(len(log)) || len(log) != len(accepted) {
		return fmt.Errorf("head %d, %d tickets, %d accepted: %v", head, len(log), len(accepted), err)
	}
	for i, t := range log {
		if t.Number != uint64(i+1) || accepted[t.ID] != t.Number {
			return fmt.Errorf("row %d holds ticket %d of %s, accepted as %d", i+1, t.Number, t.ID, accepted[t.ID])
		}
	}
	if !porcupine.CheckOperations(tableModel, r.ops) {
		return fmt.Errorf("the results have no sequential order: %+v", r.ops)
	}
	return nil
}

// tableModel is the sequential specification: a ticket is accepted with the next number if and only if all its
// bases are current.
var tableModel = porcupine.Model{
	Init: func() any { return [4]uint64{} },
	Step: func(state, input, output any) (bool, any) {
		// The last element is the head, the others are the numbers of the tickets that last wrote the objects.
		s, out := state.([4]uint64), output.(submitOutput)
		if c := out.conflict; c != nil {
			return c.Base != c.Number && s[c.Name[0]-'0'] == c.Number, s
		}
		s[3]++
		for _, o := range input.(submitInput).objects {
			if s[o.Name[0]-'0'] != o.Base {
				return false, s
			}
			s[o.Name[0]-'0'] = out.number
		}
		return out.number == s[3], s
	},
}

// Guards against gaps in the numbers, two accepted tickets with the same base, an accepted ticket that is
// lost or accepted twice, and a wrong result returned to the operator. Operators submit concurrently while
// responses are lost, writes are dropped or applied late, and the table has outages.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &conflictRun{platform: memory.New(memory.Options{}), seed: rapid.Uint64().Draw(rt, "seed")}
		operators := rapid.IntRange(2, 5).Draw(rt, "operators")
		tickets := rapid.IntRange(1, 4).Draw(rt, "tickets")
		outages := rapid.SliceOfN(rapid.IntRange(1, 400), 0, 6).Draw(rt, "outages")
		var err error
		synctest.Test(t, func(t *testing.T) {
			var group sync.WaitGroup
			for client := range operators {
				group.Go(func() { r.operator(t.Context(), client, tickets) })
			}
			for i, ms := range outages {
				time.Sleep(time.Duration(ms) * time.Millisecond)
				r.platform.SetFaults(memory.Faults{Down: i%2 == 0})
			}
			r.platform.SetFaults(memory.Faults{})
			group.Wait()
			err = r.verify(t.Context(), r.platform.Handle())
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

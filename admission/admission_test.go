package admission

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/router"
	"github.com/tamarackworks/tamarackworks/structs"
)

type fixedView struct{ v *structs.View }

func (f *fixedView) View() *structs.View { return f.v }

// view returns a view with one service "a" and a target for each number of slots.
func view(slots ...int) *structs.View {
	v := &structs.View{
		Services: map[string]*structs.Service{"a": {Name: "a", DeclaredRunTimeMS: 1000}},
		Hosts:    map[string]*structs.Host{}, Teams: map[string]*structs.Team{"t": {Name: "t", MaxConcurrent: 9}},
		TargetsByService: map[string][]*structs.Host{},
	}
	for i, n := range slots {
		h := &structs.Host{Name: fmt.Sprintf("h%d", i), Slots: n}
		v.Hosts[h.Name] = h
		v.TargetsByService["a"] = append(v.TargetsByService["a"], h)
	}
	return v
}

func newAdmission(v *structs.View, opts Options) (*Admission, *router.Router) {
	src := &fixedView{v}
	r := router.New(router.Options{Views: src, Seed: 1})
	opts.Slots, opts.Views = r, src
	return New(opts), r
}

func request(id string, p structs.Priority, deadline time.Duration) Request {
	return Request{ID: id, Service: "a", Team: "t", Priority: p, Deadline: time.Now().Add(deadline)}
}

func ok(run time.Duration) router.Result {
	return router.Result{Outcome: structs.OutcomeDone, RunTime: run}
}

func rejection(t *testing.T, err error) *RejectedError {
	t.Helper()
	var rejected *RejectedError
	assert.Assert(t, errors.As(err, &rejected), "%v", err)
	return rejected
}

func enter(t *testing.T, a *Admission, req Request) *Permit {
	t.Helper()
	p, err := a.Enter(t.Context(), req)
	assert.NilError(t, err)
	return p
}

// Guards against a batch request that starts before an urgent one, against a request that starts before one with an earlier
// deadline, and against metrics that a registry rejects.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdmission(view(1), Options{})
		first := enter(t, a, request("first", structs.PriorityBatch, time.Minute))
		var mu sync.Mutex
		var order []string
		for _, req := range []Request{
			request("batch", structs.PriorityBatch, 8*time.Second),
			request("late", structs.PriorityUrgent, 15*time.Second),
			request("early", structs.PriorityUrgent, 10*time.Second),
		} {
			go func() {
				p, err := a.Enter(t.Context(), req)
				assert.Check(t, err)
				mu.Lock()
				order = append(order, req.ID)
				mu.Unlock()
				p.Close(ok(time.Second))
			}()
			synctest.Wait()
		}
		assert.Equal(t, a.Loads()[0].QueuedUrgent, 2)
		assert.Equal(t, a.Loads()[0].QueuedBatch, 1)
		first.Close(ok(time.Second))
		synctest.Wait()
		assert.DeepEqual(t, order, []string{"early", "late", "batch"})
		assert.Equal(t, a.Loads()[0].Finished, uint64(4))
		registry := prometheus.NewPedanticRegistry()
		assert.NilError(t, registry.Register(a))
		families, err := registry.Gather()
		assert.NilError(t, err)
		assert.Equal(t, len(families), 5, "no rejections yet")
	})
}

// Guards against requests that are rejected only at their deadline, although it is known on arrival that they cannot start.
// Each rejection has its reason and a retry time.
func TestRejectedAtOnce(t *testing.T) {
	const urgent, batch = structs.PriorityUrgent, structs.PriorityBatch
	cases := map[string]struct {
		opts     Options
		waiting  int
		service  string
		priority structs.Priority
		deadline time.Duration
		want     RejectedError
	}{
		"predicted wait beyond the deadline": {Options{}, 2, "a", batch, 3 * time.Second,
			RejectedError{Reason: ReasonDeadline, Ahead: 2, PredictedWait: 3 * time.Second, RetryAfter: 3 * time.Second}},
		"urgent start limit": {Options{}, 3, "a", urgent, time.Minute,
			RejectedError{Reason: ReasonUrgentLimit, Ahead: 3, PredictedWait: 4 * time.Second, RetryAfter: 4 * time.Second}},
		"team quota": {Options{LiveEntries: func() int { return 3 }}, 2, "a", batch, time.Minute,
			RejectedError{Reason: ReasonTeamQuota, RetryAfter: time.Second}},
		"queue full": {Options{QueueLimit: 2}, 2, "a", batch, time.Minute,
			RejectedError{Reason: ReasonQueueFull, Ahead: 2, PredictedWait: 3 * time.Second, RetryAfter: 3 * time.Second}},
		"unknown service": {Options{}, 0, "b", batch, time.Minute,
			RejectedError{Reason: ReasonNoTarget, RetryAfter: noTargetRetryAfter, Cause: router.ErrNoTarget}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, _ := newAdmission(view(1), c.opts)
				defer enter(t, a, request("first", urgent, time.Minute)).Close(ok(time.Second))
				cancel := waitInQueue(t, a, c.waiting, urgent)
				defer cancel()
				req, start := request("x", c.priority, c.deadline), time.Now()
				req.Service = c.service
				_, err := a.Enter(t.Context(), req)
				assert.Equal(t, time.Since(start), time.Duration(0))
				assert.Equal(t, *rejection(t, err), c.want)
				kept, found := a.Explain("x")
				assert.Assert(t, found)
				assert.Equal(t, kept.RejectedError, c.want)
			})
		})
	}
}

// waitInQueue starts n requests, which wait in the queue; cancel cancels them.
func waitInQueue(t *testing.T, a *Admission, n int, p structs.Priority) (cancel func()) {
	ctx, end := context.WithCancel(t.Context())
	for i := range n {
		go func() {
			if p, err := a.Enter(ctx, request(fmt.Sprint(i), p, time.Minute)); err == nil {
				p.Close(router.Result{})
			}
		}()
	}
	synctest.Wait()
	return end
}

// Guards against waiting requests that are rejected only at their deadline although they get no slot in time, here because
// the target hangs.
func TestWaiterIsRejectedWhenItCanNoLongerStartInTime(t *testing.T) {
	for p, want := range map[structs.Priority]struct {
		after  time.Duration
		reason Reason
	}{
		structs.PriorityUrgent: {structs.UrgentStartLimit - time.Second, ReasonUrgentLimit},
		structs.PriorityBatch:  {8 * time.Second, ReasonDeadline},
	} {
		synctest.Test(t, func(t *testing.T) {
			a, _ := newAdmission(view(1), Options{})
			defer enter(t, a, request("hangs", p, time.Minute)).Close(router.Result{})
			start := time.Now()
			_, err := a.Enter(t.Context(), request("x", p, 10*time.Second))
			assert.Equal(t, rejection(t, err).Reason, want.reason)
			assert.Equal(t, time.Since(start).Truncate(2*recheckInterval), want.after)
		})
	}
}

// Guards against waiters, slots or team quota that remain in use after a mass cancellation, also when slots become
// free at the same moment.
func TestMassCancellationEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := view(8)
		v.Teams, v.Services["a"].DeclaredRunTimeMS = nil, 10
		a, r := newAdmission(v, Options{QueueLimit: 5000})
		var running []*Permit
		for range 8 {
			running = append(running, enter(t, a, request("", structs.PriorityBatch, time.Hour)))
		}
		for _, free := range []bool{false, true} {
			cancel := waitInQueue(t, a, 5000, structs.PriorityBatch)
			assert.Equal(t, a.Loads()[0].QueuedBatch, 5000)
			start := time.Now()
			go cancel()
			for _, p := range running {
				if free {
					go p.Close(router.Result{})
				}
			}
			synctest.Wait()
			assert.Equal(t, time.Since(start), time.Duration(0))
			assert.Equal(t, a.Loads()[0].QueuedBatch, 0)
		}
		assert.Equal(t, r.InProgress("h0"), 0)
		assert.Equal(t, len(a.teams), 0)
	})
}

// Guards against an urgent request that is rejected because batch requests fill the queue.
func TestUrgentDisplacesBatchInFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdmission(view(1), Options{QueueLimit: 1})
		first := enter(t, a, request("first", structs.PriorityBatch, time.Minute))
		defer waitInQueue(t, a, 1, structs.PriorityBatch)()
		time.AfterFunc(time.Second, func() { first.Close(ok(time.Second)) })
		enter(t, a, request("x", structs.PriorityUrgent, time.Minute)).Close(ok(time.Second))
		why, _ := a.Explain("0")
		assert.Equal(t, why.Reason, ReasonQueueFull)
	})
}

// Guards against retries that multiply the load when every attempt fails, and against a retry on a
// host that was already tried.
func TestRetryBudget(t *testing.T) {
	for name, c := range map[string]struct {
		res   router.Result
		share float64
	}{
		"failed":  {router.Result{Outcome: structs.OutcomeUnknown, Failed: true}, DefaultRetryShare},
		"refused": {router.Result{Outcome: structs.OutcomeNotRun, Rejected: true}, DefaultRetryShare / refusedRetryCost},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, _ := newAdmission(view(8, 8, 8, 8), Options{RetryBurst: 1})
				const requests = 1000
				retries := 0
				for range requests {
					p := enter(t, a, request("x", structs.PriorityUrgent, time.Second))
					var tried []string
					for {
						host := p.Slot().Host().Name
						assert.Assert(t, !slices.Contains(tried, host))
						tried = append(tried, host)
						if p.Retry(c.res, tried) != nil {
							break
						}
						retries++
					}
					p.Close(c.res)
				}
				assert.Assert(t, retries > 0 && float64(retries) <= c.share*requests+1/refusedRetryCost, "%d retries", retries)
			})
		})
	}
}

package session_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/session"
	"github.com/tamarackworks/tamarackworks/standin/workers"
	"github.com/tamarackworks/tamarackworks/workload"
)

// harness runs a session with one simulated executor and records the events that it emits.
type harness struct {
	fleet   *workers.Fleet
	session *session.Session
	mu      sync.Mutex
	events  []session.Event
	// owns is the result of Options.Owns.
	owns bool
	// continues makes Options.MayContinue return true without ownership.
	continues atomic.Bool
	lag       atomic.Int64
	// now is Options.Now.
	now func() time.Duration
}

// maxLease is the longest lease that the simulated executor grants.
const maxLease = 10 * time.Second

func newHarness(t *testing.T) *harness {
	return newHarnessWithClient(t, func(f *workers.Fleet) session.Client { return f })
}

// newHarnessWithClient returns a harness whose session calls the executor through the client that wrap returns.
func newHarnessWithClient(t *testing.T, wrap func(*workers.Fleet) session.Client) *harness {
	h := &harness{fleet: workers.New(), owns: true}
	h.fleet.Add("x", workload.Resources{CPUMilli: 4000})
	began := time.Now()
	h.now = func() time.Duration { return time.Since(began) }
	ctx, cancel := context.WithCancel(context.Background())
	owns := func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.owns
	}
	h.mu.Lock()
	h.session = session.New(ctx, session.Endpoint{ID: "x"}, session.Options{
		Client: wrap(h.fleet), Tokens: session.NewTokens(1), Lease: session.DefaultLease, InheritedLease: session.DefaultLease, MaxLease: maxLease,
		Now: h.now, Owns: owns,
		MayContinue: func() bool { return owns() || h.continues.Load() },
		Losses:      session.NewLossMonitor(), LateHolds: &session.LateHolds{}, Lag: func() time.Duration { return time.Duration(h.lag.Load()) },
		Emit: func(e session.Event) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.events = append(h.events, e)
			if r, ok := e.(session.Reported); ok {
				h.session.Acknowledge(r.Report.BornUnixMS, r.LastEnd)
			}
		},
	})
	h.mu.Unlock()
	t.Cleanup(func() {
		cancel()
		time.Sleep(10 * time.Second)
	})
	time.Sleep(100 * time.Millisecond)
	return h
}

// count returns the number of events that have the same type as example.
func (h *harness) count(example session.Event) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, e := range h.events {
		if fmt.Sprintf("%T", e) == fmt.Sprintf("%T", example) {
			n++
		}
	}
	return n
}

// started returns the results of all starts whose outcome is known, in order.
func (h *harness) started() []session.Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	var results []session.Result
	for _, e := range h.events {
		if s, ok := e.(session.Started); ok {
			results = append(results, s.Result)
		}
	}
	return results
}

// lateEnds returns the ended runs of late responses, in order.
func (h *harness) lateEnds() []workload.EndedTask {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ended []workload.EndedTask
	for _, e := range h.events {
		if r, ok := e.(session.ReportedLate); ok {
			ended = append(ended, r.Ended...)
		}
	}
	return ended
}

func order(run int) session.StartOrder {
	return session.StartOrder{Task: workload.TaskID{Job: "j"}, Run: run}
}

// A former owner must not start tasks on an executor that has lost the new owner's fencing token in a restart, nor regain
// contact with an executor whose leases the new owner considers expired.
func TestUnconfirmedOwnersOnlyGoOnWhereTheyAreInContact(t *testing.T) {
	for name, interrupt := range map[string]func(*workers.Fleet){
		"restart": func(f *workers.Fleet) {
			f.Crash("x")
			f.Add("x", workload.Resources{CPUMilli: 4000})
		},
		"cut": func(f *workers.Fleet) {
			f.SetUnreachable("x", true)
			time.Sleep(4 * time.Second)
			f.SetUnreachable("x", false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.continues.Store(true)
				h.mu.Lock()
				h.owns = false
				h.mu.Unlock()
				h.session.Start(order(1))
				time.Sleep(time.Second)
				assert.Equal(t, h.started()[0], session.Accepted)
				interrupt(h.fleet)
				time.Sleep(3 * time.Second)
				reports := h.count(session.Reported{})
				h.session.Start(order(2))
				time.Sleep(10 * time.Second)
				assert.Equal(t, h.count(session.Reported{}), reports)
				starts, _ := h.fleet.Counts()
				assert.Equal(t, starts, 1)
				h.mu.Lock()
				h.owns = true
				h.mu.Unlock()
				time.Sleep(2 * time.Second)
				assert.Assert(t, h.count(session.Reported{}) > reports)
			})
		})
	}
}

// A start whose first attempt got no response must not count as refused, after which the task would be tried on another
// executor: the run may have started.
func TestStartWithoutAnswerIsRepeatedThere(t *testing.T) {
	for _, fault := range []workers.Fault{workers.DropOrder, workers.LoseResponse, workers.Late} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			first := true
			h.fleet.SetFault(func(_, order string) workers.Fault {
				if order == "start" && first {
					first = false
					return fault
				}
				return workers.None
			})
			h.session.Start(order(1))
			time.Sleep(4 * time.Second)
			results := h.started()
			assert.Equal(t, len(results), 1)
			assert.Assert(t, results[0] == session.Accepted || results[0] == session.Unclear, results[0])
			starts, _ := h.fleet.Counts()
			assert.Equal(t, starts, 1)
			assert.Equal(t, len(h.fleet.Violations()), 0)
		})
	}
}

// An unanswered attempt of a start may arrive after a later attempt was refused for lack of room, at a time when there is
// room again. Unless the session stops that run, the task runs there and on the executor chosen next.
func TestRefusedStartIsRetractedAfterALostAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return time.Second, workload.EndDone })
		for i := range 4 {
			h.session.Start(session.StartOrder{Task: workload.TaskID{Job: "other", Index: i}, Run: 1})
		}
		time.Sleep(50 * time.Millisecond)
		first := true
		h.fleet.SetFault(func(_, order string) workers.Fault {
			if order == "start" && first {
				first = false
				return workers.Late
			}
			return workers.None
		})
		h.session.Start(order(1))
		time.Sleep(10 * time.Second)
		results := h.started()
		assert.Equal(t, len(results), 5)
		assert.Equal(t, results[4], session.Unclear)
		starts, rejected := h.fleet.Counts()
		assert.Equal(t, rejected, 1)
		assert.Equal(t, starts, 4, "the late attempt was carried out")
	})
}

// An attempt of a start that arrives after the deadline of the order is refused even if an earlier attempt, whose response was
// lost, has started the run. The start must not count as refused then, after which the task would start on another executor too.
func TestAttemptAfterTheDeadlineDoesNotHideARun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return time.Minute, workload.EndDone })
		began := time.Now()
		h.fleet.SetFault(func(_, order string) workers.Fault {
			elapsed := time.Since(began)
			switch {
			case order == "hold" && elapsed < session.DefaultLease*3/10:
				// The lease lasts longer than the deadline of the order.
				return workers.None
			case order == "start" && elapsed > session.DefaultLease:
				return workers.None
			case order == "start" && elapsed > session.DefaultLease*4/5:
				return workers.LoseResponse
			}
			return workers.DropOrder
		})
		h.session.Start(order(1))
		time.Sleep(session.DefaultLease + 400*time.Millisecond)
		assert.Equal(t, len(h.fleet.Running()["x"]), 1)
		assert.DeepEqual(t, h.started(), []session.Result{session.Unclear})
	})
}

// Guards against a task that runs twice: the next incarnation of an executor carries out an attempt of its start whose response is lost, and
// rejects the next attempt, because a newer fencing token has arrived in between.
func TestAttemptFencedAfterARestartDoesNotHideARun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarnessWithClient(t, func(f *workers.Fleet) session.Client { return workers.NewRestartDuringStart(f, "x") })
		h.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return time.Minute, workload.EndDone })
		h.session.Start(order(1))
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, h.started(), []session.Result{session.Unclear})
		assert.Equal(t, len(h.fleet.Running()["x"]), 1, "history: %v", h.fleet.History())
	})
}

// An unhealthy executor may refuse to stop a run of which the start is still under way. Unless the stop is repeated, the
// executor carries the start out later, while the task has been started on another executor.
func TestStopIsRepeatedAtAnUnhealthyExecutor(t *testing.T) {
	refuse := func() func(_, order string) workers.Fault {
		starts, stops := 0, 0
		return func(_, order string) workers.Fault {
			switch order {
			case "start":
				if starts++; starts == 1 {
					return workers.Late
				}
				return workers.Refuse
			case "stop":
				if stops++; stops <= 2 {
					return workers.Refuse
				}
			}
			return workers.None
		}
	}
	for name, stop := range map[string]func(*harness){
		"ordered":         func(h *harness) { h.session.Stop(order(1).Task, 1) },
		"after a refusal": func(*harness) {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.fleet.SetFault(refuse())
				h.session.Start(order(1))
				time.Sleep(50 * time.Millisecond)
				stop(h)
				time.Sleep(2 * workers.LateBy)
				starts, _ := h.fleet.Counts()
				assert.Equal(t, starts, 0, "the late attempt was carried out")
				assert.DeepEqual(t, h.started(), []session.Result{session.Unclear})
			})
		})
	}
}

// The tasks of an executor that does not respond must count as ended after its leases have expired, and not before.
func TestSilentExecutorLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return time.Hour, workload.EndDone })
		h.session.Start(order(1))
		time.Sleep(2 * time.Second)
		h.fleet.SetUnreachable("x", true)
		cut := time.Now()
		for h.count(session.LeasesExpired{}) == 0 {
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, time.Since(cut) < 10*time.Second)
		}
		assert.Equal(t, len(h.fleet.Running()), 0, "the executor still ran it")
		assert.Equal(t, h.count(session.ContactLost{}), 1)
	})
}

// A hold that was meant for the former incarnation of an executor may extend the leases of the next one to the longest that it
// grants. Its tasks must not count as ended before that, after which they would run twice.
func TestLeasesOfTheNextIncarnationMayLastAsLongAsAny(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.fleet.Add("x", workload.Resources{CPUMilli: 4000})
		time.Sleep(2 * time.Second)
		assert.Assert(t, h.count(session.Reported{}) > 1)
		h.fleet.SetUnreachable("x", true)
		time.Sleep(maxLease - 2*time.Second)
		assert.Equal(t, h.count(session.LeasesExpired{}), 0)
		time.Sleep(4 * time.Second)
		assert.Assert(t, h.count(session.LeasesExpired{}) > 0)
	})
}

// Leases must not expire while the owner runs and the executor responds.
func TestLeasesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return time.Hour, workload.EndDone })
		h.session.Start(order(1))
		time.Sleep(time.Minute)
		assert.Equal(t, len(h.fleet.Running()), 1)
	})
}

// Lost responses to single holds must not end the contact.
func TestLostAnswersOfHoldsKeepTheContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		n := 0
		h.fleet.SetFault(func(_, order string) workers.Fault {
			if n++; order == "hold" && n%4 == 0 {
				return workers.LoseResponse
			}
			return workers.None
		})
		time.Sleep(30 * time.Second)
		assert.Equal(t, h.count(session.ContactLost{}), 0)
	})
}

// A host that is no longer the owner must not send orders.
func TestNoOrdersWithoutOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.mu.Lock()
		h.owns = false
		h.mu.Unlock()
		h.session.Start(order(1))
		time.Sleep(time.Second)
		assert.DeepEqual(t, h.started(), []session.Result{session.NotSent})
		starts, _ := h.fleet.Counts()
		assert.Equal(t, starts, 0)
	})
}

// A host must not retry a start after it has lost ownership: the new owner may have placed the task on another executor.
func TestStartsAreNotRepeatedWithoutOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.fleet.SetFault(func(_, order string) workers.Fault {
			if order == "start" {
				return workers.DropOrder
			}
			return workers.None
		})
		h.session.Start(order(1))
		time.Sleep(50 * time.Millisecond)
		h.mu.Lock()
		h.owns = false
		h.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		h.fleet.SetFault(nil)
		time.Sleep(10 * time.Second)
		starts, _ := h.fleet.Counts()
		assert.Equal(t, starts, 0)
	})
}

// A late acknowledgement for the previous incarnation must not make the new one forget an ended run that was not reported
// yet: the task would count as gone and run a second time.
func TestAcknowledgementUnderWayDoesNotReachTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.fleet.DeliverOrdersAfterRestart()
		h.fleet.SetDuration(func(id workload.TaskID) (time.Duration, workload.End) {
			if id.Job == "second" {
				return 1700 * time.Millisecond, workload.EndDone
			}
			return 200 * time.Millisecond, workload.EndDone
		})
		h.session.Start(order(1))
		time.Sleep(100 * time.Millisecond)
		late := true
		h.fleet.SetFault(func(_, order string) workers.Fault {
			if late && order == "hold" {
				late = false
				return workers.Late
			}
			return workers.None
		})
		time.Sleep(150 * time.Millisecond)
		h.fleet.Add("x", workload.Resources{CPUMilli: 4000})
		time.Sleep(700 * time.Millisecond)
		assert.Assert(t, !late, "the acknowledgement is under way")
		second := order(1)
		second.Task.Job = "second"
		h.session.Start(second)
		time.Sleep(1600 * time.Millisecond)
		// The executor is cut off while the task ends and the late acknowledgement arrives.
		h.fleet.SetUnreachable("x", true)
		time.Sleep(time.Second)
		h.fleet.SetUnreachable("x", false)
		time.Sleep(4 * time.Second)
		assert.Assert(t, h.ended(second.Task), "history: %v", h.fleet.History())
	})
}

// ended reports whether a report listed a run of the task as ended.
func (h *harness) ended(task workload.TaskID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.events {
		r, ok := e.(session.Reported)
		if ok && slices.ContainsFunc(r.Report.Ended, func(x workload.EndedTask) bool { return x.Task == task }) {
			return true
		}
	}
	return false
}

// A process under load must not retry orders whose responses wait in its own queues: the retries add to the load until the
// process does nothing else.
func TestTimeoutsGrowWithTheLagOfTheProcess(t *testing.T) {
	for lag, calls := range map[time.Duration]int{0: 2, 100 * time.Millisecond: 1} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			h.lag.Store(int64(lag))
			starts := 0
			h.fleet.SetFault(func(_, order string) workers.Fault {
				if order == "start" {
					starts++
				}
				return workers.None
			})
			h.fleet.SetResponseTime(150 * time.Millisecond)
			h.session.Start(order(1))
			time.Sleep(2 * time.Second)
			assert.Equal(t, len(h.started()), 1)
			assert.Equal(t, starts, calls, "lag %s", lag)
		})
	}
}

// Guards against a task that runs twice: the response that lists the end of its run comes later than the owner waits for it, and the task
// starts again when the leases have expired.
func TestEndsInLateResponsesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return 2 * time.Second, workload.EndDone })
		h.session.Start(order(1))
		time.Sleep(50 * time.Millisecond)
		assert.DeepEqual(t, h.started(), []session.Result{session.Accepted})
		h.fleet.SetResponseTime(3 * time.Second)
		time.Sleep(5 * time.Second)
		assert.Equal(t, h.count(session.ContactLost{}), 1)
		assert.Equal(t, h.count(session.LeasesExpired{}), 0)
		assert.DeepEqual(t, h.lateEnds(), []workload.EndedTask{{Number: 1, Task: order(1).Task, Run: 1, Outcome: workload.EndDone}})
		h.fleet.SetResponseTime(time.Millisecond)
		time.Sleep(5 * time.Second)
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, e := range h.events {
			if r, ok := e.(session.Reported); ok {
				assert.Equal(t, len(r.Report.Ended), 0, "the end was reported already")
			}
		}
	})
}

// Guards against the ends that a new owner does not hear of because all responses to it are late, the first one too.
func TestEndsInALateFirstResponseAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.session.Start(order(1))
		time.Sleep(50 * time.Millisecond)
		h.session.Close()
		h.fleet.SetResponseTime(3 * time.Second)
		var late atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		session.New(ctx, session.Endpoint{ID: "x"}, session.Options{
			Client: h.fleet, Tokens: session.NewTokens(2), Lease: session.DefaultLease, InheritedLease: session.DefaultLease, MaxLease: maxLease,
			Now: func() time.Duration { return time.Since(began) }, Owns: func() bool { return true },
			MayContinue: func() bool { return true }, Losses: session.NewLossMonitor(), LateHolds: &session.LateHolds{},
			Lag: func() time.Duration { return 0 },
			Emit: func(e session.Event) {
				if r, ok := e.(session.ReportedLate); ok {
					late.Add(int64(len(r.Ended)))
				}
			},
		})
		time.Sleep(4 * time.Second)
		assert.Equal(t, late.Load(), int64(1))
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// Guards against the ended runs of a former incarnation that count for the current one, whose ends have the same numbers.
func TestLateResponsesOfFormerIncarnationsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return 2 * time.Second, workload.EndDone })
		h.session.Start(order(1))
		time.Sleep(50 * time.Millisecond)
		h.fleet.SetResponseTime(3 * time.Second)
		time.Sleep(3500 * time.Millisecond)
		h.fleet.Crash("x")
		h.fleet.Add("x", workload.Resources{CPUMilli: 4000})
		h.fleet.SetResponseTime(time.Millisecond)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(h.lateEnds()), 0)
	})
}

// Guards against tasks that wait for hours on a silent executor: the response of the former incarnation to an order, which does not name the
// incarnation, is taken for the clock of the current one.
func TestResponsesToOrdersDoNotSetTheClockOfAnotherIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.fleet.SeparateClocks(func() float64 { return 1 }, maxLease)
		h.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return time.Hour, workload.EndDone })
		time.Sleep(time.Minute)
		h.lag.Store(int64(time.Second))
		h.fleet.SetFault(func(_, order string) workers.Fault {
			if order == "pace" {
				return workers.SlowResponse
			}
			return workers.None
		})
		h.session.Pace(order(1).Task, 1, 50)
		time.Sleep(10 * time.Millisecond)
		h.fleet.SetFirstClock(time.Hour)
		h.fleet.Add("x", workload.Resources{CPUMilli: 4000})
		time.Sleep(workers.LateBy - 50*time.Millisecond)
		h.lag.Store(0)
		h.session.Start(order(1))
		time.Sleep(20 * time.Millisecond)
		assert.DeepEqual(t, h.started(), []session.Result{session.Accepted})
		h.fleet.SetUnreachable("x", true)
		for range 2000 {
			time.Sleep(20 * time.Millisecond)
			if h.count(session.LeasesExpired{}) > 0 {
				break
			}
		}
		assert.Assert(t, h.count(session.LeasesExpired{}) > 0, "the leases never expired")
		assert.Equal(t, len(h.fleet.Running()), 0)
	})
}

// startReachesNextIncarnation drops all orders of the session, except that the first attempt of a start is carried out as fault says,
// by an incarnation of which the session does not know.
func (h *harness) startReachesNextIncarnation(fault workers.Fault) {
	h.fleet.SeparateClocks(func() float64 { return 1 }, maxLease)
	h.fleet.DeliverOrdersAfterRestart()
	h.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return time.Hour, workload.EndDone })
	time.Sleep(5 * time.Minute)
	first := true
	h.fleet.SetFault(func(_, order string) workers.Fault {
		if order == "start" && first {
			first = false
			return fault
		}
		return workers.DropOrder
	})
	h.fleet.Add("x", workload.Resources{CPUMilli: 4000})
	h.session.Start(order(1))
}

// Guards against a task that runs twice: an executor that has restarted unnoticed accepts a start, and its new clock is behind the
// deadline of the order.
func TestLeasesOfAnUnnoticedIncarnationMayLastAsLongAsAny(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.startReachesNextIncarnation(workers.None)
		began := time.Now()
		for h.count(session.LeasesExpired{}) == 0 && time.Since(began) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		assert.DeepEqual(t, h.started(), []session.Result{session.Accepted})
		assert.Assert(t, h.count(session.LeasesExpired{}) > 0, "the leases never expired")
		assert.Equal(t, len(h.fleet.Running()), 0, "expired after %s", time.Since(began))
	})
}

// Guards against a task that runs twice: an executor that has restarted unnoticed carries out a start without an answer. Its new clock
// is behind the deadline of the order, so that the run lasts as long as the longest lease.
func TestStartsAreNotGivenUpWhileANewIncarnationMayRunThem(t *testing.T) {
	for name, fault := range map[string]workers.Fault{"at once": workers.LoseResponse, "late": workers.Late} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.startReachesNextIncarnation(fault)
				began := time.Now()
				for len(h.started()) == 0 && time.Since(began) < time.Minute {
					time.Sleep(50 * time.Millisecond)
				}
				assert.DeepEqual(t, h.started(), []session.Result{session.Expired})
				assert.Equal(t, len(h.fleet.Running()), 0, "given up after %s", time.Since(began))
			})
		})
	}
}

// Guards against a former owner that gives up a start that it could not retract, because it may not send stops without confirmed ownership.
func TestStartsAreNotGivenUpWithoutOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.continues.Store(true)
		// No report shows the run: the holds in flight have ended before the start, and no later one is answered.
		h.session.SetWait(10 * time.Millisecond)
		time.Sleep(2 * time.Second)
		n := 0
		h.fleet.SetFault(func(_, order string) workers.Fault {
			if order == "start" {
				if n++; n == 1 {
					return workers.LoseResponse
				}
				return workers.Refuse
			}
			if order == "hold" {
				return workers.DropOrder
			}
			return workers.None
		})
		time.Sleep(50 * time.Millisecond)
		h.session.Start(order(1))
		time.Sleep(50 * time.Millisecond)
		h.mu.Lock()
		h.owns = false
		h.mu.Unlock()
		time.Sleep(time.Minute)
		assert.Equal(t, len(h.started()), 0)
	})
}

// Guards against stopping a run that reports show: an executor that is unhealthy for a while refuses the second attempt of a start, of which it has
// carried out the first.
func TestUnhealthyExecutorsKeepRunsThatReportsShow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return time.Minute, workload.EndDone })
		began, starts := time.Now(), 0
		h.fleet.SetFault(func(_, order string) workers.Fault {
			switch {
			case order == "start":
				if starts++; starts == 1 {
					return workers.LoseResponse
				}
				return workers.Refuse
			case order == "stop" && time.Since(began) < 4*time.Second:
				return workers.Refuse
			}
			return workers.None
		})
		h.session.Start(order(1))
		time.Sleep(8 * time.Second)
		assert.DeepEqual(t, h.started(), []session.Result{session.Unclear})
		assert.Equal(t, len(h.fleet.Running()["x"]), 1, "history: %v", h.fleet.History())
	})
}

// Guards against a start that is sent between the check that nothing may run on a silent executor and the end of its session: the executor
// carries it out, and the task starts elsewhere too.
func TestNothingStartsAfterASessionHasEndedAsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		listedAt := h.now()
		h.session.Start(order(1))
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, !h.session.CloseUnlessStartedSince(listedAt), "a start was sent since")
		h.session.Start(order(2))
		time.Sleep(time.Second)
		starts, _ := h.fleet.Counts()
		assert.Equal(t, starts, 2, "the session goes on")
		assert.Assert(t, h.session.CloseUnlessStartedSince(h.now()))
		h.session.Start(order(3))
		time.Sleep(time.Second)
		starts, _ = h.fleet.Counts()
		assert.Equal(t, starts, 2)
	})
}

// Guards against a task that waits for good: the attempts of a start at a silent executor put off the time at which nothing can run there any more.
func TestAttemptsDoNotPutOffTheExpiryOfUnnoticedLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.fleet.SeparateClocks(func() float64 { return 1 }, maxLease)
		time.Sleep(2 * time.Second)
		silent := false
		h.fleet.SetFault(func(_, order string) workers.Fault {
			if order == "hold" || silent {
				return workers.DropOrder
			}
			return workers.None
		})
		h.fleet.Restart("x")
		h.session.Start(order(1))
		time.Sleep(50 * time.Millisecond)
		assert.DeepEqual(t, h.started(), []session.Result{session.Accepted})
		silent = true
		second := order(1)
		second.Task.Job = "second"
		h.session.Start(second)
		time.Sleep(40 * time.Second)
		assert.DeepEqual(t, h.started(), []session.Result{session.Accepted, session.Expired})
		assert.Assert(t, h.count(session.LeasesExpired{}) > 0)
	})
}

// holdRecorder records the waits of holds, each with whether the report before it may have left out ended runs.
type holdRecorder struct {
	session.Client
	mu    sync.Mutex
	more  bool
	waits map[bool][]time.Duration
}

func (r *holdRecorder) Hold(ctx context.Context, to session.Endpoint, o session.HoldOrder) (workload.Report, session.Result, error) {
	r.mu.Lock()
	r.waits[r.more] = append(r.waits[r.more], o.Wait)
	r.mu.Unlock()
	report, result, err := r.Client.Hold(ctx, to, o)
	r.mu.Lock()
	r.more = report.MoreEnds
	r.mu.Unlock()
	return report, result, err
}

// Guards against ended runs beyond a list that are learnt of late: the hold for the next ones asks the executor to wait for an end.
func TestHoldsForFurtherEndsDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &holdRecorder{waits: make(map[bool][]time.Duration)}
		h := newHarnessWithClient(t, func(f *workers.Fleet) session.Client {
			r.Client = f
			return r
		})
		h.fleet.SetMaxListedEnds(2)
		for n := range 4 {
			h.session.Start(session.StartOrder{Task: workload.TaskID{Job: "j", Index: n}, Run: 1})
		}
		time.Sleep(3 * time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		assert.Assert(t, len(r.waits[true]) > 0, "waits: %v", r.waits)
		for _, wait := range r.waits[true] {
			assert.Equal(t, wait, time.Duration(0))
		}
		assert.Assert(t, slices.Max(r.waits[false]) > 0)
	})
}

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

// contact is a session with one executor of a fleet, and what it emitted.
type contact struct {
	fleet *workers.Fleet
	s     *session.Session
	mu    sync.Mutex
	seen  []session.Event
	may   bool
	// continues is set while the session may go on where it is in contact although the ownership is not confirmed.
	continues atomic.Bool
	lag       atomic.Int64
}

func newContact(t *testing.T) *contact {
	c := &contact{fleet: workers.New(), may: true}
	c.fleet.Add("x", workload.Resources{CPUMilli: 4000})
	began := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	allowed := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.may
	}
	c.mu.Lock()
	c.s = session.New(ctx, session.Peer{ID: "x"}, session.Options{
		Client: c.fleet, Tokens: session.NewTokens(1), Lease: session.DefaultLease, Inherited: session.DefaultLease,
		Now: func() time.Duration { return time.Since(began) }, Owns: allowed,
		MayContinue: func() bool { return allowed() || c.continues.Load() },
		Losses:      session.NewLossMonitor(), Lag: func() time.Duration { return time.Duration(c.lag.Load()) },
		Emit: func(e session.Event) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.seen = append(c.seen, e)
			if r, ok := e.(session.Reported); ok {
				c.s.Acknowledge(r.Report.BornUnixMS, r.LastEnd)
			}
		},
	})
	c.mu.Unlock()
	t.Cleanup(func() {
		cancel()
		time.Sleep(10 * time.Second)
	})
	time.Sleep(100 * time.Millisecond)
	return c
}

// count returns how many events have the type of the example.
func (c *contact) count(example session.Event) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, e := range c.seen {
		if fmt.Sprintf("%T", e) == fmt.Sprintf("%T", example) {
			n++
		}
	}
	return n
}

func (c *contact) started() []session.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	var results []session.Result
	for _, e := range c.seen {
		if s, ok := e.(session.Started); ok {
			results = append(results, s.Result)
		}
	}
	return results
}

func order(run int) session.StartOrder {
	return session.StartOrder{Task: workload.TaskID{Job: "j"}, Run: run}
}

// Guards against a former owner that starts tasks on an executor that forgot the new owner's token with a restart, or that
// regains an executor whose leases the new owner takes for lapsed.
func TestUnconfirmedOwnersOnlyGoOnWhereTheyAreInContact(t *testing.T) {
	for name, interrupt := range map[string]func(*workers.Fleet){
		"restart": func(f *workers.Fleet) {
			f.Crash("x")
			f.Add("x", workload.Resources{CPUMilli: 4000})
		},
		"cut": func(f *workers.Fleet) {
			f.Cut("x", true)
			time.Sleep(4 * time.Second)
			f.Cut("x", false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newContact(t)
				c.continues.Store(true)
				c.mu.Lock()
				c.may = false
				c.mu.Unlock()
				c.s.Start(order(1))
				time.Sleep(time.Second)
				assert.Equal(t, c.started()[0], session.Accepted)
				interrupt(c.fleet)
				time.Sleep(3 * time.Second)
				reports := c.count(session.Reported{})
				c.s.Start(order(2))
				time.Sleep(10 * time.Second)
				assert.Equal(t, c.count(session.Reported{}), reports)
				starts, _ := c.fleet.Counts()
				assert.Equal(t, starts, 1)
				c.mu.Lock()
				c.may = true
				c.mu.Unlock()
				time.Sleep(2 * time.Second)
				assert.Assert(t, c.count(session.Reported{}) > reports)
			})
		})
	}
}

// Guards against a start that counts as refused, or is tried elsewhere, because its answer was lost.
func TestStartWithoutAnswerIsRepeatedThere(t *testing.T) {
	for _, fault := range []workers.Fault{workers.Silence, workers.LoseAnswer, workers.Late} {
		synctest.Test(t, func(t *testing.T) {
			c := newContact(t)
			first := true
			c.fleet.SetFault(func(_, order string) workers.Fault {
				if order == "start" && first {
					first = false
					return fault
				}
				return workers.None
			})
			c.s.Start(order(1))
			time.Sleep(4 * time.Second)
			results := c.started()
			assert.Equal(t, len(results), 1)
			assert.Assert(t, results[0] == session.Accepted || results[0] == session.Unclear, results[0])
			starts, _ := c.fleet.Counts()
			assert.Equal(t, starts, 1)
			assert.Equal(t, len(c.fleet.Violations()), 0)
		})
	}
}

// Guards against a start that is given up because the executor had no room, while an earlier attempt without an answer
// arrives later, when there is room: the task would run there and elsewhere.
func TestRefusedStartIsRetractedAfterALostAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newContact(t)
		c.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return time.Second, workload.EndDone })
		for i := range 4 {
			c.s.Start(session.StartOrder{Task: workload.TaskID{Job: "other", Index: i}, Run: 1})
		}
		time.Sleep(50 * time.Millisecond)
		first := true
		c.fleet.SetFault(func(_, order string) workers.Fault {
			if order == "start" && first {
				first = false
				return workers.Late
			}
			return workers.None
		})
		c.s.Start(order(1))
		time.Sleep(10 * time.Second)
		results := c.started()
		assert.Equal(t, len(results), 5)
		assert.Equal(t, results[4], session.Unclear)
		starts, rejected := c.fleet.Counts()
		assert.Equal(t, rejected, 1)
		assert.Equal(t, starts, 4, "the late attempt was carried out")
	})
}

// Guards against a silent executor whose tasks are taken as gone before its leases have lapsed, or never.
func TestSilentExecutorLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newContact(t)
		c.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return time.Hour, workload.EndDone })
		c.s.Start(order(1))
		time.Sleep(2 * time.Second)
		c.fleet.Cut("x", true)
		cut := time.Now()
		for c.count(session.Lapsed{}) == 0 {
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, time.Since(cut) < 10*time.Second)
		}
		assert.Equal(t, len(c.fleet.Running()), 0, "the executor still ran it")
		assert.Equal(t, c.count(session.ContactLost{}), 1)
	})
}

// Guards against leases that lapse while the owner is there and the executor answers.
func TestLeasesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newContact(t)
		c.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return time.Hour, workload.EndDone })
		c.s.Start(order(1))
		time.Sleep(time.Minute)
		assert.Equal(t, len(c.fleet.Running()), 1)
	})
}

// Guards against a contact that is given up because single answers get lost, and against ends that are hidden for the whole
// wait of a hold.
func TestLostAnswersOfHoldsKeepTheContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newContact(t)
		n := 0
		c.fleet.SetFault(func(_, order string) workers.Fault {
			if n++; order == "hold" && n%4 == 0 {
				return workers.LoseAnswer
			}
			return workers.None
		})
		time.Sleep(30 * time.Second)
		assert.Equal(t, c.count(session.ContactLost{}), 0)
	})
}

// Guards against orders of a host that is not the owner any more.
func TestNoOrdersWithoutOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newContact(t)
		c.mu.Lock()
		c.may = false
		c.mu.Unlock()
		c.s.Start(order(1))
		time.Sleep(time.Second)
		assert.DeepEqual(t, c.started(), []session.Result{session.NotSent})
		starts, _ := c.fleet.Counts()
		assert.Equal(t, starts, 0)
	})
}

// Guards against a start that a host repeats after it has lost the ownership: its successor may have placed the task
// elsewhere.
func TestStartsAreNotRepeatedWithoutOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newContact(t)
		c.fleet.SetFault(func(_, order string) workers.Fault {
			if order == "start" {
				return workers.Silence
			}
			return workers.None
		})
		c.s.Start(order(1))
		time.Sleep(50 * time.Millisecond)
		c.mu.Lock()
		c.may = false
		c.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		c.fleet.SetFault(nil)
		time.Sleep(10 * time.Second)
		starts, _ := c.fleet.Counts()
		assert.Equal(t, starts, 0)
	})
}

// Guards against an acknowledgement that was under way when its executor started again and makes the new incarnation
// forget an end that nobody has seen: the task would count as gone and run a second time.
func TestAcknowledgementUnderWayDoesNotReachTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newContact(t)
		c.fleet.LetOrdersOutlive()
		c.fleet.SetDuration(func(id workload.TaskID) (time.Duration, workload.End) {
			if id.Job == "second" {
				return 1700 * time.Millisecond, workload.EndDone
			}
			return 200 * time.Millisecond, workload.EndDone
		})
		c.s.Start(order(1))
		time.Sleep(100 * time.Millisecond)
		late := true
		c.fleet.SetFault(func(_, order string) workers.Fault {
			if late && order == "hold" {
				late = false
				return workers.Late
			}
			return workers.None
		})
		time.Sleep(150 * time.Millisecond)
		c.fleet.Add("x", workload.Resources{CPUMilli: 4000})
		time.Sleep(700 * time.Millisecond)
		assert.Assert(t, !late, "the acknowledgement is under way")
		second := order(1)
		second.Task.Job = "second"
		c.s.Start(second)
		time.Sleep(1600 * time.Millisecond)
		// No answer comes while the task ends and the late acknowledgement arrives.
		c.fleet.Cut("x", true)
		time.Sleep(time.Second)
		c.fleet.Cut("x", false)
		time.Sleep(4 * time.Second)
		assert.Assert(t, c.ended(second.Task), "history: %v", c.fleet.History())
	})
}

// ended reports whether the end of a task was reported.
func (c *contact) ended(task workload.TaskID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.seen {
		r, ok := e.(session.Reported)
		if ok && slices.ContainsFunc(r.Report.Ended, func(x workload.EndedTask) bool { return x.Task == task }) {
			return true
		}
	}
	return false
}

// Guards against a process under load that repeats orders whose answers wait in its own queues, which adds to the load
// until it does nothing else.
func TestTimeoutsGrowWithTheLagOfTheProcess(t *testing.T) {
	for lag, calls := range map[time.Duration]int{0: 2, 100 * time.Millisecond: 1} {
		synctest.Test(t, func(t *testing.T) {
			c := newContact(t)
			c.lag.Store(int64(lag))
			starts := 0
			c.fleet.SetFault(func(_, order string) workers.Fault {
				if order == "start" {
					starts++
				}
				return workers.None
			})
			c.fleet.SetAnswerTime(150 * time.Millisecond)
			c.s.Start(order(1))
			time.Sleep(2 * time.Second)
			assert.Equal(t, len(c.started()), 1)
			assert.Equal(t, starts, calls, "lag %s", lag)
		})
	}
}

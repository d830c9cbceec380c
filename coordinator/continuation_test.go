package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/ownership"
	"github.com/tamarackworks/tamarackworks/standin/rows"
	"github.com/tamarackworks/tamarackworks/standin/workers"
	"github.com/tamarackworks/tamarackworks/workload"
)

// Guards against an outage of the store that stops the fleet: tasks lapse and run again, and steps that are ready wait,
// although no other owner can have taken over.
func TestAcceptedJobsGoOnWhileTheStoreIsDown(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const outage = 6 * time.Second
		w := newWorld(t, 3, 3)
		w.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return time.Second, workload.EndDone })
		time.Sleep(5 * time.Second)
		w.submit("job", plainStep(6), plainStep(6, 0), plainStep(6, 1), plainStep(6, 2), plainStep(6, 3))
		time.Sleep(100 * time.Millisecond)
		for _, h := range w.hosts {
			h.handle.SetFault(func(bool) rows.Fault { return rows.Silence })
		}
		time.Sleep(outage)
		starts, _ := w.fleet.Counts()
		for _, h := range w.hosts {
			h.handle.SetFault(nil)
		}
		w.awaitAll([]string{"job"}, workload.StatusCompleted, 3*time.Second)
		assert.Equal(t, starts, 30, "tasks that started in the outage or before")
		total, _ := w.fleet.Counts()
		assert.Equal(t, total, 30, "none started twice")
		w.check()
	})
}

// Guards against a former owner that goes on after another has taken over: it must start no job that came later, none on an
// executor that forgot the new owner's token with a restart, and what it started must not run elsewhere.
func TestFormerOwnersDoNoHarmWhileTheyGoOn(t *testing.T) {
	for seed := uint64(1); seed <= faultSeeds(t); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { runPartitions(t, seed, newWorld(t, 3, 4)) })
		})
	}
}

// runPartitions cuts owners off from writes of the store and hosts from single executors, and restarts executors.
func runPartitions(t *testing.T, seed uint64, w *world) {
	t.Helper()
	d := &dice{r: rand.New(rand.NewPCG(seed, 11)), crashed: make(map[string]bool)}
	w.fleet.SetDuration(func(id workload.TaskID) (time.Duration, workload.End) {
		return time.Duration(300+211*id.Index+400*id.Step) * time.Millisecond, workload.EndDone
	})
	var ids []string
	for n := range 50 {
		ids = append(ids, fmt.Sprintf("job%d", n))
		w.submit(ids[n], plainStep(1+d.intN(6)), plainStep(1+d.intN(3), 0))
		time.Sleep(time.Duration(d.intN(600)) * time.Millisecond)
		h, id := w.hosts[d.intN(3)], fmt.Sprintf("x%d", d.intN(4))
		pause := time.Duration(500+d.intN(9000)) * time.Millisecond
		switch d.intN(9) {
		case 0, 1:
			if owner := w.leader(); owner != nil {
				h = owner
			}
			readsToo := d.intN(2) == 0
			h.handle.SetFault(func(write bool) rows.Fault {
				if write || readsToo {
					return rows.Refuse
				}
				return rows.None
			})
			time.AfterFunc(pause, func() { h.handle.SetFault(nil) })
		case 2, 3, 4:
			h.cut.Store(id, true)
			time.AfterFunc(pause, func() { h.cut.Delete(id) })
		case 5:
			d.crash(w, id)
		}
	}
	w.awaitAll(ids, workload.StatusCompleted, 120*time.Second)
	w.check()
}

// Guards against a former owner that starts a job of which it learns after another host has taken over: the new owner
// starts it too, on another executor, because nobody can have started it before.
func TestFormerOwnerLeavesLaterJobsAlone(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 2, 4)
		time.Sleep(5 * time.Second)
		former := w.leader()
		former.handle.SetFault(func(write bool) rows.Fault {
			if write {
				return rows.Refuse
			}
			return rows.None
		})
		for _, h := range w.hosts {
			for _, id := range []string{"x0", "x1"} {
				if h != former {
					h.cut.Store(id, true)
				}
			}
		}
		for _, id := range []string{"x2", "x3"} {
			former.cut.Store(id, true)
		}
		for successor := w.leader(); successor == nil || successor == former; successor = w.leader() {
			time.Sleep(10 * time.Millisecond)
		}
		// Jobs that are there when a new owner has loaded its state may run somewhere already.
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, former.manager.MayContinue())
		w.submit("job", plainStep(4))
		time.Sleep(2 * time.Second)
		assert.Assert(t, former.manager.MayContinue())
		w.check()
		starts, _ := w.fleet.Counts()
		assert.Equal(t, starts, 4)
	})
}

// Guards against a former owner that takes a start for impossible, because all leases that it knows of have lapsed, and
// starts the task elsewhere: the new owner has extended the leases, and the task may have ended since. The same goes for
// an executor whose machine the new owner has had maintained.
func TestFormerOwnersDoNotGuessWhatBecameOfTheirStarts(t *testing.T) {
	for name, gone := range map[string]bool{"lapsed": false, "machine ended": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := newWorld(t, 2, 2)
				w.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return time.Second, workload.EndDone })
				// Leases that an owner before may have given have lapsed.
				time.Sleep(20 * time.Second)
				former := w.leader()
				if !gone {
					w.fleet.SetFault(func(string, string) workers.Fault { return workers.LoseAnswer })
				}
				w.submit("first", plainStep(2))
				time.Sleep(20 * time.Millisecond)
				assert.Equal(t, len(w.fleet.Running()["x0"]), 2)
				w.fleet.SetFault(nil)
				former.cut.Store("x0", true)
				former.handle.SetFault(func(bool) rows.Fault { return rows.Refuse })
				for _, h := range w.hosts {
					if h != former {
						h.cut.Store("x1", true)
					}
				}
				time.Sleep(4 * time.Second)
				assert.Equal(t, w.status("first"), workload.StatusCompleted, "the new owner has seen the ends")
				if gone {
					w.machines.mu.Lock()
					w.machines.machines["m0"] = workload.Machine{ID: "m0", Pool: testService, State: workload.MachineInUpkeep, Capacity: capacity}
					w.machines.mu.Unlock()
				}
				time.Sleep(20 * time.Second)
				w.check()
				starts, _ := w.fleet.Counts()
				assert.Equal(t, starts, 2)
			})
		})
	}
}

// Guards against a new owner that takes the leases of an executor for lapsed that it does not reach, while a former owner
// still extends them.
func TestNewOwnersWaitForLeasesThatFormerOnesExtend(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const atX0 = 40 * time.Second
		w := newWorld(t, 2, 1)
		w.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return atX0, workload.EndDone })
		time.Sleep(5 * time.Second)
		w.submit("job", plainStep(2))
		time.Sleep(time.Second)
		former := w.leader()
		former.handle.SetFault(func(bool) rows.Fault { return rows.Refuse })
		for _, h := range w.hosts {
			if h != former {
				h.cut.Store("x0", true)
			}
		}
		w.fleet.Add("x1", capacity)
		putExecutor(w.store, "x1", capacity)
		time.Sleep(ownership.Continuation - ownership.Validity)
		starts, _ := w.fleet.Counts()
		assert.Equal(t, starts, 2)
		time.Sleep(30 * time.Second)
		starts, _ = w.fleet.Counts()
		assert.Equal(t, starts, 4, "the tasks start elsewhere when their leases have lapsed")
		w.check()
	})
}

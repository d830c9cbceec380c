package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// Guards against tasks that run twice because their executor, which only does not respond, is missing from one list of machines: a
// machine of an earlier page is removed before the next page is read, so the executor's machine moves to the page that was already read.
func TestTasksOfMachinesThatChangePagesRunOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCluster(t, 1, 5)
		var armed atomic.Bool
		c.machines.paginate(2, func() {
			if armed.CompareAndSwap(true, false) {
				c.machines.remove("m0")
			}
		})
		c.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return 30 * time.Second, workload.EndDone })
		time.Sleep(3 * time.Second)
		c.submit("job", plainStep(10))
		time.Sleep(time.Second)
		assert.Assert(t, len(c.fleet.Running()["x2"]) > 0)
		c.fleet.SetUnreachable("x2", true)
		time.Sleep(1500 * time.Millisecond)
		armed.Store(true)
		time.Sleep(2 * time.Second)
		assert.Assert(t, !armed.Load(), "no list was read while the leases on the executor lasted")
		c.checkViolations()
		c.fleet.SetUnreachable("x2", false)
		time.Sleep(20 * time.Second)
		c.checkViolations()
	})
}

// logged reports whether a host has logged a message.
func (c *cluster) logged(message string) bool {
	c.logMu.Lock()
	defer c.logMu.Unlock()
	return slices.ContainsFunc(c.logLines, func(line string) bool { return strings.Contains(line, message) })
}

// Guards against tasks that wait for the leases on an executor whose machine is gone: the list that confirms it must follow soon, also
// while nothing else asks for lists.
func TestMachinesThatAreGoneAreConfirmedSoon(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCluster(t, 1, 5)
		c.machines.paginate(2, func() {})
		c.fleet.SetDuration(func(workload.TaskID) (time.Duration, workload.End) { return 30 * time.Second, workload.EndDone })
		time.Sleep(3 * time.Second)
		c.submit("job", plainStep(10))
		time.Sleep(time.Second)
		assert.Assert(t, len(c.fleet.Running()["x2"]) > 0)
		c.machines.remove("m2")
		for !c.logged("contact with executor lost") {
			time.Sleep(10 * time.Millisecond)
		}
		// A list that counts is requested after listMargin, the one that confirms it after another interval.
		time.Sleep(listMargin + 2*(activeListInterval+tickInterval) + 100*time.Millisecond)
		running := 0
		for _, tasks := range c.fleet.Running() {
			running += len(tasks)
		}
		assert.Equal(t, running, 10)
		c.checkViolations()
	})
}

// Guards against conclusions that a list does not support: each case that must not end the executor has ended one that lived, or
// could. The others guard against tasks that wait for leases although their executor has certainly ended.
func TestPresenceByLists(t *testing.T) {
	const since, late = 10 * time.Second, 11 * time.Second
	up := func(id, executor string) workload.Machine {
		return workload.Machine{ID: id, Pool: "p", State: workload.MachineUp, Executor: executor}
	}
	in := func(state workload.MachineState) workload.Machine {
		return workload.Machine{ID: "m", Pool: "p", State: state}
	}
	a, b, m := up("a", "xa"), up("b", "xb"), up("m", "x")
	known, unknown := sighting{"x", "m", "p"}, sighting{executor: "x", pool: "p"}
	type list = []workload.Machine
	for _, test := range []struct {
		name    string
		x       sighting
		earlier *survey
		last    *survey
		want    presence
	}{
		{"no list yet", known, nil, nil, mayRun},
		{"listed", known, nil, newSurvey(list{a, m}, 1, late), mayRun},
		{"listed on another machine", known, nil, newSurvey(list{a, in(workload.MachineMoving), up("b", "x")}, 1, late), mayRun},
		{"listed with another executor", known, nil, newSurvey(list{up("m", "y")}, 2, late), ended},
		{"moving", known, nil, newSurvey(list{in(workload.MachineMoving)}, 2, late), ended},
		{"in maintenance", known, nil, newSurvey(list{in(workload.MachineInMaintenance)}, 2, late), ended},
		{"down", known, nil, newSurvey(list{in(workload.MachineDown)}, 2, late), ended},
		{"moving, in a list that is too old", known, nil, newSurvey(list{in(workload.MachineMoving)}, 2, since), unconfirmed},
		{"up without an ID", known, nil, newSurvey(list{up("m", "")}, 1, late), mayRun},
		{"up without an ID in another pool", known, nil, newSurvey(list{{ID: "m", Pool: "standby", State: workload.MachineUp}}, 2, late), ended},
		{"up without an ID and pool", known, nil, newSurvey(list{{ID: "m", State: workload.MachineUp}}, 2, late), mayRun},
		{"without a known state", known, nil, newSurvey(list{{ID: "m", Pool: "p"}}, 2, late), mayRun},
		{"missing from one page", known, nil, newSurvey(list{a, b}, 1, late), ended},
		{"missing from one page that is too old", known, nil, newSurvey(list{a, b}, 1, since+listMargin), unconfirmed},
		{"missing from two pages", known, nil, newSurvey(list{a, b}, 2, late), unconfirmed},
		{"missing twice", known, newSurvey(list{a, b}, 2, late), newSurvey(list{a, b}, 2, late), ended},
		{"missing twice, once too early", known, newSurvey(list{a, b}, 2, since+listMargin), newSurvey(list{a, b}, 2, late), unconfirmed},
		{"missing twice, and a machine of the first list from the second", known, newSurvey(list{a, b}, 2, late), newSurvey(list{b}, 2, late), unconfirmed},
		{"missing twice, and the second list has a new machine", known, newSurvey(list{b}, 2, late), newSurvey(list{a, b}, 2, late), ended},
		{"missing twice, and the first list repeats a machine", known, newSurvey(list{a, a, b}, 2, late), newSurvey(list{a, b}, 2, late), unconfirmed},
		{"listed, then missing", known, newSurvey(list{a, m}, 2, late), newSurvey(list{a}, 2, late), unconfirmed},
		{"missing, then listed", known, newSurvey(list{a}, 2, late), newSurvey(list{a, m}, 2, late), mayRun},
		{"missing, then up without an ID", known, newSurvey(list{a}, 2, late), newSurvey(list{a, up("m", "")}, 2, late), mayRun},
		{"missing, and an entry has no machine ID", known, nil, newSurvey(list{a, up("", "")}, 1, late), mayRun},
		{"unknown machine, missing from one page", unknown, nil, newSurvey(list{a, b}, 1, late), ended},
		{"unknown machine, missing from two pages", unknown, nil, newSurvey(list{a, b}, 2, late), unconfirmed},
		{"unknown machine, missing twice", unknown, newSurvey(list{a, b}, 2, late), newSurvey(list{a, b}, 2, late), ended},
		{"unknown machine, and one of its pool is up without an ID", unknown, nil, newSurvey(list{a, up("b", "")}, 1, late), mayRun},
		{
			"unknown machine, and one of its pool was up without an ID", unknown,
			newSurvey(list{a, up("b", "")}, 2, late), newSurvey(list{a, b}, 2, late), unconfirmed,
		},
		{
			"unknown machine, and one of another pool is up without an ID", unknown, nil,
			newSurvey(list{a, {ID: "b", Pool: "standby", State: workload.MachineUp}}, 1, late), ended,
		},
		{"unknown machine and pool, and one is up without an ID", sighting{executor: "x"}, nil, newSurvey(list{a, up("b", "")}, 1, late), mayRun},
		{"unknown machine and pool, missing", sighting{executor: "x"}, nil, newSurvey(list{a, b}, 1, late), ended},
	} {
		t.Run(test.name, func(t *testing.T) {
			var v surveys
			for _, s := range []*survey{test.earlier, test.last} {
				if s != nil {
					v.add(s)
				}
			}
			assert.Equal(t, v.presenceOf(test.x, since), test.want)
		})
	}
}

// Guards against a list that counts as complete and lacks a machine that was there all the time, with machines added and removed
// between the reads of any number of pages.
func TestCompleteListsLackNoMachine(t *testing.T) {
	const lists, pageSize = 20000, 3
	rng := rand.New(rand.NewPCG(1, 1))
	lacking, complete := 0, 0
	for range lists {
		var machines []string
		next := 0
		change := func() {
			for range rng.IntN(3) {
				if rng.IntN(2) == 0 && len(machines) > 0 {
					i := rng.IntN(len(machines))
					machines = slices.Delete(machines, i, i+1)
				} else {
					// IDs are not used again, and their order is not that of their creation.
					machines = append(machines, fmt.Sprintf("%03d-%d", rng.IntN(1000), next))
					next++
					slices.Sort(machines)
				}
			}
		}
		read := func() (list []workload.Machine, pages int, lasting []string) {
			lasting = slices.Clone(machines)
			for {
				end := min(len(list)+pageSize, len(machines))
				for _, id := range machines[min(len(list), end):end] {
					list = append(list, workload.Machine{ID: id, State: workload.MachineUp, Executor: "x" + id})
				}
				pages++
				lasting = slices.DeleteFunc(lasting, func(id string) bool { return !slices.Contains(machines, id) })
				if len(list) >= len(machines) {
					return list, pages, lasting
				}
				change()
			}
		}
		for range 4 + rng.IntN(12) {
			machines = append(machines, fmt.Sprintf("%03d-%d", rng.IntN(1000), next))
			next++
		}
		slices.Sort(machines)
		list, pages, lasting := read()
		first := newSurvey(list, pages, 0)
		lacks := slices.ContainsFunc(lasting, func(id string) bool { return first.lacks(sighting{"x" + id, id, ""}) })
		change()
		list, pages, _ = read()
		counts := first.completeBy(newSurvey(list, pages, 0))
		assert.Assert(t, !lacks || !counts, "%v lacks one of %v", first.machines, lasting)
		if lacks {
			lacking++
		}
		if counts && first.pages > 1 {
			complete++
		}
	}
	assert.Assert(t, lacking > lists/100 && complete > lists/100, "%d lists lacked a machine, %d of several pages were complete", lacking, complete)
}

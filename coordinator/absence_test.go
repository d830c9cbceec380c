package coordinator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/pools"
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

// Guards against an executor that lives and is ended after a confirmation for an operation that had been carried out before, because
// the next list shows its machine up without an ID for a moment.
func TestConfirmedOrderWaitsForTheExecutorOfItsMachine(t *testing.T) {
	now := 10 * time.Second
	l := newTestLeadership(t.Context(), func() time.Duration { return now })
	list := func(id string) {
		now += time.Second
		machine := workload.Machine{ID: "m", Pool: "b", State: workload.MachineUp, Executor: id}
		l.handleMachineEvent(now, machineEvent{isList: true, pages: 1, list: []workload.Machine{machine}, sentAt: now})
	}
	l.core.PutExecutor(now, workload.Executor{ID: "x", Service: "b"})
	l.executorRecords["x"] = executorRecord{Address: "a", Service: "b"}
	list("x")
	l.handleMachineEvent(now, machineEvent{action: pools.Action{Kind: pools.ActionMove, Machine: "m", Pool: "b"}})
	list("")
	_, known := l.executorRecords["x"]
	assert.Assert(t, known, "the machine may still run it")
	list("x")
	_, known = l.executorRecords["x"]
	assert.Assert(t, known, "the list names it")
	l.handleMachineEvent(now, machineEvent{action: pools.Action{Kind: pools.ActionMove, Machine: "m", Pool: "b"}})
	list("")
	list("y")
	_, known = l.executorRecords["x"]
	assert.Assert(t, !known, "another executor runs on its machine")
}

// Guards against tasks that wait for the leases on an executor whose machine is gone, because its last order was never verified.
func TestExecutorsOfOrderedMachinesThatAreGoneEnd(t *testing.T) {
	now := 10 * time.Second
	l := newTestLeadership(t.Context(), func() time.Duration { return now })
	l.core.PutExecutor(now, workload.Executor{ID: "x", Service: "b"})
	l.executorRecords["x"] = executorRecord{Address: "a", Service: "b"}
	machine := workload.Machine{ID: "m", Pool: "b", State: workload.MachineUp, Executor: "x"}
	l.handleMachineEvent(now, machineEvent{isList: true, pages: 1, list: []workload.Machine{machine}, sentAt: now})
	l.handleMachineEvent(now, machineEvent{action: pools.Action{Kind: pools.ActionMove, Machine: "m", Pool: "c"}})
	now += time.Second
	l.handleMachineEvent(now, machineEvent{isList: true, pages: 1, sentAt: now})
	assert.Equal(t, len(l.executorRecords), 0)
	assert.Equal(t, len(l.machines.unverified), 0)
}

// Guards against an executor that lives and is ended, whatever the order of lists read in pages, entries without an ID, orders whose
// confirmation comes late or for an operation that was carried out before, machines that come and go, and lost contact.
func TestNoOrderOfMachineEventsEndsALivingExecutor(t *testing.T) {
	ends := 0
	for seed := range uint64(300) {
		p := &machineTrial{rng: rand.New(rand.NewPCG(seed, 3)), machines: make(map[string]workload.Machine), living: make(map[string]bool)}
		p.l = newTestLeadership(t.Context(), func() time.Duration { return p.now })
		p.now = 10 * time.Second
		for range 9 {
			p.addMachine()
		}
		for range 500 {
			p.now += time.Duration(p.rng.IntN(100)) * time.Millisecond
			p.step()
			known := slices.Collect(maps.Keys(p.l.executorRecords))
			p.deliver()
			for _, id := range known {
				if _, ok := p.l.executorRecords[id]; !ok {
					ends++
					assert.Assert(t, !p.living[id], "seed %d: %s ended at %s while it lived", seed, id, p.now)
				}
			}
		}
	}
	assert.Assert(t, ends > 1000, "%d executors ended", ends)
}

// machineTrial is a machine service, and what it has sent to an owner that has not received it yet.
type machineTrial struct {
	rng      *rand.Rand
	l        *leadership
	now      time.Duration
	machines map[string]workload.Machine
	// living holds the executors that run.
	living map[string]bool
	next   int
	due    []dueEvent
	// reading is the list that is being read, if there is one.
	reading *machineEvent
}

// dueEvent is something that happens at a time.
type dueEvent struct {
	at time.Duration
	do func()
}

// after makes something happen within limit.
func (p *machineTrial) after(least, most time.Duration, do func()) {
	p.due = append(p.due, dueEvent{p.now + least + time.Duration(p.rng.Int64N(int64(most-least))), do})
}

// deliver makes happen what is due, in order of time.
func (p *machineTrial) deliver() {
	for {
		slices.SortStableFunc(p.due, func(a, b dueEvent) int { return int(a.at - b.at) })
		if len(p.due) == 0 || p.due[0].at > p.now {
			return
		}
		do := p.due[0].do
		p.due = p.due[1:]
		do()
	}
}

func (p *machineTrial) addMachine() {
	p.next++
	id := fmt.Sprintf("m%02d-%d", p.rng.IntN(100), p.next)
	p.machines[id] = workload.Machine{ID: id, Pool: "a", State: workload.MachineUp}
	p.startExecutor(id)
}

// startExecutor starts an executor on a machine, and registers it with the owner.
func (p *machineTrial) startExecutor(machine string) {
	p.next++
	id := fmt.Sprintf("x%d", p.next)
	m := p.machines[machine]
	m.State, m.Executor = workload.MachineUp, id
	p.machines[machine], p.living[id] = m, true
	p.after(0, 300*time.Millisecond, func() {
		p.l.core.PutExecutor(p.now, workload.Executor{ID: id, Service: m.Pool})
		p.l.executorRecords[id] = executorRecord{Address: id, Service: m.Pool}
	})
}

// carryOut moves a machine to another pool, where it starts an executor within 1.5 s.
func (p *machineTrial) carryOut(machine, pool string) {
	m, ok := p.machines[machine]
	if !ok || m.State != workload.MachineUp {
		return
	}
	delete(p.living, m.Executor)
	m.State, m.Pool, m.Executor = workload.MachineMoving, pool, ""
	p.machines[machine] = m
	p.after(300*time.Millisecond, 1500*time.Millisecond, func() {
		if _, ok := p.machines[machine]; ok {
			p.startExecutor(machine)
		}
	})
}

// order moves a machine; up to three attempts are carried out, each late, and the confirmation is later still. Sometimes it is one
// for an operation that was carried out for a former owner.
func (p *machineTrial) order(machine string) {
	pool := []string{"a", "b"}[p.rng.IntN(2)]
	l := p.l
	if _, ok := l.machines.pendingOrders[machine]; ok || machine == "" {
		return
	}
	action := pools.Action{Kind: pools.ActionMove, Machine: machine, Pool: pool}
	l.machines.pendingOrders[machine] = action
	confirm := func() { l.handleMachineEvent(p.now, machineEvent{action: action}) }
	if p.rng.IntN(3) == 0 {
		p.after(0, 2*time.Second, confirm)
		return
	}
	p.after(0, 500*time.Millisecond, func() {
		p.carryOut(machine, pool)
		p.after(0, 4*time.Second, confirm)
	})
}

// readPage reads the next page of a list. The list reaches the owner after the last one.
func (p *machineTrial) readPage() {
	const pageSize = 4
	e := p.reading
	all := slices.SortedFunc(maps.Values(p.machines), func(a, b workload.Machine) int { return strings.Compare(a.ID, b.ID) })
	from := min(len(e.list), len(all))
	to := min(from+pageSize, len(all))
	for _, m := range all[from:to] {
		if p.rng.IntN(20) == 0 {
			m.Executor = ""
		}
		e.list = append(e.list, m)
	}
	e.pages++
	if to < len(all) {
		p.after(time.Millisecond, 100*time.Millisecond, p.readPage)
		return
	}
	p.after(time.Millisecond, 300*time.Millisecond, func() {
		p.reading = nil
		p.l.handleMachineEvent(p.now, *e)
	})
}

// step makes something happen at random.
func (p *machineTrial) step() {
	ids := slices.Sorted(maps.Keys(p.machines))
	machine := ""
	if len(ids) > 0 {
		machine = ids[p.rng.IntN(len(ids))]
	}
	executor := p.machines[machine].Executor
	_, known := p.l.executorRecords[executor]
	switch p.rng.IntN(12) {
	case 0:
		p.order(machine)
	case 1:
		p.addMachine()
	case 2, 3:
		if len(ids) > 5 {
			delete(p.machines, machine)
			delete(p.living, executor)
		}
	case 4, 5:
		p.l.core.LoseContact(p.now, executor, false)
	case 6:
		if known {
			p.l.core.Report(p.now, executor, workload.Report{BornUnixMS: 1}, p.now, 0)
		}
	default:
		if p.reading == nil {
			p.reading = &machineEvent{isList: true, sentAt: p.now}
			p.readPage()
		}
	}
}

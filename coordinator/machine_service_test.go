package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/pools"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/workload"
)

const (
	otherService   = "other"
	standbyService = "standby"
	moveTime       = 1500 * time.Millisecond
	upkeepTime     = time.Second
	// machinesPerPage is the size of a page of the list of machines.
	machinesPerPage = 3
	// minMachines is the number of machines below which none is removed.
	minMachines = 4
)

// movingMachines is a machine service that carries orders out, and the platform that runs an executor on each machine. Its calls
// and its executors have random faults.
type movingMachines struct {
	c      *cluster
	faults *randomFaults

	mu       sync.Mutex
	machines map[string]*movingMachine
	lastID   int
	moves    int
}

// movingMachine is a machine with its executor, which is empty while the machine is down or between two executors.
type movingMachine struct {
	workload.Machine
	// running is set while the executor's process runs.
	running bool
	// maintained holds the waves in which the machine had its maintenance.
	maintained map[int]bool
}

// add adds a machine to a pool and starts its executor.
func (m *movingMachines) add(pool string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	x := &movingMachine{
		Machine:    workload.Machine{ID: fmt.Sprintf("m%03d-%d", m.faults.intN(1000), m.lastID), Pool: pool, Capacity: capacity},
		maintained: make(map[int]bool),
	}
	m.machines[x.ID] = x
	m.start(x, "")
}

// start starts a new executor on a machine, except in standby. An executor that ended before has the address of the new one.
// The caller holds m.mu, as for all methods below that do not lock it.
func (m *movingMachines) start(x *movingMachine, ended string) {
	x.State = workload.MachineUp
	if x.Pool == standbyService {
		return
	}
	m.lastID++
	x.Executor, x.running = fmt.Sprintf("x%d", m.lastID), true
	m.c.fleet.Add(x.Executor, capacity)
	if ended != "" {
		m.c.fleet.Replace(ended, x.Executor)
	}
	m.register(x, m.c.fleet.BornUnixMS(x.Executor))
}

// register stores the registration of a machine's executor within 200 ms, if its incarnation still runs then.
func (m *movingMachines) register(x *movingMachine, born int64) {
	id := x.Executor
	time.AfterFunc(time.Duration(m.faults.intN(200))*time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.putRegistration(x, id, born)
	})
}

func (m *movingMachines) putRegistration(x *movingMachine, id string, born int64) {
	if x.Executor != id || !x.running || m.c.fleet.BornUnixMS(id) != born {
		return
	}
	value, err := json.Marshal(workload.Executor{
		ID: id, Service: x.Pool, Address: "addr-" + x.ID, Capacity: capacity, Kind: "a", Rack: "r", BornUnixMS: born,
	})
	if err == nil {
		m.c.store.Put(rowstore.Key{Table: "executors", Name: id}, value)
	}
}

// end ends the executor of a machine for good. Its registration stays for up to 2 s.
func (m *movingMachines) end(x *movingMachine) {
	id := x.Executor
	if id == "" {
		return
	}
	x.Executor, x.running = "", false
	m.endProcess(id)
	time.AfterFunc(time.Duration(m.faults.intN(2000))*time.Millisecond, func() {
		m.c.store.Delete(rowstore.Key{Table: "executors", Name: id})
	})
}

// endProcess ends a process; its address refuses connections or does not respond.
func (m *movingMachines) endProcess(id string) {
	if m.faults.intN(2) == 0 {
		m.c.fleet.CrashRefusing(id)
	} else {
		m.c.fleet.Crash(id)
	}
}

// pick returns a random machine.
func (m *movingMachines) pick() *movingMachine {
	ids := m.ids()
	return m.machines[ids[m.faults.intN(len(ids))]]
}

func (m *movingMachines) ids() []string { return slices.Sorted(maps.Keys(m.machines)) }

// restart ends the executor of a random machine and starts it again under its ID within the limit.
func (m *movingMachines) restart(limit time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.pick()
	id := x.Executor
	if !x.running {
		return
	}
	x.running = false
	m.endProcess(id)
	time.AfterFunc(time.Duration(m.faults.intN(int(limit.Milliseconds())))*time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if x.Executor == id {
			x.running = true
			m.c.fleet.Add(id, capacity)
			m.register(x, m.c.fleet.BornUnixMS(id))
		}
	})
}

// dropRegistration deletes the registration of a random executor, and puts it back within 2 s.
func (m *movingMachines) dropRegistration() {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.pick()
	if !x.running {
		return
	}
	id, born := x.Executor, m.c.fleet.BornUnixMS(x.Executor)
	m.c.store.Delete(rowstore.Key{Table: "executors", Name: id})
	time.AfterFunc(time.Duration(m.faults.intN(2000))*time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.putRegistration(x, id, born)
	})
}

// cutOff makes a random executor unreachable for up to limit.
func (m *movingMachines) cutOff(limit time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.pick()
	if !x.running {
		return
	}
	id := x.Executor
	m.c.fleet.SetUnreachable(id, true)
	time.AfterFunc(time.Duration(m.faults.intN(int(limit.Milliseconds())))*time.Millisecond, func() { m.c.fleet.SetUnreachable(id, false) })
}

// replace removes a random machine, and adds another one to its pool 2 s later.
func (m *movingMachines) replace() {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.pick()
	if x.State != workload.MachineUp || len(m.machines) <= minMachines {
		return
	}
	delete(m.machines, x.ID)
	m.end(x)
	time.AfterFunc(2*time.Second, func() { m.add(x.Pool) })
}

// rewriteRegistration writes a registration again, which stalls the hosts that decode it if a stall is due.
func (m *movingMachines) rewriteRegistration() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if x := m.pick(); x.running {
		m.putRegistration(x, x.Executor, m.c.fleet.BornUnixMS(x.Executor))
	}
}

// List implements Machines. It reads pages by offset at different moments.
func (m *movingMachines) List(ctx context.Context) (list []workload.Machine, pages int, err error) {
	requested := m.c.now()
	for offset := 0; ; offset += machinesPerPage {
		if !pause(ctx, m.faults.callTime(250)) {
			return nil, 0, pools.ErrNoResponse
		}
		m.mu.Lock()
		ids := m.ids()
		end := min(offset+machinesPerPage, len(ids))
		for _, id := range ids[min(offset, end):end] {
			x := m.machines[id].Machine
			if !m.machines[id].running {
				x.Executor = ""
			}
			list = append(list, x)
		}
		m.mu.Unlock()
		pages++
		if !pause(ctx, m.faults.callTime(250)) {
			return nil, 0, pools.ErrNoResponse
		}
		if end >= len(ids) {
			m.recordMissing(requested, list)
			return list, pages, nil
		}
	}
}

// recordMissing logs the executors that run now and that a list does not name, because they were down, or on no page, when it was read.
func (m *movingMachines) recordMissing(requested time.Duration, list []workload.Machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	named := make(map[string]bool, len(list))
	for _, x := range list {
		named[x.Executor], named[x.ID] = true, true
	}
	for _, id := range m.ids() {
		if x := m.machines[id]; x.running && !named[x.Executor] {
			m.c.logLine("list requested at %d does not name %s, machine listed: %t", requested.Milliseconds()+1, x.Executor, named[id])
		}
	}
}

// pause returns false if ctx ends within d.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// callTime is 2 ms for most calls, and up to limitMS for the others.
func (f *randomFaults) callTime(limitMS int) time.Duration {
	if time.Now().After(f.faultsEndAt) || f.intN(4) > 0 {
		return 2 * time.Millisecond
	}
	return time.Duration(f.intN(limitMS)) * time.Millisecond
}

// call carries an order out with a random fault.
func (m *movingMachines) call(ctx context.Context, carryOut func() error) error {
	roll := 100
	if time.Now().Before(m.faults.faultsEndAt) {
		roll = m.faults.intN(12)
	}
	switch roll {
	case 0:
		return pools.ErrNotDone
	case 1:
		<-ctx.Done()
		return pools.ErrNoResponse
	case 2, 3:
		_ = m.locked(carryOut)
		<-ctx.Done()
		return pools.ErrNoResponse
	}
	if !pause(ctx, m.faults.callTime(700)) {
		return pools.ErrNoResponse
	}
	err := m.locked(carryOut)
	if !pause(ctx, m.faults.callTime(700)) {
		return pools.ErrNoResponse
	}
	return err
}

func (m *movingMachines) locked(carryOut func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return carryOut()
}

// Move implements Machines. A move to the pool that the machine is in, or on its way to, is done already; some of the latter are busy.
func (m *movingMachines) Move(ctx context.Context, o pools.Order) error {
	return m.call(ctx, func() error {
		x := m.machines[o.Machine]
		switch {
		case x == nil:
			return errors.Wrap(pools.ErrRejected, "no such machine")
		case x.State != workload.MachineUp && (x.Pool != o.Pool || m.faults.intN(2) == 0):
			return errors.Wrap(pools.ErrRejected, "busy")
		case x.Pool == o.Pool:
			return nil
		}
		m.moves++
		m.leaveFor(x, workload.MachineMoving, moveTime)
		x.Pool = o.Pool
		return nil
	})
}

// Maintain implements Machines.
func (m *movingMachines) Maintain(ctx context.Context, o pools.Order) error {
	return m.call(ctx, func() error {
		x := m.machines[o.Machine]
		switch {
		case x == nil:
			return errors.Wrap(pools.ErrRejected, "no such machine")
		case x.maintained[o.Wave]:
			return nil
		case x.State != workload.MachineUp:
			return errors.Wrap(pools.ErrRejected, "busy")
		}
		x.maintained[o.Wave] = true
		m.leaveFor(x, workload.MachineInMaintenance, upkeepTime)
		return nil
	})
}

// leaveFor ends the executor of a machine and starts another one after d.
func (m *movingMachines) leaveFor(x *movingMachine, state workload.MachineState, d time.Duration) {
	ended := x.Executor
	m.end(x)
	x.State = state
	time.AfterFunc(d, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.start(x, ended)
	})
}

package bed

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Machines is a stand-in of the service that moves machines and takes them down for upkeep.
type Machines struct {
	bed *Bed

	mu sync.Mutex
	// Silent is set while calls are carried out and get no response.
	silent bool
	// down and moving hold until when a machine has its upkeep or is moved.
	down, moving map[string]time.Time
	orders       []MachineOrder
}

// MachineOrder is an order for a machine, as the platform saw it.
type MachineOrder struct {
	At            time.Time
	Machine, Kind string
	Holder, Fence string
	Answered      bool
}

// Machines returns the machine service.
func (b *Bed) Machines() *Machines { return b.machines }

// SetSilent turns the silence on or off.
func (m *Machines) SetSilent(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silent = on
	m.bed.Record.Add("machines", "silent: %t", on)
}

// Orders returns the orders so far.
func (m *Machines) Orders() []MachineOrder {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]MachineOrder(nil), m.orders...)
}

func (m *Machines) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", m.list)
	mux.HandleFunc("POST /machine-move", m.order)
	mux.HandleFunc("POST /machine-upkeep", m.order)
	return mux
}

// await holds a call back while the service is silent. It returns false if the caller has left meanwhile.
func (m *Machines) await(r *http.Request) bool {
	for {
		m.mu.Lock()
		silent := m.silent
		m.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (m *Machines) list(w http.ResponseWriter, r *http.Request) {
	if !m.await(r) {
		return
	}
	m.bed.mu.Lock()
	executors := append([]*Executor(nil), m.bed.executors...)
	m.bed.mu.Unlock()
	list := []map[string]any{}
	m.mu.Lock()
	for _, e := range executors {
		state, id := "up", e.ID
		if until, ok := m.down[machineOf(e)]; ok && time.Now().Before(until) {
			state, id = "upkeep", ""
		}
		e.mu.Lock()
		gone := e.gone
		e.mu.Unlock()
		switch {
		case time.Now().Before(m.moving[machineOf(e)]):
			state, id = "moving", ""
		case gone && e.Service == Standby:
			id = ""
		case gone && state == "up":
			state, id = "down", ""
		}
		list = append(list, map[string]any{
			"Machine": machineOf(e), "Pool": e.Service, "State": state, "Zone": "z1", "Labels": []string{"a", e.Rack},
			"Capacity": e.Capacity, "Id": id,
		})
	}
	m.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a]["Machine"].(string) < list[b]["Machine"].(string) })
	writeJSON(w, http.StatusOK, map[string]any{"Machines": list, "NextToken": ""})
}

// machineOf returns the machine of an executor, whose id is MACHINE-LIFE.
func machineOf(e *Executor) string {
	machine, _, _ := strings.Cut(e.ID, "-")
	return "m" + machine
}

func (m *Machines) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"Machine"`
		Pool    string `json:"Pool"`
		Wave    int    `json:"Wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	x := MachineOrder{
		At: time.Now(), Machine: o.Machine, Kind: r.URL.Path, Holder: r.Header.Get("Lease-Holder"), Fence: r.Header.Get("Fencing-Token"),
		Answered: !m.silent,
	}
	m.orders = append(m.orders, x)
	m.mu.Unlock()
	m.bed.Record.Add("machines", "%s for %s from %s, fence %s, answered: %t", x.Kind, x.Machine, x.Holder, x.Fence, x.Answered)
	m.carryOut(o.Machine, o.Pool)
	if !m.await(r) {
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

const (
	maintenanceTime = 2 * time.Second
	migrateTime     = 1500 * time.Millisecond
)

// Standby is the service whose machines are off; they have no executor.
const Standby = "standby"

// AddStandbyMachine adds a machine to the standby pool.
func (b *Bed) AddStandbyMachine(id, rack string, capacity Size) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.executors = append(b.executors, &Executor{ID: id, Service: Standby, Rack: rack, Capacity: capacity, bed: b, gone: true})
}

// carryOut moves a machine to a pool, or takes it down for its upkeep if the pool is empty, unless that is done already.
func (m *Machines) carryOut(machine, pool string) {
	m.bed.mu.Lock()
	var found *Executor
	for _, e := range m.bed.executors {
		if machineOf(e) == machine {
			found = e
		}
	}
	m.bed.mu.Unlock()
	m.mu.Lock()
	if m.down == nil {
		m.down, m.moving = make(map[string]time.Time), make(map[string]time.Time)
	}
	_, done := m.down[machine]
	if pool != "" {
		done = found == nil || found.Service == pool || time.Now().Before(m.moving[machine])
	}
	takes := maintenanceTime
	switch {
	case done || found == nil:
	case pool != "":
		takes = migrateTime
		m.moving[machine] = time.Now().Add(takes)
	default:
		m.down[machine] = time.Now().Add(takes)
	}
	m.mu.Unlock()
	if done || found == nil {
		return
	}
	if found.Service != Standby {
		found.End()
	}
	m.bed.Record.Add("machines", "%s is taken down, for pool %q", machine, pool)
	time.AfterFunc(takes, func() {
		if _, err := found.restartIn(pool); err != nil {
			m.bed.Record.Add("machines", "the executor after %s cannot start: %v", found.ID, err)
		}
	})
}

// UpkeepBegun reports whether the upkeep of a machine has begun.
func (m *Machines) UpkeepBegun(machine string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.down[machine]
	return ok
}

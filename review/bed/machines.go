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
	// down and moving hold until when a machine has its upkeep or is moved.
	down, moving map[string]time.Time
}

func (m *Machines) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", m.list)
	mux.HandleFunc("POST /machine-move", m.order)
	mux.HandleFunc("POST /machine-upkeep", m.order)
	return mux
}

func (m *Machines) list(w http.ResponseWriter, _ *http.Request) {
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
	m.bed.Record.Add("machines", "%s for %s from %s, fence %s", r.URL.Path, o.Machine, r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token"))
	m.carryOut(o.Machine, o.Pool)
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

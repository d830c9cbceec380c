package loadview

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/structs"
)

func testView() *structs.View {
	return &structs.View{
		Services:    map[string]*structs.Service{"s": {Name: "s", DeclaredRunTimeMS: 40}},
		Pools:       map[string]*structs.Pool{"p": {Name: "p", DataCentre: "dc1", Service: "s"}, "q": {Name: "q", DataCentre: "dc2"}},
		Hosts:       map[string]*structs.Host{"h": {Name: "h", DataCentre: "dc1", Pool: "p"}, "far": {Name: "far", DataCentre: "dc2", Pool: "q"}},
		Assignments: map[string]*structs.Assignment{"h": {Host: "h", Pool: "p", Phase: structs.PhaseActive}},
		States:      map[string]structs.HostState{"h": {Name: "h", Live: true}},
		Leaving:     map[string]uint64{},
	}
}

func report(entry string, queued int, arrived uint64) Report {
	return Report{
		Entry: entry, Incarnation: "1", Hosts: []HostLoad{{Host: "h", InProgress: 3}},
		Pools: []PoolLoad{{Pool: "p", QueuedUrgent: queued, Arrived: arrived, MeanRunTime: 100 * time.Millisecond}},
	}
}

// Guards against a snapshot that contains only the load of its own entry host, or that counts a stopped one forever.
func TestSnapshotSumsAllLiveEntryHosts(t *testing.T) {
	now := time.Unix(0, 0)
	arrived := uint64(0)
	a := New(Options{
		DataCentre: "dc1", View: testView, Now: func() time.Time { return now },
		Own: func() Report { return report("own", 2, arrived) },
	})
	a.Add(report("peer", 5, 10))
	s := a.PlannerSnapshot()
	assert.Equal(t, len(s.Hosts), 1)
	assert.Equal(t, s.Hosts[0].InFlight, 6)
	assert.Equal(t, s.Pools[0].Backlog, 7)
	assert.Equal(t, s.Pools[0].ServiceTime, 100*time.Millisecond)

	now, arrived = now.Add(time.Second), 30
	a.Add(report("peer", 5, 60))
	assert.Equal(t, a.PlannerSnapshot().Pools[0].ArrivalRate, 80.0)

	now = now.Add(3 * time.Second)
	s = a.PlannerSnapshot()
	assert.Equal(t, s.Pools[0].Backlog, 2)
	assert.Equal(t, s.Hosts[0].InFlight, 3)
}

// Guards against a wrong arrival rate after an entry host restarted and its counters began at zero again.
func TestRestartedEntryHostStartsANewRate(t *testing.T) {
	now := time.Unix(0, 0)
	a := New(Options{
		DataCentre: "dc1", View: testView, Now: func() time.Time { return now },
		Own: func() Report { return Report{Entry: "own"} },
	})
	a.Add(report("peer", 0, 1000))
	now = now.Add(time.Second)
	restarted := report("peer", 0, 5)
	restarted.Incarnation = "2"
	a.Add(restarted)
	assert.Equal(t, a.PlannerSnapshot().Pools[0].ArrivalRate, 0.0)
}

package fleet

import (
	"fmt"
	"testing"

	"github.com/tamarackworks/tamarackworks/structs"
)

// newFullSizeReplica returns a replica of the design size, with 1,500 hosts, 206 pools of 8 services and 340 teams, and
// the states of its hosts.
func newFullSizeReplica() (*Replica, []structs.HostState) {
	r := New(Options{DataCentre: "dc1"})
	var objects []structs.TicketObject
	for i := range 206 {
		objects = append(objects, putObject(structs.KindPool, fmt.Sprintf("p%d", i), structs.Pool{DataCentre: "dc1", Service: fmt.Sprintf("s%d", i%8)}))
	}
	for i := range 340 {
		objects = append(objects, putObject(structs.KindTeam, fmt.Sprintf("t%d", i), structs.Team{MaxJobs: i}))
	}
	var states []structs.HostState
	var assignments []structs.Assignment
	for i := range 1500 {
		h := structs.Host{Name: fmt.Sprintf("h%04d", i), DataCentre: "dc1", Rack: "r", Address: "10.0.0.1:80", Pool: fmt.Sprintf("p%d", i%206)}
		objects = append(objects, putObject(structs.KindHost, h.Name, h))
		states = append(states, structs.HostState{Name: h.Name, DataCentre: "dc1", Incarnation: 1, Live: true})
		assignments = append(assignments, structs.Assignment{Host: h.Name, DataCentre: "dc1", Pool: h.Pool, Phase: structs.PhaseActive, Generation: 1})
	}
	r.MergeTickets([]structs.Ticket{{Number: 1, Objects: objects}})
	r.MergeAssignments(assignments)
	r.SetHostStates(states)
	return r, states
}

func BenchmarkState(b *testing.B) {
	r, _ := newFullSizeReplica()
	b.Run("load", func(b *testing.B) {
		for b.Loop() {
			newFullSizeReplica()
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			r.Snapshot()
		}
	})
}

func BenchmarkPublish(b *testing.B) {
	r, states := newFullSizeReplica()
	number, generation := uint64(1), uint64(1)
	b.Run("unchanged-list", func(b *testing.B) {
		for b.Loop() {
			r.SetHostStates(states)
		}
	})
	b.Run("one-host-state", func(b *testing.B) {
		for b.Loop() {
			states[7].Live = !states[7].Live
			r.SetHostStates(states)
		}
	})
	b.Run("one-assignment", func(b *testing.B) {
		for b.Loop() {
			generation++
			r.MergeAssignments([]structs.Assignment{{Host: "h0700", DataCentre: "dc1", Pool: fmt.Sprintf("p%d", generation%206), Phase: structs.PhaseActive, Generation: generation}})
		}
	})
	for kind, o := range map[string]structs.TicketObject{
		"team": putObject(structs.KindTeam, "t7", structs.Team{MaxJobs: 1}),
		"host": putObject(structs.KindHost, "h0007", structs.Host{DataCentre: "dc1", Pool: "p7"}),
		"pool": putObject(structs.KindPool, "p7", structs.Pool{DataCentre: "dc1", Service: "s7"}),
	} {
		b.Run("ticket-"+kind, func(b *testing.B) {
			for b.Loop() {
				number++
				r.MergeTickets([]structs.Ticket{{Number: number, Objects: []structs.TicketObject{o}}})
			}
		})
	}
}

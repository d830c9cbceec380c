package operator

import (
	"context"
	"time"

	"github.com/tamarackworks/tamarackworks/structs"
)

// Fleet is the replicated state of the entry host; fleet.Replica implements it.
type Fleet interface {
	// View returns the current view, which must not be changed.
	View() *structs.View
	// Ready reports whether the state is loaded, so that the view is complete.
	Ready() bool
	// Objects returns the declared objects of a kind, or of all kinds if it is empty, and their version: they have the effect
	// of all tickets up to it.
	Objects(kind structs.Kind) ([]structs.Object, uint64)
	// Tickets returns recent tickets with a number greater than after, in ascending order, at most limit.
	Tickets(after uint64, limit int) []structs.Ticket
	// LeavingReason returns why a host is marked as leaving, or an empty string if it is not.
	LeavingReason(host string) string
}

// EntryStatus is the state of one entry host as its heartbeats report it.
type EntryStatus struct {
	Entry      string
	DataCentre string
	// Version is the last reported version: all tickets up to this number were in effect there.
	Version   uint64
	Reachable bool
	// Since is the time at which the ticket of the call came into effect there, zero if that is not known.
	Since time.Time
}

// Entries is the source of the state of the entry hosts.
type Entries interface {
	// EntryStatus returns the state of all registered entry hosts, including this one. The number selects the ticket that
	// EntryStatus.Since refers to.
	EntryStatus(number uint64) []EntryStatus
}

// PoolLoad is the number of requests of a pool that are queued or in progress, summed over the entry hosts of the data centre.
type PoolLoad struct {
	QueuedUrgent int
	QueuedBatch  int
	InProgress   int
}

// Loads is the source of the load in the data centre of this entry host, counted by this entry host and reported in the
// heartbeats of its peers.
type Loads interface {
	// PoolLoads returns the load of each pool by its name.
	PoolLoads() map[string]PoolLoad
	// HostLoads returns the number of requests in progress by host name.
	HostLoads() map[string]int
}

// WaveStatus is the progress of a maintenance wave.
type WaveStatus struct {
	Name       string
	DataCentre string
	State      string
	Done       int
	Total      int
	// Current names the hosts that are out of service for the wave.
	Current string
	Reason  string
	// End is the estimated completion time, zero if there is none.
	End time.Time
}

// Waves is the source of the progress of maintenance waves.
type Waves interface {
	// Waves returns the waves of a data centre, or of all data centres if it is empty.
	Waves(ctx context.Context, dataCentre string) ([]WaveStatus, error)
}

// Jobs is the source of long jobs.
type Jobs interface {
	// Jobs returns the jobs of a data centre, or of all data centres if it is empty.
	Jobs(ctx context.Context, dataCentre string) ([]structs.Job, error)
}

// Explainer explains decisions about requests and hosts, a sentence a line. It returns no lines for requests and hosts that
// it does not know.
type Explainer interface {
	// ExplainRequest explains why a request was rejected.
	ExplainRequest(ctx context.Context, requestID string) ([]string, error)
	// ExplainHost explains the state of a host, such as why it may not leave.
	ExplainHost(ctx context.Context, host string) ([]string, error)
}

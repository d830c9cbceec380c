// Package structs holds the data types that all packages share.
//
// The types have no behaviour beyond simple derivations, so that planners can be
// pure functions of them.
package structs

import "time"

// Kind names a kind of declared object.
type Kind string

// Kinds of declared objects.
const (
	KindService Kind = "service"
	KindPool    Kind = "pool"
	KindHost    Kind = "host"
	KindTeam    Kind = "team"
	KindWave    Kind = "wave"
	KindDrain   Kind = "drain"
)

// Priority orders work in admission queues.
type Priority string

// Priorities of requests. Urgent work is served before batch work.
const (
	PriorityUrgent Priority = "urgent"
	PriorityBatch  Priority = "batch"
)

// Outcome states what is known about the execution of a request.
type Outcome string

// Outcomes reported to callers.
const (
	// OutcomeDone means that the target executed the request and its whole response is known.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request certainly was not executed.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may or may not have been executed.
	OutcomeUnknown Outcome = "unknown"
)

// Phase is the state of a host's assignment to a pool.
type Phase string

// Phases of an assignment. Only an active host receives new work.
const (
	PhaseActive Phase = "active"
	// PhaseReleasing means that entry hosts stop using the host, which then moves to NextPool.
	PhaseReleasing Phase = "releasing"
	// PhaseDraining means that entry hosts stop using the host, which then goes down or reboots. It returns to service
	// instead if the drain or the wave is withdrawn before.
	PhaseDraining Phase = "draining"
	// PhaseRebooting means that the host is drained and reboots for a wave.
	PhaseRebooting Phase = "rebooting"
	// PhaseDown means that the host is drained and out of service until its drain is deleted or, if it was removed from the
	// declarations, it is declared again.
	PhaseDown Phase = "down"
)

const (
	// UrgentStartLimit is the longest time that urgent work may wait before it starts.
	UrgentStartLimit = 3700 * time.Millisecond
	// DefaultSlots is the number of requests that a target executes at once.
	DefaultSlots = 8
	// DefaultConnections is the number of connections that a target accepts.
	DefaultConnections = 64
)

// Service is a kind of work that callers ask for.
type Service struct {
	Name string `json:"name"`
	// CrossDC lets another data centre serve a request if the data centre that received it has no usable target.
	CrossDC bool `json:"cross_dc,omitempty"`
	// DefaultDeadlineMS applies to requests without a deadline, in milliseconds.
	DefaultDeadlineMS int `json:"default_deadline_ms,omitempty"`
	// MaxBodyBytes bounds request bodies.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// DeclaredRunTimeMS is the declared mean run time in milliseconds, used until run times have been measured.
	DeclaredRunTimeMS int `json:"declared_run_time_ms,omitempty"`
}

// Pool is a set of hosts in one data centre that serve one service.
type Pool struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Service is empty for a spare pool.
	Service string `json:"service,omitempty"`
	// Spare marks a pool whose hosts may be lent to any other pool of the data centre.
	Spare    bool `json:"spare,omitempty"`
	MinHosts int  `json:"min_hosts"`
	// MaxUnavailable is the pool's disruption budget: how many of its hosts may be out of service at once.
	MaxUnavailable int `json:"max_unavailable"`
	// Priority orders pools that compete for hosts; the highest comes first.
	Priority int `json:"priority,omitempty"`
}

// Host is a machine that runs targets and tasks.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	// Address is the IP address and port of the target on the host.
	Address      string `json:"address"`
	Slots        int    `json:"slots,omitempty"`
	Connections  int    `json:"connections,omitempty"`
	Cores        int    `json:"cores,omitempty"`
	MemoryMB     int    `json:"memory_mb,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
	// Pool is the declared home pool; the current pool is in the assignment.
	Pool string `json:"pool"`
}

// Team is a group of callers with a quota.
type Team struct {
	Name string `json:"name"`
	// MaxConcurrent limits concurrent requests in each data centre; 0 means no limit.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// MaxJobs limits unfinished long jobs in each data centre; 0 means no limit.
	MaxJobs int `json:"max_jobs,omitempty"`
	// MaxCores limits the cores of running long jobs in each data centre; 0 means no limit.
	MaxCores int `json:"max_cores,omitempty"`
}

// Wave is a maintenance wave over the hosts of some pools of one data centre.
type Wave struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Pools limits the wave; empty means all pools of the data centre.
	Pools []string `json:"pools,omitempty"`
	// MaxParallel limits how many hosts are out for the wave at once; at least 1.
	MaxParallel int `json:"max_parallel"`
	// Paused keeps the wave from taking out further hosts.
	Paused bool `json:"paused,omitempty"`
}

// WaveState is the state of a maintenance wave.
type WaveState string

// States of a maintenance wave.
const (
	WaveRunning WaveState = "running"
	// WaveWaiting means that no host can leave now; the reason says why.
	WaveWaiting WaveState = "waiting"
	WaveDone    WaveState = "done"
)

// WaveProgress is the stored progress of a wave under wave/<dc>/<name>, written by the leader.
type WaveProgress struct {
	Name       string    `json:"name"`
	DataCentre string    `json:"data_centre"`
	State      WaveState `json:"state"`
	Reason     string    `json:"reason,omitempty"`
	// Done lists the hosts that are back after their reboot, sorted.
	Done []string `json:"done,omitempty"`
	// Out maps each host that is out for the wave to the time it was taken out, in Unix milliseconds of the leader's clock.
	Out   map[string]int64 `json:"out,omitempty"`
	Total int              `json:"total"`
	// HostTimeMS is the moving average of the time that hosts were out, in milliseconds.
	HostTimeMS    int64 `json:"host_time_ms,omitempty"`
	StartedUnixMS int64 `json:"started_unix_ms"`
	// EndUnixMS is the estimated completion time, 0 if there is none.
	EndUnixMS int64 `json:"end_unix_ms,omitempty"`
}

// Drain takes a host out of service until the object is deleted. Its name is the host's name.
type Drain struct {
	Name   string `json:"name"`
	Reason string `json:"reason,omitempty"`
}

// Assignment is the pool that a host currently belongs to and its phase. It is stored
// under assign/<dc>/<host> and written only by the leader of the data centre.
type Assignment struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Pool       string `json:"pool"`
	// NextPool is the pool that the host moves to; it is set in PhaseReleasing only.
	NextPool string `json:"next_pool,omitempty"`
	Phase    Phase  `json:"phase"`
	// Home is the home pool that was declared when the host was assigned to Pool. If the declared home pool
	// differs from it, a ticket has changed it since. A move by the planner keeps Home.
	Home string `json:"home,omitempty"`
	// Generation increases with each write of the assignment.
	Generation uint64 `json:"generation"`
	// Incarnation is the boot counter of the host when the assignment was written.
	Incarnation uint64 `json:"incarnation,omitempty"`
	Reason      string `json:"reason,omitempty"`
}

// HostState is one entry of the platform's host list. The list lags behind the hosts.
type HostState struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Incarnation is the boot counter; a restarted or replaced host has a larger one.
	Incarnation uint64 `json:"incarnation"`
	Live        bool   `json:"live"`
	Leaving     bool   `json:"leaving"`
}

// Registration is the row of an entry host, stored under entry/<dc>/<id>.
type Registration struct {
	Entry       string `json:"entry"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	PeerAddress string `json:"peer_address"`
	// Host is the name of the entry host's machine in the platform's host list.
	Host string `json:"host"`
	// HostIncarnation is the boot counter of that machine at registration.
	HostIncarnation uint64 `json:"host_incarnation"`
}

// View is a snapshot of the replicated state of one entry host. It must not be
// changed after it was published, as readers share it without a lock.
type View struct {
	// Version is the largest number such that all tickets up to it are merged.
	Version  uint64
	Services map[string]*Service
	Pools    map[string]*Pool
	Hosts    map[string]*Host
	Teams    map[string]*Team
	Waves    map[string]*Wave
	Drains   map[string]*Drain
	// Assignments holds those of the entry host's own data centre, by host name.
	Assignments map[string]*Assignment
	// States is the last known host list of the platform for the own data centre, by host name.
	States map[string]HostState
	// Leaving maps each host known to leave to the incarnation that leaves.
	Leaving map[string]uint64
	// Released maps each host that this entry host stopped using to the generation of the assignment that it released.
	Released map[string]uint64
	// TargetsByService lists the usable hosts of each service in the own data centre, sorted by name.
	TargetsByService map[string][]*Host
	// TargetsByPool lists the usable hosts of each pool of the own data centre, sorted by name.
	TargetsByPool map[string][]*Host
}

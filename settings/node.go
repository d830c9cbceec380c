package settings

import "time"

// Node holds the settings of an entry host on the users' platform.
type Node struct {
	ID         string
	DataCentre string
	// CPUShare is the part of a core that the host has.
	CPUShare float64
	MemoryMB int

	CallerListen   string
	ReadyListen    string
	InternalListen string
	AdminListen    string

	// StoreAddress, MachineAddress and AdviceAddress are IP:PORT; AdviceAddress is empty if there is no such service.
	StoreAddress   string
	MachineAddress string
	AdviceAddress  string

	// MachineLease is the time between orders of different owners for one machine.
	MachineLease time.Duration
	// StatusKept is how long the state of a final job can be asked for.
	StatusKept time.Duration
	// StopTimeout is how long an executor takes at most to end a task.
	StopTimeout time.Duration
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
	// LameDuck is how long the process answers requests after its readiness went off.
	LameDuck time.Duration

	Telemetry Telemetry
}

// LoadNode reads and validates the settings of an entry host.
func LoadNode(path string) (*Node, error) {
	l, err := Open(path)
	if err != nil {
		return nil, err
	}
	n := readNode(l)
	return n, l.Err()
}

func readNode(l *Loader) *Node {
	n := &Node{
		ID:             l.Name("node", "name"),
		DataCentre:     l.Name("node", "data_centre"),
		CPUShare:       l.Float("node", "cpu_share", 1, 0.01, 64),
		MemoryMB:       l.Int("node", "memory_mb", 256, 32, 1<<20),
		CallerListen:   l.Address("listen", "callers", ""),
		ReadyListen:    l.Address("listen", "ready", ""),
		InternalListen: l.Address("listen", "internal", ""),
		AdminListen:    l.Address("listen", "admin", ""),
		StoreAddress:   l.Address("platform", "store", ""),
		MachineAddress: l.Address("platform", "machines", ""),
		AdviceAddress:  l.Optional("platform", "advice"),
		MachineLease:   l.Duration("bounds", "machine_lease", 3*time.Second, 0, time.Minute),
		StatusKept:     l.Duration("bounds", "status_kept", 2*time.Minute, time.Second, 24*time.Hour),
		StopTimeout:    l.Duration("bounds", "stop_timeout", 200*time.Millisecond, 0, time.Minute),
		Grace:          l.Duration("shutdown", "grace", 6*time.Second, time.Second, time.Hour),
		LameDuck:       l.Duration("shutdown", "lame_duck", 2500*time.Millisecond, 0, time.Minute),
		Telemetry:      ReadTelemetry(l),
	}
	if n.AdviceAddress != "" {
		n.AdviceAddress = l.Address("platform", "advice", "")
	}
	if n.LameDuck >= n.Grace {
		l.Fail("shutdown", "lame_duck", n.LameDuck.String(), "a duration below grace")
	}
	return n
}

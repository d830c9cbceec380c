package settings

import "time"

// Node holds the settings of an entry host on the users' platform.
type Node struct {
	// ID is the name of the entry host.
	ID         string
	DataCentre string
	// CPUShare is the number of cores that the host may use, such as 0.25.
	CPUShare float64
	// MemoryMB is the memory of the host in MiB.
	MemoryMB int

	// CallerListen, ReadyListen, InternalListen and AdminListen are the IP:PORT that the APIs listen at.
	CallerListen   string
	ReadyListen    string
	InternalListen string
	AdminListen    string

	// StoreAddress, MachineAddress and AdviceAddress are the IP:PORT of services of the platform. AdviceAddress is empty if
	// there is no such service.
	StoreAddress   string
	MachineAddress string
	AdviceAddress  string

	// MachineLease is the minimum time between orders of different owners for the same machine.
	MachineLease time.Duration
	// StatusKept is how long the status of a finished job can be queried.
	StatusKept time.Duration
	// StopTimeout is the longest time that an executor takes to stop a task.
	StopTimeout time.Duration
	// MaxLease is the longest lease that an executor grants.
	MaxLease time.Duration
	// ConfigApply is the time in which a confirmed configuration has to be in force.
	ConfigApply time.Duration
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
	// LameDuck is how long the process still accepts requests after it stopped reporting that it is ready. It must be shorter
	// than Grace.
	LameDuck time.Duration

	// IgnoreInterference places long-running tasks without regard to their predicted interference.
	IgnoreInterference bool
	Ingress            Ingress
	// JobMemoryMB is the memory for accepted jobs in MiB; 0 means that it follows from MemoryMB.
	JobMemoryMB int

	Telemetry Telemetry
}

// Ingress holds the limits on what clients can make a process hold. Values of 0 are derived from the host.
type Ingress struct {
	// Connections bounds the open connections of all listeners together.
	Connections int
	// BodyBytes bounds the bytes of request bodies in memory.
	BodyBytes int
	// MinBodyRate is the number of bytes a second that a client must send of a body in the long run.
	MinBodyRate int
}

// readIngress reads the limits from a section.
func readIngress(l *Loader, section string) Ingress {
	return Ingress{
		Connections: l.Int(section, "connections", 0, 48, 1<<16),
		BodyBytes:   l.Int(section, "body_bytes", 0, 1<<20, 1<<34),
		MinBodyRate: l.Int(section, "min_body_rate", 16<<10, 1, 1<<30),
	}
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
		MaxLease:       l.Duration("bounds", "max_lease", 6*time.Second, time.Second, time.Minute),
		ConfigApply:    l.Duration("bounds", "config_apply", 2*time.Second, 100*time.Millisecond, time.Minute),
		Grace:          l.Duration("shutdown", "grace", 6*time.Second, time.Second, time.Hour),
		LameDuck:       l.Duration("shutdown", "lame_duck", 2500*time.Millisecond, 0, time.Minute),
		Ingress:        readIngress(l, "ingress"),
		JobMemoryMB:    l.Int("ingress", "job_memory_mb", 0, 1, 1<<20),
		Telemetry:      ReadTelemetry(l),

		IgnoreInterference: !l.Bool("placement", "interference", true),
	}
	if n.AdviceAddress != "" {
		n.AdviceAddress = l.Address("platform", "advice", "")
	}
	if n.LameDuck >= n.Grace {
		l.Fail("shutdown", "lame_duck", n.LameDuck.String(), "a duration below grace")
	}
	return n
}

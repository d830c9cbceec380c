package settings

import (
	"math"
	"net/netip"
	"strings"
	"time"
)

// Profiles of the planner. They weigh the cost of idle capacity against that of moving hosts between pools.
const (
	// ProfileBuffer gives the most weight to idle capacity: borrowed hosts return soon.
	ProfileBuffer = "buffer"
	// ProfileMoves gives the most weight to moves: borrowed hosts stay until another pool needs them.
	ProfileMoves = "moves"
)

// Entry holds the settings of the entry daemon.
type Entry struct {
	// ID is the name of this entry host, unique in its data centre.
	ID         string
	DataCentre string
	// Host is the name of this machine in the platform's list of hosts.
	Host string
	// HostIncarnation is the boot counter of this machine, or 0 if the platform does not provide it to the machine. It
	// cannot be read from the platform's list instead, which lags behind: with a stale counter, a live process would look
	// replaced.
	HostIncarnation int

	// CallerListen, OperatorListen, PeerListen and AdminListen are the IP:PORT that the APIs listen at.
	CallerListen   string
	OperatorListen string
	PeerListen     string
	AdminListen    string

	// PlatformURL has no trailing slash.
	PlatformURL     string
	PlatformTimeout time.Duration

	// Peers lists the entry hosts known at start.
	Peers []PeerAddress

	Security Security
	Limits   Limits

	// Profile is ProfileBuffer or ProfileMoves.
	Profile string
	// MoveHosts lets the planner move hosts between pools; otherwise every host stays in its home pool.
	MoveHosts bool
	// ClaimsKept is how long the rows of claims are kept.
	ClaimsKept time.Duration
	// MoveTimeout bounds how long a move waits for entry hosts to release the host; after that the move is undone.
	MoveTimeout time.Duration

	Telemetry Telemetry

	// LameDuck is how long the process still accepts requests after it stopped reporting that it is ready.
	LameDuck time.Duration
	// DrainTimeout bounds how long a shutdown waits for requests in progress after that.
	DrainTimeout time.Duration
}

// PeerAddress is the id and the address of a peer that the settings name.
type PeerAddress struct {
	Entry      string
	DataCentre string
	// Address is the IP:PORT of the peer API.
	Address string
}

// Security holds the paths of token and certificate files, or switches both off.
type Security struct {
	// Insecure allows plain HTTP and calls without tokens on the peer and operator APIs.
	Insecure bool
	// CertFile and KeyFile are of the servers, CAFile is the authority that clients trust, all in PEM.
	CertFile string
	KeyFile  string
	CAFile   string
	// PeerTokenFile holds the token that all peers share.
	PeerTokenFile string
	// OperatorTokensFile and CallerTokensFile hold one "name token" pair per line.
	OperatorTokensFile string
	CallerTokensFile   string
}

// Limits holds the limits on requests and connections of callers.
type Limits struct {
	MaxBodyBytes      int
	MaxHeaderBytes    int
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration
	IdleTimeout       time.Duration
	// MemoryMB is the memory of the host in MiB, from which the limits of Ingress are derived.
	MemoryMB int
	Ingress  Ingress
	// MaxQueue bounds the waiting requests of each service.
	MaxQueue int
	// DefaultDeadline applies to requests without a deadline; MaxDeadline bounds the deadlines that callers set.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
}

// Telemetry configures logs and traces.
type Telemetry struct {
	LogLevel string
	// TraceExporter is none, stdout or otlp.
	TraceExporter string
	// TraceEndpoint is the URL that the otlp exporter sends to.
	TraceEndpoint string
	// TraceRatio is the fraction of traces to record, from 0 to 1.
	TraceRatio float64
}

// LoadEntry reads and validates the settings of the entry daemon.
func LoadEntry(path string) (*Entry, error) {
	l, err := Open(path)
	if err != nil {
		return nil, err
	}
	e := readEntry(l)
	return e, l.Err()
}

func readEntry(l *Loader) *Entry {
	e := &Entry{
		ID:              l.Name("entry", "id"),
		DataCentre:      l.Name("entry", "data_centre"),
		Host:            l.Name("entry", "host"),
		HostIncarnation: l.Int("entry", "host_incarnation", 0, 0, math.MaxInt),
		CallerListen:    l.Address("listen", "caller", ""),
		OperatorListen:  l.Address("listen", "operator", ""),
		PeerListen:      l.Address("listen", "peer", ""),
		AdminListen:     l.Address("listen", "admin", ""),
		PlatformURL:     l.URL("platform", "url"),
		PlatformTimeout: l.Duration("platform", "timeout", 2*time.Second, 10*time.Millisecond, time.Minute),
		Profile:         l.OneOf("policy", "profile", ProfileBuffer, ProfileBuffer, ProfileMoves),
		MoveHosts:       l.Bool("policy", "move_hosts", true),
		ClaimsKept:      l.Duration("policy", "claims_kept", 48*time.Hour, time.Hour, 30*24*time.Hour),
		MoveTimeout:     l.Duration("policy", "move_timeout", 30*time.Second, time.Second, time.Hour),
		LameDuck:        l.Duration("shutdown", "lame_duck", 2*time.Second, 0, time.Minute),
		DrainTimeout:    l.Duration("shutdown", "drain_timeout", 30*time.Second, time.Second, time.Hour),
	}
	e.Peers = readPeers(l)
	e.Security = readSecurity(l)
	e.Limits = readLimits(l)
	e.Telemetry = ReadTelemetry(l)
	return e
}

func readPeers(l *Loader) []PeerAddress {
	var peers []PeerAddress
	for _, item := range l.List("peers", "addresses") {
		p, ok := parsePeer(item)
		if !ok {
			l.Fail("peers", "addresses", item, "items of the form DC/ID@IP:PORT, separated by commas")
			continue
		}
		peers = append(peers, p)
	}
	return peers
}

// parsePeer parses an item of the form DC/ID@IP:PORT.
func parsePeer(item string) (PeerAddress, bool) {
	name, address, ok := strings.Cut(item, "@")
	dc, id, named := strings.Cut(name, "/")
	if !ok || !named || !ValidName(dc) || !ValidName(id) {
		return PeerAddress{}, false
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return PeerAddress{}, false
	}
	return PeerAddress{Entry: id, DataCentre: dc, Address: address}, true
}

// readSecurity requires all files but that of the tokens of callers, unless insecure is set.
func readSecurity(l *Loader) Security {
	s := Security{
		Insecure:           l.Bool("security", "insecure", false),
		CertFile:           l.Optional("security", "tls_cert"),
		KeyFile:            l.Optional("security", "tls_key"),
		CAFile:             l.Optional("security", "tls_ca"),
		PeerTokenFile:      l.Optional("security", "peer_token_file"),
		OperatorTokensFile: l.Optional("security", "operator_tokens_file"),
		CallerTokensFile:   l.Optional("security", "caller_tokens_file"),
	}
	if s.Insecure {
		return s
	}
	required := map[string]string{
		"tls_cert": s.CertFile, "tls_key": s.KeyFile, "tls_ca": s.CAFile,
		"peer_token_file": s.PeerTokenFile, "operator_tokens_file": s.OperatorTokensFile,
	}
	for _, key := range []string{"tls_cert", "tls_key", "tls_ca", "peer_token_file", "operator_tokens_file"} {
		if required[key] == "" {
			l.Fail("security", key, "", "a file path, or insecure = true")
		}
	}
	return s
}

func readLimits(l *Loader) Limits {
	return Limits{
		MaxBodyBytes:      l.Int("limits", "max_body_bytes", 1<<20, 1<<10, 64<<20),
		MaxHeaderBytes:    l.Int("limits", "max_header_bytes", 16<<10, 4<<10, 1<<20),
		ReadHeaderTimeout: l.Duration("limits", "read_header_timeout", 5*time.Second, 100*time.Millisecond, time.Minute),
		ReadTimeout:       l.Duration("limits", "read_timeout", 30*time.Second, time.Second, time.Hour),
		IdleTimeout:       l.Duration("limits", "idle_timeout", time.Minute, time.Second, time.Hour),
		MemoryMB:          l.Int("limits", "memory_mb", 184, 32, 1<<20),
		Ingress:           readIngress(l, "limits"),
		MaxQueue:          l.Int("limits", "max_queue", 1024, 1, 1<<20),
		DefaultDeadline:   l.Duration("limits", "default_deadline", 10*time.Second, 10*time.Millisecond, time.Hour),
		MaxDeadline:       l.Duration("limits", "max_deadline", 10*time.Minute, time.Second, 24*time.Hour),
	}
}

// ReadTelemetry reads the telemetry section, which all daemons share.
func ReadTelemetry(l *Loader) Telemetry {
	t := Telemetry{
		LogLevel:      l.OneOf("telemetry", "log_level", "info", "debug", "info", "warn", "error"),
		TraceExporter: l.OneOf("telemetry", "trace_exporter", "none", "none", "stdout", "otlp"),
		TraceEndpoint: l.Optional("telemetry", "trace_endpoint"),
		TraceRatio:    l.Float("telemetry", "trace_ratio", 1, 0, 1),
	}
	if t.TraceExporter == "otlp" && t.TraceEndpoint == "" {
		l.Fail("telemetry", "trace_endpoint", "", "an http or https URL when trace_exporter is otlp")
	}
	return t
}

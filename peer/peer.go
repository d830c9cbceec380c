// Package peer implements the calls between the entry hosts of the fleet: heartbeats, the distribution of tickets,
// assignments and notices of leaving hosts, releases of hosts, the transfer of state to a starting entry host, and
// requests forwarded to another data centre.
//
// An entry host that took its state from another one is a dependent of that one until its own registration is seen there.
// A release asks only registered entry hosts, so each of them passes it on to its dependents.
//
// Calls use HTTP/1.1, so that a call that times out closes its own connection. After a timeout the idle
// connections to that peer are closed too, because a middlebox may have lost the state of all of them.
package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"github.com/tamarackworks/tamarackworks/entry"
	"github.com/tamarackworks/tamarackworks/fleet"
	"github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1/fleetv1connect"
	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// LocalInterval is the time between heartbeats to peers of the same data centre.
	LocalInterval = 500 * time.Millisecond
	// RemoteInterval is the time between heartbeats to another data centre, each to one entry host there.
	RemoteInterval = 5 * time.Second
	// LocalTTL is the time since the last contact after which a peer of the same data centre counts as not alive: four
	// heartbeat intervals.
	LocalTTL = 2 * time.Second
	// RemoteTTL is the same for a peer of another data centre. With 8 entry hosts there, each gets a heartbeat every 40 s.
	RemoteTTL = 100 * time.Second
	// CallTimeout bounds each call except transfers of state and pulls of tickets, which use StateTimeout, and forwarded
	// requests, which carry their own deadline.
	CallTimeout = time.Second
	// StateTimeout bounds the transfer of a whole state, and pulls of tickets.
	StateTimeout = 10 * time.Second
	// notifyAttempts bounds the calls that tell one peer about leaving hosts. With CallTimeout they end within 3 s, the time
	// after which a leaving host must get no new work (invariant P6 of docs/design.md).
	notifyAttempts = 3
	// pullLimit bounds the number of tickets that one pull returns.
	pullLimit = 200
	// unregisteredPeerTTL is the time since the last contact after which a peer that is neither registered nor in the
	// settings is removed, so that replaced entry hosts do not accumulate.
	unregisteredPeerTTL = 10 * time.Minute
)

// Errors of calls to peers.
var (
	// ErrUnreachable means that a call to a peer failed or was not answered in time.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrNoPeer means that the peer to call is not known, or that no peer is known at all.
	ErrNoPeer = errors.New("peer: no peer is known")
)

// Control applies what peers send to the control state of this entry host. All methods but Release only queue the change.
type Control interface {
	// MergeTickets adds accepted tickets.
	MergeTickets(ctx context.Context, tickets []structs.Ticket) error
	// MergeAssignments adds assignments that a peer read or wrote.
	MergeAssignments(ctx context.Context, assignments []structs.Assignment) error
	// MarkLeaving records hosts that are about to leave.
	MarkLeaving(ctx context.Context, hosts []Leaving) error
	// Release removes a host from the view and returns after that view is published.
	Release(ctx context.Context, host string, generation uint64) error
	// PeerVersion reports the state version of a peer. It is called at each heartbeat, so it must be cheap.
	PeerVersion(p Identity, version uint64)
}

// Fleet provides the replicated state of this entry host.
type Fleet interface {
	// View returns the current view.
	View() *structs.View
	// Version returns the number up to which all tickets are in effect.
	Version() uint64
	// Tickets returns up to limit tickets with numbers greater than after.
	Tickets(after uint64, limit int) []structs.Ticket
	// Snapshot returns the whole state.
	Snapshot() fleet.State
}

// Loads provides the load of this entry host.
type Loads interface {
	// InProgress returns the number of requests in progress on a target.
	InProgress(host string) int
	PoolLoads() []PoolLoad
	HostLoads() []HostLoad
}

// ForwardHandler serves requests that another data centre forwarded.
type ForwardHandler interface {
	ServeForwarded(ctx context.Context, req entry.ForwardRequest) entry.ForwardResponse
}

// Leaving is a host that is about to leave service.
type Leaving struct {
	Host string
	// Incarnation is the boot counter of the host; the notice does not concern later ones.
	Incarnation uint64
	Reason      string
}

// PoolLoad is the load of one pool on one entry host. Arrived and Finished count requests since the entry host started.
type PoolLoad struct {
	Pool                      string
	QueuedUrgent, QueuedBatch int
	Arrived, Finished         uint64
	MeanRunTime               time.Duration
}

// HostLoad is the load that one entry host puts on one target.
type HostLoad struct {
	Host                       string
	InProgress, RecentFailures int
}

// Identity identifies an entry host, this one or a peer.
type Identity struct {
	// Entry is the id of the entry host, unique within its data centre.
	Entry      string
	DataCentre string
	// Incarnation identifies the process; it is empty if not known.
	Incarnation string
	// Address is the IP:PORT of the peer API.
	Address string
}

// Status describes a peer as last reported by it.
type Status struct {
	Identity
	// Version is the highest state version that the peer has reported.
	Version uint64
	// LastSeen is the time of the last contact; zero if there was none.
	LastSeen time.Time
	// Alive is true if the last contact is more recent than LocalTTL or RemoteTTL.
	Alive bool
	Pools []PoolLoad
	Hosts []HostLoad
}

// Options configure a Service.
type Options struct {
	Registration structs.Registration
	// Peers lists the peers of the settings; their incarnation is empty.
	Peers []Identity
	// Token is the bearer token that all peers share. If it is empty, calls without a token are accepted.
	Token string
	// Scheme is http or https; empty means http.
	Scheme  string
	Control Control
	Fleet   Fleet
	Loads   Loads
	// Forward handles forwarded requests; nil rejects them.
	Forward ForwardHandler
	// OnHeartbeat, if set, is called with the status of a peer of this data centre at each contact.
	OnHeartbeat func(Status)
	// Transport returns the transport for calls to one peer; nil means NewTransport without TLS.
	Transport func(address string) http.RoundTripper
	// Tracer records a span for each handled call except heartbeats; nil means the global tracer.
	Tracer trace.Tracer
	Log    log.Interface
}

// Service is the table of known peers, with the client and the server of the peer API.
type Service struct {
	opts Options
	self Identity

	mu sync.Mutex
	// peers holds the known peers by data centre and entry id.
	peers map[string]*peerState
	// dependents holds the entry hosts that took their state from this one and are not known to be registered, by entry
	// id and incarnation.
	dependents map[string]dependent
	// registered holds the incarnations of the registered entry hosts of this data centre by entry id.
	registered map[string]string
	// remoteRound counts the rounds of heartbeats to other data centres and selects their receivers.
	remoteRound int
	// closed is set when Run ends; fanOut makes no calls from then on.
	closed bool
	// calls counts the goroutines of fanOut.
	calls sync.WaitGroup
}

// peerState is a known peer. Its fields are guarded by the mutex of the Service, except endpoint, client and transport,
// which never change.
type peerState struct {
	// endpoint identifies the peer without an incarnation.
	endpoint Identity
	Status
	client            fleetv1connect.PeerServiceClient
	transport         http.RoundTripper
	heartbeatInFlight bool
	// configured means that the settings list the peer, registered that its registration was in the table when it was last
	// read.
	configured, registered bool
	// addedAt is when the peer became known at its current address.
	addedAt time.Time
	// versionsSeen holds the latest versions that this incarnation has reported, in increasing order.
	versionsSeen []versionSeen
}

// dependent is an entry host that took its state from this one and is not known to be registered.
type dependent struct {
	structs.Registration
	// unreachable is true if the last release call to the dependent failed.
	unreachable bool
}

// New returns a Service that knows the peers of the settings. Run sends heartbeats to them.
func New(opts Options) *Service {
	if opts.Transport == nil {
		opts.Transport = func(string) http.RoundTripper { return NewTransport(nil, nil) }
	}
	if opts.Scheme == "" {
		opts.Scheme = "http"
	}
	if opts.Log == nil {
		opts.Log = log.Log
	}
	if opts.Tracer == nil {
		opts.Tracer = otel.Tracer("peer")
	}
	reg := opts.Registration
	s := &Service{
		opts:  opts,
		self:  Identity{Entry: reg.Entry, DataCentre: reg.DataCentre, Incarnation: reg.Incarnation, Address: reg.PeerAddress},
		peers: make(map[string]*peerState), dependents: make(map[string]dependent), registered: make(map[string]string),
	}
	for _, p := range opts.Peers {
		if p.Entry != s.self.Entry || p.DataCentre != s.self.DataCentre {
			s.upsertPeer(p).configured = true
		}
	}
	return s
}

// upsertPeer returns the state of a peer, which it creates or, after a change of address or incarnation, updates. Callers
// other than New hold mu.
func (s *Service) upsertPeer(p Identity) *peerState {
	key := p.DataCentre + "/" + p.Entry
	current, ok := s.peers[key]
	if ok && (p.Address == "" || current.Address == p.Address) {
		if p.Incarnation != "" && p.Incarnation != current.Incarnation {
			// The versions and loads of the previous process do not apply to its successor.
			current.Status, current.versionsSeen = Status{Identity: p}, nil
		}
		return current
	}
	transport := s.opts.Transport(p.Address)
	next := &peerState{endpoint: Identity{Entry: p.Entry, DataCentre: p.DataCentre, Address: p.Address}, Status: Status{Identity: p}, transport: transport, addedAt: time.Now()}
	if ok {
		next.configured, next.registered = current.configured, current.registered
		closeIdle(current.transport)
	}
	next.client = fleetv1connect.NewPeerServiceClient(&http.Client{Transport: transport}, s.opts.Scheme+"://"+p.Address,
		connect.WithInterceptors(bearerInterceptor(s.opts.Token)), clientCompression())
	s.peers[key] = next
	return next
}

// SetRegistered records the registrations of one data centre as read from the table, or those of all data centres if
// dataCentre is empty. It removes dependents that have registered, and peers that are neither registered nor in the
// settings and have had no contact for unregisteredPeerTTL.
func (s *Service) SetRegistered(dataCentre string, regs []structs.Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if dataCentre == "" || p.endpoint.DataCentre == dataCentre {
			p.registered = false
		}
	}
	if dataCentre == "" || dataCentre == s.self.DataCentre {
		s.registered = make(map[string]string)
	}
	for _, reg := range regs {
		if reg.DataCentre == s.self.DataCentre {
			s.registered[reg.Entry] = reg.Incarnation
			delete(s.dependents, reg.Entry+"/"+reg.Incarnation)
		}
		if reg.Entry == s.self.Entry && reg.DataCentre == s.self.DataCentre {
			continue
		}
		p := s.upsertPeer(Identity{Entry: reg.Entry, DataCentre: reg.DataCentre, Incarnation: reg.Incarnation, Address: reg.PeerAddress})
		p.registered = true
	}
	for key, p := range s.peers {
		last := p.addedAt
		if p.LastSeen.After(last) {
			last = p.LastSeen
		}
		if !p.registered && !p.configured && time.Since(last) > unregisteredPeerTTL {
			closeIdle(p.transport)
			delete(s.peers, key)
		}
	}
}

// DropDependents removes dependents that did not answer the last release call and whose machine is gone according to the
// platform's list, as gone reports. A dependent that answers is kept, because the list lags behind.
func (s *Service) DropDependents(gone func(structs.Registration) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, d := range s.dependents {
		if d.unreachable && gone(d.Registration) {
			delete(s.dependents, key)
		}
	}
}

// Peers returns the status of all known peers, which do not include this entry host.
func (s *Service) Peers() []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]Status, 0, len(s.peers))
	for _, p := range s.peers {
		all = append(all, s.status(p))
	}
	return all
}

// status returns the status of a peer as of now. Callers hold mu.
func (s *Service) status(p *peerState) Status {
	ttl := RemoteTTL
	if p.DataCentre == s.self.DataCentre {
		ttl = LocalTTL
	}
	status := p.Status
	status.Alive = !p.LastSeen.IsZero() && time.Since(p.LastSeen) < ttl
	return status
}

// versionSeen is a version that a peer reported, with the time of the first report.
type versionSeen struct {
	version uint64
	seenAt  time.Time
}

// maxVersionsSeen bounds the versions kept for each peer.
const maxVersionsSeen = 64

// InEffectSince returns when a peer first reported a version that includes all tickets up to number. It returns the zero
// time if the peer has not reported one, or if the first such report may be older than the versions kept.
func (s *Service) InEffectSince(peer Identity, number uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.peers[peer.DataCentre+"/"+peer.Entry]
	if !ok {
		return time.Time{}
	}
	for i, v := range p.versionsSeen {
		if v.version < number {
			continue
		}
		if i == 0 && len(p.versionsSeen) == maxVersionsSeen && v.version > number {
			return time.Time{}
		}
		return v.seenAt
	}
	return time.Time{}
}

// LiveEntries returns the number of live entry hosts of this data centre, including this one. They share the quotas of
// teams.
func (s *Service) LiveEntries() int {
	n := 1
	for _, p := range s.Peers() {
		if p.Alive && p.DataCentre == s.self.DataCentre {
			n++
		}
	}
	return n
}

// Run sends heartbeats until ctx ends, then waits for all calls that the service has started in the background and closes
// idle connections.
func (s *Service) Run(ctx context.Context) {
	local, remote := time.NewTicker(LocalInterval), time.NewTicker(RemoteInterval)
	defer local.Stop()
	defer remote.Stop()
	s.sendLocalHeartbeats(ctx)
	s.sendRemoteHeartbeats(ctx)
	for {
		select {
		case <-local.C:
			s.sendLocalHeartbeats(ctx)
		case <-remote.C:
			s.sendRemoteHeartbeats(ctx)
		case <-ctx.Done():
			s.close()
			return
		}
	}
}

func (s *Service) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.calls.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		closeIdle(p.transport)
	}
}

// selectPeers returns the known peers for which match returns true. It calls match with mu held.
func (s *Service) selectPeers(match func(*peerState) bool) []*peerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var selected []*peerState
	for _, p := range s.peers {
		if match(p) {
			selected = append(selected, p)
		}
	}
	return selected
}

func (s *Service) isLocal(p *peerState) bool { return p.DataCentre == s.self.DataCentre }

// recordContact records a contact with a peer. It reports the version of the peer to Control, and the status to OnHeartbeat
// if the peer is of this data centre.
func (s *Service) recordContact(id Identity, version uint64, pools []PoolLoad, hosts []HostLoad) {
	s.mu.Lock()
	p := s.upsertPeer(id)
	p.LastSeen = time.Now()
	// The version of one incarnation never decreases, but a delayed response may arrive after a newer one.
	if version > p.Version {
		p.Version = version
		p.versionsSeen = append(p.versionsSeen, versionSeen{version: version, seenAt: p.LastSeen})
		p.versionsSeen = p.versionsSeen[max(0, len(p.versionsSeen)-maxVersionsSeen):]
	}
	if pools != nil || hosts != nil {
		p.Pools, p.Hosts = pools, hosts
	}
	status := s.status(p)
	s.mu.Unlock()
	s.opts.Control.PeerVersion(status.Identity, version)
	if s.opts.OnHeartbeat != nil && status.DataCentre == s.self.DataCentre {
		s.opts.OnHeartbeat(status)
	}
}

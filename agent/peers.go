package agent

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/tamarackworks/tamarackworks/daemon"
	"github.com/tamarackworks/tamarackworks/entry"
	"github.com/tamarackworks/tamarackworks/kernel"
	"github.com/tamarackworks/tamarackworks/loadview"
	"github.com/tamarackworks/tamarackworks/netmeter"
	"github.com/tamarackworks/tamarackworks/peer"
	"github.com/tamarackworks/tamarackworks/router"
	"github.com/tamarackworks/tamarackworks/security"
	"github.com/tamarackworks/tamarackworks/structs"
)

// registration returns the registration of this entry host, as it is stored in the table and sent to peers.
func (a *Agent) registration() structs.Registration {
	return structs.Registration{
		Entry: a.settings.ID, DataCentre: a.settings.DataCentre, Incarnation: a.incarnation,
		PeerAddress: a.settings.PeerListen, Host: a.settings.Host, HostIncarnation: uint64(a.settings.HostIncarnation),
	}
}

// addPeers creates the peer service and registers the peer API. Its traffic is counted by a meter.
func (a *Agent) addPeers(k *kernel.Kernel) error {
	token, err := security.Token(a.settings.Security.PeerTokenFile)
	if err != nil {
		return err
	}
	meter, err := netmeter.New(a.telemetry.Registry, "peer")
	if err != nil {
		return err
	}
	scheme, client, server, err := a.peerTLS()
	if err != nil {
		return err
	}
	a.peers = peer.New(peer.Options{
		Registration: a.registration(), Peers: a.configuredPeers(), Token: token, Scheme: scheme,
		Control: a.controller, Fleet: a.replica, Loads: localLoads{a}, Forward: forwardHandler{a},
		OnHeartbeat: a.onHeartbeat, Log: a.log,
		Transport: func(string) http.RoundTripper { return peer.NewTransport(client, meter.Dial) },
	})
	path, handler := a.peers.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	l := a.settings.Limits
	return k.Register("peer", daemon.NewHTTPServer(daemon.HTTPOptions{
		Address: a.settings.PeerListen, Handler: mux, TLS: server, MaxHeaderBytes: l.MaxHeaderBytes, ReadHeaderTimeout: l.ReadHeaderTimeout,
		IdleTimeout: l.IdleTimeout, Limiter: a.limits.peers(a.peers), WrapListener: func(l net.Listener) net.Listener { return meter.Listener(l) },
	}))
}

// peerTLS returns the URL scheme and the TLS configurations of the peer API. The configurations are nil if
// security is switched off.
func (a *Agent) peerTLS() (scheme string, client, server *tls.Config, err error) {
	if a.settings.Security.Insecure {
		return "http", nil, nil, nil
	}
	if client, err = security.ClientTLS(a.settings.Security.CAFile); err != nil {
		return "", nil, nil, err
	}
	server, err = security.ServerTLS(a.settings.Security)
	return "https", client, server, err
}

// configuredPeers returns the peers named in the settings.
func (a *Agent) configuredPeers() []peer.Identity {
	peers := make([]peer.Identity, 0, len(a.settings.Peers))
	for _, p := range a.settings.Peers {
		peers = append(peers, peer.Identity{Entry: p.Entry, DataCentre: p.DataCentre, Address: p.Address})
	}
	return peers
}

// onHeartbeat passes the load in a peer's heartbeat to the router and to the load aggregation.
func (a *Agent) onHeartbeat(s peer.Status) {
	// The router divides slots by demand, which includes the queues. The queues are set first, because
	// SetPeerLoads triggers the division.
	a.router.SetQueued(s.Entry, a.queuedByService(s.Pools))
	a.router.SetQueued(a.settings.ID, a.queuedByService(localLoads{a}.PoolLoads()))
	a.router.SetPeerLoads(s.Entry, toRouterLoads(s.Hosts))
	a.loads.Add(newLoadReport(s.Entry, s.Incarnation, s.Pools, s.Hosts))
}

// queuedByService sums the queue lengths of pools by service. Pools that the view does not contain are left out.
func (a *Agent) queuedByService(loads []peer.PoolLoad) map[string]int {
	view := a.replica.View()
	queued := make(map[string]int, len(loads))
	for _, l := range loads {
		if pool := view.Pools[l.Pool]; pool != nil {
			queued[pool.Service] += l.QueuedUrgent + l.QueuedBatch
		}
	}
	return queued
}

func toRouterLoads(loads []peer.HostLoad) []router.HostLoad {
	converted := make([]router.HostLoad, len(loads))
	for i, l := range loads {
		converted[i] = router.HostLoad(l)
	}
	return converted
}

// localLoads reports the load of this entry host to peers and to the load aggregation.
type localLoads struct{ a *Agent }

// InProgress implements peer.Loads.
func (ll localLoads) InProgress(host string) int { return ll.a.router.InProgress(host) }

// PoolLoads implements peer.Loads. A service has one pool in a data centre, so the queue of a service is that of
// its pool.
func (ll localLoads) PoolLoads() []peer.PoolLoad {
	pools := make(map[string]string)
	for name, p := range ll.a.replica.View().Pools {
		if p.DataCentre == ll.a.settings.DataCentre && p.Service != "" {
			pools[p.Service] = name
		}
	}
	var loads []peer.PoolLoad
	for _, l := range ll.a.admission.Loads() {
		if pool, ok := pools[l.Service]; ok {
			loads = append(loads, peer.PoolLoad{
				Pool: pool, QueuedUrgent: l.QueuedUrgent, QueuedBatch: l.QueuedBatch,
				Arrived: l.ArrivedUrgent, Finished: l.Finished, MeanRunTime: l.MeanRunTime,
			})
		}
	}
	return loads
}

// HostLoads implements peer.Loads.
func (ll localLoads) HostLoads() []peer.HostLoad {
	var loads []peer.HostLoad
	for _, l := range ll.a.router.Loads() {
		loads = append(loads, peer.HostLoad(l))
	}
	return loads
}

// report returns the load of this entry host for the load aggregation.
func (ll localLoads) report() loadview.Report {
	return newLoadReport(ll.a.settings.ID, ll.a.incarnation, ll.PoolLoads(), ll.HostLoads())
}

// newLoadReport converts the load of an entry host to the form of the load aggregation.
func newLoadReport(entry, incarnation string, pools []peer.PoolLoad, hosts []peer.HostLoad) loadview.Report {
	r := loadview.Report{Entry: entry, Incarnation: incarnation}
	for _, p := range pools {
		r.Pools = append(r.Pools, loadview.PoolLoad{
			Pool: p.Pool, QueuedUrgent: p.QueuedUrgent, QueuedBatch: p.QueuedBatch,
			Arrived: p.Arrived, MeanRunTime: p.MeanRunTime,
		})
	}
	for _, h := range hosts {
		r.Hosts = append(r.Hosts, loadview.HostLoad{Host: h.Host, InProgress: h.InProgress})
	}
	return r
}

// forwardHandler passes requests that peers forward to the entry server. It reads the server from the agent at
// each call, because the server is created after the peer service.
type forwardHandler struct{ a *Agent }

// ServeForwarded implements peer.ForwardHandler.
func (f forwardHandler) ServeForwarded(ctx context.Context, req entry.ForwardRequest) entry.ForwardResponse {
	return f.a.entry.ServeForwarded(ctx, req)
}

package peer

import (
	"context"
	"math/rand/v2"
	"net/http/httptrace"
	"sort"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/entry"
	"github.com/tamarackworks/tamarackworks/fleet"
	v1 "github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1"
	"github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1/fleetv1connect"
	"github.com/tamarackworks/tamarackworks/membership"
	"github.com/tamarackworks/tamarackworks/structs"
)

// call makes one call to a peer with a timeout. If the call times out or the peer is unavailable, it closes the idle
// connections to that peer. Errors match ErrUnreachable.
func call[Req, Resp any](ctx context.Context, p *peerState, timeout time.Duration,
	method func(fleetv1connect.PeerServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error), req *Req,
) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := method(p.client, ctx, connect.NewRequest(req))
	if err != nil {
		if ctx.Err() != nil || connect.CodeOf(err) == connect.CodeUnavailable {
			closeIdle(p.transport)
		}
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", p.endpoint.Entry, err)
	}
	return resp.Msg, nil
}

// fanOut calls fn for each peer in a separate goroutine and returns at once. It does nothing after Run has ended.
func (s *Service) fanOut(peers []*peerState, fn func(*peerState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for _, p := range peers {
		s.calls.Go(func() { fn(p) })
	}
}

// sendLocalHeartbeats sends heartbeats to the other entry hosts of this data centre. The response carries the load of
// the responder, so only the entry host with the smaller id of each pair sends. The other one sends only if it has not
// heard from its peer for two intervals.
func (s *Service) sendLocalHeartbeats(ctx context.Context) {
	s.sendHeartbeats(ctx, s.selectPeers(func(p *peerState) bool {
		return s.isLocal(p) && (s.self.Entry < p.Entry || time.Since(p.LastSeen) > 2*LocalInterval)
	}))
}

// sendRemoteHeartbeats sends a heartbeat to one entry host of each other data centre, in round-robin order.
func (s *Service) sendRemoteHeartbeats(ctx context.Context) {
	byDataCentre := make(map[string][]*peerState)
	for _, p := range s.selectPeers(func(p *peerState) bool { return !s.isLocal(p) }) {
		byDataCentre[p.DataCentre] = append(byDataCentre[p.DataCentre], p)
	}
	round := s.nextRemoteRound()
	var chosen []*peerState
	for _, group := range byDataCentre {
		sort.Slice(group, func(i, j int) bool { return group[i].Entry < group[j].Entry })
		chosen = append(chosen, group[round%len(group)])
	}
	s.sendHeartbeats(ctx, chosen)
}

// nextRemoteRound increments and returns the number of the current round of heartbeats to other data centres.
func (s *Service) nextRemoteRound() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remoteRound++
	return s.remoteRound
}

// sendHeartbeats sends a heartbeat to each of the peers and returns at once. A peer whose previous heartbeat is still in
// flight is skipped.
func (s *Service) sendHeartbeats(ctx context.Context, peers []*peerState) {
	req := &v1.HeartbeatRequest{
		Entry: s.self.Entry, DataCentre: s.self.DataCentre, Incarnation: s.self.Incarnation,
		PeerAddress: s.self.Address, Version: s.opts.Fleet.Version(),
	}
	req.Pools, req.Hosts = s.encodeLoads()
	s.fanOut(peers, func(p *peerState) {
		if !s.setHeartbeatInFlight(p, true) {
			return
		}
		defer s.setHeartbeatInFlight(p, false)
		resp, err := call(ctx, p, CallTimeout, fleetv1connect.PeerServiceClient.Heartbeat, req)
		if err == nil {
			s.recordContact(
				Identity{Entry: resp.Entry, DataCentre: p.endpoint.DataCentre, Incarnation: resp.Incarnation, Address: p.endpoint.Address},
				resp.Version, decodePoolLoads(resp.Pools), decodeHostLoads(resp.Hosts),
			)
		}
	})
}

// setHeartbeatInFlight sets whether a heartbeat to the peer is in flight. It returns false, without a change, if inFlight
// is true and one is in flight already.
func (s *Service) setHeartbeatInFlight(p *peerState, inFlight bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if inFlight && p.heartbeatInFlight {
		return false
	}
	p.heartbeatInFlight = inFlight
	return true
}

// PushTickets sends accepted tickets to all known peers and returns at once. Lost pushes are not repeated: heartbeats
// carry the version of the sender, and a peer that lags behind pulls the missing tickets.
func (s *Service) PushTickets(ctx context.Context, tickets []structs.Ticket) {
	req := &v1.PushTicketsRequest{Tickets: encodeTickets(tickets)}
	s.fanOut(s.selectPeers(func(*peerState) bool { return true }), func(p *peerState) {
		if resp, err := call(ctx, p, CallTimeout, fleetv1connect.PeerServiceClient.PushTickets, req); err == nil {
			s.opts.Control.PeerVersion(p.endpoint, resp.Version)
		}
	})
}

// PushAssignments sends assignments to all peers of this data centre and returns at once. Errors are ignored.
func (s *Service) PushAssignments(ctx context.Context, assignments []structs.Assignment) {
	req := &v1.PushAssignmentsRequest{}
	for _, a := range assignments {
		req.Assignments = append(req.Assignments, toRow(fleet.AssignmentRow(a)))
	}
	s.fanOut(s.selectPeers(s.isLocal), func(p *peerState) {
		_, _ = call(ctx, p, CallTimeout, fleetv1connect.PeerServiceClient.PushAssignments, req)
	})
}

// NotifyLeaving tells all peers of this data centre which hosts are about to leave, and returns at once. A call that
// fails is repeated, up to notifyAttempts calls in all.
func (s *Service) NotifyLeaving(ctx context.Context, hosts []Leaving) {
	req := &v1.NotifyLeavingRequest{}
	for _, h := range hosts {
		req.Hosts = append(req.Hosts, &v1.LeavingHost{Host: h.Host, Incarnation: h.Incarnation, Reason: h.Reason})
	}
	s.fanOut(s.selectPeers(s.isLocal), func(p *peerState) {
		for range notifyAttempts {
			if _, err := call(ctx, p, CallTimeout, fleetv1connect.PeerServiceClient.NotifyLeaving, req); err == nil || ctx.Err() != nil {
				return
			}
		}
	})
}

// Pull returns up to pullLimit tickets with numbers greater than after from the given peer. It returns ErrNoPeer if the
// peer is not known.
func (s *Service) Pull(ctx context.Context, from Identity, after uint64) ([]structs.Ticket, error) {
	peers := s.selectPeers(func(p *peerState) bool { return p.Entry == from.Entry && p.DataCentre == from.DataCentre })
	if len(peers) == 0 {
		return nil, ErrNoPeer
	}
	resp, err := call(ctx, peers[0], StateTimeout, fleetv1connect.PeerServiceClient.PullTickets, &v1.PullTicketsRequest{After: after, Limit: pullLimit})
	if err != nil {
		return nil, err
	}
	return decodeTickets(resp.Tickets)
}

// States returns the states of all reachable peers of this data centre. Each of them records this entry host as a
// dependent until it sees its registration. The error is ErrNoPeer if no peer is known, or ErrUnreachable if none answers.
func (s *Service) States(ctx context.Context) ([]fleet.State, error) {
	peers := s.selectPeers(s.isLocal)
	if len(peers) == 0 {
		return nil, ErrNoPeer
	}
	reg := s.opts.Registration
	req := &v1.GetStateRequest{
		Entry: reg.Entry, DataCentre: reg.DataCentre, Incarnation: reg.Incarnation,
		PeerAddress: reg.PeerAddress, Host: reg.Host, HostIncarnation: reg.HostIncarnation,
	}
	responses := make(chan *v1.GetStateResponse, len(peers))
	for _, p := range peers {
		go func() {
			resp, err := call(ctx, p, StateTimeout, fleetv1connect.PeerServiceClient.GetState, req)
			if err != nil {
				resp = nil
			}
			responses <- resp
		}()
	}
	var states []fleet.State
	for range peers {
		if resp := <-responses; resp != nil {
			states = append(states, fleet.State{Version: resp.Version, Objects: fromRows(resp.Objects), Assignments: fromRows(resp.Assignments), Digest: resp.Digest})
		}
	}
	if len(states) == 0 {
		return nil, ErrUnreachable
	}
	return states, nil
}

// Release implements membership.Releaser: it asks the entry host with the given registration to stop sending work to a
// host. If that is this entry host, no call is made.
func (s *Service) Release(ctx context.Context, reg structs.Registration, host string, generation uint64) (membership.ReleaseStatus, error) {
	req := &v1.ReleaseRequest{Host: host, Generation: generation, Incarnation: reg.Incarnation}
	var resp *v1.ReleaseResponse
	var err error
	if reg.Entry == s.self.Entry && reg.Incarnation == s.self.Incarnation {
		resp, err = s.release(ctx, req)
	} else {
		resp, err = s.sendRelease(ctx, reg, req)
	}
	if err != nil {
		return membership.ReleaseStatus{}, err
	}
	return membership.ReleaseStatus{Released: resp.Released, InProgress: int(resp.InProgress), Incarnation: resp.Incarnation}, nil
}

// sendRelease makes a release call to the entry host with the given registration.
func (s *Service) sendRelease(ctx context.Context, reg structs.Registration, req *v1.ReleaseRequest) (*v1.ReleaseResponse, error) {
	s.mu.Lock()
	p := s.upsertPeer(Identity{Entry: reg.Entry, DataCentre: reg.DataCentre, Incarnation: reg.Incarnation, Address: reg.PeerAddress})
	s.mu.Unlock()
	return call(ctx, p, CallTimeout, fleetv1connect.PeerServiceClient.Release, req)
}

// Forward implements entry.Forwarder: it sends the request to a random live entry host of another data centre. It tries
// another one only after an attempt that certainly did not deliver the request, up to maxForwardAttempts in total.
func (s *Service) Forward(ctx context.Context, req entry.ForwardRequest) (entry.ForwardResponse, error) {
	peers := s.selectPeers(func(p *peerState) bool { return !s.isLocal(p) && s.status(p).Alive })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	err := errors.Wrap(entry.ErrNotForwarded, "no other data centre is reachable")
	for _, p := range peers[:min(len(peers), maxForwardAttempts)] {
		var resp entry.ForwardResponse
		resp, err = s.forwardTo(ctx, p, req)
		if !errors.Is(err, entry.ErrNotForwarded) {
			return resp, err
		}
	}
	return entry.ForwardResponse{}, err
}

// maxForwardAttempts bounds the entry hosts that are tried until a connection is made. Heartbeats to other data centres
// are infrequent, so an entry host that is down may still count as alive.
const maxForwardAttempts = 3

// forwardTo sends the request to one peer. The error matches entry.ErrNotForwarded if no connection was made.
func (s *Service) forwardTo(ctx context.Context, p *peerState, req entry.ForwardRequest) (entry.ForwardResponse, error) {
	var connected atomic.Bool
	traceCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	resp, err := call(traceCtx, p, time.Duration(req.DeadlineMS)*time.Millisecond, fleetv1connect.PeerServiceClient.Forward, &v1.ForwardRequest{
		Service: req.Service, Caller: req.Caller, RequestId: req.RequestID, IdempotencyKey: req.IdempotencyKey,
		Idempotent: req.Idempotent, FirstAttempt: req.FirstAttempt, Priority: string(req.Priority), Team: req.Team, DeadlineMs: uint32(max(req.DeadlineMS, 0)),
		Body: req.Body, ContentType: req.ContentType, Traceparent: req.Traceparent,
	})
	if err != nil {
		if !connected.Load() {
			// No part of the request can have been sent without a connection.
			return entry.ForwardResponse{}, errors.Wrap(entry.ErrNotForwarded, err.Error())
		}
		return entry.ForwardResponse{}, err
	}
	return entry.ForwardResponse{
		Outcome: structs.Outcome(resp.Outcome), Status: int(resp.Status), Body: resp.Body, ContentType: resp.ContentType,
		ErrorCode: resp.ErrorCode, ErrorMessage: resp.ErrorMessage, RetryAfterMS: int64(resp.RetryAfterMs),
	}, nil
}

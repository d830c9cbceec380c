package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/tamarackworks/tamarackworks/entry"
	"github.com/tamarackworks/tamarackworks/fleet"
	v1 "github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1"
	"github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1/fleetv1connect"
	"github.com/tamarackworks/tamarackworks/structs"
)

// maxMessageBytes bounds the size of a message of the peer API. The state of a fleet of the design size is below 8 MiB.
const maxMessageBytes = 32 << 20

// Handler returns the path prefix and the handler of the peer API.
func (s *Service) Handler() (string, http.Handler) {
	return fleetv1connect.NewPeerServiceHandler(&server{s: s},
		connect.WithInterceptors(bearerInterceptor(s.opts.Token), tracingInterceptor(s.opts.Tracer)),
		connect.WithReadMaxBytes(maxMessageBytes), handlerCompression())
}

// server implements the peer API.
type server struct{ s *Service }

var _ fleetv1connect.PeerServiceHandler = (*server)(nil)

// Heartbeat implements the peer API. Only peers of this data centre receive the load of this entry host.
func (h *server) Heartbeat(_ context.Context, req *connect.Request[v1.HeartbeatRequest]) (*connect.Response[v1.HeartbeatResponse], error) {
	m := req.Msg
	s := h.s
	if m.Entry != s.self.Entry || m.DataCentre != s.self.DataCentre {
		s.recordContact(
			Identity{Entry: m.Entry, DataCentre: m.DataCentre, Incarnation: m.Incarnation, Address: m.PeerAddress},
			m.Version, decodePoolLoads(m.Pools), decodeHostLoads(m.Hosts),
		)
	}
	resp := &v1.HeartbeatResponse{Entry: s.self.Entry, Incarnation: s.self.Incarnation, Version: s.opts.Fleet.Version()}
	if m.DataCentre == s.self.DataCentre {
		resp.Pools, resp.Hosts = s.encodeLoads()
	}
	return connect.NewResponse(resp), nil
}

// PushTickets implements the peer API.
func (h *server) PushTickets(ctx context.Context, req *connect.Request[v1.PushTicketsRequest]) (*connect.Response[v1.PushTicketsResponse], error) {
	tickets, err := decodeTickets(req.Msg.Tickets)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := h.s.opts.Control.MergeTickets(ctx, tickets); err != nil {
		return nil, err
	}
	return connect.NewResponse(&v1.PushTicketsResponse{Version: h.s.opts.Fleet.Version()}), nil
}

// PullTickets implements the peer API. It returns at most pullLimit tickets.
func (h *server) PullTickets(_ context.Context, req *connect.Request[v1.PullTicketsRequest]) (*connect.Response[v1.PullTicketsResponse], error) {
	limit := min(int(req.Msg.Limit), pullLimit)
	return connect.NewResponse(&v1.PullTicketsResponse{Tickets: encodeTickets(h.s.opts.Fleet.Tickets(req.Msg.After, limit))}), nil
}

// PushAssignments implements the peer API.
func (h *server) PushAssignments(ctx context.Context, req *connect.Request[v1.PushAssignmentsRequest]) (*connect.Response[v1.PushAssignmentsResponse], error) {
	assignments := make([]structs.Assignment, 0, len(req.Msg.Assignments))
	for _, row := range fromRows(req.Msg.Assignments) {
		a, err := fleet.DecodeAssignment(row)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		assignments = append(assignments, a)
	}
	if err := h.s.opts.Control.MergeAssignments(ctx, assignments); err != nil {
		return nil, err
	}
	return connect.NewResponse(&v1.PushAssignmentsResponse{}), nil
}

// NotifyLeaving implements the peer API.
func (h *server) NotifyLeaving(ctx context.Context, req *connect.Request[v1.NotifyLeavingRequest]) (*connect.Response[v1.NotifyLeavingResponse], error) {
	hosts := make([]Leaving, 0, len(req.Msg.Hosts))
	for _, l := range req.Msg.Hosts {
		hosts = append(hosts, Leaving{Host: l.Host, Incarnation: l.Incarnation, Reason: l.Reason})
	}
	if err := h.s.opts.Control.MarkLeaving(ctx, hosts); err != nil {
		return nil, err
	}
	return connect.NewResponse(&v1.NotifyLeavingResponse{}), nil
}

// GetState implements the peer API. It records the dependent before it reads the state, and a release reads the
// dependents after the release is published: so either the state shows the release or the release asks the dependent.
func (h *server) GetState(_ context.Context, req *connect.Request[v1.GetStateRequest]) (*connect.Response[v1.GetStateResponse], error) {
	s, m := h.s, req.Msg
	s.mu.Lock()
	if m.DataCentre == s.self.DataCentre && s.registered[m.Entry] != m.Incarnation {
		s.dependents[m.Entry+"/"+m.Incarnation] = dependent{Registration: structs.Registration{
			Entry: m.Entry, DataCentre: m.DataCentre, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress,
			Host: m.Host, HostIncarnation: m.HostIncarnation,
		}}
	}
	s.mu.Unlock()
	state := snapshotWithReleases(s.opts.Fleet)
	return connect.NewResponse(&v1.GetStateResponse{
		Version: state.Version, Objects: toRows(state.Objects), Assignments: toRows(state.Assignments), Digest: state.Digest,
	}), nil
}

// snapshotWithReleases returns the state with each released host in phase releasing, at the generation of its release. A
// release carries the generation of the assignment that took the host out of service, which this entry host may not have
// read yet.
func snapshotWithReleases(f Fleet) fleet.State {
	state := f.Snapshot()
	released := f.View().Released
	changed := false
	for i, row := range state.Assignments {
		a, err := fleet.DecodeAssignment(row)
		generation := released[a.Host]
		if err != nil || generation <= a.Generation {
			continue
		}
		a.Phase, a.Generation = structs.PhaseReleasing, generation
		state.Assignments[i] = fleet.AssignmentRow(a)
		changed = true
	}
	if changed {
		state.Digest = state.ComputeDigest()
	}
	return state
}

// Release implements the peer API. A call for another incarnation of this entry host releases nothing, and the response
// carries the current incarnation.
func (h *server) Release(ctx context.Context, req *connect.Request[v1.ReleaseRequest]) (*connect.Response[v1.ReleaseResponse], error) {
	if req.Msg.Incarnation != h.s.self.Incarnation {
		return connect.NewResponse(&v1.ReleaseResponse{Incarnation: h.s.self.Incarnation}), nil
	}
	resp, err := h.s.release(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// release publishes a view without the host, then counts the requests in progress, then asks the dependents. With the count
// first, a request that starts before the publication would be missed. The response reports the host as released only if
// all dependents that still run have released it.
func (s *Service) release(ctx context.Context, req *v1.ReleaseRequest) (*v1.ReleaseResponse, error) {
	if err := s.opts.Control.Release(ctx, req.Host, req.Generation); err != nil {
		return nil, err
	}
	resp := &v1.ReleaseResponse{Released: true, InProgress: uint32(s.opts.Loads.InProgress(req.Host)), Incarnation: s.self.Incarnation}
	s.mu.Lock()
	dependents := make([]dependent, 0, len(s.dependents))
	for _, d := range s.dependents {
		dependents = append(dependents, d)
	}
	s.mu.Unlock()
	for _, d := range dependents {
		depResp, err := s.sendRelease(ctx, d.Registration, &v1.ReleaseRequest{Host: req.Host, Generation: req.Generation, Incarnation: d.Incarnation})
		s.setUnreachable(d, err != nil)
		switch {
		case err != nil:
			resp.Released = false
		case depResp.Incarnation != d.Incarnation:
			// A newer process answers at the address of the dependent, so the dependent no longer runs.
			s.mu.Lock()
			delete(s.dependents, d.Entry+"/"+d.Incarnation)
			s.mu.Unlock()
		default:
			resp.Released = resp.Released && depResp.Released
			resp.InProgress += depResp.InProgress
		}
	}
	return resp, nil
}

// setUnreachable records whether the last release call to a dependent failed.
func (s *Service) setUnreachable(d dependent, unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := d.Entry + "/" + d.Incarnation
	if current, ok := s.dependents[key]; ok {
		current.unreachable = unreachable
		s.dependents[key] = current
	}
}

// Forward implements the peer API. It serves a request of a caller in another data centre.
func (h *server) Forward(ctx context.Context, req *connect.Request[v1.ForwardRequest]) (*connect.Response[v1.ForwardResponse], error) {
	m := req.Msg
	if h.s.opts.Forward == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	resp := h.s.opts.Forward.ServeForwarded(ctx, entry.ForwardRequest{
		Service: m.Service, Caller: m.Caller, RequestID: m.RequestId, IdempotencyKey: m.IdempotencyKey,
		Idempotent: m.Idempotent, FirstAttempt: m.FirstAttempt, Priority: structs.Priority(m.Priority), Team: m.Team, DeadlineMS: int64(m.DeadlineMs),
		Body: m.Body, ContentType: m.ContentType, Traceparent: m.Traceparent,
	})
	return connect.NewResponse(&v1.ForwardResponse{
		Outcome: string(resp.Outcome), Status: uint32(resp.Status), Body: resp.Body, ContentType: resp.ContentType,
		ErrorCode: resp.ErrorCode, ErrorMessage: resp.ErrorMessage, RetryAfterMs: uint32(resp.RetryAfterMS),
	}), nil
}

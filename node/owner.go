package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/coordinator"
	"github.com/tamarackworks/tamarackworks/frontend"
	schedulev1 "github.com/tamarackworks/tamarackworks/internal/gen/schedule/v1"
	"github.com/tamarackworks/tamarackworks/internal/gen/schedule/v1/schedulev1connect"
	"github.com/tamarackworks/tamarackworks/platform"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/workload"
)

// errNoOwner means that no other host is known to be the owner.
var errNoOwner = errors.New("node: no owner is known")

// ownerClient calls the owner of the jobs: the coordinator of this process if it is the owner, otherwise another host.
type ownerClient struct {
	localCoordinator *coordinator.Coordinator
	ownerAddress     func() string
	// selfAddress is the internal address of this host, which is never called over the network.
	selfAddress string
	http        *http.Client
	// options configure all clients.
	options connect.ClientOption

	mu      sync.Mutex
	clients map[string]schedulev1connect.ScheduleServiceClient
}

func newOwnerClient(localCoordinator *coordinator.Coordinator, ownerAddress func() string, selfAddress string, p *peers, q *queueLoads) *ownerClient {
	return &ownerClient{
		localCoordinator: localCoordinator, ownerAddress: ownerAddress, selfAddress: selfAddress, http: &http.Client{Transport: platform.NewTransport()},
		options: connect.WithInterceptors(tracingInterceptor(), p.interceptor(), q.interceptor()),
		clients: make(map[string]schedulev1connect.ScheduleServiceClient),
	}
}

// remoteOwner returns a client of the owner on another host.
func (o *ownerClient) remoteOwner() (schedulev1connect.ScheduleServiceClient, error) {
	address := o.ownerAddress()
	if address == "" || address == o.selfAddress {
		return nil, errNoOwner
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.clients[address]
	if c == nil {
		c = schedulev1connect.NewScheduleServiceClient(o.http, "http://"+address, o.options)
		// The clients of former owners are dropped, because only the current owner is called.
		o.clients = map[string]schedulev1connect.ScheduleServiceClient{address: c}
	}
	return c, nil
}

// JobStatus implements frontend.Owner.
func (o *ownerClient) JobStatus(ctx context.Context, id string) (workload.Status, bool, error) {
	status, known, err := o.localCoordinator.JobStatus(ctx, id)
	if !errors.Is(err, coordinator.ErrNotOwner) {
		return status, known, err
	}
	c, err := o.remoteOwner()
	if err != nil {
		return "", false, err
	}
	resp, err := c.JobStatus(ctx, connect.NewRequest(&schedulev1.JobStatusRequest{Job: id}))
	if err != nil {
		return "", false, err
	}
	return workload.Status(resp.Msg.Status), resp.Msg.Known, nil
}

// QueueLength implements frontend.Owner.
func (o *ownerClient) QueueLength(ctx context.Context, route string) (int, error) {
	n, err := o.localCoordinator.QueueLength(ctx, route)
	if !errors.Is(err, coordinator.ErrNotOwner) {
		return n, err
	}
	c, err := o.remoteOwner()
	if err != nil {
		return 0, err
	}
	resp, err := c.QueueLength(ctx, connect.NewRequest(&schedulev1.QueueLengthRequest{Route: route}))
	if err != nil {
		return 0, err
	}
	return int(resp.Msg.Pending), nil
}

// StoreJob implements frontend.Owner.
func (o *ownerClient) StoreJob(ctx context.Context, id string, value []byte, uncertain bool) error {
	if _, known, err := o.localCoordinator.JobStatus(ctx, id); err == nil && known {
		return nil
	}
	return o.relay(func(c schedulev1connect.ScheduleServiceClient) error {
		_, err := c.StoreJob(ctx, connect.NewRequest(&schedulev1.StoreJobRequest{Job: id, Value: value, MaybeStored: uncertain}))
		return err
	})
}

// StoreCancel implements frontend.Owner.
func (o *ownerClient) StoreCancel(ctx context.Context, id string) error {
	return o.relay(func(c schedulev1connect.ScheduleServiceClient) error {
		_, err := c.StoreCancel(ctx, connect.NewRequest(&schedulev1.StoreCancelRequest{Job: id}))
		return err
	})
}

// relay sends a write to the owner on another host. Its errors match rowstore.ErrUnavailable if the write certainly had no
// effect, and rowstore.ErrAmbiguous otherwise.
func (o *ownerClient) relay(send func(schedulev1connect.ScheduleServiceClient) error) error {
	c, err := o.remoteOwner()
	if err != nil {
		return errors.Wrap(rowstore.ErrUnavailable, err.Error())
	}
	err = send(c)
	var opErr *net.OpError
	switch {
	case err == nil:
		return nil
	case connect.CodeOf(err) == connect.CodeFailedPrecondition, errors.As(err, &opErr) && opErr.Op == "dial":
		return errors.Wrap(rowstore.ErrUnavailable, err.Error())
	}
	return errors.Wrap(rowstore.ErrAmbiguous, err.Error())
}

// scheduleServer serves calls of other entry hosts: it reports on the jobs that this host owns, and writes rows for hosts that
// cannot reach the store themselves.
type scheduleServer struct {
	coordinator *coordinator.Coordinator
	frontend    *frontend.Frontend
	// holder returns what identifies this process as a holder of the lease.
	holder func() string
}

// Holder implements ScheduleService.
func (s *scheduleServer) Holder(context.Context, *connect.Request[schedulev1.HolderRequest]) (*connect.Response[schedulev1.HolderResponse], error) {
	return connect.NewResponse(&schedulev1.HolderResponse{Holder: s.holder()}), nil
}

// probe returns the holder that serves at an address, or "" if connections to the address are refused.
func (o *ownerClient) probe(ctx context.Context, address string) (string, error) {
	c := schedulev1connect.NewScheduleServiceClient(o.http, "http://"+address, o.options)
	resp, err := c.Holder(ctx, connect.NewRequest(&schedulev1.HolderRequest{}))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	return resp.Msg.Holder, nil
}

// maxJobIDBytes bounds the ID of a job in calls of other hosts, because IDs are kept. Callers' IDs have 16 bytes.
const maxJobIDBytes = 64

// checkJobID returns an error for an ID that no job has.
func checkJobID(id string) error {
	if id == "" || len(id) > maxJobIDBytes {
		return connect.NewError(connect.CodeInvalidArgument, errors.Errorf("node: the ID of a job has 1 to %d bytes", maxJobIDBytes))
	}
	return nil
}

// StoreJob implements ScheduleService.
func (s *scheduleServer) StoreJob(ctx context.Context, r *connect.Request[schedulev1.StoreJobRequest]) (*connect.Response[schedulev1.StoreJobResponse], error) {
	if err := checkJobID(r.Msg.Job); err != nil {
		return nil, err
	}
	if _, known, err := s.coordinator.JobStatus(ctx, r.Msg.Job); err == nil && known {
		return connect.NewResponse(&schedulev1.StoreJobResponse{}), nil
	}
	if err := s.frontend.StoreJob(ctx, r.Msg.Job, r.Msg.Value, r.Msg.MaybeStored); err != nil {
		return nil, storeRPCError(err)
	}
	return connect.NewResponse(&schedulev1.StoreJobResponse{}), nil
}

// StoreCancel implements ScheduleService.
func (s *scheduleServer) StoreCancel(ctx context.Context, r *connect.Request[schedulev1.StoreCancelRequest]) (*connect.Response[schedulev1.StoreCancelResponse], error) {
	if err := checkJobID(r.Msg.Job); err != nil {
		return nil, err
	}
	if err := s.frontend.StoreCancel(ctx, r.Msg.Job); err != nil {
		return nil, storeRPCError(err)
	}
	return connect.NewResponse(&schedulev1.StoreCancelResponse{}), nil
}

// storeRPCError translates the error of a write. CodeFailedPrecondition means that it certainly had no effect, CodeUnknown
// that its outcome is unknown; relay is the counterpart.
func storeRPCError(err error) error {
	if errors.Is(err, rowstore.ErrUnavailable) {
		return connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewError(connect.CodeUnknown, err)
}

// JobStatus implements ScheduleService.
func (s *scheduleServer) JobStatus(ctx context.Context, r *connect.Request[schedulev1.JobStatusRequest]) (*connect.Response[schedulev1.JobStatusResponse], error) {
	if err := checkJobID(r.Msg.Job); err != nil {
		return nil, err
	}
	status, known, err := s.coordinator.JobStatus(ctx, r.Msg.Job)
	if err != nil {
		return nil, coordinatorRPCError(err)
	}
	resp := connect.NewResponse(&schedulev1.JobStatusResponse{Known: known, Status: string(status)})
	if known {
		return resp, nil
	}
	if err := s.answerReserve(ctx, r, resp); err != nil {
		return nil, err
	}
	s.answerRefusal(r, resp)
	return resp, nil
}

// QueueLength implements ScheduleService.
func (s *scheduleServer) QueueLength(ctx context.Context, r *connect.Request[schedulev1.QueueLengthRequest]) (*connect.Response[schedulev1.QueueLengthResponse], error) {
	n, err := s.coordinator.QueueLength(ctx, r.Msg.Route)
	if err != nil {
		return nil, coordinatorRPCError(err)
	}
	return connect.NewResponse(&schedulev1.QueueLengthResponse{Pending: int64(n)}), nil
}

// coordinatorRPCError translates the error of a query to the coordinator.
func coordinatorRPCError(err error) error {
	if errors.Is(err, coordinator.ErrNotOwner) {
		return connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

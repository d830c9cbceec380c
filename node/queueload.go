package node

import (
	"context"
	"math"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/coordinator"
	"github.com/tamarackworks/tamarackworks/frontend"
	schedulev1 "github.com/tamarackworks/tamarackworks/internal/gen/schedule/v1"
	"github.com/tamarackworks/tamarackworks/scheduler"
)

const (
	// queueLoadHeader is the header of responses in which the owner says which queues are closed. It is empty if none is, and
	// absent on hosts that do not own the jobs.
	queueLoadHeader = "Tamarack-Queue-Load"
	// refusalHeader asks the owner, in a query for the status of a job, whether the job can be refused, and confirms it in the
	// response. It also tells the owner of a job that cannot, because an attempt may have stored it.
	refusalHeader    = "Tamarack-Refusal"
	refusalAsked     = "asked"
	refusalConfirmed = "confirmed"
	refusalForbidden = "forbidden"
	// jobRoomHeader is the header of responses in which the owner says how many bytes of memory it has left for jobs, and how many hosts
	// share them. It is absent on hosts that do not own the jobs.
	jobRoomHeader = "Tamarack-Job-Room"
	// reserveHeader asks the owner, in a query for the status of a job, for room for the job, in bytes. The response says whether there is.
	reserveHeader = "Tamarack-Job-Reserve"
	reserved      = "reserved"
	noRoom        = "no-room"
	// maxQueueLoadBytes and maxClosures bound the header. Closures beyond them are left out; their jobs are accepted.
	maxQueueLoadBytes = 1000
	maxClosures       = 20
	// maxClosureTime bounds the times in the header. Hosts ignore a header with longer ones.
	maxClosureTime = time.Hour
	// maxQueueLoadAge is how long the owner repeats what it decided last. It decides several times a second while it leads.
	maxQueueLoadAge = 600 * time.Millisecond
)

// errQueueLoad means that the value of queueLoadHeader is malformed.
var errQueueLoad = errors.New("node: malformed queue load")

// queueLoads passes the load of the queues, and the room for jobs, from the owner to the frontends of all hosts.
type queueLoads struct {
	now      func() time.Duration
	received func(frontend.QueueLoad)
	// receivedRoom is called with the room for jobs; see frontend.Frontend.UpdateRoom.
	receivedRoom func(bytes int64, hosts int)

	mu          sync.Mutex
	header      string
	published   bool
	publishedAt time.Duration
	room        string
}

// publish is called on the host of the owner with the load that it decided now.
func (q *queueLoads) publish(load frontend.QueueLoad) {
	q.received(load)
	header := encodeQueueLoad(load)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.header, q.published, q.publishedAt = header, true, q.now()
}

// current returns the header of responses, or false if this host does not lead.
func (q *queueLoads) current() (string, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.header, q.published && q.now()-q.publishedAt <= maxQueueLoadAge
}

// publishRoom is called on the host of the owner with the room for jobs that it has now.
func (q *queueLoads) publishRoom(bytes int64, hosts int) {
	q.receivedRoom(bytes, hosts)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.room = strconv.FormatInt(bytes, 10) + "," + strconv.Itoa(hosts)
}

// currentRoom returns jobRoomHeader of responses. It holds as long as the load does.
func (q *queueLoads) currentRoom() (string, bool) {
	_, ok := q.current()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.room, ok && q.room != ""
}

// receiveRoom passes the value of a jobRoomHeader on. A malformed one is ignored like an absent one, and what the host knows expires.
func (q *queueLoads) receiveRoom(value string) {
	bytesField, hostsField, _ := strings.Cut(value, ",")
	bytes, err := strconv.ParseInt(bytesField, 10, 64)
	hosts, hostsErr := strconv.Atoi(hostsField)
	if err == nil && hostsErr == nil && hosts > 0 {
		q.receivedRoom(bytes, hosts)
	}
}

// interceptor adds the load to responses to other hosts, and passes the load in responses of the owner on.
func (q *queueLoads) interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			resp, err := next(ctx, r)
			if err != nil {
				return resp, err
			}
			if !r.Spec().IsClient {
				if header, ok := q.current(); ok {
					resp.Header().Set(queueLoadHeader, header)
				}
				if room, ok := q.currentRoom(); ok {
					resp.Header().Set(jobRoomHeader, room)
				}
				return resp, nil
			}
			if values := resp.Header().Values(jobRoomHeader); len(values) == 1 {
				q.receiveRoom(values[0])
			}
			if values := resp.Header().Values(queueLoadHeader); len(values) == 1 {
				// A malformed header is ignored like an absent one, and what the host knows expires.
				if load, err := decodeQueueLoad(values[0]); err == nil {
					q.received(load)
				}
			}
			return resp, nil
		}
	}
}

// encodeQueueLoad encodes a load as the number of hosts and closures, separated by semicolons; it is empty if there are no
// closures. The fields of a closure are separated by commas.
func encodeQueueLoad(load frontend.QueueLoad) string {
	if len(load.Closures) == 0 {
		return ""
	}
	number := func(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }
	milliseconds := func(d time.Duration) string { return strconv.FormatInt(min(d, maxClosureTime).Milliseconds(), 10) }
	b := strconv.AppendInt(nil, int64(load.Hosts), 10)
	for i, x := range load.Closures {
		entry := ";" + strings.Join([]string{
			url.QueryEscape(x.Queue), url.QueryEscape(x.Organisation), string(x.Cause), strconv.FormatInt(x.Work, 10),
			milliseconds(x.Horizon), milliseconds(x.Return),
			strconv.FormatInt(x.Rate, 10), number(x.Floor), number(x.Slope), number(x.Shift),
		}, ",")
		if i >= maxClosures || len(b)+len(entry) > maxQueueLoadBytes {
			break
		}
		b = append(b, entry...)
	}
	return string(b)
}

// decodeQueueLoad is the inverse of encodeQueueLoad.
func decodeQueueLoad(s string) (frontend.QueueLoad, error) {
	var load frontend.QueueLoad
	if s == "" {
		return load, nil
	}
	entries := strings.Split(s, ";")
	hosts, err := strconv.Atoi(entries[0])
	if err != nil || hosts < 1 || len(s) > maxQueueLoadBytes || len(entries) > maxClosures+1 {
		return load, errQueueLoad
	}
	load.Hosts = hosts
	for _, entry := range entries[1:] {
		x, err := decodeClosure(strings.Split(entry, ","))
		if err != nil {
			return frontend.QueueLoad{}, err
		}
		load.Closures = append(load.Closures, x)
	}
	return load, nil
}

func decodeClosure(fields []string) (x scheduler.Closure, err error) {
	if len(fields) != 10 {
		return x, errQueueLoad
	}
	integer := func(s string, highest int64) int64 {
		n, parseErr := strconv.ParseInt(s, 10, 64)
		if parseErr != nil || n < 0 || n > highest {
			err = errQueueLoad
		}
		return n
	}
	number := func(s string, highest float64) float64 {
		n, parseErr := strconv.ParseFloat(s, 64)
		if parseErr != nil || math.IsNaN(n) || math.Abs(n) > highest {
			err = errQueueLoad
		}
		return n
	}
	name := func(s string) string {
		unescaped, parseErr := url.QueryUnescape(s)
		if parseErr != nil {
			err = errQueueLoad
		}
		return unescaped
	}
	x = scheduler.Closure{Queue: name(fields[0]), Organisation: name(fields[1]), Cause: scheduler.ClosureCause(fields[2])}
	switch x.Cause {
	case scheduler.ClosedForBacklog, scheduler.ClosedForShare, scheduler.ClosedForCap:
	default:
		return x, errQueueLoad
	}
	const longest = int64(maxClosureTime / time.Millisecond)
	x.Work = integer(fields[3], math.MaxInt64)
	x.Horizon = time.Duration(integer(fields[4], longest)) * time.Millisecond
	x.Return = time.Duration(integer(fields[5], longest)) * time.Millisecond
	x.Rate = integer(fields[6], math.MaxInt64)
	x.Floor, x.Slope, x.Shift = number(fields[7], 1e9), number(fields[8], 1), number(fields[9], 100)
	return x, err
}

// ConfirmRefusal implements frontend.Owner. The frontend of this host is asked by the caller.
func (o *ownerClient) ConfirmRefusal(ctx context.Context, id string) (bool, error) {
	_, known, err := o.localCoordinator.JobStatus(ctx, id)
	if !errors.Is(err, coordinator.ErrNotOwner) {
		return err == nil && !known, err
	}
	resp, err := o.queryJob(ctx, id, refusalHeader, refusalAsked)
	if err != nil {
		return false, err
	}
	return !resp.Msg.Known && resp.Header().Get(refusalHeader) == refusalConfirmed, nil
}

// ReportUncertain implements frontend.Owner. If this host is the owner, its frontend knows already.
func (o *ownerClient) ReportUncertain(ctx context.Context, id string) error {
	if _, _, err := o.localCoordinator.JobStatus(ctx, id); !errors.Is(err, coordinator.ErrNotOwner) {
		return err
	}
	_, err := o.queryJob(ctx, id, refusalHeader, refusalForbidden)
	return err
}

// ReserveJob implements frontend.Owner. An owner of a former version answers without the header and has no bound.
func (o *ownerClient) ReserveJob(ctx context.Context, id string, bytes int64) (bool, error) {
	granted, err := o.localCoordinator.ReserveJob(ctx, id, bytes)
	if !errors.Is(err, coordinator.ErrNotOwner) {
		return granted, err
	}
	resp, err := o.queryJob(ctx, id, reserveHeader, strconv.FormatInt(bytes, 10))
	if err != nil {
		return false, err
	}
	return resp.Header().Get(reserveHeader) != noRoom, nil
}

// queryJob queries the status of a job from the owner on another host, with a header.
func (o *ownerClient) queryJob(ctx context.Context, id, header, value string) (*connect.Response[schedulev1.JobStatusResponse], error) {
	c, err := o.remoteOwner()
	if err != nil {
		return nil, err
	}
	r := connect.NewRequest(&schedulev1.JobStatusRequest{Job: id})
	r.Header().Set(header, value)
	return c.JobStatus(ctx, r)
}

// answerReserve handles the reserveHeader in a query for the status of a job that the owner does not know.
func (s *scheduleServer) answerReserve(ctx context.Context, r *connect.Request[schedulev1.JobStatusRequest], resp *connect.Response[schedulev1.JobStatusResponse]) error {
	value := r.Header().Get(reserveHeader)
	if value == "" {
		return nil
	}
	bytes, err := strconv.ParseInt(value, 10, 64)
	if err != nil || bytes < 0 {
		return connect.NewError(connect.CodeInvalidArgument, errors.Errorf("node: header %s is not a number of bytes", reserveHeader))
	}
	granted, err := s.coordinator.ReserveJob(ctx, r.Msg.Job, bytes)
	if err != nil {
		return coordinatorRPCError(err)
	}
	answer := reserved
	if !granted {
		answer = noRoom
	}
	resp.Header().Set(reserveHeader, answer)
	return nil
}

// answerRefusal handles the refusalHeader in a query for the status of a job that the owner does not know.
func (s *scheduleServer) answerRefusal(r *connect.Request[schedulev1.JobStatusRequest], resp *connect.Response[schedulev1.JobStatusResponse]) {
	switch r.Header().Get(refusalHeader) {
	case refusalAsked:
		if s.frontend.ConfirmRefusal(r.Msg.Job) {
			resp.Header().Set(refusalHeader, refusalConfirmed)
		}
	case refusalForbidden:
		s.frontend.RecordUncertain(r.Msg.Job)
	}
}

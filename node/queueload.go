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

// queueLoads passes the load of the queues from the owner to the frontends of all hosts.
type queueLoads struct {
	now      func() time.Duration
	received func(frontend.QueueLoad)

	mu          sync.Mutex
	header      string
	published   bool
	publishedAt time.Duration
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
				return resp, nil
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
	resp, err := o.queryRefusal(ctx, id, refusalAsked)
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
	_, err := o.queryRefusal(ctx, id, refusalForbidden)
	return err
}

// queryRefusal queries the status of a job from the owner on another host, with a value of refusalHeader.
func (o *ownerClient) queryRefusal(ctx context.Context, id, value string) (*connect.Response[schedulev1.JobStatusResponse], error) {
	c, err := o.remoteOwner()
	if err != nil {
		return nil, err
	}
	r := connect.NewRequest(&schedulev1.JobStatusRequest{Job: id})
	r.Header().Set(refusalHeader, value)
	return c.JobStatus(ctx, r)
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

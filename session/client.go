package session

import (
	"context"
	"time"

	"github.com/tamarackworks/tamarackworks/workload"
)

// Endpoint identifies one executor and gives its network address.
type Endpoint struct{ ID, Address string }

// StartOrder asks an executor to start a run.
type StartOrder struct {
	Task    workload.TaskID
	Run     int
	Payload string
	// DeadlineMS is the time on the executor's clock, in milliseconds, until which all of its tasks may run.
	DeadlineMS int64
	// Fence is the fencing token of the order; see Tokens.
	Fence uint64
	// Checkpoint is where the run resumes; empty if it starts from the beginning.
	Checkpoint string
	// Permit is the permit of the advice service; empty if the queue requires none.
	Permit string
}

// HoldOrder extends the leases on an executor and asks for its report.
type HoldOrder struct {
	// Fence is as in StartOrder.
	Fence uint64
	// Acknowledged is the number of the last ended run that is stored durably; the executor may forget it and those before.
	Acknowledged int64
	// DeadlineMS is as in StartOrder; 0 does not extend the leases.
	DeadlineMS int64
	// Wait is how long the executor may wait for a run to end before it responds.
	Wait time.Duration
}

// Result is what an executor did with an order.
type Result string

// Results of orders.
const (
	Accepted Result = "accepted"
	// Fenced means that the executor has seen a higher fencing token.
	Fenced Result = "fenced"
	// OldRun means that the executor has already started, stopped or ended a run of the task with this number or a higher one.
	OldRun Result = "old_run"
	// TooLate means that the deadline of the order had passed on the executor's clock when the order arrived.
	TooLate  Result = "too_late"
	NoRoom   Result = "no_room"
	NoPermit Result = "no_permit"
	// Unhealthy means that the executor takes no orders at the moment.
	Unhealthy Result = "unhealthy"
	// OtherIncarnation means that the order was meant for an executor or an incarnation that no longer runs there.
	OtherIncarnation Result = "other_incarnation"
	// Malformed means that the executor rejected the order as invalid, or for a reason that is not known here.
	Malformed Result = "malformed"
	// NotSent means that the order certainly did not reach the executor.
	NotSent Result = "not_sent"
	// Expired means that the order got no response and can no longer be carried out.
	Expired Result = "expired"
	// Unclear means that an earlier attempt of the same order may have been carried out; the next report shows whether it was.
	Unclear Result = "unclear"
)

// Response is an executor's response to an order.
type Response struct {
	Result Result
	// ClockMS and BornUnixMS are as in workload.Report.
	ClockMS    int64
	BornUnixMS int64
}

// Client sends requests to executors. An error that does not match ErrNotSent counts as a missing response.
type Client interface {
	// Start asks the executor to start a run. Retrying the order does not start the run twice.
	Start(ctx context.Context, to Endpoint, o StartOrder) (Response, error)
	// Stop asks the executor to stop a run and to reject a start of it that arrives later.
	Stop(ctx context.Context, to Endpoint, task workload.TaskID, run int, fence uint64) (Response, error)
	// Pace sets the speed of a task to a percentage of its full speed.
	Pace(ctx context.Context, to Endpoint, task workload.TaskID, run, percent int, fence uint64) (Response, error)
	// Hold extends the leases, acknowledges ended runs and returns a report.
	Hold(ctx context.Context, to Endpoint, o HoldOrder) (workload.Report, Result, error)
}

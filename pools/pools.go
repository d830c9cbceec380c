// Package pools plans moves of machines between pools and the maintenance of
// machines in waves. The planners are functions of a snapshot and, for moves,
// of the history of arrivals; the coordinator carries out their actions.
//
// A long-running task runs until it is stopped. A finite task ends by itself.
package pools

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/workload"
)

// Errors of calls to the machine service.
var (
	// ErrNotDone means that the call certainly had no effect. It may be retried.
	ErrNotDone = errors.New("pools: call to the machine service had no effect")
	// ErrNoResponse means that the order may have been carried out; retrying it is safe.
	ErrNoResponse = errors.New("pools: no valid answer from the machine service")
	// ErrRejected means that the order is invalid or not allowed in the machine's state. It is not retried.
	ErrRejected = errors.New("pools: order rejected by the machine service")
)

// Order asks the machine service to move a machine to a pool, or to take it down for maintenance in a wave.
type Order struct {
	Machine string
	// Pool is the destination of a move.
	Pool string
	// Wave is the number of the wave of a maintenance order.
	Wave int
	// Holder is the owner that sends the order. Fence is its epoch, which is sent as the fencing token.
	Holder string
	Fence  uint64
}

// Machine is a machine with the load and the state of its executor.
type Machine struct {
	workload.Machine
	// Tasks is the number of tasks on its executor, LongRunning how many of them are long-running.
	Tasks, LongRunning int
	// IdleFor is the time since the executor's last task ended; 0 while it has tasks, or is kept for some that start together.
	IdleFor time.Duration
	// Cordoned is set while the executor gets no new tasks, Yielding while it gets no late ones.
	Cordoned, Yielding bool
	// Usable is set if the executor can take tasks now. Reachable is set if it is registered, in contact with the owner and
	// not draining. Reported is set if it has reported what it runs, or if no executor runs on the machine.
	Usable, Reachable, Reported bool
	// Ordered is set while an order for the machine is in progress, and for some time after a failed order or an order of an
	// earlier owner.
	Ordered bool
	// FreeCPU is the unreserved CPU of the executor, in thousandths of a core.
	FreeCPU int
	// FiniteCPU is the CPU that its finite tasks reserve, in thousandths of a core.
	FiniteCPU int
}

// Wave is a wave with its progress.
type Wave struct {
	workload.Wave
	// Name is the key of the row in which the operator requested the wave.
	Name string
	// Started is when the first owner learned of the wave, on the clock of Snapshot.Now.
	Started time.Duration
	// Begun holds the machines whose maintenance was ordered and confirmed.
	Begun map[string]bool
	// Listed holds the machines that a list has shown to this owner. Gone holds those that are certainly not in service as of the last
	// list.
	Listed, Gone map[string]bool
	// Completed is set when completion was reported to the operator.
	Completed bool
}

// Pool is a pool with the demand of the service that runs on it.
type Pool struct {
	Name string
	// Standby marks a pool whose machines are off and not paid for.
	Standby bool
	// Waiting, Late and TooLate are the estimated work of ready finite tasks that run nowhere, in thousandths of a core times
	// seconds: of jobs that can be on time, of late ones, and of those whose result has no value any more. Arrived is the
	// estimated finite work of all jobs since the owner began, in the same unit.
	Waiting, Late, TooLate, Arrived int64
	// LongRunning is the CPU that the ready long-running tasks without an executor reserve, in thousandths of a core.
	LongRunning int64
	// Unplaced is the number of long-running tasks for which the scheduler found no executor. There may be free CPU, on
	// executors that spread limits rule out or that are to leave.
	Unplaced int
	// CordonedFit is a cordoned executor that could take one of them; empty if there is none. CordonedFitFor is how long there has
	// been one.
	CordonedFit    string
	CordonedFitFor time.Duration
	// Confined is the number of long-running tasks that can leave a cordoned machine only for another machine.
	Confined int
	// Spread is the number of machines that the spread limits of long-running steps require.
	Spread int
}

// hasBacklog reports whether work waits that still has value.
func (p *Pool) hasBacklog() bool { return p.Waiting+p.Late > 0 }

// Snapshot is the input of the planners.
type Snapshot struct {
	// Now is on the owner's monotonic clock.
	Now      time.Duration
	Machines []Machine
	Waves    []*Wave
	Pools    []Pool
}

// ActionKind is the kind of an action. Its text is written to the log.
type ActionKind string

// Kinds of actions.
const (
	ActionCordon   ActionKind = "cordon"
	ActionUncordon ActionKind = "uncordon"
	ActionMaintain ActionKind = "upkeep"
	ActionMove     ActionKind = "move"
	ActionComplete ActionKind = "complete"
)

// Action is one decision of a planner, with its reason for the log.
type Action struct {
	Kind    ActionKind
	Machine string
	Pool    string
	Wave    *Wave
	Reason  string
	// Ahead is set for a move for a burst that has yet to begin.
	Ahead bool
}

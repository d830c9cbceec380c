// Package workers implements executors in memory, with leases, fencing tokens
// and fault injection. It records violations: a task that runs twice at the
// same time, or that starts again after a completion that was acknowledged
// before or is acknowledged later.
// Tests use it under the virtual time of testing/synctest.
package workers

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/tamarackworks/tamarackworks/session"
	"github.com/tamarackworks/tamarackworks/workload"
)

const (
	defaultResponseTime = 2 * time.Millisecond
	// defaultStopTime is how long a task runs on after a stop order.
	defaultStopTime = 100 * time.Millisecond
)

// Fleet is a set of executors. It implements session.Client.
type Fleet struct {
	mu        sync.Mutex
	executors map[string]*executor
	startedAt time.Time
	// duration returns how long a task runs if it is not interrupted, and how it ends then.
	duration func(workload.TaskID) (time.Duration, workload.End)
	// size is the capacity that each task takes from its executor.
	size     workload.Resources
	stopTime time.Duration
	// maxListedEnds is the number of ended runs that a report lists at most; 0 is no limit.
	maxListedEnds int
	// fault returns the fault of an order; nil means no faults.
	fault func(executor, order string) Fault

	// responseTime is the time from an order to its execution and response, slowExecutors holds that of executors that differ.
	responseTime  time.Duration
	slowExecutors map[string]time.Duration
	// delays, clockRate and maxLease are as in network.go; replacedBy holds by ID the executor that has the address of an ended one.
	delays     func(executor, order string) (request, response time.Duration)
	clockRate  func() float64
	maxLease   time.Duration
	replacedBy map[string]string
	// deliverAfterRestart is set if delayed orders reach the next incarnation of an executor.
	deliverAfterRestart bool
	// firstClockMS is what the clocks of executors that start from now on show at first.
	firstClockMS int64
	// running holds the executor of each running task.
	running map[workload.TaskID]string
	// acknowledgedDone holds the tasks whose completion was acknowledged; they must not start again.
	acknowledgedDone map[workload.TaskID]bool
	// startedLast is when the last run of each task started.
	startedLast map[workload.TaskID]time.Time
	violations  []string
	history     []string
	// rejected counts the start orders refused with session.NoRoom, starts the runs started.
	rejected int
	starts   int
}

// Fault is a failure injected into an order.
type Fault int

// Faults of orders.
const (
	None Fault = iota
	// DropOrder neither carries the order out nor responds. The caller gets ErrNoResponse when its context ends.
	DropOrder
	// LoseResponse carries the order out and does not respond. The caller gets ErrNoResponse when its context ends.
	LoseResponse
	// Late does not respond and carries the order out LateBy later. The caller gets ErrNoResponse when its context ends.
	Late
	// Refuse responds with session.Unhealthy and does not carry the order out.
	Refuse
	// SlowResponse carries the order out at once and responds LateBy later.
	SlowResponse
)

// LateBy is the delay of orders with the fault Late, and of responses with the fault SlowResponse.
const LateBy = 2500 * time.Millisecond

// executor is one incarnation of an executor.
type executor struct {
	id         string
	capacity   workload.Resources
	bornUnixMS int64
	// startedAt is when its clock started, if executors have separate clocks, firstClockMS what it showed then, and clockRate how fast
	// it runs.
	startedAt    time.Time
	firstClockMS int64
	clockRate    float64
	// refuses is set if the address refuses connections after a crash.
	refuses bool
	// fence is the highest fencing token seen.
	fence uint64
	// leaseDeadlineMS is when the lease expires, on the clock of clockOf.
	leaseDeadlineMS int64
	crashed         bool
	unreachable     bool
	runs            map[workload.TaskID]*run
	endedTasks      []workload.EndedTask
	// endedAt holds the time of each of endedTasks.
	endedAt []time.Time
	// leaseExpiries counts how often the lease expired; expiriesAtEnd holds the count at the time of each of endedTasks.
	leaseExpiries int
	expiriesAtEnd []int
	nextEndNumber int64
	// highestRun is the highest run number of each task that was started or ordered to stop.
	highestRun map[workload.TaskID]int
	// changed is closed and replaced when a run ends.
	changed    chan struct{}
	leaseTimer *time.Timer
}

// run is one run of a task on an executor.
type run struct {
	number    int
	startedAt time.Time
	timer     *time.Timer
	size      workload.Resources
}

// New returns a fleet without executors. Tasks take one core, run for 500 ms and end as done.
func New() *Fleet {
	return &Fleet{
		executors: make(map[string]*executor), startedAt: time.Now(),
		duration: func(workload.TaskID) (time.Duration, workload.End) { return 500 * time.Millisecond, workload.EndDone },
		size:     workload.Resources{CPUMilli: 1000}, stopTime: defaultStopTime, responseTime: defaultResponseTime, slowExecutors: make(map[string]time.Duration),
		replacedBy: make(map[string]string),
		running:    make(map[workload.TaskID]string), acknowledgedDone: make(map[workload.TaskID]bool),
		startedLast: make(map[workload.TaskID]time.Time),
	}
}

// SetDuration sets the function that returns how long a task runs and how it ends.
func (f *Fleet) SetDuration(duration func(workload.TaskID) (time.Duration, workload.End)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.duration = duration
}

// SetMaxListedEnds sets how many ended runs a report lists at most; 0 is no limit.
func (f *Fleet) SetMaxListedEnds(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxListedEnds = n
}

// SetStopTime sets how long a task runs on after a stop order.
func (f *Fleet) SetStopTime(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopTime = d
}

// SetResponseTime sets the time from an order to its execution and response.
func (f *Fleet) SetResponseTime(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.responseTime = d
}

// SetResponseTimeOf sets the same for orders to one executor.
func (f *Fleet) SetResponseTimeOf(id string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slowExecutors[id] = d
}

// DeliverOrdersAfterRestart makes delayed orders reach the next incarnation of their executor. Otherwise they have no effect
// once the incarnation that they were sent to is gone.
func (f *Fleet) DeliverOrdersAfterRestart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deliverAfterRestart = true
}

// SetFirstClock sets what the separate clocks of executors that start from now on show at first.
func (f *Fleet) SetFirstClock(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.firstClockMS = d.Milliseconds()
}

// SetFault sets the function that returns the fault of each order. The orders are start, stop, pace and hold.
func (f *Fleet) SetFault(fault func(executor, order string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// Add starts an executor. An executor with the same id crashes and is replaced by a new incarnation.
func (f *Fleet) Add(id string, capacity workload.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.executors[id] != nil {
		f.crash(id)
	}
	f.record("%s starts", id)
	f.executors[id] = &executor{
		id: id, capacity: capacity, bornUnixMS: time.Now().UnixMilli(), nextEndNumber: 1,
		startedAt: time.Now(), firstClockMS: f.firstClockMS, clockRate: f.nextClockRate(),
		runs: make(map[workload.TaskID]*run), highestRun: make(map[workload.TaskID]int), changed: make(chan struct{}),
	}
}

// Restart crashes an executor and starts a new incarnation with the same capacity at once.
func (f *Fleet) Restart(id string) {
	f.mu.Lock()
	capacity := f.executors[id].capacity
	f.mu.Unlock()
	f.Add(id, capacity)
}

// Crash ends an executor and the runs on it.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crash(id)
}

// crash implements Crash. The caller holds f.mu.
func (f *Fleet) crash(id string) {
	e := f.executors[id]
	e.crashed = true
	f.record("%s crashes", id)
	for task, r := range e.runs {
		r.timer.Stop()
		f.clearRunning(task, id)
	}
	e.runs = make(map[workload.TaskID]*run)
}

// SetUnreachable makes an executor unreachable, while its tasks run on, or reachable again.
func (f *Fleet) SetUnreachable(id string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executors[id].unreachable = on
	f.record("%s is unreachable: %t", id, on)
}

// Violations describes the violations seen so far; tests expect none.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// History returns the events of executors and runs, one a line, for the output of failed tests.
func (f *Fleet) History() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.history...)
}

// record adds a line to the history. The caller holds f.mu, as for all unexported methods unless they lock it.
func (f *Fleet) record(format string, args ...any) {
	f.history = append(f.history, fmt.Sprintf("%7d fleet ", f.clockMS())+fmt.Sprintf(format, args...))
}

// Counts returns the number of runs started and of start orders refused with session.NoRoom.
func (f *Fleet) Counts() (starts, rejected int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts, f.rejected
}

// Running returns the running tasks by the id of their executor.
func (f *Fleet) Running() map[string][]workload.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := make(map[string][]workload.TaskID)
	for task, id := range f.running {
		running[id] = append(running[id], task)
	}
	return running
}

// clockMS returns the time of the steady clock of the fleet, in milliseconds. It starts at 1.
func (f *Fleet) clockMS() int64 { return time.Since(f.startedAt).Milliseconds() + 1 }

// clearRunning notes that a task no longer runs on the executor, unless another executor has started it since.
func (f *Fleet) clearRunning(task workload.TaskID, id string) {
	if f.running[task] == id {
		delete(f.running, task)
	}
}

// deliver applies the fault of an order and otherwise executes it after responseTime. If ctx ends earlier, the order is
// executed all the same, without a response.
func (f *Fleet) deliver(ctx context.Context, to session.Endpoint, order string, execute func(*executor) session.Result) (session.Response, error) {
	f.mu.Lock()
	fault := None
	if f.fault != nil {
		fault = f.fault(to.ID, order)
	}
	e := f.executors[to.ID]
	if e == nil || e.crashed || e.unreachable {
		fault = DropOrder
	}
	responseTime := f.responseTime
	if d, ok := f.slowExecutors[to.ID]; ok {
		responseTime = d
	}
	delays, ended, replacement := f.delays, e != nil && e.crashed, f.executors[f.replacedBy[to.ID]]
	f.mu.Unlock()
	if delays != nil && fault == None {
		return f.deliverWithDelays(ctx, to.ID, order, e, execute)
	}
	if ended && delays != nil {
		return f.callEnded(ctx, e, order, replacement)
	}
	carryOut := func() session.Response {
		f.mu.Lock()
		defer f.mu.Unlock()
		addressed := e
		// An order names its executor by id only, so a delayed one may reach the next incarnation.
		e := f.executors[to.ID]
		if e.crashed || (e != addressed && !f.deliverAfterRestart) {
			return session.Response{Result: session.OtherIncarnation, ClockMS: f.clockOf(e)}
		}
		return f.response(e, execute(e))
	}
	switch fault {
	case DropOrder:
		<-ctx.Done()
		return session.Response{}, session.ErrNoResponse
	case LoseResponse:
		carryOut()
		<-ctx.Done()
		return session.Response{}, session.ErrNoResponse
	case Refuse:
		return f.response(e, session.Unhealthy), nil
	case SlowResponse:
		resp := carryOut()
		select {
		case <-time.After(LateBy):
			return resp, nil
		case <-ctx.Done():
			return session.Response{}, session.ErrNoResponse
		}
	case Late:
		time.AfterFunc(LateBy, func() { carryOut() })
		<-ctx.Done()
		return session.Response{}, session.ErrNoResponse
	}
	select {
	case <-time.After(responseTime):
		return carryOut(), nil
	case <-ctx.Done():
		carryOut()
		return session.Response{}, session.ErrNoResponse
	}
}

// staleFence reports whether a fencing token is lower than the highest one seen; otherwise it becomes the highest.
func (e *executor) staleFence(fence uint64) bool {
	if fence < e.fence {
		return true
	}
	e.fence = fence
	return false
}

// Start implements session.Client.
func (f *Fleet) Start(ctx context.Context, to session.Endpoint, o session.StartOrder) (session.Response, error) {
	return f.deliver(ctx, to, "start", func(e *executor) session.Result {
		if e.staleFence(o.Fence) {
			return session.Fenced
		}
		if o.DeadlineMS <= f.clockOf(e) {
			return session.TooLate
		}
		f.extendLease(e, o.DeadlineMS)
		if r := e.runs[o.Task]; r != nil && r.number == o.Run {
			return session.Accepted
		}
		if o.Run <= e.highestRun[o.Task] {
			return session.OldRun
		}
		size := f.size
		used := size
		for _, r := range e.runs {
			used = used.Add(r.size)
		}
		if !e.capacity.Fits(used) {
			f.rejected++
			return session.NoRoom
		}
		f.startRun(e, o, size)
		return session.Accepted
	})
}

// startRun starts a run and records the violations that it causes.
func (f *Fleet) startRun(e *executor, o session.StartOrder, size workload.Resources) {
	f.starts++
	f.record("%s run %d starts on %s fence %d deadline %d", o.Task, o.Run, e.id, o.Fence, o.DeadlineMS)
	if other, ok := f.running[o.Task]; ok {
		f.violations = append(f.violations, fmt.Sprintf("%s runs on %s and %s", o.Task, other, e.id))
	}
	if f.acknowledgedDone[o.Task] {
		f.violations = append(f.violations, fmt.Sprintf("%s starts on %s after its completion was acknowledged", o.Task, e.id))
	}
	f.running[o.Task], f.startedLast[o.Task] = e.id, time.Now()
	e.highestRun[o.Task] = o.Run
	duration, outcome := f.duration(o.Task)
	r := &run{number: o.Run, startedAt: time.Now(), size: size}
	r.timer = time.AfterFunc(duration, func() { f.endRun(e, o.Task, r, outcome) })
	e.runs[o.Task] = r
}

// endRun ends a run unless it has ended already. It locks f.mu, as timers call it.
func (f *Fleet) endRun(e *executor, task workload.TaskID, r *run, outcome workload.End) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.runs[task] != r {
		return
	}
	f.finishRun(e, task, r, outcome)
}

// finishRun removes a run and adds it to the ended tasks, which wakes a waiting Hold.
func (f *Fleet) finishRun(e *executor, task workload.TaskID, r *run, outcome workload.End) {
	f.record("%s run %d ends on %s: %s, end number %d", task, r.number, e.id, outcome, e.nextEndNumber)
	r.timer.Stop()
	delete(e.runs, task)
	f.clearRunning(task, e.id)
	e.endedTasks = append(e.endedTasks, workload.EndedTask{Number: e.nextEndNumber, Task: task, Run: r.number, Outcome: outcome})
	e.expiriesAtEnd, e.endedAt = append(e.expiriesAtEnd, e.leaseExpiries), append(e.endedAt, time.Now())
	e.nextEndNumber++
	close(e.changed)
	e.changed = make(chan struct{})
}

// extendLease extends the lease of an executor; it never shortens it. When the lease expires, all runs end with it.
func (f *Fleet) extendLease(e *executor, deadline int64) {
	if f.maxLease > 0 {
		deadline = min(deadline, f.clockOf(e)+f.maxLease.Milliseconds())
	}
	if deadline <= e.leaseDeadlineMS {
		return
	}
	e.leaseDeadlineMS = deadline
	if e.leaseTimer != nil {
		e.leaseTimer.Stop()
	}
	e.leaseTimer = time.AfterFunc(time.Duration(float64(deadline-f.clockOf(e))*float64(time.Millisecond)/e.clockRate), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.leaseExpiries++
		for task, r := range e.runs {
			f.finishRun(e, task, r, workload.EndLeaseExpired)
		}
	})
}

// Stop implements session.Client.
func (f *Fleet) Stop(ctx context.Context, to session.Endpoint, task workload.TaskID, number int, fence uint64) (session.Response, error) {
	return f.deliver(ctx, to, "stop", func(e *executor) session.Result {
		if e.staleFence(fence) {
			return session.Fenced
		}
		e.highestRun[task] = max(e.highestRun[task], number)
		f.record("%s run %d is ordered to stop on %s fence %d", task, number, e.id, fence)
		if r := e.runs[task]; r != nil && r.number <= number {
			time.AfterFunc(f.stopTime, func() { f.endRun(e, task, r, workload.EndStopped) })
		}
		return session.Accepted
	})
}

// Pace implements session.Client.
func (f *Fleet) Pace(ctx context.Context, to session.Endpoint, _ workload.TaskID, _, _ int, fence uint64) (session.Response, error) {
	return f.deliver(ctx, to, "pace", func(e *executor) session.Result {
		if e.staleFence(fence) {
			return session.Fenced
		}
		return session.Accepted
	})
}

// Hold implements session.Client.
func (f *Fleet) Hold(ctx context.Context, to session.Endpoint, o session.HoldOrder) (workload.Report, session.Result, error) {
	var changed chan struct{}
	var exec *executor
	resp, err := f.deliver(ctx, to, "hold", func(e *executor) session.Result {
		if e.staleFence(o.Fence) {
			return session.Fenced
		}
		exec = e
		f.extendLease(e, o.DeadlineMS)
		for len(e.endedTasks) > 0 && e.endedTasks[0].Number <= o.Acknowledged {
			f.record("%s end %d on %s acknowledged by fence %d", e.endedTasks[0].Task, e.endedTasks[0].Number, e.id, o.Fence)
			// The completion of a task counts as acknowledged only if the lease has not expired since.
			if e.endedTasks[0].Outcome == workload.EndDone && e.expiriesAtEnd[0] == e.leaseExpiries {
				f.acknowledgeDone(e)
			}
			e.endedTasks, e.expiriesAtEnd, e.endedAt = e.endedTasks[1:], e.expiriesAtEnd[1:], e.endedAt[1:]
		}
		if len(e.endedTasks) == 0 {
			changed = e.changed
		}
		return session.Accepted
	})
	if err != nil || resp.Result != session.Accepted {
		return workload.Report{}, resp.Result, err
	}
	if changed != nil && o.Wait > 0 {
		limit := time.NewTimer(o.Wait)
		defer limit.Stop()
		select {
		case <-changed:
		case <-limit.C:
		case <-ctx.Done():
			return workload.Report{}, "", session.ErrNoResponse
		}
	}
	report, result, err := f.report(ctx, exec)
	if err == nil && !f.delayReport(ctx, exec) {
		return workload.Report{}, "", session.ErrNoResponse
	}
	return report, result, err
}

// acknowledgeDone records that the completion in the first of the executor's ended tasks was acknowledged, and the violation if the
// task has started again since its end.
func (f *Fleet) acknowledgeDone(e *executor) {
	task := e.endedTasks[0].Task
	f.acknowledgedDone[task] = true
	if f.startedLast[task].After(e.endedAt[0]) {
		f.violations = append(f.violations, fmt.Sprintf("%s started again after it was done on %s, which was acknowledged then", task, e.id))
	}
}

// report returns the report of an executor, or ErrNoResponse at the end of ctx if the executor is down or unreachable. It
// locks f.mu.
func (f *Fleet) report(ctx context.Context, e *executor) (workload.Report, session.Result, error) {
	f.mu.Lock()
	if e.crashed || e.unreachable {
		f.mu.Unlock()
		<-ctx.Done()
		return workload.Report{}, "", session.ErrNoResponse
	}
	defer f.mu.Unlock()
	r := workload.Report{ClockMS: f.clockOf(e), BornUnixMS: e.bornUnixMS}
	listed := e.endedTasks
	if f.maxListedEnds > 0 && len(listed) >= f.maxListedEnds {
		listed, r.MoreEnds = listed[:f.maxListedEnds], true
	}
	r.Ended = append(r.Ended, listed...)
	for task, x := range e.runs {
		r.Running = append(r.Running, workload.RunningTask{Task: task, Run: x.number, Percent: f.percent(task, x)})
	}
	sort.Slice(r.Running, func(a, b int) bool { return r.Running[a].Task.String() < r.Running[b].Task.String() })
	return r, session.Accepted, nil
}

// percent returns the progress of a run, which is below 100 while it runs.
func (f *Fleet) percent(task workload.TaskID, x *run) float64 {
	d, _ := f.duration(task)
	return 99 * float64(time.Since(x.startedAt)) / float64(d)
}

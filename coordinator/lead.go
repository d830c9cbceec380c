package coordinator

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/feed"
	"github.com/tamarackworks/tamarackworks/ownership"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/scheduler"
	"github.com/tamarackworks/tamarackworks/session"
	"github.com/tamarackworks/tamarackworks/workload"
)

const (
	// tickInterval is how often timeouts and other conditions that depend only on time are checked.
	tickInterval = 100 * time.Millisecond
	// eventBuffer lets sessions deliver events while the control goroutine is busy.
	eventBuffer = 1024
	// maxEventsPerPass bounds the events that are handled before the next scheduling pass.
	maxEventsPerPass = 256
	// minPassInterval limits the rate of scheduling passes. In a burst, task ends arrive one by one, and a pass for each of
	// them would look at all waiting jobs.
	minPassInterval = 5 * time.Millisecond
	// loadRetryDelay is the pause between attempts to load the state.
	loadRetryDelay = 100 * time.Millisecond
)

// leadership is the state of one term of ownership. Only the control goroutine accesses its fields after loading, except
// those that newLeadership sets and nothing changes.
type leadership struct {
	opts Options
	term ownership.Term
	ctx  context.Context
	log  log.Interface

	core     *scheduler.Core
	events   chan any
	queries  chan func(*scheduler.Core)
	sessions map[string]*session.Session
	losses   *session.LossMonitor
	// lateHolds limits the holds whose late response is awaited.
	lateHolds *session.LateHolds
	tokens    *session.Tokens
	lag       *elapsed.Lag
	endpoints map[string]session.Endpoint
	// continuable tells, by executor, whether its session may continue without a confirmed ownership. It must not while the stored record
	// may say that contact is lost; see maxInheritedLease.
	continuable map[string]*atomic.Bool
	// jobRecords holds the stored job records until all jobs are loaded.
	jobRecords map[string]storedJobRecord
	// leftOut holds the jobs that do not run because their records cannot be read or used.
	leftOut map[string]bool
	// loadedJobs counts the unfinished jobs that were loaded, by their origin.
	loadedJobs map[jobOrigin]int
	rows       *ownerRows
	// executorRecords holds the executors that may run tasks for this owner or an earlier one.
	executorRecords map[string]executorRecord
	// committing is set while a commit is in progress.
	committing bool
	// nextPassAt is when the next scheduling pass may start; passTimer wakes the control goroutine for it.
	nextPassAt time.Duration
	passTimer  *time.Timer
	// nextCommitAt is when the next commit may start; see commitInterval. commitHedge is its hedge.
	nextCommitAt, commitHedge time.Duration
	// purging is set while rows of finished jobs are being deleted; nextPurgeAt is when the next deletion may start.
	purging     bool
	nextPurgeAt time.Duration
	deletions   deletions
	startedAt   time.Duration
	machines    machineState
	closures    closureState
	// storedRoutes is the version of the last configuration in the row at routeHistoryKey.
	storedRoutes uint64
}

// storedJobRecord is a job record as it was loaded. The record is nil if it cannot be decoded.
type storedJobRecord struct {
	record  *scheduler.Record
	version uint64
}

// executorRecord is the stored row of an executor that may run tasks for this owner or an earlier one.
type executorRecord struct {
	Address string `json:"a"`
	// Service is the service of whose tasks the executor may run any; empty if it has had several.
	Service string `json:"s"`
	// Lost is set while the owner has no contact with the executor. Tasks are then all tasks that it may run.
	Lost  bool              `json:"l,omitempty"`
	Tasks []workload.TaskID `json:"t,omitempty"`
	// inherited is set if a former owner stored the row. Address is empty if the row cannot be decoded.
	inherited bool
}

// executorRecordTable holds an executorRecord for each executor that may run tasks for this owner or an earlier one.
const executorRecordTable = "tamarack_executors"

func executorRecordKey(id string) rowstore.Key {
	return rowstore.Key{Table: executorRecordTable, Name: id}
}

// controlTable holds the progress of waves and recent machine orders, which a new owner needs from its predecessor.
const controlTable = "tamarack_control"

// Rows of controlTable.
var (
	waveProgressKey = rowstore.Key{Table: controlTable, Name: "waves"}
	recentOrdersKey = rowstore.Key{Table: controlTable, Name: "orders"}
	routeHistoryKey = rowstore.Key{Table: controlTable, Name: "routes"}
)

// newLeadership returns the state of a term before anything is loaded.
func newLeadership(ctx context.Context, opts Options, term ownership.Term) *leadership {
	l := &leadership{
		opts: opts, term: term, ctx: ctx,
		log: opts.Log.WithField("epoch", term.Epoch),
		core: scheduler.New(scheduler.Options{
			Epoch: term.Epoch, Retention: opts.Retention, StopTimeout: opts.StopTimeout, IgnoreInterference: opts.IgnoreInterference,
			JobMemory: opts.JobMemory,
		}),
		events:   make(chan any, eventBuffer),
		queries:  make(chan func(*scheduler.Core)),
		sessions: make(map[string]*session.Session), losses: session.NewLossMonitor(), lateHolds: &session.LateHolds{}, tokens: session.NewTokens(term.Epoch),
		lag:       elapsed.NewLag(ctx),
		endpoints: make(map[string]session.Endpoint), continuable: make(map[string]*atomic.Bool),
		jobRecords: make(map[string]storedJobRecord), leftOut: make(map[string]bool), loadedJobs: make(map[jobOrigin]int), rows: newOwnerRows(), executorRecords: make(map[string]executorRecord),
		deletions: newDeletions(), startedAt: opts.Now(), commitHedge: minCommitHedge,
	}
	l.machines = newMachineState(l.startedAt + firstOrderDelay)
	return l
}

// emit passes an event to the control goroutine. Once the term has ended, events may be dropped.
func (l *leadership) emit(e any) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// run is the control goroutine. It returns when the term ends.
func (l *leadership) run() error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	l.passTimer = time.NewTimer(minPassInterval)
	defer l.passTimer.Stop()
	for {
		l.scheduleAndCommit()
		select {
		case <-l.ctx.Done():
			return nil
		case query := <-l.queries:
			query(l.core)
		case e := <-l.events:
			if err := l.handleQueued(e); err != nil {
				return err
			}
		case <-l.passTimer.C:
		case <-tick.C:
			now := l.opts.Now()
			l.core.Tick(now, l.opts.WallMS())
			l.dropGoneExecutors()
			l.planMachines(now)
			l.publishClosures(now)
			l.publishRoom(now)
			l.purge(now)
			l.opts.Metrics.observeCore(now, l.core, len(l.events), l.lag.Value())
		}
	}
}

// handleQueued handles an event and the events that are already queued, so that one scheduling pass covers all of them.
func (l *leadership) handleQueued(e any) error {
	for n := 0; ; n++ {
		if err := l.handle(e); err != nil {
			return err
		}
		if n >= maxEventsPerPass {
			return nil
		}
		select {
		case e = <-l.events:
		default:
			return nil
		}
	}
}

// handle applies one event to the state. An error ends the term.
func (l *leadership) handle(e any) error {
	now := l.opts.Now()
	switch e := e.(type) {
	case feed.Batch:
		l.applyBatch(e, false)
	case session.Reported:
		if l.sessions[e.Executor] == nil {
			// The executor was dropped after the report.
			return nil
		}
		l.opts.Metrics.countReport(e.Report)
		l.core.Report(now, e.Executor, e.Report, e.SentAt, e.LastEnd)
		l.recordContactRegained(e.Executor)
		if e.Restarted {
			l.log.WithFields(log.Fields{"executor": e.Executor, "born": e.Report.BornUnixMS}).Warn("executor restarted")
		}
		l.sessions[e.Executor].SetWait(l.core.PollWait(e.Executor))
	case session.ReportedLate:
		l.opts.Metrics.countEnds(e.Ended)
		l.log.WithFields(log.Fields{"executor": e.Executor, "ended": len(e.Ended)}).Info("ended runs listed late")
		l.core.ReportEnds(now, e.Executor, e.BornUnixMS, e.Ended, e.LastEnd)
	case session.ContactLost:
		l.log.WithFields(log.Fields{"executor": e.Executor, "reason": e.Reason}).Warn("contact with executor lost")
		l.core.LoseContact(now, e.Executor, e.Refused)
		l.recordContactLost(now, e.Executor)
	case session.LeasesExpired:
		// A start may have extended the leases since the event, or the session may be another one.
		if s := l.sessions[e.Executor]; s != nil && s.LeasesExpired() {
			l.core.ExpireLeases(now, e.Executor)
		}
	case inheritedLeasesExpired:
		l.handleInheritedLeasesExpired(now, e.executor)
	case session.Started:
		outcome := startOutcome(e.Result)
		l.opts.Metrics.observeStart(string(e.Result), e.Took)
		if e.Unanswered > 0 {
			l.log.WithFields(log.Fields{
				"subject": e.Task.String(), "executor": e.Executor, "run": e.Run, "result": string(e.Result), "attempts": e.Attempts,
				"unanswered": e.Unanswered, "took_ms": e.Took.Milliseconds(),
			}).Info("start had unanswered attempts")
		}
		l.core.Started(now, e.Executor, e.Task, e.Run, outcome, string(e.Result))
	case session.Stopped:
		l.core.Stopped(now, e.Executor, e.Task, e.Run)
	case session.Superseded:
		return errors.Wrapf(ErrOwnershipLost, "executor %s obeys a newer owner", e.Executor)
	case commitDone:
		return l.handleCommitDone(e)
	case purgeDone:
		l.handlePurgeDone(now, e)
	case permitResponse:
		l.core.PutPermits(now, e.step, e.permits, e.valid)
	case machineEvent:
		l.handleMachineEvent(now, e)
	}
	return nil
}

func startOutcome(r session.Result) scheduler.Outcome {
	switch r {
	case session.Accepted:
		return scheduler.StartAccepted
	case session.Unclear, session.OldRun:
		return scheduler.StartUnclear
	case session.NoRoom:
		return scheduler.StartNoRoom
	case session.NoPermit:
		return scheduler.StartNoPermit
	}
	return scheduler.StartRefused
}

// scheduleAndCommit places tasks, executes the commands of the core, logs its decisions, and starts a commit if there is
// something to store.
func (l *leadership) scheduleAndCommit() {
	now := l.opts.Now()
	l.schedule(now)
	for _, command := range l.core.Commands() {
		l.executeCommand(now, command)
	}
	for _, d := range l.core.Decisions() {
		l.log.WithFields(log.Fields(d.Inputs)).WithField("subject", d.Subject).Info(d.Message)
	}
	l.startCommit(now)
}

// schedule runs a scheduling pass if something has changed, or sets the timer for a pass that may not start yet.
func (l *leadership) schedule(now time.Duration) {
	switch {
	case !l.core.Changed() || !l.opts.MayContinue():
	case now < l.nextPassAt:
		l.passTimer.Reset(l.nextPassAt - now)
	default:
		l.core.Schedule(now, l.opts.ArrivalLimit())
		l.opts.Metrics.passes.Inc()
		l.nextPassAt = now + minPassInterval
		l.requestPermits(now)
	}
}

// executeCommand passes a command of the core to the session of its executor.
func (l *leadership) executeCommand(now time.Duration, command scheduler.Command) {
	switch x := command.(type) {
	case scheduler.StartTask:
		s := l.sessions[x.Executor]
		if s == nil {
			l.core.Started(now, x.Executor, x.Task, x.Run, scheduler.StartRefused, "no session")
			return
		}
		s.Start(session.StartOrder{
			Task: x.Task, Run: x.Run, Payload: x.Payload, Checkpoint: x.Checkpoint, Permit: x.Permit,
		})
	case scheduler.StopTask:
		if s := l.sessions[x.Executor]; s != nil {
			s.Stop(x.Task, x.Run)
		}
	case scheduler.PaceTask:
		if s := l.sessions[x.Executor]; s != nil {
			s.Pace(x.Task, x.Run, x.Percent)
		}
	}
}

// permitResponse is the event that the advice service responded, or that the call failed, which leaves permits nil.
type permitResponse struct {
	step    workload.StepID
	permits map[string]string
	valid   time.Duration
}

// requestPermits requests the permits that steps wait for. The advice service serves one call of this host at a time.
func (l *leadership) requestPermits(now time.Duration) {
	if l.opts.Advice == nil {
		return
	}
	for _, w := range l.core.PermitRequests(now) {
		go func() {
			ctx, cancel := context.WithTimeout(l.ctx, permitTimeout)
			defer cancel()
			permits, valid, ok, err := l.opts.Advice.Permits(ctx, w.Step, w.Executors)
			if err != nil || !ok {
				l.log.WithFields(log.Fields{"step": w.Step, "queue_full": err == nil}).Warn("no permits from the advice service")
				elapsed.Sleep(l.ctx, permitRetryDelay)
			} else {
				l.log.WithFields(log.Fields{
					"step": w.Step, "executors": w.Executors, "permitted": slices.Sorted(maps.Keys(permits)), "valid_ms": valid.Milliseconds(),
				}).Info("permits received")
			}
			l.emit(permitResponse{w.Step, permits, valid})
		}()
	}
}

const (
	// permitTimeout is long enough for the advice service to serve a full queue of 32 calls.
	permitTimeout = 5 * time.Second
	// permitRetryDelay is the pause after a failed call.
	permitRetryDelay = 200 * time.Millisecond
)

package coordinator

import (
	"context"
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
	// tickInterval bounds how late what depends on time alone is noticed.
	tickInterval = 100 * time.Millisecond
	// eventBuffer decouples sessions from the control goroutine.
	eventBuffer = 1024
	// maxDrain bounds the events handled before the next scheduling pass.
	maxDrain = 256
	// passGap bounds the rate of scheduling passes: in a burst, each looks at all waiting jobs, and ends come one by one.
	passGap = 5 * time.Millisecond
	// loadRetry spaces attempts to load the state.
	loadRetry = 100 * time.Millisecond
)

// lead is one term of ownership. Its fields belong to the control goroutine.
type lead struct {
	opts Options
	term ownership.Term
	ctx  context.Context
	log  log.Interface

	core     *scheduler.Core
	events   chan any
	calls    chan func(*scheduler.Core)
	sessions map[string]*session.Session
	losses   *session.LossMonitor
	tokens   *session.Tokens
	lag      *elapsed.Lag
	peers    map[string]session.Peer
	records  map[string]storedRecord
	rows     *ownRows
	roster   map[string]rosterEntry
	// committing is set while a commit is in progress.
	committing bool
	// passAt is when the next scheduling pass may start, pass the timer that wakes the control goroutine for it.
	passAt time.Duration
	pass   *time.Timer
	// commitAt is when the next commit may start; it gathers ends into fewer writes.
	commitAt time.Duration
	// purging is set while rows of final jobs are removed, purgeAt is when more may be.
	purging  bool
	purgeAt  time.Duration
	started  time.Duration
	machines machineState
}

// storedRecord is a record of a job; it is nil if it cannot be read.
type storedRecord struct {
	record  *scheduler.Record
	version uint64
}

// rosterEntry is an executor that may run tasks for an owner.
type rosterEntry struct {
	Address string `json:"a"`
	Service string `json:"s"`
	// Lost is set while the owner has no contact; Tasks are all that the executor may run then.
	Lost  bool              `json:"l,omitempty"`
	Tasks []workload.TaskID `json:"t,omitempty"`
	// inherited is set if a former owner stored the entry. It has no address if it cannot be read.
	inherited bool
}

// rosterTable holds a row for each executor that may run tasks for an owner.
const rosterTable = "tamarack_executors"

func rosterKey(id string) rowstore.Key { return rowstore.Key{Table: rosterTable, Name: id} }

// controlTable holds what the owner of the machines must not forget.
const controlTable = "tamarack_control"

// Rows of the owner beside the records of jobs.
var (
	progressKey = rowstore.Key{Table: controlTable, Name: "waves"}
	ordersKey   = rowstore.Key{Table: controlTable, Name: "orders"}
)

func newLead(ctx context.Context, opts Options, term ownership.Term) *lead {
	l := &lead{
		opts: opts, term: term, ctx: ctx,
		log:      opts.Log.WithField("epoch", term.Epoch),
		core:     scheduler.New(scheduler.Options{Epoch: term.Epoch, Retention: opts.Retention, StopTimeout: opts.StopTimeout}),
		events:   make(chan any, eventBuffer),
		calls:    make(chan func(*scheduler.Core)),
		sessions: make(map[string]*session.Session), losses: session.NewLossMonitor(), tokens: session.NewTokens(term.Epoch),
		lag:     elapsed.NewLag(ctx),
		peers:   make(map[string]session.Peer),
		records: make(map[string]storedRecord), rows: newOwnRows(), roster: make(map[string]rosterEntry),
		started: opts.Now(),
	}
	l.machines = newMachineState(l.started + settleOrders)
	return l
}

// emit passes an event to the control goroutine.
func (l *lead) emit(e any) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// run is the control goroutine.
func (l *lead) run() error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	l.pass = time.NewTimer(passGap)
	defer l.pass.Stop()
	for {
		l.advance()
		select {
		case <-l.ctx.Done():
			return nil
		case question := <-l.calls:
			question(l.core)
		case e := <-l.events:
			if err := l.handleAll(e); err != nil {
				return err
			}
		case <-l.pass.C:
		case <-tick.C:
			now := l.opts.Now()
			l.core.Tick(now, l.opts.WallMS())
			l.tidyExecutors()
			l.planMachines(now)
			l.askPermits(now)
			l.purge(now)
			l.opts.Metrics.observeCore(now, l.core, len(l.events), l.lag.Value())
		}
	}
}

// handleAll handles an event and those that already wait, so that one scheduling pass sees them all.
func (l *lead) handleAll(e any) error {
	for n := 0; ; n++ {
		if err := l.handle(e); err != nil {
			return err
		}
		if n >= maxDrain {
			return nil
		}
		select {
		case e = <-l.events:
		default:
			return nil
		}
	}
}

func (l *lead) handle(e any) error {
	now := l.opts.Now()
	switch e := e.(type) {
	case feed.Batch:
		l.applyBatch(e, false)
	case session.Reported:
		l.opts.Metrics.reported(e.Report)
		l.core.Report(now, e.Executor, e.Report, e.SentAt, e.LastEnd)
		l.noteContact(e.Executor)
		if e.Restarted {
			l.log.WithFields(log.Fields{"executor": e.Executor, "born": e.Report.BornUnixMS}).Warn("executor restarted")
		}
		if s := l.sessions[e.Executor]; s != nil {
			s.SetWait(l.core.PollWait(e.Executor))
		}
	case session.ContactLost:
		l.log.WithFields(log.Fields{"executor": e.Executor, "reason": e.Reason}).Warn("contact with executor lost")
		l.core.LoseContact(now, e.Executor)
		l.noteLoss(now, e.Executor)
	case session.Lapsed:
		l.core.Lapse(now, e.Executor)
	case inheritedLapse:
		l.settleLapsed(now, e.executor)
	case session.Started:
		outcome := startOutcome(e.Result)
		l.opts.Metrics.started(string(e.Result), e.Took)
		l.core.Started(now, e.Executor, e.Task, e.Run, outcome, string(e.Result))
	case session.Stopped:
		l.core.Stopped(now, e.Executor, e.Task, e.Run)
	case session.Superseded:
		return errors.Wrapf(ErrDeposed, "executor %s obeys a newer owner", e.Executor)
	case committed:
		return l.afterCommit(e)
	case purged:
		l.afterPurge(e)
	case permitAnswer:
		l.core.PutPermits(now, e.step, e.permits, e.valid)
	case machineEvent:
		l.handleMachine(now, e)
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

// advance schedules, carries the commands out and starts a commit if there is something to store.
func (l *lead) advance() {
	now := l.opts.Now()
	l.schedule(now)
	for _, command := range l.core.Commands() {
		l.carryOut(now, command)
	}
	for _, d := range l.core.Decisions() {
		l.log.WithFields(log.Fields(d.Inputs)).WithField("subject", d.Subject).Info(d.Message)
	}
	l.startCommit(now)
}

// schedule places tasks, or sets the timer for the pass that will.
func (l *lead) schedule(now time.Duration) {
	switch {
	case !l.core.Changed() || !l.opts.MayContinue():
	case now < l.passAt:
		l.pass.Reset(l.passAt - now)
	default:
		l.core.Schedule(now, l.opts.ValidUntil())
		l.opts.Metrics.passes.Inc()
		l.passAt = now + passGap
	}
}

func (l *lead) carryOut(now time.Duration, command scheduler.Command) {
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

type permitAnswer struct {
	step    workload.StepID
	permits map[string]string
	valid   time.Duration
}

// askPermits asks the advice service, which answers one call of this host at a time.
func (l *lead) askPermits(now time.Duration) {
	if l.opts.Advice == nil {
		return
	}
	for _, w := range l.core.PermitWants(now) {
		go func() {
			ctx, cancel := context.WithTimeout(l.ctx, permitTimeout)
			defer cancel()
			permits, valid, ok, err := l.opts.Advice.Permits(ctx, w.Step, w.Executors)
			if err != nil || !ok {
				l.log.WithFields(log.Fields{"step": w.Step, "queue_full": err == nil}).Warn("no answer about permits")
				elapsed.Sleep(l.ctx, permitRetry)
			}
			l.emit(permitAnswer{w.Step, permits, valid})
		}()
	}
}

const (
	// permitTimeout covers a full queue of 32 calls at the advice service.
	permitTimeout = 5 * time.Second
	// permitRetry spaces calls after a failure.
	permitRetry = 200 * time.Millisecond
)

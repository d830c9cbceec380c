// Package session manages the connection of the owner, the one process that
// schedules work, to one executor.
//
// A session calls Client.Hold in a loop. A hold is a long poll: it extends the
// lease under which all tasks on the executor run, acknowledges ended runs that
// are durably stored, and returns a report of the running and ended ones. A
// lease is a deadline on the executor's own clock; the executor kills its tasks
// when the lease expires. Start and stop orders are retried until their outcome
// is certain.
//
// Each start of an executor under the same ID is a new incarnation, identified
// by its start time. It has its own clock, numbers its ended runs anew and
// does not know the runs of earlier incarnations.
package session

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Errors of calls to an executor.
var (
	// ErrNotSent means that the order certainly did not reach the executor.
	ErrNotSent = errors.New("session: order not sent")
	// ErrRefused means that the address of the executor refuses connections. It comes with one of the errors around it.
	ErrRefused = errors.New("session: connection refused")
	// ErrNoResponse means that the order may have been carried out, or may be carried out later.
	ErrNoResponse = errors.New("session: no answer")
)

const (
	// DefaultLease is longer than a takeover, which takes 2 to 3 s.
	DefaultLease = 5 * time.Second
	// firstOrderTimeout bounds the first attempt of an order; an executor normally responds within a few milliseconds. The
	// time-out doubles with each attempt, up to maxOrderTimeout, in case this host or the executor is slow.
	firstOrderTimeout = 100 * time.Millisecond
	maxOrderTimeout   = 400 * time.Millisecond
	// orderRetryPause is the pause between attempts of an order.
	orderRetryPause = 40 * time.Millisecond
	// holdTimeout is the time for the response to a hold, in addition to the wait that the hold asks for.
	holdTimeout = 500 * time.Millisecond
	// lagFactor is how many times a response may wait for the processor on this host; each time-out grows by as many lags.
	lagFactor = 4
	// holdRetryPause is the pause after a failed hold.
	holdRetryPause = 250 * time.Millisecond
	// maxAckWait bounds the wait for ended runs to be stored durably before the next hold.
	maxAckWait = 300 * time.Millisecond
	// minHoldPause is the shortest pause between two holds, so that one report carries several ended runs.
	minHoldPause = 12 * time.Millisecond
	// maxClockSlowness is the largest fraction by which an executor's clock may run slow.
	maxClockSlowness = 0.02
	// expiryMargin covers the resolution of the clocks and the time that an executor takes to kill a task.
	expiryMargin = 150 * time.Millisecond
)

// Options configure a Session.
type Options struct {
	Client Client
	// Tokens supplies the owner's fencing tokens; all sessions of an owner share it.
	Tokens *Tokens
	// Lease is how long each hold or start extends the leases on the executor.
	Lease time.Duration
	// MaxLease is the longest lease that an executor grants.
	MaxLease time.Duration
	// InheritedLease is how long leases granted by an earlier owner may still last.
	InheritedLease time.Duration
	// Now returns elapsed time on a clock that also advances while the host is suspended.
	Now func() time.Duration
	// Owns reports whether this process is confirmed as the owner of the jobs, and with them of the executors.
	Owns func() bool
	// MayContinue reports whether this process may continue to use executors that it is in contact with, although another
	// process may own them by now.
	MayContinue func() bool
	// Losses records lost responses; all sessions of an owner share it.
	Losses *LossMonitor
	// LateHolds limits the holds whose response is awaited beyond its time-out; all sessions of an owner share it.
	LateHolds *LateHolds
	// Lag returns how long goroutines of this process wait for their turn for lack of processor time; time-outs grow with it.
	Lag func() time.Duration
	// Emit passes an event to the owner's control goroutine.
	Emit func(Event)
}

// Session is the connection to one executor. Its methods do not block.
type Session struct {
	opts     Options
	endpoint Endpoint
	ctx      context.Context
	stop     context.CancelFunc
	wake     chan struct{}
	done     chan struct{}
	// lateResponses carries responses to holds that came after their time-out to the goroutine that sends the holds.
	// awaitingLate is set while one is awaited.
	lateResponses chan holdResponse
	awaitingLate  atomic.Bool

	mu sync.Mutex
	// clockMS is what the executor's clock showed in its last report, which arrived at clockAt, in milliseconds. Responses to orders do
	// not set it, because they do not name the incarnation.
	clockMS int64
	clockAt time.Duration
	// reportSentAt is when that report was requested.
	reportSentAt time.Duration
	// unnoticedRestartAt is when a response to an order came from another incarnation than the last report, until a report that is requested
	// later; 0 otherwise.
	unnoticedRestartAt time.Duration
	// unconfirmedAt is when an order with a deadline was last left unanswered, or answered by another incarnation than that of the
	// last report. Such an order may extend the leases of an incarnation that the session does not know.
	unconfirmedAt time.Duration
	// maxDeadlineMS is the latest deadline sent to the current incarnation, on its clock.
	maxDeadlineMS int64
	// inheritedUntil is when leases that maxDeadlineMS does not cover have expired: those that earlier owners granted, and
	// after a restart those that a late hold may still extend.
	inheritedUntil time.Duration
	// incarnation is the start time of the executor in its last report, or in a late response before the first one, as Unix time in
	// milliseconds; 0 before both.
	incarnation int64
	// ackedEnd is the number of the last ended run that was acknowledged, lastEnd that of the last one that was reported, both
	// of the current incarnation.
	ackedEnd int64
	lastEnd  int64
	// moreEnds is set if the last report may not have listed all ended runs.
	moreEnds bool
	holdWait time.Duration
	// inContact is set by a report and cleared by loseContact. Holds extend the leases only while it is set.
	inContact bool
	// unanswered is set while the last hold got no response and contact is not given up yet.
	unanswered bool
	// fence is the fencing token for the current incarnation; each incarnation has its own.
	fence uint64
	// pendingStarts holds the starts whose outcome is not known; the channel is closed when no further attempt is needed.
	// ambiguousStarts holds the starts with an unanswered attempt, which may still be carried out, and when it failed.
	pendingStarts   map[runKey]chan struct{}
	ambiguousStarts map[runKey]time.Duration
	// startAttempts holds when each attempt in flight to start a run was sent; startSentAt is when the last completed one that may
	// have arrived was sent.
	startAttempts map[*StartOrder]time.Duration
	startSentAt   time.Duration
}

// New starts a session, which ends with ctx or Close.
func New(ctx context.Context, endpoint Endpoint, opts Options) *Session {
	ctx, stop := context.WithCancel(ctx)
	s := &Session{
		opts: opts, endpoint: endpoint, ctx: ctx, stop: stop,
		wake: make(chan struct{}, 1), done: make(chan struct{}), lateResponses: make(chan holdResponse), holdWait: time.Second,
		fence: opts.Tokens.next(), pendingStarts: make(map[runKey]chan struct{}), ambiguousStarts: make(map[runKey]time.Duration),
		startAttempts: make(map[*StartOrder]time.Duration),
	}
	s.inheritedUntil = opts.Now() + MaxLeaseDuration(opts.InheritedLease)
	go s.run()
	return s
}

// Close ends the session without notifying the executor.
func (s *Session) Close() { s.stop() }

// SetWait sets how long the executor may wait for a run to end before it responds to a hold.
func (s *Session) SetWait(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdWait = d
}

// Acknowledge tells the session that all ended runs of an incarnation up to a number are stored durably. A call for another
// incarnation than the current one is ignored, because each incarnation numbers its ended runs anew.
func (s *Session) Acknowledge(incarnation, number int64) {
	s.mu.Lock()
	if incarnation == s.incarnation {
		s.ackedEnd = max(s.ackedEnd, number)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// MaxLeaseDuration returns how long tasks with a lease of d on an executor's clock may run at most, on this host's clock.
func MaxLeaseDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d)/(1-maxClockSlowness)) + expiryMargin
}

// authorised reports whether the session may extend leases and start tasks. Without confirmed ownership it may only do so on
// the incarnation that it is in contact with: a new owner has either fenced that one or waits until its leases have expired.
func (s *Session) authorised() bool {
	if s.opts.Owns() {
		return true
	}
	s.mu.Lock()
	inContact := s.inContact
	s.mu.Unlock()
	return inContact && s.opts.MayContinue()
}

// lagAdjusted returns the time-out for a response that takes up to d, extended by the lag of this process.
func (s *Session) lagAdjusted(d time.Duration) time.Duration { return d + lagFactor*s.opts.Lag() }

// leasesExpireAt returns when all leases on the executor have certainly expired.
func (s *Session) leasesExpireAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.knownLeasesExpireAt()
	if s.unnoticedRestartAt != 0 {
		at = max(at, s.unnoticedLeasesExpireAt())
	}
	return at
}

// knownLeasesExpireAt returns when all leases have certainly expired that incarnations of the executor that the session knows may have
// granted. The caller holds the lock.
func (s *Session) knownLeasesExpireAt() time.Duration {
	if s.maxDeadlineMS == 0 {
		return s.inheritedUntil
	}
	left := time.Duration(s.maxDeadlineMS-s.clockMS) * time.Millisecond
	return max(s.inheritedUntil, s.clockAt+MaxLeaseDuration(left))
}

// knownLeasesExpired reports whether they have expired.
func (s *Session) knownLeasesExpired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.Now() >= s.knownLeasesExpireAt()
}

// unnoticedLeasesExpireAt returns when all leases have certainly expired that an incarnation of the executor that the session does not
// know may have granted. A deadline on the clock of the former incarnation is no limit there. The caller holds the lock.
func (s *Session) unnoticedLeasesExpireAt() time.Duration {
	return s.unconfirmedAt + maxOrderDelay + MaxLeaseDuration(s.opts.MaxLease)
}

// LeasesExpired reports whether all leases on the executor have certainly expired. Without confirmed ownership this is
// unknown: a new owner may have extended them, and may have seen the runs end.
func (s *Session) LeasesExpired() bool { return s.opts.Owns() && s.opts.Now() >= s.leasesExpireAt() }

// nextDeadline returns the deadline to send, in milliseconds on the executor's clock, or 0 while that clock is unknown.
func (s *Session) nextDeadline() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clockAt == 0 {
		return 0
	}
	elapsed := s.opts.Now() - s.clockAt
	d := s.clockMS + (elapsed + s.opts.Lease).Milliseconds()
	s.maxDeadlineMS = max(s.maxDeadlineMS, d)
	return d
}

// clockRange is the range in which the executor's clock lies when it carries out an order, if it is the incarnation of the last report.
// Responses to orders do not name the incarnation.
type clockRange struct {
	incarnation int64
	minMS       int64
	// sentAt is when the clock can have shown minMS at the earliest.
	sentAt time.Duration
}

// clockRange returns the range for an order that is sent now.
func (s *Session) clockRange() clockRange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clockRange{s.incarnation, s.clockMS, s.reportSentAt}
}

// checkIncarnation records whether a response came from another incarnation than the one of the last report before the order.
func (s *Session) checkIncarnation(r clockRange, resp Response) {
	now := s.opts.Now()
	maxMS := r.minMS + (now - r.sentAt + expiryMargin).Milliseconds()
	named := resp.BornUnixMS != 0
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case resp.ClockMS == 0 || r.incarnation == 0 || r.incarnation != s.incarnation:
		return
	case resp.Result == OtherIncarnation:
		// Another executor has the address.
		return
	case named && resp.BornUnixMS == r.incarnation:
		return
	case !named && resp.ClockMS >= r.minMS && resp.ClockMS <= maxMS:
		return
	}
	s.unnoticedRestartAt, s.unconfirmedAt = now, now
}

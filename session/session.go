// Package session keeps contact with one executor: it extends the leases of
// what runs there, collects ends until they are durable, and carries orders
// out until their outcome is certain.
package session

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Errors of calls to an executor.
var (
	// ErrNotSent means that the order certainly did not reach the executor.
	ErrNotSent = errors.New("session: order not sent")
	// ErrNoAnswer means that the order may have been carried out, or may be carried out later.
	ErrNoAnswer = errors.New("session: no answer")
)

const (
	// DefaultLease outlives a takeover, which takes 2 to 3 s, and stays below the executors' own bound of 6 s.
	DefaultLease = 5 * time.Second
	// maxLease is the longest lease that an executor grants.
	maxLease = 6 * time.Second
	// firstTimeout bounds the first attempt of an order; an executor answers within some milliseconds. Each further attempt
	// has twice the time, up to orderTimeout, in case this host or the executor is slow.
	firstTimeout = 100 * time.Millisecond
	orderTimeout = 400 * time.Millisecond
	// orderRetry is the pause between attempts of an order.
	orderRetry = 40 * time.Millisecond
	// holdTimeout is added to the wait of a hold.
	holdTimeout = 500 * time.Millisecond
	// lagTurns is how many times an answer may wait for the processor on this host.
	lagTurns = 4
	// holdRetry is the pause after a failed hold.
	holdRetry = 250 * time.Millisecond
	// ackWait bounds the wait for ends to become durable before the next hold.
	ackWait = 300 * time.Millisecond
	// gatherTime is the shortest pause between two holds, so that ends arrive in groups.
	gatherTime = 12 * time.Millisecond
	// clockSlowdown is the most by which an executor's clock may be slow.
	clockSlowdown = 0.02
	// lapseMargin covers the granularity of clocks and the time that an executor takes to kill a task.
	lapseMargin = 150 * time.Millisecond
)

// Options configure a Session.
type Options struct {
	Client Client
	// Tokens are the fencing tokens of the owner that the session acts for; all its sessions share them.
	Tokens *Tokens
	Lease  time.Duration
	// Inherited is how long leases that an earlier owner gave may still last.
	Inherited time.Duration
	// Now is elapsed time on a clock that counts suspension.
	Now func() time.Duration
	// Owns reports whether this process owns the executors for sure.
	Owns func() bool
	// MayContinue reports whether it may go on where it is in contact, although another process may own them by now.
	MayContinue func() bool
	// Losses is shared by the sessions of an owner.
	Losses *LossMonitor
	// Lag is how late this process runs; time-outs grow with it.
	Lag func() time.Duration
	// Emit passes an event to the owner's control goroutine.
	Emit func(Event)
}

// Session is the contact with one executor. Its methods do not block.
type Session struct {
	opts Options
	peer Peer
	ctx  context.Context
	stop context.CancelFunc
	wake chan struct{}
	done chan struct{}

	mu sync.Mutex
	// clockMS was the executor's clock at clockAt.
	clockMS int64
	clockAt time.Duration
	// maxDeadlineMS is the latest deadline that was ever sent.
	maxDeadlineMS int64
	// inherited is when leases given by earlier owners have lapsed.
	inherited time.Duration
	born      int64
	ack       int64
	seen      int64
	wait      time.Duration
	contact   bool
	// missed is set after a hold without an answer, until the next one.
	missed bool
	// fence is the fencing token for the current incarnation; each one has its own.
	fence uint64
	// expected holds the starts whose outcome is not known, ambiguous those of which an attempt was not answered.
	expected  map[runKey]chan struct{}
	ambiguous map[runKey]time.Duration
}

// New starts a session.
func New(ctx context.Context, peer Peer, opts Options) *Session {
	ctx, stop := context.WithCancel(ctx)
	s := &Session{
		opts: opts, peer: peer, ctx: ctx, stop: stop,
		wake: make(chan struct{}, 1), done: make(chan struct{}), wait: time.Second,
		fence: opts.Tokens.next(), expected: make(map[runKey]chan struct{}), ambiguous: make(map[runKey]time.Duration),
	}
	s.inherited = opts.Now() + stretch(opts.Inherited) + lapseMargin
	go s.run()
	return s
}

// Close ends the session without a word to the executor.
func (s *Session) Close() { s.stop() }

// SetWait sets how long the executor may wait for an end before it reports.
func (s *Session) SetWait(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wait = d
}

// Acknowledge says that all ends up to number of an incarnation are durable. Numbers of another incarnation than the
// current one are ignored, because each counts its ends anew.
func (s *Session) Acknowledge(born, number int64) {
	s.mu.Lock()
	if born == s.born {
		s.ack = max(s.ack, number)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// stretch returns how long a duration on an executor's clock takes at most.
func stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - clockSlowdown))
}

// mayGoOn reports whether the session may extend leases and start tasks. Without a confirmed ownership it may only go on
// with the incarnation that it is in contact with: a new owner has fenced that one, or waits until its leases have lapsed.
func (s *Session) mayGoOn() bool {
	if s.opts.Owns() {
		return true
	}
	s.mu.Lock()
	contact := s.contact
	s.mu.Unlock()
	return contact && s.opts.MayContinue()
}

// patience returns how long to wait for an answer that takes up to a time, on a host that is late itself.
func (s *Session) patience(d time.Duration) time.Duration { return d + lagTurns*s.opts.Lag() }

// lapseAt returns when all leases have lapsed for sure.
func (s *Session) lapseAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxDeadlineMS == 0 {
		return s.inherited
	}
	left := time.Duration(s.maxDeadlineMS-s.clockMS) * time.Millisecond
	return max(s.inherited, s.clockAt+stretch(left)+lapseMargin)
}

// lapsed reports whether all leases have lapsed for sure. Without a confirmed ownership that is not known: a new owner may
// have extended them, and may have seen the runs end.
func (s *Session) lapsed() bool { return s.opts.Owns() && s.opts.Now() >= s.lapseAt() }

// nextDeadline returns the deadline to send, or 0 while the executor's clock is unknown.
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

// heard notes an answer of the executor.
func (s *Session) heard(clockMS, born int64) {
	if clockMS == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if born != 0 && s.born != 0 && born != s.born {
		// The hold loop notices the restart; this clock belongs to another incarnation.
		return
	}
	s.clockMS, s.clockAt = clockMS, s.opts.Now()
}

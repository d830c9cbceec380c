package session

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/workload"
)

// Start orders the start of a run and emits Started when the outcome is certain.
func (s *Session) Start(o StartOrder) {
	go func() {
		began := s.opts.Now()
		e := Started{Executor: s.endpoint.ID, Task: o.Task, Run: o.Run}
		e.Result = s.start(o, &e)
		if s.ctx.Err() != nil {
			return
		}
		e.At = s.opts.Now()
		e.Took = e.At - began
		s.opts.Emit(e)
	}()
}

// start sends the order until the executor responds or can no longer carry it out, and counts the attempts in e. Retrying is safe
// because an executor starts a run only once.
func (s *Session) start(o StartOrder, e *Started) Result {
	if !s.authorised() {
		return NotSent
	}
	// In this order, because the deadline must not be on the clock of an earlier incarnation than the token is for.
	o.Fence = s.fencingToken()
	o.DeadlineMS = s.nextDeadline()
	if o.DeadlineMS == 0 {
		return NotSent
	}
	key := runKey{o.Task, o.Run}
	resolved := s.addPendingStart(key)
	defer s.removePendingStart(key)
	ambiguous := false
	for tries := 1; ; tries++ {
		resp, err := Response{}, errNotAttempted
		// Once its deadline has passed, only an incarnation that the session does not know could accept the order.
		if !(ambiguous && s.knownLeasesExpired()) && s.authorised() {
			e.Attempts++
			resp, err = s.attemptStart(tries, &o)
		}
		switch {
		case err == nil && resp.Result == Accepted:
			return Accepted
		case err == nil && s.superseded(resp, o.Fence):
			return Fenced
		case err == nil && resp.Result == OldRun:
			return Unclear
		case err == nil && ambiguous && resp.Result.isFinal():
			// No attempt can start the run any more, but an unanswered one may have started it before the deadline passed, or before
			// this incarnation of the executor got its fencing token.
			return Unclear
		case err == nil && ambiguous && resp.Result != OtherIncarnation:
			// An earlier attempt may still arrive at a time when the executor accepts it, for example when it has room again.
			return s.cancelStart(o, resolved)
		case err == nil && resp.Result == Fenced:
			return OtherIncarnation
		case err == nil:
			return resp.Result
		case errors.Is(err, ErrNotSent) && !ambiguous:
			s.loseContactAfter(err)
			return NotSent
		case !errors.Is(err, ErrNotSent):
			ambiguous = true
			e.Unanswered++
			s.recordAmbiguousStart(key)
			s.handleFailedAttempt(tries, err)
		}
		select {
		case <-resolved:
			// A report has shown the run as running or ended, or it was stopped; another attempt could only start it a second
			// time.
			return Unclear
		default:
		}
		if ambiguous && s.fencingToken() != o.Fence {
			return s.cancelStart(o, resolved)
		}
		if s.ctx.Err() != nil || s.ambiguousStartsOver() {
			return Expired
		}
		elapsed.Sleep(s.ctx, orderRetryPause)
	}
}

// CloseUnlessStartedSince ends the session, unless an attempt to start a run that was sent at a time or later may have arrived. It reports
// whether the session has ended; no attempt is sent then.
func (s *Session) CloseUnlessStartedSince(at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sent := range s.startAttempts {
		if sent >= at {
			return false
		}
	}
	if s.startSentAt >= at {
		return false
	}
	s.stop()
	return true
}

// attemptStart makes an attempt to start a run, unless the session has ended.
func (s *Session) attemptStart(tries int, o *StartOrder) (Response, error) {
	s.mu.Lock()
	if s.ctx.Err() != nil {
		s.mu.Unlock()
		return Response{}, errNotAttempted
	}
	sent := s.opts.Now()
	s.startAttempts[o] = sent
	s.mu.Unlock()
	resp, err := s.attempt(tries, func(ctx context.Context) (Response, error) { return s.opts.Client.Start(ctx, s.endpoint, *o) })
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.startAttempts, o)
	if !errors.Is(err, ErrNotSent) {
		s.startSentAt = max(s.startSentAt, sent)
	}
	return resp, err
}

// errNotAttempted means that an attempt was not made, because another process may own the executors by now, the order has expired, or the
// session has ended.
var errNotAttempted = errors.Wrap(ErrNotSent, "ownership is not confirmed, the order has expired, or the session has ended")

// isFinal reports whether the executor refuses all attempts of the same order that arrive after this result.
func (r Result) isFinal() bool { return r == TooLate || r == Fenced }

// cancelStart ensures that a start with an unanswered attempt is not carried out later. It is called when the executor has
// refused another attempt, or has become another incarnation, to whose clock the deadline of the order does not apply. It
// stops the run, or waits until the order can no longer be carried out and the run, if it was, has ended with its lease. A run that a
// report shows is left alone; resolved is closed then.
func (s *Session) cancelStart(o StartOrder, resolved <-chan struct{}) Result {
	for s.ctx.Err() == nil && !s.ambiguousStartsOver() {
		select {
		case <-resolved:
			return Unclear
		default:
		}
		if s.opts.Owns() {
			fence := s.fencingToken()
			resp, err := s.attempt(contactLossTries, func(ctx context.Context) (Response, error) {
				return s.opts.Client.Stop(ctx, s.endpoint, o.Task, o.Run, fence)
			})
			if err == nil && s.settlesStop(resp, fence) {
				return Unclear
			}
		}
		elapsed.Sleep(s.ctx, orderRetryPause)
	}
	return Expired
}

// ambiguousStartsOver reports whether no run goes on or begins any more, on any incarnation, whose start has an unanswered attempt.
func (s *Session) ambiguousStartsOver() bool {
	s.mu.Lock()
	over := s.opts.Now() >= s.unnoticedLeasesExpireAt()
	s.mu.Unlock()
	return over && s.LeasesExpired()
}

// fencingToken returns the fencing token for the current incarnation of the executor.
func (s *Session) fencingToken() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence
}

// settlesStop reports whether a response means that a stop need not be sent again. An unhealthy executor does nothing and may
// still carry out a start that it has not answered.
func (s *Session) settlesStop(resp Response, fence uint64) bool {
	return resp.Result != Unhealthy && (resp.Result != Fenced || s.superseded(resp, fence))
}

// superseded reports whether an order was rejected because another owner has taken over the executor, and emits Superseded
// then. An order of a closed session, or with the token for an earlier incarnation, may be rejected without another owner.
func (s *Session) superseded(resp Response, fence uint64) bool {
	if resp.Result != Fenced || fence != s.fencingToken() || s.ctx.Err() != nil {
		return false
	}
	s.opts.Emit(Superseded{Executor: s.endpoint.ID})
	return true
}

// Stop orders a run to stop and emits Stopped when the outcome is certain.
func (s *Session) Stop(task workload.TaskID, run int) {
	s.mu.Lock()
	s.resolveStart(runKey{task, run})
	s.mu.Unlock()
	go func() {
		result := s.sendUntilResponse(func(ctx context.Context, fence uint64) (Response, error) {
			return s.opts.Client.Stop(ctx, s.endpoint, task, run, fence)
		})
		if s.ctx.Err() != nil {
			return
		}
		s.opts.Emit(Stopped{Executor: s.endpoint.ID, Task: task, Run: run, Result: result, At: s.opts.Now()})
	}()
}

// Pace sets the speed of a task to a percentage of its full speed. The order is sent only once, because the next report shows
// whether another change is needed.
func (s *Session) Pace(task workload.TaskID, run, percent int) {
	go func() {
		if !s.opts.Owns() {
			return
		}
		_, err := s.attempt(contactLossTries, func(ctx context.Context) (Response, error) {
			return s.opts.Client.Pace(ctx, s.endpoint, task, run, percent, s.fencingToken())
		})
		if err != nil {
			s.loseContactAfter(err)
		}
	}()
}

// sendUntilResponse sends an order until the executor responds or all leases on the executor have expired.
func (s *Session) sendUntilResponse(call func(_ context.Context, fence uint64) (Response, error)) Result {
	for tries := 1; ; tries++ {
		if s.opts.Owns() {
			fence := s.fencingToken()
			resp, err := s.attempt(tries, func(ctx context.Context) (Response, error) { return call(ctx, fence) })
			if err == nil && s.settlesStop(resp, fence) {
				return resp.Result
			}
			if err != nil {
				s.handleFailedAttempt(tries, err)
			}
		}
		if s.ctx.Err() != nil || s.LeasesExpired() {
			return Expired
		}
		elapsed.Sleep(s.ctx, orderRetryPause)
	}
}

// contactLossTries is the number of unanswered attempts of an order after which contact counts as lost.
const contactLossTries = 3

// handleFailedAttempt ends the contact after contactLossTries failed attempts; the response to a single one may get lost.
func (s *Session) handleFailedAttempt(tries int, err error) {
	if tries >= contactLossTries {
		s.loseContactAfter(err)
	}
}

// attempt sends an order once, with the time-out for the attempt number tries, which starts at 1. Orders whose attempts are
// not counted use contactLossTries, which gives maxOrderTimeout.
func (s *Session) attempt(tries int, call func(context.Context) (Response, error)) (Response, error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.lagAdjusted(min(firstOrderTimeout<<min(tries-1, 4), maxOrderTimeout)))
	defer cancel()
	clock := s.clockRange()
	resp, err := call(ctx)
	if err == nil {
		s.checkIncarnation(clock, resp)
	}
	return resp, err
}

// runKey identifies one run of a task.
type runKey struct {
	task workload.TaskID
	run  int
}

// maxOrderDelay is how long after an unanswered attempt the executor may still carry out the order.
const maxOrderDelay = 13 * time.Second

// addPendingStart returns a channel that is closed when a report shows the run as running or ended, or when it is stopped.
func (s *Session) addPendingStart(key runKey) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	resolved := make(chan struct{})
	s.pendingStarts[key] = resolved
	return resolved
}

func (s *Session) removePendingStart(key runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingStarts, key)
}

// recordAmbiguousStart records that a start may still be carried out, possibly by a later incarnation.
func (s *Session) recordAmbiguousStart(key runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ambiguousStarts[key] = s.opts.Now()
	s.unconfirmedAt = s.opts.Now()
}

// resolveStart ends the attempts to start a run; the caller holds the lock.
func (s *Session) resolveStart(key runKey) {
	if resolved, ok := s.pendingStarts[key]; ok {
		close(resolved)
		delete(s.pendingStarts, key)
	}
}

// possiblyLateRuns returns the runs that are no longer pending but whose start may still be carried out, and forgets those
// whose start no longer can. The caller holds the lock.
func (s *Session) possiblyLateRuns() []runKey {
	var late []runKey
	for key, at := range s.ambiguousStarts {
		if s.opts.Now()-at > maxOrderDelay {
			delete(s.ambiguousStarts, key)
		} else if _, pending := s.pendingStarts[key]; !pending {
			late = append(late, key)
		}
	}
	return late
}

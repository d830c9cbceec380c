package session

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/workload"
)

// Start orders a run and emits Started when the outcome is certain.
func (s *Session) Start(o StartOrder) {
	go func() {
		began := s.opts.Now()
		result := s.start(o)
		if s.ctx.Err() != nil {
			return
		}
		now := s.opts.Now()
		s.opts.Emit(Started{Executor: s.peer.ID, Task: o.Task, Run: o.Run, Result: result, At: now, Took: now - began})
	}()
}

// start repeats the same order until the executor answers or cannot carry it out any more. The same run is
// started once, however often it is ordered.
func (s *Session) start(o StartOrder) Result {
	if !s.mayGoOn() {
		return NotSent
	}
	o.DeadlineMS = s.nextDeadline()
	if o.DeadlineMS == 0 {
		return NotSent
	}
	o.Fence = s.token()
	key := runKey{o.Task, o.Run}
	resolved := s.expectRun(key)
	defer s.forgetRun(key)
	ambiguous := false
	for tries := 1; ; tries++ {
		answer, err := Answer{}, errNotOwner
		if s.mayGoOn() {
			answer, err = s.attempt(tries, func(ctx context.Context) (Answer, error) { return s.opts.Client.Start(ctx, s.peer, o) })
		}
		switch {
		case err == nil && answer.Result == Accepted:
			return Accepted
		case err == nil && s.superseded(answer, o.Fence):
			return Fenced
		case err == nil && answer.Result == Fenced:
			return OtherIncarnation
		case err == nil && answer.Result == OldRun:
			return Unclear
		case err == nil && ambiguous && !answer.Result.final():
			// An earlier attempt may still arrive when the executor has room again.
			return s.retract(o)
		case err == nil:
			return answer.Result
		case errors.Is(err, ErrNotSent) && !ambiguous:
			s.lost(err.Error())
			return NotSent
		case !errors.Is(err, ErrNotSent):
			ambiguous = true
			s.noteAmbiguous(key)
			s.suspect(tries, err)
		}
		select {
		case <-resolved:
			// A report has shown the run or its end, or it was stopped; another attempt could only start it anew.
			return Unclear
		default:
		}
		if ambiguous && s.token() != o.Fence {
			return s.retract(o)
		}
		if s.ctx.Err() != nil || s.lapsed() {
			return Expired
		}
		elapsed.Sleep(s.ctx, orderRetry)
	}
}

// errNotOwner means that an attempt was left out, because another host may own the executors by now.
var errNotOwner = errors.Wrap(ErrNotSent, "ownership is not confirmed")

// final reports whether every other attempt of the same order gets the same refusal, whenever it arrives.
func (r Result) final() bool {
	return r == TooLate || r == OtherIncarnation || r == Fenced
}

// retract makes sure that a start of which an attempt was not answered is not carried out any more, after the executor
// refused another attempt or became another incarnation, whose clock the deadline of the order does not fit: it stops the
// run, or waits until the order cannot be carried out any more.
func (s *Session) retract(o StartOrder) Result {
	limit := s.opts.Now() + lateOrders
	for s.ctx.Err() == nil && s.opts.Now() < limit {
		if s.opts.Owns() {
			fence := s.token()
			answer, err := s.attempt(lostTries, func(ctx context.Context) (Answer, error) {
				return s.opts.Client.Stop(ctx, s.peer, o.Task, o.Run, fence)
			})
			if err == nil && (answer.Result != Fenced || s.superseded(answer, fence)) {
				return Unclear
			}
		}
		elapsed.Sleep(s.ctx, orderRetry)
	}
	return Expired
}

// token returns the fencing token for the current incarnation of the executor.
func (s *Session) token() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence
}

// superseded reports whether an order was rejected because another owner has taken the executor over. An order with the
// token of a former incarnation, or of a session that is closed, is rejected without another owner.
func (s *Session) superseded(answer Answer, fence uint64) bool {
	if answer.Result != Fenced || fence != s.token() || s.ctx.Err() != nil {
		return false
	}
	s.opts.Emit(Superseded{Executor: s.peer.ID})
	return true
}

// Stop orders the end of a run and emits Stopped when the outcome is certain.
func (s *Session) Stop(task workload.TaskID, run int) {
	s.mu.Lock()
	s.resolveRun(runKey{task, run})
	s.mu.Unlock()
	go func() {
		result := s.repeat(func(ctx context.Context, fence uint64) (Answer, error) {
			return s.opts.Client.Stop(ctx, s.peer, task, run, fence)
		})
		if s.ctx.Err() != nil {
			return
		}
		s.opts.Emit(Stopped{Executor: s.peer.ID, Task: task, Run: run, Result: result, At: s.opts.Now()})
	}()
}

// Pace sets the speed of a task once; the next report shows whether it needs another change.
func (s *Session) Pace(task workload.TaskID, run, percent int) {
	go func() {
		if !s.opts.Owns() {
			return
		}
		_, err := s.attempt(lostTries, func(ctx context.Context) (Answer, error) {
			return s.opts.Client.Pace(ctx, s.peer, task, run, percent, s.token())
		})
		if err != nil {
			s.lost(err.Error())
		}
	}()
}

// repeat sends an order until it is answered or all leases have lapsed.
func (s *Session) repeat(call func(_ context.Context, fence uint64) (Answer, error)) Result {
	for tries := 1; ; tries++ {
		if s.opts.Owns() {
			fence := s.token()
			answer, err := s.attempt(tries, func(ctx context.Context) (Answer, error) { return call(ctx, fence) })
			if err == nil && (answer.Result != Fenced || s.superseded(answer, fence)) {
				return answer.Result
			}
			if err != nil {
				s.suspect(tries, err)
			}
		}
		if s.ctx.Err() != nil || s.lapsed() {
			return Expired
		}
		elapsed.Sleep(s.ctx, orderRetry)
	}
}

// lostTries is the number of attempts without an answer after which the contact counts as lost.
const lostTries = 3

// suspect gives the contact up after several attempts without an answer; the answer to a single one may be lost.
func (s *Session) suspect(tries int, err error) {
	if tries >= lostTries {
		s.lost(err.Error())
	}
}

func (s *Session) attempt(tries int, call func(context.Context) (Answer, error)) (Answer, error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.patience(min(firstTimeout<<min(tries-1, 4), orderTimeout)))
	defer cancel()
	answer, err := call(ctx)
	if err == nil {
		s.heard(answer.ClockMS, answer.BornUnixMS)
	}
	return answer, err
}

// Lapse returns when all leases on the executor have lapsed if nothing extends them.
func (s *Session) Lapse() time.Duration { return s.lapseAt() }

// runKey names one run of a task.
type runKey struct {
	task workload.TaskID
	run  int
}

// lateOrders is how long an order without an answer may still be carried out.
const lateOrders = 13 * time.Second

// expectRun returns a channel that is closed when a report shows the run or its end.
func (s *Session) expectRun(key runKey) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	resolved := make(chan struct{})
	s.expected[key] = resolved
	return resolved
}

func (s *Session) forgetRun(key runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.expected, key)
}

// noteAmbiguous remembers that a start may still be carried out, perhaps by a later incarnation.
func (s *Session) noteAmbiguous(key runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ambiguous[key] = s.opts.Now()
}

// resolveRun ends the attempts to start a run; the caller holds the lock.
func (s *Session) resolveRun(key runKey) {
	if resolved, ok := s.expected[key]; ok {
		close(resolved)
		delete(s.expected, key)
	}
}

// lateRuns returns the runs whose starts may still be carried out, and forgets those that cannot any more. The caller
// holds the lock.
func (s *Session) lateRuns() []runKey {
	var late []runKey
	for key, at := range s.ambiguous {
		if s.opts.Now()-at > lateOrders {
			delete(s.ambiguous, key)
		} else if _, open := s.expected[key]; !open {
			late = append(late, key)
		}
	}
	return late
}

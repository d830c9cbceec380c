package session

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/workload"
)

// run repeats holds until the session ends.
func (s *Session) run() {
	defer close(s.done)
	for s.ctx.Err() == nil {
		if !s.authorised() {
			// Without reports, the session would not notice that the executor has become another incarnation.
			s.loseContact("ownership is not confirmed", false)
			elapsed.Sleep(s.ctx, holdRetryPause)
			continue
		}
		if s.hold() {
			s.awaitAcks()
			continue
		}
		if s.LeasesExpired() {
			s.opts.Emit(LeasesExpired{Executor: s.endpoint.ID, At: s.opts.Now()})
		}
		s.pauseBeforeRetry()
	}
}

// awaitAcks waits until the ended runs of the last report are acknowledged: at least minHoldPause, at most maxAckWait longer.
func (s *Session) awaitAcks() {
	elapsed.Sleep(s.ctx, minHoldPause)
	timer := time.NewTimer(maxAckWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		acked := s.ackedEnd >= s.lastEnd
		s.mu.Unlock()
		if acked {
			return
		}
		select {
		case <-s.wake:
		case <-timer.C:
			return
		case <-s.ctx.Done():
			return
		}
	}
}

// hold sends one hold. It returns false if the caller is to pause for holdRetryPause before the next one.
func (s *Session) hold() bool {
	lossy := s.opts.Losses.lossy(s.opts.Now())
	s.mu.Lock()
	inContact, wait := s.inContact, s.holdWait
	ackedEnd, fence := s.ackedEnd, s.fence
	if !inContact || s.unanswered || s.unnoticedRestartAt != 0 {
		// Without contact no deadline is sent, so that the leases can expire. Nothing is acknowledged, because the executor may
		// be a new incarnation, which numbers its ended runs anew.
		wait, ackedEnd = 0, 0
	} else if s.ackedEnd < s.lastEnd || s.moreEnds {
		wait = 0
	}
	s.mu.Unlock()
	timeout := holdTimeout
	if lossy {
		wait, timeout = min(wait, lossyHoldWait), lossyHoldTimeout
	}
	order := HoldOrder{Fence: fence, Acknowledged: ackedEnd, Wait: wait}
	if inContact {
		order.DeadlineMS = s.nextDeadline()
	}
	sent := s.opts.Now()
	r := s.sendHold(order, wait+s.lagAdjusted(timeout))
	if s.ctx.Err() != nil {
		return false
	}
	switch {
	case r.err != nil:
		return s.handleUnanswered(r.err, order.DeadlineMS != 0)
	case r.result == Fenced:
		s.opts.Emit(Superseded{Executor: s.endpoint.ID})
		return false
	case r.result != Accepted:
		s.loseContact(string(r.result), false)
		return false
	case s.restarted(r.report) && !s.opts.Owns():
		s.loseContact("executor restarted while ownership is not confirmed", false)
		return false
	}
	s.handleReport(r.report, sent)
	return true
}

// takeNewEnds returns the ended runs that no earlier event carried, and ends the attempts to start them. The caller holds the lock.
func (s *Session) takeNewEnds(ended []workload.EndedTask) []workload.EndedTask {
	newEnds := ended[:0:0]
	for _, e := range ended {
		if e.Number > s.lastEnd {
			s.lastEnd = e.Number
			newEnds = append(newEnds, e)
			s.resolveStart(runKey{e.Task, e.Run})
		}
	}
	return newEnds
}

// handleUnanswered handles a hold without a response and reports whether to send the next one at once. Contact is lost only
// after two unanswered holds in a row, because a single response may get lost. extends is set if the hold had a deadline.
func (s *Session) handleUnanswered(err error, extends bool) bool {
	s.mu.Lock()
	if extends {
		s.unconfirmedAt = s.opts.Now()
	}
	retry := s.inContact && !s.unanswered
	s.unanswered = retry
	s.mu.Unlock()
	if !retry {
		s.loseContactAfter(err)
	}
	return retry
}

// loseContactAfter ends the contact because of a failed call.
func (s *Session) loseContactAfter(err error) { s.loseContact(err.Error(), errors.Is(err, ErrRefused)) }

// loseContact ends the contact and emits ContactLost if there was one. refused means that the executor's process has ended.
func (s *Session) loseContact(reason string, refused bool) {
	s.mu.Lock()
	wasInContact := s.inContact
	s.inContact, s.unanswered = false, false
	s.mu.Unlock()
	if wasInContact {
		s.opts.Emit(ContactLost{Executor: s.endpoint.ID, At: s.opts.Now(), Reason: reason, Refused: refused})
	}
}

// restarted reports whether a report comes from another incarnation than the previous one.
func (s *Session) restarted(r workload.Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation != 0 && r.BornUnixMS != s.incarnation
}

// handleReport updates the session from a report and emits Reported. sent is when the hold was sent.
func (s *Session) handleReport(r workload.Report, sent time.Duration) {
	now := s.opts.Now()
	s.mu.Lock()
	restarted := s.incarnation != 0 && r.BornUnixMS != s.incarnation
	if restarted {
		s.ackedEnd, s.lastEnd, s.maxDeadlineMS = 0, 0, 0
		s.fence = s.opts.Tokens.next()
		// A hold that arrives late, with a deadline on the old incarnation's clock, may extend the leases of the new one up to
		// the longest lease that an executor grants.
		s.inheritedUntil = now + MaxLeaseDuration(s.opts.MaxLease)
	}
	if s.unanswered {
		s.opts.Losses.record(s.endpoint.ID, now)
	}
	s.incarnation, s.inContact, s.unanswered = r.BornUnixMS, true, false
	s.clockMS, s.clockAt, s.reportSentAt = r.ClockMS, now, sent
	if restarted || sent >= s.unnoticedRestartAt {
		s.unnoticedRestartAt = 0
	}
	r.Ended, s.moreEnds = s.takeNewEnds(r.Ended), r.MoreEnds
	lastEnd := s.lastEnd
	known := make(map[runKey]bool, len(r.Running))
	for _, x := range r.Running {
		key := runKey{x.Task, x.Run}
		known[key] = true
		s.resolveStart(key)
	}
	lateRuns := s.possiblyLateRuns()
	s.mu.Unlock()
	if restarted {
		// The new incarnation does not know the runs of the old one, except those that it has started itself, and would carry out a start
		// order that arrives late.
		for _, key := range lateRuns {
			if !known[key] {
				s.Stop(key.task, key.run)
			}
		}
	}
	s.opts.Emit(Reported{
		Executor: s.endpoint.ID, Report: r, SentAt: sent, At: now, Restarted: restarted, LastEnd: lastEnd,
	})
}

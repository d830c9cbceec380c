package session

import (
	"context"
	"time"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/workload"
)

func (s *Session) run() {
	defer close(s.done)
	for s.ctx.Err() == nil {
		if !s.mayGoOn() {
			// Without reports for a while, the executor may be another incarnation by now.
			s.lost("ownership is not confirmed")
			elapsed.Sleep(s.ctx, holdRetry)
			continue
		}
		if s.hold() {
			s.settle()
			continue
		}
		if s.lapsed() {
			s.opts.Emit(Lapsed{Executor: s.peer.ID, At: s.opts.Now()})
		}
		elapsed.Sleep(s.ctx, holdRetry)
	}
}

// settle waits until the ends of the last report are durable, within bounds.
func (s *Session) settle() {
	elapsed.Sleep(s.ctx, gatherTime)
	limit := time.NewTimer(ackWait)
	defer limit.Stop()
	for {
		s.mu.Lock()
		settled := s.ack >= s.seen
		s.mu.Unlock()
		if settled {
			return
		}
		select {
		case <-s.wake:
		case <-limit.C:
			return
		case <-s.ctx.Done():
			return
		}
	}
}

// hold makes one call and reports whether the executor answered.
func (s *Session) hold() bool {
	lossy := s.opts.Losses.lossy(s.opts.Now())
	s.mu.Lock()
	contact, wait := s.contact, s.wait
	ack, fence := s.ack, s.fence
	if !contact || s.missed {
		// Without contact nothing is extended, so that the leases can lapse. Nothing is acknowledged, because a new
		// incarnation counts its ends anew.
		wait, ack = 0, 0
	} else if s.ack < s.seen {
		wait = 0
	}
	s.mu.Unlock()
	timeout := holdTimeout
	if lossy {
		wait, timeout = min(wait, lossyWait), lossyTimeout
	}
	order := HoldOrder{Fence: fence, Acknowledged: ack, Wait: wait}
	if contact {
		order.DeadlineMS = s.nextDeadline()
	}
	sent := s.opts.Now()
	ctx, cancel := context.WithTimeout(s.ctx, wait+s.patience(timeout))
	defer cancel()
	report, result, err := s.opts.Client.Hold(ctx, s.peer, order)
	if s.ctx.Err() != nil {
		return false
	}
	switch {
	case err != nil:
		return s.miss(err)
	case result == Fenced:
		s.opts.Emit(Superseded{Executor: s.peer.ID})
		return false
	case result != Accepted:
		s.lost(string(result))
		return false
	case s.restarted(report) && !s.opts.Owns():
		s.lost("executor restarted while ownership is not confirmed")
		return false
	}
	s.report(report, sent)
	return true
}

// miss notes a hold without an answer and reports whether the next one is to follow at once: a single answer may get
// lost.
func (s *Session) miss(err error) bool {
	s.mu.Lock()
	again := s.contact && !s.missed
	s.missed = again
	s.mu.Unlock()
	if !again {
		s.lost(err.Error())
	}
	return again
}

func (s *Session) lost(reason string) {
	s.mu.Lock()
	had := s.contact
	s.contact, s.missed = false, false
	s.mu.Unlock()
	if had {
		s.opts.Emit(ContactLost{Executor: s.peer.ID, At: s.opts.Now(), Reason: reason})
	}
}

// restarted reports whether another incarnation than the last one has sent a report.
func (s *Session) restarted(r workload.Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born != 0 && r.BornUnixMS != s.born
}

func (s *Session) report(r workload.Report, sent time.Duration) {
	now := s.opts.Now()
	s.mu.Lock()
	restarted := s.born != 0 && r.BornUnixMS != s.born
	if restarted {
		s.ack, s.seen, s.maxDeadlineMS = 0, 0, 0
		s.fence = s.opts.Tokens.next()
		// A late hold with a deadline of the old clock may extend leases of the new incarnation up to its own bound.
		s.inherited = now + stretch(maxLease) + lapseMargin
	}
	if s.missed {
		s.opts.Losses.note(s.peer.ID, now)
	}
	s.born, s.contact, s.missed = r.BornUnixMS, true, false
	s.clockMS, s.clockAt = r.ClockMS, now
	fresh := r.Ended[:0:0]
	for _, e := range r.Ended {
		if e.Number > s.seen {
			s.seen = e.Number
			fresh = append(fresh, e)
		}
	}
	r.Ended = fresh
	last := s.seen
	for _, x := range r.Running {
		s.resolveRun(runKey{x.Task, x.Run})
	}
	for _, x := range fresh {
		s.resolveRun(runKey{x.Task, x.Run})
	}
	late := s.lateRuns()
	s.mu.Unlock()
	if restarted {
		// The new incarnation does not know the runs of the old one and would carry out a late start of them.
		for _, key := range late {
			s.Stop(key.task, key.run)
		}
	}
	s.opts.Emit(Reported{
		Executor: s.peer.ID, Report: r, SentAt: sent, At: now, Restarted: restarted, LastEnd: last,
	})
}

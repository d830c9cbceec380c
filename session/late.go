package session

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/workload"
)

const (
	// maxLateness is how long after its time-out the response to a hold is still awaited.
	maxLateness = 4 * time.Second
	// maxLateHolds bounds the connections of an owner that cannot reach many executors; each hold keeps one open.
	maxLateHolds = 256
)

// LateHolds counts the holds whose response is awaited beyond its time-out.
type LateHolds struct{ n atomic.Int32 }

// acquire reports whether there may be another one, and counts it. The caller releases it.
func (l *LateHolds) acquire() bool {
	if l.n.Add(1) > maxLateHolds {
		l.n.Add(-1)
		return false
	}
	return true
}

func (l *LateHolds) release() { l.n.Add(-1) }

// errNoResponseInTime means that the response to a hold may still come; see sendHold.
var errNoResponseInTime = errors.Wrap(ErrNoResponse, context.DeadlineExceeded.Error())

// States of a hold.
const (
	holdOpen int32 = iota
	holdAnswered
	// holdLate means that the time-out has passed, and that another goroutine repeats the holds.
	holdLate
)

// sendHold sends a hold and waits for its response. At the time-out the hold is cancelled; or, within the limits of late holds, another
// goroutine goes on as after a hold without a response, and this one waits for up to maxLateness more. Then late is set, and the
// ended runs of the response have been handled.
func (s *Session) sendHold(order HoldOrder, timeout time.Duration) (report workload.Report, result Result, err error, late bool) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	var state atomic.Int32
	timer := time.AfterFunc(timeout, func() {
		if !s.beginLateHold() {
			cancel()
			return
		}
		if !state.CompareAndSwap(holdOpen, holdLate) {
			s.endLateHold()
			return
		}
		time.AfterFunc(maxLateness, cancel)
		s.pauseAfterHold(s.handleUnanswered(errNoResponseInTime))
		s.run()
	})
	defer timer.Stop()
	report, result, err = s.opts.Client.Hold(ctx, s.endpoint, order)
	if state.CompareAndSwap(holdOpen, holdAnswered) {
		if err != nil && ctx.Err() != nil {
			err = errNoResponseInTime
		}
		return report, result, err, false
	}
	s.endLateHold()
	if err == nil && result == Accepted && s.ctx.Err() == nil {
		s.handleLateResponse(report)
	}
	return report, result, err, true
}

// beginLateHold reports whether a hold may go on after its time-out. A session has one such hold at a time.
func (s *Session) beginLateHold() bool {
	if s.awaitingLate.Swap(true) {
		return false
	}
	if !s.opts.LateHolds.acquire() {
		s.awaitingLate.Store(false)
		return false
	}
	return true
}

func (s *Session) endLateHold() {
	s.opts.LateHolds.release()
	s.awaitingLate.Store(false)
}

// handleLateResponse takes the ended runs from a response that came after its time-out. They stay ended, unlike the rest of the
// report, which may be out of date.
func (s *Session) handleLateResponse(r workload.Report) {
	s.reports.Lock()
	defer s.reports.Unlock()
	s.mu.Lock()
	if s.incarnation == 0 {
		s.incarnation = r.BornUnixMS
	}
	var ended []workload.EndedTask
	if r.BornUnixMS == s.incarnation {
		ended = s.takeNewEnds(r.Ended)
	}
	incarnation, lastEnd := s.incarnation, s.lastEnd
	s.mu.Unlock()
	if len(ended) > 0 {
		s.opts.Emit(ReportedLate{Executor: s.endpoint.ID, BornUnixMS: incarnation, Ended: ended, LastEnd: lastEnd})
	}
}

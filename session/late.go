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

// holdResponse is the response to a hold.
type holdResponse struct {
	report workload.Report
	result Result
	err    error
}

// errNoResponseInTime means that the response to a hold may still come; see handleLateResponse.
var errNoResponseInTime = errors.Wrap(ErrNoResponse, context.DeadlineExceeded.Error())

// sendHold sends a hold and waits for its response until the time-out. A response that comes later is still awaited, for
// maxLateness, if the budget of such holds allows.
func (s *Session) sendHold(order HoldOrder, timeout time.Duration) holdResponse {
	ctx, cancel := context.WithCancel(s.ctx)
	responses := make(chan holdResponse, 1)
	go func() {
		report, result, err := s.opts.Client.Hold(ctx, s.endpoint, order)
		responses <- holdResponse{report, result, err}
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case r := <-responses:
			cancel()
			return r
		case late := <-s.lateResponses:
			s.handleLateResponse(late)
		case <-timer.C:
			s.awaitLateResponse(responses, cancel)
			return holdResponse{err: errNoResponseInTime}
		}
	}
}

// awaitLateResponse passes a response that comes within maxLateness to lateResponses, and cancels the hold then. A session
// has one such hold at a time.
func (s *Session) awaitLateResponse(responses <-chan holdResponse, cancel context.CancelFunc) {
	if s.awaitingLate.Swap(true) {
		cancel()
		return
	}
	if !s.opts.LateHolds.acquire() {
		s.awaitingLate.Store(false)
		cancel()
		return
	}
	go func() {
		defer s.opts.LateHolds.release()
		defer s.awaitingLate.Store(false)
		defer cancel()
		timer := time.NewTimer(maxLateness)
		defer timer.Stop()
		select {
		case r := <-responses:
			if r.err == nil && r.result == Accepted {
				select {
				case s.lateResponses <- r:
				case <-s.ctx.Done():
				}
			}
		case <-timer.C:
		}
	}()
}

// handleLateResponse takes the ended runs from a response that came after its time-out. They stay ended, unlike the rest of the
// report, which may be out of date.
func (s *Session) handleLateResponse(r holdResponse) {
	s.mu.Lock()
	if s.incarnation == 0 {
		s.incarnation = r.report.BornUnixMS
	}
	var ended []workload.EndedTask
	if r.report.BornUnixMS == s.incarnation {
		ended = s.takeNewEnds(r.report.Ended)
	}
	incarnation, lastEnd := s.incarnation, s.lastEnd
	s.mu.Unlock()
	if len(ended) > 0 {
		s.opts.Emit(ReportedLate{Executor: s.endpoint.ID, BornUnixMS: incarnation, Ended: ended, LastEnd: lastEnd})
	}
}

// pauseBeforeRetry waits for holdRetryPause, and handles a late response meanwhile.
func (s *Session) pauseBeforeRetry() {
	timer := time.NewTimer(holdRetryPause)
	defer timer.Stop()
	for {
		select {
		case late := <-s.lateResponses:
			s.handleLateResponse(late)
		case <-timer.C:
			return
		case <-s.ctx.Done():
			return
		}
	}
}

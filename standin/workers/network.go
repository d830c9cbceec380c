package workers

import (
	"context"
	"fmt"
	"time"

	"github.com/tamarackworks/tamarackworks/session"
)

// SetDelays sets the function that returns how long each order takes to its execution and how long its response takes from there.
// Orders and responses may then overtake each other, an order whose caller has given up is still carried out, a report is as old
// as its response, and orders in flight are lost with the incarnation that they were sent to. After CrashRefusing the address refuses
// connections, and after Replace it rejects orders.
func (f *Fleet) SetDelays(delays func(executor, order string) (request, response time.Duration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delays = delays
}

// SeparateClocks gives each incarnation a clock of its own that starts with it; rate returns how fast it runs. Responses to orders
// then do not name the incarnation. A lease is shortened to maxLease.
func (f *Fleet) SeparateClocks(rate func() float64, maxLease time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clockRate, f.maxLease = rate, maxLease
}

// CrashRefusing crashes an executor whose address refuses connections from then on.
func (f *Fleet) CrashRefusing(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crash(id)
	f.executors[id].refuses = true
}

// Replace records that an ended executor's address now belongs to another one, which rejects orders for the ended one.
func (f *Fleet) Replace(ended, by string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replacedBy[ended] = by
}

// BornUnixMS returns when the last incarnation of an executor started.
func (f *Fleet) BornUnixMS(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executors[id].bornUnixMS
}

func (f *Fleet) nextClockRate() float64 {
	if f.clockRate == nil {
		return 1
	}
	return f.clockRate()
}

// clockOf returns the time of an executor's clock, in milliseconds.
func (f *Fleet) clockOf(e *executor) int64 {
	if f.clockRate == nil {
		return f.clockMS()
	}
	return e.firstClockMS + int64(float64(time.Since(e.startedAt))*e.clockRate/float64(time.Millisecond)) + 1
}

// response returns the response of an executor to an order.
func (f *Fleet) response(e *executor, result session.Result) session.Response {
	r := session.Response{Result: result, ClockMS: f.clockOf(e), BornUnixMS: e.bornUnixMS}
	if f.clockRate != nil {
		r.BornUnixMS = 0
	}
	return r
}

// deliverWithDelays implements deliver for an order without a fault. The response to a hold is delayed after its report is made.
func (f *Fleet) deliverWithDelays(
	ctx context.Context, id, order string, addressed *executor, execute func(*executor) session.Result,
) (session.Response, error) {
	request, back := f.delays(id, order)
	if order == "hold" {
		back = 0
	}
	responses := make(chan session.Response, 1)
	broken := make(chan struct{})
	time.AfterFunc(request, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		switch {
		case addressed.crashed && addressed.refuses:
			close(broken)
			return
		case addressed.crashed || addressed.unreachable:
			return
		}
		r := f.response(addressed, execute(addressed))
		time.AfterFunc(back, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !addressed.unreachable {
				responses <- r
			}
		})
	})
	select {
	case r := <-responses:
		return r, nil
	case <-broken:
		return session.Response{}, session.ErrNoResponse
	case <-ctx.Done():
		return session.Response{}, session.ErrNoResponse
	}
}

// callEnded returns the outcome of a call to an executor that has crashed; replacement has its address now, unless it is nil.
func (f *Fleet) callEnded(ctx context.Context, e *executor, order string, replacement *executor) (session.Response, error) {
	f.mu.Lock()
	switch {
	case replacement != nil && !replacement.crashed && !replacement.unreachable:
		defer f.mu.Unlock()
		return f.response(replacement, session.OtherIncarnation), nil
	case e.refuses && order == "hold":
		f.mu.Unlock()
		return session.Response{}, fmt.Errorf("%w: %w", session.ErrRefused, session.ErrNoResponse)
	case e.refuses:
		f.mu.Unlock()
		return session.Response{}, fmt.Errorf("%w: %w", session.ErrRefused, session.ErrNotSent)
	}
	f.mu.Unlock()
	<-ctx.Done()
	return session.Response{}, session.ErrNoResponse
}

// delayReport waits for the delay of a response to a hold, and returns false if the response does not arrive. It locks f.mu.
func (f *Fleet) delayReport(ctx context.Context, e *executor) bool {
	f.mu.Lock()
	delays := f.delays
	f.mu.Unlock()
	if delays == nil {
		return true
	}
	_, back := delays(e.id, "hold")
	timer := time.NewTimer(back)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	f.mu.Lock()
	unreachable := e.unreachable
	f.mu.Unlock()
	if unreachable {
		<-ctx.Done()
	}
	return !unreachable
}

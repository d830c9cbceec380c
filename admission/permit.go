package admission

import (
	"context"

	"github.com/tamarackworks/tamarackworks/router"
)

// Permit is the right of one request to run. It belongs to one goroutine.
type Permit struct {
	a      *Admission
	q      *queue
	ctx    context.Context
	req    Request
	slot   *router.Slot
	closed bool
}

// Slot returns the slot of the current attempt, or nil after a failed Retry or after Close.
func (p *Permit) Slot() *router.Slot { return p.slot }

// Retry ends the current attempt with its result and waits for a slot on a host that is not in
// tried. It is for requests that may be sent again. After an error the permit holds no slot; it must
// still be closed. The retry budget of the service limits the added load, also when every attempt fails.
func (p *Permit) Retry(res router.Result, tried []string) error {
	if p.slot != nil {
		p.q.releaseSlot(p.slot, res)
		p.slot = nil
	}
	cost := 1.0
	if res.Rejected {
		cost = refusedRetryCost
	}
	if !p.q.spendRetryTokens(cost) {
		return p.q.a.reject(p.req, &RejectedError{Reason: ReasonRetryBudget, RetryAfter: p.q.meanRunTime()})
	}
	w := &waiter{req: p.req, ctx: p.ctx, tried: tried, isRetry: true, done: make(chan struct{})}
	if err := p.q.wait(w); err != nil {
		return p.a.reject(p.req, err)
	}
	p.slot = w.slot
	return nil
}

// Close ends the request. The result is that of the last attempt; it is ignored if a retry was rejected.
// A second call does nothing.
func (p *Permit) Close(res router.Result) {
	if p.closed {
		return
	}
	p.closed = true
	p.a.releaseTeamQuota(p.req.Team)
	p.q.recordFinish()
	if p.slot != nil {
		slot := p.slot
		p.slot = nil
		p.q.releaseSlot(slot, res)
	}
}

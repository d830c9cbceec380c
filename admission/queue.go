package admission

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/router"
	"github.com/tamarackworks/tamarackworks/structs"
)

// minRunTimeWeight is the smallest weight of a new observation in the mean run time. At 0.02 the noise of
// exponentially distributed run times is 10 % of the mean, and the mean follows a change within about 50 responses.
const minRunTimeWeight = 0.02

// queue holds the requests of one service that wait for a slot, and the counters, retry budget and mean run time of the
// service.
type queue struct {
	a       *Admission
	service string

	mu sync.Mutex
	// waiters is sorted by compareWaiters. Insertion and removal move at most QueueLimit pointers.
	waiters []*waiter
	// seq is the number of the last waiter, in the order of arrival.
	seq uint64
	// timerRunning is true while the timer of recheck runs.
	timerRunning bool
	// running is the number of permits that hold a slot.
	running int

	arrived, finished uint64
	arrivedUrgent     uint64
	// rejected counts requests that were rejected by Enter.
	rejected map[Reason]uint64
	// retryTokens is the number of retries that the budget allows now.
	retryTokens float64
	// mean is the mean run time, observations the number of run times in it.
	mean         time.Duration
	observations uint64
}

// waiter is one request in a queue. After done is closed either slot or err is set.
type waiter struct {
	req Request
	ctx context.Context
	// tried holds the hosts that the request must not use again.
	tried   []string
	isRetry bool
	// startBy is the latest start of the request, lateReason the reason of the rejection if it cannot start by then.
	startBy    time.Time
	lateReason Reason
	seq        uint64
	done       chan struct{}
	slot       *router.Slot
	err        *RejectedError
}

// compareWaiters orders urgent before batch, then by deadline, then by arrival.
func compareWaiters(a, b *waiter) int {
	if ua, ub := a.req.Priority == structs.PriorityUrgent, b.req.Priority == structs.PriorityUrgent; ua != ub {
		if ua {
			return -1
		}
		return 1
	}
	return cmp.Or(a.req.Deadline.Compare(b.req.Deadline), cmp.Compare(a.seq, b.seq))
}

// recordArrival counts a new request and adds its share to the retry budget.
func (q *queue) recordArrival(p structs.Priority) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrived++
	if p == structs.PriorityUrgent {
		q.arrivedUrgent++
	}
	q.retryTokens = min(q.retryTokens+q.a.opts.RetryShare, q.a.opts.RetryBurst)
}

// reject counts and records a rejection by Enter.
func (q *queue) reject(req Request, err *RejectedError) error {
	q.mu.Lock()
	q.rejected[err.Reason]++
	q.mu.Unlock()
	return q.a.reject(req, err)
}

func (q *queue) meanRunTime() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.mean
}

// setStartBy sets the latest start of a request. It is before the deadline by the mean run time, but by no more than half
// of the time left, because the estimate may be far too long and would not be corrected if no request started any more.
// For urgent requests it is at most the urgent start limit from now. That limit applies to the first start only, not to
// retries.
func (q *queue) setStartBy(w *waiter) {
	now := time.Now()
	reserve := min(q.meanRunTime(), w.req.Deadline.Sub(now)/2)
	w.startBy, w.lateReason = w.req.Deadline.Add(-reserve), ReasonDeadline
	limit := now.Add(structs.UrgentStartLimit)
	if w.req.Priority == structs.PriorityUrgent && !w.isRetry && limit.Before(w.startBy) {
		w.startBy, w.lateReason = limit, ReasonUrgentLimit
	}
}

// wait blocks until the waiter has a slot, or returns why it gets none.
func (q *queue) wait(w *waiter) *RejectedError {
	q.setStartBy(w)
	if queued, err := q.enqueue(w); !queued {
		return err
	}
	select {
	case <-w.done:
		return w.err
	case <-w.ctx.Done():
		return q.cancel(w)
	}
}

// enqueue adds the waiter to the queue and returns true. If no other request waits and a slot is free, the waiter takes it
// at once; then, and if the waiter is rejected, enqueue returns false.
func (q *queue) enqueue(w *waiter) (queued bool, _ *RejectedError) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := w.ctx.Err(); err != nil {
		return false, cancelledError(err)
	}
	now := time.Now()
	if !now.Before(w.req.Deadline) {
		return false, &RejectedError{Reason: ReasonDeadline, RetryAfter: q.predictWait(len(q.waiters))}
	}
	if len(q.waiters) == 0 {
		slot, err := q.a.opts.Slots.Acquire(q.service, w.tried)
		if err == nil {
			w.slot = slot
			q.running++
			return false, nil
		}
		if errors.Is(err, router.ErrNoTarget) {
			return false, q.noTargetError(w)
		}
	}
	q.seq++
	w.seq = q.seq
	i, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	if err := q.lateError(w, i, now); err != nil {
		return false, err
	}
	if len(q.waiters) >= q.a.opts.QueueLimit && !q.evictFor(w) {
		return false, q.queueFullError(i)
	}
	q.waiters = slices.Insert(q.waiters, i, w)
	q.startTimer()
	return true, nil
}

// noTargetError returns the rejection after router.ErrNoTarget. ReasonNoTarget is for a service without targets in this data
// centre, which another data centre may serve, ReasonAllTried for a retry that has no untried target left.
func (q *queue) noTargetError(w *waiter) *RejectedError {
	if v := q.a.opts.Views.View(); v != nil && len(v.TargetsByService[q.service]) > 0 {
		return &RejectedError{Reason: ReasonAllTried, RetryAfter: q.mean}
	}
	return noTargetError()
}

// evictFor rejects the last waiter if it is a batch request and w an urgent one. It reports whether it did.
func (q *queue) evictFor(w *waiter) bool {
	n := len(q.waiters) - 1
	last := q.waiters[n]
	if w.req.Priority != structs.PriorityUrgent || last.req.Priority == structs.PriorityUrgent {
		return false
	}
	q.resolve(n, nil, q.queueFullError(n))
	return true
}

// queueFullError returns the rejection of a request with this many requests ahead of it in a full queue.
func (q *queue) queueFullError(ahead int) *RejectedError {
	wait := q.predictWait(len(q.waiters))
	return &RejectedError{Reason: ReasonQueueFull, Ahead: ahead, PredictedWait: wait, RetryAfter: wait}
}

// predictWait returns the expected wait of a request with this many requests ahead while all slots are in use.
func (q *queue) predictWait(ahead int) time.Duration {
	return time.Duration(ahead+1) * q.mean / time.Duration(max(1, q.running))
}

// lateError returns the rejection of a waiter that is predicted to start too late, or nil if it can start in time.
func (q *queue) lateError(w *waiter, ahead int, now time.Time) *RejectedError {
	wait := q.predictWait(ahead)
	if !now.Add(wait).After(w.startBy) {
		return nil
	}
	return &RejectedError{Reason: w.lateReason, Ahead: ahead, PredictedWait: wait, RetryAfter: wait}
}

// resolve removes the waiter at position i and gives it a slot or an error.
func (q *queue) resolve(i int, slot *router.Slot, err *RejectedError) {
	w := q.waiters[i]
	q.waiters = slices.Delete(q.waiters, i, i+1)
	w.slot, w.err = slot, err
	if slot != nil {
		q.running++
	}
	close(w.done)
}

// cancel removes the waiter after its context ended, and releases a slot that it got meanwhile.
func (q *queue) cancel(w *waiter) *RejectedError {
	err := cancelledError(w.ctx.Err())
	q.mu.Lock()
	slot := w.slot
	if slot != nil {
		q.running--
	} else if w.err == nil {
		if i, ok := slices.BinarySearchFunc(q.waiters, w, compareWaiters); ok {
			q.resolve(i, nil, err)
		}
	}
	q.mu.Unlock()
	if slot != nil {
		slot.Done(router.Result{Outcome: structs.OutcomeNotRun})
	}
	return err
}

func cancelledError(cause error) *RejectedError {
	return &RejectedError{Reason: ReasonCancelled, Cause: cause}
}

// slotFreed gives slots to waiters after opts.Slots has reported a free slot.
func (q *queue) slotFreed() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch()
}

// dispatch gives free slots to waiters in order. A retry that must not use the free targets does not
// block the requests after it. The caller holds mu.
func (q *queue) dispatch() {
	for i := 0; i < len(q.waiters); {
		w := q.waiters[i]
		if err := w.ctx.Err(); err != nil {
			q.resolve(i, nil, cancelledError(err))
			continue
		}
		slot, err := q.a.opts.Slots.Acquire(q.service, w.tried)
		switch {
		case err == nil:
			q.resolve(i, slot, nil)
		case errors.Is(err, router.ErrNoTarget):
			q.resolve(i, nil, q.noTargetError(w))
		case len(w.tried) == 0:
			return
		default:
			i++
		}
	}
}

// startTimer starts the timer of recheck unless it runs. The caller holds mu.
func (q *queue) startTimer() {
	if !q.timerRunning {
		q.timerRunning = true
		time.AfterFunc(recheckInterval, q.recheck)
	}
}

// recheck uses slots that became free without a call of slotFreed, and rejects the waiters that can no longer start in time.
func (q *queue) recheck() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.timerRunning = false
	q.dispatch()
	now := time.Now()
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if err := q.lateError(w, len(kept), now); err != nil {
			w.err = err
			close(w.done)
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	if len(q.waiters) > 0 {
		q.startTimer()
	}
}

// releaseSlot ends an attempt and updates the mean run time with its result. The first responses have a larger weight, so
// that they replace the declared or default run time.
func (q *queue) releaseSlot(slot *router.Slot, res router.Result) {
	q.mu.Lock()
	q.running--
	if res.Outcome == structs.OutcomeDone && !res.Failed && res.RunTime > 0 {
		q.observations++
		weight := max(minRunTimeWeight, 1/float64(q.observations))
		q.mean += time.Duration(weight * float64(res.RunTime-q.mean))
	}
	q.mu.Unlock()
	slot.Done(res)
}

// spendRetryTokens takes the cost of a retry from the budget. It returns false if the budget is too small.
func (q *queue) spendRetryTokens(cost float64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.retryTokens < cost {
		return false
	}
	q.retryTokens -= cost
	return true
}

func (q *queue) recordFinish() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.finished++
}

func (q *queue) load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	urgent, _ := slices.BinarySearchFunc(q.waiters, structs.PriorityBatch, func(w *waiter, p structs.Priority) int {
		if w.req.Priority == structs.PriorityUrgent {
			return -1
		}
		return 1
	})
	return Load{
		Service: q.service, QueuedUrgent: urgent, QueuedBatch: len(q.waiters) - urgent, Running: q.running,
		ArrivedUrgent: q.arrivedUrgent, Arrived: q.arrived, Finished: q.finished, RejectedBy: maps.Clone(q.rejected), MeanRunTime: q.mean,
	}
}

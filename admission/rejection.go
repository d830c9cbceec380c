package admission

import (
	"fmt"
	"sync"
	"time"

	"github.com/tamarackworks/tamarackworks/router"
	"github.com/tamarackworks/tamarackworks/structs"
)

// Reason says why a request was rejected.
type Reason string

// Reasons of rejections. A rejected Enter sent nothing to a target; a rejected Retry sent only the earlier attempts.
const (
	// ReasonNoTarget means that the data centre has no usable target for the service.
	ReasonNoTarget Reason = "no_target"
	// ReasonAllTried means that a retry has no target left that was not tried; earlier attempts were sent.
	ReasonAllTried Reason = "all_targets_tried"
	// ReasonTeamQuota means that the team has as many waiting and running requests as its quota allows on this entry host.
	ReasonTeamQuota Reason = "team_quota"
	// ReasonQueueFull means that the queue of the service has reached Options.QueueLimit.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDeadline means that the request cannot start early enough before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonUrgentLimit means that the urgent request cannot start within structs.UrgentStartLimit.
	ReasonUrgentLimit Reason = "urgent_start_limit"
	// ReasonRetryBudget means that the retry budget of the service is used up; earlier attempts were sent.
	ReasonRetryBudget Reason = "retry_budget"
	// ReasonCancelled means that the context of the request ended.
	ReasonCancelled Reason = "cancelled"
)

// RejectedError is the error of requests that may not start.
type RejectedError struct {
	Reason Reason
	// RetryAfter is the time after which a new request has a chance to start.
	RetryAfter time.Duration
	// Ahead is the number of requests that were ahead of this one in the queue.
	Ahead int
	// PredictedWait is the wait predicted when the request was rejected, or 0 if the request was not rejected because of
	// its position in the queue.
	PredictedWait time.Duration
	// Cause is the error of the context after a cancellation, and router.ErrNoTarget for ReasonNoTarget.
	Cause error
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("admission: rejected: %s, %d requests ahead, predicted wait %v, retry after %v",
		e.Reason, e.Ahead, e.PredictedWait, e.RetryAfter)
}

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.Cause }

// noTargetError returns the rejection of a request for a service without targets in this data centre.
func noTargetError() *RejectedError {
	return &RejectedError{Reason: ReasonNoTarget, RetryAfter: noTargetRetryAfter, Cause: router.ErrNoTarget}
}

// Rejection is a rejection of a request that is kept for Explain.
type Rejection struct {
	ID       string
	Service  string
	Team     string
	Priority structs.Priority
	At       time.Time
	RejectedError
}

// history is a ring buffer of the latest rejections.
type history struct {
	mu   sync.Mutex
	ring []Rejection
	// next is the position of the next rejection in ring.
	next int
	// byID is the position of the latest rejection of each request in ring.
	byID map[string]int
}

func newHistory(limit int) *history {
	return &history{ring: make([]Rejection, limit), byID: make(map[string]int)}
}

func (h *history) add(r Rejection) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.ring[h.next].ID; h.byID[old] == h.next {
		delete(h.byID, old)
	}
	h.ring[h.next] = r
	h.byID[r.ID] = h.next
	h.next = (h.next + 1) % len(h.ring)
}

func (h *history) find(id string) (Rejection, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i, ok := h.byID[id]
	if !ok {
		return Rejection{}, false
	}
	return h.ring[i], true
}

package workers

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackworks/tamarackworks/session"
	"github.com/tamarackworks/tamarackworks/workload"
)

// RestartDuringStart is a client of a fleet in which the executor of the first start order restarts under its ID while the order is
// sent. The new incarnation carries the first attempt out, and its response is lost. The second attempt arrives after a hold with
// another fencing token. Holds at the executor get no response between the two attempts.
type RestartDuringStart struct {
	*Fleet
	// Executor is the ID of the executor that restarts.
	Executor string

	mu sync.Mutex
	// task is the task of the first start order, attempts the number of its attempts, and fence the token of the first one.
	task     workload.TaskID
	attempts int
	fence    uint64
	// refencing is set once a hold with another token is sent.
	refencing bool
	// restarted is closed at the first attempt, retried at the second one, and refenced once the hold with another token is carried out.
	restarted, retried, refenced chan struct{}
}

// NewRestartDuringStart returns a client for which the executor with an ID restarts at its first start order.
func NewRestartDuringStart(fleet *Fleet, executor string) *RestartDuringStart {
	fleet.DeliverOrdersAfterRestart()
	return &RestartDuringStart{
		Fleet: fleet, Executor: executor,
		restarted: make(chan struct{}), retried: make(chan struct{}), refenced: make(chan struct{}),
	}
}

// Start implements session.Client.
func (c *RestartDuringStart) Start(ctx context.Context, to session.Endpoint, o session.StartOrder) (session.Response, error) {
	switch c.attempt(to, o) {
	case 1:
		c.Fleet.Restart(to.ID)
		close(c.restarted)
		if _, err := c.Fleet.Start(ctx, to, o); err != nil {
			return session.Response{}, err
		}
		<-ctx.Done()
		return session.Response{}, session.ErrNoResponse
	case 2:
		close(c.retried)
		select {
		case <-c.refenced:
		case <-ctx.Done():
			return session.Response{}, session.ErrNoResponse
		}
	}
	return c.Fleet.Start(ctx, to, o)
}

// attempt returns the number of the attempt if it is one of the first start order of the executor, else 0.
func (c *RestartDuringStart) attempt(to session.Endpoint, o session.StartOrder) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case to.ID != c.Executor:
		return 0
	case c.attempts == 0:
		c.task, c.fence = o.Task, o.Fence
	case o.Task != c.task:
		return 0
	}
	c.attempts++
	return c.attempts
}

// Hold implements session.Client.
func (c *RestartDuringStart) Hold(ctx context.Context, to session.Endpoint, o session.HoldOrder) (workload.Report, session.Result, error) {
	if to.ID != c.Executor {
		return c.Fleet.Hold(ctx, to, o)
	}
	select {
	case <-c.restarted:
		select {
		case <-c.retried:
		case <-ctx.Done():
			return workload.Report{}, "", session.ErrNoResponse
		}
		return c.holdAfterRetry(ctx, to, o)
	default:
	}
	// The restart breaks the connection of a hold in flight.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-c.restarted:
			cancel()
		case <-ctx.Done():
		}
	}()
	return c.Fleet.Hold(ctx, to, o)
}

func (c *RestartDuringStart) holdAfterRetry(ctx context.Context, to session.Endpoint, o session.HoldOrder) (workload.Report, session.Result, error) {
	c.mu.Lock()
	if o.Fence > c.fence && !c.refencing {
		c.refencing = true
		// The hold is carried out before its response, which may wait for a run to end.
		time.AfterFunc(2*defaultResponseTime, func() { close(c.refenced) })
	}
	c.mu.Unlock()
	return c.Fleet.Hold(ctx, to, o)
}

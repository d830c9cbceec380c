// Package coordinator runs the jobs of the deployment while this process owns
// them. It loads the stored state, keeps a session with each executor, passes
// events to the scheduler and executes its commands, commits job records, and
// orders moves and maintenance of machines. A single control goroutine holds
// the state; everything that blocks runs in other goroutines, which report
// back as events.
package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/ownership"
	"github.com/tamarackworks/tamarackworks/pools"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/scheduler"
	"github.com/tamarackworks/tamarackworks/session"
	"github.com/tamarackworks/tamarackworks/workload"
)

// Errors of the coordinator.
var (
	// ErrNotOwner means that this process does not own the jobs, or has not loaded them yet.
	ErrNotOwner = errors.New("coordinator: not the owner")
	// ErrOwnershipLost means that another process has taken over the ownership.
	ErrOwnershipLost = errors.New("coordinator: ownership lost to another process")
	// ErrUnexpectedVersion means that a row that only the owner writes is not at the version that the owner last wrote or
	// read, although the ownership has not changed.
	ErrUnexpectedVersion = errors.New("coordinator: row written only by the owner has an unexpected version")
)

// Store is the part of the row store that the coordinator uses.
type Store interface {
	Commit(ctx context.Context, txn rowstore.Txn) (uint64, error)
	Read(ctx context.Context, r rowstore.Range) (rowstore.Page, error)
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error)
}

// Directory names the tables that operators and executors write, and decodes their rows.
type Directory interface {
	ExecutorTable() string
	OperatorTable() string
	Executor(r rowstore.Row) (workload.Executor, error)
	// Operator returns the configuration or the wave in a row; both are nil if the row holds neither.
	Operator(r rowstore.Row) (*workload.Configuration, *workload.Wave, error)
	// StatusTable is the table of the rows that WaveStatus returns.
	StatusTable() string
	// WaveStatus returns the row that shows the operator whether a wave is completed.
	WaveStatus(name string, completed bool) (rowstore.Row, error)
}

// Machines calls the machine service, which moves machines between pools and takes them down for maintenance.
// Orders can be retried safely.
type Machines interface {
	// List returns all machines and the number of reads that it took. A machine may be missing or repeated if others were removed or
	// added between two reads.
	List(ctx context.Context) (machines []workload.Machine, pages int, err error)
	Move(ctx context.Context, o pools.Order) error
	Maintain(ctx context.Context, o pools.Order) error
}

// Advice calls the advice service, which issues permits for running a step on particular executors.
type Advice interface {
	// Permits returns permits by executor and how long they are valid. It returns false if the service's queue is full.
	Permits(ctx context.Context, step workload.StepID, executors []string) (map[string]string, time.Duration, bool, error)
}

// Options configure a Coordinator.
type Options struct {
	Store     Store
	Directory Directory
	// Executors calls the executors.
	Executors session.Client
	Machines  Machines
	// Advice is nil if there is no advice service.
	Advice Advice
	// Holder identifies this process in orders to the machine service.
	Holder string
	// Now is elapsed time on a clock that also runs while the host is suspended, WallMS the Unix time in milliseconds.
	Now    func() time.Duration
	WallMS func() int64
	// OwnsJobs reports whether this process owns the jobs now. Jobs that arrive later than ArrivalLimit are not started.
	OwnsJobs     func() bool
	ArrivalLimit func() time.Duration
	// MayContinue reports whether this process may keep using the executors that it is in contact with, although its
	// ownership may have ended.
	MayContinue func() bool
	// FirstSubmitted returns when a job was first submitted, on the clock of Now, if that was before it was accepted and is known.
	FirstSubmitted func(job string) (time.Duration, bool)
	// PublishClosures is called several times a second with the queues that are closed, none as a rule. It must not block.
	PublishClosures func([]scheduler.Closure)
	// JobMemory is the memory for jobs in bytes; 0 means no bound. PublishRoom is called several times a second with how much of it is
	// left. It must not block.
	JobMemory   int64
	PublishRoom func(bytes int64)
	Log         log.Interface
	Metrics     *Metrics
	// MachineDelay is how long after a predecessor's order for a machine a new owner waits before it orders that machine.
	MachineDelay time.Duration
	// Retention is how long finished jobs are kept, in memory and in the store.
	Retention time.Duration
	// StopTimeout is how long a task may keep running after an executor accepted its stop.
	StopTimeout time.Duration
	// MaxLease is the longest lease that an executor grants.
	MaxLease time.Duration
	// IgnoreInterference is passed to the scheduler.
	IgnoreInterference bool
}

// Coordinator runs the jobs while Lead runs, and answers queries about them.
type Coordinator struct {
	opts Options

	mu sync.Mutex
	// queries is nil unless Lead runs and has loaded the state.
	queries chan func(*scheduler.Core)
}

// New returns a coordinator; Lead starts it.
func New(opts Options) *Coordinator { return &Coordinator{opts: opts} }

// Lead loads the stored state and runs the jobs until ctx ends or the ownership is lost.
func (c *Coordinator) Lead(ctx context.Context, term ownership.Term) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := newLeadership(ctx, c.opts, term)
	if err := l.load(); err != nil {
		return err
	}
	c.mu.Lock()
	c.queries = l.queries
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.queries = nil
		c.mu.Unlock()
	}()
	return l.run()
}

// query runs a function on the control goroutine and waits for it to return.
func (c *Coordinator) query(ctx context.Context, query func(*scheduler.Core)) error {
	c.mu.Lock()
	queries := c.queries
	c.mu.Unlock()
	if queries == nil {
		return ErrNotOwner
	}
	done := make(chan struct{})
	select {
	case queries <- func(core *scheduler.Core) { query(core); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// JobStatus returns the status of a job, and whether this owner knows the job.
func (c *Coordinator) JobStatus(ctx context.Context, id string) (status workload.Status, known bool, err error) {
	var s workload.Status
	var k bool
	if err := c.query(ctx, func(core *scheduler.Core) { s, k = core.Status(id) }); err != nil {
		return "", false, err
	}
	return s, k, nil
}

// QueueLength returns the number of jobs in a queue that have not started any task.
func (c *Coordinator) QueueLength(ctx context.Context, route string) (int, error) {
	var n int
	if err := c.query(ctx, func(core *scheduler.Core) { n = core.QueueLength(route) }); err != nil {
		return 0, err
	}
	return n, nil
}

// ReserveJob reports whether this owner has room for a job with a footprint in bytes, and keeps it for some seconds.
func (c *Coordinator) ReserveJob(ctx context.Context, id string, bytes int64) (bool, error) {
	var reserved bool
	if err := c.query(ctx, func(core *scheduler.Core) { reserved = core.ReserveJob(c.opts.Now(), id, bytes) }); err != nil {
		return false, err
	}
	return reserved, nil
}

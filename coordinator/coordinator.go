// Package coordinator runs the jobs of the deployment while this process owns
// them: it loads what is stored, keeps sessions with the executors, feeds the
// scheduling core with events and carries its commands out. One goroutine
// holds the state.
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

// Errors of this layer.
var (
	// ErrNotOwner means that this process does not own the jobs.
	ErrNotOwner = errors.New("coordinator: not the owner")
	// ErrDeposed means that another process took the ownership over.
	ErrDeposed = errors.New("coordinator: deposed")
	// ErrInconsistent means that a row changed that only the owner writes.
	ErrInconsistent = errors.New("coordinator: row of the owner changed")
)

// Store is what the coordinator needs of the row store.
type Store interface {
	Commit(ctx context.Context, txn rowstore.Txn) (uint64, error)
	Read(ctx context.Context, r rowstore.Range) (rowstore.Page, error)
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error)
}

// Directory decodes what operators and executors write into the store.
type Directory interface {
	ExecutorTable() string
	OperatorTable() string
	Executor(r rowstore.Row) (workload.Executor, error)
	// Operator returns the configuration or the wave of a row; both are nil if it holds neither.
	Operator(r rowstore.Row) (*workload.Configuration, *workload.Wave, error)
	// StatusTable is the table of the rows of WaveStatus.
	StatusTable() string
	// WaveStatus returns the row that tells the operator how a wave stands.
	WaveStatus(name string, completed bool) (rowstore.Row, error)
}

// Machines orders moves and upkeep.
type Machines interface {
	List(ctx context.Context) ([]workload.Machine, error)
	Move(ctx context.Context, o pools.Order) error
	Upkeep(ctx context.Context, o pools.Order) error
}

// Advice gives permits for steps.
type Advice interface {
	Permits(ctx context.Context, step workload.StepID, executors []string) (map[string]string, time.Duration, bool, error)
}

// Options configure a Coordinator.
type Options struct {
	Store     Store
	Directory Directory
	Workers   session.Client
	Machines  Machines
	// Advice is nil if there is no advice service.
	Advice Advice
	// Holder names this process in orders to machines.
	Holder string
	Now    func() time.Duration
	WallMS func() int64
	// Valid reports whether this process owns the jobs now, ValidUntil up to when it does for sure.
	Valid      func() bool
	ValidUntil func() time.Duration
	// MayContinue reports whether it may go on with the executors that it is in contact with.
	MayContinue func() bool
	Log         log.Interface
	Metrics     *Metrics
	// MachineDelay is how long a new owner waits before it orders a machine that its predecessor ordered last.
	MachineDelay time.Duration
	// Retention is how long final jobs are kept in memory.
	Retention time.Duration
	// StopTimeout is how long a task may run on after an executor accepted its stop.
	StopTimeout time.Duration
}

// Coordinator is the owner of the jobs while it leads.
type Coordinator struct {
	opts Options

	mu    sync.Mutex
	calls chan func(*scheduler.Core)
}

// New returns a coordinator that does not lead yet.
func New(opts Options) *Coordinator { return &Coordinator{opts: opts} }

// Lead owns the jobs until ctx ends or the ownership is lost.
func (c *Coordinator) Lead(ctx context.Context, term ownership.Term) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := newLead(ctx, c.opts, term)
	if err := l.load(); err != nil {
		return err
	}
	c.mu.Lock()
	c.calls = l.calls
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.calls = nil
		c.mu.Unlock()
	}()
	return l.run()
}

// ask runs a question on the control goroutine.
func (c *Coordinator) ask(ctx context.Context, question func(*scheduler.Core)) error {
	c.mu.Lock()
	calls := c.calls
	c.mu.Unlock()
	if calls == nil {
		return ErrNotOwner
	}
	done := make(chan struct{})
	select {
	case calls <- func(core *scheduler.Core) { question(core); close(done) }:
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

// JobStatus returns the state of a job that this owner knows.
func (c *Coordinator) JobStatus(ctx context.Context, id string) (status workload.Status, known bool, err error) {
	var s workload.Status
	var k bool
	if err := c.ask(ctx, func(core *scheduler.Core) { s, k = core.Status(id) }); err != nil {
		return "", false, err
	}
	return s, k, nil
}

// QueueLength returns the number of jobs of a queue of which no task has started.
func (c *Coordinator) QueueLength(ctx context.Context, route string) (int, error) {
	var n int
	if err := c.ask(ctx, func(core *scheduler.Core) { n = core.Pending(route) }); err != nil {
		return 0, err
	}
	return n, nil
}

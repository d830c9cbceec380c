package claims

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/tamarackworks/tamarackworks/cloud"
)

const (
	// maxBatchRows is the limit in docs/design.md, section 10.1, half of cloud.MaxTxnOps.
	maxBatchRows = 64
	// maxBatchBytes keeps a batch of large stored responses well below the size limit of a table request.
	maxBatchBytes = 1 << 20
	// maxConcurrentCommits bounds concurrent transactions. There are several so that one slow commit does not
	// delay all claims.
	maxConcurrentCommits = 4
	// maxConcurrentReads bounds the concurrent reads after a commit that conflicted or had an unknown result.
	maxConcurrentReads = 16
	// maxCommitAttempts bounds the commits of a batch that conflict before its remaining writes are queued again.
	maxCommitAttempts = 8
	// commitTimeout bounds one call to the table.
	commitTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the delay before a write is retried.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Results of a write other than success.
var (
	errConflict    = errors.New("claims: row is at another version")
	errUnavailable = errors.New("claims: write was not applied")
)

// States of a write.
const (
	writeQueued int32 = iota
	writeSent
	writeCancelled
)

// write is one conditional put of a row. Its result is definite: the committer retries it until it is known
// whether it was applied.
type write struct {
	key string
	// version is the version that the row must have; 0 means that the row must be absent.
	version uint64
	value   []byte
	// urgent means that a caller waits for the write. Urgent writes are committed first.
	urgent bool
	// done receives the result, without locks held by the committer: nil, errConflict or errUnavailable. With
	// errConflict, row is the current row, or empty if the row is absent. done is called once, unless it retries
	// the write.
	done func(row cloud.Row, err error)

	state atomic.Int32
	// due is the time at which the write no longer waits for others to join its batch.
	due time.Time
	// ambiguous means that an earlier attempt may still be applied, so a failed attempt does not decide the
	// result.
	ambiguous bool
	attempts  int
}

// cancel cancels a write that was never sent. It returns false if the write was sent.
func (w *write) cancel() bool { return w.state.CompareAndSwap(writeQueued, writeCancelled) }

// backoff counts an attempt and returns the delay before the next one, which doubles each time.
func (w *write) backoff() time.Duration {
	w.attempts++
	return min(minBackoff<<min(w.attempts-1, 10), maxBackoff)
}

// committer groups writes into batches and commits each batch as one transaction. One goroutine owns the queue.
type committer struct {
	table cloud.Table
	// linger is how long an urgent write waits for others to join its batch; backgroundLinger is the same for
	// other writes.
	linger           time.Duration
	backgroundLinger time.Duration

	ctx      context.Context
	cancel   context.CancelFunc
	incoming chan *write
	// commitDone receives a value when a commit ends.
	commitDone chan struct{}
	stopped    chan struct{}
	stats      counters
}

func newCommitter(table cloud.Table, linger, backgroundLinger time.Duration) *committer {
	c := &committer{
		table: table, linger: linger, backgroundLinger: backgroundLinger,
		incoming:   make(chan *write, maxBatchRows),
		commitDone: make(chan struct{}), stopped: make(chan struct{}),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	go c.run()
	return c
}

// submit queues a write. After close it is dropped and done is not called.
func (c *committer) submit(w *write) {
	linger := c.backgroundLinger
	if w.urgent {
		linger = c.linger
	}
	w.due = time.Now().Add(linger)
	c.enqueue(w)
}

func (c *committer) enqueue(w *write) {
	select {
	case c.incoming <- w:
	case <-c.ctx.Done():
	}
}

// retryLater queues a write again after its backoff.
func (c *committer) retryLater(w *write) {
	time.AfterFunc(w.backoff(), func() {
		w.due = time.Now()
		c.enqueue(w)
	})
}

// close cancels the commits in progress and waits until they have ended.
func (c *committer) close() {
	c.cancel()
	<-c.stopped
}

// run starts commits of queued batches until the committer is closed.
func (c *committer) run() {
	defer close(c.stopped)
	q := &queue{}
	commits := 0
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case w := <-c.incoming:
			q.push(w)
		case <-c.commitDone:
			commits--
		case <-timer.C:
		case <-c.ctx.Done():
			for ; commits > 0; commits-- {
				<-c.commitDone
			}
			return
		}
		for commits < maxConcurrentCommits && q.ready(time.Now()) {
			if batch := q.takeBatch(); len(batch) > 0 {
				commits++
				go c.commitAndSignal(batch)
			}
		}
		if due, ok := q.due(); ok && commits < maxConcurrentCommits {
			timer.Reset(time.Until(due))
		}
	}
}

func (c *committer) commitAndSignal(batch []*write) {
	c.commit(batch)
	c.commitDone <- struct{}{}
}

// queue holds writes that wait for a batch.
type queue struct {
	urgent     []*write
	background []*write
}

func (q *queue) push(w *write) {
	if w.urgent {
		q.urgent = append(q.urgent, w)
		return
	}
	q.background = append(q.background, w)
}

// ready reports whether a batch should be committed: it is full or its oldest write is due.
func (q *queue) ready(now time.Time) bool {
	if len(q.urgent)+len(q.background) >= maxBatchRows {
		return true
	}
	due, ok := q.due()
	return ok && !due.After(now)
}

// due returns the earlier of the due times of the first urgent and the first background write. It returns false
// if the queue is empty.
func (q *queue) due() (time.Time, bool) {
	var due time.Time
	for _, list := range [][]*write{q.urgent, q.background} {
		if len(list) > 0 && (due.IsZero() || list[0].due.Before(due)) {
			due = list[0].due
		}
	}
	return due, !due.IsZero()
}

// takeBatch removes and returns the next batch without cancelled writes, urgent writes first. Up to half of the
// batch is reserved for background writes: otherwise records of finished claims accumulate under load until new
// claims are rejected.
func (q *queue) takeBatch() []*write {
	var batch []*write
	size := 0
	limits := [2]int{maxBatchRows - min(len(q.background), maxBatchRows/2), maxBatchRows}
	for i, list := range []*[]*write{&q.urgent, &q.background} {
		for len(*list) > 0 && len(batch) < limits[i] {
			w := (*list)[0]
			if len(batch) > 0 && size+len(w.value) > maxBatchBytes {
				return batch
			}
			*list = (*list)[1:]
			if !w.state.CompareAndSwap(writeQueued, writeSent) && w.state.Load() == writeCancelled {
				continue
			}
			batch = append(batch, w)
			size += len(w.value)
		}
	}
	return batch
}

// transaction returns the conditional puts of a batch as one transaction.
func transaction(batch []*write) cloud.Txn {
	var txn cloud.Txn
	for _, w := range batch {
		txn.Preconditions = append(txn.Preconditions, cloud.Precondition{Key: w.key, Version: w.version})
		txn.Ops = append(txn.Ops, cloud.Op{Key: w.key, Value: w.value})
	}
	return txn
}

// commit commits a batch. Each write either gets its result or is queued for a retry.
func (c *committer) commit(batch []*write) {
	for attempt := 0; len(batch) > 0 && attempt < maxCommitAttempts; attempt++ {
		ctx, cancel := context.WithTimeout(c.ctx, commitTimeout)
		version, err := c.table.Commit(ctx, transaction(batch))
		cancel()
		c.stats.commits.Add(1)
		switch {
		case err == nil:
			c.stats.rows.Add(uint64(len(batch)))
			for _, w := range batch {
				w.done(cloud.Row{Key: w.key, Value: w.value, Version: version}, nil)
			}
			return
		case errors.Is(err, cloud.ErrConflict):
			batch = c.resolveByReading(batch)
		case errors.Is(err, cloud.ErrUnavailable), errors.Is(err, cloud.ErrInvalid):
			c.failUnapplied(batch)
			return
		default:
			c.stats.ambiguous.Add(1)
			for _, w := range batch {
				w.ambiguous = true
			}
			// Reads cost the table less than a retried write, and usually show that the write was applied.
			batch = c.resolveByReading(batch)
			for _, w := range batch {
				c.retryLater(w)
			}
			return
		}
	}
	for _, w := range batch {
		c.retryLater(w)
	}
}

// failUnapplied ends writes whose last attempt was certainly not applied with errUnavailable. Writes with an
// earlier ambiguous attempt are retried instead.
func (c *committer) failUnapplied(batch []*write) {
	for _, w := range batch {
		if w.ambiguous {
			c.retryLater(w)
			continue
		}
		w.done(cloud.Row{}, errUnavailable)
	}
}

// resolveByReading reads the rows of a batch and ends the writes whose result they show. It returns the writes
// whose precondition still holds.
func (c *committer) resolveByReading(batch []*write) []*write {
	rows := make([]cloud.Row, len(batch))
	errs := make([]error, len(batch))
	ctx, cancel := context.WithTimeout(c.ctx, commitTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for i, w := range batch {
		group.Go(func() error {
			c.stats.reads.Add(1)
			rows[i], errs[i] = c.table.Get(ctx, w.key)
			return nil
		})
	}
	// The errors are in errs; the functions of the group return nil.
	_ = group.Wait()
	var unresolved []*write
	for i, w := range batch {
		switch {
		case errs[i] != nil && !errors.Is(errs[i], cloud.ErrNotFound):
			c.failUnapplied([]*write{w})
		case rows[i].Version == w.version:
			unresolved = append(unresolved, w)
		case bytes.Equal(rows[i].Value, w.value):
			w.done(rows[i], nil)
		default:
			w.done(rows[i], errConflict)
		}
	}
	return unresolved
}

// counters are the counts behind Stats.
type counters struct {
	claims    atomic.Uint64
	commits   atomic.Uint64
	rows      atomic.Uint64
	reads     atomic.Uint64
	ambiguous atomic.Uint64
}

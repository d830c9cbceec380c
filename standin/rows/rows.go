// Package rows implements the platform's row store in memory, with fault
// injection. Tests use it under the virtual time of testing/synctest.
//
// A partition of the store carries out its transactions one after another; a
// transaction across partitions occupies all of them (see SetSlow).
package rows

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/rowstore"
)

const (
	// callTime is how long each call takes, in addition to the time set by SetSlow.
	callTime = 4 * time.Millisecond
	// maxTxnEntries bounds the expectations, puts and deletes of a transaction together, maxRowBytes the value of a row.
	maxTxnEntries = 100
	maxRowBytes   = 64 << 10
	// maxPartitionBacklog is the longest time that a transaction may have to wait for its partitions; beyond it, it is refused.
	maxPartitionBacklog = time.Second
)

// Store holds the rows of all partitions. Hosts access it through handles, each with its own faults.
type Store struct {
	mu      sync.Mutex
	rows    map[rowstore.Key]rowstore.Row
	version uint64
	// history holds the changes after historyStart, oldest first.
	history []rowstore.Row
	// invalidTxns counts the transactions that were over the limits.
	invalidTxns int
	// historyStart is the oldest version from which a feed can continue.
	historyStart uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// timePerPartition is how long a transaction takes for each of its partitions, busyUntil is when each partition is free again.
	timePerPartition time.Duration
	busyUntil        map[string]time.Time
	// down holds the partitions that refuse reads and transactions.
	down map[string]bool
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: make(map[rowstore.Key]rowstore.Row), changed: make(chan struct{}), busyUntil: make(map[string]time.Time)}
}

// Handle is the connection of one host to the store.
type Handle struct {
	s  *Store
	mu sync.Mutex
	// fault returns the fault of the next call; nil means no faults.
	fault func(write bool) Fault
	// link carries the responses to reads; nil means that they take no time.
	link *link
}

// Fault is a failure injected into a call.
type Fault int

// Faults of calls.
const (
	// None serves the call.
	None Fault = iota
	// Refuse returns ErrUnavailable and has no effect.
	Refuse
	// DropCall neither carries the call out nor responds. The caller gets ErrAmbiguous when its context ends.
	DropCall
	// LoseResponse carries the call out and does not respond. The caller gets ErrAmbiguous when its context ends.
	LoseResponse
	// Late does not respond and applies a transaction LateBy later, if its expectations hold then. The caller gets
	// ErrAmbiguous when its context ends.
	Late
)

// LateBy is the delay of transactions with the fault Late.
const LateBy = 2 * time.Second

// Handle returns a new handle without faults.
func (s *Store) Handle() *Handle { return &Handle{s: s} }

// SetFault sets the function that returns the fault of each call of the handle; write is true for transactions.
func (h *Handle) SetFault(f func(write bool) Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = f
}

func (h *Handle) nextFault(write bool) Fault {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fault == nil {
		return None
	}
	return h.fault(write)
}

// DropHistory discards the changes kept for feeds, so that feeds that are behind get ErrHistoryGone and read their tables
// again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.version
	s.notifyFeeds()
}

// notifyFeeds ends the waits of feeds. The caller holds s.mu.
func (s *Store) notifyFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row without an expectation, as operators and executors do.
func (s *Store) Put(key rowstore.Key, value []byte) {
	// A transaction without expectations cannot conflict; a value over maxRowBytes is not stored and counts in InvalidTxns.
	_, _ = s.apply(rowstore.Txn{Put: []rowstore.Row{{Key: key, Value: value}}})
}

// Delete removes a row without an expectation.
func (s *Store) Delete(key rowstore.Key) {
	// A transaction without expectations cannot conflict.
	_, _ = s.apply(rowstore.Txn{Delete: []rowstore.Key{key}})
}

// Get returns a row.
func (s *Store) Get(key rowstore.Key) (rowstore.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[key]
	return r, ok
}

// apply checks the limits and expectations of a transaction and applies it under one new version.
func (s *Store) apply(txn rowstore.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := checkLimits(txn); err != nil {
		s.invalidTxns++
		return 0, err
	}
	conflict := &rowstore.ConflictError{}
	failed := false
	for _, e := range txn.Expect {
		r, ok := s.rows[e.Key]
		failed = failed || r.Version != e.Version
		if ok {
			conflict.Rows = append(conflict.Rows, r)
		}
	}
	if failed {
		return 0, conflict
	}
	s.version++
	for _, r := range txn.Put {
		r.Version = s.version
		s.rows[r.Key] = r
		s.history = append(s.history, r)
	}
	for _, k := range txn.Delete {
		delete(s.rows, k)
		s.history = append(s.history, rowstore.Row{Key: k, Version: s.version, Deleted: true})
	}
	s.notifyFeeds()
	return s.version, nil
}

func checkLimits(txn rowstore.Txn) error {
	if len(txn.Expect)+len(txn.Put)+len(txn.Delete) > maxTxnEntries {
		return errors.Wrap(rowstore.ErrInvalid, "the transaction has too many entries")
	}
	for _, r := range txn.Put {
		if len(r.Value) > maxRowBytes {
			return errors.Wrapf(rowstore.ErrInvalid, "the value of %s/%s is too long", r.Table, r.Name)
		}
	}
	return nil
}

// InvalidTxns returns the number of transactions that were rejected because they were over the limits.
func (s *Store) InvalidTxns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.invalidTxns
}

// Commit applies a transaction. Without a fault it takes callTime and then waits for its partitions. If ctx ends during that
// wait, the transaction is still applied at its time and the result is ErrAmbiguous.
func (h *Handle) Commit(ctx context.Context, txn rowstore.Txn) (uint64, error) {
	switch h.nextFault(true) {
	case Refuse:
		return 0, rowstore.ErrUnavailable
	case DropCall:
		<-ctx.Done()
		return 0, rowstore.ErrAmbiguous
	case LoseResponse:
		// The caller must not learn the outcome.
		_, _ = h.s.apply(txn)
		<-ctx.Done()
		return 0, rowstore.ErrAmbiguous
	case Late:
		time.AfterFunc(LateBy, func() { _, _ = h.s.apply(txn) })
		<-ctx.Done()
		return 0, rowstore.ErrAmbiguous
	}
	time.Sleep(callTime)
	done, ok := h.s.reservePartitions(txn)
	if !ok {
		return 0, rowstore.ErrUnavailable
	}
	select {
	case <-time.After(time.Until(done)):
		return h.s.apply(txn)
	case <-ctx.Done():
		time.AfterFunc(time.Until(done), func() { _, _ = h.s.apply(txn) })
		return 0, rowstore.ErrAmbiguous
	}
}

// SetDown sets the partitions that refuse reads and transactions, in place of those set before. Feeds go on.
func (s *Store) SetDown(partitions ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = make(map[string]bool)
	for _, partition := range partitions {
		s.down[partition] = true
	}
}

func (s *Store) isDown(partition string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down[partition]
}

// SetSlow makes a transaction occupy its partitions for d times their number, after the transactions that it has to wait for,
// and delays reads by d.
func (s *Store) SetSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timePerPartition = d
}

func (s *Store) readDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.timePerPartition
}

// reservePartitions returns when a transaction will have been carried out, after the earlier ones of its partitions, and
// occupies the partitions until then. Its partitions are those of its expectations and puts. It returns false if a partition
// is down or the wait would exceed maxPartitionBacklog.
func (s *Store) reservePartitions(txn rowstore.Txn) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	partitions := make(map[string]bool)
	for _, e := range txn.Expect {
		partitions[e.Key.Partition] = true
	}
	for _, r := range txn.Put {
		partitions[r.Partition] = true
	}
	start := time.Now()
	for partition := range partitions {
		if s.down[partition] {
			return time.Time{}, false
		}
		if s.busyUntil[partition].After(start) {
			start = s.busyUntil[partition]
		}
	}
	if time.Until(start) > maxPartitionBacklog {
		return time.Time{}, false
	}
	done := start.Add(time.Duration(len(partitions)) * s.timePerPartition)
	for partition := range partitions {
		s.busyUntil[partition] = done
	}
	return done, true
}

// Read returns the rows of a range, sorted by name.
func (h *Handle) Read(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	if err := h.applyReadFault(ctx); err != nil {
		return rowstore.Page{}, err
	}
	time.Sleep(callTime + h.s.readDelay())
	if h.s.isDown(r.Partition) {
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	page := h.s.read(r)
	return page, h.receive(ctx, page)
}

func (s *Store) read(r rowstore.Range) rowstore.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rowstore.Page{Version: s.version}
	for k, row := range s.rows {
		if k.Table == r.Table && k.Partition == r.Partition && k.Name >= r.From && (r.To == "" || k.Name < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(a, b int) bool { return page.Rows[a].Name < page.Rows[b].Name })
	if r.Limit > 0 && len(page.Rows) > r.Limit {
		page.Rows, page.More = page.Rows[:r.Limit], true
	}
	return page
}

// applyReadFault applies the next fault to a read. Without a response it waits until ctx ends.
func (h *Handle) applyReadFault(ctx context.Context) error {
	switch h.nextFault(false) {
	case Refuse:
		return rowstore.ErrUnavailable
	case DropCall, LoseResponse, Late:
		<-ctx.Done()
		return rowstore.ErrAmbiguous
	}
	return nil
}

// Changes returns the changes of a table after a version. Without any it waits for one up to wait. It returns
// ErrHistoryGone if the changes are no longer kept.
func (h *Handle) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	if err := h.applyReadFault(ctx); err != nil {
		return rowstore.Page{}, err
	}
	time.Sleep(callTime + h.s.readDelay())
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		page, changed, err := h.s.changes(table, after)
		if err != nil {
			return page, err
		}
		if len(page.Rows) > 0 {
			return page, h.receive(ctx, page)
		}
		select {
		case <-changed:
		case <-limit.C:
			return page, nil
		case <-ctx.Done():
			return rowstore.Page{}, rowstore.ErrAmbiguous
		}
	}
}

func (s *Store) changes(table string, after uint64) (rowstore.Page, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.historyStart {
		return rowstore.Page{}, nil, rowstore.ErrHistoryGone
	}
	page := rowstore.Page{Version: s.version}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
	for _, r := range s.history[first:] {
		if r.Table == table {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, s.changed, nil
}

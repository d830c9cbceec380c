package claims

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarackworks/tamarackworks/cloud"
)

const (
	// defaultLinger is the limit in docs/design.md, section 10.1, for how long a claim waits for others to join its
	// batch.
	defaultLinger = 2 * time.Millisecond
	// defaultRecordLinger is longer, to group more records of finished claims, for which no caller waits.
	defaultRecordLinger = 20 * time.Millisecond
	// maxPendingWrites and maxPendingRecordBytes bound the memory that an entry host uses for writes while the
	// table is unavailable. New claims are rejected beyond them.
	maxPendingWrites      = 4096
	maxPendingRecordBytes = 16 << 20
)

// Options configure a Store. Table, Entry and Incarnation are required.
type Options struct {
	Table cloud.Table
	// Entry and Incarnation identify this process in the rows.
	Entry       string
	Incarnation string
	// Now returns the wall-clock time that is stored. It defaults to time.Now.
	Now func() time.Time
	// Retention is how long rows are kept. It defaults to DefaultRetention.
	Retention time.Duration
	// Linger is how long a claim waits for others to join its batch, and RecordLinger the same for the record of
	// a finished claim. They default to 2 ms and 20 ms.
	Linger       time.Duration
	RecordLinger time.Duration
	Log          log.Interface
	Registerer   prometheus.Registerer
}

// phase is the local state of a claim of this process.
type phase int

const (
	// creating means that the row of the claim is being written.
	creating phase = iota
	// held means that the row is durable and the request may have been dispatched.
	held
	// recording means that the final state is being written to the row.
	recording
)

// claim is one claim of this process. Fields are guarded by Store.mu.
type claim struct {
	// row is the key of the row in the table.
	row    string
	record Record
	// version is the version of the durable row.
	version uint64
	phase   phase
	// abandoned means that no caller waits for the create any more.
	abandoned bool
	write     *write
	// result receives the result of the last write while the phase is creating.
	result chan result
	// recordBytes is the size of the record being written while the phase is recording.
	recordBytes int
}

// result is the result of a write, as write.done receives it.
type result struct {
	row cloud.Row
	err error
}

// Store claims keys and records the outcomes of requests for one entry host.
type Store struct {
	opts      Options
	committer *committer

	mu       sync.Mutex
	byRowKey map[string]*claim
	byNonce  map[string]*claim
	// pendingWrites counts the writes without a result, and pendingRecordBytes the bytes of the final records
	// among them.
	pendingWrites      int
	pendingRecordBytes int
	stopping           bool
	// idle is closed when the store is stopping and no writes are pending.
	idle     chan struct{}
	idleOnce sync.Once
	// sweepCursor is the key of the last row that Sweep read, or empty to start from the first.
	sweepCursor string
}

// New returns a running store. It fails if the metrics cannot be registered.
func New(opts Options) (*Store, error) {
	if opts.Table == nil || opts.Entry == "" || opts.Incarnation == "" {
		return nil, errors.New("claims: Table, Entry and Incarnation are required")
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Retention <= 0 {
		opts.Retention = DefaultRetention
	}
	if opts.Linger <= 0 {
		opts.Linger = defaultLinger
	}
	if opts.RecordLinger <= 0 {
		opts.RecordLinger = defaultRecordLinger
	}
	if opts.Log == nil {
		opts.Log = log.Log
	}
	s := &Store{opts: opts, byRowKey: make(map[string]*claim), byNonce: make(map[string]*claim), idle: make(chan struct{})}
	s.committer = newCommitter(opts.Table, opts.Linger, opts.RecordLinger)
	if err := s.registerMetrics(opts.Registerer); err != nil {
		s.committer.close()
		return nil, err
	}
	return s, nil
}

// Claim stores a durable claim of the key for the request with the nonce; the fingerprint identifies the content
// of the request. A nil error with a zero record means that the claim was granted: the request may be dispatched,
// and Finish must follow. A nil error with a record of StateDone means that the request already ran. Any other
// result is an error.
func (s *Store) Claim(ctx context.Context, key Key, fingerprint, nonce string) (Record, error) {
	s.committer.stats.claims.Add(1)
	c := &claim{row: key.RowKey(), result: make(chan result, 1)}
	c.record = Record{
		State: StateClaimed, Owner: s.opts.Entry, Incarnation: s.opts.Incarnation,
		Nonce: nonce, Fingerprint: fingerprint, ClaimedUnixMS: s.opts.Now().UnixMilli(),
	}
	if record, known, err := s.registerClaim(c); known || err != nil {
		return record, err
	}
	for version := uint64(0); ; {
		r, err := s.create(ctx, c, version)
		if err != nil {
			return Record{}, err
		}
		if r.err == nil {
			return Record{}, nil
		}
		record, err := interpretRow(r.row, fingerprint)
		if err != nil || record.State == StateDone {
			s.remove(c)
			return record, err
		}
		// The row is absent, void or not run: claim it if it is still at this version.
		version = r.row.Version
	}
}

// interpretRow interprets the row that made a create conflict. If it returns a nil error and a record that is
// not done, the row may be replaced.
func interpretRow(row cloud.Row, fingerprint string) (Record, error) {
	if row.Version == 0 {
		return Record{}, nil
	}
	record, err := decode(row)
	if err != nil {
		// A row that cannot be decoded may belong to a request that ran.
		return Record{}, ErrInProgress
	}
	return interpretRecord(record, fingerprint)
}

// interpretRecord returns a record that is done for the same request, not run or void. It returns ErrMismatch if
// the record belongs to a request with another fingerprint, and ErrInProgress if its outcome is unknown.
func interpretRecord(record Record, fingerprint string) (Record, error) {
	switch record.State {
	case StateNotRun, StateVoid:
		return record, nil
	case StateDone, StateClaimed:
		if record.Fingerprint != fingerprint {
			return Record{}, ErrMismatch
		}
		if record.State == StateDone {
			return record, nil
		}
	}
	return Record{}, ErrInProgress
}

// registerClaim registers a claim in this process. If the process already has a claim of the key, it returns the
// result that follows from that claim, and true. It returns ErrUnavailable if the store is stopping or too many
// writes are pending.
func (s *Store) registerClaim(c *claim) (Record, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || s.pendingWrites >= maxPendingWrites || s.pendingRecordBytes >= maxPendingRecordBytes {
		return Record{}, false, ErrUnavailable
	}
	if other := s.byRowKey[c.row]; other != nil {
		record, err := interpretRecord(other.record, c.record.Fingerprint)
		if err == nil && record.State != StateDone {
			// The other claim was abandoned or its request did not run, but the table does not show this yet.
			err = ErrUnavailable
		}
		return record, true, err
	}
	s.byRowKey[c.row] = c
	s.byNonce[c.record.Nonce] = c
	return Record{}, false, nil
}

// create writes the row at the given version and waits for the result. An error means that the claim is not
// granted and is no longer registered, or is removed when its write ends.
func (s *Store) create(ctx context.Context, c *claim, version uint64) (result, error) {
	w := &write{key: c.row, version: version, value: c.record.encode(), urgent: true}
	w.done = func(row cloud.Row, err error) { s.onCreated(c, row, err) }
	s.mu.Lock()
	c.write = w
	s.pendingWrites++
	s.mu.Unlock()
	s.committer.submit(w)
	select {
	case r := <-c.result:
		if errors.Is(r.err, errUnavailable) {
			s.remove(c)
			return result{}, ErrUnavailable
		}
		return r, nil
	case <-ctx.Done():
	case <-s.committer.ctx.Done():
	}
	return s.abandon(c)
}

// abandon ends the wait for a create and returns ErrDeadline. If the row was created, in the meantime or later,
// the claim is recorded as void.
func (s *Store) abandon(c *claim) (result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case r := <-c.result:
		if r.err == nil {
			s.recordLocked(c, Final{State: StateVoid})
		} else {
			s.removeLocked(c)
		}
		return result{}, ErrDeadline
	default:
	}
	c.abandoned = true
	// Other claims of the key in this process must see that the request will not be dispatched.
	c.record.State = StateVoid
	if c.write.cancel() {
		s.removeLocked(c)
		s.writeEndedLocked()
	}
	return result{}, ErrDeadline
}

// onCreated handles the result of a create.
func (s *Store) onCreated(c *claim, row cloud.Row, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		c.version, c.phase = row.Version, held
	}
	switch {
	case !c.abandoned:
		c.result <- result{row: row, err: err}
	case err == nil:
		s.recordLocked(c, Final{State: StateVoid})
	default:
		s.removeLocked(c)
	}
	s.writeEndedLocked()
}

// Finish records the outcome of the request with the nonce. It does not wait for the table.
func (s *Store) Finish(nonce string, final Final) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.byNonce[nonce]
	if c == nil || c.phase != held {
		return
	}
	if final.State == StateClaimed {
		s.removeLocked(c)
		return
	}
	s.recordLocked(c, final)
}

// recordLocked starts to record the final state of a durable claim. s.mu must be held.
func (s *Store) recordLocked(c *claim, final Final) {
	c.phase = recording
	c.record.State = final.State
	c.record.Response = final.Response
	c.record.FinishedUnixMS = s.opts.Now().UnixMilli()
	value := c.record.encode()
	c.recordBytes = len(value)
	s.pendingWrites++
	s.pendingRecordBytes += c.recordBytes
	w := &write{key: c.row, version: c.version, value: value}
	w.done = func(_ cloud.Row, err error) { s.onRecorded(c, w, err) }
	c.write = w
	// submit may block under s.mu, but the goroutine that receives writes never takes s.mu, so this cannot
	// deadlock.
	s.committer.submit(w)
}

// onRecorded handles the result of recordLocked.
func (s *Store) onRecorded(c *claim, w *write, err error) {
	if errors.Is(err, errUnavailable) {
		s.committer.retryLater(w)
		return
	}
	if err != nil {
		s.opts.Log.WithFields(log.Fields{"request": c.record.Nonce, "state": string(c.record.State)}).
			Warn("claim was changed or expired before its final state was recorded")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingRecordBytes -= c.recordBytes
	s.removeLocked(c)
	s.writeEndedLocked()
}

func (s *Store) remove(c *claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(c)
}

// removeLocked removes a claim from the maps. s.mu must be held.
func (s *Store) removeLocked(c *claim) {
	if s.byRowKey[c.row] == c {
		delete(s.byRowKey, c.row)
	}
	delete(s.byNonce, c.record.Nonce)
}

// writeEndedLocked counts a write that has its result. s.mu must be held.
func (s *Store) writeEndedLocked() {
	s.pendingWrites--
	s.signalIdleLocked()
}

// signalIdleLocked closes s.idle if the store is stopping and no writes are pending. It does so once, because a
// late Finish can make the count reach 0 again. s.mu must be held.
func (s *Store) signalIdleLocked() {
	if s.stopping && s.pendingWrites == 0 {
		s.idleOnce.Do(func() { close(s.idle) })
	}
}

// Lookup returns the record of a key, ErrNotFound or ErrUnavailable. A record that cannot be decoded reads as
// StateClaimed, an unknown outcome.
func (s *Store) Lookup(ctx context.Context, key Key) (Record, error) {
	rowKey := key.RowKey()
	s.mu.Lock()
	c := s.byRowKey[rowKey]
	var local Record
	if c != nil && c.phase != creating {
		local = c.record
	}
	s.mu.Unlock()
	if local.State != "" {
		return local, nil
	}
	s.committer.stats.reads.Add(1)
	stored, err := s.opts.Table.Get(ctx, rowKey)
	switch {
	case errors.Is(err, cloud.ErrNotFound):
		return Record{}, ErrNotFound
	case err != nil:
		return Record{}, ErrUnavailable
	}
	record, err := decode(stored)
	if err != nil {
		return Record{State: StateClaimed}, nil
	}
	return record, nil
}

// Stop rejects new claims, waits until all pending writes have ended or ctx ends, and stops the store. Claims
// whose final record was not written stay claimed, which reads as an unknown outcome.
func (s *Store) Stop(ctx context.Context) error {
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		return nil
	}
	s.stopping = true
	s.signalIdleLocked()
	s.mu.Unlock()
	defer s.committer.close()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "claims: some records were not written")
	}
}

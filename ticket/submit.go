package ticket

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// MaxObjects is the largest number of objects in one ticket, 40. Each object takes one precondition and
	// one operation of the transaction; the third part of the limit stays free for preconditions on rows that
	// the objects refer to. The 2 leave room for the head and id rows. A ticket is never split, because its
	// parts would not be applied atomically.
	MaxObjects = cloud.MaxTxnOps/3 - 2

	// DefaultTimeout bounds a submission whose context has no deadline.
	DefaultTimeout = 10 * time.Second
	// maxConsecutiveFailures is the number of attempts in a row that may fail before a submission without an
	// ambiguous commit gives up.
	maxConsecutiveFailures = 5
	// minBackoff and maxBackoff are the first and the largest upper bound of the random wait between attempts.
	// The bound doubles with each attempt.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
	// maxConcurrentReads bounds the concurrent reads of object rows.
	maxConcurrentReads = 8
)

// Submitter validates tickets and commits them to the table.
type Submitter struct {
	Table Table
	// Check validates the ticket against the state at a head, which is then a precondition of the commit. It
	// returns an InvalidError to reject the ticket; after any other error the submission is attempted again.
	// If Check is nil, references between objects are not checked.
	Check func(ctx context.Context, head uint64, t structs.Ticket) error
	// Now returns the time of acceptance; nil means time.Now.
	Now func() time.Time
}

// Submit commits a ticket without checking its references and returns its number. See Submitter.Submit.
func Submit(ctx context.Context, table Table, t structs.Ticket) (uint64, error) {
	accepted, err := Submitter{Table: table}.Submit(ctx, t)
	return accepted.Number, err
}

// submission is the state of one call of Submitter.Submit.
type submission struct {
	Submitter
	ticket structs.Ticket
	// ambiguous is set while an earlier commit whose result is unknown may still take effect. That commit
	// requires the head row to be at ambiguousHeadVersion.
	ambiguous            bool
	ambiguousHeadVersion uint64
	// failures counts the failed attempts since the last one that ended with errRetry.
	failures int
}

// errRetry means that a concurrent commit changed the state, so the submission is attempted again on the new
// state.
var errRetry = errors.New("ticket: a concurrent commit changed the state")

// Submit commits a ticket and returns it as it is stored. It returns
//   - a ConflictError if an object was changed since its base,
//   - an InvalidError if the ticket is malformed or Check rejects it,
//   - ErrIDReused if another ticket was accepted under the id,
//   - ErrCorrupt if a row cannot be decoded,
//   - ErrUnavailable if this call certainly did not lead to acceptance,
//   - an UnknownError if the result could not be determined before the context ended.
//
// If the same ticket was already accepted under the id, it is not committed again; the accepted one is
// returned. After an UnknownError, only a ticket or a ConflictError returned by a later call with the same id
// shows the result of the earlier call.
func (s Submitter) Submit(ctx context.Context, t structs.Ticket) (structs.Ticket, error) {
	t, err := prepare(t)
	if err != nil {
		return structs.Ticket{}, err
	}
	now := s.Now
	if now == nil {
		now = time.Now
	}
	t.AcceptedUnixMS = now().UnixMilli()
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	sub := &submission{Submitter: s, ticket: t}
	for retries := 0; ; retries++ {
		accepted, err := sub.attempt(ctx)
		if err == nil {
			return accepted, nil
		}
		if sub.isFinal(err) {
			return structs.Ticket{}, err
		}
		if !errors.Is(err, errRetry) {
			sub.failures++
		} else {
			sub.failures = 0
		}
		if sub.failures >= maxConsecutiveFailures && !sub.ambiguous || !sleep(ctx, retries) {
			return structs.Ticket{}, sub.giveUp(err)
		}
	}
}

// prepare checks the form of a ticket and normalizes its specs, so that object rows and ticket rows hold the
// same bytes.
func prepare(t structs.Ticket) (structs.Ticket, error) {
	if err := checkForm(t); err != nil {
		return t, err
	}
	objects := make([]structs.TicketObject, len(t.Objects))
	for i, o := range t.Objects {
		var err error
		if objects[i], err = Normalize(o); err != nil {
			return t, err
		}
	}
	t.Objects = objects
	return t, nil
}

// isFinal reports whether an error of an attempt ends the submission. While an earlier commit is ambiguous,
// an invalid ticket or a corrupt row does not decide the result.
func (s *submission) isFinal(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict) || IsInvalid(err) && !s.ambiguous ||
		errors.Is(err, ErrIDReused) || errors.Is(err, ErrCorrupt) && !s.ambiguous
}

// giveUp returns the error of a submission that ends without a definite result of its last attempt.
func (s *submission) giveUp(err error) error {
	if s.ambiguous {
		return &UnknownError{ID: s.ticket.ID, Err: err}
	}
	if errors.Is(err, ErrUnavailable) {
		return err
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}

// attempt reads the state and makes one commit that requires this state. The head is read before the id row:
// if the head is not at ambiguousHeadVersion and the id row, read afterwards, is absent, the ambiguous commit
// can never take effect.
func (s *submission) attempt(ctx context.Context) (t structs.Ticket, err error) {
	head, headVersion, err := readNumber(ctx, s.Table, HeadKey)
	if err != nil {
		return t, err
	}
	if t, err = s.accepted(ctx); err != nil || t.Number > 0 {
		return t, err
	}
	if headVersion != s.ambiguousHeadVersion {
		s.ambiguous = false
	}
	preconditions, conflict, err := s.readObjects(ctx)
	if err != nil {
		return t, err
	}
	if conflict != nil {
		return s.confirmConflict(ctx, conflict)
	}
	if s.Check != nil && !s.ambiguous {
		if err := s.Check(ctx, head, s.ticket); err != nil {
			return t, err
		}
	}
	preconditions = append(preconditions,
		cloud.Precondition{Key: HeadKey, Version: headVersion},
		cloud.Precondition{Key: IDKey(s.ticket.ID)})
	return s.commit(ctx, head+1, headVersion, preconditions)
}

// accepted returns the ticket that was accepted under the id of the submission, the zero ticket if there is
// none. It returns ErrIDReused if that ticket differs from the submitted one.
func (s *submission) accepted(ctx context.Context) (structs.Ticket, error) {
	number, version, err := readNumber(ctx, s.Table, IDKey(s.ticket.ID))
	if err != nil || version == 0 {
		return structs.Ticket{}, err
	}
	t, err := Get(ctx, s.Table, number)
	if err != nil {
		return t, err
	}
	if !sameTicket(t, s.ticket) {
		return t, errors.Wrapf(ErrIDReused, "%s is ticket %d (%q by %s)", t.ID, t.Number, t.Title, t.Author)
	}
	return t, nil
}

// sameTicket reports whether two tickets have the same title, author and changes. Bases are not compared,
// because an operator who repeats a submission reads the objects again.
func sameTicket(a, b structs.Ticket) bool {
	if a.Title != b.Title || a.Author != b.Author || len(a.Objects) != len(b.Objects) {
		return false
	}
	for i, o := range a.Objects {
		p := b.Objects[i]
		if o.Kind != p.Kind || o.Name != p.Name || o.Delete != p.Delete || !bytes.Equal(o.Spec, p.Spec) {
			return false
		}
	}
	return true
}

// readObjects reads the rows of the ticket's objects. It returns a precondition for each, or the conflict of
// the first object in the ticket that has one.
func (s *submission) readObjects(ctx context.Context) ([]cloud.Precondition, *ConflictError, error) {
	preconditions := make([]cloud.Precondition, len(s.ticket.Objects))
	conflicts := make([]*ConflictError, len(s.ticket.Objects))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for i, o := range s.ticket.Objects {
		group.Go(func() error {
			var err error
			preconditions[i], conflicts[i], err = s.readObject(groupCtx, o)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, nil, err
	}
	for _, c := range conflicts {
		if c != nil {
			return nil, c, nil
		}
	}
	return preconditions, nil, nil
}

// readObject compares the stored object with the base. It returns the precondition that the row is unchanged,
// and a conflict if the stored object is not the base.
func (s *submission) readObject(
	ctx context.Context, o structs.TicketObject,
) (cloud.Precondition, *ConflictError, error) {
	pre := cloud.Precondition{Key: ObjectKey(o.Kind, o.Name)}
	row, err := s.Table.Get(ctx, pre.Key)
	absent := errors.Is(err, cloud.ErrNotFound)
	if err != nil && !absent {
		return pre, nil, translate(err)
	}
	var stored structs.Object
	if !absent {
		if stored, err = decodeRow[structs.Object](row); err != nil {
			return pre, nil, err
		}
		pre.Version = row.Version
	}
	// Operators see a deleted object as absent, so base 0 matches it too.
	if stored.Number == o.Base || stored.Deleted && o.Base == 0 {
		return pre, nil, nil
	}
	return pre, &ConflictError{
		Kind: o.Kind, Name: o.Name, Base: o.Base, Number: stored.Number, Author: stored.Author,
	}, nil
}

// confirmConflict reads the id row again, since the conflicting change may be an earlier commit of this
// submission, and returns the accepted ticket in that case and the conflict otherwise. The object was changed,
// so the head has moved and an ambiguous commit can no longer take effect.
func (s *submission) confirmConflict(ctx context.Context, conflict *ConflictError) (structs.Ticket, error) {
	if t, err := s.accepted(ctx); err != nil || t.Number > 0 {
		return t, err
	}
	s.ambiguous = false
	// The title only adds to the message; the conflict is certain without it.
	if t, err := Get(ctx, s.Table, conflict.Number); err == nil {
		conflict.Title = t.Title
	}
	return structs.Ticket{}, conflict
}

// commit commits the ticket under a number. If the result is unknown, it marks the submission as ambiguous.
func (s *submission) commit(
	ctx context.Context, number, headVersion uint64, preconditions []cloud.Precondition,
) (structs.Ticket, error) {
	t := s.ticket
	t.Number = number
	ops, err := encodeOps(t)
	if err != nil {
		return t, err
	}
	_, err = s.Table.Commit(ctx, cloud.Txn{Preconditions: preconditions, Ops: ops})
	switch {
	case err == nil:
		return t, nil
	case errors.Is(err, cloud.ErrConflict):
		return t, errRetry
	case errors.Is(err, cloud.ErrAmbiguous):
		s.ambiguous, s.ambiguousHeadVersion = true, headVersion
	case errors.Is(err, cloud.ErrInvalid):
		return t, &InvalidError{Reason: "the platform refused the transaction: " + err.Error()}
	}
	return t, translate(err)
}

// encodeOps returns the writes of a ticket: the head, ticket and id rows and one row for each object.
func encodeOps(t structs.Ticket) ([]cloud.Op, error) {
	var ops []cloud.Op
	add := func(key string, value any) error {
		encoded, err := json.Marshal(value)
		if err != nil {
			return &InvalidError{Field: key, Reason: err.Error()}
		}
		ops = append(ops, cloud.Op{Key: key, Value: encoded})
		return nil
	}
	err := errors.Join(
		add(HeadKey, numberRow{Number: t.Number}),
		add(NumberKey(t.Number), t),
		add(IDKey(t.ID), numberRow{Number: t.Number}),
	)
	for _, o := range Objects(t) {
		err = errors.Join(err, add(ObjectKey(o.Kind, o.Name), o))
	}
	return ops, err
}

// sleep waits a random time whose upper bound doubles with each retry. It returns false if the context ended.
func sleep(ctx context.Context, retries int) bool {
	limit := min(minBackoff<<min(retries, 16), maxBackoff)
	timer := time.NewTimer(rand.N(limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

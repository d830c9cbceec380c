// Package rowstore declares the types and errors of the transactional row
// store in which the system keeps its state, and hedged writes to it.
package rowstore

import "github.com/go-faster/errors"

// Errors of calls to the store. Each error of a call matches exactly one of them by errors.Is.
var (
	// ErrConflict means that a row was not at its expected version and nothing was applied; see ConflictError.
	ErrConflict = errors.New("rowstore: conflict")
	// ErrUnavailable means that the call was certainly not applied and will not be.
	ErrUnavailable = errors.New("rowstore: unavailable")
	// ErrAmbiguous means that the call may have been applied, or may still be applied later.
	ErrAmbiguous = errors.New("rowstore: result unknown")
	// ErrHistoryGone means that the requested changes are no longer kept, so that all rows must be read again.
	ErrHistoryGone = errors.New("rowstore: history no longer available")
	// ErrInvalid means that the store rejected the call as malformed, forbidden or too large.
	ErrInvalid = errors.New("rowstore: invalid call")
)

// Key identifies a row.
type Key struct {
	Table string
	// Partition is the partition of the row. A partition applies its transactions one after another.
	Partition string
	Name      string
}

// Row is a row of the store. Versions increase across the whole store.
type Row struct {
	Key
	Value   []byte
	Version uint64
	// Deleted marks the deletion of the row among the changes of a table.
	Deleted bool
}

// Expect is the condition that a row is at a version; 0 means that it is absent.
type Expect struct {
	Key
	Version uint64
}

// Txn is a transaction, which is applied completely or not at all, and only if all expectations hold. All keys must be in one
// partition unless CrossPartition is set.
type Txn struct {
	Expect         []Expect
	Put            []Row
	Delete         []Key
	CrossPartition bool
}

// Range selects rows of one partition, in key order.
type Range struct {
	Table, Partition string
	// From is inclusive, To exclusive; empty means no bound.
	From, To string
	// Limit bounds the rows of a page; 0 means the limit of the store.
	Limit int
}

// Page holds the rows of a Range, or the changes of a table.
type Page struct {
	Rows []Row
	// More reports that further rows exist.
	More bool
	// Version is the newest version of the store at the time of the read.
	Version uint64
}

// ConflictError is an ErrConflict with the current rows of the expectations of the transaction.
type ConflictError struct{ Rows []Row }

// Error implements error.
func (*ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap makes the error match ErrConflict.
func (*ConflictError) Unwrap() error { return ErrConflict }

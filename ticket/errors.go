package ticket

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/structs"
)

// Errors that callers of this package match.
var (
	// ErrNotFound means that no accepted ticket has the number or id.
	ErrNotFound = errors.New("ticket: not found")
	// ErrUnavailable means that the table did not respond. A call of Submit that ends with it certainly did not
	// lead to acceptance of the ticket.
	ErrUnavailable = errors.New("ticket: table unavailable")
	// ErrIDReused means that another ticket was accepted under the id of the submission.
	ErrIDReused = errors.New("ticket: id belongs to another accepted ticket")
	// ErrCorrupt means that a row of the table cannot be decoded.
	ErrCorrupt = errors.New("ticket: malformed row")
)

// ConflictError rejects a ticket because one of its objects was changed since the operator read it.
type ConflictError struct {
	Kind structs.Kind
	Name string
	// Base is the number of the ticket that had last written the object when the operator read it.
	Base uint64
	// Number, Title and Author are those of the accepted ticket that last wrote the object. Number is 0 if
	// the object does not exist.
	Number uint64
	Title  string
	Author string
}

func (e *ConflictError) Error() string {
	if e.Number == 0 {
		return fmt.Sprintf("ticket: %s/%s does not exist, but the submission is based on its state at ticket %d", e.Kind, e.Name, e.Base)
	}
	return fmt.Sprintf("ticket: %s/%s was changed by ticket %d (%q by %s) after it was read at ticket %d",
		e.Kind, e.Name, e.Number, e.Title, e.Author, e.Base)
}

// UnknownError means that the ticket may have been accepted. To learn the result, submit the same ticket again
// under the same id (see Submitter.Submit). Find returns its number if it has been accepted.
type UnknownError struct {
	ID  string
	Err error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("ticket: result of submission %s is unknown: %v", e.ID, e.Err)
}

// Unwrap returns the last error of the table.
func (e *UnknownError) Unwrap() error { return e.Err }

// InvalidError rejects a ticket or a declaration because of its content.
type InvalidError struct {
	// File and Document, counted from 1, are set for declarations read from files.
	File     string
	Document int
	Kind     structs.Kind
	Name     string
	Field    string
	Reason   string
}

func (e *InvalidError) Error() string {
	where := ""
	if e.File != "" {
		where += fmt.Sprintf("%s: document %d: ", e.File, e.Document)
	}
	if e.Kind != "" || e.Name != "" {
		where += fmt.Sprintf("%s/%s: ", e.Kind, e.Name)
	}
	if e.Field != "" {
		where += e.Field + ": "
	}
	return where + e.Reason
}

// IsInvalid reports whether err rejects a ticket because of its content.
func IsInvalid(err error) bool {
	var invalid *InvalidError
	return errors.As(err, &invalid)
}

// translate converts an error of the platform into ErrNotFound or ErrUnavailable.
func translate(err error) error {
	if errors.Is(err, cloud.ErrNotFound) {
		return ErrNotFound
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}

package ticket

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/structs"
)

// Table is the part of cloud.Table that this package uses.
type Table interface {
	Get(ctx context.Context, key string) (cloud.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]cloud.Row, error)
	Commit(ctx context.Context, txn cloud.Txn) (uint64, error)
}

// pageSize is the number of ticket rows read in one call. A ticket row may hold tens of kilobytes, so a page
// stays below the platform's limit of 16 MiB for one response.
const pageSize = 200

// numberRow is the stored form of the head row and of the id rows.
type numberRow struct {
	Number uint64 `json:"number"`
}

// decodeRow decodes the JSON value of a row. Its errors match ErrCorrupt.
func decodeRow[T any](row cloud.Row) (T, error) {
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, errors.Wrapf(ErrCorrupt, "%s: %v", row.Key, err)
	}
	return value, nil
}

// readNumber returns the number in a head or id row and the row's version, both 0 if the row is absent.
func readNumber(ctx context.Context, table Table, key string) (number, version uint64, err error) {
	row, err := table.Get(ctx, key)
	if errors.Is(err, cloud.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, translate(err)
	}
	value, err := decodeRow[numberRow](row)
	return value.Number, row.Version, err
}

// Head returns the number of the last accepted ticket, 0 if there is none.
func Head(ctx context.Context, table Table) (uint64, error) {
	number, _, err := readNumber(ctx, table, HeadKey)
	return number, err
}

// Find returns the number of the ticket that was accepted under a submission's id, or ErrNotFound. After
// ErrNotFound, a submission that is still in progress may be accepted later.
func Find(ctx context.Context, table Table, id string) (uint64, error) {
	number, version, err := readNumber(ctx, table, IDKey(id))
	if err == nil && version == 0 {
		return 0, errors.Wrap(ErrNotFound, id)
	}
	return number, err
}

// Get returns an accepted ticket or ErrNotFound.
func Get(ctx context.Context, table Table, number uint64) (structs.Ticket, error) {
	row, err := table.Get(ctx, NumberKey(number))
	if err != nil {
		return structs.Ticket{}, translate(err)
	}
	return decodeRow[structs.Ticket](row)
}

// Load returns at most limit accepted tickets with a number greater than after, ordered by number.
func Load(ctx context.Context, table Table, after uint64, limit int) ([]structs.Ticket, error) {
	var tickets []structs.Ticket
	for len(tickets) < limit {
		size := min(limit-len(tickets), pageSize)
		rows, err := table.List(ctx, NumberPrefix, NumberKey(after), size)
		if err != nil {
			return nil, translate(err)
		}
		for _, row := range rows {
			t, err := decodeRow[structs.Ticket](row)
			if err != nil {
				return nil, err
			}
			tickets = append(tickets, t)
			after = t.Number
		}
		if len(rows) < size {
			break
		}
	}
	return tickets, nil
}

// LoadObjects returns all declared objects, deleted ones included, and a version: the objects contain
// the effect of every ticket up to it, and possibly of later ones.
func LoadObjects(ctx context.Context, table Table) ([]structs.Object, uint64, error) {
	// The head is read first. Rows read later contain at least the tickets up to it.
	version, err := Head(ctx, table)
	if err != nil {
		return nil, 0, err
	}
	var objects []structs.Object
	for after := ""; ; {
		rows, err := table.List(ctx, ObjectPrefix, after, cloud.MaxListLimit)
		if err != nil {
			return nil, 0, translate(err)
		}
		for _, row := range rows {
			o, err := decodeRow[structs.Object](row)
			if err != nil {
				return nil, 0, err
			}
			objects = append(objects, o)
			after = row.Key
		}
		if len(rows) < cloud.MaxListLimit {
			return objects, version, nil
		}
	}
}

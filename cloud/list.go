package cloud

import (
	"context"

	"github.com/go-faster/errors"
)

// Lister is the part of a Table that lists rows.
type Lister interface {
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// pageShrink divides the limit of a page that was too large.
const pageShrink = 8

// ForEachRow calls fn for each row whose key has the prefix, in key order, and holds one page of them at a time. A page that is too large is
// read again in smaller ones. It returns the first error of the table or of fn.
func ForEachRow(ctx context.Context, table Lister, prefix string, fn func(Row) error) error {
	after, limit := "", MaxListLimit
	for {
		rows, err := table.List(ctx, prefix, after, limit)
		if errors.Is(err, ErrTooLarge) && limit > 1 {
			limit = max(limit/pageShrink, 1)
			continue
		}
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := fn(row); err != nil {
				return err
			}
			after = row.Key
		}
		if len(rows) < limit {
			return nil
		}
	}
}

package cloud

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// sizedTable is a table whose responses have at most a number of bytes.
type sizedTable struct {
	rows     []Row
	maxBytes int
}

func (t sizedTable) List(_ context.Context, prefix, after string, limit int) ([]Row, error) {
	var page []Row
	bytes := 0
	for _, row := range t.rows {
		if strings.HasPrefix(row.Key, prefix) && row.Key > after && len(page) < limit {
			page = append(page, row)
			bytes += len(row.Value)
		}
	}
	if bytes > t.maxBytes {
		return nil, ErrTooLarge
	}
	return page, nil
}

// Guards against large rows that keep all rows from being read, and against rows that are left out or repeated between pages.
func TestLargeRowsAreReadInSmallerPages(t *testing.T) {
	table := sizedTable{maxBytes: 100}
	for n := range 2500 {
		table.rows = append(table.rows, Row{Key: fmt.Sprintf("a/%04d", n), Value: make([]byte, n%7*10)})
	}
	table.rows = append(table.rows, Row{Key: "b/1", Value: make([]byte, 101)})
	var read []Row
	assert.NilError(t, ForEachRow(t.Context(), table, "a/", func(r Row) error { read = append(read, r); return nil }))
	assert.DeepEqual(t, read, table.rows[:2500])
	assert.ErrorIs(t, ForEachRow(t.Context(), table, "b/", func(Row) error { return nil }), ErrTooLarge)
	failed := errors.New("failed")
	assert.ErrorIs(t, ForEachRow(t.Context(), table, "a/", func(Row) error { return failed }), failed)
}

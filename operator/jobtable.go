package operator

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/structs"
)

// JobTable implements Jobs on the platform's table.
type JobTable struct {
	Table interface {
		List(ctx context.Context, prefix, after string, limit int) ([]cloud.Row, error)
	}
}

// Jobs returns the jobs of a data centre, or of all data centres if it is empty. A row that cannot be decoded makes the
// whole call fail.
func (t JobTable) Jobs(ctx context.Context, dataCentre string) ([]structs.Job, error) {
	prefix := "job/"
	if dataCentre != "" {
		prefix += dataCentre + "/"
	}
	var jobs []structs.Job
	for after := ""; ; {
		rows, err := t.Table.List(ctx, prefix, after, cloud.MaxListLimit)
		if err != nil {
			return nil, errors.Wrap(err, "read jobs")
		}
		for _, row := range rows {
			var job structs.Job
			if err := json.Unmarshal(row.Value, &job); err != nil {
				return nil, errors.Wrap(err, row.Key)
			}
			jobs = append(jobs, job)
			after = row.Key
		}
		if len(rows) < cloud.MaxListLimit {
			return jobs, nil
		}
	}
}

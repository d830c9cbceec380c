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
	Table cloud.Lister
}

// Jobs returns the jobs of a data centre, or of all data centres if it is empty. A row that cannot be decoded makes the
// whole call fail.
func (t JobTable) Jobs(ctx context.Context, dataCentre string) ([]structs.Job, error) {
	prefix := "job/"
	if dataCentre != "" {
		prefix += dataCentre + "/"
	}
	var jobs []structs.Job
	err := cloud.ForEachRow(ctx, t.Table, prefix, func(row cloud.Row) error {
		var job structs.Job
		if err := json.Unmarshal(row.Value, &job); err != nil {
			return errors.Wrap(err, row.Key)
		}
		// The payload is for the worker only.
		job.Spec.Payload = ""
		jobs = append(jobs, job)
		return nil
	})
	if err != nil {
		return nil, errors.Wrap(err, "read jobs")
	}
	return jobs, nil
}

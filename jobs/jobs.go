// Package jobs executes long-running jobs.
//
// Every entry host accepts, reports and cancels jobs through a Store, which
// writes one row of the platform's table for each job. The leader of a data
// centre runs a Scheduler, which starts the jobs as tasks of the platform's
// workers and keeps the tasks alive by renewing their leases. The row holds the
// whole state of a job, so a new leader needs nothing from the previous one.
package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/planner"
	"github.com/tamarackworks/tamarackworks/structs"
)

// Errors returned by a Store.
var (
	// ErrNotFound means that no such job exists.
	ErrNotFound = errors.New("jobs: no such job")
	// ErrUnavailable means that the table could not be reached and nothing was changed.
	ErrUnavailable = errors.New("jobs: store unavailable")
	// ErrUnknown means that the change may or may not have been made. Get with the id of the job tells later.
	ErrUnknown = errors.New("jobs: result unknown")
	// ErrMismatch means that the id belongs to a job of another caller or with another specification.
	ErrMismatch = errors.New("jobs: id is used by another job")
)

// RefusedError means that a job was not accepted and will never run.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return "jobs: refused: " + e.Reason }

// retryInterval is the pause before a read or write is repeated after an ambiguous result or a conflict.
const retryInterval = 50 * time.Millisecond

// SnapshotSource provides the planner's input for a data centre except for the jobs. Implementations must be safe
// for concurrent use.
type SnapshotSource interface {
	PlannerSnapshot() planner.Snapshot
}

// Options configure a Store.
type Options struct {
	DataCentre string
	Table      cloud.Table
	Snapshots  SnapshotSource
}

// Store accepts, reports and cancels the jobs of one data centre. It is safe for concurrent use.
type Store struct {
	opts Options
}

// NewStore returns a Store for the data centre of opts.
func NewStore(opts Options) *Store { return &Store{opts: opts} }

// Submission is a request of a caller to run a job.
type Submission struct {
	// ID identifies the job. Submitting the same ID again returns the existing job. Empty selects a random ID.
	ID     string
	Caller string
	Spec   structs.JobSpec
}

// jobPrefix is the common prefix of the keys of all job rows of a data centre.
func jobPrefix(dataCentre string) string { return "job/" + dataCentre + "/" }

// jobKey is the key of the row of a job.
func jobKey(dataCentre, id string) string { return jobPrefix(dataCentre) + id }

// locatorKey is the key of the row that names the data centre of a job. It lets every data centre find the job,
// because the load balancer may send repeated submissions and other requests for a job to any of them.
func locatorKey(id string) string { return "jobid/" + id }

// Submit accepts a job and returns it once its row is written. If the ID exists already, it returns the existing
// job, or ErrMismatch if that was submitted by another caller or with another specification. It returns a
// *RefusedError if the job can never run or exceeds the quota of its team, ErrUnavailable if the job was not
// accepted, or ErrUnknown together with the ID of the job.
func (s *Store) Submit(ctx context.Context, sub Submission) (structs.Job, error) {
	if sub.ID == "" {
		sub.ID = uuid.NewString()
	}
	job := structs.Job{
		ID: sub.ID, DataCentre: s.opts.DataCentre, Caller: sub.Caller, Spec: sub.Spec, State: structs.JobQueued,
		SubmittedUnixMS: time.Now().UnixMilli(),
	}
	if existing, _, err := s.read(ctx, sub.ID); err == nil {
		return matchSubmission(existing, job)
	} else if !errors.Is(err, ErrNotFound) {
		return structs.Job{}, err
	}
	if err := s.validate(ctx, sub.Spec); err != nil {
		return structs.Job{}, err
	}
	return s.create(ctx, job)
}

// validate returns a *RefusedError for a job that fits no host or exceeds the team's quota of unfinished jobs. The
// quota is not enforced atomically: concurrent submissions through several entry hosts can exceed it by their number.
func (s *Store) validate(ctx context.Context, spec structs.JobSpec) error {
	snapshot := s.opts.Snapshots.PlannerSnapshot()
	if spec.Cores < 0 || spec.MemoryMB < 0 || spec.Accelerators < 0 || spec.RunTimeMS < 0 {
		return &RefusedError{Reason: "sizes and run time must not be negative"}
	}
	if reason := planner.UnschedulableReason(snapshot, spec); reason != "" {
		return &RefusedError{Reason: reason}
	}
	limit := snapshot.Teams[spec.Team].MaxJobs
	if limit == 0 {
		return nil
	}
	unfinished := 0
	err := forEachJob(ctx, s.opts.Table, s.opts.DataCentre, func(j structs.Job, _ uint64) {
		if j.Spec.Team == spec.Team && !j.State.Final() {
			unfinished++
		}
	})
	if err != nil {
		return err
	}
	if unfinished >= limit {
		return &RefusedError{Reason: fmt.Sprintf("team %s has %d unfinished jobs, its quota is %d", spec.Team, unfinished, limit)}
	}
	return nil
}

// matchSubmission returns the existing job with the ID of a submitted one, or ErrMismatch if the two differ in
// caller or specification.
func matchSubmission(existing, submitted structs.Job) (structs.Job, error) {
	if existing.Caller != submitted.Caller || existing.Spec != submitted.Spec {
		return structs.Job{}, errors.Wrap(ErrMismatch, submitted.ID)
	}
	return existing, nil
}

// create writes the row and the locator of a new job. After a conflict or an ambiguous result it reads the row to
// find out whether the job exists, and repeats the write if not.
func (s *Store) create(ctx context.Context, job structs.Job) (structs.Job, error) {
	txn, err := jobTxn(jobKey(job.DataCentre, job.ID), job, 0, cloud.Precondition{Key: locatorKey(job.ID)})
	if err != nil {
		return structs.Job{}, err
	}
	txn.Ops = append(txn.Ops, cloud.Op{Key: locatorKey(job.ID), Value: []byte(job.DataCentre)})
	ambiguous := false
	for {
		_, err := s.opts.Table.Commit(ctx, txn)
		switch {
		case err == nil:
			return job, nil
		case errors.Is(err, cloud.ErrConflict), errors.Is(err, cloud.ErrAmbiguous):
			existing, _, readErr := s.read(ctx, job.ID)
			if readErr == nil {
				return matchSubmission(existing, job)
			}
			ambiguous = ambiguous || errors.Is(err, cloud.ErrAmbiguous)
		case !ambiguous:
			return structs.Job{}, translateError(err)
		}
		if !waitRetry(ctx) {
			return structs.Job{ID: job.ID}, unresolvedError(ambiguous)
		}
	}
}

// unresolvedError is the error of an operation that ran out of time. An ambiguous write may still take effect.
func unresolvedError(ambiguous bool) error {
	if ambiguous {
		return ErrUnknown
	}
	return ErrUnavailable
}

// waitRetry waits for retryInterval. It reports false if ctx ended first.
func waitRetry(ctx context.Context) bool {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Get returns the job with the given ID. It returns ErrNotFound if there is none and ErrUnavailable if the table
// cannot be read.
func (s *Store) Get(ctx context.Context, id string) (structs.Job, error) {
	job, _, err := s.read(ctx, id)
	return job, err
}

// Cancel requests the cancellation of a job and returns the job after the request. A job without a task is cancelled
// at once; otherwise the leader stops the task first. A job in a final state is returned unchanged. It returns
// ErrNotFound if there is no such job, ErrUnavailable if nothing was changed, or ErrUnknown.
func (s *Store) Cancel(ctx context.Context, id string) (structs.Job, error) {
	ambiguous := false
	for {
		job, version, err := s.read(ctx, id)
		switch {
		case errors.Is(err, ErrNotFound):
			return job, err
		case err != nil && !ambiguous:
			return job, err
		case err == nil:
			if job.State.Final() || job.CancelRequested {
				return job, nil
			}
			cancelled := withCancelRequest(job)
			txn, err := jobTxn(jobKey(job.DataCentre, id), cancelled, version)
			if err != nil {
				return job, err
			}
			_, err = s.opts.Table.Commit(ctx, txn)
			switch {
			case err == nil:
				return cancelled, nil
			case errors.Is(err, cloud.ErrAmbiguous):
				ambiguous = true
			case !errors.Is(err, cloud.ErrConflict) && !ambiguous:
				return job, translateError(err)
			}
		}
		if !waitRetry(ctx) {
			return job, unresolvedError(ambiguous)
		}
	}
}

// withCancelRequest returns the job with a cancellation request. A job without a task becomes cancelled at once.
func withCancelRequest(job structs.Job) structs.Job {
	job.CancelRequested = true
	if job.TaskID != "" {
		return job
	}
	job.State, job.FinishedUnixMS = structs.JobCancelled, time.Now().UnixMilli()
	job.Reason = "cancelled while it waited"
	if job.Starts == 0 {
		job.Reason = "cancelled before it started"
	}
	return job
}

// read returns a job and the version of its row. It looks in its own data centre first and then in the one that the
// locator row names.
func (s *Store) read(ctx context.Context, id string) (structs.Job, uint64, error) {
	row, err := s.opts.Table.Get(ctx, jobKey(s.opts.DataCentre, id))
	if errors.Is(err, cloud.ErrNotFound) {
		var locator cloud.Row
		if locator, err = s.opts.Table.Get(ctx, locatorKey(id)); err == nil {
			row, err = s.opts.Table.Get(ctx, jobKey(string(locator.Value), id))
		}
	}
	if err != nil {
		return structs.Job{}, 0, translateError(err)
	}
	var job structs.Job
	if err := json.Unmarshal(row.Value, &job); err != nil {
		return structs.Job{}, 0, errors.Wrapf(err, "decode row %s", row.Key)
	}
	return job, row.Version, nil
}

// forEachJob calls fn for each job of a data centre with the version of its row.
func forEachJob(ctx context.Context, table cloud.Table, dataCentre string, fn func(job structs.Job, version uint64)) error {
	var decodeErr error
	err := cloud.ForEachRow(ctx, table, jobPrefix(dataCentre), func(row cloud.Row) error {
		var job structs.Job
		if err := json.Unmarshal(row.Value, &job); err != nil {
			decodeErr = errors.Wrapf(err, "decode row %s", row.Key)
			return decodeErr
		}
		fn(job, row.Version)
		return nil
	})
	if err == nil || decodeErr != nil {
		return decodeErr
	}
	return translateError(err)
}

// jobTxn returns a transaction that writes a job if its row still has the given version and the extra
// preconditions hold.
func jobTxn(key string, job structs.Job, version uint64, extra ...cloud.Precondition) (cloud.Txn, error) {
	value, err := json.Marshal(job)
	if err != nil {
		return cloud.Txn{}, errors.Wrapf(err, "encode job %s", job.ID)
	}
	return cloud.Txn{
		Preconditions: append([]cloud.Precondition{{Key: key, Version: version}}, extra...),
		Ops:           []cloud.Op{{Key: key, Value: value}},
	}, nil
}

// translateError maps an error of the platform to an error of this package.
func translateError(err error) error {
	switch {
	case errors.Is(err, cloud.ErrNotFound):
		return ErrNotFound
	case errors.Is(err, cloud.ErrAmbiguous):
		return ErrUnknown
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}

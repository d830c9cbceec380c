package claims

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
)

// sweepPageSize is the number of rows read in one step of a sweep. A row with a response of the largest size takes
// about 116 KiB on the wire, and a response of the platform is limited to 16 MiB.
const sweepPageSize = 64

// SweepResult is the result of one step of a sweep.
type SweepResult struct {
	// Scanned is the number of rows read, and Deleted the number of rows deleted.
	Scanned int
	Deleted int
	// Wrapped means that the step reached the last row, so that the next one starts from the first.
	Wrapped bool
}

// Sweep makes one step of a sweep: it reads the next sweepPageSize rows and deletes the expired ones. One process
// of the fleet should call it regularly.
func (s *Store) Sweep(ctx context.Context) (SweepResult, error) {
	s.mu.Lock()
	after := s.sweepCursor
	s.mu.Unlock()
	rows, err := s.opts.Table.List(ctx, Prefix, after, sweepPageSize)
	if err != nil {
		return SweepResult{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	result := SweepResult{Scanned: len(rows), Wrapped: len(rows) < sweepPageSize}
	if result.Deleted, err = s.deleteRows(ctx, s.expiredRows(rows)); err != nil {
		return result, errors.Wrap(ErrUnavailable, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweepCursor = ""
	if !result.Wrapped {
		s.sweepCursor = rows[len(rows)-1].Key
	}
	return result, nil
}

// RunSweep makes a step of the sweep at each interval until ctx ends. It skips the step if allowed returns false,
// since one process of the fleet is enough. A step that fails is repeated at the next interval.
func (s *Store) RunSweep(ctx context.Context, interval time.Duration, allowed func() bool) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !allowed() {
			continue
		}
		if result, err := s.Sweep(ctx); err != nil {
			s.opts.Log.WithError(err).Debug("sweep of expired claims failed")
		} else if result.Deleted > 0 {
			s.opts.Log.WithField("deleted", result.Deleted).Debug("deleted expired claims")
		}
	}
}

// expiredRows returns the rows whose claim and outcome are both older than the retention. Rows that cannot be
// decoded are kept.
func (s *Store) expiredRows(rows []cloud.Row) []cloud.Row {
	cutoff := s.opts.Now().Add(-s.opts.Retention).UnixMilli()
	var expired []cloud.Row
	for _, row := range rows {
		record, err := decode(row)
		if err == nil && max(record.ClaimedUnixMS, record.FinishedUnixMS) < cutoff {
			expired = append(expired, row)
		}
	}
	return expired
}

// deleteRows deletes the rows that were not changed since they were read, and returns their number. It first
// deletes all in one transaction; after a conflict it deletes them one by one.
func (s *Store) deleteRows(ctx context.Context, rows []cloud.Row) (int, error) {
	if len(rows) == 0 {
		return 0, nil
	}
	var txn cloud.Txn
	for _, row := range rows {
		txn.Preconditions = append(txn.Preconditions, cloud.Precondition{Key: row.Key, Version: row.Version})
		txn.Ops = append(txn.Ops, cloud.Op{Key: row.Key, Delete: true})
	}
	_, err := s.opts.Table.Commit(ctx, txn)
	switch {
	case err == nil:
		return len(rows), nil
	case !errors.Is(err, cloud.ErrConflict):
		return 0, err
	case len(rows) == 1:
		return 0, nil
	}
	deleted := 0
	for _, row := range rows {
		n, err := s.deleteRows(ctx, []cloud.Row{row})
		if err != nil {
			return deleted, err
		}
		deleted += n
	}
	return deleted, nil
}

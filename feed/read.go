package feed

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/rowstore"
)

const (
	// maxPageTries is the maximum number of attempts to read a page. The time-out doubles with each one, because the last response
	// may have been lost, or may take long on a host with little processor time.
	maxPageTries = 4
	// maxPageRows is the maximum number of rows of a page.
	maxPageRows = 500
)

// ReadAll reads all rows of some partitions of a table, several of them at the same time; nil means the partition without a
// name. It returns the rows and a version: changes up to it are included, and later ones may be.
func ReadAll(ctx context.Context, store Store, table string, partitions []string) ([]rowstore.Row, uint64, error) {
	if partitions == nil {
		partitions = []string{""}
	}
	type result struct {
		rows    []rowstore.Row
		version uint64
	}
	results := make([]result, len(partitions))
	err := inParallel(ctx, len(partitions), func(ctx context.Context, i int, onProgress func()) (err error) {
		results[i].rows, results[i].version, err = readPartition(ctx, store, table, partitions[i], onProgress)
		return err
	})
	if err != nil {
		return nil, 0, err
	}
	var rows []rowstore.Row
	version := results[0].version
	for _, r := range results {
		rows = append(rows, r.rows...)
		version = min(version, r.version)
	}
	return rows, version, nil
}

const (
	// initialParallelReads is the number of partitions that are read at the same time while responses arrive, so that they
	// share the link with few others. While nothing arrives, because the store is slow, the number doubles each
	// parallelismInterval up to maxParallelReads.
	initialParallelReads = 6
	maxParallelReads     = 64
	parallelismInterval  = 100 * time.Millisecond
)

// inParallel runs the reads 0 to n-1 and returns their first error, which ends the others. The reads report the parts of responses that
// arrive.
func inParallel(ctx context.Context, n int, read func(ctx context.Context, i int, onProgress func()) error) error {
	group, ctx := errgroup.WithContext(ctx)
	var next, unfinished atomic.Int64
	var progressed atomic.Bool
	unfinished.Store(int64(n))
	allRead := make(chan struct{})
	worker := func() error {
		for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
			if err := read(ctx, i, func() { progressed.Store(true) }); err != nil {
				return err
			}
			progressed.Store(true)
			if unfinished.Add(-1) == 0 {
				close(allRead)
			}
		}
		return nil
	}
	workers := min(n, initialParallelReads)
	for range workers {
		group.Go(worker)
	}
	group.Go(func() error {
		ticker := time.NewTicker(parallelismInterval)
		defer ticker.Stop()
		for workers < min(n, maxParallelReads) {
			select {
			case <-ticker.C:
			case <-allRead:
				return nil
			case <-ctx.Done():
				return nil
			}
			if progressed.Swap(false) {
				continue
			}
			for range min(workers, maxParallelReads-workers) {
				workers++
				group.Go(worker)
			}
		}
		return nil
	})
	return group.Wait()
}

// readPartition reads all rows of a partition, page by page, and returns the version of the first page.
func readPartition(ctx context.Context, store Store, table, partition string, onProgress func()) ([]rowstore.Row, uint64, error) {
	var rows []rowstore.Row
	var version uint64
	from := ""
	for {
		page, err := readPage(ctx, store, rowstore.Range{Table: table, Partition: partition, From: from, Limit: maxPageRows}, onProgress)
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, version, nil
		}
		// The smallest name after the last one, in byte order.
		from = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
}

// readPage reads one page. It retries a failed read unless the call is invalid.
func readPage(ctx context.Context, store Store, r rowstore.Range, onProgress func()) (page rowstore.Page, err error) {
	for n := range maxPageTries {
		callCtx, cancel := rowstore.WithSilence(ctx, rowstore.Silence{First: callTimeout << n, Between: partTimeout, OnProgress: onProgress})
		page, err = store.Read(callCtx, r)
		cancel()
		if err == nil || errors.Is(err, rowstore.ErrInvalid) || !elapsed.Sleep(ctx, retryPause) {
			return page, err
		}
	}
	return page, err
}

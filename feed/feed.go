// Package feed follows the changes of a table of the row store and reads the
// whole table again when the store no longer keeps them.
package feed

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/rowstore"
)

const (
	// DefaultWait is how long the store waits for a change; a connection that went silent is noticed after it.
	DefaultWait = time.Second
	// callTimeout is added to the wait; a slow store takes 0.4 s.
	callTimeout = time.Second
	// probeEvery spaces reads after one that failed, probeTimeout bounds each of them. They run beside each other: calls that
	// began while the store was silent are never answered, and a slow store takes 0.7 s.
	probeEvery   = 300 * time.Millisecond
	probeTimeout = 1500 * time.Millisecond
	// readTries bounds the attempts to read a page. Each has twice the time of the one before: the answer may have been
	// lost, or may be large for a host with little processor time.
	readTries = 4
	// retryPause spaces calls after a failure.
	retryPause = 100 * time.Millisecond
	// pageLimit is the most rows of one answer of the store.
	pageLimit = 500
)

// Store is what a feed reads from.
type Store interface {
	Read(ctx context.Context, r rowstore.Range) (rowstore.Page, error)
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error)
}

// Batch is a group of rows. A full batch holds all rows of the table; rows that it lacks do not exist.
type Batch struct {
	Table string
	Rows  []rowstore.Row
	Full  bool
}

// Options configure Follow.
type Options struct {
	Store Store
	Table string
	// Parts are the parts of the table that full reads cover; nil means the part without a name.
	Parts   []string
	Wait    time.Duration
	Log     log.Interface
	Deliver func(Batch)
}

// Follow delivers the whole table and then its changes in order, until ctx ends.
func Follow(ctx context.Context, o Options) {
	if o.Wait == 0 {
		o.Wait = DefaultWait
	}
	var after uint64
	full, down := true, false
	for ctx.Err() == nil {
		batch, next, err := step(ctx, o, full, down, after)
		switch {
		case err == nil:
			if down {
				down = false
				o.Log.WithFields(log.Fields{"table": o.Table, "version": next}).Info("feed regained")
			}
			full, after = false, next
			if batch.Full || len(batch.Rows) > 0 {
				o.Deliver(batch)
			}
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, rowstore.ErrHistoryGone):
			o.Log.WithFields(log.Fields{"table": o.Table, "version": after}).Info("history is gone, reading the table again")
			full = true
			continue
		case !down:
			down = true
			o.Log.WithError(err).WithFields(log.Fields{"table": o.Table, "version": after}).Warn("feed lost")
		}
		elapsed.Sleep(ctx, retryPause)
	}
}

func step(ctx context.Context, o Options, full, down bool, after uint64) (Batch, uint64, error) {
	if full {
		rows, version, err := ReadAll(ctx, o.Store, o.Table, o.Parts)
		return Batch{Table: o.Table, Rows: rows, Full: true}, version, err
	}
	read := changes
	if down {
		read = regain
	}
	page, err := read(ctx, o, after)
	return Batch{Table: o.Table, Rows: page.Rows}, max(page.Version, after), err
}

// changes waits for changes after a version.
func changes(ctx context.Context, o Options, after uint64) (rowstore.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Wait+callTimeout)
	defer cancel()
	return o.Store.Changes(ctx, o.Table, after, o.Wait)
}

// regain reads the changes after a version until the store answers.
func regain(ctx context.Context, o Options, after uint64) (rowstore.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		page rowstore.Page
		err  error
	}
	answers := make(chan answer)
	probe := func() {
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		page, err := o.Store.Changes(callCtx, o.Table, after, 0)
		select {
		case answers <- answer{page, err}:
		case <-ctx.Done():
		}
	}
	next := time.NewTicker(probeEvery)
	defer next.Stop()
	go probe()
	for {
		select {
		case a := <-answers:
			if a.err == nil || errors.Is(a.err, rowstore.ErrHistoryGone) {
				return a.page, a.err
			}
		case <-next.C:
			go probe()
		case <-ctx.Done():
			return rowstore.Page{}, ctx.Err()
		}
	}
}

// ReadAll reads all rows of some parts of a table at the same time; nil parts mean the part without a name. Changes
// after the returned version are not included for sure; some of them may be.
func ReadAll(ctx context.Context, store Store, table string, parts []string) ([]rowstore.Row, uint64, error) {
	if parts == nil {
		parts = []string{""}
	}
	type result struct {
		rows    []rowstore.Row
		version uint64
	}
	results := make([]result, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxReads)
	for i, part := range parts {
		group.Go(func() (err error) {
			results[i].rows, results[i].version, err = readPart(ctx, store, table, part)
			return err
		})
	}
	if err := group.Wait(); err != nil {
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

// maxReads bounds the parts that are read at the same time.
const maxReads = 64

func readPart(ctx context.Context, store Store, table, part string) ([]rowstore.Row, uint64, error) {
	var rows []rowstore.Row
	var version uint64
	from := ""
	for {
		page, err := readPage(ctx, store, rowstore.Range{Table: table, Part: part, From: from, Limit: pageLimit})
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
		// The next key in byte order.
		from = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
}

func readPage(ctx context.Context, store Store, r rowstore.Range) (page rowstore.Page, err error) {
	for n := range readTries {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout<<n)
		page, err = store.Read(callCtx, r)
		cancel()
		if err == nil || errors.Is(err, rowstore.ErrInvalid) || !elapsed.Sleep(ctx, retryPause) {
			return page, err
		}
	}
	return page, err
}

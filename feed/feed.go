// Package feed follows the changes of a table of the row store. It reads the
// whole table at the start, and again when the store no longer keeps the
// changes since the last version read.
package feed

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/rowstore"
)

const (
	// DefaultWait is how long the store waits for a change before it responds. It bounds how long a dead connection goes
	// unnoticed, together with callTimeout.
	DefaultWait = time.Second
	// callTimeout bounds the time to the first part of a response, in addition to the wait of the call; a slow store takes 0.4 s.
	callTimeout = time.Second
	// partTimeout bounds the time between two parts of a response. On a narrow link, the responses of a new owner share it.
	partTimeout = 2 * time.Second
	// probeInterval is the time between the probes that follow a failed read, until one receives a response; probeTimeout bounds the
	// time to its first part. Probes overlap: those sent while the store did not respond never get a response, and a slow store
	// takes 0.7 s.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 1500 * time.Millisecond
	// probesPerLogLine is the number of failed probes for which one line is logged.
	probesPerLogLine = 10
	// retryPause is the pause after a failed call.
	retryPause = 100 * time.Millisecond
)

// Store is the part of the row store's API that feeds use.
type Store interface {
	Read(ctx context.Context, r rowstore.Range) (rowstore.Page, error)
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error)
}

// Batch holds changed rows of a table, none if nothing has changed. A full batch holds all rows of the table; rows missing from it do
// not exist. It may have rows that were deleted after Version, because partitions are read at different versions.
type Batch struct {
	Table string
	Rows  []rowstore.Row
	Full  bool
	// Version is the version up to which all changes are included. That of a later batch is not lower.
	Version uint64
}

// Options configure Follow.
type Options struct {
	Store Store
	Table string
	// Partitions are the partitions of the table that full reads cover; nil means the one without a name.
	Partitions []string
	// Wait is how long the store waits for a change; 0 means DefaultWait.
	Wait time.Duration
	Log  log.Interface
	// Deliver receives the batches one after another, one for each successful read.
	Deliver func(Batch)
	// Confirm is called after each successful read, once its rows are delivered: all changes before asOf, on the clock of Now,
	// have been. It may be nil.
	Confirm func(asOf time.Duration)
	// Now is the clock of Confirm.
	Now func() time.Duration
}

// Follow delivers the whole table and then its changes in order, until ctx ends. It delivers the whole table again when the
// store no longer keeps the changes.
func Follow(ctx context.Context, o Options) {
	if o.Wait == 0 {
		o.Wait = DefaultWait
	}
	var after uint64
	full, lost := true, false
	var lostAt time.Time
	for ctx.Err() == nil {
		asOf := o.now()
		batch, err := readNext(ctx, o, full, lost, after)
		switch {
		case err == nil:
			if lost {
				lost = false
				o.Log.WithFields(log.Fields{
					"table": o.Table, "version": batch.Version, "after": after, "rows": len(batch.Rows), "lost_ms": time.Since(lostAt).Milliseconds(),
				}).Info("feed regained")
			}
			full, after = false, batch.Version
			o.Deliver(batch)
			if o.Confirm != nil {
				o.Confirm(asOf)
			}
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, rowstore.ErrHistoryGone):
			o.Log.WithFields(log.Fields{"table": o.Table, "version": after}).Info("history is gone, reading the table again")
			full = true
			continue
		case !lost:
			lost, lostAt = true, time.Now()
			o.Log.WithError(err).WithFields(log.Fields{"table": o.Table, "version": after}).Warn("feed lost")
		}
		elapsed.Sleep(ctx, retryPause)
	}
}

// now returns the time on the clock of Options.Now, or 0 without one.
func (o *Options) now() time.Duration {
	if o.Now == nil {
		return 0
	}
	return o.Now()
}

// readNext reads the next batch, which is all rows if full is set, else the changes after a version.
// lost is set if the last read failed.
func readNext(ctx context.Context, o Options, full, lost bool, after uint64) (Batch, error) {
	if full {
		began := time.Now()
		rows, version, err := ReadAll(ctx, o.Store, o.Table, o.Partitions)
		if err == nil && after > 0 {
			o.Log.WithFields(log.Fields{
				"table": o.Table, "version": version, "after": after, "rows": len(rows), "took_ms": time.Since(began).Milliseconds(),
			}).Info("table read again")
		}
		return Batch{Table: o.Table, Rows: rows, Full: true, Version: version}, err
	}
	read := waitForChanges
	if lost {
		read = probeUntilResponse
	}
	page, err := read(ctx, o, after)
	return Batch{Table: o.Table, Rows: page.Rows, Version: max(page.Version, after)}, err
}

// waitForChanges reads the changes after a version; the store waits for one if there is none.
func waitForChanges(ctx context.Context, o Options, after uint64) (rowstore.Page, error) {
	ctx, cancel := rowstore.WithSilence(ctx, rowstore.Silence{First: o.Wait + callTimeout, Between: partTimeout})
	defer cancel()
	return o.Store.Changes(ctx, o.Table, after, o.Wait)
}

// probeUntilResponse reads the changes after a version, without a wait, until the store responds. Once a probe receives a response,
// the others end and no further one is sent while more of it arrives: each of them would ask for the same rows again.
func probeUntilResponse(ctx context.Context, o Options, after uint64) (rowstore.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type response struct {
		probe int
		page  rowstore.Page
		err   error
	}
	responses, receiving := make(chan response), make(chan int)
	cancels := make(map[int]context.CancelFunc)
	sent := 0
	probe := func() {
		sent++
		n := sent
		var first sync.Once
		probeCtx, cancel := rowstore.WithSilence(ctx, rowstore.Silence{First: probeTimeout, Between: partTimeout, OnProgress: func() {
			first.Do(func() {
				select {
				case receiving <- n:
				case <-ctx.Done():
				}
			})
		}})
		cancels[n] = cancel
		go func() {
			page, err := o.Store.Changes(probeCtx, o.Table, after, 0)
			select {
			case responses <- response{n, page, err}:
			case <-ctx.Done():
			}
		}()
	}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	failed, receivingProbe := 0, 0
	probe()
	for {
		select {
		case n := <-receiving:
			if cancels[n] == nil {
				// Its response is given up in favour of an earlier one.
				continue
			}
			receivingProbe = n
			for other, cancel := range cancels {
				if other != n {
					cancel()
					delete(cancels, other)
				}
			}
		case r := <-responses:
			if r.err == nil || errors.Is(r.err, rowstore.ErrHistoryGone) {
				return r.page, r.err
			}
			if cancels[r.probe] == nil {
				continue
			}
			cancels[r.probe]()
			delete(cancels, r.probe)
			if r.probe == receivingProbe {
				receivingProbe = 0
			}
			if failed++; failed%probesPerLogLine == 0 {
				o.Log.WithError(r.err).WithFields(log.Fields{"table": o.Table, "version": after, "probes": failed}).Warn("feed is still lost")
			}
		case <-ticker.C:
			if receivingProbe == 0 {
				probe()
			}
		case <-ctx.Done():
			return rowstore.Page{}, ctx.Err()
		}
	}
}

package coordinator

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/tamarackworks/tamarackworks/elapsed"
	"github.com/tamarackworks/tamarackworks/feed"
	"github.com/tamarackworks/tamarackworks/frontend"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/scheduler"
	"github.com/tamarackworks/tamarackworks/workload"
)

// load reads what earlier owners stored, and the tables that the others write. It repeats until it succeeds.
func (l *lead) load() error {
	for {
		err := l.tryLoad()
		if err == nil {
			return nil
		}
		l.log.WithError(err).Warn("loading the state failed")
		if !elapsed.Sleep(l.ctx, loadRetry) {
			return l.ctx.Err()
		}
	}
}

// ownTables are the tables that only owners write.
type ownTables struct{ records, control, waves, roster []rowstore.Row }

// readOwnTables reads them at the same time, because a slow store takes 0.4 s for each answer.
func (l *lead) readOwnTables() (t ownTables, err error) {
	group, ctx := errgroup.WithContext(l.ctx)
	for table, rows := range map[string]*[]rowstore.Row{
		frontend.RecordTable: &t.records, controlTable: &t.control,
		l.opts.Directory.StatusTable(): &t.waves, rosterTable: &t.roster,
	} {
		group.Go(func() (err error) {
			*rows, _, err = feed.ReadAll(ctx, l.opts.Store, table, nil)
			return err
		})
	}
	return t, group.Wait()
}

func (l *lead) tryLoad() error {
	tables, err := l.readOwnTables()
	if err != nil {
		return err
	}
	for _, r := range tables.records {
		record, err := scheduler.DecodeRecord(r.Value)
		l.noteDamage(r, err)
		l.records[r.Name] = storedRecord{record, r.Version}
	}
	for _, r := range tables.roster {
		var entry rosterEntry
		if err := json.Unmarshal(r.Value, &entry); err != nil {
			l.noteDamage(r, err)
			entry = rosterEntry{}
		}
		entry.inherited = true
		l.roster[r.Name] = entry
		l.rows.loaded(r)
	}
	for _, r := range tables.waves {
		l.rows.loaded(r)
	}
	for _, r := range tables.control {
		l.loadControl(r)
		l.rows.loaded(r)
	}
	return l.loadTables()
}

// loadControl reads a row of the machines. Without the orders of the former owner all machines may just have been ordered.
func (l *lead) loadControl(r rowstore.Row) {
	switch r.Key {
	case progressKey:
		l.noteDamage(r, json.Unmarshal(r.Value, &l.machines.progress))
	case ordersKey:
		err := l.machines.inherit(r.Value, l.started, l.opts.WallMS(), l.opts.MachineDelay)
		l.noteDamage(r, err)
		if err != nil {
			l.machines.ordersFrom = max(l.machines.ordersFrom, l.started+l.opts.MachineDelay+inheritMargin)
		}
	}
}

// noteDamage logs that a row of the owner cannot be read. Each row is read by itself, so that a damaged one does not keep
// all jobs from running.
func (l *lead) noteDamage(r rowstore.Row, err error) {
	if err != nil {
		l.log.WithError(err).WithFields(log.Fields{"table": r.Table, "row": r.Name, "version": r.Version}).Error("row of the owner cannot be read")
	}
}

// follow starts the feed of a table and returns a channel with its first batch, which holds the whole table. Later ones
// are events.
func (l *lead) follow(table string, parts []string) <-chan feed.Batch {
	first := make(chan feed.Batch, 1)
	initial := true
	go feed.Follow(l.ctx, feed.Options{
		Store: l.opts.Store, Table: table, Parts: parts, Log: l.log,
		Deliver: func(b feed.Batch) {
			if initial {
				initial = false
				first <- b
				return
			}
			l.emit(b)
		},
	})
	return first
}

// loadTables applies the whole tables that others write, before any decision is made, and settles the executors of the
// stored roster: only they can run tasks for an earlier owner.
func (l *lead) loadTables() error {
	inherited := maps.Clone(l.roster)
	d := l.opts.Directory
	// Jobs need the configuration, and know their cancellation when they are added.
	for _, first := range []<-chan feed.Batch{
		l.follow(d.OperatorTable(), nil), l.follow(frontend.CancelTable, frontend.SubmitParts()),
		l.follow(frontend.JobTable, frontend.SubmitParts()), l.follow(d.ExecutorTable(), nil),
	} {
		select {
		case b := <-first:
			l.applyBatch(b, true)
		case <-l.ctx.Done():
			return l.ctx.Err()
		}
	}
	// Before the lines about hundreds of sessions, of which the bounded log may drop some.
	l.log.WithFields(log.Fields{
		"records": len(l.records), "executors": len(l.roster), "inherited": len(inherited),
		"took_ms": (l.opts.Now() - l.started).Milliseconds(),
	}).Info("state loaded")
	l.settle(inherited)
	l.records = nil
	return nil
}

// settle opens sessions with the executors that may run tasks for an earlier owner.
func (l *lead) settle(inherited map[string]rosterEntry) {
	now := l.opts.Now()
	for id, entry := range inherited {
		var tasks []workload.TaskID
		if entry.Lost {
			tasks = append([]workload.TaskID{}, entry.Tasks...)
			l.core.Suspend(now, id, true)
		}
		l.core.Settle(now, id, entry.Service, tasks)
		if entry.Address != "" {
			l.openSession(id, entry)
			continue
		}
		// If the executor is registered, the roster has its address again, and its session settles it.
		l.awaitLapse(id, entry.inheritedLeases())
		if l.roster[id].Address == "" {
			delete(l.roster, id)
			l.rows.remove(rosterKey(id))
		}
	}
}

// inheritedLapse means that the leases of an executor have lapsed whose entry of the roster could not be read.
type inheritedLapse struct{ executor string }

func (l *lead) awaitLapse(id string, d time.Duration) {
	time.AfterFunc(d, func() { l.emit(inheritedLapse{id}) })
}

// settleLapsed notes that the leases of an executor without a session have lapsed, once that is certain.
func (l *lead) settleLapsed(now time.Duration, id string) {
	switch {
	case l.sessions[id] != nil:
	case !l.opts.Valid():
		l.awaitLapse(id, tickInterval)
	default:
		l.core.Lapse(now, id)
	}
}

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
	"github.com/tamarackworks/tamarackworks/session"
	"github.com/tamarackworks/tamarackworks/workload"
)

// load reads the tables that owners write and those that other processes write. It retries until it succeeds or the term
// ends.
func (l *leadership) load() error {
	tables := l.followTables()
	for {
		err := l.tryLoad(tables)
		if err == nil {
			return nil
		}
		l.log.WithError(err).Warn("loading the state failed")
		if !elapsed.Sleep(l.ctx, loadRetryDelay) {
			return l.ctx.Err()
		}
	}
}

// ownerTables holds the rows of the tables that only owners write.
type ownerTables struct{ jobRecords, control, waveStatuses, executorRecords []rowstore.Row }

// readOwnerTables reads the tables concurrently, because a slow store takes 0.4 s for each response.
func (l *leadership) readOwnerTables() (t ownerTables, err error) {
	group, ctx := errgroup.WithContext(l.ctx)
	for table, rows := range map[string]*[]rowstore.Row{
		frontend.RecordTable: &t.jobRecords, controlTable: &t.control,
		l.opts.Directory.StatusTable(): &t.waveStatuses, executorRecordTable: &t.executorRecords,
	} {
		group.Go(func() (err error) {
			*rows, _, err = feed.ReadAll(ctx, l.opts.Store, table, nil)
			return err
		})
	}
	return t, group.Wait()
}

// tryLoad makes one attempt to load the state. followed yields the first batches of the tables that other processes write.
func (l *leadership) tryLoad(followed []<-chan feed.Batch) error {
	tables, err := l.readOwnerTables()
	if err != nil {
		return err
	}
	for _, r := range tables.jobRecords {
		record, err := scheduler.DecodeRecord(r.Value)
		l.logIfUnreadable(r, err)
		l.jobRecords[r.Name] = storedJobRecord{record, r.Version}
	}
	for _, r := range tables.executorRecords {
		var executor executorRecord
		if err := json.Unmarshal(r.Value, &executor); err != nil {
			l.logIfUnreadable(r, err)
			executor = executorRecord{}
		}
		executor.inherited = true
		l.executorRecords[r.Name] = executor
		l.rows.recordVersion(r)
	}
	for _, r := range tables.waveStatuses {
		l.rows.recordVersion(r)
	}
	for _, r := range tables.control {
		l.loadControl(r)
		l.rows.recordVersion(r)
	}
	return l.loadTables(followed)
}

// loadControl loads a row of controlTable. If the orders of the former owner cannot be decoded, any machine may just have
// been ordered, so all orders are delayed.
func (l *leadership) loadControl(r rowstore.Row) {
	switch r.Key {
	case waveProgressKey:
		l.logIfUnreadable(r, json.Unmarshal(r.Value, &l.machines.progress))
	case routeHistoryKey:
		history, err := scheduler.DecodeRouteHistory(r.Value)
		l.logIfUnreadable(r, err)
		l.core.InheritRouteHistory(history)
		l.storedRoutes = history.Observed
	case recentOrdersKey:
		err := l.machines.inheritOrders(r.Value, l.startedAt, l.opts.WallMS(), l.opts.MachineDelay)
		l.logIfUnreadable(r, err)
		if err != nil {
			l.machines.ordersAllowedAt = max(l.machines.ordersAllowedAt, l.startedAt+l.opts.MachineDelay+inheritedOrderMargin)
		}
	}
}

// logIfUnreadable logs an error from decoding a row that only owners write. Rows are decoded one by one, so that a damaged
// row does not keep all jobs from running.
func (l *leadership) logIfUnreadable(r rowstore.Row, err error) {
	if err != nil {
		l.log.WithError(err).WithFields(log.Fields{"table": r.Table, "row": r.Name, "version": r.Version}).Error("row of the owner cannot be read")
	}
}

// followTable starts the feed of a table. The returned channel receives the first batch, which holds the whole table; later
// batches are emitted as events.
func (l *leadership) followTable(table string, partitions []string) <-chan feed.Batch {
	first := make(chan feed.Batch, 1)
	initial := true
	go feed.Follow(l.ctx, feed.Options{
		Store: l.opts.Store, Table: table, Partitions: partitions, Log: l.log,
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

// followTables starts the feeds of the tables that other processes write, beside the reads of the tables of owners: a slow store takes
// half a second for either. No former owner deletes a record any more, so a job whose row is read has the record that it had.
// The order is that in which the tables are applied: jobs need the configuration, and cancellations must be known before the jobs are
// added.
func (l *leadership) followTables() []<-chan feed.Batch {
	d := l.opts.Directory
	return []<-chan feed.Batch{
		l.followTable(d.OperatorTable(), nil), l.followTable(frontend.CancelTable, frontend.SubmitPartitions()),
		l.followTable(frontend.JobTable, frontend.SubmitPartitions()), l.followTable(d.ExecutorTable(), nil),
	}
}

// loadTables applies the tables that other processes write, completely and before any decision is made. Then it resumes
// the executors with stored records: only they can run tasks for an earlier owner.
func (l *leadership) loadTables(followed []<-chan feed.Batch) error {
	inherited := maps.Clone(l.executorRecords)
	submitted := make(map[string]bool)
	for _, first := range followed {
		select {
		case b := <-first:
			l.applyBatch(b, true)
			if b.Table == frontend.JobTable {
				for _, r := range b.Rows {
					submitted[r.Name] = true
				}
			}
		case <-l.ctx.Done():
			return l.ctx.Err()
		}
	}
	// Logged before the sessions, which may take hundreds of lines, because the bounded log may drop some of those.
	l.opts.Metrics.countLoadedJobs(l.loadedJobs)
	l.log.WithFields(log.Fields{
		"records": len(l.jobRecords), "executors": len(l.executorRecords), "inherited": len(inherited),
		"accepted_after": l.term.AcceptedAfter, "inherited_jobs": l.loadedJobs[originInherited], "unstarted_jobs": l.loadedJobs[originUnstarted],
		"took_ms": (l.opts.Now() - l.startedAt).Milliseconds(),
	}).Info("state loaded")
	l.resumeInherited(inherited)
	l.removeOrphanedRecords(submitted)
	l.jobRecords = nil
	return nil
}

// resumeInherited tells the core which executors may run tasks for an earlier owner, and opens sessions with them. Without
// an address, it waits for their leases to expire.
func (l *leadership) resumeInherited(inherited map[string]executorRecord) {
	now := l.opts.Now()
	for id, record := range inherited {
		var tasks []workload.TaskID
		if record.Lost {
			tasks = append([]workload.TaskID{}, record.Tasks...)
			l.core.Suspend(now, id, true)
		}
		l.core.AddUnreconciled(now, id, record.Service, tasks)
		if record.Address != "" {
			l.openSession(id, record, !record.Lost)
			continue
		}
		// If the executor is registered, its record has an address again, and its session reports what it runs.
		l.scheduleLeaseExpiry(id, session.MaxLeaseDuration(record.maxInheritedLease()))
		if l.executorRecords[id].Address == "" {
			delete(l.executorRecords, id)
			l.rows.remove(executorRecordKey(id))
		}
	}
}

// inheritedLeasesExpired is the event that the leases on an executor have expired whose stored record could not be decoded.
type inheritedLeasesExpired struct{ executor string }

// scheduleLeaseExpiry emits inheritedLeasesExpired after d.
func (l *leadership) scheduleLeaseExpiry(id string, d time.Duration) {
	time.AfterFunc(d, func() { l.emit(inheritedLeasesExpired{id}) })
}

// handleInheritedLeasesExpired tells the core that the leases on an executor have expired, unless a session with it exists
// by now. It checks again later while the ownership is not confirmed, because a newer owner may extend the leases.
func (l *leadership) handleInheritedLeasesExpired(now time.Duration, id string) {
	switch {
	case l.sessions[id] != nil:
	case !l.opts.OwnsJobs():
		l.scheduleLeaseExpiry(id, tickInterval)
	default:
		l.core.ExpireLeases(now, id)
	}
}

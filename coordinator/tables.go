package coordinator

import (
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/tamarackworks/tamarackworks/feed"
	"github.com/tamarackworks/tamarackworks/frontend"
	"github.com/tamarackworks/tamarackworks/ownership"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/session"
	"github.com/tamarackworks/tamarackworks/workload"
)

// applyBatch applies rows that other processes wrote. loading is set for the first batch, which holds the whole table.
func (l *leadership) applyBatch(b feed.Batch, loading bool) {
	now := l.opts.Now()
	switch b.Table {
	case l.opts.Directory.OperatorTable():
		l.applyOperator(now, b)
	case l.opts.Directory.ExecutorTable():
		l.applyExecutors(now, b)
	case frontend.CancelTable:
		for _, r := range l.deletions.filter(b) {
			if !r.Deleted {
				l.core.Cancel(now, r.Name)
			}
		}
	case frontend.JobTable:
		l.applyJobs(now, l.deletions.filter(b), loading)
	}
}

// applyJobs adds the jobs of rows to the core.
func (l *leadership) applyJobs(now time.Duration, rows []rowstore.Row, loading bool) {
	var oldest map[string]uint64
	if loading {
		oldest = oldestVersions(rows)
	}
	for _, r := range rows {
		if r.Deleted {
			delete(l.leftOut, r.Name)
			continue
		}
		if l.leftOut[r.Name] {
			continue
		}
		origin := originNew
		if loading {
			_, recorded := l.jobRecords[r.Name]
			origin = originOf(oldest[r.Name], recorded, l.term.AcceptedAfter)
		}
		l.applyJob(now, r, origin)
		if former := l.term.FormerFenceVersion; origin == originInherited && former > 0 && oldest[r.Name] > former {
			l.core.SetAcceptedInTerm(r.Name, l.term.Epoch-1)
		}
	}
}

// applyJob adds a job to the core.
func (l *leadership) applyJob(now time.Duration, r rowstore.Row, origin jobOrigin) {
	inherited := origin == originInherited
	var job workload.Job
	if err := json.Unmarshal(r.Value, &job); err != nil {
		l.log.WithError(err).WithField("job", r.Name).Error("job row cannot be read")
		l.addUnreadableJob(inherited)
		return
	}
	job.ID = r.Name
	stored, found := l.jobRecords[r.Name]
	if found && stored.record == nil {
		// Its tasks may have run already and must not run again.
		l.log.WithField("job", r.Name).Error("record of a job cannot be read; the job does not run")
		l.leftOut[r.Name] = true
		l.addUnreadableJob(inherited)
		return
	}
	_, known := l.core.Status(r.Name)
	if origin == originUnstarted {
		l.core.AddUnstartedJob(now, &job)
	} else if err := l.core.AddJob(now, &job, stored.record, stored.version, inherited); err != nil {
		l.log.WithError(err).WithField("job", r.Name).Error("record of a job cannot be used; the job does not run")
		l.leftOut[r.Name] = true
		return
	}
	l.core.SetRowVersion(r.Name, slices.Index(jobRowKeys(r.Name), r.Key), r.Version)
	if origin != originNew && !known && !(found && stored.record.Status.Final()) {
		l.loadedJobs[origin]++
	}
	submitted := now
	if origin != originNew {
		submitted -= max(0, time.Duration(l.opts.WallMS()-job.AcceptedUnixMS)*time.Millisecond)
		l.machines.turns.addPast(&job, submitted)
	}
	if first, ok := l.opts.FirstSubmitted(r.Name); ok {
		submitted = min(submitted, first)
	}
	l.core.SetSubmitted(r.Name, submitted)
}

// addUnreadableJob tells the core of a job that is left out, if a former owner may have run its tasks.
func (l *leadership) addUnreadableJob(inherited bool) {
	if inherited {
		l.core.AddUnreadableJob()
	}
}

// applyOperator applies configurations and adds waves.
func (l *leadership) applyOperator(now time.Duration, b feed.Batch) {
	wavesBegin := false
	for _, r := range b.Rows {
		if r.Deleted {
			continue
		}
		config, wave, err := l.opts.Directory.Operator(r)
		switch {
		case err != nil:
			l.log.WithError(err).WithField("row", r.Name).Warn("operator row is invalid")
		case config != nil:
			l.core.Configure(now, config)
			l.storeRouteHistory()
			l.machines.configure(config)
		case wave != nil:
			wavesBegin = l.addWave(now, r.Name, *wave) || wavesBegin
		}
	}
	if wavesBegin {
		// Only now are all waves of the batch known: those that are not known lose their progress.
		l.storeWaveProgress(now)
	}
}

// storeRouteHistory puts the history of the queues' services into the owner's rows if it has changed.
func (l *leadership) storeRouteHistory() {
	history := l.core.RouteHistory()
	if history.Observed == l.storedRoutes {
		return
	}
	value, err := json.Marshal(history)
	if err != nil {
		l.log.WithError(err).Error("route history cannot be encoded")
		return
	}
	l.storedRoutes = history.Observed
	l.rows.put(routeHistoryKey, value)
}

// applyExecutors applies registrations of executors. Executors that a full batch lacks are not registered any more.
func (l *leadership) applyExecutors(now time.Duration, b feed.Batch) {
	listed := make(map[string]bool, len(b.Rows))
	for _, r := range b.Rows {
		e, err := l.opts.Directory.Executor(r)
		if r.Deleted || err != nil {
			if err != nil && !r.Deleted {
				l.log.WithError(err).WithField("executor", r.Name).Warn("executor registration is invalid")
			}
			l.core.DeregisterExecutor(r.Name)
			if r.Deleted {
				delete(l.machines.endedIncarnations, r.Name)
			}
			continue
		}
		if born, ok := l.machines.endedIncarnations[r.Name]; ok && e.BornUnixMS <= born {
			// This registration belongs to an incarnation that has ended; its row stays for a while.
			continue
		}
		listed[r.Name] = true
		l.core.PutExecutor(now, e)
		l.recordExecutor(now, e)
	}
	if b.Full {
		for id := range l.executorRecords {
			if !listed[id] {
				l.core.DeregisterExecutor(id)
			}
		}
	}
}

// recordExecutor stores a record of a new executor, address or service. The session starts, and tasks of another service start, once
// the record is durable, so that a later owner knows every executor that may run tasks of a service.
func (l *leadership) recordExecutor(now time.Duration, e workload.Executor) {
	old, ok := l.executorRecords[e.ID]
	if ok && old.Address == e.Address {
		if old.Service != "" && old.Service != e.Service {
			old.Service = ""
			l.executorRecords[e.ID] = old
			l.core.Suspend(now, e.ID, true)
			l.storeExecutorRecord(e.ID)
		}
		return
	}
	l.executorRecords[e.ID] = executorRecord{Address: e.Address, Service: e.Service, inherited: old.inherited}
	l.storeExecutorRecord(e.ID)
}

// recordContactLost stores which tasks an executor without contact may run, so that a new owner holds back only these until
// the leases on the executor expire. It stores nothing of one that may run further tasks for an earlier owner.
func (l *leadership) recordContactLost(now time.Duration, id string) {
	record, ok := l.executorRecords[id]
	if !ok || record.Lost || !l.opts.OwnsJobs() || !l.core.Reconciled(id) {
		return
	}
	record.Lost, record.Tasks = true, l.core.TasksOn(id)
	l.executorRecords[id] = record
	l.core.Suspend(now, id, true)
	if continuable := l.continuable[id]; continuable != nil {
		continuable.Store(false)
	}
	l.storeExecutorRecord(id)
}

// recordContactRegained undoes recordContactLost. The executor gets new tasks, and its session may continue without a confirmed
// ownership, once the change is durable.
func (l *leadership) recordContactRegained(id string) {
	record, ok := l.executorRecords[id]
	if !ok || !record.Lost {
		return
	}
	record.Lost, record.Tasks = false, nil
	l.executorRecords[id] = record
	l.storeExecutorRecord(id)
}

// storeExecutorRecord puts the record of an executor into the owner's rows.
func (l *leadership) storeExecutorRecord(id string) {
	value, err := json.Marshal(l.executorRecords[id])
	if err != nil {
		l.log.WithError(err).Error("executor record cannot be encoded")
		return
	}
	l.rows.put(executorRecordKey(id), value)
}

// handleExecutorRecordStored opens the session with an executor whose record is durable, and lets it get tasks unless
// contact with it is lost. A record with an outdated address or service is ignored.
func (l *leadership) handleExecutorRecordStored(id string, value []byte) {
	var stored executorRecord
	if err := json.Unmarshal(value, &stored); err != nil {
		l.log.WithError(err).Error("stored executor record cannot be decoded")
		return
	}
	current, ok := l.executorRecords[id]
	if !ok || current.Address != stored.Address || current.Service != stored.Service {
		return
	}
	inContact := !stored.Lost && !current.Lost
	l.openSession(id, current, inContact)
	if inContact {
		l.core.Suspend(l.opts.Now(), id, false)
		l.continuable[id].Store(true)
	}
}

// openSession opens a session with an executor, and closes one with another address. continuable is the first value in
// l.continuable.
func (l *leadership) openSession(id string, record executorRecord, continuable bool) {
	address := record.Address
	if l.sessions[id] != nil {
		if l.endpoints[id].Address == address {
			return
		}
		l.log.WithFields(log.Fields{"executor": id, "address": address}).Info("executor address changed")
		l.sessions[id].Close()
		l.core.Reconnect(l.opts.Now(), id)
	}
	l.log.WithFields(log.Fields{"executor": id, "address": address}).Info("session with executor begins")
	l.endpoints[id] = session.Endpoint{ID: id, Address: address}
	mayContinue := &atomic.Bool{}
	mayContinue.Store(continuable)
	l.continuable[id] = mayContinue
	l.sessions[id] = session.New(l.ctx, l.endpoints[id], session.Options{
		Client: l.opts.Executors, Tokens: l.tokens, Lease: session.DefaultLease, MaxLease: l.opts.MaxLease,
		InheritedLease: record.maxInheritedLease(), Now: l.opts.Now, Losses: l.losses, LateHolds: l.lateHolds, Lag: l.lag.Value,
		Owns: l.opts.OwnsJobs, MayContinue: func() bool { return mayContinue.Load() && l.opts.MayContinue() },
		Emit: func(e session.Event) { l.emit(e) },
	})
}

// maxInheritedLease returns how long leases that a former owner granted may still last. A former owner that was replaced
// while it ran may keep extending them for ownership.Continuation where it is in contact. If its record says that contact was lost, it
// may extend them only with a confirmed ownership, which ends after ownership.Validity.
func (r executorRecord) maxInheritedLease() time.Duration {
	if r.Lost || !r.inherited {
		return session.DefaultLease + ownership.Validity
	}
	return session.DefaultLease + ownership.Continuation
}

// dropGoneExecutors drops executors that are no longer registered and run nothing.
func (l *leadership) dropGoneExecutors() {
	for id := range l.executorRecords {
		if l.core.ForgetExecutor(id) {
			l.dropExecutor(id)
		}
	}
}

// dropExecutor closes the session with an executor that is gone, and deletes its record.
func (l *leadership) dropExecutor(id string) {
	if s := l.sessions[id]; s != nil {
		s.Close()
	}
	l.log.WithField("executor", id).Info("executor removed")
	delete(l.sessions, id)
	delete(l.endpoints, id)
	delete(l.continuable, id)
	delete(l.executorRecords, id)
	l.rows.remove(executorRecordKey(id))
}

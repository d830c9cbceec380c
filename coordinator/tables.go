package coordinator

import (
	"encoding/json"
	"time"

	"github.com/apex/log"

	"github.com/tamarackworks/tamarackworks/feed"
	"github.com/tamarackworks/tamarackworks/frontend"
	"github.com/tamarackworks/tamarackworks/ownership"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/session"
	"github.com/tamarackworks/tamarackworks/workload"
)

// applyBatch applies rows that others wrote. Loading is set for the first full read of a new owner.
func (l *lead) applyBatch(b feed.Batch, loading bool) {
	now := l.opts.Now()
	switch b.Table {
	case l.opts.Directory.OperatorTable():
		l.applyOperator(now, b)
	case l.opts.Directory.ExecutorTable():
		l.applyExecutors(now, b)
	case frontend.CancelTable:
		for _, r := range b.Rows {
			if !r.Deleted {
				l.core.Cancel(now, r.Name)
			}
		}
	case frontend.JobTable:
		for _, r := range b.Rows {
			if !r.Deleted {
				l.applyJob(now, r, loading)
			}
		}
	}
}

func (l *lead) applyJob(now time.Duration, r rowstore.Row, inherited bool) {
	var job workload.Job
	if err := json.Unmarshal(r.Value, &job); err != nil {
		l.log.WithError(err).WithField("job", r.Name).Error("job row cannot be read")
		return
	}
	job.ID = r.Name
	stored, found := l.records[r.Name]
	if found && stored.record == nil {
		// Its tasks may have run.
		l.log.WithField("job", r.Name).Error("record of a job cannot be read; the job does not run")
		return
	}
	if err := l.core.AddJob(now, &job, stored.record, stored.version, inherited); err != nil {
		l.log.WithError(err).WithField("job", r.Name).Error("record of a job cannot be used; the job does not run")
	}
}

func (l *lead) applyOperator(now time.Duration, b feed.Batch) {
	for _, r := range b.Rows {
		if r.Deleted {
			continue
		}
		config, wave, err := l.opts.Directory.Operator(r)
		switch {
		case err != nil:
			l.log.WithError(err).WithField("row", r.Name).Warn("operator's row cannot be read")
		case config != nil:
			l.core.Configure(now, config)
			l.machines.configure(config)
		case wave != nil:
			l.addWave(now, r.Name, *wave)
		}
	}
}

func (l *lead) applyExecutors(now time.Duration, b feed.Batch) {
	listed := make(map[string]bool, len(b.Rows))
	for _, r := range b.Rows {
		e, err := l.opts.Directory.Executor(r)
		if r.Deleted || err != nil {
			if err != nil && !r.Deleted {
				l.log.WithError(err).WithField("executor", r.Name).Warn("registration cannot be used")
			}
			l.core.RemoveExecutor(r.Name)
			if r.Deleted {
				delete(l.machines.ended, r.Name)
			}
			continue
		}
		if born, ok := l.machines.ended[r.Name]; ok && e.BornUnixMS <= born {
			// The registration of an executor stays for a while after its end.
			continue
		}
		listed[r.Name] = true
		l.core.PutExecutor(now, e)
		l.enlist(e)
	}
	if b.Full {
		for id := range l.roster {
			if !listed[id] {
				l.core.RemoveExecutor(id)
			}
		}
	}
}

// enlist puts an executor into the durable roster; its session starts when the roster is stored, so that a later
// owner knows of every executor that may run tasks.
func (l *lead) enlist(e workload.Executor) {
	old, ok := l.roster[e.ID]
	if ok && old.Address == e.Address {
		return
	}
	l.roster[e.ID] = rosterEntry{Address: e.Address, Service: e.Service, inherited: old.inherited}
	l.storeRoster(e.ID)
}

// noteLoss stores what an executor may run that does not answer, so that a new owner need not hold back more than that
// until it lapses.
func (l *lead) noteLoss(now time.Duration, id string) {
	entry, ok := l.roster[id]
	if !ok || entry.Lost || !l.opts.Valid() {
		return
	}
	entry.Lost, entry.Tasks = true, l.core.TasksOn(id)
	l.roster[id] = entry
	l.core.Suspend(now, id, true)
	l.storeRoster(id)
}

// noteContact undoes noteLoss; the executor gets new tasks when that is stored.
func (l *lead) noteContact(id string) {
	entry, ok := l.roster[id]
	if !ok || !entry.Lost {
		return
	}
	entry.Lost, entry.Tasks = false, nil
	l.roster[id] = entry
	l.storeRoster(id)
}

func (l *lead) storeRoster(id string) {
	value, err := json.Marshal(l.roster[id])
	if err != nil {
		l.log.WithError(err).Error("roster cannot be stored")
		return
	}
	l.rows.put(rosterKey(id), value)
}

// rosterStored starts the session with an executor of the stored roster, and lets it get tasks.
func (l *lead) rosterStored(id string, value []byte) {
	var stored rosterEntry
	if err := json.Unmarshal(value, &stored); err != nil {
		l.log.WithError(err).Error("stored roster cannot be read")
		return
	}
	current, ok := l.roster[id]
	if !ok || current.Address != stored.Address {
		return
	}
	l.openSession(id, current)
	if !stored.Lost && !current.Lost {
		l.core.Suspend(l.opts.Now(), id, false)
	}
}

func (l *lead) openSession(id string, entry rosterEntry) {
	address := entry.Address
	if l.sessions[id] != nil {
		if l.peers[id].Address == address {
			return
		}
		l.log.WithFields(log.Fields{"executor": id, "address": address}).Info("executor has another address")
		l.sessions[id].Close()
		l.core.Reconnect(l.opts.Now(), id)
	}
	l.log.WithFields(log.Fields{"executor": id, "address": address}).Info("session with executor begins")
	l.peers[id] = session.Peer{ID: id, Address: address}
	l.sessions[id] = session.New(l.ctx, l.peers[id], session.Options{
		Client: l.opts.Workers, Tokens: l.tokens, Lease: session.DefaultLease,
		Inherited: entry.inheritedLeases(), Now: l.opts.Now, Losses: l.losses, Lag: l.lag.Value,
		Owns: l.opts.Valid, MayContinue: l.opts.MayContinue,
		Emit: func(e session.Event) { l.emit(e) },
	})
}

// inheritedLeases is how long leases may last that a former owner has given. One that was replaced while it ran goes on
// where it is in contact; contact that is lost is not regained without a confirmed ownership.
func (e rosterEntry) inheritedLeases() time.Duration {
	if e.Lost || !e.inherited {
		return session.DefaultLease + ownership.Validity
	}
	return session.DefaultLease + ownership.Continuation
}

// tidyExecutors drops executors that are gone and run nothing.
func (l *lead) tidyExecutors() {
	for id := range l.roster {
		if l.core.ForgetExecutor(id) {
			l.dropExecutor(id)
		}
	}
}

// dropExecutor ends the session with an executor that is gone.
func (l *lead) dropExecutor(id string) {
	if s := l.sessions[id]; s != nil {
		s.Close()
	}
	l.log.WithField("executor", id).Info("executor forgotten")
	delete(l.sessions, id)
	delete(l.peers, id)
	delete(l.roster, id)
	l.rows.remove(rosterKey(id))
}

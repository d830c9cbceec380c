package frontend

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackworks/tamarackworks/scheduler"
	"github.com/tamarackworks/tamarackworks/workload"
)

const (
	// roomTTL is how long a host relies on the room that the owner told last. The owner tells it with each response.
	roomTTL = time.Second
	// roomLag is how long the owner may take to learn of a job that was stored.
	roomLag = time.Second
	// creditShare is the share of its part of the room that a host hands out without asking: one of this number.
	creditShare = 2
	// reserveTimeout bounds the request for room, so that a job can still be stored after it.
	reserveTimeout = 250 * time.Millisecond
	// fullRetryDelay is the least time after which callers return if the owner has no room for their jobs; jobs have to end first.
	fullRetryDelay = 5 * time.Second
	// closedForMemory is the cause of rejections because the owner has no room for a job.
	closedForMemory = "memory"
)

// jobRoom is how much memory of the owner this host may hand out to jobs.
type jobRoom struct {
	mu     sync.Mutex
	toldAt time.Duration
	told   bool
	credit int64
	// unconfirmed is what was handed out while the owner told nothing.
	unconfirmed int64
	// spent and spentBefore are what was handed out since spentSince, and in the time of roomLag before that.
	spent, spentBefore int64
	spentSince         time.Duration
}

// age drops what the owner has learnt of by now from what was handed out. The caller holds the lock.
func (r *jobRoom) age(now time.Duration) {
	switch elapsed := now - r.spentSince; {
	case elapsed >= 2*roomLag:
		r.spent, r.spentBefore, r.spentSince = 0, 0, now
	case elapsed >= roomLag:
		r.spent, r.spentBefore, r.spentSince = 0, r.spent, now
	}
}

// update sets the room that the owner has left for all hosts.
func (r *jobRoom) update(bytes int64, hosts int, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.age(now)
	r.told, r.toldAt, r.unconfirmed = true, now, 0
	r.credit = bytes/int64(creditShare*max(hosts, 1)) - r.spent - r.spentBefore
}

// take reports whether a job may be stored without asking the owner. While the owner tells nothing, as during a takeover, unconfirmedLimit
// bounds what is handed out.
func (r *jobRoom) take(bytes, unconfirmedLimit int64, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.age(now)
	if !r.told || now-r.toldAt > roomTTL {
		if r.unconfirmed+bytes > unconfirmedLimit {
			return false
		}
		r.unconfirmed += bytes
	} else if bytes > r.credit {
		return false
	} else {
		r.credit -= bytes
	}
	r.spent += bytes
	return true
}

// UpdateRoom sets how much memory the owner has left for jobs, which the given number of hosts share.
func (f *Frontend) UpdateRoom(bytes int64, hosts int) { f.room.update(bytes, hosts, f.opts.Now()) }

// boundsJobMemory reports whether jobs of any kind can be refused because the owner has no room for them.
func (f *Frontend) boundsJobMemory() bool { return f.opts.UnconfirmedJobMemory > 0 }

// refuseForMemory reports whether a job that arrived at start is refused because the owner has no room for it. If another attempt may have
// stored the job, the outcome is unknown. A job that the owner knows is not refused.
func (f *Frontend) refuseForMemory(ctx context.Context, job *workload.Job, start time.Duration) (Result, bool) {
	bytes := scheduler.Footprint(job)
	if !f.boundsJobMemory() || f.room.take(bytes, f.opts.UnconfirmedJobMemory, start) {
		return Result{}, false
	}
	granted := false
	err := withTimeout(ctx, reserveTimeout, func(ctx context.Context) (err error) {
		granted, err = f.opts.Owner.ReserveJob(ctx, job.ID, bytes)
		return err
	})
	if granted {
		return Result{}, false
	}
	delay := fullRetryDelay + time.Duration(fraction(job.ID)*float64(fullRetryDelay))
	if err != nil {
		delay = retryAfter
	}
	result := Result{Unknown, delay}
	if f.submitted.isCertain(job.ID, start, 1) && f.neverStored(ctx, job.ID) && f.submitted.isCertain(job.ID, f.opts.Now(), 1) {
		result.Outcome = Rejected
	}
	f.submitted.record(job.ID, start, false)
	f.opts.Metrics.countRejection(job.Route, closedForMemory, delay)
	entry := f.opts.Log.WithFields(log.Fields{"job": job.ID, "queue": job.Route, "bytes": bytes, "retry_after_ms": delay.Milliseconds()})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Warn("job not accepted, the owner has no room for it")
	return result, true
}

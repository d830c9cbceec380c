package frontend

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/tamarackworks/tamarackworks/scheduler"
	"github.com/tamarackworks/tamarackworks/workload"
)

const (
	// closureTTL is how long closures hold after the owner told them. The owner tells them again with each response.
	closureTTL = time.Second
	// refusalTimeout bounds the query to the owner before a job is refused, so that a job can still be stored after it.
	refusalTimeout = 250 * time.Millisecond
	// minRefusalDelay and maxRefusalDelay bound the time to come back.
	minRefusalDelay = time.Second
	maxRefusalDelay = 30 * time.Second
	// maxConfirming bounds the refusals of a host that are being confirmed, so that they do not add load to a slow owner or store.
	maxConfirming = 8
)

// QueueLoad is what the owner tells all hosts of its load.
type QueueLoad struct {
	// Closures says which jobs are refused; empty as a rule.
	Closures []scheduler.Closure
	// Hosts is the number of hosts that share what a queue can take.
	Hosts int
}

// closures holds the closures that the owner told last, and what this host refused by them.
type closures struct {
	mu        sync.Mutex
	load      QueueLoad
	expiresAt time.Duration
	returning map[closureKey]returningWork
	// floorAt holds, for each organisation that was refused, when this host next lets one of its jobs pass.
	floorAt map[string]time.Duration

	// confirming is the number of refusals that are being confirmed.
	confirming atomic.Int32
}

// closureKey identifies a closure that lasts while its details change.
type closureKey struct {
	queue, organisation string
	cause               scheduler.ClosureCause
}

// returningWork is the work of the jobs that were told to come back, as of a time. It becomes less at the rate of the queue.
type returningWork struct {
	work float64
	at   time.Duration
}

// UpdateLoad replaces the closures by those that the owner told now.
func (f *Frontend) UpdateLoad(load QueueLoad) {
	c := &f.closures
	c.mu.Lock()
	defer c.mu.Unlock()
	c.load, c.expiresAt = load, f.opts.Now()+closureTTL
	if len(load.Closures) == 0 {
		c.returning, c.floorAt = nil, nil
	}
}

// find returns the first closure that refuses a job, unless the floor of its organisation lets it pass.
func (c *closures) find(job *workload.Job, now time.Duration) (scheduler.Closure, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now >= c.expiresAt {
		return scheduler.Closure{}, false
	}
	for _, x := range c.load.Closures {
		if x.Queue == job.Route && (x.Organisation == "" || x.Organisation == job.Organisation) && x.Refuses(job) {
			return x, !c.takeFloor(job, x.Floor, now)
		}
	}
	return scheduler.Closure{}, false
}

// takeFloor reports whether a job passes although its queue is closed. All hosts together let a number of jobs a second pass for each
// organisation. The first one is put off by a share of the time between two, so that not all hosts let one pass at the same time.
func (c *closures) takeFloor(job *workload.Job, floor float64, now time.Duration) bool {
	if job.Organisation == "" || floor <= 0 {
		return false
	}
	turn := time.Duration(float64(max(c.load.Hosts, 1)) / floor * float64(time.Second))
	if c.floorAt == nil {
		c.floorAt = make(map[string]time.Duration)
	}
	at, ok := c.floorAt[job.Organisation]
	switch {
	case !ok:
		c.floorAt[job.Organisation] = now + time.Duration(fraction(job.ID)*float64(turn))
		return false
	case now < at:
		return false
	}
	c.floorAt[job.Organisation] = now + turn
	return true
}

// fraction returns a number from 0 to 1 that is evenly spread over job IDs.
func fraction(id string) float64 { return float64(xxhash.Sum64String(id)) / math.MaxUint64 }

// delay returns when a refused job is to come back: when one can be on time again, and the queue has had time for the jobs that this
// host told to return before, at this host's share of its rate. The hash of the ID spreads the jobs of all hosts over the time that
// one of them needs.
func (c *closures) delay(x scheduler.Closure, job *workload.Job, now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := closureKey{x.Queue, x.Organisation, x.Cause}
	rate := float64(max(x.Rate, 1)) / float64(max(c.load.Hosts, 1))
	r := c.returning[key]
	before := max(0, r.work-rate*float64((now-r.at).Milliseconds()))
	own := float64(x.ForecastWork(job))
	r.work, r.at = before+own, now
	if c.returning == nil {
		c.returning = make(map[closureKey]returningWork)
	}
	c.returning[key] = r
	spreadMS := min((before+fraction(job.ID)*own)/rate, float64(maxRefusalDelay.Milliseconds()))
	return min(max(x.Return+time.Duration(spreadMS)*time.Millisecond, minRefusalDelay), maxRefusalDelay)
}

// refuse reports whether a job that arrived at start is refused for load, which promises that it never runs. In any doubt it is
// not: if another attempt of the same job is in progress or may have stored it, here or as the owner knows, or if the owner or the
// store does not respond.
func (f *Frontend) refuse(ctx context.Context, job *workload.Job, start time.Duration) (Result, bool) {
	x, closed := f.closures.find(job, start)
	if !closed || !f.submitted.isCertain(job.ID, start, 1) {
		return Result{}, false
	}
	certain := f.neverStored(ctx, job.ID)
	now := f.opts.Now()
	if !certain || !f.submitted.isCertain(job.ID, now, 1) {
		f.opts.Metrics.countUnconfirmed()
		return Result{}, false
	}
	f.submitted.record(job.ID, start, false)
	delay := f.closures.delay(x, job, now)
	f.opts.Metrics.countRejection(job.Route, string(x.Cause), delay)
	f.opts.Log.WithFields(log.Fields{
		"job": job.ID, "queue": job.Route, "cause": string(x.Cause), "organisation": job.Organisation, "work": x.ForecastWork(job),
		"closed_above": x.Work, "horizon_ms": x.Horizon.Milliseconds(), "retry_after_ms": delay.Milliseconds(),
	}).Info("job rejected, its queue is closed")
	return Result{Rejected, delay}, true
}

// neverStored reports whether a job is certainly not stored: the owner has heard of no attempt that may have stored it, and the
// store has no row. The owner learns of a row some milliseconds after its host was told that it is stored, which may be too late
// for a caller that did not get the answer.
func (f *Frontend) neverStored(ctx context.Context, id string) bool {
	defer f.closures.confirming.Add(-1)
	if f.closures.confirming.Add(1) > maxConfirming || !f.opts.StoreResponsive() {
		return false
	}
	absent := false
	err := withTimeout(ctx, refusalTimeout, func(ctx context.Context) error {
		confirmed, err := f.opts.Owner.ConfirmRefusal(ctx, id)
		if err != nil || !confirmed {
			return err
		}
		stored, err := f.isStored(ctx, id)
		absent = err == nil && !stored
		return err
	})
	return err == nil && absent
}

// reportDelay is how long a response is held back until the owner has heard that its job may be stored. Callers repeat the job once
// they have the response.
const reportDelay = 50 * time.Millisecond

// reportUncertain tells the owner that an attempt may have stored a job, so that no host refuses the job. The deadline of the request
// has mostly passed, so it takes a time of its own.
func (f *Frontend) reportUncertain(id string) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
		defer cancel()
		if err := f.opts.Owner.ReportUncertain(ctx, id); err != nil {
			f.opts.Log.WithError(err).WithField("job", id).Warn("owner does not know that a job may be stored")
		}
	}()
	wait := time.NewTimer(reportDelay)
	defer wait.Stop()
	select {
	case <-done:
	case <-wait.C:
	}
}

// RecordUncertain records that an attempt of another host may have stored a job.
func (f *Frontend) RecordUncertain(id string) { f.submitted.record(id, f.opts.Now(), true) }

// ConfirmRefusal reports whether another host may refuse a job, as far as this host knows, and then remembers when the job was
// first submitted.
func (f *Frontend) ConfirmRefusal(id string) bool {
	now := f.opts.Now()
	if !f.submitted.isCertain(id, now, 0) {
		return false
	}
	f.submitted.record(id, now, false)
	return true
}

// Package frontend submits jobs, cancels them and returns their status on any
// entry host. A job is accepted once its row is in the store. The owner, which
// is the entry host that currently schedules all jobs, reads it from there.
package frontend

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/singleflight"

	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/scheduler"
	"github.com/tamarackworks/tamarackworks/workload"
)

// Tables of the row store that hold jobs.
const (
	// JobTable holds accepted jobs by id.
	JobTable = "tamarack_jobs"
	// CancelTable holds the ids of jobs whose cancellation was requested.
	CancelTable = "tamarack_cancels"
	// RecordTable holds the progress of jobs; the owner writes it.
	RecordTable = "tamarack_records"
)

// submitPartitions is the number of partitions that jobs are spread over. A partition applies its transactions one after
// another, which takes 0.25 s each when the store is slow; a burst of about 150 submissions a second must fit into all
// partitions even then.
const submitPartitions = 64

// SubmitPartition returns the primary partition of a job in JobTable and CancelTable.
func SubmitPartition(id string) string {
	return fmt.Sprintf("submit-%d", xxhash.Sum64String(id)%submitPartitions)
}

// FallbackSubmitPartition returns the fallback partition of a job, which is written while the primary one is unavailable. It
// always differs from the primary partition. A job may have rows in both; they are one job.
func FallbackSubmitPartition(id string) string {
	h := xxhash.Sum64String(id)
	return fmt.Sprintf("submit-%d", (h+1+(h>>32)%(submitPartitions-1))%submitPartitions)
}

// SubmitPartitions returns all partitions of JobTable and CancelTable.
func SubmitPartitions() []string {
	partitions := make([]string, submitPartitions)
	for i := range partitions {
		partitions[i] = fmt.Sprintf("submit-%d", i)
	}
	return partitions
}

// Outcome classifies the result of a caller's request.
type Outcome int

// Outcomes of requests.
const (
	OK Outcome = iota
	// NoRoute means that no route matches the request.
	NoRoute
	// NoKey means that the request carries no API key that is valid in the current configuration.
	NoKey
	// NoJob means that the job does not exist.
	NoJob
	// Rejected means that the job was not accepted and will never run.
	Rejected
	// Unavailable means that the request had no effect and can be retried.
	Unavailable
	// Unknown means that the job may have been accepted; submitting the same id again is safe.
	Unknown
)

// Result is an outcome with the delay after which the caller should retry; 0 means that it gives none.
type Result struct {
	Outcome    Outcome
	RetryAfter time.Duration
}

// Match is the route, also called queue, that a request matched.
type Match struct {
	workload.Route
	ConfigVersion uint64
	MaxBodyBytes  int
	// Organisation is the one that owns the caller's key; it is empty if the route needs no key.
	Organisation string
}

// Store is the part of the row store that the frontend uses.
type Store interface {
	Commit(ctx context.Context, txn rowstore.Txn) (uint64, error)
	Read(ctx context.Context, r rowstore.Range) (rowstore.Page, error)
}

// Owner is the owner of the jobs, on this host or another. It reports on the jobs that it knows, and writes rows for hosts
// that cannot reach the store themselves.
type Owner interface {
	// StoreJob and StoreCancel return errors that match rowstore.ErrUnavailable or rowstore.ErrAmbiguous. StoreJob succeeds if
	// the owner knows the job. uncertain means that an attempt on another path may store the job; the owner remembers that, so
	// that no host rejects the job.
	StoreJob(ctx context.Context, id string, value []byte, uncertain bool) error
	StoreCancel(ctx context.Context, id string) error
	// ConfirmRefusal reports whether a job can be refused: the owner does not know it, and no attempt that the owner heard of may
	// have stored it.
	ConfirmRefusal(ctx context.Context, id string) (bool, error)
	// ReportUncertain tells the owner that an attempt of this host may have stored a job.
	ReportUncertain(ctx context.Context, id string) error
	// ReserveJob reports whether the owner has room for a job with a footprint in bytes, or knows the job.
	ReserveJob(ctx context.Context, id string, bytes int64) (bool, error)
	JobStatus(ctx context.Context, id string) (status workload.Status, known bool, err error)
	QueueLength(ctx context.Context, route string) (int, error)
}

const (
	// readTimeout bounds one read of the store, so that a retry fits into the caller's usual deadline of 3 s.
	readTimeout = 1200 * time.Millisecond
	// hedgeDelay is how long a write may be unanswered before the next path is tried in parallel. A write to a slow store
	// takes 0.7 s.
	hedgeDelay = 750 * time.Millisecond
	// ownerTimeout bounds one query to the owner, which normally responds within a few milliseconds.
	ownerTimeout = 400 * time.Millisecond
	// retryDelay is the pause before a failed call is retried.
	retryDelay = 60 * time.Millisecond
	// retryAfter is when callers are told to retry while a dependency is unavailable. A takeover by a new owner takes
	// about 2 s.
	retryAfter = 2 * time.Second
)

// Options configure a Frontend.
type Options struct {
	Store Store
	Owner Owner
	Log   log.Interface
	// WallMS returns the wall-clock time in Unix milliseconds, Now the time on a clock that only moves forward.
	WallMS func() int64
	Now    func() time.Duration
	// StoreResponsive reports whether the store has recently responded to this host. While it has not, this host does not
	// write to the store itself: a rejection can then be sent at once, and holds because no write is in flight that may
	// still be applied.
	StoreResponsive func() bool
	// ReadConfiguration reads the configuration from the store and passes it to Configure, and the time of the read to
	// ConfirmConfiguration.
	ReadConfiguration func(ctx context.Context) error
	// MaxConfigurationAge is how long after the configuration was last known to be the newest requests are refused by it.
	MaxConfigurationAge time.Duration
	// UnconfirmedJobMemory bounds the footprints, in bytes, of the jobs that this host stores while the owner does not tell how much room
	// it has; 0 means that the room is not bounded.
	UnconfirmedJobMemory int64
	Metrics              *Metrics
}

// Frontend handles the requests of callers. It is safe for concurrent use.
type Frontend struct {
	opts   Options
	config atomic.Pointer[indexedConfiguration]
	// configConfirmedAt is the time, on the clock of Options.Now, up to which config is known to be the newest configuration.
	configConfirmedAt atomic.Int64
	configReads       singleflight.Group
	// submitted holds the submissions that this host, or another one that asked it to store them, did not accept.
	submitted submissions
	closures  closures
	room      jobRoom
}

// indexedConfiguration is a configuration with an index of its API keys.
type indexedConfiguration struct {
	*workload.Configuration
	// organisationByKey maps the digest of each key to the name of its organisation.
	organisationByKey map[workload.KeyDigest]string
}

func newIndexedConfiguration(config *workload.Configuration) *indexedConfiguration {
	c := &indexedConfiguration{config, make(map[workload.KeyDigest]string)}
	for _, o := range config.Organisations {
		for _, key := range o.Keys {
			c.organisationByKey[key] = o.Name
		}
	}
	return c
}

// authenticate returns the organisation that a key belongs to, or false if the key is not valid. Keys are ignored on public
// routes and if the configuration declares no organisations.
func (c *indexedConfiguration) authenticate(route *workload.Route, key string) (name string, ok bool) {
	if route.Public || !c.ChecksKeys {
		return "", true
	}
	digest, ok := workload.DigestKey(key)
	if !ok {
		return "", false
	}
	name, ok = c.organisationByKey[digest]
	return name, ok
}

// New returns a frontend without a configuration. Match returns Unavailable until Configure has been called.
func New(opts Options) *Frontend { return &Frontend{opts: opts} }

// Configure puts a configuration in effect, unless it is not newer than the current one.
func (f *Frontend) Configure(config *workload.Configuration) {
	next := newIndexedConfiguration(config)
	for {
		current := f.config.Load()
		if current != nil && config.Version <= current.Version {
			return
		}
		if f.config.CompareAndSwap(current, next) {
			f.opts.Log.WithFields(log.Fields{
				"version": config.Version, "routes": len(config.Routes), "services": len(config.Services), "organisations": len(config.Organisations),
			}).Info("configuration in effect")
			return
		}
	}
}

// ConfirmConfiguration records that no configuration newer than the current one existed at asOf, on the clock of Options.Now.
func (f *Frontend) ConfirmConfiguration(asOf time.Duration) {
	for {
		confirmed := f.configConfirmedAt.Load()
		if int64(asOf) <= confirmed || f.configConfirmedAt.CompareAndSwap(confirmed, int64(asOf)) {
			return
		}
	}
}

// configurationAge returns for how long the current configuration may no longer have been the newest one.
func (f *Frontend) configurationAge() time.Duration {
	return f.opts.Now() - time.Duration(f.configConfirmedAt.Load())
}

// Configured reports whether a configuration is in effect.
func (f *Frontend) Configured() bool { return f.config.Load() != nil }

// Match finds the route of a request by its host and the longest matching prefix of its path, and checks the API key. It
// also returns the job id, which is the rest of the path. Without a match, the first result is nil and the Result says why. A
// configuration that may be outdated is read again first. If that fails, no request is refused by it: the result is Unavailable.
func (f *Frontend) Match(ctx context.Context, host, path, key string) (*Match, string, Result) {
	config := f.config.Load()
	if config == nil {
		return nil, "", Result{Unavailable, retryAfter}
	}
	route, organisation, outcome := config.match(host, path, key)
	age := f.configurationAge()
	f.opts.Metrics.observeConfigurationAge(age)
	if age > f.opts.MaxConfigurationAge {
		err := f.confirmConfiguration(ctx)
		if err != nil && outcome != OK {
			f.logRefusal(config, log.Fields{"host": host, "path": path}).WithError(err).
				Warn("request rejected: it does not match the configuration, which may be outdated")
			return nil, "", Result{Unavailable, retryAfter}
		}
		// A request that matches goes on without a confirmation, because a host that the store turns away serves through the owner.
		config = f.config.Load()
		route, organisation, outcome = config.match(host, path, key)
	}
	switch outcome {
	case NoRoute:
		f.logRefusal(config, log.Fields{"host": host, "path": path}).Info("request rejected: no route matches in the current configuration")
		return nil, "", f.rejectUnmatched(NoRoute)
	case NoKey:
		f.logRefusal(config, log.Fields{"queue": route.Name}).Info("request rejected: API key is not valid in the current configuration")
		return nil, "", f.rejectUnmatched(NoKey)
	}
	return &Match{*route, config.Version, config.MaxBodyBytes, organisation}, path[len(route.Prefix):], Result{}
}

// logRefusal returns a log entry about a request that is refused by a configuration.
func (f *Frontend) logRefusal(config *indexedConfiguration, fields log.Fields) *log.Entry {
	return f.opts.Log.WithFields(fields).WithFields(log.Fields{"config": config.Version, "config_age_ms": f.configurationAge().Milliseconds()})
}

// match returns the route of a request and the organisation that its key belongs to. The outcome is OK, NoRoute or NoKey.
func (c *indexedConfiguration) match(host, path, key string) (best *workload.Route, organisation string, outcome Outcome) {
	for i := range c.Routes {
		r := &c.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	if best == nil {
		return nil, "", NoRoute
	}
	organisation, ok := c.authenticate(best, key)
	if !ok {
		return best, "", NoKey
	}
	return best, organisation, OK
}

// confirmTimeout bounds the read of a configuration that may be outdated; a slow store takes 0.7 s.
const confirmTimeout = 800 * time.Millisecond

// confirmConfiguration reads the configuration from the store. Requests that need it at the same time share one read.
func (f *Frontend) confirmConfiguration(ctx context.Context) error {
	if !f.opts.StoreResponsive() {
		return errStoreUnresponsive
	}
	done := f.configReads.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		return nil, f.opts.ReadConfiguration(ctx)
	})
	select {
	case r := <-done:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// rejectUnmatched counts a request that matched no route or had no valid key, and returns its result.
func (f *Frontend) rejectUnmatched(o Outcome) Result {
	f.opts.Metrics.countUnmatched(o)
	return Result{Outcome: o}
}

// Submit stores a job, unless its queue is closed for it. It is idempotent: an id is one job, however often and on whichever hosts
// it is submitted.
func (f *Frontend) Submit(ctx context.Context, m *Match, job *workload.Job) Result {
	start := time.Now()
	result := f.submit(ctx, m, job)
	f.opts.Metrics.observe("submit", result.Outcome, time.Since(start))
	return result
}

func (f *Frontend) submit(ctx context.Context, m *Match, job *workload.Job) Result {
	start := f.opts.Now()
	defer f.submitted.begin(job.ID)()
	job.Route, job.Service, job.Policy, job.ConfigVersion = m.Name, m.Service, m.Policy, m.ConfigVersion
	job.Organisation = m.Organisation
	if result, refused := f.refuse(ctx, job, start); refused {
		return result
	}
	if result, refused := f.refuseForMemory(ctx, job, start); refused {
		return result
	}
	job.AcceptedUnixMS = f.opts.WallMS()
	value, err := json.Marshal(job)
	if err != nil {
		f.opts.Log.WithError(err).WithField("job", job.ID).Error("job cannot be encoded")
		return Result{Outcome: Rejected}
	}
	outcome, tries, err := f.writeHedged(ctx, func(partition string) rowstore.Txn { return jobTxn(partition, job.ID, value) }, job.ID,
		func(ctx context.Context, uncertain bool) error {
			return f.opts.Owner.StoreJob(ctx, job.ID, value, uncertain)
		})
	if outcome == Unavailable && f.submitted.isUncertain(job.ID, f.opts.Now()) {
		// An earlier attempt of the caller may still store the job.
		outcome = Unknown
	}
	if outcome != OK {
		f.submitted.record(job.ID, start, outcome == Unknown)
	}
	if outcome == Unknown && (scheduler.MayBeRefused(job) || f.boundsJobMemory()) {
		f.reportUncertain(job.ID)
	}
	entry := f.opts.Log.WithFields(log.Fields{"job": job.ID, "queue": m.Name, "config": m.ConfigVersion, "tries": tries})
	if err != nil {
		entry = entry.WithError(err)
	}
	switch outcome {
	case OK:
		entry.Info("job accepted")
		return Result{}
	case Unavailable, Rejected:
		f.opts.Metrics.countRejection(m.Name, rejectedByStore, retryAfter)
		entry.Warn("job rejected, it cannot be stored")
		return Result{outcome, retryAfter}
	}
	entry.Warn("job may have been accepted: the store did not confirm the write")
	return Result{Unknown, retryAfter}
}

// FirstSubmitted returns when a job was first submitted, on the clock of Options.Now, if the frontend has seen a submission of it
// that was not accepted.
func (f *Frontend) FirstSubmitted(id string) (time.Duration, bool) {
	x, ok := f.submitted.get(id, f.opts.Now())
	return x.firstAt, ok
}

// Cancel requests the cancellation of a job, if the job exists.
func (f *Frontend) Cancel(ctx context.Context, id string) Result {
	start := time.Now()
	result := f.cancel(ctx, id)
	f.opts.Metrics.observe("cancel", result.Outcome, time.Since(start))
	return result
}

func (f *Frontend) cancel(ctx context.Context, id string) Result {
	exists, err := f.exists(ctx, id)
	if err != nil {
		f.opts.Log.WithError(err).WithField("job", id).Warn("cancellation rejected: cannot look up the job in the store")
		return Result{Unavailable, retryAfter}
	}
	if !exists {
		return Result{Outcome: NoJob}
	}
	outcome, tries, err := f.writeHedged(ctx, func(partition string) rowstore.Txn { return cancelTxn(partition, id) }, id,
		func(ctx context.Context, _ bool) error { return f.opts.Owner.StoreCancel(ctx, id) })
	if outcome != OK {
		f.opts.Log.WithError(err).WithFields(log.Fields{"job": id, "tries": tries}).Warn("cancellation not confirmed")
		return Result{outcome, retryAfter}
	}
	f.opts.Log.WithFields(log.Fields{"job": id, "tries": tries}).Info("job cancellation accepted")
	return Result{}
}

// Status returns the status of a job as the owner knows it, or else as it is stored.
func (f *Frontend) Status(ctx context.Context, id string) (workload.Status, Result) {
	start := time.Now()
	status, result := f.status(ctx, id)
	f.opts.Metrics.observe("status", result.Outcome, time.Since(start))
	return status, result
}

func (f *Frontend) status(ctx context.Context, id string) (workload.Status, Result) {
	ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	status, known, err := f.opts.Owner.JobStatus(ownerCtx, id)
	cancel()
	if err == nil && known {
		return status, Result{}
	}
	if err != nil {
		f.opts.Log.WithError(err).WithField("job", id).Warn("owner did not respond, reading job status from the store")
	}
	status, known, err = f.storedStatus(ctx, id)
	if err != nil {
		f.opts.Log.WithError(err).WithField("job", id).Warn("job status is unavailable")
		return "", Result{Unavailable, retryAfter}
	}
	if !known {
		return "", Result{Outcome: NoJob}
	}
	return status, Result{}
}

// storedStatus derives the status of a job from its rows: queued until the owner has written a record, and running while
// the record does not say that the job has ended.
func (f *Frontend) storedStatus(ctx context.Context, id string) (workload.Status, bool, error) {
	stored, err := f.isStored(ctx, id)
	if err != nil || !stored {
		return "", false, err
	}
	row, err := f.get(ctx, rowstore.Key{Table: RecordTable, Name: id})
	if err != nil {
		return "", false, err
	}
	if row == nil {
		return workload.StatusQueued, true, nil
	}
	record, err := scheduler.DecodeRecord(row.Value)
	if err != nil {
		return "", false, err
	}
	if record.Status == workload.StatusQueued {
		return workload.StatusRunning, true, nil
	}
	return record.Status, true, nil
}

// QueueLength returns the number of jobs of a queue that have not started any task. Only the owner knows it, so a failed query
// is retried until the deadline of ctx.
func (f *Frontend) QueueLength(ctx context.Context, m *Match) (int, Result) {
	for {
		ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
		n, err := f.opts.Owner.QueueLength(ownerCtx, m.Name)
		cancel()
		if err == nil {
			return n, Result{}
		}
		if !sleep(ctx, 2*retryDelay) {
			f.opts.Log.WithError(err).WithField("queue", m.Name).Warn("queue length is unavailable")
			return 0, Result{Unavailable, retryAfter}
		}
	}
}

package jobs

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/planner"
	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// MaxAttempts is the maximum number of attempts of a job that fail or are lost.
	MaxAttempts = 3
	// DefaultInterval is the time between two scheduling passes.
	DefaultInterval = time.Second
	// DefaultLease is the lease of a task. It is longer than a leader change (5 s) and short outages of the
	// platform. Renewed at half of it, 3,000 tasks need 100 renewals a second, which the platform sustains.
	DefaultLease = time.Minute
	// DefaultRetention is how long the row of a finished job is kept. It equals the retention of claims.
	DefaultRetention = 48 * time.Hour
	// maxParallel bounds the concurrent calls to the platform, whose table sustains several hundred writes a second.
	maxParallel = 16
	// failureWindow is how long the planner counts a task failure against the worker.
	failureWindow = 10 * time.Minute
)

// Leadership tells whether this process is the leader of the data centre.
type Leadership interface {
	// Fence returns the precondition that every write of the leader must carry, so that writes of a former leader
	// fail, and whether this process is the leader now.
	Fence() (cloud.Precondition, bool)
}

// SchedulerOptions configure a Scheduler. A duration of 0 selects the default.
type SchedulerOptions struct {
	DataCentre string
	Table      cloud.Table
	Workers    cloud.Workers
	Snapshots  SnapshotSource
	Leadership Leadership
	Log        log.Interface
	Interval   time.Duration
	Lease      time.Duration
	Retention  time.Duration
}

// Scheduler runs the jobs of a data centre while its process is the leader. Each pass compares the rows of the jobs
// with the tasks of the platform and advances each job by one step. The next pass sees the effect of a step whose
// result was lost, so no step is repeated blindly, and a new leader continues from rows and tasks alone.
type Scheduler struct {
	opts SchedulerOptions

	mu sync.Mutex
	// lastRenewal holds the time of the last lease renewal of each task that was last seen running.
	lastRenewal map[string]time.Time
	// learned holds the observed resource usage and run times by planner.LearnedKey.
	learned map[string]planner.Learned
	// failures holds the times of the task failures of each host within failureWindow.
	failures map[string][]time.Time
}

// NewScheduler returns a Scheduler that has observed no tasks yet.
func NewScheduler(opts SchedulerOptions) *Scheduler {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	if opts.Lease == 0 {
		opts.Lease = DefaultLease
	}
	if opts.Retention == 0 {
		opts.Retention = DefaultRetention
	}
	if opts.Log == nil {
		opts.Log = log.Log
	}
	return &Scheduler{
		opts: opts, lastRenewal: make(map[string]time.Time), learned: make(map[string]planner.Learned),
		failures: make(map[string][]time.Time),
	}
}

// Run calls Pass once every interval until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(s.opts.Interval)
	defer ticker.Stop()
	for {
		if err := s.Pass(ctx); err != nil && ctx.Err() == nil {
			s.opts.Log.WithError(err).Warn("scheduling pass of jobs failed")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// jobEntry is a job within one pass: its row and its task.
type jobEntry struct {
	job     structs.Job
	version uint64
	task    cloud.Task
	hasTask bool
	// stale is set when a write of the row did not certainly take effect. The entry is left alone then, and the next
	// pass reads the row again.
	stale bool
	// payloadLeft is set if the job has a payload that is too large to hold those of all jobs. It is read again when it is needed.
	payloadLeft bool
}

// maxHeldPayload is the size of the largest payload that a pass holds for each job, in bytes.
const maxHeldPayload = 4 << 10

// leavePayload drops a payload that is too large to hold.
func (e *jobEntry) leavePayload() {
	if len(e.job.Spec.Payload) > maxHeldPayload {
		e.job.Spec.Payload, e.payloadLeft = "", true
	}
}

// withPayload returns the job of an entry with its payload. The error matches ErrUnavailable if the row cannot be read or has changed.
func (s *Scheduler) withPayload(ctx context.Context, e *jobEntry, job structs.Job) (structs.Job, error) {
	if !e.payloadLeft {
		return job, nil
	}
	row, err := s.opts.Table.Get(ctx, jobKey(s.opts.DataCentre, job.ID))
	if err != nil {
		return job, translateError(err)
	}
	var stored structs.Job
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return job, errors.Wrapf(err, "decode row %s", row.Key)
	}
	if row.Version != e.version {
		return job, errors.Wrap(ErrUnavailable, "the row has changed")
	}
	job.Spec.Payload = stored.Spec.Payload
	return job, nil
}

// running reports whether the task of the job was running, throttled or not, when the pass read it.
func (e *jobEntry) running() bool {
	return e.hasTask && (e.task.State == cloud.TaskRunning || e.task.State == cloud.TaskThrottled)
}

// Pass renews leases, updates the row of each job from its task, and plans and starts jobs. A process that is not the
// leader only renews the leases of the tasks that it has seen: a renewal starts nothing, and an outage of the table
// that ends the leadership must not end the tasks.
func (s *Scheduler) Pass(ctx context.Context) error {
	s.renewDue(ctx)
	if !s.isLeader() {
		return nil
	}
	entries, err := s.loadEntries(ctx)
	if err != nil {
		return err
	}
	s.forEach(ctx, entries, s.reconcile)
	s.placeJobs(ctx, entries)
	return nil
}

func (s *Scheduler) isLeader() bool {
	_, ok := s.opts.Leadership.Fence()
	return ok
}

// forEach calls fn for all entries, at most maxParallel at a time, and returns when all calls have returned.
func (s *Scheduler) forEach(ctx context.Context, entries []*jobEntry, fn func(context.Context, *jobEntry)) {
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for _, e := range entries {
		group.Go(func() error {
			fn(ctx, e)
			return nil
		})
	}
	// The functions record failures in the entries and never return an error.
	_ = group.Wait()
}

// renewDue renews the leases of running tasks that were last renewed half a lease ago or earlier.
func (s *Scheduler) renewDue(ctx context.Context) {
	now := time.Now()
	var due []*jobEntry
	s.mu.Lock()
	for id, at := range s.lastRenewal {
		if now.Sub(at) >= s.opts.Lease/2 {
			due = append(due, &jobEntry{job: structs.Job{TaskID: id}})
		}
	}
	s.mu.Unlock()
	s.forEach(ctx, due, s.renewTask)
}

// renewTask renews the lease of a task, and forgets a task that ended.
func (s *Scheduler) renewTask(ctx context.Context, e *jobEntry) {
	at := time.Now()
	err := s.opts.Workers.RenewTask(ctx, e.job.TaskID, s.opts.Lease)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.lastRenewal[e.job.TaskID] = at
	case errors.Is(err, cloud.ErrNotFound), errors.Is(err, cloud.ErrConflict):
		delete(s.lastRenewal, e.job.TaskID)
	}
}

// loadEntries reads the tasks first and then the rows. A task that starts between the two reads is missing from the
// entry of its job. That is harmless: reconcile starts the same task id again, which has no effect.
func (s *Scheduler) loadEntries(ctx context.Context) ([]*jobEntry, error) {
	tasks, err := s.opts.Workers.Tasks(ctx, s.opts.DataCentre)
	if err != nil {
		return nil, translateError(err)
	}
	byID := make(map[string]cloud.Task, len(tasks))
	for _, t := range tasks {
		byID[t.Spec.ID] = t
	}
	var entries []*jobEntry
	err = forEachJob(ctx, s.opts.Table, s.opts.DataCentre, func(job structs.Job, version uint64) {
		e := &jobEntry{job: job, version: version}
		e.leavePayload()
		e.task, e.hasTask = byID[job.TaskID]
		entries = append(entries, e)
	})
	return entries, err
}

// saveJob writes the row of a job if this process is still the leader and the row is unchanged. It reports whether the
// write certainly took effect, and marks the entry as stale if not.
func (s *Scheduler) saveJob(ctx context.Context, e *jobEntry, job structs.Job, extra ...cloud.Precondition) bool {
	fence, ok := s.opts.Leadership.Fence()
	if !ok || e.stale {
		e.stale = true
		return false
	}
	if job.State.Final() && job.FinishedUnixMS == 0 {
		job.FinishedUnixMS = time.Now().UnixMilli()
	}
	job, err := s.withPayload(ctx, e, job)
	var txn cloud.Txn
	if err == nil {
		txn, err = jobTxn(jobPrefix(s.opts.DataCentre)+job.ID, job, e.version, append(extra, fence)...)
	}
	if err == nil {
		e.version, err = s.opts.Table.Commit(ctx, txn)
	}
	if err != nil {
		e.stale = true
		s.opts.Log.WithError(err).WithField("job", job.ID).Debug("row of the job could not be written")
		return false
	}
	e.job = job
	e.leavePayload()
	return true
}

// reconcile updates the row of one job from its task.
func (s *Scheduler) reconcile(ctx context.Context, e *jobEntry) {
	switch {
	case e.job.State.Final():
		s.reconcileFinished(ctx, e)
	case e.job.TaskID == "":
		if e.job.CancelRequested {
			s.saveJob(ctx, e, withFinalState(e.job, structs.JobCancelled, "cancelled while it waited"))
		}
	case !e.hasTask:
		s.reconcileMissingTask(ctx, e)
	case e.running():
		s.observeTask(e)
		if e.job.CancelRequested && s.isLeader() {
			// The next pass sees that the task stopped and ends the job.
			_ = s.opts.Workers.StopTask(ctx, e.job.TaskID)
			return
		}
		// A former leader that was paused may have started this task id on the host that the row named before, so
		// the row takes the host from the task.
		if e.job.State != structs.JobRunning || e.job.Worker != e.task.Spec.Host {
			job := e.job
			job.State, job.Worker = structs.JobRunning, e.task.Spec.Host
			s.saveJob(ctx, e, job)
		}
	default:
		s.stopRenewing(e.job.TaskID)
		s.saveJob(ctx, e, s.afterTask(e.job, e.task))
	}
}

// reconcileFinished stops a task that still runs although its job is in a final state, and deletes the row after the
// retention time.
func (s *Scheduler) reconcileFinished(ctx context.Context, e *jobEntry) {
	if e.running() && s.isLeader() {
		_ = s.opts.Workers.StopTask(ctx, e.job.TaskID)
		return
	}
	age := time.Since(time.UnixMilli(e.job.FinishedUnixMS))
	fence, ok := s.opts.Leadership.Fence()
	if !ok || age < s.opts.Retention {
		return
	}
	row := jobKey(s.opts.DataCentre, e.job.ID)
	// A deletion that fails is repeated by the next pass.
	_, _ = s.opts.Table.Commit(ctx, cloud.Txn{
		Preconditions: []cloud.Precondition{{Key: row, Version: e.version}, fence},
		Ops:           []cloud.Op{{Key: row, Delete: true}, {Key: locatorKey(e.job.ID), Delete: true}},
	})
}

// reconcileMissingTask handles a job whose recorded task does not exist, because the start was lost or has not happened
// yet. It starts the same task id again: the platform starts an id only once, so a delayed start by an earlier leader
// cannot run the job twice. If the worker does not accept the task, the job waits for another one and keeps the task id.
func (s *Scheduler) reconcileMissingTask(ctx context.Context, e *jobEntry) {
	if e.job.State != structs.JobRunning {
		if e.job.CancelRequested {
			s.saveJob(ctx, e, withFinalState(e.job, structs.JobCancelled, "cancelled while it waited"))
		}
		return
	}
	if e.job.CancelRequested {
		s.saveJob(ctx, e, withFinalState(e.job, structs.JobCancelled, "cancelled; its start was requested but not observed"))
		return
	}
	if err := s.startTask(ctx, e); errors.Is(err, cloud.ErrConflict) {
		s.recordFailure(e.job.Worker)
		job := e.job
		job.State, job.Reason = waitingState(job), "worker "+job.Worker+" did not accept the task"
		job.Attempt--
		s.saveJob(ctx, e, job)
	}
}

// startTask starts the task that is recorded in the row of a job and registers it for lease renewal.
func (s *Scheduler) startTask(ctx context.Context, e *jobEntry) error {
	if !s.isLeader() {
		return ErrUnavailable
	}
	j, err := s.withPayload(ctx, e, e.job)
	if err != nil {
		return err
	}
	at := time.Now()
	err = s.opts.Workers.StartTask(ctx, cloud.TaskSpec{
		ID: j.TaskID, DataCentre: s.opts.DataCentre, Host: j.Worker, Cores: j.Spec.Cores, MemoryMB: j.Spec.MemoryMB,
		Accelerators: j.Spec.Accelerators, Payload: j.Spec.Payload, Checkpoint: j.Checkpoint, Lease: s.opts.Lease,
	})
	if err == nil {
		s.mu.Lock()
		s.lastRenewal[j.TaskID] = at
		s.mu.Unlock()
	}
	return err
}

// waitingState is the state of a job without a running task: paused if it has a checkpoint to resume from, otherwise
// queued.
func waitingState(job structs.Job) structs.JobState {
	if job.Checkpoint != "" {
		return structs.JobPaused
	}
	return structs.JobQueued
}

// withFinalState returns the job in a final state with its reason.
func withFinalState(job structs.Job, state structs.JobState, reason string) structs.Job {
	job.State, job.Reason = state, reason
	return job
}

// afterTask returns the job after its task ended. A task that was stopped without a cancellation request ends a job that
// is not idempotent, because its effect is unknown.
func (s *Scheduler) afterTask(job structs.Job, task cloud.Task) structs.Job {
	switch task.State {
	case cloud.TaskDone:
		s.learnRunTime(job)
		return withFinalState(job, structs.JobDone, "")
	case cloud.TaskCheckpointed:
		job.Checkpoint = task.Checkpoint
		return requeued(job, "checkpointed to make room")
	case cloud.TaskStopped:
		if job.CancelRequested {
			return withFinalState(job, structs.JobCancelled, "cancelled; its task was stopped")
		}
		if !job.Spec.Idempotent {
			return withFinalState(job, structs.JobUnknown, "its task was stopped: "+task.Reason)
		}
		return requeued(job, "stopped to make room")
	}
	s.recordFailure(task.Spec.Host)
	return afterFailure(job, task)
}

// requeued returns a job that waits for its next task after the last one ended without a failure. The ended attempt is
// not counted.
func requeued(job structs.Job, reason string) structs.Job {
	if job.CancelRequested {
		return withFinalState(job, structs.JobCancelled, "cancelled; its task had ended")
	}
	job.TaskID, job.Reason = "", reason
	job.Attempt--
	job.State = waitingState(job)
	return job
}

// afterFailure returns the job after its task failed or was lost. A job that is not idempotent is never started again;
// others are, up to MaxAttempts attempts.
func afterFailure(job structs.Job, task cloud.Task) structs.Job {
	reason := string(task.State) + " on " + task.Spec.Host + ": " + task.Reason
	job.FailedWorkers = append(append([]string(nil), job.FailedWorkers...), task.Spec.Host)
	switch {
	case !job.Spec.Idempotent && task.State == cloud.TaskFailed:
		return withFinalState(job, structs.JobFailed, reason+"; not repeated because the job is not idempotent")
	case !job.Spec.Idempotent:
		return withFinalState(job, structs.JobUnknown, reason+"; not repeated because the job is not idempotent")
	case job.CancelRequested:
		return withFinalState(job, structs.JobCancelled, "cancelled; its task had "+reason)
	case job.Attempt >= MaxAttempts:
		return withFinalState(job, structs.JobFailed, reason+"; no attempt is left")
	}
	job.TaskID, job.Reason, job.State = "", reason, waitingState(job)
	return job
}

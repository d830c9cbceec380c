package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/fleet"
	"github.com/tamarackworks/tamarackworks/planner"
	"github.com/tamarackworks/tamarackworks/structs"
)

// placeJobs asks the planner for a plan for all unfinished jobs and applies it: it changes running tasks, ends jobs
// that cannot run and starts jobs.
func (s *Scheduler) placeJobs(ctx context.Context, entries []*jobEntry) {
	snapshot := s.plannerSnapshot(entries)
	plan := planner.PlaceJobs(snapshot, time.Now())
	byID := make(map[string]*jobEntry, len(entries))
	for _, e := range entries {
		byID[e.job.ID] = e
	}
	s.changeTasks(ctx, plan, byID)
	for _, r := range plan.Refuse {
		e := byID[r.Job]
		s.saveJob(ctx, e, withFinalState(e.job, structs.JobRefused, r.Reason))
	}
	for _, r := range plan.Fail {
		e := byID[r.Job]
		s.saveJob(ctx, e, withFinalState(e.job, structs.JobFailed, r.Reason))
	}
	placements := make(map[*jobEntry]planner.Placement, len(plan.Start))
	var starting []*jobEntry
	for _, p := range plan.Start {
		placements[byID[p.Job]] = p
		starting = append(starting, byID[p.Job])
	}
	s.forEach(ctx, starting, func(ctx context.Context, e *jobEntry) { s.startPlacement(ctx, e, placements[e]) })
}

// changeTasks throttles, unthrottles, checkpoints and stops running tasks as planned. It writes no rows: the next pass
// sees the new states of the tasks and updates the rows.
func (s *Scheduler) changeTasks(ctx context.Context, plan planner.JobPlan, byID map[string]*jobEntry) {
	steps := []struct {
		ids []string
		do  func(ctx context.Context, task string) error
	}{
		{plan.Throttle, func(ctx context.Context, task string) error { return s.opts.Workers.ThrottleTask(ctx, task, true) }},
		{plan.Unthrottle, func(ctx context.Context, task string) error { return s.opts.Workers.ThrottleTask(ctx, task, false) }},
		{plan.Checkpoint, func(ctx context.Context, task string) error {
			_, err := s.opts.Workers.CheckpointTask(ctx, task)
			return err
		}},
		{plan.Stop, s.opts.Workers.StopTask},
	}
	for _, step := range steps {
		var entries []*jobEntry
		for _, id := range step.ids {
			entries = append(entries, byID[id])
		}
		s.forEach(ctx, entries, func(ctx context.Context, e *jobEntry) {
			if !s.isLeader() || !e.running() {
				return
			}
			if err := step.do(ctx, e.job.TaskID); err != nil {
				s.opts.Log.WithError(err).WithField("job", e.job.ID).Debug("running task could not be changed")
			}
		})
	}
}

// startPlacement records the attempt, the worker and the task id in the row of a job before it starts the task, so that
// a new leader knows of every start that may have happened.
func (s *Scheduler) startPlacement(ctx context.Context, e *jobEntry, p planner.Placement) {
	assigned, ok := s.activeAssignment(ctx, p.Host)
	if !ok {
		return
	}
	job := e.job
	job.State, job.Worker, job.Reason = structs.JobRunning, p.Host, ""
	job.StartedUnixMS = time.Now().UnixMilli()
	job.Attempt++
	// A task id that was recorded but whose task was never observed is reused, see reconcileMissingTask.
	if job.TaskID == "" {
		job.Starts++
		job.TaskID = fmt.Sprintf("%s.%d", job.ID, job.Starts)
	}
	if s.saveJob(ctx, e, job, assigned) {
		// A start that fails is repeated by the next pass.
		_ = s.startTask(ctx, e)
	}
}

// activeAssignment reads the assignment of a host and returns the precondition that it is unchanged. It reports false
// if the assignment is not in phase active: a drain may have begun after the snapshot was taken, and no task may start
// on a draining host.
func (s *Scheduler) activeAssignment(ctx context.Context, host string) (cloud.Precondition, bool) {
	row, err := s.opts.Table.Get(ctx, fleet.AssignmentKey(s.opts.DataCentre, host))
	if err != nil {
		return cloud.Precondition{}, false
	}
	var a structs.Assignment
	if json.Unmarshal(row.Value, &a) != nil || a.Phase != structs.PhaseActive {
		return cloud.Precondition{}, false
	}
	return cloud.Precondition{Key: row.Key, Version: row.Version}, true
}

// plannerSnapshot adds the unfinished jobs, the task and failure counts of the hosts and the learned values to the
// state of the data centre. Stale entries are left out.
func (s *Scheduler) plannerSnapshot(entries []*jobEntry) planner.Snapshot {
	snapshot := s.opts.Snapshots.PlannerSnapshot()
	snapshot.Jobs = nil
	tasks := make(map[string]int)
	for _, e := range entries {
		if e.job.State.Final() || e.stale {
			continue
		}
		snapshot.Jobs = append(snapshot.Jobs, planner.Job{Job: e.job, Throttled: e.hasTask && e.task.State == cloud.TaskThrottled})
		if e.job.State == structs.JobRunning {
			tasks[e.job.Worker]++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot.Learned = make(map[string]planner.Learned, len(s.learned))
	for key, learned := range s.learned {
		snapshot.Learned[key] = learned
	}
	hosts := make([]planner.Host, len(snapshot.Hosts))
	copy(hosts, snapshot.Hosts)
	for i := range hosts {
		hosts[i].Tasks = tasks[hosts[i].Name]
		hosts[i].RecentFailures = s.recentFailures(hosts[i].Name)
	}
	snapshot.Hosts = hosts
	return snapshot
}

// recentFailures returns the number of task failures on a host within failureWindow and drops older ones. The caller
// must hold s.mu.
func (s *Scheduler) recentFailures(host string) int {
	recent := s.failures[host]
	for len(recent) > 0 && time.Since(recent[0]) > failureWindow {
		recent = recent[1:]
	}
	s.failures[host] = recent
	return len(recent)
}

// recordFailure records that a task failed on a host now or was not accepted by it.
func (s *Scheduler) recordFailure(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures[host] = append(s.failures[host], time.Now())
}

// stopRenewing ends the renewal of the lease of a task that ended.
func (s *Scheduler) stopRenewing(task string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lastRenewal, task)
}

// observeTask registers a running task for lease renewal and adds its resource usage to the learned values.
func (s *Scheduler) observeTask(e *jobEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.lastRenewal[e.job.TaskID]; !ok {
		// The zero time makes the next pass renew the lease of a task that an earlier leader started.
		s.lastRenewal[e.job.TaskID] = time.Time{}
	}
	if e.task.State != cloud.TaskRunning {
		return
	}
	key := planner.LearnedKey(e.job.Spec)
	s.learned[key] = s.learned[key].WithUse(e.job.Spec, e.task.UsedCores, e.task.UsedMemoryMB)
}

// learnRunTime adds the run time of a completed job to the learned values. A job that resumed from a checkpoint is
// ignored, because its last task ran for only a part of the run time.
func (s *Scheduler) learnRunTime(job structs.Job) {
	if job.Checkpoint != "" || job.StartedUnixMS == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := planner.LearnedKey(job.Spec)
	s.learned[key] = s.learned[key].WithRun(job.Spec, time.Since(time.UnixMilli(job.StartedUnixMS)))
}

// Busy reports whether a host runs a job. It reads the current rows, because the drainer asks before it reboots the
// host.
func (s *Scheduler) Busy(ctx context.Context, host string) (bool, error) {
	busy := false
	err := forEachJob(ctx, s.opts.Table, s.opts.DataCentre, func(j structs.Job, _ uint64) {
		busy = busy || j.State == structs.JobRunning && j.Worker == host
	})
	return busy, err
}

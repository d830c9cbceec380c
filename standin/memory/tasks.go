package memory

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/structs"
)

// TaskPayload is the JSON form in which this platform expects the payload of a task.
type TaskPayload struct {
	// RunMS is the actual run time at full speed, in milliseconds.
	RunMS int64 `json:"run_ms"`
	// Fail makes the task fail at the end of its run time.
	Fail bool `json:"fail,omitempty"`
}

// throttleFactor is the speed of a throttled task as a fraction of full speed.
const throttleFactor = 0.25

// taskRecord is one task. Its state is brought up to date by advance when it is read or changed.
type taskRecord struct {
	spec       cloud.TaskSpec
	state      cloud.TaskState
	reason     string
	checkpoint string
	runTime    time.Duration
	fail       bool
	// progress is how much of runTime was done at updatedAt.
	progress       time.Duration
	updatedAt      time.Time
	leaseExpiresAt time.Time
}

func (t *taskRecord) active() bool {
	return t.state == cloud.TaskRunning || t.state == cloud.TaskThrottled
}

// advance brings progress and state up to now. A task is lost if its lease expired before it reached the end of its run
// time.
func (t *taskRecord) advance(now time.Time) {
	if !t.active() {
		return
	}
	until := now
	expired := now.After(t.leaseExpiresAt)
	if expired {
		until = t.leaseExpiresAt
	}
	elapsed := until.Sub(t.updatedAt)
	if t.state == cloud.TaskThrottled {
		elapsed = time.Duration(float64(elapsed) * throttleFactor)
	}
	t.progress += elapsed
	t.updatedAt = until
	switch {
	case t.progress >= t.runTime && t.fail:
		t.state, t.reason = cloud.TaskFailed, "task exited with an error"
	case t.progress >= t.runTime:
		t.state = cloud.TaskDone
	case expired:
		t.state, t.reason = cloud.TaskLost, "lease lapsed"
	}
}

// SetWorkerFailing makes a worker fail every task it starts.
func (p *Platform) SetWorkerFailing(host string, failing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failingWorkers[host] = failing
}

// TaskStarts returns the number of tasks started with each payload. Starting the same id again does not count. Tests use
// it to count executions.
func (p *Platform) TaskStarts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	starts := make(map[string]int)
	for _, t := range p.tasks {
		starts[t.spec.Payload]++
	}
	return starts
}

// loseTasks marks the active tasks of a host as lost. The caller holds p.mu.
func (p *Platform) loseTasks(host string, now time.Time) {
	for _, t := range p.tasks {
		t.advance(now)
		if t.spec.Host == host && t.active() {
			t.state, t.reason = cloud.TaskLost, "worker restarted"
		}
	}
}

// StartTask implements cloud.Workers.
func (h *Handle) StartTask(ctx context.Context, spec cloud.TaskSpec) error {
	if spec.ID == "" || spec.Host == "" || spec.Lease <= 0 {
		return cloud.ErrInvalid
	}
	return h.write(ctx, func() error { return h.p.startTask(spec) })
}

// startTask records a task; starting a known id again has no effect. The caller holds p.mu.
func (p *Platform) startTask(spec cloud.TaskSpec) error {
	if _, ok := p.tasks[spec.ID]; ok {
		return nil
	}
	now := time.Now()
	if r, ok := p.hosts[spec.Host]; ok {
		if state, _ := r.at(now); !state.Live {
			return cloud.ErrConflict
		}
	}
	var payload TaskPayload
	// With a payload in another form the run time is 0, so the task ends at once.
	_ = json.Unmarshal([]byte(spec.Payload), &payload)
	t := &taskRecord{
		spec: spec, state: cloud.TaskRunning, fail: payload.Fail,
		runTime:   time.Duration(payload.RunMS) * time.Millisecond,
		updatedAt: now, leaseExpiresAt: now.Add(spec.Lease),
	}
	if spec.Checkpoint != "" {
		t.progress = p.checkpointProgress(spec.Checkpoint)
	}
	if p.failingWorkers[spec.Host] {
		t.state, t.reason = cloud.TaskFailed, "worker fails every task"
	}
	p.tasks[spec.ID] = t
	return nil
}

// checkpointProgress returns the progress stored in a checkpoint, 0 if it is missing or unreadable.
func (p *Platform) checkpointProgress(name string) time.Duration {
	var progress time.Duration
	if json.Unmarshal(p.objects[name], &progress) != nil {
		return 0
	}
	return progress
}

// changeTask brings a task up to date and runs fn on it under p.mu, or returns ErrConflict if the task has ended.
func (h *Handle) changeTask(ctx context.Context, id string, fn func(t *taskRecord) error) error {
	return h.write(ctx, func() error {
		t, ok := h.p.tasks[id]
		if !ok {
			return cloud.ErrNotFound
		}
		t.advance(time.Now())
		if !t.active() {
			return cloud.ErrConflict
		}
		return fn(t)
	})
}

// RenewTask implements cloud.Workers.
func (h *Handle) RenewTask(ctx context.Context, id string, lease time.Duration) error {
	return h.changeTask(ctx, id, func(t *taskRecord) error {
		t.leaseExpiresAt = time.Now().Add(lease)
		return nil
	})
}

// CheckpointTask implements cloud.Workers. The task ends and can be resumed from the checkpoint.
func (h *Handle) CheckpointTask(ctx context.Context, id string) (string, error) {
	name := fmt.Sprintf("checkpoint/%s", id)
	err := h.changeTask(ctx, id, func(t *taskRecord) error {
		progress, err := json.Marshal(t.progress)
		if err != nil {
			return cloud.ErrInvalid
		}
		h.p.objects[name] = progress
		t.state, t.checkpoint = cloud.TaskCheckpointed, name
		return nil
	})
	if err != nil {
		return "", err
	}
	return name, nil
}

// ThrottleTask implements cloud.Workers.
func (h *Handle) ThrottleTask(ctx context.Context, id string, on bool) error {
	return h.changeTask(ctx, id, func(t *taskRecord) error {
		t.state = cloud.TaskRunning
		if on {
			t.state = cloud.TaskThrottled
		}
		return nil
	})
}

// StopTask implements cloud.Workers.
func (h *Handle) StopTask(ctx context.Context, id string) error {
	return h.changeTask(ctx, id, func(t *taskRecord) error {
		t.state, t.reason = cloud.TaskStopped, "stopped on request"
		return nil
	})
}

// Task implements cloud.Workers.
func (h *Handle) Task(ctx context.Context, id string) (cloud.Task, error) {
	if err := h.beginRead(ctx); err != nil {
		return cloud.Task{}, err
	}
	h.p.mu.Lock()
	defer h.p.mu.Unlock()
	t, ok := h.p.tasks[id]
	if !ok {
		return cloud.Task{}, cloud.ErrNotFound
	}
	t.advance(time.Now())
	return h.p.taskReport(t), nil
}

// Tasks implements cloud.Workers. It returns all tasks of the data centre, ended ones included, sorted by id.
func (h *Handle) Tasks(ctx context.Context, dataCentre string) ([]cloud.Task, error) {
	if err := h.beginRead(ctx); err != nil {
		return nil, err
	}
	h.p.mu.Lock()
	defer h.p.mu.Unlock()
	now := time.Now()
	var tasks []cloud.Task
	for _, t := range h.p.tasks {
		if t.spec.DataCentre != dataCentre {
			continue
		}
		t.advance(now)
		tasks = append(tasks, h.p.taskReport(t))
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].Spec.ID < tasks[j].Spec.ID })
	return tasks, nil
}

// taskReport returns what callers see of a task. Usage is that of the spec, once progress has reached UsageLag.
func (p *Platform) taskReport(t *taskRecord) cloud.Task {
	task := cloud.Task{Spec: t.spec, State: t.state, Checkpoint: t.checkpoint, Reason: t.reason}
	if t.active() && t.progress >= p.opts.UsageLag {
		task.UsedCores = float64(t.spec.Cores)
		task.UsedMemoryMB = t.spec.MemoryMB
	}
	return task
}

func sortHosts(states []structs.HostState) {
	sort.Slice(states, func(i, j int) bool { return states[i].Name < states[j].Name })
}

// Package workload declares the data types that the other packages share: jobs
// with their steps and tasks, the executors that run them, the machines that
// host executors, and the configuration by operators. It has no behaviour
// beyond small derived values.
package workload

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Resources is an amount of CPU, memory and GPUs.
type Resources struct {
	// CPUMilli is in thousandths of a core.
	CPUMilli int `json:"cpu,omitempty"`
	MemoryMB int `json:"mem,omitempty"`
	GPUs     int `json:"gpu,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Min returns the minimum of r and o for each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPUMilli, o.CPUMilli), min(r.MemoryMB, o.MemoryMB), min(r.GPUs, o.GPUs)}
}

// Max returns the maximum of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUMilli, o.CPUMilli), max(r.MemoryMB, o.MemoryMB), max(r.GPUs, o.GPUs)}
}

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.CPUMilli <= r.CPUMilli && o.MemoryMB <= r.MemoryMB && o.GPUs <= r.GPUs
}

// Times returns how many times o fits into r, at most limit.
func (r Resources) Times(o Resources, limit int) int {
	n := limit
	for _, x := range [...]struct{ have, need int }{{r.CPUMilli, o.CPUMilli}, {r.MemoryMB, o.MemoryMB}, {r.GPUs, o.GPUs}} {
		if x.need > 0 {
			n = min(n, x.have/x.need)
		}
	}
	return max(n, 0)
}

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int       `json:"n"`
	Size  Resources `json:"size"`
	// Estimate is the expected run time of a task.
	Estimate Millis `json:"est,omitempty"`
	// After holds the indices of earlier steps that must be done before this one starts.
	After []int `json:"after,omitempty"`
	// WritesCheckpoints tasks write checkpoints from which a later run resumes.
	WritesCheckpoints bool `json:"ckpt,omitempty"`
	// Gang tasks are gang-scheduled: they can only work together, and start and end together.
	Gang bool `json:"gang,omitempty"`
	// OneRack tasks run slower if they are spread over several racks.
	OneRack bool `json:"onerack,omitempty"`
	// Label is a label that the executor must have, or empty.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the input data of the tasks, or empty.
	DataRack string `json:"rack,omitempty"`
	// MaxPerExecutor bounds the tasks of one occurrence of the step on one executor; 0 means no bound.
	MaxPerExecutor int `json:"spread,omitempty"`
	// Speculative tasks may run in several copies at the same time.
	Speculative bool `json:"spec,omitempty"`
	// LongRunning tasks run until the job is cancelled; they are restarted whenever they end, for whatever reason.
	LongRunning bool   `json:"long,omitempty"`
	Image       string `json:"image,omitempty"`
	// TailLatencyObjective is the objective for the tail latency that clients of a long-running task see; 0 means none.
	TailLatencyObjective Millis `json:"tail,omitempty"`
	// BestEffortCPU tasks use spare CPU time on a best-effort basis: no CPU is reserved for them.
	BestEffortCPU bool `json:"fills,omitempty"`
	// MaxUnavailable bounds the tasks of a long-running step that the system stops at the same time; 0 counts as 1.
	MaxUnavailable int `json:"miss,omitempty"`
}

// Reserved returns the resources that one task of the step reserves on its executor.
func (s *Step) Reserved() Resources {
	if s.BestEffortCPU {
		return Resources{MemoryMB: s.Size.MemoryMB, GPUs: s.Size.GPUs}
	}
	return s.Size
}

// Millis is a duration in milliseconds, as it is stored in rows.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Policy holds the scheduling parameters of a queue.
type Policy struct {
	// Priority 0 is the highest.
	Priority int `json:"prio,omitempty"`
	// MaxAttempts is the number of failed runs of a task, or of all tasks of a gang together, after which the job fails;
	// 0 means no bound.
	MaxAttempts int `json:"attempts,omitempty"`
	// SlackFactor times the estimate of the longest chain of dependent steps, plus Objective, is the time within which a
	// job should complete. Values below 1 count as 1.
	SlackFactor float64 `json:"slack,omitempty"`
	Objective   Millis  `json:"objective,omitempty"`
	// Permits is set if an executor may run a step only with a permit of the advice service.
	Permits *PermitPolicy `json:"permits,omitempty"`
}

// PermitPolicy describes how the advice service grants permits for the jobs of a queue.
type PermitPolicy struct {
	// DecisionTime is the base duration of a call, and PerExecutor the additional one for each executor it names.
	DecisionTime Millis `json:"decide"`
	PerExecutor  Millis `json:"each"`
	// Validity is how long a permit can be used.
	Validity Millis `json:"valid"`
}

// Recurrence makes the steps of a job run Count times. Occurrence k, counted from 0, is due at FirstUnixMS + k*Interval.
type Recurrence struct {
	Count       int    `json:"count"`
	FirstUnixMS int64  `json:"first"`
	Interval    Millis `json:"every"`
}

// Job is an accepted job, as it is stored.
type Job struct {
	ID string `json:"-"`
	// Route is the name of the queue. Service and Policy are copied from the configuration that the accepting host used,
	// which had the version ConfigVersion.
	Route         string      `json:"route"`
	Service       string      `json:"service"`
	Policy        Policy      `json:"policy"`
	ConfigVersion uint64      `json:"config"`
	Payload       string      `json:"payload"`
	Steps         []Step      `json:"steps"`
	Recurrence    *Recurrence `json:"repeat,omitempty"`
	// Organisation is the one that owns the caller's key; it is empty if the route needs no key.
	Organisation string `json:"org,omitempty"`
	// AcceptedUnixMS is when the job was accepted, by the wall clock of the accepting host.
	AcceptedUnixMS int64 `json:"at"`
}

// Status is the status of a job, as callers see it.
type Status string

// Statuses of a job.
const (
	StatusQueued    Status = "queued"
	StatusRunning   Status = "running"
	StatusCompleted Status = "completed"
	StatusFailed    Status = "failed"
	StatusCancelled Status = "cancelled"
)

// Final reports whether the job has ended, so that the status no longer changes.
func (s Status) Final() bool {
	return s == StatusCompleted || s == StatusFailed || s == StatusCancelled
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the fields joined by dots, which is the name of the task in calls to executors.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ErrTaskID means that a string is not the name of a task.
var ErrTaskID = errors.New("workload: invalid task name")

// ParseTaskID is the inverse of TaskID.String.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, errors.Wrap(ErrTaskID, name)
	}
	t := TaskID{Job: parts[0]}
	for i, n := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 || v > math.MaxInt32 {
			return TaskID{}, errors.Wrap(ErrTaskID, name)
		}
		*n = v
	}
	return t, nil
}

// MarshalText implements encoding.TextMarshaler.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TaskID) UnmarshalText(text []byte) (err error) {
	*t, err = ParseTaskID(string(text))
	return err
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job              string
	Occurrence, Step int
}

// Executor is one incarnation of an executor process, as it registered itself.
type Executor struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Kind       string
	Rack       string
	Labels     []string
	Capacity   Resources
	Draining   bool
	// DrainRemaining is the minimum time that a draining executor keeps running; 0 if unknown.
	DrainRemaining time.Duration
	// WarmUpRemaining is the remaining time of the warm-up after its start, during which it is slow.
	WarmUpRemaining time.Duration
	// BornUnixMS is its start time, which distinguishes incarnations with the same ID; 0 if unknown.
	BornUnixMS int64
}

// HasLabel reports whether the executor has the label.
func (e *Executor) HasLabel(label string) bool {
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// End is the way in which a run of a task ended.
type End string

// Ends of a run.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	// EndLeaseExpired means that the lease of the executor on its runs expired.
	EndLeaseExpired End = "lapsed"
	// EndGangBroken means that another task of the gang ended first.
	EndGangBroken End = "broken"
	// EndGangIncomplete means that the other tasks of the gang did not start in time.
	EndGangIncomplete End = "alone"
)

// RunningTask is a task that an executor reports as running.
type RunningTask struct {
	Task TaskID
	// Run numbers the starts of the task.
	Run        int
	Checkpoint string
	// Percent is the progress of the task; a long-running task is ready to serve at 100.
	Percent float64
	// TailLatencyOrCPU is the tail latency in milliseconds of a long-running task with a TailLatencyObjective, and for other
	// tasks the CPU usage in thousandths of a core, both over the last half second.
	TailLatencyOrCPU float64
}

// EndedTask is a run that has ended. The executor reports it until it is acknowledged.
type EndedTask struct {
	// Number increases within one incarnation of the executor.
	Number     int64
	Task       TaskID
	Run        int
	Outcome    End
	Checkpoint string
}

// Report lists the tasks of an executor.
type Report struct {
	// ClockMS is the reading of the executor's monotonic clock, in milliseconds.
	ClockMS int64
	// BornUnixMS is as in Executor.
	BornUnixMS int64
	Running    []RunningTask
	Ended      []EndedTask
	// MoreEnds is set if further runs may have ended that Ended does not list. A run that is neither in Running nor in Ended may then
	// have ended in any way; otherwise it is gone.
	MoreEnds bool
}

// Machine is a worker machine; at most one executor runs on it.
type Machine struct {
	ID         string
	Pool       string
	State      MachineState
	DataCentre string
	Rack       string
	Capacity   Resources
	// Executor is the id of the executor that runs on it, or empty.
	Executor string
}

// MachineState is the state of a machine as the platform reports it.
type MachineState string

// States of a machine.
const (
	MachineUp MachineState = "up"
	// MachineMoving means that the machine is on its way to another pool.
	MachineMoving MachineState = "moving"
	// MachineInMaintenance means that the machine is down for maintenance.
	MachineInMaintenance MachineState = "upkeep"
	MachineDown          MachineState = "down"
)

// Wave is an operator's request to take machines down for maintenance within Duration.
type Wave struct {
	Number   int
	Machines []string
	Duration time.Duration
	// MaxAtOnce bounds the machines of the wave that are down at the same time.
	MaxAtOnce int
}

// Route is a queue for jobs. The requests whose host is Host and whose path starts with Prefix belong to it.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Service is the name of the pool whose executors run the jobs.
	Service string
	Policy  Policy
	// Timeout bounds a request on the route.
	Timeout time.Duration
	// Public routes require no key.
	Public bool
}

// Service is a pool of executors.
type Service struct {
	Name string
	// ChecksCapacity is set if the executors reject tasks that exceed their free capacity.
	ChecksCapacity bool
	// Standby is set for a spare pool, whose machines are switched off and not paid for.
	Standby bool
}

// Configuration is one version of the configuration that operators write.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// ChecksKeys is set if requests need the key of an organisation, except on public routes.
	ChecksKeys    bool
	Organisations []Organisation
	// MaxBodyBytes and MaxHeaderBytes bound callers' requests.
	MaxBodyBytes   int
	MaxHeaderBytes int
}

// RouteByName returns the route with the given name, or nil.
func (c *Configuration) RouteByName(name string) *Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

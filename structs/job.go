package structs

// JobState is the state of a long job.
type JobState string

// States of a long job. Done, failed, refused, cancelled and unknown are final.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobPaused    JobState = "paused"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobRefused   JobState = "refused"
	JobCancelled JobState = "cancelled"
	JobUnknown   JobState = "unknown"
)

// Final reports whether a job in this state will never run again.
func (s JobState) Final() bool {
	switch s {
	case JobDone, JobFailed, JobRefused, JobCancelled, JobUnknown:
		return true
	}
	return false
}

// JobSpec is what a caller declares about a long job.
type JobSpec struct {
	Service      string `json:"service"`
	Team         string `json:"team"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators,omitempty"`
	// RunTimeMS is the declared run time in milliseconds; it is only a hint.
	RunTimeMS int64 `json:"run_time_ms,omitempty"`
	// Idempotent jobs may be started again after an attempt that failed or whose result is unknown.
	Idempotent     bool `json:"idempotent"`
	Checkpointable bool `json:"checkpointable"`
	// Payload is passed to the worker as it is.
	Payload string `json:"payload,omitempty"`
}

// Job is the stored form of a long job under job/<dc>/<id>.
type Job struct {
	ID         string   `json:"id"`
	DataCentre string   `json:"data_centre"`
	Caller     string   `json:"caller"`
	Spec       JobSpec  `json:"spec"`
	State      JobState `json:"state"`
	// Reason explains a final or waiting state.
	Reason string `json:"reason,omitempty"`
	// Attempt is how many of the job's limited attempts are used up, the current one included. Starts that the worker
	// did not accept and tasks that ended with a checkpoint or a stop for urgent work are not counted.
	Attempt int `json:"attempt"`
	// Starts counts task starts, those after a checkpoint or a stop for urgent work included. It makes
	// task ids unique.
	Starts int `json:"starts,omitempty"`
	// StartedUnixMS is when the current or last task was started, in milliseconds since the Unix epoch, as for all
	// times named so.
	StartedUnixMS int64 `json:"started_unix_ms,omitempty"`
	// Worker is the host that runs or last ran the job.
	Worker string `json:"worker,omitempty"`
	// TaskID names the platform task of the current attempt.
	TaskID string `json:"task_id,omitempty"`
	// Checkpoint names the object that holds the last checkpoint.
	Checkpoint string `json:"checkpoint,omitempty"`
	// FailedWorkers lists workers on which an attempt failed.
	FailedWorkers   []string `json:"failed_workers,omitempty"`
	CancelRequested bool     `json:"cancel_requested,omitempty"`
	SubmittedUnixMS int64    `json:"submitted_unix_ms"`
	FinishedUnixMS  int64    `json:"finished_unix_ms,omitempty"`
}

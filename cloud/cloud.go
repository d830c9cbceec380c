// Package cloud declares what the system uses of the platform: a transactional
// table, an object store, a list of hosts, reboots of hosts, and workers that
// run tasks under leases.
package cloud

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/structs"
)

// Errors of this layer. Every implementation returns errors that match exactly one of them by errors.Is.
var (
	// ErrNotFound means that the key, object or task does not exist.
	ErrNotFound = errors.New("cloud: not found")
	// ErrConflict means that a precondition did not hold and nothing was applied.
	ErrConflict = errors.New("cloud: conflict")
	// ErrUnavailable means that the operation was certainly not applied.
	ErrUnavailable = errors.New("cloud: unavailable")
	// ErrAmbiguous means that the operation may have been applied.
	ErrAmbiguous = errors.New("cloud: result unknown")
	// ErrInvalid means that the platform rejected the request as malformed.
	ErrInvalid = errors.New("cloud: invalid request")
	// ErrTooLarge means that the response to a read exceeds what the client holds in memory.
	ErrTooLarge = errors.New("cloud: response too large")
)

const (
	// MaxTxnOps bounds both the number of preconditions and the number of operations of one transaction.
	MaxTxnOps = 128
	// MaxListLimit bounds the rows of one List call.
	MaxListLimit = 1000
)

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Precondition requires that a key is at a version. Version 0 requires that the key is absent.
type Precondition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Op puts or deletes one key.
type Op struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction. It is applied as a whole or not at all; without operations it is invalid.
type Txn struct {
	Preconditions []Precondition `json:"preconditions"`
	Ops           []Op           `json:"ops"`
}

// Table is the transactional table. Each transaction gets a version larger than all before it in the table, so
// a key that is deleted and recreated never has an old version again.
type Table interface {
	// Get returns a row or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys have the prefix and are greater than after, in key order. The limit, from 1 to
	// MaxListLimit, bounds their number.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction and returns the version of the rows written, or ErrConflict.
	Commit(ctx context.Context, txn Txn) (uint64, error)
}

// Objects is the object store.
type Objects interface {
	// PutObject creates or replaces an object.
	PutObject(ctx context.Context, key string, value []byte) error
	// GetObject returns the value of an object or ErrNotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)
	DeleteObject(ctx context.Context, key string) error
}

// HostList is the platform's list of hosts. It lags behind the actual states of the hosts.
type HostList interface {
	Hosts(ctx context.Context, dataCentre string) ([]structs.HostState, error)
}

// Maintenance reboots hosts.
type Maintenance interface {
	// Reboot reboots a host. The call is idempotent for one incarnation; it returns ErrConflict if the host has another
	// incarnation, and ErrNotFound if there is no such host.
	Reboot(ctx context.Context, host string, incarnation uint64) error
}

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task.
const (
	TaskRunning      TaskState = "running"
	TaskThrottled    TaskState = "throttled"
	TaskCheckpointed TaskState = "checkpointed"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	// TaskLost means that the lease expired or the worker went away.
	TaskLost TaskState = "lost"
)

// TaskSpec describes a task. ID is unique for each start of a job; starting a task with the same ID again has no effect.
type TaskSpec struct {
	ID           string `json:"id"`
	DataCentre   string `json:"data_centre"`
	Host         string `json:"host"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators"`
	Payload      string `json:"payload"`
	// Checkpoint names the object to resume from; if empty, the task starts from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Lease is how long the task may run without a renewal.
	Lease time.Duration `json:"lease"`
}

// Task is the reported state of a task.
type Task struct {
	Spec  TaskSpec  `json:"spec"`
	State TaskState `json:"state"`
	// Checkpoint names the object written by the last checkpoint.
	Checkpoint string `json:"checkpoint,omitempty"`
	Reason     string `json:"reason,omitempty"`
	// UsedCores and UsedMemoryMB lag behind the actual usage.
	UsedCores    float64 `json:"used_cores"`
	UsedMemoryMB int     `json:"used_memory_mb"`
}

// Workers runs tasks under leases.
type Workers interface {
	// StartTask starts a task on its host, or returns ErrConflict if the host is not live.
	StartTask(ctx context.Context, spec TaskSpec) error
	// RenewTask makes the lease of a task end after the given time from now. As for all changes of a task, ErrNotFound
	// means that there is no such task and ErrConflict that it has ended.
	RenewTask(ctx context.Context, id string, lease time.Duration) error
	// CheckpointTask ends a task and returns the name of the checkpoint from which it can be resumed.
	CheckpointTask(ctx context.Context, id string) (checkpoint string, err error)
	// ThrottleTask slows a task down, or lets it run at full speed again.
	ThrottleTask(ctx context.Context, id string, on bool) error
	// StopTask ends a task without a checkpoint.
	StopTask(ctx context.Context, id string) error
	// Task returns a task or ErrNotFound.
	Task(ctx context.Context, id string) (Task, error)
	// Tasks returns the tasks of a data centre, ended ones included. Their payloads may be left out.
	Tasks(ctx context.Context, dataCentre string) ([]Task, error)
}

// Platform is all that an entry host uses of the platform.
type Platform interface {
	Table
	Objects
	HostList
	Maintenance
	Workers
}

package waits

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// sampleLogs are the merged logs of two hosts: a job on time, a late one that waited for a machine, a rejected one, and a machine
// that is sent to standby and moved back.
const sampleLogs = `
  0.1 host-a {"fields":{"job":"j1","queue":"q"},"level":"info","timestamp":"2026-01-01T00:00:00.1Z","message":"job accepted"}
  0.2 host-b {"fields":{"job":"j2","queue":"q"},"level":"info","timestamp":"2026-01-01T00:00:00.2Z","message":"job accepted"}
  0.3 host-a {"fields":{"pool":"p","busy":2,"idle":1},"level":"info","timestamp":"2026-01-01T00:00:00.3Z","message":"machines of a pool"}
  0.9 host-a {"fields":{"subject":"j1","took_ms":800,"objective_ms":1000},"level":"info","timestamp":"2026-01-01T00:00:00.9Z","message":"job completed"}
  1.0 host-a {"fields":{"machine":"m","action":"move","pool":"off","reason":"machine is idle"},"level":"info","timestamp":"2026-01-01T00:00:01Z","message":"machine planned"}
  2.3 host-a {"fields":{"pool":"p","busy":0,"idle":0},"level":"info","timestamp":"2026-01-01T00:00:02.3Z","message":"machines of a pool"}
  2.5 host-a {"fields":{"machine":"m","action":"move","pool":"p","reason":"work waits, machine is in standby"},"level":"info","timestamp":"2026-01-01T00:00:02.5Z","message":"machine planned"}
  2.6 host-b {"fields":{"job":"j3","queue":"q"},"level":"warn","timestamp":"2026-01-01T00:00:02.6Z","message":"job rejected, it cannot be stored"}
  3.0 host-a {"fields":{"subject":"j2","took_ms":2800,"objective_ms":1000,"wait_machine_ms":1500},"level":"info","timestamp":"2026-01-01T00:00:03Z","message":"job completed"}
no log line
  3.1 host-b {"level":"warn","message":"log lines dropped","fields":{"count":4}}
`

// Guards against a report that lacks the cause of a late job, counts a job in the wrong window, or does not count a move out of
// standby as the reversal of the move into it.
func TestReportNamesWhatLateJobsWaitedFor(t *testing.T) {
	r, err := Read(Options{Window: 2 * time.Second}, strings.NewReader(sampleLogs))
	assert.NilError(t, err)
	assert.Equal(t, len(r.Windows), 2)
	first, second := r.Windows[0], r.Windows[1]
	assert.Equal(t, first.Accepted, 2)
	assert.Equal(t, first.OnTime, 1)
	assert.Equal(t, first.Late, 1)
	assert.Equal(t, first.Waits["machine"], int64(1500))
	assert.Equal(t, second.Rejected, 1)
	assert.Equal(t, r.Orders, MachineOrders{FromStandby: 1, ToStandby: 1, Reversed: 1})
	assert.Equal(t, r.Pools[0].Busy, 4.0)
	assert.Equal(t, r.Skipped, 1)
	var table bytes.Buffer
	assert.NilError(t, r.WriteTable(&table))
	assert.Assert(t, strings.Contains(table.String(), "machine s"))
	assert.Assert(t, strings.Contains(table.String(), "not seen: 1 lines that cannot be read, 4 that were dropped"))
}

// Guards against an empty report, instead of an error, for files that are no logs.
func TestOtherFilesAreRejected(t *testing.T) {
	_, err := Read(Options{Window: time.Second}, strings.NewReader("hello\n"))
	assert.Assert(t, errors.Is(err, ErrInput))
	_, err = Read(Options{}, strings.NewReader(sampleLogs))
	assert.Assert(t, errors.Is(err, ErrInput))
}

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// Guards against waits that are counted for the wrong cause or for jobs that do not wait: a service has no executor, then one
// that is full, then a machine that is being moved to it.
func TestWaitsAreCountedByCause(t *testing.T) {
	h := newHarness(t, 0)
	step := workload.Step{Count: 1, Size: size, Estimate: 10000}
	advance := func(after time.Duration) {
		h.now += after
		h.core.Tick(h.now, 0)
		h.runCommands()
	}
	// timeUntil lets time pass, makes a change and returns how much time passed.
	timeUntil := func(change func()) time.Duration {
		began := h.now
		advance(100 * time.Millisecond)
		change()
		advance(0)
		return h.now - began
	}
	want := map[WaitCause]time.Duration{WaitUnreconciled: 0, WaitQuota: 0, WaitPermit: 0, WaitOther: 0}
	h.submit("a", step)
	want[WaitContact] = timeUntil(func() { h.addExecutor("x", size) })
	h.submit("b", step)
	want[WaitRoom] = timeUntil(func() { h.core.ExpectMachines(map[string]int{service: 1}) })
	want[WaitMachine] = timeUntil(func() { h.addExecutor("y", size) })
	assert.DeepEqual(t, h.core.Waited(), want)
	advance(time.Second)
	assert.DeepEqual(t, h.core.Waited(), want)
}

package scheduler

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// logNormal returns a duration around a median.
func logNormal(r *rand.Rand, median time.Duration, deviation float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(deviation*r.NormFloat64()))
}

// burst is a queue that gets more jobs for some seconds than its executors can do, or nearly. Its estimates are off by a factor
// of 2.5 in the middle.
type burst struct {
	seed      uint64
	executors int
	// coming is the number of executors that join the pool 2 s after the burst begins.
	coming int
	// estimatesOnly keeps the core from learning run times.
	estimatesOnly bool
	// returning is the number of jobs that arrive when the burst begins, and were first submitted up to 3 s before. If
	// hidesAges is set, the core is not told when.
	returning int
	hidesAges bool
	// order replaces the choice of the order of jobs.
	order func(queueLoad) bool
}

// play returns how many of the jobs of the burst are on time.
func (b burst) play(t *testing.T) int {
	const step = 50 * time.Millisecond
	h := newHarness(t, b.executors)
	if b.order != nil {
		h.core.ordersByUrgency = b.order
	}
	r := rand.New(rand.NewPCG(b.seed, 0))
	took, limits, ends := make(map[string]time.Duration), make(map[string]time.Duration), make(map[workload.TaskID]time.Duration)
	submit := func(id string, age time.Duration) {
		took[id] = logNormal(r, 800*time.Millisecond, 0.45)
		limits[id] = h.now - age + time.Duration(2*float64(took[id])) + 500*time.Millisecond
		estimate := workload.Millis(logNormal(r, took[id]*2/3, 0.9).Milliseconds())
		h.addJob(id, workload.Step{Count: 1 + r.IntN(12), Size: workload.Resources{CPUMilli: 500}, Estimate: estimate})
		if !b.hidesAges {
			h.core.SetSubmitted(id, h.now-age)
		}
		h.runCommands()
	}
	h.now = 10 * time.Second
	for i := range b.returning {
		submit(fmt.Sprintf("r%03d", i), time.Duration(r.Int64N(int64(3*time.Second))))
	}
	started, onTime := 0, 0
	for n := range 180 {
		if n < 120 {
			submit(fmt.Sprintf("j%03d", n), 0)
		}
		if n*int(step) == 2*int(time.Second) {
			for i := range b.coming {
				h.addExecutor(fmt.Sprintf("y%d", i), size)
			}
		}
		if b.estimatesOnly {
			clear(h.core.runtimeModels)
		}
		for _, s := range h.starts[started:] {
			ends[s.Task] = h.now + took[s.Task.Job]
		}
		started = len(h.starts)
		h.now += step
		for _, task := range slices.SortedFunc(maps.Keys(ends), func(a, b workload.TaskID) int { return strings.Compare(a.String(), b.String()) }) {
			if ends[task] > h.now {
				continue
			}
			delete(ends, task)
			h.end(task, workload.EndDone)
			if h.core.jobs[task.Job].status.Final() && h.now <= limits[task.Job] {
				onTime++
			}
		}
		h.runCommands()
	}
	return onTime
}

// Replays bursts at a pool that gets machines after 2 s, and bursts far beyond its capacity. Guards against an order that wins in
// one of them only: by urgency, an overloaded pool starts each job when it is nearly too late; by work, large jobs miss their
// objective although all could be on time once the machines are there.
func TestOrderFitsTheLoad(t *testing.T) {
	byUrgency, byWork := func(queueLoad) bool { return true }, func(queueLoad) bool { return false }
	play := func(executors, coming int, order func(queueLoad) bool) int {
		onTime := 0
		for seed := range uint64(3) {
			onTime += burst{seed: seed, executors: executors, coming: coming, order: order}.play(t)
		}
		return onTime
	}
	adaptive, urgency, work := play(3, 11, nil), play(3, 11, byUrgency), play(3, 11, byWork)
	t.Logf("machines come: %d jobs on time, %d by urgency, %d by work", adaptive, urgency, work)
	assert.Assert(t, adaptive > urgency && adaptive > work)
	adaptive, urgency = play(5, 0, nil), play(5, 0, byUrgency)
	t.Logf("overloaded: %d jobs on time, %d by urgency", adaptive, urgency)
	assert.Assert(t, adaptive > urgency)
}

// Guards against a job that counts as fresh again because its row is read again.
func TestTheFirstSubmissionCounts(t *testing.T) {
	h := newHarness(t, 0)
	h.now = 10 * time.Second
	h.submit("j", batchStep(1, 1000))
	h.core.SetSubmitted("j", h.now-3*time.Second)
	h.core.SetSubmitted("j", h.now)
	assert.Equal(t, rankOf(h.now, h.core.jobs["j"]).class, classLate)
}

// Guards against late jobs that keep an executor busy whose machine another pool needs, and against jobs on time that wait
// although only such an executor has room.
func TestYieldingExecutorsGetNoLateTasks(t *testing.T) {
	h := newHarness(t, 2)
	h.now = 10 * time.Second
	h.core.SetYielding(map[string]bool{"x0": true})
	h.addJob("late", batchStep(6, 1000))
	h.core.SetSubmitted("late", h.now-3*time.Second)
	h.addJob("fresh", batchStep(2, 1000))
	h.runCommands()
	assert.Equal(t, len(h.running["x0"]), 0)
	assert.Equal(t, len(h.running["x1"]), 4)
	h.submit("more", batchStep(2, 1000))
	assert.Equal(t, len(h.running["x0"]), 2)
	h.core.SetYielding(nil)
	h.runCommands()
	assert.Equal(t, len(h.running["x0"]), 4)
}

// Replays the seconds after an outage of the store: callers that were rejected come back at once, beside fresh jobs. Guards
// against jobs that are late by then but count as fresh, and make those late that are.
func TestFreshJobsComeBeforeThoseLateAfterAnOutage(t *testing.T) {
	known, hidden := 0, 0
	for seed := range uint64(3) {
		known += burst{seed: seed, executors: 6, coming: 8, returning: 150}.play(t)
		hidden += burst{seed: seed, executors: 6, coming: 8, returning: 150, hidesAges: true}.play(t)
	}
	t.Logf("%d jobs on time, %d if their ages are not known", known, hidden)
	assert.Assert(t, known > hidden)
}

package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// addExecutorIn adds an executor in a rack.
func (h *harness) addExecutorIn(id, rack string) {
	h.running[id] = make(map[workload.TaskID]workload.RunningTask)
	h.core.PutExecutor(h.now, workload.Executor{ID: id, Service: service, Capacity: size, Kind: "a", Rack: rack})
	h.report(id)
}

// placeOne submits a job of one task and returns the executor that it starts on, empty if it waits.
func (h *harness) placeOne(id string, step workload.Step) string {
	h.submit(id, step)
	return h.executorOf(taskID(id, 0, 0))
}

// Guards against executors that get tasks although runs take a multiple of the time there, against a new executor of a slow rack that
// has to be slow itself first, and against executors that are never tried again.
func TestSlowExecutorsGetTasksLast(t *testing.T) {
	h := newHarness(t, 0)
	for i, rack := range []string{"slow", "slow", "fast", "fast"} {
		h.addExecutorIn(fmt.Sprint("x", i), rack)
	}
	for round := range 4 {
		job := fmt.Sprint("job", round)
		h.submit(job, batchStep(4, 4000))
		h.now += time.Second
		for _, slow := range []bool{false, true} {
			for i := range 4 {
				if x := h.executorOf(taskID(job, 0, i)); (x == "x0" || x == "x1") == slow && x != "" {
					h.end(taskID(job, 0, i), workload.EndDone)
				}
			}
			h.now += 3 * time.Second
		}
	}
	h.addExecutorIn("a-new", "slow")
	h.core.Tick(h.now, 0)
	assert.Assert(t, h.core.executors["x0"].slow && h.core.executors["x1"].slow && !h.core.executors["x2"].slow)
	assert.Assert(t, h.core.executors["a-new"].slow, "its rack is slow")
	for i, want := range []string{"x2", "x3", "a-new"} {
		assert.Equal(t, h.placeOne(fmt.Sprint("later", i), batchStep(1, 4000)), want, "slow executors are used when the others are full")
	}
	h.core.Tick(h.now+6*slowdownHalfLife, 0)
	assert.Assert(t, !h.core.executors["x0"].slow)
}

// Guards against an executor of a rack that counts as slow because one other failed.
func TestOneFailingExecutorDoesNotMakeItsRackSlow(t *testing.T) {
	h := newHarness(t, 0)
	for i := range 4 {
		h.addExecutorIn(fmt.Sprint("x", i), "r")
	}
	h.submit("j", batchStep(1, 1000))
	failing := h.executorOf(taskID("j", 0, 0))
	h.end(taskID("j", 0, 0), workload.EndFailed)
	h.core.Tick(h.now, 0)
	for id, e := range h.core.executors {
		assert.Equal(t, e.slow, id == failing, id)
	}
}

// Guards against starts that hang in a rack that is cut off, and against racks that stay closed or are closed for executors that end or
// move.
func TestDarkRacksGetNoTasks(t *testing.T) {
	for name, c := range map[string]struct {
		silent  int
		refused bool
		then    func(h *harness)
		want    string
	}{
		"one is silent":         {silent: 1, want: "x1"},
		"processes ended":       {silent: 3, refused: true, want: "x3"},
		"rack is dark":          {silent: 3, want: "y"},
		"a silent one answers":  {silent: 3, then: func(h *harness) { h.report("x1") }, want: "x1"},
		"another one answers":   {silent: 3, then: func(h *harness) { h.report("x3") }, want: "x3"},
		"the silent ones ended": {silent: 2, then: func(h *harness) { h.core.EndExecutor(h.now, "x0"); h.core.EndExecutor(h.now, "x1") }, want: "x2"},
		"machines are to be moved": {silent: 0, then: func(h *harness) {
			for _, id := range []string{"x0", "x1", "x2"} {
				h.core.Cordon(h.now, id, true)
				h.core.LoseContact(h.now, id, false)
			}
		}, want: "x3"},
	} {
		h := newHarness(t, 0)
		for i := range 4 {
			h.addExecutorIn(fmt.Sprint("x", i), "r")
		}
		for i := range c.silent {
			h.core.LoseContact(h.now, fmt.Sprint("x", i), c.refused)
		}
		h.addExecutorIn("y", "other")
		h.now += 100 * time.Millisecond
		if c.then != nil {
			c.then(h)
		}
		assert.Equal(t, h.placeOne("j", batchStep(1, 1000)), c.want, name)
	}
}

// Guards against tasks that run far from their data although room near it comes soon, that wait longer than the run elsewhere takes
// more, or that wait for ever when expectations are wrong.
func TestTasksWaitForTheRackOfTheirDataIfThatIsSooner(t *testing.T) {
	near := batchStep(1, 4000)
	near.DataRack = "near"
	near.Estimate = workload.Millis(1000)
	for _, c := range []struct {
		ran  time.Duration
		want string
	}{{300 * time.Millisecond, ""}, {0, "far"}} {
		h := newHarness(t, 0)
		h.addExecutorIn("near", "near")
		h.addExecutorIn("far", "far")
		assert.Equal(t, h.placeOne("first", near), "near")
		h.now += c.ran
		assert.Equal(t, h.placeOne("second", near), c.want)
		if c.want != "" {
			continue
		}
		assert.Equal(t, h.placeOne("third", near), "far", "another task waits for the only end")
		h.now += 1200 * time.Millisecond
		h.end(taskID("third", 0, 0), workload.EndDone)
		assert.Equal(t, h.executorOf(taskID("second", 0, 0)), "far", "it has waited long enough")
	}
}

// Guards against a factor between runs far from and near their data that does not follow what was seen.
func TestLocalityIsLearned(t *testing.T) {
	l := locality{}
	assert.Assert(t, l.ratio() > 1.99 && l.ratio() < 2.01)
	for range 200 {
		l.add(1, true, true)
		l.add(4, false, true)
	}
	assert.Assert(t, l.ratio() > 3.5 && l.ratio() < 4.1, "%f", l.ratio())
}

// Guards against tasks that wait many times their run time for the rack of their data, because an owner that was held up saw starts and
// ends of short runs at nearly the same moment.
func TestLocalityIsBounded(t *testing.T) {
	l := locality{}
	for range 50 {
		l.add(0, true, true)
		l.add(20, false, true)
	}
	assert.Assert(t, l.ratio() <= maxFarRatio, "%f", l.ratio())
}

// Guards against the health of racks that no executor is in any more, which would be kept for the whole term.
func TestRacksWithoutExecutorsAreForgotten(t *testing.T) {
	h := newHarness(t, 0)
	for i := range 50 {
		h.addExecutorIn("x", fmt.Sprint("r", i))
	}
	h.core.executors["x"].blame(h.now, lostRunRatio, 1)
	h.core.EndExecutor(h.now, "x")
	h.core.Tick(h.now, 0)
	assert.Equal(t, len(h.core.racks), 1, "the evidence of the last one still counts")
	h.core.Tick(h.now+10*slowdownHalfLife, 0)
	assert.Equal(t, len(h.core.racks), 0)
}

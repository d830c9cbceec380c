package scheduler

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/interference"
	report "github.com/tamarackworks/tamarackworks/operator/interference"
	"github.com/tamarackworks/tamarackworks/workload"
)

// servingStep and fillingStep are steps of one serving and one best-effort task of half an executor, bound to an executor unless
// label is empty.
func servingStep(image, label string, cpu int) workload.Step {
	return workload.Step{Count: 1, Size: workload.Resources{CPUMilli: cpu}, LongRunning: true, TailLatencyObjective: 100, Image: image, Label: label}
}

func fillingStep(image, label string) workload.Step {
	return workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 2000}, LongRunning: true, BestEffortCPU: true, Image: image, Label: label}
}

// newLabelledHarness returns a harness with executors x0 to x2, each labelled with its ID.
func newLabelledHarness(t *testing.T, opts Options) *harness {
	h := newHarness(t, 0)
	h.core.opts.IgnoreInterference = opts.IgnoreInterference
	for _, id := range []string{"x0", "x1", "x2"} {
		h.addExecutor(id, size)
		h.core.PutExecutor(h.now, workload.Executor{ID: id, Service: service, Capacity: size, Labels: []string{id}})
	}
	return h
}

// teach makes the model know that noisy raises the ratio of api from 0.3 by rise times its share of the CPU.
func (h *harness) teach(rise float64) {
	for i := range 400 {
		h.now += 20 * time.Millisecond
		load := float64(i%8) / 10
		h.core.interference.model.Observe(h.now, "api", 0.3+rise*load, []interference.Load{{Image: "noisy", CPU: load}})
	}
}

// Guards against a best-effort task that is placed beside a serving task although another executor with long-running tasks has
// room, against one that occupies an empty executor or stays waiting without need, and against a penalty that outweighs the rules
// for yielding executors. x0 is packed most and serves api, x1 serves an image without interference, x2 is empty.
func TestBestEffortTasksAvoidServingTasksThatTheyDisturb(t *testing.T) {
	const near, above = 1.3, 2.0
	for name, test := range map[string]struct {
		rise     float64
		off      bool
		image    string
		cordoned []string
		yielding map[string]bool
		want     string
		apart    int
	}{
		"above":                          {rise: above, want: "x1", apart: 1},
		"near":                           {rise: near, want: "x1", apart: 1},
		"little":                         {rise: 0.5, want: "x0"},
		"near, only an empty executor":   {rise: near, cordoned: []string{"x1"}, want: "x0"},
		"above, only an empty executor":  {rise: above, cordoned: []string{"x1"}, want: "x2", apart: 1},
		"above, no other room":           {rise: above, cordoned: []string{"x1", "x2"}, want: "x0"},
		"above, others yield":            {rise: above, yielding: map[string]bool{"x1": true, "x2": true}, want: "x0"},
		"above, switched off":            {rise: above, off: true, want: "x0"},
		"another image":                  {rise: above, image: "quiet", want: "x0"},
		"nothing learned":                {want: "x0"},
		"a task that names no image":     {rise: above, image: "-", want: "x0"},
		"near, an empty executor yields": {rise: near, cordoned: []string{"x1"}, yielding: map[string]bool{"x2": true}, want: "x0"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLabelledHarness(t, Options{IgnoreInterference: test.off})
			h.submit("api", servingStep("api", "x0", 2000))
			h.submit("db", servingStep("db", "x1", 1000))
			h.reportServing()
			if test.rise > 0 {
				h.teach(test.rise)
			}
			for _, id := range test.cordoned {
				h.core.Cordon(h.now, id, true)
			}
			h.core.SetYielding(test.yielding)
			step := fillingStep("noisy", "")
			if test.image != "" {
				step.Image = map[string]string{"quiet": "quiet"}[test.image]
			}
			h.submit("fill", step)
			assert.Equal(t, h.executorOf(taskID("fill", 0, 0)), test.want)
			assert.Equal(t, h.core.Interference().KeptApart, test.apart)
		})
	}
}

// Guards against a serving task that is placed beside best-effort tasks that disturb it, also while these are slowed down and use
// little, and against log lines for each of many such placements.
func TestServingTasksAvoidBestEffortTasksThatDisturbThem(t *testing.T) {
	h := newLabelledHarness(t, Options{})
	h.submit("fill", fillingStep("noisy", "x0"))
	h.submit("pad", batchStep(1, 2000))
	h.submit("db", servingStep("db", "x1", 500))
	h.reportServing()
	h.teach(2)
	h.core.Decisions()
	step := servingStep("api", "", 300)
	step.Count = 4
	h.submit("api", step)
	for i := range step.Count {
		assert.Equal(t, h.executorOf(taskID("api", 0, i)), "x1")
	}
	assert.Equal(t, h.core.Interference().KeptApart, 4)
	logged := 0
	for _, d := range h.core.Decisions() {
		if d.Message == "task kept apart" {
			logged++
			assert.Equal(t, d.Inputs["beside"], "noisy")
		}
	}
	assert.Equal(t, logged, 1)
}

// Guards against reports that teach the model nothing or something wrong, against totals of the wrong time, against log lines
// that come with every tick or, without long-running tasks, at all, and against fields that tamarack interference does not find.
func TestReportsTeachInterference(t *testing.T) {
	h := newLabelledHarness(t, Options{})
	h.submit("finite", batchStep(1, 1000))
	for range 10 {
		h.advance(time.Second)
		h.report("x0")
	}
	for _, d := range h.core.Decisions() {
		assert.Assert(t, d.Message != "interference")
	}
	h.submit("api", servingStep("api", "x0", 1000))
	h.submit("fill", fillingStep("noisy", "x0"))
	h.reportServing()
	lines := 0
	var last Decision
	for i := range 120 {
		cpu := float64(i%8) * 400
		tail := 20 + cpu/20
		for id, value := range map[workload.TaskID]float64{taskID("api", 0, 0): tail, taskID("fill", 0, 0): cpu} {
			x := h.running["x0"][id]
			x.TailLatencyOrCPU = value
			h.running["x0"][id] = x
		}
		h.now += 499 * time.Millisecond
		h.report("x0")
		h.advance(0)
		for _, d := range h.core.Decisions() {
			if d.Message == "interference" {
				lines++
				last = d
			}
		}
	}
	rise := h.core.interference.model.Rise(h.now, interference.Pair{Serving: "api", Beside: "noisy"})
	assert.Assert(t, rise > 1.5 && rise < 2.5, "%f", rise)
	totals := h.core.Interference()
	assert.Equal(t, totals.Serving.Round(time.Second), time.Minute)
	assert.Equal(t, totals.BestEffort, totals.Serving)
	assert.Assert(t, totals.AboveObjective > totals.Serving/8 && totals.AboveObjective < totals.Serving/2, "%+v", totals)
	assert.Assert(t, totals.PacedDown > 0 && totals.PacedDown <= totals.BestEffort, "%+v", totals)
	assert.Assert(t, lines >= 15 && lines <= 21, "%d", lines)
	line, err := json.Marshal(map[string]any{"message": last.Message, "fields": last.Inputs})
	assert.NilError(t, err)
	read, err := report.Read(bytes.NewReader(line))
	assert.NilError(t, err)
	assert.Assert(t, read.ServingMS > 0 && read.AboveObjectiveMS > 0 && read.BestEffortMS > 0 && read.PacedDownMS > 0 && !read.PenaltyOff, "%+v", read)
	assert.Equal(t, read.Effects[0].Beside, "noisy")
}

// Guards against observations of jobs without images, which would make pairs of tasks that have nothing in common.
func TestJobsWithoutImagesTeachNothing(t *testing.T) {
	h := newLabelledHarness(t, Options{})
	h.submit("serve", servingStep("", "x0", 1000))
	h.submit("fill", fillingStep("noisy", "x0"))
	for range 20 {
		x := h.running["x0"][taskID("serve", 0, 0)]
		x.TailLatencyOrCPU = 50
		h.running["x0"][taskID("serve", 0, 0)] = x
		h.now += time.Second
		h.reportServing()
	}
	assert.Equal(t, h.core.Interference().Pairs, 0)
	assert.Assert(t, h.core.Interference().Serving > 0)
}

package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/workload"
)

// overloadPlay is a queue that gets a multiple of what its executors can do for some seconds, and nearly nothing for the rest of 20 s,
// from callers that come back when they are told. Objectives are 600 ms beyond the work.
type overloadPlay struct {
	factor   float64
	length   time.Duration
	maxTasks int
	// heavy is the multiple of the others' load that the first of four organisations sends; 0 means no organisations.
	heavy   int
	refuses bool
}

// overloadOutcome holds the jobs that ended within three times their objective and those that were refused, with the organisation.
type overloadOutcome struct{ inTime, refused map[string]string }

func (o overloadPlay) play(t *testing.T) overloadOutcome {
	const step, executors, organisations = 50 * time.Millisecond, 10, 4
	h := newHarness(t, executors)
	config := *h.core.config
	config.Version, config.Routes = 2, []workload.Route{{Name: "queue", Service: service, Policy: workload.Policy{MaxAttempts: 2, SlackFactor: 1, Objective: 600}}}
	for i := range organisations {
		// The weights share what the executors can do: some 70 jobs a second of one task.
		config.Organisations = append(config.Organisations, workload.Organisation{Name: fmt.Sprint("o", i), Weight: 17})
	}
	h.core.Configure(h.now, &config)
	r, spread := rand.New(rand.NewPCG(1, 0)), rand.New(rand.NewPCG(1, 1))
	out := overloadOutcome{make(map[string]string), make(map[string]string)}
	took, first := make(map[string]time.Duration), make(map[string]time.Duration)
	type attempt struct {
		job *workload.Job
		try int
	}
	arrivals := make(map[int][]attempt)
	ends := make(map[workload.TaskID]time.Duration)
	h.now = 10 * time.Second
	start, credit, started, jobs := h.now, 0.0, 0, 0
	var closures []Closure
	passAt := make(map[string]time.Duration)
	for n := range 400 {
		factor := 0.05
		if h.now-start < o.length {
			factor = o.factor
		}
		for credit += factor * executors * float64(size.CPUMilli) * step.Seconds(); credit > 0; jobs++ {
			job := &workload.Job{ID: fmt.Sprintf("j%05d", jobs), Route: "queue", Service: service, ConfigVersion: 2, Policy: config.Routes[0].Policy}
			took[job.ID], first[job.ID] = time.Second+time.Duration(r.Int64N(int64(300*time.Millisecond))), h.now
			if o.heavy > 0 {
				job.Organisation = fmt.Sprint("o", max(r.IntN(o.heavy+organisations-1)-o.heavy+1, 0))
			}
			count := 1 + r.IntN(o.maxTasks)
			credit -= float64(count) * 500 * took[job.ID].Seconds()
			estimate := workload.Millis(logNormal(r, took[job.ID], 0.3).Milliseconds())
			job.Steps = []workload.Step{{Count: count, Size: workload.Resources{CPUMilli: 500}, Estimate: estimate}}
			arrivals[n] = append(arrivals[n], attempt{job, 0})
		}
		if n%4 == 0 {
			closures = h.core.Closures(h.now, nil)
		}
		for _, a := range arrivals[n] {
			i := slices.IndexFunc(closures, func(x Closure) bool {
				return (x.Organisation == "" || x.Organisation == a.job.Organisation) && x.Refuses(a.job)
			})
			// One host knows all jobs here, so that it lets the whole floor pass.
			if i >= 0 && a.job.Organisation != "" && h.now >= passAt[a.job.Organisation] {
				passAt[a.job.Organisation] = max(passAt[a.job.Organisation], h.now-time.Second) + time.Duration(float64(time.Second)/closures[i].Floor)
				i = -1
			}
			if o.refuses && i >= 0 {
				out.refused[a.job.ID] = a.job.Organisation
				if a.try < 4 {
					back := n + int((closures[i].Return+time.Second+time.Duration(spread.Int64N(int64(time.Second))))/step)
					arrivals[back] = append(arrivals[back], attempt{a.job, a.try + 1})
				}
				continue
			}
			assert.NilError(t, h.core.AddJob(h.now, a.job, nil, 0, false))
			h.core.SetSubmitted(a.job.ID, first[a.job.ID])
		}
		h.runCommands()
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
			j := h.core.jobs[task.Job]
			if j.status.Final() && h.now-first[task.Job] <= 3*(took[task.Job]+600*time.Millisecond) {
				out.inTime[task.Job] = j.spec.Organisation
			}
		}
		h.runCommands()
	}
	return out
}

// Replays bursts of 1.6 to 5 times the capacity, and an organisation that sends six and eighteen times as much as the others. Guards against
// refusing jobs that would have ended within three times their objective, against fewer jobs that do, and against refusing jobs of
// organisations within their share before those beyond it.
func TestRefusalsCostNothing(t *testing.T) {
	for _, c := range []struct {
		overloadPlay
		refuses bool
	}{
		{overloadPlay{factor: 1.6, length: 5 * time.Second, maxTasks: 1}, false},
		{overloadPlay{factor: 2.6, length: 5 * time.Second, maxTasks: 1}, false},
		{overloadPlay{factor: 5, length: 5 * time.Second, maxTasks: 1}, true},
		{overloadPlay{factor: 5, length: 12 * time.Second, maxTasks: 12}, true},
		{overloadPlay{factor: 2, length: 12 * time.Second, maxTasks: 1, heavy: 6}, false},
		{overloadPlay{factor: 5, length: 5 * time.Second, maxTasks: 1, heavy: 18}, true},
	} {
		without := c.play(t)
		c.overloadPlay.refuses = true
		with := c.play(t)
		wrong, light := 0, 0
		for id, organisation := range with.refused {
			if _, ok := without.inTime[id]; ok {
				wrong++
			}
			if organisation != "" && organisation != "o0" {
				light++
			}
		}
		t.Logf("%+v: %d jobs in time, %d without refusals; %d refused, of these %d would have been in time, %d of organisations within their share",
			c.overloadPlay, len(with.inTime), len(without.inTime), len(with.refused), wrong, light)
		assert.Equal(t, len(with.refused) > 0, c.refuses)
		assert.Assert(t, wrong*33 <= len(with.refused) && light == 0)
		assert.Assert(t, len(with.inTime)*100 >= len(without.inTime)*99)
	}
}

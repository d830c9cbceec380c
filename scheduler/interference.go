package scheduler

import (
	"time"

	"github.com/tamarackworks/tamarackworks/interference"
	"github.com/tamarackworks/tamarackworks/workload"
)

const (
	// sampleInterval is the least time between observations of an executor, which measures over half a second.
	sampleInterval = 450 * time.Millisecond
	// maxSampleTime bounds the time that a report stands for; reports are held back for at most defaultPollWait.
	maxSampleTime = 2 * time.Second
	// settleTime is how long a task has to run, and a pace to last, before the values measured count.
	settleTime = time.Second
	// cpuSmoothing is the weight of a measurement in task.cpuAtFullPace.
	cpuSmoothing = 0.3
	// apartLogInterval and interferenceLogInterval are the least times between two log lines of one kind.
	apartLogInterval        = time.Second
	interferenceLogInterval = 3 * time.Second
	// loggedEffects bounds the pairs of images in a log line.
	loggedEffects = 10
)

// Penalties for predicted tail latencies. In sum with emptyPenalty they stay below yieldingPenalty.
const (
	// nearObjectivePenalty applies above slowdownTailRatio, where best-effort tasks are slowed down. It outweighs packing, but
	// not emptyPenalty.
	nearObjectivePenalty = 1.5
	// aboveObjectivePenalty applies above the objective and outweighs both. The predicted excess, up to the objective, is added to it.
	aboveObjectivePenalty = 4.0
)

// InterferenceTotals are sums since this owner started. Times are those of all tasks added up.
type InterferenceTotals struct {
	// Serving is the time that tasks with an objective served, and AboveObjective the part with a tail latency above it.
	Serving, AboveObjective time.Duration
	// BestEffort is the time that best-effort tasks ran, and PacedDown the part below full speed.
	BestEffort, PacedDown time.Duration
	// KeptApart counts the long-running tasks that were placed elsewhere because of a predicted tail latency.
	KeptApart int
	// Pairs is the number of pairs of images in the model; it is not a sum.
	Pairs int
}

// interferenceState is what the core knows of the interference between tasks.
type interferenceState struct {
	model  *interference.Model
	totals InterferenceTotals
	// loggedAt is when the totals were last logged, and logged what they were.
	loggedAt time.Duration
	logged   InterferenceTotals
	// apartLoggedAt is when a placement was last logged, and unlogged how many have followed.
	apartLoggedAt time.Duration
	unlogged      int
}

// Interference returns the totals.
func (c *Core) Interference() InterferenceTotals {
	totals := c.interference.totals
	totals.Pairs = c.interference.model.Pairs()
	return totals
}

// observeInterference counts the time of the long-running tasks on an executor by what its report says of them, and adds the
// report to the model.
func (c *Core) observeInterference(now time.Duration, e *executor, r workload.Report) {
	d := now - e.sampledAt
	if d < sampleInterval {
		return
	}
	first := e.sampledAt == 0
	e.sampledAt = now
	if first || !e.hasLongRunning() {
		return
	}
	d = min(d, maxSampleTime)
	totals := &c.interference.totals
	type served struct {
		task  *task
		ratio float64
		load  int
	}
	var serving []served
	var loads []interference.Load
	for _, x := range r.Running {
		t := c.task(x.Task)
		if t == nil || t.exec != e || t.run != x.Run || t.state != taskRunning {
			continue
		}
		if t.serves() {
			if t.percent >= 100 {
				ratio := x.TailLatencyOrCPU / float64(t.step.spec.TailLatencyObjective)
				totals.Serving += d
				if ratio > 1 {
					totals.AboveObjective += d
				}
				serving = append(serving, served{t, ratio, len(loads)})
			}
			loads = append(loads, t.loadOf(e, float64(t.step.spec.Size.CPUMilli)))
			continue
		}
		if t.step.spec.BestEffortCPU {
			totals.BestEffort += d
			if t.pace < 100 {
				totals.PacedDown += d
			}
		}
		if t.step.spec.LongRunning && t.pace == 100 && now-max(t.startedAt, e.paceChangedAt) >= settleTime {
			t.recordCPU(x.TailLatencyOrCPU)
		}
		loads = append(loads, t.loadOf(e, x.TailLatencyOrCPU))
	}
	for _, s := range serving {
		if s.task.step.spec.Image == "" || s.ratio == 0 || now-s.task.startedAt < settleTime {
			continue
		}
		own := loads[s.load].CPU
		loads[s.load].CPU = 0
		c.interference.model.Observe(now, s.task.step.spec.Image, s.ratio, loads)
		loads[s.load].CPU = own
	}
}

// serves reports whether a task has an objective for its tail latency.
func (t *task) serves() bool { return t.step.spec.LongRunning && t.step.spec.TailLatencyObjective > 0 }

// loadOf returns the load of a task that uses cpu thousandths of a core on an executor. Finite tasks count together: they are
// not placed by their images.
func (t *task) loadOf(e *executor, cpu float64) interference.Load {
	image := interference.Unnamed
	if t.step.spec.LongRunning {
		image = t.step.spec.Image
	}
	return interference.Load{Image: image, CPU: cpu / float64(max(e.info.Capacity.CPUMilli, 1))}
}

// recordCPU adds a measurement to cpuAtFullPace. A single one is too rough.
func (t *task) recordCPU(cpu float64) {
	if t.cpuAtFullPace == 0 {
		t.cpuAtFullPace = cpu
	}
	t.cpuAtFullPace += cpuSmoothing * (cpu - t.cpuAtFullPace)
}

// expectedCPU returns the CPU that a long-running task uses at full pace: what it or other tasks of its step were seen to use, else
// what it asks for. The load of a serving task is not reported.
func (p *placement) expectedCPU(t *task) float64 {
	if t.serves() {
		return float64(t.step.spec.Size.CPUMilli)
	}
	if t.cpuAtFullPace > 0 {
		return t.cpuAtFullPace
	}
	cpu, ok := p.stepCPU[t.step]
	if !ok {
		cpu = t.step.meanCPUAtFullPace()
		if p.stepCPU == nil {
			p.stepCPU = make(map[*step]float64)
		}
		p.stepCPU[t.step] = cpu
	}
	return cpu
}

// meanCPUAtFullPace returns the mean of the tasks that were seen, or what the step asks for if none was.
func (s *step) meanCPUAtFullPace() float64 {
	sum, n := 0.0, 0
	for _, t := range s.tasks {
		if t.cpuAtFullPace > 0 {
			sum += t.cpuAtFullPace
			n++
		}
	}
	if n == 0 {
		return float64(s.spec.Size.CPUMilli)
	}
	return sum / float64(n)
}

// hasLongRunning reports whether a long-running task is on the executor.
func (e *executor) hasLongRunning() bool {
	for t := range e.tasks {
		if t.step.spec.LongRunning {
			return true
		}
	}
	return false
}

// separation keeps a long-running task that is to be placed apart from tasks with which it interferes.
type separation struct {
	core      *Core
	now       time.Duration
	placement *placement
	task      *task
	// residents and loads are reused for each executor.
	residents []*task
	loads     []interference.Load
	// best is the executor with the least penalty if interference is left out, bestPair the pair of images with the highest
	// predicted ratio there.
	best        *executor
	bestPenalty float64
	bestPair    interference.Pair
	bestRatio   float64
}

// newSeparation returns nil if predictions do not count for the task. All tasks of a gang are placed together, and suspects where they
// crash the fewest tasks.
func (p *placement) newSeparation(t *task) *separation {
	spec := t.step.spec
	if !spec.LongRunning || spec.Image == "" || spec.Gang || t.suspect() || p.core.opts.IgnoreInterference || p.core.interference.model.Pairs() == 0 {
		return nil
	}
	return &separation{core: p.core, now: p.now, placement: p, task: t}
}

// penalty returns the penalty of an executor for interference, in addition to other penalties of the sum others.
func (s *separation) penalty(e *executor, others float64) float64 {
	if s == nil {
		return 0
	}
	ratio, pair := s.predict(e)
	if s.best == nil || others < s.bestPenalty {
		s.best, s.bestPenalty, s.bestPair, s.bestRatio = e, others, pair, ratio
	}
	return interferencePenalty(ratio)
}

// interferencePenalty returns the penalty for a predicted tail latency of ratio times the objective.
func interferencePenalty(ratio float64) float64 {
	switch {
	case ratio > 1:
		return aboveObjectivePenalty + min(ratio-1, 1)
	case ratio > slowdownTailRatio:
		return nearObjectivePenalty
	}
	return 0
}

// predict returns the highest ratio of tail latency to objective that the task and an executor's long-running tasks are expected to
// have together, and the pair of images that has the largest part in it. Only ratios to which the task contributes or that are
// its own count. Finite tasks are left out: they end within seconds.
func (s *separation) predict(e *executor) (worst float64, pair interference.Pair) {
	model, image := s.core.interference.model, s.task.step.spec.Image
	residents := append(s.residents[:0], s.task)
	loads := append(s.loads[:0], s.task.loadOf(e, s.placement.expectedCPU(s.task)))
	for t := range e.tasks {
		if t.step.spec.LongRunning && (t.state == taskStarting || t.state == taskRunning) {
			residents, loads = append(residents, t), append(loads, t.loadOf(e, s.placement.expectedCPU(t)))
		}
	}
	s.residents, s.loads = residents, loads
	if len(residents) == 1 {
		return 0, interference.Pair{}
	}
	for i, t := range residents {
		beside := interference.Pair{Serving: t.step.spec.Image, Beside: image}
		if !t.serves() || beside.Serving == "" || (t != s.task && model.Rise(s.now, beside) == 0) {
			continue
		}
		own := loads[i]
		loads[i].CPU = 0
		if ratio, ok := model.Predict(s.now, beside.Serving, loads); ok && ratio > worst {
			if t == s.task {
				beside.Beside = s.largest(image, loads)
			}
			worst, pair = ratio, beside
		}
		loads[i] = own
	}
	return worst, pair
}

// largest returns the image of the load that raises the tail latency of a serving image the most.
func (s *separation) largest(serving string, loads []interference.Load) string {
	image, most := interference.Unnamed, 0.0
	for _, l := range loads {
		rise := l.CPU * s.core.interference.model.Rise(s.now, interference.Pair{Serving: serving, Beside: l.Image})
		if rise > most {
			image, most = l.Image, rise
		}
	}
	return image
}

// record counts and logs the choice if interference has changed it. A cordoned executor was only looked for, not chosen.
func (s *separation) record(chosen *executor) {
	if s == nil || chosen == s.best || chosen.cordoned {
		return
	}
	state := s.core.interference
	state.totals.KeptApart++
	state.model.CountKeptApart(s.bestPair)
	if s.now-state.apartLoggedAt < apartLogInterval {
		state.unlogged++
		return
	}
	s.core.addDecision(s.task.id.String(), "task kept apart", map[string]any{
		"executor": chosen.info.ID, "instead_of": s.best.info.ID, "serving": s.bestPair.Serving, "beside": s.bestPair.Beside,
		"predicted_ratio": s.bestRatio, "not_logged": state.unlogged,
	})
	state.apartLoggedAt, state.unlogged = s.now, 0
}

// loggedEffect is a pair of images in the log.
type loggedEffect struct {
	Serving      string  `json:"serving"`
	Beside       string  `json:"beside"`
	Rise         float64 `json:"rise"`
	Observations int     `json:"observations"`
	KeptApart    int     `json:"kept_apart"`
}

// logInterference logs the totals and the strongest effects now and then while long-running tasks serve or use spare CPU time.
func (c *Core) logInterference(now time.Duration) {
	state, totals := c.interference, c.Interference()
	if now-state.loggedAt < interferenceLogInterval || totals == state.logged {
		return
	}
	state.loggedAt, state.logged = now, totals
	if totals.Serving == 0 && totals.BestEffort == 0 {
		return
	}
	effects := []loggedEffect{}
	for _, x := range state.model.Effects(now, loggedEffects) {
		effects = append(effects, loggedEffect{x.Serving, x.Beside, x.Rise, int(x.Observations), x.KeptApart})
	}
	c.addDecision("owner", "interference", map[string]any{
		"serving_ms": totals.Serving.Milliseconds(), "above_objective_ms": totals.AboveObjective.Milliseconds(),
		"best_effort_ms": totals.BestEffort.Milliseconds(), "paced_down_ms": totals.PacedDown.Milliseconds(),
		"kept_apart": totals.KeptApart, "pairs": totals.Pairs, "penalty": !c.opts.IgnoreInterference, "effects": effects,
	})
}

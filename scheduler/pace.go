package scheduler

import "time"

const (
	// Best-effort tasks slow down while the tail latency of a serving task on the same executor, relative to its objective, is
	// above slowdownTailRatio, and speed up while it is below speedupTailRatio. The thresholds leave margins because
	// the reported latencies are only approximate.
	slowdownTailRatio = 0.85
	speedupTailRatio  = 0.6
	// paceDecreaseFactor is the factor of a slowdown; a pace below minPace percent becomes 0.
	paceDecreaseFactor = 0.4
	minPace            = 10
	// paceIncrease is the step of a speedup, in percent of full speed.
	paceIncrease = 20
	// paceInterval is the least time between changes: a change has to take effect, and latency is then measured over half a
	// second.
	paceInterval = 650 * time.Millisecond
)

// adjustPace sets the pace of the best-effort tasks on an executor by the tail latency of the serving tasks there, with
// multiplicative decrease and additive increase.
func (c *Core) adjustPace(now time.Duration, e *executor) {
	ratio := e.tailRatio
	if now-e.paceChangedAt >= paceInterval {
		if pace := nextPace(e.bestEffortPace, ratio); pace != e.bestEffortPace {
			e.bestEffortPace, e.paceChangedAt = pace, now
		}
	}
	for t := range e.tasks {
		if t.step.spec.BestEffortCPU && t.state == taskRunning && t.pace != e.bestEffortPace {
			c.addDecision(t.id.String(), "pace changes", map[string]any{
				"executor": e.info.ID, "from": t.pace, "to": e.bestEffortPace, "tail_ratio": ratio,
			})
			t.pace = e.bestEffortPace
			c.commands = append(c.commands, PaceTask{Executor: e.info.ID, Task: t.id, Run: t.run, Percent: e.bestEffortPace})
		}
	}
}

// nextPace returns the pace that follows a pace at a tail latency of ratio times its objective.
func nextPace(pace int, ratio float64) int {
	switch {
	case ratio > slowdownTailRatio:
		if pace = int(float64(pace) * paceDecreaseFactor); pace < minPace {
			pace = 0
		}
	case ratio < speedupTailRatio:
		pace = min(100, pace+paceIncrease)
	}
	return pace
}

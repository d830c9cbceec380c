package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackworks/tamarackworks/pools"
	"github.com/tamarackworks/tamarackworks/workload"
)

// reversalTime is within which time after its return to standby a machine that is called back counts as a reversed return, as in
// the summary of waits.
const reversalTime = 5 * time.Second

// turnState holds what the planner of moves learns from before the owner began, and what is counted of its forecasts.
type turnState struct {
	// past holds the arrivals of inherited jobs until they are replayed.
	past []pools.PastArrival
	// returnedAt is when machines were sent to standby, within reversalTime.
	returnedAt map[string]time.Duration
	// countedRight and countedWrong are the forecasts that the metrics already include.
	countedRight, countedWrong int
}

func newTurnState() turnState { return turnState{returnedAt: make(map[string]time.Duration)} }

// addPast notes when a job of an earlier owner arrived. Its work is estimated as by the submitter, since this owner has seen no
// run times yet.
func (t *turnState) addPast(job *workload.Job, at time.Duration) {
	work := int64(0)
	for i := range job.Steps {
		if s := &job.Steps[i]; !s.LongRunning {
			work += int64(s.Count) * int64(s.Reserved().CPUMilli) * max(s.Estimate.Duration().Milliseconds(), 1) / 1000
		}
	}
	if work > 0 {
		t.past = append(t.past, pools.PastArrival{Pool: job.Service, At: at, Work: work})
	}
}

// replayArrivals lets the model of bursts learn from the jobs that the owner has loaded. Without it, a new owner would
// know a burst only after two turns. Owners were seen to change after 20 s, within two turns.
func (l *leadership) replayArrivals(now time.Duration) {
	t := &l.machines.turns
	if t.past == nil {
		return
	}
	slices.SortFunc(t.past, func(a, b pools.PastArrival) int { return cmp.Compare(a.At, b.At) })
	var names []string
	for _, p := range l.machines.pools {
		if !p.Standby {
			names = append(names, p.Name)
		}
	}
	l.machines.arrivals.Replay(now, names, t.past)
	t.past = nil
}

// countMove counts machines that are called ahead of a burst, returns to standby, and returns that are reversed.
func (l *leadership) countMove(now time.Duration, a pools.Action) {
	t := &l.machines.turns
	for machine, at := range t.returnedAt {
		if now-at >= reversalTime {
			delete(t.returnedAt, machine)
		}
	}
	if a.Kind != pools.ActionMove {
		return
	}
	if a.Ahead {
		l.opts.Metrics.calledAhead.Inc()
	}
	if l.isStandby(a.Pool) {
		l.opts.Metrics.returns.WithLabelValues("planned").Inc()
		t.returnedAt[a.Machine] = now
	} else if _, ok := t.returnedAt[a.Machine]; ok {
		l.opts.Metrics.returns.WithLabelValues("reversed").Inc()
		delete(t.returnedAt, a.Machine)
	}
}

func (l *leadership) isStandby(pool string) bool {
	return slices.ContainsFunc(l.machines.pools, func(p workload.Service) bool { return p.Name == pool && p.Standby })
}

// countForecasts adds the forecasts that were judged since the last call to the metrics.
func (l *leadership) countForecasts() {
	t := &l.machines.turns
	right, wrong := l.machines.arrivals.Forecasts()
	l.opts.Metrics.forecasts.WithLabelValues("right").Add(float64(right - t.countedRight))
	l.opts.Metrics.forecasts.WithLabelValues("wrong").Add(float64(wrong - t.countedWrong))
	t.countedRight, t.countedWrong = right, wrong
}

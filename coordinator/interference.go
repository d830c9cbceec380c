package coordinator

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarackworks/tamarackworks/scheduler"
)

// interferenceMetrics show how much serving tasks suffer from tasks beside them.
type interferenceMetrics struct {
	serving    *prometheus.CounterVec
	bestEffort *prometheus.CounterVec
	keptApart  prometheus.Counter
	pairs      prometheus.Gauge
	// counted holds the totals of the core that the counters already include.
	counted scheduler.InterferenceTotals
}

func newInterferenceMetrics(r prometheus.Registerer) *interferenceMetrics {
	m := &interferenceMetrics{
		serving: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_serving_task_seconds_total", Help: "Time of serving tasks by whether the tail latency was within the objective.",
		}, []string{"tail"}),
		bestEffort: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_best_effort_task_seconds_total", Help: "Time of best-effort tasks by whether they ran at full speed.",
		}, []string{"pace"}),
		keptApart: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tamarack_tasks_kept_apart_total", Help: "Long-running tasks placed elsewhere because of a predicted tail latency.",
		}),
		pairs: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tamarack_interference_pairs", Help: "Pairs of images in the model of interference.",
		}),
	}
	r.MustRegister(m.serving, m.bestEffort, m.keptApart, m.pairs)
	return m
}

// observe adds what the totals have grown by since the last call. They restart at 0 with each term.
func (m *interferenceMetrics) observe(totals scheduler.InterferenceTotals) {
	m.pairs.Set(float64(totals.Pairs))
	counted := m.counted
	if totals.Serving < counted.Serving || totals.BestEffort < counted.BestEffort || totals.KeptApart < counted.KeptApart {
		counted = scheduler.InterferenceTotals{}
	}
	m.counted = totals
	above, paced := totals.AboveObjective-counted.AboveObjective, totals.PacedDown-counted.PacedDown
	addSeconds(m.serving, "above", above)
	addSeconds(m.serving, "within", totals.Serving-counted.Serving-above)
	addSeconds(m.bestEffort, "slowed", paced)
	addSeconds(m.bestEffort, "full", totals.BestEffort-counted.BestEffort-paced)
	m.keptApart.Add(float64(totals.KeptApart - counted.KeptApart))
}

// addSeconds adds a time to a counter. A new term whose totals have passed those of the last one already may give differences that
// are negative, which a counter does not accept.
func addSeconds(c *prometheus.CounterVec, label string, d time.Duration) {
	c.WithLabelValues(label).Add(max(d, 0).Seconds())
}

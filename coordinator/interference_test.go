package coordinator

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/scheduler"
)

// Guards against counters that count time twice, decrease, or stop after a takeover, when the totals of the core restart at 0.
func TestInterferenceMetricsGoOnAfterATakeover(t *testing.T) {
	m := newInterferenceMetrics(prometheus.NewRegistry())
	first := scheduler.InterferenceTotals{Serving: 10 * time.Second, AboveObjective: 4 * time.Second, BestEffort: 5 * time.Second, PacedDown: time.Second, KeptApart: 2}
	m.observe(first)
	m.observe(first)
	m.observe(scheduler.InterferenceTotals{})
	m.observe(scheduler.InterferenceTotals{Serving: 2 * time.Second, AboveObjective: time.Second, KeptApart: 1, Pairs: 7})
	assert.Equal(t, testutil.ToFloat64(m.serving.WithLabelValues("above")), 5.0)
	assert.Equal(t, testutil.ToFloat64(m.serving.WithLabelValues("within")), 7.0)
	assert.Equal(t, testutil.ToFloat64(m.bestEffort.WithLabelValues("slowed")), 1.0)
	assert.Equal(t, testutil.ToFloat64(m.keptApart), 3.0)
	assert.Equal(t, testutil.ToFloat64(m.pairs), 7.0)
}

package ownership

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of the ownership.
type Metrics struct {
	takeovers    *prometheus.CounterVec
	resignations prometheus.Counter
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		takeovers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_takeovers_total",
			Help: "Takeovers of the ownership by this host, by whether a version of the store is known after which no former owner has started jobs.",
		}, []string{"cutoff"}),
		resignations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tamarack_resignations_total", Help: "Times that this host gave the ownership up because the store served other hosts only.",
		}),
	}
	r.MustRegister(m.takeovers, m.resignations)
	return m
}

func (m *Metrics) countTakeover(cutoffKnown bool) {
	if m == nil {
		return
	}
	label := "unknown"
	if cutoffKnown {
		label = "known"
	}
	m.takeovers.WithLabelValues(label).Inc()
}

func (m *Metrics) countResignation() {
	if m != nil {
		m.resignations.Inc()
	}
}

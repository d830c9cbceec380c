package frontend

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts callers' requests and measures their latency.
type Metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	// configAge is the age of the configuration that requests were matched against.
	configAge prometheus.Histogram
	// rejections counts rejected jobs by queue and cause, delays after which their callers were told to return.
	rejections  *prometheus.CounterVec
	delays      *prometheus.HistogramVec
	unconfirmed prometheus.Counter
}

// rejectedByStore is the cause of rejections because a job could not be stored; the others are those of closures.
const rejectedByStore = "store"

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_requests_total", Help: "Requests of callers by kind and outcome.",
		}, []string{"kind", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tamarack_request_seconds", Help: "Time to answer requests of callers by kind.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2.5, 9),
		}, []string{"kind"}),
		configAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tamarack_match_config_age_seconds", Help: "Time since the configuration that a request was matched against was last known to be the newest.",
			Buckets: prometheus.ExponentialBuckets(0.25, 2, 8),
		}),
		rejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_rejections_total", Help: "Submissions that were rejected, by queue and cause.",
		}, []string{"queue", "cause"}),
		delays: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tamarack_retry_after_seconds", Help: "Delays after which callers of rejected submissions were told to return, by cause.",
			Buckets: prometheus.ExponentialBuckets(1, 1.5, 9),
		}, []string{"cause"}),
		unconfirmed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tamarack_unconfirmed_refusals_total", Help: "Submissions to closed queues that were not rejected, because the job may have been stored before or the owner did not respond.",
		}),
	}
	r.MustRegister(m.requests, m.duration, m.configAge, m.rejections, m.delays, m.unconfirmed)
	return m
}

// observe records one request that matched a route.
func (m *Metrics) observe(kind string, o Outcome, latency time.Duration) {
	m.requests.WithLabelValues(kind, o.String()).Inc()
	m.duration.WithLabelValues(kind).Observe(latency.Seconds())
}

// observeConfigurationAge records the age of the configuration that a request is matched against.
func (m *Metrics) observeConfigurationAge(age time.Duration) { m.configAge.Observe(age.Seconds()) }

// countRejection records one submission that was rejected, and the delay that its caller was told.
func (m *Metrics) countRejection(queue, cause string, delay time.Duration) {
	m.rejections.WithLabelValues(queue, cause).Inc()
	m.delays.WithLabelValues(cause).Observe(delay.Seconds())
}

// countUnconfirmed records one submission that was not rejected because of a doubt.
func (m *Metrics) countUnconfirmed() { m.unconfirmed.Inc() }

// countUnmatched records one request that matched no route or had no valid key.
func (m *Metrics) countUnmatched(o Outcome) { m.requests.WithLabelValues("match", o.String()).Inc() }

// String returns the value of the outcome label in metrics.
func (o Outcome) String() string {
	names := [...]string{OK: "ok", NoRoute: "no_route", NoKey: "no_key", NoJob: "no_job", Rejected: "rejected", Unavailable: "unavailable", Unknown: "unknown"}
	return names[o]
}

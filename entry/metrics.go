package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	inFlight prometheus.Gauge
	retries  prometheus.Counter
	forwards *prometheus.CounterVec
	lookups  *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_entry_requests_total", Help: "Caller requests by service, outcome and error code.",
		}, []string{"service", "outcome", "code"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tamarack_entry_request_seconds", Help: "Time to answer a caller request.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"service", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_entry_attempts_total", Help: "Attempts at targets by outcome and kind of failure.",
		}, []string{"outcome", "failure"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tamarack_entry_requests_in_flight", Help: "Caller requests in progress.",
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tamarack_entry_retries_total", Help: "Attempts after the first of a request.",
		}),
		forwards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_entry_forwards_total", Help: "Requests forwarded to another data centre by outcome.",
		}, []string{"outcome"}),
		lookups: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_entry_lookups_total", Help: "Outcomes read by callers.",
		}, []string{"outcome"}),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.requests, m.seconds, m.attempts, m.inFlight, m.retries, m.forwards, m.lookups} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// attempt counts an attempt at a target.
func (m *metrics) attempt(r Result) {
	failure := "none"
	switch {
	case r.Timeout:
		failure = "timeout"
	case r.Rejected:
		failure = "rejected"
	case r.Failed:
		failure = "failed"
	}
	m.attempts.WithLabelValues(string(r.Outcome), failure).Inc()
}

// outcome counts a lookup of the outcome of a key.
func (m *metrics) outcome(resp *callerResponse) {
	m.lookups.WithLabelValues(string(resp.outcome)).Inc()
}

// request counts a caller request and the time until its response. Names of services that are not declared
// are not used as labels.
func (m *metrics) request(req *request, resp *callerResponse, elapsed time.Duration) {
	service := ""
	if req.service != nil {
		service = req.service.Name
	}
	code := strconv.Itoa(resp.status)
	if resp.err != nil {
		code = resp.err.Code
	}
	m.requests.WithLabelValues(service, string(resp.outcome), code).Inc()
	m.seconds.WithLabelValues(service, string(resp.outcome)).Observe(elapsed.Seconds())
}

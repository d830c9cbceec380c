package ingresslimit

import "github.com/prometheus/client_golang/prometheus"

// Metrics are shared by the limiters of a process.
type Metrics struct {
	connections, bodyBytes *prometheus.GaugeVec
	refusals, drops        *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "tamarack_ingress_connections", Help: "Open connections by listener.",
		}, []string{"listener"}),
		bodyBytes: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "tamarack_ingress_body_bytes", Help: "Bytes of memory that are taken for request bodies, by listener.",
		}, []string{"listener"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_ingress_refusals_total", Help: "Connections and requests refused because a limit was reached or the credentials are wrong, by listener and cause.",
		}, []string{"listener", "cause"}),
		drops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_ingress_drops_total", Help: "Connections and requests ended because the client sent nothing or too slowly, by listener and cause.",
		}, []string{"listener", "cause"}),
	}
	r.MustRegister(m.connections, m.bodyBytes, m.refusals, m.drops)
	return m
}

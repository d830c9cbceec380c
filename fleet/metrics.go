package fleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarackworks/tamarackworks/structs"
)

var (
	versionDesc = prometheus.NewDesc("tamarack_fleet_version",
		"Number up to which all change tickets are in effect on this entry host.", nil, nil)
	pendingDesc = prometheus.NewDesc("tamarack_fleet_pending_tickets",
		"Merged change tickets above the version, which wait for a missing one.", nil, nil)
	readyDesc = prometheus.NewDesc("tamarack_fleet_ready",
		"1 if the state of this entry host is complete.", nil, nil)
	invalidDesc = prometheus.NewDesc("tamarack_fleet_invalid_objects",
		"Declared objects that this process cannot decode.", nil, nil)
	usableDesc = prometheus.NewDesc("tamarack_fleet_usable_hosts",
		"Hosts of the own data centre that may receive new work.", nil, nil)
	objectsDesc = prometheus.NewDesc("tamarack_fleet_objects",
		"Declared objects in effect.", []string{"kind"}, nil)
)

// collector exports the metrics of a replica. It reads the values when it is scraped, so that merging does no work
// for metrics.
type collector struct{ replica *Replica }

// Collector returns a collector of the metrics of the replica.
func (r *Replica) Collector() prometheus.Collector { return collector{r} }

// Describe implements prometheus.Collector.
func (c collector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	view := c.replica.View()
	c.replica.mu.Lock()
	pending, invalid := len(c.replica.pending), len(c.replica.invalid)
	c.replica.mu.Unlock()
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	ready := 0.0
	if c.replica.Ready() {
		ready = 1
	}
	usable := 0
	for _, hosts := range view.TargetsByPool {
		usable += len(hosts)
	}
	gauge(versionDesc, float64(view.Version))
	gauge(pendingDesc, float64(pending))
	gauge(readyDesc, ready)
	gauge(invalidDesc, float64(invalid))
	gauge(usableDesc, float64(usable))
	for kind, count := range map[structs.Kind]int{
		structs.KindService: len(view.Services), structs.KindPool: len(view.Pools), structs.KindHost: len(view.Hosts),
		structs.KindTeam: len(view.Teams), structs.KindWave: len(view.Waves), structs.KindDrain: len(view.Drains),
	} {
		gauge(objectsDesc, float64(count), string(kind))
	}
}

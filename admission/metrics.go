package admission

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarackworks/tamarackworks/structs"
)

var (
	queuedDesc = prometheus.NewDesc("tamarack_admission_queued_requests",
		"Requests that wait for a slot.", []string{"service", "priority"}, nil)
	runningDesc = prometheus.NewDesc("tamarack_admission_running_requests",
		"Requests that hold a slot on a target.", []string{"service"}, nil)
	arrivedDesc = prometheus.NewDesc("tamarack_admission_arrived_requests_total",
		"Requests that asked to start.", []string{"service"}, nil)
	finishedDesc = prometheus.NewDesc("tamarack_admission_finished_requests_total",
		"Requests whose permit was closed.", []string{"service"}, nil)
	rejectedDesc = prometheus.NewDesc("tamarack_admission_rejected_requests_total",
		"Requests that were not allowed to start.", []string{"service", "reason"}, nil)
	runTimeDesc = prometheus.NewDesc("tamarack_admission_mean_run_time_seconds",
		"Learned mean run time on targets.", []string{"service"}, nil)
)

// Describe implements prometheus.Collector.
func (a *Admission) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{queuedDesc, runningDesc, arrivedDesc, finishedDesc, rejectedDesc, runTimeDesc} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (a *Admission) Collect(ch chan<- prometheus.Metric) {
	for _, l := range a.Loads() {
		gauge := func(d *prometheus.Desc, v float64, labels ...string) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, append([]string{l.Service}, labels...)...)
		}
		counter := func(d *prometheus.Desc, v uint64, labels ...string) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), append([]string{l.Service}, labels...)...)
		}
		gauge(queuedDesc, float64(l.QueuedUrgent), string(structs.PriorityUrgent))
		gauge(queuedDesc, float64(l.QueuedBatch), string(structs.PriorityBatch))
		gauge(runningDesc, float64(l.Running))
		gauge(runTimeDesc, l.MeanRunTime.Seconds())
		counter(arrivedDesc, l.Arrived)
		counter(finishedDesc, l.Finished)
		for reason, n := range l.RejectedBy {
			counter(rejectedDesc, n, string(reason))
		}
	}
}

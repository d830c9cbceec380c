package controller

import (
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarackworks/tamarackworks/membership"
)

// metrics holds the counters of the control loop. The gauges need no field, because they read the state of the
// controller when they are collected.
type metrics struct {
	steps *prometheus.CounterVec
}

// newMetrics returns the metrics of c and registers them; with a nil Registerer they are not exported.
func newMetrics(r prometheus.Registerer, c *Controller) (*metrics, error) {
	m := &metrics{steps: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tamarack_controller_steps_total", Help: "Finished steps on hosts and waves, by kind and result.",
	}, []string{"step", "result"})}
	if r == nil {
		return m, nil
	}
	gauge := func(name, help string, value func() bool) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			if value() {
				return 1
			}
			return 0
		})
	}
	collectors := []prometheus.Collector{
		m.steps,
		gauge("tamarack_controller_ready", "1 if the entry host may serve.", c.Ready),
		gauge("tamarack_controller_leader", "1 if this process may act as leader of its data centre.", func() bool {
			_, ok := c.opts.Leader.Lead()
			return ok
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tamarack_controller_ticket_version", Help: "Number up to which all tickets are in effect.",
		}, func() float64 { return float64(c.opts.Fleet.Version()) }),
	}
	for _, collector := range collectors {
		if err := r.Register(collector); err != nil {
			return nil, errors.Wrap(err, "register metrics")
		}
	}
	return m, nil
}

// resultLabel returns the value of the label result for a finished step.
func resultLabel(err error) string {
	for label, target := range map[string]error{
		"budget": membership.ErrBudget, "not_ready": membership.ErrNotReady, "undone": membership.ErrUndone,
		"not_leader": membership.ErrNotLeader, "retry": membership.ErrRetry,
	} {
		if errors.Is(err, target) {
			return label
		}
	}
	if err != nil {
		return "error"
	}
	return "done"
}

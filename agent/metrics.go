package agent

import (
	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarackworks/tamarackworks/structs"
)

// controlMetrics counts and logs the assignments that this entry host writes as leader.
type controlMetrics struct {
	assignments *prometheus.CounterVec
	log         log.Interface
}

func (a *Agent) newControlMetrics() (*controlMetrics, error) {
	m := &controlMetrics{
		assignments: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_assignments_written_total",
			Help: "Assignments written as leader, by the new phase. A move writes releasing, then active.",
		}, []string{"phase"}),
		log: a.log,
	}
	if err := a.telemetry.Registry.Register(m.assignments); err != nil {
		return nil, err
	}
	return m, nil
}

// recordAssignments counts and logs assignments that this leader wrote.
func (m *controlMetrics) recordAssignments(assignments []structs.Assignment) {
	for _, as := range assignments {
		m.assignments.WithLabelValues(string(as.Phase)).Inc()
		m.log.WithFields(log.Fields{
			"host": as.Host, "pool": as.Pool, "next_pool": as.NextPool, "phase": as.Phase,
			"generation": as.Generation, "reason": as.Reason,
		}).Info("assignment written")
	}
}

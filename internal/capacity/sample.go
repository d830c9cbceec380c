// Package capacity measures the cost of the control plane on an entry host at
// several sizes of the fleet, and compares policies under rotating bursts. The
// fleets run as processes on loopback.
package capacity

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/tamarackworks/tamarackworks/internal/localfleet"
	"github.com/tamarackworks/tamarackworks/structs"
)

// ErrScrape means that the metrics of an entry host could not be read.
var ErrScrape = errors.New("capacity: cannot read metrics")

// sample holds the metrics of an entry host at one time.
type sample struct {
	at          time.Time
	cpuSeconds  float64
	memoryBytes float64
	heapBytes   float64
	// peerBytes and platformBytes are the bytes to and from peers and the platform.
	peerBytes, platformBytes float64
	fleetVersion             float64
	// moves is the number of moves that the entry host has begun as leader.
	moves float64
}

// scrape reads the metrics of an entry host from its admin listener.
func scrape(ctx context.Context, e *localfleet.Entry) (sample, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.AdminAddress+"/metrics", nil)
	if err != nil {
		return sample{}, errors.Wrap(ErrScrape, err.Error())
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return sample{}, errors.Wrap(ErrScrape, err.Error())
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return sample{}, errors.Wrap(ErrScrape, err.Error())
	}
	return sample{
		at:            time.Now(),
		cpuSeconds:    sum(families["process_cpu_seconds_total"], "", ""),
		memoryBytes:   sum(families["process_resident_memory_bytes"], "", ""),
		heapBytes:     sum(families["go_memstats_heap_alloc_bytes"], "", ""),
		peerBytes:     sum(families["tamarack_control_bytes_total"], "remote", "peer"),
		platformBytes: sum(families["tamarack_control_bytes_total"], "remote", "platform"),
		fleetVersion:  sum(families["tamarack_fleet_version"], "", ""),
		moves:         sum(families["tamarack_assignments_written_total"], "phase", string(structs.PhaseReleasing)),
	}, nil
}

// sum adds up the values of a metric family. If label is not empty, it counts only metrics whose label has the value.
func sum(f *dto.MetricFamily, label, value string) float64 {
	total := 0.0
	for _, m := range f.GetMetric() {
		if label == "" || hasLabel(m, label, value) {
			total += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return total
}

// hasLabel reports whether a metric has a label with the value.
func hasLabel(m *dto.Metric, name, value string) bool {
	for _, l := range m.GetLabel() {
		if l.GetName() == name && l.GetValue() == value {
			return true
		}
	}
	return false
}

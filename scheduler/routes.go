package scheduler

import (
	"encoding/json"
	"maps"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/workload"
)

// maxMovedRoutes bounds the size of the stored form of a RouteHistory. An entry takes some 30 bytes, and a row holds 64 KiB.
const maxMovedRoutes = 1000

// RouteHistory says since when each queue has had its present service. Owners store it, so that a new one knows on which executors
// its predecessors can have started the tasks of a job.
type RouteHistory struct {
	// Observed is the version of the last configuration that is included.
	Observed uint64 `json:"v"`
	// UnknownBefore is the version of the first one that is included.
	UnknownBefore uint64 `json:"u"`
	// Moved holds, by queue, the version that last changed the service of the queue, or dropped the queue.
	Moved map[string]uint64 `json:"m,omitempty"`
}

// DecodeRouteHistory reads a stored history.
func DecodeRouteHistory(value []byte) (RouteHistory, error) {
	var h RouteHistory
	if err := json.Unmarshal(value, &h); err != nil {
		return RouteHistory{}, errors.Wrap(ErrRecord, err.Error())
	}
	return h, nil
}

// begin makes the history start at a configuration that an owner loads, unless it includes that one as the last. Otherwise a former
// owner may have acted on configurations that are not included.
func (h *RouteHistory) begin(config *workload.Configuration) {
	if h.Observed != config.Version {
		*h = RouteHistory{Observed: config.Version, UnknownBefore: config.Version}
	}
}

// add includes the configuration that follows the last one.
func (h *RouteHistory) add(old, next *workload.Configuration) {
	before, after := servicesOf(old), servicesOf(next)
	moved := maps.Clone(h.Moved)
	if moved == nil {
		moved = make(map[string]uint64)
	}
	for queue, service := range before {
		if after[queue] != service {
			moved[queue] = next.Version
		}
	}
	for queue := range after {
		// A queue that was dropped before comes back, perhaps with another service.
		if _, ok := moved[queue]; ok && before[queue] == "" {
			moved[queue] = next.Version
		}
	}
	h.Observed, h.Moved = next.Version, moved
	if len(moved) > maxMovedRoutes {
		*h = RouteHistory{Observed: next.Version, UnknownBefore: next.Version}
	}
}

// servicesOf returns the service of each queue.
func servicesOf(config *workload.Configuration) map[string]string {
	services := make(map[string]string, len(config.Routes))
	for i := range config.Routes {
		services[config.Routes[i].Name] = config.Routes[i].Service
	}
	return services
}

// since returns the version since which a queue has certainly had its present service.
func (h *RouteHistory) since(queue string) uint64 { return max(h.UnknownBefore, h.Moved[queue]) }

// InheritRouteHistory sets the history that a former owner stored. It is called before Configure.
func (c *Core) InheritRouteHistory(h RouteHistory) { c.routeHistory = h }

// RouteHistory returns the history up to the current configuration.
func (c *Core) RouteHistory() RouteHistory { return c.routeHistory }

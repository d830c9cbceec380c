package loadview

import (
	"cmp"
	"slices"

	"github.com/tamarackworks/tamarackworks/planner"
)

// sortSnapshot sorts hosts and pools by name, so that the planner's decisions do not depend on the iteration order of
// maps.
func sortSnapshot(s *planner.Snapshot) {
	slices.SortFunc(s.Hosts, func(a, b planner.Host) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Pools, func(a, b planner.Pool) int { return cmp.Compare(a.Name, b.Name) })
}

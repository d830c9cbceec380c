package peer

import (
	"time"

	v1 "github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1"
)

// encodeLoads returns the load of this entry host as messages.
func (s *Service) encodeLoads() (pools []*v1.PoolLoad, hosts []*v1.HostLoad) {
	for _, l := range s.opts.Loads.PoolLoads() {
		pools = append(pools, &v1.PoolLoad{
			Pool: l.Pool, QueuedUrgent: uint32(l.QueuedUrgent), QueuedBatch: uint32(l.QueuedBatch),
			Arrived: l.Arrived, Finished: l.Finished, MeanRunTimeMs: uint32(l.MeanRunTime.Milliseconds()),
		})
	}
	for _, l := range s.opts.Loads.HostLoads() {
		hosts = append(hosts, &v1.HostLoad{Host: l.Host, InProgress: uint32(l.InProgress), RecentFailures: uint32(l.RecentFailures)})
	}
	return pools, hosts
}

func decodePoolLoads(loads []*v1.PoolLoad) []PoolLoad {
	out := make([]PoolLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, PoolLoad{
			Pool: l.Pool, QueuedUrgent: int(l.QueuedUrgent), QueuedBatch: int(l.QueuedBatch),
			Arrived: l.Arrived, Finished: l.Finished, MeanRunTime: time.Duration(l.MeanRunTimeMs) * time.Millisecond,
		})
	}
	return out
}

func decodeHostLoads(loads []*v1.HostLoad) []HostLoad {
	out := make([]HostLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, HostLoad{Host: l.Host, InProgress: int(l.InProgress), RecentFailures: int(l.RecentFailures)})
	}
	return out
}

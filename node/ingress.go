package node

import (
	"github.com/tamarackworks/tamarackworks/ingresslimit"
	"github.com/tamarackworks/tamarackworks/platform"
	"github.com/tamarackworks/tamarackworks/settings"
	"github.com/tamarackworks/tamarackworks/telemetry"
)

const (
	mb = 1 << 20
	// smallBodyBytes is the budget of listeners whose handlers read no bodies.
	smallBodyBytes = 64 << 10
)

// ingressLimits divides the limits of the process among its listeners, so that the clients of one cannot use up those of another.
type ingressLimits struct {
	base        ingresslimit.Options
	connections int
	bodyBytes   int64
}

func (n *Node) newIngressLimits(t *telemetry.Telemetry) ingressLimits {
	s := n.settings
	limits := ingressLimits{
		connections: s.Ingress.Connections, bodyBytes: int64(s.Ingress.BodyBytes),
		base: ingresslimit.Options{
			MinBodyRate: max(s.Ingress.MinBodyRate, 1), BodyTimeout: readTimeout, Log: t.Log, Metrics: ingresslimit.NewMetrics(t.Registry),
		},
	}
	if limits.connections == 0 {
		limits.connections = ingresslimit.DefaultConnections(s.MemoryMB)
	}
	if limits.bodyBytes == 0 {
		limits.bodyBytes = defaultBodyBytes(s)
	}
	return limits
}

// defaultBodyBytes returns three thirty-seconds of the memory of the host. While a job is decoded and stored, each byte of its
// body takes up to four more.
func defaultBodyBytes(s *settings.Node) int64 { return int64(s.MemoryMB) * mb * 3 / 32 }

// callers returns the limiter of the listener for callers. The configuration bounds the size of a body, not the settings.
func (x ingressLimits) callers(i *platform.Ingress) *ingresslimit.Limiter {
	o := x.base
	o.Listener, o.Connections, o.BodyBytes, o.ExceedAlone, o.Refuse = "callers", x.connections/3, x.bodyBytes*2/3, true, i.Refuse
	return ingresslimit.New(o)
}

// internal returns the limiter of the listener for other hosts, of which the owner has connections to all.
func (x ingressLimits) internal() *ingresslimit.Limiter {
	o := x.base
	o.Listener, o.Connections, o.BodyBytes, o.ReserveFirst = "internal", x.connections/2, x.bodyBytes/3, true
	return ingresslimit.New(o)
}

// small returns the limiter of a listener without bodies and with few clients.
func (x ingressLimits) small(name string) *ingresslimit.Limiter {
	o := x.base
	o.Listener, o.Connections, o.BodyBytes = name, x.connections/12, smallBodyBytes
	return ingresslimit.New(o)
}

// unconfirmedShare is the share of the memory for jobs that a host hands out while the owner does not tell how much is left: one of this
// number.
const unconfirmedShare = 32

// maxJobMemory bounds the default of the memory for jobs, so that a smaller host of the same deployment can take over.
const maxJobMemory = 96 * mb

// jobMemory returns the memory for the jobs that the owner knows: what the settings say, or three eighths of the memory of the host up to
// maxJobMemory.
func jobMemory(s *settings.Node) int64 {
	if s.JobMemoryMB > 0 {
		return int64(s.JobMemoryMB) * mb
	}
	return min(int64(s.MemoryMB)*mb*3/8, maxJobMemory)
}

package agent

import (
	"github.com/tamarackworks/tamarackworks/entry"
	"github.com/tamarackworks/tamarackworks/ingresslimit"
	"github.com/tamarackworks/tamarackworks/operator"
	"github.com/tamarackworks/tamarackworks/peer"
	"github.com/tamarackworks/tamarackworks/settings"
	"github.com/tamarackworks/tamarackworks/telemetry"
)

const (
	mb = 1 << 20
	// operatorBodyBytes holds two of the largest requests of operators.
	operatorBodyBytes = 4 << 20
	// smallBodyBytes is the budget of listeners whose handlers read no bodies.
	smallBodyBytes = 64 << 10
	// minBodies is how many of the largest bodies callers and peers together can send at the same time, whatever the memory.
	minBodies = 6
)

// ingressLimits divides the limits of the process among its listeners, so that the clients of one cannot use up those of another.
type ingressLimits struct {
	base        ingresslimit.Options
	connections int
	bodyBytes   int64
}

func newIngressLimits(s *settings.Entry, t *telemetry.Telemetry) ingressLimits {
	l := s.Limits
	limits := ingressLimits{
		connections: l.Ingress.Connections, bodyBytes: int64(l.Ingress.BodyBytes),
		base: ingresslimit.Options{
			MinBodyRate: max(l.Ingress.MinBodyRate, 1), BodyTimeout: l.ReadTimeout, Log: t.Log, Metrics: ingresslimit.NewMetrics(t.Registry),
		},
	}
	if limits.connections == 0 {
		limits.connections = ingresslimit.DefaultConnections(l.MemoryMB)
	}
	if limits.bodyBytes == 0 {
		// A body stays in memory while its request is queued and runs.
		limits.bodyBytes = int64(l.MemoryMB) * mb * 3 / 16
	}
	limits.bodyBytes = max(limits.bodyBytes, minBodies*int64(l.MaxBodyBytes))
	return limits
}

func (x ingressLimits) limiter(name string, connections int, bodyBytes int64) ingresslimit.Options {
	o := x.base
	o.Listener, o.Connections, o.BodyBytes = name, connections, bodyBytes
	return o
}

func (x ingressLimits) callers(s *entry.Server) *ingresslimit.Limiter {
	o := x.limiter("callers", x.connections/3, x.bodyBytes*2/3)
	// The body limit of a service may exceed that of the settings.
	o.ExceedAlone, o.Refuse = true, s.Refuse
	return ingresslimit.New(o)
}

func (x ingressLimits) peers(s *peer.Service) *ingresslimit.Limiter {
	o := x.limiter("peers", x.connections/2, x.bodyBytes/3)
	o.ReserveFirst, o.Authenticate = true, s.Authenticate
	return ingresslimit.New(o)
}

func (x ingressLimits) operators(s *operator.Server) *ingresslimit.Limiter {
	o := x.limiter("operators", x.connections/12, operatorBodyBytes)
	o.ReserveFirst, o.Authenticate = true, s.Authenticate
	return ingresslimit.New(o)
}

func (x ingressLimits) admin() *ingresslimit.Limiter {
	return ingresslimit.New(x.limiter("admin", x.connections/12, smallBodyBytes))
}

package session

import "sync/atomic"

// maxLateHolds bounds the connections of an owner that cannot reach many executors; each hold keeps one open.
const maxLateHolds = 256

// LateHolds counts the holds whose response is awaited beyond its time-out.
type LateHolds struct{ n atomic.Int32 }

// acquire reports whether there may be another one, and counts it. The caller releases it.
func (l *LateHolds) acquire() bool {
	if l.n.Add(1) > maxLateHolds {
		l.n.Add(-1)
		return false
	}
	return true
}

func (l *LateHolds) release() { l.n.Add(-1) }

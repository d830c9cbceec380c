package elapsed

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// lagPeriod is the time between two measurements.
	lagPeriod = 25 * time.Millisecond
	// lagDecay is the fraction of a lag that remains after one period without lag; it halves after about 340 ms.
	lagDecay = 0.95
	// maxLag bounds how much a suspension of the process, which is not load, adds to time-outs.
	maxLag = 500 * time.Millisecond
)

// Lag measures how long goroutines of this process wait for their turn because it has too little processor time. If time-outs
// did not account for it, a process under load would treat responses that wait in its own queues as lost and repeat calls,
// which adds to the load.
type Lag struct{ value atomic.Int64 }

// NewLag returns a Lag that measures until ctx ends.
func NewLag(ctx context.Context) *Lag {
	l := &Lag{}
	go l.run(ctx)
	return l
}

// Value returns the largest recent lag, which decays with time.
func (l *Lag) Value() time.Duration { return time.Duration(l.value.Load()) }

// run measures the lag once per lagPeriod until ctx ends.
func (l *Lag) run(ctx context.Context) {
	for {
		late, ok := measure(Now, func() bool { return Sleep(ctx, lagPeriod) })
		if !ok {
			return
		}
		l.record(late)
	}
}

// measure sleeps for lagPeriod, and returns how much more time passes until a goroutine that becomes ready then gets its turn. It
// returns false if sleep does.
func measure(now func() time.Duration, sleep func() bool) (late time.Duration, ok bool) {
	began := now()
	if !sleep() {
		return 0, false
	}
	// The runtime runs a goroutine that a timer wakes before all others. Those that wait for a connection run after the ones that
	// are ready already, as this one does after Gosched.
	runtime.Gosched()
	return now() - began - lagPeriod, true
}

// record adds a measurement; earlier ones decay.
func (l *Lag) record(late time.Duration) {
	decayed := time.Duration(float64(l.Value()) * lagDecay)
	l.value.Store(int64(min(max(late, decayed, 0), maxLag)))
}

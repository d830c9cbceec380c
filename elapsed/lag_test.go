package elapsed

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Time-outs must not stay long after a short load, and a suspension must not make them arbitrarily long.
func TestLagDecaysAndIsBounded(t *testing.T) {
	l := &Lag{}
	l.record(40 * time.Millisecond)
	l.record(10 * time.Millisecond)
	assert.Assert(t, l.Value() > 35*time.Millisecond)
	l.record(time.Hour)
	assert.Equal(t, l.Value(), maxLag)
	for range 100 {
		l.record(-time.Millisecond)
	}
	assert.Assert(t, l.Value() < 5*time.Millisecond, l.Value())
}

// Guards against an owner that repeats orders under load because the lag leaves out that responses wait behind the goroutines that
// are ready: a goroutine that a timer wakes overtakes them.
func TestLagCountsTheGoroutinesThatAreReady(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const busy = 50
	// Each turn of a busy goroutine takes 1 ms on this clock.
	var clock atomic.Int64
	var stopped atomic.Bool
	defer stopped.Store(true)
	var done sync.WaitGroup
	for range busy {
		done.Go(func() {
			for !stopped.Load() {
				clock.Add(int64(time.Millisecond))
				runtime.Gosched()
			}
		})
	}
	now := func() time.Duration { return time.Duration(clock.Load()) }
	var longest time.Duration
	for range 20 {
		late, ok := measure(now, func() bool {
			// The goroutine goes on at once, as after a timer.
			clock.Add(int64(lagPeriod))
			return true
		})
		assert.Assert(t, ok)
		longest = max(longest, late)
	}
	stopped.Store(true)
	done.Wait()
	assert.Assert(t, longest >= busy*time.Millisecond, "%s", longest)
}

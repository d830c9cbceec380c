package elapsed

import (
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

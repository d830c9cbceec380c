package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a new owner that delays orders for machines which its predecessor ordered long ago, or that orders a machine
// right after its predecessor did.
func TestOnlyRecentOrdersOfThePredecessorDelay(t *testing.T) {
	m := newMachineState(0)
	now, delay := 100*time.Second, 3*time.Second
	assert.NilError(t, m.inheritOrders([]byte(`{"old":90000,"new":99500}`), now, 100000, delay))
	assert.Assert(t, m.blockedUntil["old"] <= now)
	assert.Assert(t, m.blockedUntil["new"] >= now+delay-500*time.Millisecond)
}

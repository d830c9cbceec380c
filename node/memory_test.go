package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a host that exceeds its memory because the limit of the runtime leaves no room for what the runtime does not count.
func TestMemoryLimitLeavesRoomForWhatTheRuntimeDoesNotCount(t *testing.T) {
	for memoryMB, limitMB := range map[int]int64{32: 16, 64: 40, 100: 70, 1000: 700} {
		assert.Equal(t, memoryLimit(memoryMB)>>20, limitMB)
	}
}

// Package elapsed measures time on a clock that also advances while the host is
// suspended, as leases require. It also measures how long goroutines of the
// process wait for their turn.
package elapsed

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host started, including time in suspension. If the clock cannot be read, which does not
// happen on Linux, it falls back to the process's monotonic clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

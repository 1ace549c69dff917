// Package boottime reads a monotonic clock that includes the time during which the machine was suspended. Go's monotonic
// clock does not advance during a suspension, so a lease measured with it would appear valid after it had expired.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails only for an unknown clock, and every kernel since 2.6.39 has this one.
		panic("boottime: " + err.Error())
	}
	return time.Duration(now.Nano())
}

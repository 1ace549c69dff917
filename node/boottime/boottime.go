// Package boottime reads a clock that never jumps and that goes on while the machine is suspended. Go's own monotonic
// clock stands still then, so that a lease would seem to last longer than it does.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's boot.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails for an unknown clock only, and every kernel since 2.6.39 knows this one.
		panic("boottime: " + err.Error())
	}
	return time.Duration(now.Nano())
}

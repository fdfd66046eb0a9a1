package quoter

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine started, including suspensions, as a time
// whose zero point has no meaning. The monotonic clock stops during a suspension, and credit
// from before it would still be valid.
func BootTime() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now()
	}
	return time.Unix(now.Unix())
}

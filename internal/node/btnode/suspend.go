package btnode

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the least difference of the clocks that counts as a suspension.
// Scheduling delays between the readings of the two clocks cause smaller ones.
const minSuspension = 300 * time.Millisecond

// suspendClock detects suspensions of the machine: CLOCK_BOOTTIME advances during a
// suspension, CLOCK_MONOTONIC does not.
type suspendClock struct {
	boottime  time.Duration
	monotonic time.Duration
}

func newSuspendClock() *suspendClock {
	return &suspendClock{boottime: readClock(unix.CLOCK_BOOTTIME), monotonic: readClock(unix.CLOCK_MONOTONIC)}
}

// suspended returns how long the machine was suspended since the last call, or zero
// if that was less than minSuspension.
func (c *suspendClock) suspended() time.Duration {
	now := newSuspendClock()
	d := (now.boottime - c.boottime) - (now.monotonic - c.monotonic)
	*c = *now
	if d < minSuspension {
		return 0
	}
	return d
}

// readClock returns the reading of a clock.
func readClock(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		// Without a reading no suspension is detected.
		return 0
	}
	return time.Duration(ts.Nano())
}

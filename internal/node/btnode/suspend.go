package btnode

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendSlack is the difference of the clocks that counts as a suspension. It
// lies above what scheduling delays between two readings explain.
const suspendSlack = 300 * time.Millisecond

// suspendClock compares the clock that counts suspensions with the one that
// does not.
type suspendClock struct {
	boot   time.Duration
	steady time.Duration
}

func newSuspendClock() *suspendClock {
	return &suspendClock{boot: readClock(unix.CLOCK_BOOTTIME), steady: readClock(unix.CLOCK_MONOTONIC)}
}

// suspended returns how long the process was suspended since the last call,
// zero if it was not.
func (c *suspendClock) suspended() time.Duration {
	now := newSuspendClock()
	away := (now.boot - c.boot) - (now.steady - c.steady)
	*c = *now
	if away < suspendSlack {
		return 0
	}
	return away
}

func readClock(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		// A clock that cannot be read shows no suspension.
		return 0
	}
	return time.Duration(ts.Nano())
}

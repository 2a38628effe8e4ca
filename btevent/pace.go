package btevent

import (
	"sync/atomic"
	"time"
)

// Pace lets one log line through in each period. The zero value is ready to use. It is safe for
// concurrent use.
type Pace struct {
	// last is the Unix time in nanoseconds of the last line.
	last atomic.Int64
}

// Due reports whether a line may be written now, and counts it if so.
func (p *Pace) Due(now time.Time, period time.Duration) bool {
	last := p.last.Load()
	return now.UnixNano()-last >= int64(period) && p.last.CompareAndSwap(last, now.UnixNano())
}

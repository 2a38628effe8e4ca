package bramleytack

import (
	"context"
	"time"
)

// Timer is the clock and timer service that all components share.
type Timer interface {
	// Now returns the current time with a monotonic clock reading.
	Now() time.Time
	// After returns an alarm that fires once after d.
	After(d time.Duration) Alarm
	// Every returns an alarm that fires periodically. Each period is shortened by a
	// random duration of up to jitter, so that hosts do not act in lockstep.
	Every(period, jitter time.Duration) Alarm
	// Sleep returns after d, or with the context's error when it ends earlier.
	Sleep(ctx context.Context, d time.Duration) error
}

// Alarm is a one-time or periodic event of a Timer.
type Alarm interface {
	// C returns the channel that receives the time whenever the alarm fires. An
	// event is dropped if the previous one has not been received.
	C() <-chan time.Time
	// Stop cancels the alarm. The channel is not closed.
	Stop()
}

package bramleytack

import (
	"context"
	"time"
)

// Timer is the timer service that all parts subscribe to.
type Timer interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// After returns an alarm that fires once after d.
	After(d time.Duration) Alarm
	// Every returns an alarm that fires each period. A random share of up to
	// jitter is taken off each period, so that hosts do not act in step.
	Every(period, jitter time.Duration) Alarm
	// Sleep returns after d, or earlier with the context's error.
	Sleep(ctx context.Context, d time.Duration) error
}

// Alarm is a subscription to the timer service.
type Alarm interface {
	// C receives the time of each firing. A firing that finds the previous one
	// unread is dropped.
	C() <-chan time.Time
	// Stop ends the subscription.
	Stop()
}

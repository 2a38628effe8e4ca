package btroute

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"bramleytack"
)

// Retry decides whether a request gets further attempts.
type Retry interface {
	// Next returns how long to wait before an attempt and whether it may be
	// made at all. The first call for a request is for attempt 2.
	Next(attempt int, deadline time.Time) (time.Duration, bool)
}

// Defaults of a Backoff.
const (
	defaultMaxAttempts     = 4
	defaultInitialWait     = 10 * time.Millisecond
	defaultMaxWait         = 500 * time.Millisecond
	defaultBudget          = 100.0
	defaultRefillPerSecond = 50.0
)

// Backoff is a Retry with a bounded number of attempts, a common budget for all
// requests, and random waits whose mean grows exponentially. The second attempt
// is made without a wait, since it goes to another upstream. Zero fields take
// defaults. It is safe for concurrent use.
type Backoff struct {
	Timer       bramleytack.Timer
	MaxAttempts int
	// InitialWait is the mean wait before the third attempt. It doubles with
	// each attempt up to MaxWait. A wait is between half and 1.5 times the mean.
	InitialWait time.Duration
	MaxWait     time.Duration
	// Budget is the number of repeated attempts in a burst, RefillPerSecond
	// the rate at which it recovers. It bounds the load that they add while
	// many upstreams fail.
	Budget          float64
	RefillPerSecond float64
	// Float returns a random number in [0, 1). If it is nil, the global source
	// is used.
	Float func() float64

	mu        sync.Mutex
	spent     float64
	updatedAt time.Time
}

// Next implements Retry.
func (b *Backoff) Next(attempt int, deadline time.Time) (time.Duration, bool) {
	if attempt > cmp.Or(b.MaxAttempts, defaultMaxAttempts) {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timer.Now()
	d := b.wait(attempt)
	if !deadline.IsZero() && !now.Add(d).Before(deadline) {
		return 0, false
	}
	b.spent = max(0, b.spent-now.Sub(b.updatedAt).Seconds()*cmp.Or(b.RefillPerSecond, defaultRefillPerSecond))
	b.updatedAt = now
	if b.spent+1 > cmp.Or(b.Budget, defaultBudget) {
		return 0, false
	}
	b.spent++
	return d, true
}

func (b *Backoff) wait(attempt int) time.Duration {
	if attempt <= 2 {
		return 0
	}
	limit := cmp.Or(b.MaxWait, defaultMaxWait)
	d := cmp.Or(b.InitialWait, defaultInitialWait)
	for i := 3; i < attempt && d < limit; i++ {
		d *= 2
	}
	return time.Duration(float64(min(d, limit)) * (0.5 + b.float()))
}

func (b *Backoff) float() float64 {
	if b.Float == nil {
		return rand.Float64()
	}
	return b.Float()
}

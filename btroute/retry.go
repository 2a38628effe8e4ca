package btroute

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"bramleytack"
)

// Retry decides about further attempts.
type Retry interface {
	// Next returns how long to wait before an attempt, which counts from 2,
	// and whether it may be made at all.
	Next(attempt int, deadline time.Time) (time.Duration, bool)
}

// Defaults of a Backoff.
const (
	defaultAttempts = 4
	defaultBase     = 10 * time.Millisecond
	defaultMax      = 500 * time.Millisecond
	defaultBudget   = 100.0
	defaultRefill   = 50.0
)

// Backoff allows a bounded number of attempts with a budget over all requests
// and random, exponentially growing waits. The first repeat goes to another
// upstream at once. Zero fields take defaults.
type Backoff struct {
	Timer    bramleytack.Timer
	Attempts int
	// Base is the mean wait before the third attempt, Max the longest wait.
	Base time.Duration
	Max  time.Duration
	// Budget is the number of repeats that may be made at once, PerSecond the
	// rate at which it recovers. It bounds the load that repeats add while
	// many upstreams fail.
	Budget    float64
	PerSecond float64
	// Float draws from [0, 1). A nil Float uses the global source.
	Float func() float64

	mu    sync.Mutex
	spent float64
	at    time.Time
}

// Next implements Retry.
func (b *Backoff) Next(attempt int, deadline time.Time) (time.Duration, bool) {
	if attempt > cmp.Or(b.Attempts, defaultAttempts) {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timer.Now()
	d := b.wait(attempt)
	if !deadline.IsZero() && !now.Add(d).Before(deadline) {
		return 0, false
	}
	b.spent = max(0, b.spent-now.Sub(b.at).Seconds()*cmp.Or(b.PerSecond, defaultRefill))
	b.at = now
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
	limit := cmp.Or(b.Max, defaultMax)
	d := cmp.Or(b.Base, defaultBase)
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

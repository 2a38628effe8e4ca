package btretry

import (
	"math/rand/v2"
	"sync"
	"time"

	"bramleytack"
)

// Defaults of a Backoff.
const (
	DefaultBase     = 50 * time.Millisecond
	DefaultMax      = 2 * time.Second
	DefaultAttempts = 3
	DefaultMargin   = 50 * time.Millisecond
)

// Backoff computes the waits between attempts. Set Timer before use; other zero
// fields take defaults. It is safe for concurrent use.
type Backoff struct {
	Timer bramleytack.Timer
	// Base is the longest wait before the second attempt. The longest wait
	// doubles with each further attempt, up to Max.
	Base time.Duration
	Max  time.Duration
	// Attempts is the number of attempts, including the first.
	Attempts int
	// Margin is the shortest time before the deadline at which an attempt may
	// still start.
	Margin time.Duration
	// Seed seeds the random numbers of the jitter.
	Seed uint64

	mu  sync.Mutex
	rng *rand.Rand
}

// Next returns the wait after the given attempt, counted from 1. It returns
// false when no attempt is left or the next one could not end before the
// deadline. A zero deadline means none.
func (b *Backoff) Next(attempt int, deadline time.Time) (time.Duration, bool) {
	if attempt < 1 || attempt >= positiveOr(b.Attempts, DefaultAttempts) {
		return 0, false
	}
	wait := b.jitter(b.maxWait(attempt))
	if !deadline.IsZero() && b.Timer.Now().Add(wait+positiveOr(b.Margin, DefaultMargin)).After(deadline) {
		return 0, false
	}
	return wait, true
}

// maxWait returns the longest wait after an attempt.
func (b *Backoff) maxWait(attempt int) time.Duration {
	wait, longest := positiveOr(b.Base, DefaultBase), positiveOr(b.Max, DefaultMax)
	for range attempt - 1 {
		if wait >= longest/2 {
			return longest
		}
		wait *= 2
	}
	return min(wait, longest)
}

// jitter returns a random wait between half of the limit and the limit.
func (b *Backoff) jitter(limit time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rng == nil {
		b.rng = rand.New(rand.NewPCG(b.Seed, b.Seed))
	}
	return limit - time.Duration(b.rng.Int64N(int64(limit)/2+1))
}

// positiveOr returns v if it is positive, and fallback otherwise.
func positiveOr[T int | float64 | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}

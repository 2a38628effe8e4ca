package btstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxRetries bounds the retries of one call.
	maxRetries = 2
	// budgetSize bounds the retries in a burst of failures. Each read that does
	// not fail with an outage adds refillPerRead, a tenth of a retry, so that
	// retries add at most 10% to the calls in the long run.
	budgetSize    = 10.0
	refillPerRead = 0.1
	minBackoff    = 20 * time.Millisecond
)

// retryBudget is a token bucket that bounds the retries of all calls of a
// Client. Each retry takes one token.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
	rng    *rand.Rand
}

func newRetryBudget(seed uint64) *retryBudget {
	return &retryBudget{tokens: budgetSize, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (b *retryBudget) refill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+refillPerRead, budgetSize)
}

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// backoff returns the delay before a retry. The full delay doubles with each
// attempt; the result is random, from half of the full delay up to all of it.
func (b *retryBudget) backoff(attempt int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := minBackoff << attempt
	return d/2 + time.Duration(b.rng.Int64N(int64(d/2)))
}

package btstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxRetries bounds the repeats of one call.
	maxRetries = 2
	// budgetSize bounds the repeats of a burst of failures. A tenth of the
	// successful calls refills it, so that repeats add at most 10% in the long run.
	budgetSize   = 10.0
	budgetRefill = 0.1
	baseDelay    = 20 * time.Millisecond
)

// budget bounds repeated calls over all callers.
type budget struct {
	mu     sync.Mutex
	tokens float64
	rng    *rand.Rand
}

func newBudget(seed uint64) *budget {
	return &budget{tokens: budgetSize, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetRefill, budgetSize)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// delay returns the pause before a repeat: between half and all of a delay
// that doubles with each attempt.
func (b *budget) delay(attempt int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := baseDelay << attempt
	return d/2 + time.Duration(b.rng.Int64N(int64(d/2)))
}

package btretry

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"bramleytack"
)

// Defaults of a Budget.
const (
	DefaultRatio   = 0.1
	DefaultMinimum = 1.0
	DefaultBurst   = 10.0
	DefaultMaxKeys = 4096
)

// Budget limits retries by a token bucket per key, such as a workspace or a model.
// Set Timer before use; other zero fields take defaults. It is safe for concurrent
// use.
type Budget struct {
	Timer bramleytack.Timer
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Minimum is the number of retries per second that the budget grows by
	// without requests.
	Minimum float64
	// Burst bounds the budget of a key, in retries.
	Burst float64
	// Processes returns the number of processes that share Minimum and Burst.
	// Nil means one. Where the part of a process is less than one retry, it retries with
	// that probability, so that all together keep to Burst.
	Processes func() int
	// Seed seeds the random numbers. It should differ between processes.
	Seed uint64
	// MaxKeys bounds the number of buckets. The least recently used one is
	// dropped.
	MaxKeys int

	mu      sync.Mutex
	buckets map[string]*list.Element
	lru     list.List
	rng     *rand.Rand
}

// bucket is the budget of one key. A token allows one retry.
type bucket struct {
	key        string
	tokens     float64
	refilledAt time.Time
}

// Request counts a first attempt.
func (b *Budget) Request(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.refill(key)
	k.tokens = min(k.tokens+positiveOr(b.Ratio, DefaultRatio), b.burst())
}

// Retry reports whether the budget allows a retry, and if so takes it from the
// budget.
func (b *Budget) Retry(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.refill(key)
	if k.tokens >= 1 {
		k.tokens--
		return true
	}
	if b.burst() >= 1 {
		return false
	}
	allowed := b.draw() < k.tokens
	k.tokens = 0
	return allowed
}

// draw returns a random number between 0 and 1.
func (b *Budget) draw() float64 {
	if b.rng == nil {
		b.rng = rand.New(rand.NewPCG(b.Seed, b.Seed))
	}
	return b.rng.Float64()
}

// refill returns a key's bucket after adding Minimum for the time since its last
// use. A new bucket allows one retry, or what Burst leaves a process of it, so that a key
// with rare requests can retry.
func (b *Budget) refill(key string) *bucket {
	now := b.Timer.Now()
	e, ok := b.buckets[key]
	if !ok {
		return b.add(&bucket{key: key, tokens: min(1, b.burst()), refilledAt: now})
	}
	b.lru.MoveToBack(e)
	k := e.Value.(*bucket)
	if d := now.Sub(k.refilledAt); d > 0 {
		k.tokens = min(k.tokens+d.Seconds()*positiveOr(b.Minimum, DefaultMinimum)/b.processes(), b.burst())
		k.refilledAt = now
	}
	return k
}

func (b *Budget) add(k *bucket) *bucket {
	if b.buckets == nil {
		b.buckets = map[string]*list.Element{}
	}
	if b.lru.Len() >= positiveOr(b.MaxKeys, DefaultMaxKeys) {
		oldest := b.lru.Front()
		delete(b.buckets, oldest.Value.(*bucket).key)
		b.lru.Remove(oldest)
	}
	b.buckets[k.key] = b.lru.PushBack(k)
	return k
}

func (b *Budget) burst() float64 { return positiveOr(b.Burst, DefaultBurst) / b.processes() }

func (b *Budget) processes() float64 {
	if b.Processes == nil {
		return 1
	}
	return float64(max(b.Processes(), 1))
}

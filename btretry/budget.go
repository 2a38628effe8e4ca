package btretry

import (
	"container/list"
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
	// Nil means one.
	Processes func() int
	// MaxKeys bounds the number of buckets. The least recently used one is
	// dropped.
	MaxKeys int

	mu      sync.Mutex
	buckets map[string]*list.Element
	lru     list.List
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
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

// refill returns a key's bucket after adding Minimum for the time since its last
// use. A new bucket allows one retry, so that a key with rare requests can retry.
func (b *Budget) refill(key string) *bucket {
	now := b.Timer.Now()
	e, ok := b.buckets[key]
	if !ok {
		return b.add(&bucket{key: key, tokens: 1, refilledAt: now})
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

func (b *Budget) burst() float64 { return max(positiveOr(b.Burst, DefaultBurst)/b.processes(), 1) }

func (b *Budget) processes() float64 {
	if b.Processes == nil {
		return 1
	}
	return float64(max(b.Processes(), 1))
}

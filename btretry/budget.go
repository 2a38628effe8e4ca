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
	DefaultKeys    = 4096
)

// Budget is a token bucket per workspace or model. Set Timer before use; other
// zero values select the defaults. It is safe for concurrent use.
type Budget struct {
	Timer bramleytack.Timer
	// Ratio is the number of retries that one request earns.
	Ratio float64
	// Minimum is the number of retries per second that need no requests.
	Minimum float64
	// Burst bounds the retries that a key can save up.
	Burst float64
	// Processes returns the number of processes that share Minimum and Burst.
	// Nil means one.
	Processes func() int
	// Keys bounds the buckets. The one used least recently is forgotten.
	Keys int

	mu      sync.Mutex
	buckets map[string]*list.Element
	order   list.List
}

// bucket is the budget of one key.
type bucket struct {
	key    string
	tokens float64
	at     time.Time
}

// Request counts a first attempt.
func (b *Budget) Request(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.refill(key)
	k.tokens = min(k.tokens+or(b.Ratio, DefaultRatio), b.burst())
}

// Retry takes one retry out of the budget if there is one.
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

// refill returns a key's bucket with the minimum added for the time since its
// last use. A new bucket has one retry, so that a rare key can repeat.
func (b *Budget) refill(key string) *bucket {
	now := b.Timer.Now()
	e, ok := b.buckets[key]
	if !ok {
		return b.add(&bucket{key: key, tokens: 1, at: now})
	}
	b.order.MoveToBack(e)
	k := e.Value.(*bucket)
	if d := now.Sub(k.at); d > 0 {
		k.tokens = min(k.tokens+d.Seconds()*or(b.Minimum, DefaultMinimum)/b.processes(), b.burst())
		k.at = now
	}
	return k
}

func (b *Budget) add(k *bucket) *bucket {
	if b.buckets == nil {
		b.buckets = map[string]*list.Element{}
	}
	if b.order.Len() >= or(b.Keys, DefaultKeys) {
		oldest := b.order.Front()
		delete(b.buckets, oldest.Value.(*bucket).key)
		b.order.Remove(oldest)
	}
	b.buckets[k.key] = b.order.PushBack(k)
	return k
}

func (b *Budget) burst() float64 { return max(or(b.Burst, DefaultBurst)/b.processes(), 1) }

func (b *Budget) processes() float64 {
	if b.Processes == nil {
		return 1
	}
	return float64(max(b.Processes(), 1))
}

package btengine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"bramleytack"
)

// maxCacheEvents bounds the cache events that an engine keeps for readers.
const maxCacheEvents = 4096

type cacheEvent struct {
	bramleytack.CacheEvent
	visible time.Time
}

// prefixCache holds the hashes of cached prefixes, least recently used last.
type prefixCache struct {
	capacity int
	delay    time.Duration
	loss     float64
	rng      *rand.Rand
	order    *list.List
	entries  map[uint64]*list.Element
	sequence uint64
	events   []cacheEvent
}

func newPrefixCache(cfg Config, rng *rand.Rand) *prefixCache {
	return &prefixCache{
		capacity: cfg.CacheTokens / cfg.BlockTokens,
		delay:    cfg.CacheEventDelay,
		loss:     cfg.CacheEventLoss,
		rng:      rng,
		order:    list.New(),
		entries:  map[uint64]*list.Element{},
	}
}

// match returns the number of leading prefixes that are cached.
func (p *prefixCache) match(prefixes []uint64) int {
	n := 0
	for n < len(prefixes) && p.entries[prefixes[n]] != nil {
		n++
	}
	return n
}

// insert caches the prefixes. The shortest become the most recently used, so
// that no prefix is evicted before a longer one that depends on it.
func (p *prefixCache) insert(now time.Time, prefixes []uint64) {
	prefixes = prefixes[:min(len(prefixes), p.capacity)]
	for i := len(prefixes) - 1; i >= 0; i-- {
		x := prefixes[i]
		if e := p.entries[x]; e != nil {
			p.order.MoveToFront(e)
			continue
		}
		p.entries[x] = p.order.PushFront(x)
		p.publish(now, x, false)
	}
	for p.order.Len() > p.capacity {
		x := p.order.Remove(p.order.Back()).(uint64)
		delete(p.entries, x)
		p.publish(now, x, true)
	}
}

func (p *prefixCache) publish(now time.Time, prefix uint64, evicted bool) {
	p.sequence++
	if p.rng.Float64() < p.loss {
		return
	}
	if len(p.events) == maxCacheEvents {
		p.events = append(p.events[:0], p.events[maxCacheEvents/2:]...)
	}
	e := bramleytack.CacheEvent{Sequence: p.sequence, Prefix: prefix, Evicted: evicted}
	p.events = append(p.events, cacheEvent{CacheEvent: e, visible: now.Add(p.delay)})
}

// published returns the events after a sequence number that readers can see.
func (p *prefixCache) published(now time.Time, after uint64) []bramleytack.CacheEvent {
	events := []bramleytack.CacheEvent{}
	for _, e := range p.events {
		if e.visible.After(now) {
			break
		}
		if e.Sequence > after {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}

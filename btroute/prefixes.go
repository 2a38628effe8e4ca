package btroute

import (
	"sync"
	"time"

	"bramleytack"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBlock is the length of a prompt prefix in bytes, about 256
	// tokens, and maxBlocks the number of prefixes of one prompt.
	prefixBlock = 1024
	maxBlocks   = 16
	// prefixLife is how long a prefix is expected to stay in a cache.
	prefixLife = 2 * time.Minute
	// maxPrefixes bounds the index, about 100 bytes each.
	maxPrefixes = 65536
	// maxHolders bounds the upstreams that are kept for one prefix.
	maxHolders = 4
)

// PrefixHashes returns the hashes of a prompt's prefixes, shortest first: of
// the first 1,024 bytes, the first 2,048, and so on. Engines name prefixes by
// the same hashes in their cache events.
func PrefixHashes(model, prompt string) []uint64 {
	n := min(len(prompt)/prefixBlock, maxBlocks)
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	for i := range hashes {
		_, _ = d.WriteString(prompt[i*prefixBlock : (i+1)*prefixBlock])
		hashes[i] = d.Sum64()
	}
	return hashes
}

// holder is an upstream that may have a prefix in its cache.
type holder struct {
	upstream bramleytack.UpstreamID
	epoch    uint32
	expires  time.Time
}

// feed is the state of an engine's cache events.
type feed struct {
	instance bramleytack.InstanceID
	last     uint64
	// epoch counts invalidations. Holders of older epochs are void.
	epoch uint32
}

// Prefixes is an index of the prompt prefixes that engines have cached. The
// zero value is ready for use.
type Prefixes struct {
	mu    sync.Mutex
	index map[uint64][]holder
	feeds map[bramleytack.UpstreamID]*feed
}

// Apply takes cache events of an engine in their order. A gap or a new
// instance voids all that was known of the engine.
func (p *Prefixes) Apply(now time.Time, id bramleytack.UpstreamID, instance bramleytack.InstanceID, events []bramleytack.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.feed(id)
	if f.instance != instance {
		f.instance = instance
		f.last = 0
		f.epoch++
	}
	for _, e := range events {
		if e.Sequence <= f.last {
			continue
		}
		if e.Sequence != f.last+1 {
			f.epoch++
		}
		f.last = e.Sequence
		if e.Evicted {
			p.remove(id, e.Prefix)
		} else {
			p.add(now, id, f.epoch, e.Prefix)
		}
	}
}

// Sent records that a prompt was sent to an upstream, which will cache it.
func (p *Prefixes) Sent(now time.Time, id bramleytack.UpstreamID, hashes []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.feed(id)
	for _, h := range hashes {
		p.add(now, id, f.epoch, h)
	}
}

// LastSequence returns the sequence number of the last event of an engine.
func (p *Prefixes) LastSequence(id bramleytack.UpstreamID) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.feed(id).last
}

// Matches returns the share of the prompt's prefixes that each upstream may
// have cached, less the older the entry is.
func (p *Prefixes) Matches(now time.Time, hashes []uint64) map[bramleytack.UpstreamID]float64 {
	if len(hashes) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var matches map[bramleytack.UpstreamID]float64
	for i := len(hashes) - 1; i >= 0; i-- {
		for _, h := range p.index[hashes[i]] {
			if !p.valid(now, h) {
				continue
			}
			if matches == nil {
				matches = make(map[bramleytack.UpstreamID]float64)
			}
			share := float64(i+1) / float64(len(hashes)) * float64(h.expires.Sub(now)) / float64(prefixLife)
			matches[h.upstream] = max(matches[h.upstream], share)
		}
	}
	return matches
}

func (p *Prefixes) feed(id bramleytack.UpstreamID) *feed {
	if p.feeds == nil {
		p.feeds = make(map[bramleytack.UpstreamID]*feed)
		p.index = make(map[uint64][]holder)
	}
	f, ok := p.feeds[id]
	if !ok {
		f = &feed{}
		p.feeds[id] = f
	}
	return f
}

func (p *Prefixes) valid(now time.Time, h holder) bool {
	f, ok := p.feeds[h.upstream]
	return ok && f.epoch == h.epoch && now.Before(h.expires)
}

func (p *Prefixes) add(now time.Time, id bramleytack.UpstreamID, epoch uint32, hash uint64) {
	p.remove(id, hash)
	if len(p.index) >= maxPrefixes {
		p.evict(now)
	}
	list := p.index[hash]
	if len(list) >= maxHolders {
		list = list[1:]
	}
	p.index[hash] = append(list, holder{upstream: id, epoch: epoch, expires: now.Add(prefixLife)})
}

func (p *Prefixes) remove(id bramleytack.UpstreamID, hash uint64) {
	list := p.index[hash]
	for i, h := range list {
		if h.upstream != id {
			continue
		}
		if len(list) == 1 {
			delete(p.index, hash)
			return
		}
		p.index[hash] = append(list[:i:i], list[i+1:]...)
		return
	}
}

// evict removes a few prefixes in random order, void ones if it meets them.
func (p *Prefixes) evict(now time.Time) {
	const tries = 8
	n := 0
	for hash, list := range p.index {
		if n++; n >= tries || !p.valid(now, list[len(list)-1]) {
			delete(p.index, hash)
			return
		}
	}
}

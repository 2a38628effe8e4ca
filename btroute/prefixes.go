package btroute

import (
	"sync"
	"time"

	"bramleytack"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBlock is the number of bytes by which the prefixes of a prompt
	// grow, about 256 tokens. maxBlocks bounds the prefixes of one prompt.
	prefixBlock = 1024
	maxBlocks   = 16
	// prefixTTL is how long a prefix is expected to stay in a cache.
	prefixTTL = 2 * time.Minute
	// maxPrefixes bounds the index. A prefix takes about 100 bytes.
	maxPrefixes = 65536
	// maxLocations bounds the upstreams that are recorded for one prefix.
	maxLocations = 4
)

// PrefixHashes returns the hashes of a prompt's prefixes, shortest first: of
// the first 1,024 bytes, the first 2,048, and so on. Engines identify prefixes
// by the same hashes in their cache events.
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

// cacheLocation is an upstream that may have a prefix in its cache.
type cacheLocation struct {
	upstream bramleytack.UpstreamID
	epoch    uint32
	expires  time.Time
}

// feed is the state of an engine's stream of cache events.
type feed struct {
	instance     bramleytack.InstanceID
	lastSequence uint64
	// epoch counts invalidations. Locations of older epochs are invalid.
	epoch uint32
}

// Prefixes is an index of the prompt prefixes that engines have cached. The
// zero value is ready for use. It is safe for concurrent use.
type Prefixes struct {
	mu    sync.Mutex
	index map[uint64][]cacheLocation
	feeds map[bramleytack.UpstreamID]*feed
}

// Apply applies cache events of an engine, which must be in order, and ignores
// those that it applied before. A gap in the sequence or a new instance
// invalidates all that was recorded for the engine.
func (p *Prefixes) Apply(now time.Time, id bramleytack.UpstreamID, instance bramleytack.InstanceID, events []bramleytack.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.feed(id)
	if f.instance != instance {
		f.instance = instance
		f.lastSequence = 0
		f.epoch++
	}
	for _, e := range events {
		if e.Sequence <= f.lastSequence {
			continue
		}
		if e.Sequence != f.lastSequence+1 {
			f.epoch++
		}
		f.lastSequence = e.Sequence
		if e.Evicted {
			p.remove(id, e.Prefix)
		} else {
			p.add(now, id, f.epoch, e.Prefix)
		}
	}
}

// RecordPrompt records that an upstream will cache the prefixes of a prompt
// that is sent to it.
func (p *Prefixes) RecordPrompt(now time.Time, id bramleytack.UpstreamID, hashes []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.feed(id)
	for _, h := range hashes {
		p.add(now, id, f.epoch, h)
	}
}

// LastSequence returns the sequence number of the last event that was applied
// for an engine, or 0.
func (p *Prefixes) LastSequence(id bramleytack.UpstreamID) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.feed(id).lastSequence
}

// Matches returns, by upstream, the share of a prompt's prefixes that it may
// have cached. The share decreases linearly over the life of a record.
func (p *Prefixes) Matches(now time.Time, hashes []uint64) map[bramleytack.UpstreamID]float64 {
	if len(hashes) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var matches map[bramleytack.UpstreamID]float64
	for i := len(hashes) - 1; i >= 0; i-- {
		for _, loc := range p.index[hashes[i]] {
			if !p.valid(now, loc) {
				continue
			}
			if matches == nil {
				matches = make(map[bramleytack.UpstreamID]float64)
			}
			share := float64(i+1) / float64(len(hashes)) * float64(loc.expires.Sub(now)) / float64(prefixTTL)
			matches[loc.upstream] = max(matches[loc.upstream], share)
		}
	}
	return matches
}

// feed returns the feed of an engine and creates it if there is none. The
// caller holds mu.
func (p *Prefixes) feed(id bramleytack.UpstreamID) *feed {
	if p.feeds == nil {
		p.feeds = make(map[bramleytack.UpstreamID]*feed)
		p.index = make(map[uint64][]cacheLocation)
	}
	f, ok := p.feeds[id]
	if !ok {
		f = &feed{}
		p.feeds[id] = f
	}
	return f
}

func (p *Prefixes) valid(now time.Time, loc cacheLocation) bool {
	f, ok := p.feeds[loc.upstream]
	return ok && f.epoch == loc.epoch && now.Before(loc.expires)
}

func (p *Prefixes) add(now time.Time, id bramleytack.UpstreamID, epoch uint32, hash uint64) {
	p.remove(id, hash)
	if len(p.index) >= maxPrefixes {
		p.evict(now)
	}
	list := p.index[hash]
	if len(list) >= maxLocations {
		list = list[1:]
	}
	p.index[hash] = append(list, cacheLocation{upstream: id, epoch: epoch, expires: now.Add(prefixTTL)})
}

func (p *Prefixes) remove(id bramleytack.UpstreamID, hash uint64) {
	list := p.index[hash]
	for i, loc := range list {
		if loc.upstream != id {
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

// evict removes one prefix: the first invalid one of a random sample, or the
// last of the sample if all are valid.
func (p *Prefixes) evict(now time.Time) {
	const maxSamples = 8
	n := 0
	for hash, list := range p.index {
		if n++; n >= maxSamples || !p.valid(now, list[len(list)-1]) {
			delete(p.index, hash)
			return
		}
	}
}

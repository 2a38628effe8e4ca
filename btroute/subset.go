package btroute

import (
	"cmp"
	"slices"
	"sync"

	"bramleytack"

	"github.com/cespare/xxhash/v2"
)

// defaultSubsetSize is the number of upstreams for each model that an entry
// uses.
const defaultSubsetSize = 64

// Subset returns the n upstreams that rendezvous hashing assigns to an entry
// daemon, in the order of ups. If one upstream is added or removed, at most one
// other changes.
func Subset(entry bramleytack.HostID, ups []*bramleytack.Upstream, n int) []*bramleytack.Upstream {
	if len(ups) <= n {
		return ups
	}
	type ranked struct {
		hash  uint64
		index int
	}
	all := make([]ranked, len(ups))
	var d xxhash.Digest
	for i, u := range ups {
		d.Reset()
		_, _ = d.WriteString(string(entry))
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(string(u.ID))
		all[i] = ranked{d.Sum64(), i}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.index, b.index)) })
	all = all[:n]
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.index, b.index) })
	subset := make([]*bramleytack.Upstream, n)
	for i, r := range all {
		subset[i] = ups[r.index]
	}
	return subset
}

// subsetCache caches the subset for each model of one snapshot.
type subsetCache struct {
	mu       sync.Mutex
	snapshot *bramleytack.Snapshot
	byModel  map[string][]*bramleytack.Upstream
}

func (c *subsetCache) get(s *bramleytack.Snapshot, entry bramleytack.HostID, model string, n int) []*bramleytack.Upstream {
	all := s.ByModel[model]
	if len(all) <= n {
		return all
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != s {
		c.snapshot = s
		c.byModel = make(map[string][]*bramleytack.Upstream)
	}
	list, ok := c.byModel[model]
	if !ok {
		list = Subset(entry, all, n)
		c.byModel[model] = list
	}
	return list
}

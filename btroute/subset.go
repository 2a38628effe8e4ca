package btroute

import (
	"cmp"
	"slices"
	"sync"

	"bramleytack"

	"github.com/cespare/xxhash/v2"
)

// defaultSubset is the number of upstreams per model that an entry uses.
const defaultSubset = 64

// Subset returns the n upstreams that rendezvous hashing gives to an entry, in
// the order of ups. When an upstream comes or goes, at most one other changes.
func Subset(entry bramleytack.HostID, ups []*bramleytack.Upstream, n int) []*bramleytack.Upstream {
	if len(ups) <= n {
		return ups
	}
	type ranked struct {
		rank  uint64
		place int
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
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.place, b.place)) })
	all = all[:n]
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.place, b.place) })
	subset := make([]*bramleytack.Upstream, n)
	for i, r := range all {
		subset[i] = ups[r.place]
	}
	return subset
}

// subsets keeps the subset per model for one snapshot.
type subsets struct {
	mu       sync.Mutex
	snapshot *bramleytack.Snapshot
	byModel  map[string][]*bramleytack.Upstream
}

func (c *subsets) get(s *bramleytack.Snapshot, entry bramleytack.HostID, model string, n int) []*bramleytack.Upstream {
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

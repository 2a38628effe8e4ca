package bthost

import (
	"maps"
	"sync/atomic"

	"bramleytack"
)

// Overlay implements bramleytack.Snapshots: the snapshots of Config, with
// upstreams on leaving hosts marked as leaving. It is safe for concurrent use.
type Overlay struct {
	Config bramleytack.Snapshots
	Hosts  *Watcher

	cached atomic.Pointer[mergedSnapshot]
}

// mergedSnapshot is a cached result with its inputs, which are compared by
// pointer to detect a change.
type mergedSnapshot struct {
	config   *bramleytack.Snapshot
	leaving  *Leaving
	snapshot *bramleytack.Snapshot
}

// Snapshot returns the current snapshot of Config with leaving hosts applied. It
// is recomputed only after a change of the configuration or the host set.
func (o *Overlay) Snapshot() *bramleytack.Snapshot {
	config, leaving := o.Config.Snapshot(), o.Hosts.Leaving()
	if leaving.Len() == 0 {
		return config
	}
	if c := o.cached.Load(); c != nil && c.config == config && c.leaving == leaving {
		return c.snapshot
	}
	next := &mergedSnapshot{config: config, leaving: leaving, snapshot: markLeaving(config, leaving)}
	o.cached.Store(next)
	return next.snapshot
}

func markLeaving(config *bramleytack.Snapshot, leaving *Leaving) *bramleytack.Snapshot {
	s := *config
	s.Upstreams = maps.Clone(config.Upstreams)
	for id, u := range config.Upstreams {
		if !leaving.Has(u.Addr.Addr()) {
			continue
		}
		marked := *u
		marked.State = bramleytack.UpstreamLeaving
		s.Upstreams[id] = &marked
	}
	return &s
}

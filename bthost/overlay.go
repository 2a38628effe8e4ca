package bthost

import (
	"maps"
	"sync/atomic"

	"bramleytack"
)

// Overlay implements bramleytack.Snapshots: the configuration with upstreams on
// leaving hosts marked as leaving.
type Overlay struct {
	Config bramleytack.Snapshots
	Hosts  *Watcher

	cached atomic.Pointer[overlaid]
}

// overlaid is a snapshot with what it was made from.
type overlaid struct {
	config   *bramleytack.Snapshot
	leaving  *Leaving
	snapshot *bramleytack.Snapshot
}

// Snapshot returns the current configuration and host list as one snapshot. It
// is computed anew only after a change of either.
func (o *Overlay) Snapshot() *bramleytack.Snapshot {
	config, leaving := o.Config.Snapshot(), o.Hosts.Leaving()
	if leaving.Len() == 0 {
		return config
	}
	if c := o.cached.Load(); c != nil && c.config == config && c.leaving == leaving {
		return c.snapshot
	}
	next := &overlaid{config: config, leaving: leaving, snapshot: apply(config, leaving)}
	o.cached.Store(next)
	return next.snapshot
}

func apply(config *bramleytack.Snapshot, leaving *Leaving) *bramleytack.Snapshot {
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

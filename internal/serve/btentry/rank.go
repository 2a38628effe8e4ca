package btentry

import (
	"sync/atomic"
	"time"

	"bramleytack"
)

// serviceRanks are the ranks of the streams of one service.
type serviceRanks struct {
	// targets are the least target latencies of its routes by rank. Routes without a target
	// are left out.
	targets map[int]time.Duration
}

// rankTable holds the ranks of all services under one configuration.
type rankTable struct {
	routes    *bramleytack.RouteTable
	byService map[string]*serviceRanks
}

// newRankTable reads the ranks of the routes of a configuration.
func newRankTable(s *bramleytack.Snapshot) *rankTable {
	t := &rankTable{routes: s.Routes, byService: map[string]*serviceRanks{}}
	for _, r := range s.Routes.All() {
		if !r.Streaming {
			continue
		}
		for _, share := range r.Services {
			t.add(share.Service, r)
		}
	}
	return t
}

func (t *rankTable) add(service string, r *bramleytack.Route) {
	ranks := t.byService[service]
	if ranks == nil {
		ranks = &serviceRanks{targets: map[int]time.Duration{}}
		t.byService[service] = ranks
	}
	if r.TargetLatency <= 0 {
		return
	}
	if least, ok := ranks.targets[r.Urgency]; !ok || r.TargetLatency < least {
		ranks.targets[r.Urgency] = r.TargetLatency
	}
}

// least returns the least target latency of the routes that are at least as urgent as a rank,
// and reports whether one of them is more urgent. Without a route it returns most.
func (r *serviceRanks) least(rank int, most time.Duration) (least time.Duration, lessUrgent bool) {
	least = most
	for other, target := range r.targets {
		if other <= rank {
			least, lessUrgent = min(least, target), lessUrgent || other < rank
		}
	}
	return least, lessUrgent
}

// rankCache keeps the ranks of the newest configuration, which change much less often than
// snapshots do.
type rankCache struct{ table atomic.Pointer[rankTable] }

// of returns the ranks of a service.
func (c *rankCache) of(s *bramleytack.Snapshot, service string) *serviceRanks {
	t := c.table.Load()
	if t == nil || t.routes != s.Routes {
		t = newRankTable(s)
		c.table.Store(t)
	}
	if ranks := t.byService[service]; ranks != nil {
		return ranks
	}
	return &serviceRanks{}
}

// rank returns the urgency of the request: that of its workspace goes before its route's.
func (req *activeRequest) rank() int {
	if w := req.snapshot.Workspaces[req.workspace]; w != nil && w.Urgency != nil {
		return *w.Urgency
	}
	return req.route.Urgency
}

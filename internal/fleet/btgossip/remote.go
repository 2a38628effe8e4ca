package btgossip

import (
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleytack"
)

// remoteTableValidity is how long a table of another failure domain is used. Several in
// a row may be lost.
const remoteTableValidity = 2 * time.Second

// remoteTables holds the newest load table of each other failure domain. It is safe for
// concurrent use.
type remoteTables struct {
	mu       sync.Mutex
	byDomain map[bramleytack.FailureDomainID]remoteTable
}

type remoteTable struct {
	table *LoadTable
	at    time.Time
}

func (r *remoteTables) set(d bramleytack.FailureDomainID, t *LoadTable, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byDomain == nil {
		r.byDomain = map[bramleytack.FailureDomainID]remoteTable{}
	}
	r.byDomain[d] = remoteTable{table: t, at: now}
}

// fresh reports whether the table of a failure domain may still be used.
func (r *remoteTables) fresh(d bramleytack.FailureDomainID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.byDomain[d]
	return ok && now.Sub(t.at) < remoteTableValidity
}

// age returns the age of the table of a failure domain, zero without one.
func (r *remoteTables) age(d bramleytack.FailureDomainID, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.byDomain[d]; ok {
		return now.Sub(t.at)
	}
	return 0
}

// pack returns the fresh tables in groups that fit into one datagram each.
func (r *remoteTables) pack(now time.Time) [][]*LoadTable {
	r.mu.Lock()
	defer r.mu.Unlock()
	var groups [][]*LoadTable
	var group []*LoadTable
	size := 0
	for _, d := range slices.Sorted(maps.Keys(r.byDomain)) {
		t := r.byDomain[d]
		if now.Sub(t.at) >= remoteTableValidity {
			continue
		}
		s := proto.Size(t.table)
		if size += s; size > tableBytes && len(group) > 0 {
			groups, group, size = append(groups, group), nil, s
		}
		group = append(group, t.table)
	}
	if len(group) > 0 {
		groups = append(groups, group)
	}
	return groups
}

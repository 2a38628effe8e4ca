package btadmission

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"bramleytack"
	"bramleytack/internal/route/btreturn"
)

const (
	// maxTotalWaiting, maxTotalTenants and maxTotalTold bound the demand of many daemons, and
	// with it its message.
	maxTotalWaiting = 16
	maxTotalTenants = 48
	maxTotalTold    = 64
	// maxRelayedTold bounds the callers that a hub has not passed on yet.
	maxRelayedTold = 4096
)

// Relay adds up the demand of many daemons at a hub, so that their messages do not grow with the
// square of the fleet. Each daemon gets the demand of all others. The zero value is ready to
// use. It is safe for concurrent use.
type Relay struct {
	mu      sync.Mutex
	reports map[bramleytack.HostID]peerDemand
	domains map[bramleytack.FailureDomainID]sources
	// told are the callers of this failure domain that other domains do not know yet, passed
	// those of any domain that this one does not know yet.
	told   []btreturn.Told
	passed []btreturn.Told
}

// SetReport replaces the demand of a daemon of the hub's failure domain.
func (r *Relay) SetReport(h bramleytack.HostID, d Demand, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reports == nil {
		r.reports = map[bramleytack.HostID]peerDemand{}
	}
	r.told = appendTold(r.told, d.Told)
	r.passed = appendTold(r.passed, d.Told)
	d.Told = nil
	r.reports[h] = peerDemand{at: now, demand: d}
}

// SetDomain replaces the demand of another failure domain as one of its hubs tells it.
func (r *Relay) SetDomain(id bramleytack.FailureDomainID, hub bramleytack.HostID, d Demand, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.domains == nil {
		r.domains = map[bramleytack.FailureDomainID]sources{}
	}
	if r.domains[id] == nil {
		r.domains[id] = sources{}
	}
	r.passed = appendTold(r.passed, d.Told)
	d.Told = nil
	r.domains[id][hub] = peerDemand{at: now, demand: d}
}

// sources are what several hubs say of the same demand.
type sources map[bramleytack.HostID]peerDemand

// fullest returns what the hub says that knows the demand of most daemons. A new hub does not
// have all reports yet.
func (s sources) fullest(now time.Time) (best Demand, ok bool) {
	maps.DeleteFunc(s, func(_ bramleytack.HostID, p peerDemand) bool { return !p.fresh(now) })
	for _, p := range s {
		if !ok || p.demand.Daemons > best.Daemons {
			best, ok = p.demand, true
		}
	}
	return best, ok
}

func appendTold(to, more []btreturn.Told) []btreturn.Told {
	return append(to, more[:min(len(more), max(maxRelayedTold-len(to), 0))]...)
}

// Total returns the demand of the hub's failure domain for the hubs of others, and reports
// whether there is any.
func (r *Relay) Total(now time.Time) (Demand, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.reports, func(_ bramleytack.HostID, p peerDemand) bool { return !p.fresh(now) })
	sum := newTotal()
	for _, p := range r.reports {
		sum.add(p.demand, 1)
	}
	d := sum.demand()
	d.Told, r.told = takeTold(r.told)
	return d, len(r.reports) > 0 || len(d.Told) > 0
}

// Others returns for each daemon of a list the demand of all others. Without any demand it
// returns none.
func (r *Relay) Others(hosts []bramleytack.HostID, now time.Time) map[bramleytack.HostID]Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.reports, func(_ bramleytack.HostID, p peerDemand) bool { return !p.fresh(now) })
	var told []btreturn.Told
	told, r.passed = takeTold(r.passed)
	known := len(r.reports) + len(told)
	sum := newTotal()
	for _, p := range r.reports {
		sum.add(p.demand, 1)
	}
	for _, hubs := range r.domains {
		if d, ok := hubs.fullest(now); ok {
			known++
			sum.add(d, 1)
		}
	}
	if known == 0 {
		return nil
	}
	out := make(map[bramleytack.HostID]Demand, len(hosts))
	for _, h := range hosts {
		own, reported := r.reports[h]
		if reported {
			sum.add(own.demand, -1)
		}
		d := sum.demand()
		d.Told = told
		out[h] = d
		if reported {
			sum.add(own.demand, 1)
		}
	}
	return out
}

func takeTold(list []btreturn.Told) (taken, left []btreturn.Told) {
	n := min(len(list), maxTotalTold)
	return list[:n:n], list[n:]
}

func (p peerDemand) fresh(now time.Time) bool { return now.Sub(p.at) < demandValidity }

// total is the demand of several daemons.
type total struct {
	waiting map[class]Waiting
	tenants map[uint32]int
	daemons int
}

func newTotal() *total {
	return &total{waiting: map[class]Waiting{}, tenants: map[uint32]int{}}
}

// add adds the demand of a daemon, or of several, or takes it off.
func (t *total) add(d Demand, sign int) {
	for _, w := range d.Waiting {
		k := class{w.Service, w.Rank}
		sum := t.waiting[k]
		t.waiting[k] = Waiting{w.Service, w.Rank, sum.Memory + sign*w.Memory, sum.Prompt + sign*w.Prompt}
	}
	for _, u := range d.Tenants {
		t.tenants[u.Tenant] += sign * u.Memory
	}
	t.daemons += sign * d.waitingDaemons()
}

// demand returns the most urgent of what waits and the largest tenants.
func (t *total) demand() Demand {
	d := Demand{Daemons: t.daemons}
	for _, w := range t.waiting {
		if w.Memory > 0 {
			d.Waiting = append(d.Waiting, w)
		}
	}
	slices.SortFunc(d.Waiting, func(a, b Waiting) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Service, b.Service))
	})
	d.Waiting = d.Waiting[:min(len(d.Waiting), maxTotalWaiting)]
	d.Tenants = largestTenants(t.tenants, maxTotalTenants)
	return d
}

// largestTenants returns the tenants with the largest use.
func largestTenants(uses map[uint32]int, most int) []TenantUse {
	var list []TenantUse
	for t, m := range uses {
		if m > 0 {
			list = append(list, TenantUse{t, m})
		}
	}
	slices.SortFunc(list, func(a, b TenantUse) int {
		return cmp.Or(cmp.Compare(b.Memory, a.Memory), cmp.Compare(a.Tenant, b.Tenant))
	})
	return list[:min(len(list), most)]
}

// waitingDaemons returns the number of daemons at which requests wait.
func (d *Demand) waitingDaemons() int {
	if d.Daemons == 0 && len(d.Waiting) > 0 {
		return 1
	}
	return d.Daemons
}

package btworker

import "time"

// Visit is the stay of a request at an upstream. Began is zero unless the request began to
// run, Ended is zero while it stays.
type Visit struct {
	Upstream string
	Arrived  time.Time
	Began    time.Time
	Ended    time.Time
}

// Visits returns the stays of a request at all upstreams, in the order of their arrival. It
// returns none unless KeepVisits is set.
func (p *Pool) Visits(id string) []Visit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Visit
	for _, v := range p.visits[id] {
		all = append(all, *v)
	}
	return all
}

// arrived starts a visit.
func (p *Pool) arrived(id, upstream string) *Visit {
	v := &Visit{Upstream: upstream, Arrived: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.KeepVisits {
		if p.visits == nil {
			p.visits = map[string][]*Visit{}
		}
		p.visits[id] = append(p.visits[id], v)
	}
	return v
}

// mark sets a time of a visit to the present.
func (p *Pool) mark(at *time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*at = time.Now()
}

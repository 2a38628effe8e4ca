package btaccount

import "bramleytack"

// ServiceLoad is the load of all daemons at the engines of a service that accept work.
type ServiceLoad struct {
	Engines int
	// Memory includes copies. Capacity is the memory of all engines.
	Memory   int
	Capacity int
	Unread   int
}

// ServiceLoad returns the load of a service's engines. It is zero for a plain service.
func (t *Table) ServiceLoad(s *bramleytack.Snapshot, service string) ServiceLoad {
	profile := s.Engine(service)
	if profile == nil {
		return ServiceLoad{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var sum ServiceLoad
	for _, u := range s.ByService[service] {
		if !s.Accepts(u.ID) {
			continue
		}
		if a := t.account(u.ID); a.avoided(now) || a.paused(u, now) {
			continue
		}
		l := t.load(u.ID, now)
		sum.Engines++
		sum.Memory += l.Memory + l.Copies
		sum.Unread += l.Unread
		sum.Capacity += profile.MemoryTokens
	}
	return sum
}

// WithUnread returns the candidates that have at most limit prompt tokens still to read.
func (t *Table) WithUnread(candidates []*bramleytack.Upstream, limit int) []*bramleytack.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	within := make([]*bramleytack.Upstream, 0, len(candidates))
	for _, u := range candidates {
		if t.load(u.ID, now).Unread <= limit {
			within = append(within, u)
		}
	}
	return within
}

// Unread returns the prompt tokens that an engine has still to read.
func (t *Table) Unread(id bramleytack.UpstreamID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load(id, t.Timer.Now()).Unread
}

// Load returns the load of all daemons at an upstream.
func (t *Table) Load(id bramleytack.UpstreamID) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load(id, t.Timer.Now())
}

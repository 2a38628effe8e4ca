package btaccount

import "bramleytack"

// ServiceLoad is the load of all daemons at the engines of a service that accept work.
type ServiceLoad struct {
	Engines int
	// Memory includes copies. Capacity is the memory of all engines.
	Memory   int
	Capacity int
	Unread   int
	// Readers is the number of engines of the usual pace that read prompts as fast as all of
	// these do.
	Readers float64
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
		sum.Readers += 1 / t.readingPace(u)
	}
	return sum
}

// readingPace is the factor from the time that an engine of the usual pace takes to read a
// prompt to that of this one.
func (t *Table) readingPace(u *bramleytack.Upstream) float64 {
	if p := t.Paces.Lasting(u); p > 0 {
		return p
	}
	return 1
}

// WithUnread returns the candidates that read what they have still to read, and a prompt after it,
// as soon as an engine of the usual pace reads limit tokens and the prompt.
func (t *Table) WithUnread(candidates []*bramleytack.Upstream, limit, prompt int) []*bramleytack.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	within := make([]*bramleytack.Upstream, 0, len(candidates))
	for _, u := range candidates {
		unread := t.load(u.ID, now).Unread
		if unread == 0 || float64(unread+prompt)*t.readingPace(u) <= float64(limit)+float64(prompt) {
			within = append(within, u)
		}
	}
	return within
}

// UnreadBefore returns the prompt tokens that an engine of the usual pace would read before a
// prompt, if both take as long as at this engine.
func (t *Table) UnreadBefore(u *bramleytack.Upstream, prompt int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	unread := t.load(u.ID, t.Timer.Now()).Unread
	return int(float64(unread+prompt)*t.readingPace(u)) - prompt
}

// Load returns the load of all daemons at an upstream.
func (t *Table) Load(id bramleytack.UpstreamID) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load(id, t.Timer.Now())
}

package btaccount

import (
	"math/rand/v2"
	"time"

	"bramleytack"
)

// coldSlack is the time by which the reported end of a cold period varies.
const coldSlack = 500 * time.Millisecond

// coldRate returns the number of requests a second that this daemon may send to a cold upstream,
// zero without a limit.
func (t *Table) coldRate(s *bramleytack.Snapshot, u *bramleytack.Upstream, now time.Time) float64 {
	r := s.Services[u.Service]
	if r == nil || r.ColdPerSecond <= 0 || !now.Before(u.ColdUntil) {
		return 0
	}
	n := 1
	if t.Daemons != nil {
		n = max(t.Daemons(), 1)
	}
	return r.ColdPerSecond / float64(n)
}

// coldBucket returns the account of a cold upstream with its bucket. Calls wait for a cold
// upstream of a plain service, so that all daemons would send one as soon as they learn of it: their
// first tokens come at different times. The caller holds the lock.
func (t *Table) coldBucket(s *bramleytack.Snapshot, u *bramleytack.Upstream, now time.Time) *account {
	a := t.account(u.ID)
	if u.ColdUntil.Sub(a.coldUntil) > coldSlack && s.Engine(u.Service) == nil {
		a.cold = bucket{spent: rand.Float64() * coldBurst, at: now}
	}
	a.coldUntil = u.ColdUntil
	return a
}

// coldAllows reports whether the cold limit of an upstream allows a request now. If
// spend is set, it also counts the request.
func (t *Table) coldAllows(s *bramleytack.Snapshot, u *bramleytack.Upstream, now time.Time, spend bool) bool {
	rate := t.coldRate(s, u, now)
	if rate == 0 {
		return true
	}
	a := t.coldBucket(s, u, now)
	b := a.cold
	ok := b.take(now, rate, coldBurst)
	if ok && spend {
		a.cold = b
	}
	return ok
}

// ColdTurn returns the time until the cold limits of a plain service's upstreams allow this daemon a
// request, and the time between two requests after that. Both are zero unless all upstreams that may
// get work are cold.
func (t *Table) ColdTurn(s *bramleytack.Snapshot, service string) (first, each time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, sum := t.Timer.Now(), 0.0
	for _, u := range s.ByService[service] {
		a := t.account(u.ID)
		if !s.Accepts(u.ID) || a.avoided(now) || a.paused(u, now) || t.held(u, now) || !t.admits(u) {
			continue
		}
		rate := t.coldRate(s, u, now)
		if rate == 0 {
			return 0, 0
		}
		// A turn that comes after the end of the cold period need not be waited for.
		left := min(t.coldBucket(s, u, now).cold.left(now, rate, coldBurst), u.ColdUntil.Sub(now))
		if sum == 0 || left < first {
			first = left
		}
		sum += rate
	}
	if sum == 0 {
		return 0, 0
	}
	return first, time.Duration(float64(time.Second) / sum)
}

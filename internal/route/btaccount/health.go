package btaccount

import (
	"cmp"
	"math/rand/v2"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

// Eligible returns the upstreams of a service that may get new work, have not asked for a
// pause, are not held and are not in tried. It leaves out those that this daemon avoids, unless no
// others remain, and those that at least ejectQuorum other daemons have ejected, unless they are
// more than half of the service or no others remain. Of a service with more than
// maxCandidates upstreams it considers those of this failure domain and a sample of the
// others, as long as one of them may get work.
func (t *Table) Eligible(s *bramleytack.Snapshot, service string, tried map[bramleytack.UpstreamID]bool) []*bramleytack.Upstream {
	return t.EligibleOf(s, service, tried, nil)
}

// EligibleOf is Eligible for the upstreams that are allowed. A nil allowed allows all. The table is
// locked during its calls.
func (t *Table) EligibleOf(s *bramleytack.Snapshot, service string, tried map[bramleytack.UpstreamID]bool, allowed func(*bramleytack.Upstream) bool) []*bramleytack.Upstream {
	all := s.ByService[service]
	if len(all) > maxCandidates && t.RemoteLate != nil && t.RemoteLate() {
		if list := t.eligible(s, service, t.sampleCandidates(all), tried, allowed); len(list) > 0 {
			return list
		}
	}
	return t.eligible(s, service, all, tried, allowed)
}

// sampleCandidates returns the upstreams of this daemon's failure domain and, starting at
// a random one, remoteSample of the others.
func (t *Table) sampleCandidates(all []*bramleytack.Upstream) []*bramleytack.Upstream {
	var list []*bramleytack.Upstream
	remote := 0
	start := rand.IntN(len(all))
	for i := range all {
		u := all[(start+i)%len(all)]
		if u.FailureDomain != t.Domain {
			if remote++; remote > remoteSample {
				continue
			}
		}
		list = append(list, u)
	}
	return list
}

// eligible is Eligible for some of the service's upstreams.
func (t *Table) eligible(s *bramleytack.Snapshot, service string, from []*bramleytack.Upstream, tried map[bramleytack.UpstreamID]bool, allowed func(*bramleytack.Upstream) bool) []*bramleytack.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var healthy, peerEjected, avoided []*bramleytack.Upstream
	accepted := 0
	for _, u := range from {
		if !s.Accepts(u.ID) || allowed != nil && !allowed(u) {
			continue
		}
		accepted++
		a := t.account(u.ID)
		a.service = service
		switch {
		case tried[u.ID], a.paused(u, now), t.held(u, now):
		case a.avoided(now):
			avoided = append(avoided, u)
		case t.peerTotals[u.ID].Ejections >= ejectQuorum:
			peerEjected = append(peerEjected, u)
		default:
			healthy = append(healthy, u)
		}
	}
	if 2*len(peerEjected) > accepted || len(healthy) == 0 {
		healthy = append(healthy, peerEjected...)
	}
	if len(healthy) == 0 {
		return avoided
	}
	return healthy
}

// Pause stops this daemon's sends to an upstream that asked for a pause, for at most
// MaxPause and a little more, and returns its end. A pause never shortens an earlier one of the same instance.
// Other daemons learn of it as of an ejection.
func (t *Table) Pause(u *bramleytack.Upstream, d time.Duration) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	d = min(d, cmp.Or(t.MaxPause, defaultMaxPause))
	d += time.Duration(rand.Float64() * min(pauseSpread*float64(d), float64(maxPauseSpread)))
	a := t.account(u.ID)
	until := t.Timer.Now().Add(d)
	if a.pausedStart.Equal(u.Started) && !until.After(a.pausedUntil) {
		return a.pausedUntil
	}
	a.pausedUntil, a.pausedStart = until, u.Started
	if t.Changed != nil {
		t.Changed()
	}
	t.Log.Event(btevent.UpstreamPaused).Str("upstream", string(u.ID)).Str("service", u.Service).Dur("pause", d).Send()
	return until
}

// Paused reports whether an upstream has asked this daemon for a pause.
func (t *Table) Paused(u *bramleytack.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.account(u.ID).paused(u, t.Timer.Now())
}

// held reports whether this daemon gets no permission to send to an upstream now.
func (t *Table) held(u *bramleytack.Upstream, now time.Time) bool {
	return t.HeldUntil != nil && now.Before(t.HeldUntil(u))
}

// NextHeld returns the upstream of a service for which this daemon may ask for permission
// first, of those that accept work and are held, and the time until then. It leaves out
// those in tried. It returns nil if there is none.
func (t *Table) NextHeld(s *bramleytack.Snapshot, service string, tried map[bramleytack.UpstreamID]bool) (next *bramleytack.Upstream, left time.Duration) {
	if t.HeldUntil == nil {
		return nil, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	for _, u := range s.ByService[service] {
		if tried[u.ID] || !s.Accepts(u.ID) || t.account(u.ID).paused(u, now) || t.account(u.ID).avoided(now) || !t.admits(u) {
			continue
		}
		if d := t.HeldUntil(u).Sub(now); d > 0 && (next == nil || d < left) {
			next, left = u, d
		}
	}
	return next, left
}

// PauseLeft returns the time until the first upstream of a service ends its pause, zero if
// any of those that accept work is not paused, or there is none.
func (t *Table) PauseLeft(s *bramleytack.Snapshot, service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var left time.Duration
	for _, u := range s.ByService[service] {
		if !s.Accepts(u.ID) {
			continue
		}
		a := t.account(u.ID)
		if !a.paused(u, now) {
			return 0
		}
		if d := a.pausedUntil.Sub(now); left == 0 || d < left {
			left = d
		}
	}
	return left
}

// RecordFailure counts a failure of an upstream whose attempt ended as Abandoned
// because the failure could not yet be attributed to the upstream.
func (t *Table) RecordFailure(id bramleytack.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordOutcome(id, t.account(id), Failed)
}

// recordOutcome updates the upstream's health with the outcome of an attempt. The
// caller holds the lock.
func (t *Table) recordOutcome(id bramleytack.UpstreamID, a *account, o Outcome) {
	now := t.Timer.Now()
	if o == Served || o == Rejected {
		a.refusals = 0
	}
	if o == Rejected {
		a.rejectedAt = now
	}
	failed := 0.0
	switch o {
	case Abandoned, Rejected:
		return
	case Misdirected:
		a.avoidUntil = now.Add(misdirectedPause)
		return
	case Unreachable:
		if now.Before(a.avoidUntil) {
			// Concurrent attempts that found no connection count once.
			return
		}
		// This does not count as a failure: an ejection can last longer than
		// maxUnreachablePause, and served requests do not end it early.
		a.avoidUntil = now.Add(min(firstUnreachablePause<<min(a.refusals, maxDoublings), maxUnreachablePause))
		a.refusals++
		return
	case Failed:
		failed = 1
	}
	a.samples++
	a.failureAverage += failureWeight * (failed - a.failureAverage)
	if failed == 0 {
		if a.failureAverage < ejectThreshold/2 {
			a.ejections = 0
		}
		return
	}
	if a.failureAverage <= ejectThreshold {
		return
	}
	if mean := t.meanFailures(id, a.service); a.failureAverage > mean+ejectMargin {
		d := min(firstEjection<<min(a.ejections, maxDoublings), maxEjection)
		a.ejections++
		a.ejectedUntil = now.Add(d)
		t.Log.Event(btevent.UpstreamEjected).Str("upstream", string(id)).Str("service", a.service).Stringer("outcome", o).
			Float64("failures", a.failureAverage).Float64("typical", mean).Dur("pause", d).Send()
		a.failureAverage = failuresAfterEjection
		if t.Changed != nil {
			t.Changed()
		}
	}
}

// meanFailures returns the mean failure average of a service's upstreams other
// than except, zero without any.
func (t *Table) meanFailures(except bramleytack.UpstreamID, service string) float64 {
	sum, n := 0.0, 0
	for id, a := range t.accounts {
		if id != except && a.service == service && a.samples > 0 {
			sum += a.failureAverage
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

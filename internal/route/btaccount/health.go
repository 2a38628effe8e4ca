package btaccount

import (
	"bramleytack"
	"bramleytack/btevent"
)

// Eligible returns the upstreams of a service that may get new work, without
// those in tried. Ejected ones are left out as long as others remain, those that
// only other daemons eject as long as half of the service remains.
func (t *Table) Eligible(s *bramleytack.Snapshot, service string, tried map[bramleytack.UpstreamID]bool) []*bramleytack.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var good, doubted, ejected []*bramleytack.Upstream
	accepted := 0
	for _, u := range s.ByService[service] {
		if !s.Accepts(u.ID) {
			continue
		}
		accepted++
		a := t.account(u.ID)
		a.service = service
		switch {
		case tried[u.ID]:
		case a.out(now):
			ejected = append(ejected, u)
		case t.others[u.ID].Ejections >= ejectQuorum:
			doubted = append(doubted, u)
		default:
			good = append(good, u)
		}
	}
	if 2*len(doubted) > accepted || len(good) == 0 {
		good = append(good, doubted...)
	}
	if len(good) == 0 {
		return ejected
	}
	return good
}

// RecordFailure counts a failure of an upstream whose attempt ended as abandoned, before it
// was known who was at fault.
func (t *Table) RecordFailure(id bramleytack.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(id, t.account(id), Failed)
}

// judge takes the outcome of an attempt into the upstream's health.
func (t *Table) judge(id bramleytack.UpstreamID, a *account, o Outcome) {
	now := t.Timer.Now()
	if o == Served || o == Rejected {
		a.refusals = 0
	}
	failed := 0.0
	switch o {
	case Abandoned, Rejected:
		return
	case Misdirected:
		a.avoidUntil = now.Add(misdirectedFor)
		return
	case Unreachable:
		if now.Before(a.avoidUntil) {
			// Requests that were under way together count once.
			return
		}
		// No ejection follows: it would outlast unreachableMost, and nothing that
		// the upstream serves meanwhile would end it.
		a.avoidUntil = now.Add(min(unreachableFor<<min(a.refusals, maxDoublings), unreachableMost))
		a.refusals++
		return
	case Failed:
		failed = 1
	}
	a.samples++
	a.failures += failureWeight * (failed - a.failures)
	if failed == 0 {
		if a.failures < ejectAbove/2 {
			a.ejections = 0
		}
		return
	}
	if a.failures <= ejectAbove {
		return
	}
	if typical := t.typicalFailures(id, a.service); a.failures > typical+ejectMargin {
		d := min(ejectFor<<min(a.ejections, maxDoublings), ejectMost)
		a.ejections++
		a.ejectedUntil = now.Add(d)
		t.Log.Event(btevent.UpstreamEjected).Str("upstream", string(id)).Str("service", a.service).Stringer("outcome", o).
			Float64("failures", a.failures).Float64("typical", typical).Dur("pause", d).Send()
		a.failures = afterEjection
		if t.Changed != nil {
			t.Changed()
		}
	}
}

// typicalFailures returns the mean failure average of the service's other
// upstreams.
func (t *Table) typicalFailures(except bramleytack.UpstreamID, service string) float64 {
	sum, n := 0.0, 0
	for id, a := range t.accounts {
		if id != except && a.service == service && a.samples > 0 {
			sum += a.failures
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

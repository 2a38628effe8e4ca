package btsuspect

import (
	"slices"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

// rejecting returns the quarantined key for which a request is rejected, if there is one. With
// mayTry the request may become a trial. The caller holds the lock.
func (t *Table) rejecting(request bramleytack.RequestID, keys []Key, mayTry bool) (Key, bool) {
	now := t.Timer.Now()
	var lead Key
	for _, key := range keys {
		s := t.suspects[key]
		if s == nil || !t.quarantined(key, s, now) {
			continue
		}
		t.logQuarantined(key, s, now)
		if !t.accompanied(s, keys, now) || t.explained(key, s, now) {
			continue
		}
		if lead == 0 {
			lead = key
		}
		if !s.tries(request, now) && (!mayTry || !t.try(key, lead, s, request, now)) {
			return key, true
		}
	}
	return 0, false
}

// logQuarantined logs that a suspect is quarantined, once.
func (t *Table) logQuarantined(key Key, s *suspect, now time.Time) {
	if s.logged {
		return
	}
	s.logged = true
	t.Log.Event(btevent.KeyQuarantined).Stringer("key", key).Int("crashes", moments(s.standing(now))).Dur("age", now.Sub(s.newest)).Send()
}

// quarantined reports whether enough crashes count against a suspect now: requests with the key get no
// further than these, others do, and most crashes of the time in which they came are among them. The
// latter shows only as long as requests with the key run.
func (t *Table) quarantined(key Key, s *suspect, now time.Time) bool {
	if len(s.crashes) < quarantineCrashes {
		s.held = false
		return false
	}
	if s.whole() {
		s.held = moments(s.settled(now)) >= quarantineCrashes
		return s.held
	}
	t.compare(key, s)
	n := moments(s.standing(now))
	if s.furthest() == 0 {
		s.held = n >= quarantineCrashes
		return s.held
	}
	began := slices.DeleteFunc(s.settled(now), func(k knownCrash) bool { return k.events == 0 })
	alike := n >= quarantineCrashes && 3*n > 2*moments(began)
	s.held = alike && (s.held || 2*(n-quarantineCrashes) >= t.recent.without(&s.evidence, now))
	return s.held
}

// compare learns how far requests without a key have got since its first crash.
func (t *Table) compare(key Key, s *suspect) {
	if len(s.crashes) > 0 {
		s.apart = max(s.apart, t.control.without(key, s.crashes[0].at))
	}
}

// accompanied reports whether a request with some keys has all companions of a suspect
// that are quarantined too. As long as keys occur together only, any one of them may be
// the fatal one; a request with some of them runs, and clears these if it is sound.
func (t *Table) accompanied(s *suspect, keys []Key, now time.Time) bool {
	for _, c := range s.companions {
		other := t.suspects[c]
		if other != nil && t.quarantined(c, other, now) && !slices.Contains(keys, c) {
			return false
		}
	}
	return true
}

// explained reports whether all crashes of a suspect are also those of a narrower one: a
// quarantined key that only occurs together with it. Requests that were beside the fatal
// ones may then have given it its crashes.
func (t *Table) explained(key Key, s *suspect, now time.Time) bool {
	for other, n := range t.suspects {
		narrower := slices.Contains(n.companions, key) && !slices.Contains(s.companions, other)
		if narrower && t.quarantined(other, n, now) && n.hasAll(s, now) {
			return true
		}
	}
	return false
}

// tries reports whether a request is the trial of the key, and no crash has ended it.
func (s *suspect) tries(request bramleytack.RequestID, now time.Time) bool {
	return s.trial == request && now.Sub(s.trialAt) < trialTimeout && s.newest.Before(s.trialAt)
}

// try reports whether a request may run a quarantined key as its trial. A request with
// several such keys tries all of them, at the daemon that is elected for the first one,
// lead.
func (t *Table) try(key, lead Key, s *suspect, request bramleytack.RequestID, now time.Time) bool {
	due := s.newest.Add(trialAfter << (trialGrowth * min(s.trials, maxTrials)))
	if now.Before(due) || now.Sub(s.trialAt) < trialTimeout || t.Elected != nil && !t.Elected(lead) {
		return false
	}
	s.trial, s.trialAt = request, now
	t.Log.Event(btevent.KeyTried).Stringer("key", key).Str("request", string(request)).Int("crashes", moments(s.standing(now))).Send()
	return true
}

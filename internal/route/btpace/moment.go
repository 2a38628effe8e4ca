package btpace

import (
	"time"

	"bramleytack"
)

const (
	// momentAge is how long a momentary pace is used. Disturbances that matter last about as long as
	// a prompt is read, some hundred milliseconds.
	momentAge = 500 * time.Millisecond
	// disturbedFactor is the factor from the lasting pace from which on an upstream counts as
	// disturbed. Single steps differ by less.
	disturbedFactor = 1.6
	// momentNewsPeriod is the least time between two notices of a daemon about the momentary
	// pace of one instance, and momentNewsPerSecond bounds those about all together.
	momentNewsPeriod    = 100 * time.Millisecond
	momentNewsPerSecond = 8
	// wantedPeriod is how long momentary paces are told after they were last used.
	wantedPeriod = 2 * time.Second
)

// Want makes this daemon tell others of disturbances, because placement uses them.
func (t *Table) Want() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wantedUntil = t.Timer.Now().Add(wantedPeriod)
}

// setMoment records a momentary pace. It reports whether others are to be told: a disturbance
// has begun or ended that they don't know of. The caller holds the lock.
func (t *Table) setMoment(e *estimate, pace float64, now time.Time) bool {
	e.Moment, e.momentAt = pace, now
	disturbed := e.disturbed()
	known := e.toldDisturbed && now.Sub(e.toldAt) < momentAge
	if disturbed == known || now.Sub(e.toldAt) < momentNewsPeriod || now.After(t.wantedUntil) || !t.mayTell(now) {
		return false
	}
	e.toldDisturbed, e.toldAt = disturbed, now
	return true
}

// mayTell spends one of the notices that a daemon may send. The caller holds the lock.
func (t *Table) mayTell(now time.Time) bool {
	if now.Sub(t.toldSince) >= time.Second {
		t.toldSince, t.notices = now, 0
	}
	t.notices++
	return t.notices <= momentNewsPerSecond
}

// record returns what other daemons are told of the instance. An old momentary pace is left out.
func (e *estimate) record(now time.Time) Record {
	r := e.Record
	if r.MomentAge = now.Sub(e.momentAt); r.MomentAge >= momentAge {
		r.Moment, r.MomentAge = 0, 0
	}
	return r
}

// disturbed reports whether the momentary pace is that of a disturbance.
func (e *estimate) disturbed() bool { return e.Moment > disturbedFactor*e.Lasting }

// mergeMoment takes a momentary pace that another daemon has told, if it is newer. It reports
// whether that is news.
func (e *estimate) mergeMoment(r Record, now time.Time) bool {
	at := now.Add(-max(r.MomentAge, 0))
	if !(r.Moment > 0) || !at.After(e.momentAt) || r.MomentAge >= momentAge {
		return false
	}
	e.Moment, e.momentAt = min(max(r.Moment, minPace), maxPace), at
	e.toldDisturbed, e.toldAt = e.disturbed(), now
	return true
}

// learnMoment takes the momentary pace from the time between two events, and returns the record if
// others are to be told. A stream beside a prompt shows only disturbances: the prompt may have
// ended in between.
func (t *Table) learnMoment(u *bramleytack.Upstream, pause time.Duration, beside bool) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.current(u)
	usual := t.usual(u.Service, beside)
	if e == nil || usual == 0 {
		return Record{}, false
	}
	pace := min(max(float64(pause)/float64(usual), minPace), maxPace)
	if beside && pace <= disturbedFactor*e.Lasting {
		return Record{}, false
	}
	now := t.Timer.Now()
	if !t.setMoment(e, pace, now) {
		return Record{}, false
	}
	return e.record(now), true
}

// Now returns the pace of an upstream at this moment: the momentary one while it is fresh, and the
// lasting one after that. fresh tells which.
func (t *Table) Now(u *bramleytack.Upstream) (pace float64, fresh bool) {
	if t == nil {
		return 1, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.current(u)
	if e == nil {
		return 1, false
	}
	if e.Moment > 0 && t.Timer.Now().Sub(e.momentAt) < momentAge {
		return max(e.Moment, e.Lasting), true
	}
	return e.Lasting, false
}

// Disturbed reports whether an upstream is known to be slowed down by others at this moment.
func (t *Table) Disturbed(u *bramleytack.Upstream) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.current(u)
	return e != nil && t.Timer.Now().Sub(e.momentAt) < momentAge && e.disturbed()
}

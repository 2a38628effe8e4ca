package btquarantine

import (
	"container/list"
	"slices"
	"time"

	"bramleytack"
)

// maxCrashesPerSuspect bounds the crashes that are stored for one suspect. The
// oldest are dropped.
const maxCrashesPerSuspect = 8

// suspect is the state of one fingerprint.
type suspect struct {
	fingerprint bramleytack.Fingerprint
	crashes     []upstreamInstance
	// cleared is set once the request completed or was quarantined. The suspect
	// stays in the table, so that a repeated report of an old crash does not
	// raise the suspicion again.
	cleared bool
	// grantedTo is the request that has the suspect's single run, if any.
	grantedTo bramleytack.RequestID
	expires   time.Time
}

// suspects is a bounded table.
type suspects struct {
	byFingerprint map[bramleytack.Fingerprint]*list.Element
	// byExpiry has the suspect that expires next in front.
	byExpiry list.List
}

// get returns the suspect of a fingerprint, or nil if there is none or it has
// expired.
func (t *suspects) get(fp bramleytack.Fingerprint, now time.Time) *suspect {
	t.expire(now)
	e, ok := t.byFingerprint[fp]
	if !ok {
		return nil
	}
	return e.Value.(*suspect)
}

// refresh extends the expiry of a suspect and creates it if there is none. If
// the table is full, it removes the suspect that would expire next.
func (t *suspects) refresh(fp bramleytack.Fingerprint, now time.Time, expiry time.Duration, capacity int) *suspect {
	t.expire(now)
	e, ok := t.byFingerprint[fp]
	if !ok {
		if t.byFingerprint == nil {
			t.byFingerprint = map[bramleytack.Fingerprint]*list.Element{}
		}
		if t.byExpiry.Len() >= capacity {
			t.remove(t.byExpiry.Front())
		}
		e = t.byExpiry.PushBack(&suspect{fingerprint: fp})
		t.byFingerprint[fp] = e
	}
	t.byExpiry.MoveToBack(e)
	s := e.Value.(*suspect)
	s.expires = now.Add(expiry)
	return s
}

func (t *suspects) expire(now time.Time) {
	for e := t.byExpiry.Front(); e != nil && !now.Before(e.Value.(*suspect).expires); e = t.byExpiry.Front() {
		t.remove(e)
	}
}

func (t *suspects) remove(e *list.Element) {
	delete(t.byFingerprint, e.Value.(*suspect).fingerprint)
	t.byExpiry.Remove(e)
}

// hasCrash reports whether a crash was added before.
func (s *suspect) hasCrash(c upstreamInstance) bool { return slices.Contains(s.crashes, c) }

// addCrash adds a crash. A new crash raises the suspicion again.
func (s *suspect) addCrash(c upstreamInstance) {
	if s.hasCrash(c) {
		return
	}
	if len(s.crashes) == maxCrashesPerSuspect {
		s.crashes = s.crashes[1:]
	}
	s.crashes = append(s.crashes, c)
	if s.cleared {
		s.cleared, s.grantedTo = false, ""
	}
}

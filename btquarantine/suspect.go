package btquarantine

import (
	"container/list"
	"slices"
	"time"

	"bramleytack"
)

// maxCrashes bounds the crashes that are kept of one suspect.
const maxCrashes = 8

// suspect is what is known of one fingerprint.
type suspect struct {
	fingerprint bramleytack.Fingerprint
	crashes     []crash
	// cleared is set once the request completed or was quarantined. The entry
	// stays, so that a repeated report of an old crash does not raise the
	// suspicion again.
	cleared bool
	// run is the request that has the suspect's single run.
	run     bramleytack.RequestID
	expires time.Time
}

// suspects is a bounded table, ordered by expiry.
type suspects struct {
	byFingerprint map[bramleytack.Fingerprint]*list.Element
	order         list.List
}

// get returns an entry that has not expired.
func (t *suspects) get(fp bramleytack.Fingerprint, now time.Time) *suspect {
	t.expire(now)
	e, ok := t.byFingerprint[fp]
	if !ok {
		return nil
	}
	return e.Value.(*suspect)
}

// touch returns an entry with a new expiry. It makes room by forgetting the
// entry that would expire first.
func (t *suspects) touch(fp bramleytack.Fingerprint, now time.Time, expiry time.Duration, capacity int) *suspect {
	t.expire(now)
	e, ok := t.byFingerprint[fp]
	if !ok {
		if t.byFingerprint == nil {
			t.byFingerprint = map[bramleytack.Fingerprint]*list.Element{}
		}
		if t.order.Len() >= capacity {
			t.remove(t.order.Front())
		}
		e = t.order.PushBack(&suspect{fingerprint: fp})
		t.byFingerprint[fp] = e
	}
	t.order.MoveToBack(e)
	s := e.Value.(*suspect)
	s.expires = now.Add(expiry)
	return s
}

func (t *suspects) expire(now time.Time) {
	for e := t.order.Front(); e != nil && !now.Before(e.Value.(*suspect).expires); e = t.order.Front() {
		t.remove(e)
	}
}

func (t *suspects) remove(e *list.Element) {
	delete(t.byFingerprint, e.Value.(*suspect).fingerprint)
	t.order.Remove(e)
}

// knows says whether a crash was counted already.
func (s *suspect) knows(c crash) bool { return slices.Contains(s.crashes, c) }

// count adds a crash. A new one raises the suspicion again.
func (s *suspect) count(c crash) {
	if s.knows(c) {
		return
	}
	if len(s.crashes) == maxCrashes {
		s.crashes = s.crashes[1:]
	}
	s.crashes = append(s.crashes, c)
	if s.cleared {
		s.cleared, s.run = false, ""
	}
}

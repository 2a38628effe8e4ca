package btsuspect

import (
	"math"
	"slices"
	"time"
)

const (
	// momentLength is the time within which crashes count as one: upstreams that end together have
	// a cause of their own.
	momentLength = 100 * time.Millisecond
	// maxCrashes bounds the crashes of one suspect, maxCleared those that are cleared. The oldest
	// are dropped.
	maxCrashes = 12
	maxCleared = 12
)

// AllEvents is the Events of a clearing of a crash wherever it came.
const AllEvents = math.MaxInt32

// CountedCrash is a crash under a request with a key.
type CountedCrash struct {
	Crash Crash
	// Events is the number of events that the request had got from the upstream, the largest if
	// several ran there.
	Events int
	// Age is the time since the crash.
	Age time.Duration
}

// Clearing says that a request with a key has got further than one that a crash ended.
type Clearing struct {
	Crash Crash
	// Events is what the request has got. It clears the crash if that is further.
	Events int
}

// evidence is what speaks against one key and for it. Sets of two daemons are merged by union.
type evidence struct {
	// crashes are those that are not cleared, oldest first.
	crashes []knownCrash
	cleared []Clearing
	// apart is that of Record.
	apart int
	// dropped are the newest crashes for which crashes had no room.
	dropped []Crash
}

// knownCrash is a CountedCrash with its time.
type knownCrash struct {
	crash  Crash
	events int
	at     time.Time
}

// counts reports whether daemons have had the time to clear the crash.
func (k knownCrash) counts(now time.Time) bool { return now.Sub(k.at) >= settleTime }

// further reports whether a request that has got some events has got further than one that a crash
// ended after others. The last events before a crash may be lost on the way.
func further(events, crashed int) bool { return events-(events+6)/8 > crashed }

// beyond returns the least number of events that is further than a crash after others.
func beyond(crashed int) int {
	events := crashed + 1
	for !further(events, crashed) {
		events++
	}
	return events
}

// find returns the place of a crash in the list, or a negative number.
func (e *evidence) find(c Crash) int {
	return slices.IndexFunc(e.crashes, func(k knownCrash) bool { return k.crash == c })
}

// had reports whether a crash came under the key, cleared or not.
func (e *evidence) had(c Crash) bool {
	return e.find(c) >= 0 || slices.Contains(e.dropped, c) || slices.ContainsFunc(e.cleared, func(l Clearing) bool { return l.Crash == c })
}

// add adds a crash, or events to it. It reports false if all of it is known.
func (e *evidence) add(c Crash, events int, at time.Time) bool {
	if slices.ContainsFunc(e.cleared, func(l Clearing) bool { return l.Crash == c && further(l.Events, events) }) {
		return false
	}
	if i := e.find(c); i >= 0 {
		return e.update(&e.crashes[i], events, at)
	}
	i, _ := slices.BinarySearchFunc(e.crashes, at, func(k knownCrash, at time.Time) int { return k.at.Compare(at) })
	e.crashes = slices.Insert(e.crashes, i, knownCrash{c, events, at})
	if len(e.crashes) > maxCrashes {
		e.dropOne()
	}
	return e.find(c) >= 0
}

// update adds events to a crash. A late record may have made it look newer than it is.
func (e *evidence) update(k *knownCrash, events int, at time.Time) bool {
	more := events > k.events
	k.events = max(k.events, events)
	if at.Before(k.at) {
		k.at = at
		slices.SortStableFunc(e.crashes, func(a, b knownCrash) int { return a.at.Compare(b.at) })
	}
	return more
}

// dropOne drops the crash that tells least: one that counts as one with an earlier one, otherwise the
// oldest.
func (e *evidence) dropOne() {
	drop, moment := 0, e.crashes[0].at
	for i, k := range e.crashes[1:] {
		if k.at.Sub(moment) < momentLength {
			drop = i + 1
			break
		}
		moment = k.at
	}
	e.dropped = append(e.dropped, e.crashes[drop].crash)
	e.dropped = e.dropped[max(0, len(e.dropped)-maxRecent):]
	e.crashes = slices.Delete(e.crashes, drop, drop+1)
}

// clear adds a clearing, and reports false if it is known.
func (e *evidence) clear(l Clearing) bool {
	i := slices.IndexFunc(e.cleared, func(o Clearing) bool { return o.Crash == l.Crash })
	switch {
	case i >= 0 && e.cleared[i].Events >= l.Events:
		return false
	case i >= 0:
		e.cleared[i].Events = l.Events
	default:
		e.cleared = append(e.cleared, l)
		e.cleared = e.cleared[max(0, len(e.cleared)-maxCleared):]
	}
	e.crashes = slices.DeleteFunc(e.crashes, func(k knownCrash) bool { return k.crash == l.Crash && further(l.Events, k.events) })
	return true
}

// outlive clears all crashes that a request with some events has got further than, and returns their
// number.
func (e *evidence) outlive(events int) int {
	n := 0
	for _, k := range slices.Clone(e.crashes) {
		if further(events, k.events) && e.clear(Clearing{Crash: k.crash, Events: events}) {
			n++
		}
	}
	return n
}

// settled returns the crashes that daemons have had the time to clear, oldest first.
func (e *evidence) settled(now time.Time) []knownCrash {
	return slices.DeleteFunc(slices.Clone(e.crashes), func(k knownCrash) bool { return !k.counts(now) })
}

// standing returns the crashes of settled that came about where requests with the key got at most, while
// others got further.
func (e *evidence) standing(now time.Time) []knownCrash {
	furthest := e.furthest()
	return slices.DeleteFunc(e.settled(now), func(k knownCrash) bool { return further(furthest, k.events) || !further(e.apart, k.events) })
}

// furthest returns the largest number of events after which a crash came.
func (e *evidence) furthest() int {
	most := 0
	for _, k := range e.crashes {
		most = max(most, k.events)
	}
	return most
}

// moments returns the number of moments of some crashes, oldest first.
func moments(crashes []knownCrash) int {
	n := 0
	var moment time.Time
	for _, k := range crashes {
		if n == 0 || k.at.Sub(moment) >= momentLength {
			n++
			moment = k.at
		}
	}
	return n
}

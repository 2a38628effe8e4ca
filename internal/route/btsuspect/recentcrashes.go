package btsuspect

import "time"

// maxRecent bounds the crashes that are compared with those of one key.
const maxRecent = 64

// recentCrashes are the newest crashes under any key, in the order in which they were learned of.
type recentCrashes struct{ list []knownCrash }

func (r *recentCrashes) add(c Crash, at time.Time) {
	for _, k := range r.list {
		if k.crash == c {
			return
		}
	}
	r.list = append(r.list, knownCrash{crash: c, at: at})
	r.list = r.list[max(0, len(r.list)-maxRecent):]
}

// without returns the number of crashes since the first one of a key that came without it, as far as
// daemons have had the time to tell.
func (r *recentCrashes) without(e *evidence, now time.Time) int {
	n := 0
	for _, k := range r.list {
		if k.counts(now) && !k.at.Before(e.crashes[0].at) && !e.had(k.crash) {
			n++
		}
	}
	return n
}

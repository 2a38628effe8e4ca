package btwaiting

import (
	"cmp"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"bramleytack"
)

const (
	// PlacesFactor is the number of requests that an upstream gets for each of its places
	// while its service is full. The ones beyond its places wait there and keep it busy
	// between two messages; their wait of one and a half run times leaves calls within their
	// targets. Upstreams reject what exceeds their queue, so the count must also leave room
	// for what daemons do not yet know of each other.
	PlacesFactor = 2.5
	// After a rejection the daemon uses rejectedFactor of its part, and no less than
	// leastFactor, which keeps all places of upstreams busy. The whole part is used again
	// after recoverTime.
	rejectedFactor = 0.8
	leastFactor    = 1 / PlacesFactor
	recoverTime    = 3 * time.Second
	// rejectedRests is the number of mean uses for which a place rests after a rejection.
	rejectedRests = 2
	// firstMean is the mean time of a use before the first one has ended. A daemon that starts
	// into full upstreams must not send again at once.
	firstMean = 50 * time.Millisecond
	// meanWeight is the share of the newest use in the mean time of a use.
	meanWeight = 0.1
	// restSpread is the part by which the rest of a place varies, so that daemons do not send
	// at the same time.
	restSpread = 0.5
	// maxUses bounds the uses that are remembered, and maxRest their age.
	maxUses = 64
	maxRest = 3 * time.Second
)

// Occupancy is how the requests of all daemons fill a service.
type Occupancy struct {
	// Places is the number of requests that the service's upstreams should have together,
	// zero without an upstream or a bound. Free is what is left of it, by upstream.
	Places int
	Free   int
	// Running and Waiting are the requests of all daemons at upstreams and in rooms.
	Running int
	Waiting int
	// OwnRunning and OwnWaiting are the parts of this daemon. OwnRunning also has the requests
	// at upstreams that do not count for Running.
	OwnRunning int
	OwnWaiting int
	// Calls are those of all daemons by workspace, as far as this one knows, and OwnCalls its
	// own ones. Without them, places are shared by calls.
	Calls    *Demand
	OwnCalls *Demand
}

// plus returns the occupancy with n more requests at upstreams.
func (o Occupancy) plus(n int) Occupancy {
	o.Running += n
	o.Free = max(o.Free-n, 0)
	return o
}

// full reports whether a request that waits would find no place if all of them went on.
func (o Occupancy) full() bool { return o.Places > 0 && max(o.Waiting, o.OwnWaiting, 1) > o.Free }

// Share is this daemon's part of the places of a service. Timer must be set before the first
// use. It is safe for concurrent use.
type Share struct {
	Timer bramleytack.Timer

	mu      sync.Mutex
	running int
	// uses are the newest uses of places that have ended.
	uses []use
	// mean is the mean time of a use.
	mean time.Duration
	// wasFull is set if the service was full at the last look.
	wasFull bool
	// factor is what rejections have left of the part at rejectedAt.
	factor     float64
	rejectedAt time.Time
}

// use is a use of a place that has ended.
type use struct {
	ended time.Time
	took  time.Duration
	// jitter multiplies the rest of the place.
	jitter float64
}

// Enter reports whether one more request may be sent now, and counts it if so.
func (s *Share) Enter(o Occupancy) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Requests count in o only once they are on their way to an upstream.
	o = o.plus(max(s.running-o.OwnRunning, 0))
	full := o.full()
	began := full && !s.wasFull
	s.wasFull = full
	if full {
		part := s.part(o)
		places := math.Ceil(part)
		if began {
			s.stagger(int(places), places/part)
		}
		if float64(s.running+s.resting(places/part)) >= places {
			return false
		}
	}
	s.running++
	return true
}

// part returns the number of requests that this daemon may have at the service's upstreams
// on average: what belongs to its workspaces if all workspaces are served alike. Of a workspace
// at several daemons, and of calls whose workspaces are not known, each daemon has the part
// that its calls are. The caller holds the lock.
func (s *Share) part(o Occupancy) float64 {
	own := s.running + max(o.OwnWaiting, 1)
	all := max(o.Running+max(o.Waiting, 1), own)
	places := max(float64(o.Places)*s.recovered(), 1)
	if known := o.Calls.total(); known > 0 && o.OwnCalls.total() > 0 {
		return o.Calls.fairPart(places*float64(known)/float64(max(all, known)), o.OwnCalls)
	}
	return places * float64(own) / float64(all)
}

// recovered returns the factor of the part after rejections.
func (s *Share) recovered() float64 {
	if s.rejectedAt.IsZero() {
		return 1
	}
	back := s.Timer.Now().Sub(s.rejectedAt).Seconds() / recoverTime.Seconds()
	return min(s.factor+(1-s.factor)*back, 1)
}

// stagger lets places rest as if the service had been full before. Otherwise all daemons
// would send at the same time when a service becomes full, or its first upstream is back. The
// caller holds the lock.
func (s *Share) stagger(places int, duty float64) {
	now, mean := s.Timer.Now(), s.meanUse()
	for range places - s.running - s.resting(duty) {
		// A place is in use in the first part of its cycle, and rests then.
		if phase := rand.Float64(); phase*duty > 1 {
			s.add(use{ended: now.Add(-time.Duration((phase*duty - 1) * float64(mean))), took: mean, jitter: 1})
		}
	}
}

// add records a use. The caller holds the lock.
func (s *Share) add(u use) {
	if len(s.uses) >= maxUses {
		s.uses = append(s.uses[:0], s.uses[len(s.uses)-maxUses/2:]...)
	}
	s.uses = append(s.uses, u)
}

// resting returns the number of places that rest, if a place is used for one part of duty of
// the time. The caller holds the lock.
func (s *Share) resting(duty float64) int {
	now, n := s.Timer.Now(), 0
	for _, u := range s.uses {
		if rest := time.Duration((duty - 1) * u.jitter * float64(u.took)); now.Sub(u.ended) < min(rest, maxRest) {
			n++
		}
	}
	return n
}

// Leave ends the use of a place that took some time. rejected is set if the upstream was
// full.
func (s *Share) Leave(took time.Duration, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	now := s.Timer.Now()
	if rejected {
		s.reject(now)
		took = max(took, rejectedRests*s.meanUse())
	} else if s.mean == 0 {
		s.mean = took
	} else {
		s.mean += time.Duration(meanWeight * float64(took-s.mean))
	}
	s.add(use{ended: now, took: took, jitter: 1 - restSpread + 2*restSpread*rand.Float64()})
}

// Return ends the use of a place that no request was sent to.
func (s *Share) Return() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// reject reduces the part after a rejection. Rejections of the same time count once.
func (s *Share) reject(now time.Time) {
	if now.Sub(s.rejectedAt) < s.meanUse() {
		return
	}
	s.factor = max(s.recovered()*rejectedFactor, leastFactor)
	s.rejectedAt = now
}

// Interval returns the expected time between two places for this daemon while the service
// is full.
func (s *Share) Interval(o Occupancy) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !o.full() {
		return 0
	}
	return time.Duration(float64(s.meanUse()) / s.part(o))
}

// Mean returns the mean time of a use.
func (s *Share) Mean() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meanUse()
}

// meanUse is Mean for callers that hold the lock.
func (s *Share) meanUse() time.Duration { return cmp.Or(s.mean, firstMean) }

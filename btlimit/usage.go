package btlimit

import (
	"math"
	"time"
)

// share is this entry's part of a workspace's limits.
type share struct {
	at          time.Time
	rate        float64
	concurrency int
}

// usage is the state of one workspace at this entry.
type usage struct {
	running int
	usedAt  time.Time
	// floor is the demand up to which every entry is treated alike.
	floor Demand

	// raiseDelay is how long a larger share waits: the others have then either
	// received the demands that reduce theirs, or their news has expired.
	raiseDelay time.Duration
	// current is the smallest share of the last raiseDelay.
	current share
	recent  []share

	tokens float64
	fillAt time.Time

	// arrivals decays with demandTime: at a steady rate it is the number of
	// requests in that time. wanted is the decaying maximum of the
	// concurrency that was asked for.
	arrivals float64
	wanted   float64
	decayAt  time.Time
}

// setShare takes a new share. The first one is used at once: no request was
// counted against another.
func (u *usage) setShare(now time.Time, s share) {
	keep := u.recent[:0]
	for _, r := range u.recent {
		if now.Sub(r.at) < u.raiseDelay {
			keep = append(keep, r)
		}
	}
	u.recent = append(keep, s)
	low := s
	for _, r := range u.recent {
		low.rate = min(low.rate, r.rate)
		low.concurrency = min(low.concurrency, r.concurrency)
	}
	u.fill(now)
	u.current = low
	u.tokens = min(u.tokens, u.burst())
}

// burst returns the size of the token bucket.
func (u *usage) burst() float64 { return max(1, u.current.rate) }

func (u *usage) fill(now time.Time) {
	if u.fillAt.IsZero() {
		u.tokens = 1
		u.fillAt = now
		return
	}
	if d := now.Sub(u.fillAt); d > 0 {
		u.tokens = min(u.burst(), u.tokens+d.Seconds()*u.current.rate)
		u.fillAt = now
	}
}

// spend takes a token, or returns the time until there is one.
func (u *usage) spend(now time.Time) time.Duration {
	u.fill(now)
	if u.tokens >= 1 {
		u.tokens--
		return 0
	}
	if u.current.rate <= 0 {
		return u.raiseDelay
	}
	wait := (1 - u.tokens) / u.current.rate * float64(time.Second)
	return time.Duration(min(wait, float64(time.Hour))) + 1
}

func (u *usage) arrive(now time.Time) {
	u.decay(now)
	u.usedAt = now
	u.arrivals++
	u.wanted = max(u.wanted, float64(u.running+1))
}

func (u *usage) decay(now time.Time) {
	if u.decayAt.IsZero() {
		u.decayAt = now
		return
	}
	d := now.Sub(u.decayAt)
	if d <= 0 {
		return
	}
	factor := math.Exp(-d.Seconds() / demandTime.Seconds())
	u.arrivals *= factor
	u.wanted = max(float64(u.running), u.wanted*factor)
	u.decayAt = now
}

func (u *usage) demand(now time.Time) Demand {
	u.decay(now)
	return Demand{RequestsPerSecond: u.arrivals / demandTime.Seconds(), Concurrency: u.wanted}
}

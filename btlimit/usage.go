package btlimit

import (
	"math"
	"time"
)

// share is this entry daemon's part of a workspace's limits. rate is in requests
// per second.
type share struct {
	at          time.Time
	rate        float64
	concurrency int
}

// usage is the state of one workspace at this entry daemon.
type usage struct {
	running  int
	lastUsed time.Time
	// negligible is the result of negligibleDemand.
	negligible Demand

	// raiseDelay is the delay before a larger share takes effect. By then, every
	// other entry daemon has received the demands that reduce its share, or the
	// demands that it uses have expired.
	raiseDelay time.Duration
	// current is the smallest share of the last raiseDelay, and recent holds
	// the shares of that time.
	current share
	recent  []share

	// tokens is the level of the token bucket at filledAt.
	tokens   float64
	filledAt time.Time

	// arrivals counts requests with exponential decay: at a steady rate it is
	// the number of requests in demandWindow. peakConcurrency is the maximum of
	// the concurrency that was asked for, with the same decay. Both are as of
	// decayedAt.
	arrivals        float64
	peakConcurrency float64
	decayedAt       time.Time
}

// setShare sets a new share. The first one takes effect at once, since no other
// share was in use before.
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
	u.refill(now)
	u.current = low
	u.tokens = min(u.tokens, u.burst())
}

// burst returns the capacity of the token bucket.
func (u *usage) burst() float64 { return max(1, u.current.rate) }

func (u *usage) refill(now time.Time) {
	if u.filledAt.IsZero() {
		u.tokens = 1
		u.filledAt = now
		return
	}
	if d := now.Sub(u.filledAt); d > 0 {
		u.tokens = min(u.burst(), u.tokens+d.Seconds()*u.current.rate)
		u.filledAt = now
	}
}

// takeToken takes a token and returns 0, or returns the time until there is one.
func (u *usage) takeToken(now time.Time) time.Duration {
	u.refill(now)
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

func (u *usage) recordArrival(now time.Time) {
	u.decay(now)
	u.lastUsed = now
	u.arrivals++
	u.peakConcurrency = max(u.peakConcurrency, float64(u.running+1))
}

func (u *usage) decay(now time.Time) {
	if u.decayedAt.IsZero() {
		u.decayedAt = now
		return
	}
	d := now.Sub(u.decayedAt)
	if d <= 0 {
		return
	}
	factor := math.Exp(-d.Seconds() / demandWindow.Seconds())
	u.arrivals *= factor
	u.peakConcurrency = max(float64(u.running), u.peakConcurrency*factor)
	u.decayedAt = now
}

func (u *usage) demand(now time.Time) Demand {
	u.decay(now)
	return Demand{RequestsPerSecond: u.arrivals / demandWindow.Seconds(), Concurrency: u.peakConcurrency}
}

package btowner

import (
	"time"
)

const (
	// shortLengthRatio is the expected length up to which a request is short,
	// relative to the length of the request that an average token belongs to.
	shortLengthRatio = 0.25
	// shortPreference is how long a cold upstream rejects long requests after the
	// last short one.
	shortPreference = 5 * time.Second
	// lengthSampleWeight is the weight of a new sample in the moving averages.
	lengthSampleWeight = 0.05
)

// shortRequests decides which requests are short enough to warm up a cold
// upstream. Upstreams warm up by completed requests, and a cold one decodes
// slowly: a few short requests warm it in seconds, while a long one would run
// slowly for minutes.
type shortRequests struct {
	// meanLength and meanSquare are moving averages of the expected length and
	// of its square. meanSquare/meanLength is the length of the request that an
	// average token belongs to. Requests are compared with this ratio because
	// the mean length is itself short where most requests are.
	meanLength float64
	meanSquare float64
	lastShort  time.Time
}

// observe adds the expected length of a request to the averages and reports
// whether it is short.
func (s *shortRequests) observe(now time.Time, expected float64) bool {
	if s.meanLength == 0 {
		s.meanLength, s.meanSquare = expected, expected*expected
	}
	s.meanLength += (expected - s.meanLength) * lengthSampleWeight
	s.meanSquare += (expected*expected - s.meanSquare) * lengthSampleWeight
	if expected > shortLengthRatio*s.meanSquare/s.meanLength {
		return false
	}
	s.lastShort = now
	return true
}

// rejectsLong reports whether res is a long request that the upstream rejects,
// because it is cold and got a short request recently. For shortPreference after
// the upstream became cold it rejects long requests even if there were no short
// ones, since waiting long requests would otherwise fill it up.
func (u *Upstream) rejectsLong(now time.Time, res *trackedReservation) bool {
	if u.cfg.AnyLengthWhenCold || u.memorySize() <= 0 || u.ramp.Warm() || !u.ramp.Slow() {
		return false
	}
	expected := u.cfg.Lengths.MeanResidual(res.lengthKey(), 0)
	if res.MaxTokens > 0 {
		expected = min(expected, float64(res.MaxTokens))
	}
	_, since := u.ramp.Reason()
	if u.shortRequests.lastShort.After(since) {
		since = u.shortRequests.lastShort
	}
	return !u.shortRequests.observe(now, expected) && now.Sub(since) < shortPreference
}

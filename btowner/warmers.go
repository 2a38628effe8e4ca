package btowner

import (
	"time"
)

const (
	// shortShare is the expected length, as a share of that of the average
	// token, up to which a request is short.
	shortShare = 0.25
	// shortRecent is how long places are kept after the last short request.
	shortRecent = 5 * time.Second
	// lengthWeight is the weight of a new sample in the averages.
	lengthWeight = 0.05
)

// warmers knows which requests warm a cold upstream. Upstreams warm up by
// completed requests, and a cold one decodes slowly: a few short requests warm
// it in seconds, while a long one would run at a cold pace for minutes.
type warmers struct {
	// mean and square are averages of the expected length and of its square.
	// Their ratio is the length of the request that an average token belongs
	// to. The mean alone is itself short where most requests are.
	mean    float64
	square  float64
	shortAt time.Time
}

// short takes the expected length of a request and says whether it is short.
func (w *warmers) short(now time.Time, expected float64) bool {
	if w.mean == 0 {
		w.mean, w.square = expected, expected*expected
	}
	w.mean += (expected - w.mean) * lengthWeight
	w.square += (expected*expected - w.square) * lengthWeight
	if expected > shortShare*w.square/w.mean {
		return false
	}
	w.shortAt = now
	return true
}

// keptForShort says whether the upstream is cold and leaves its places to
// short requests, of which there were some lately. At first it waits for them,
// since long ones that are waiting would take all places.
func (u *Upstream) keptForShort(now time.Time, h *held) bool {
	if u.cfg.AnyLengthWhenCold || u.memory() <= 0 || u.ramp.Warm() || !u.ramp.Slow() {
		return false
	}
	expected := u.cfg.Lengths.Expected(h.key(), 0)
	if h.MaxTokens > 0 {
		expected = min(expected, float64(h.MaxTokens))
	}
	_, since := u.ramp.Reason()
	if u.warmers.shortAt.After(since) {
		since = u.warmers.shortAt
	}
	return !u.warmers.short(now, expected) && now.Sub(since) < shortRecent
}

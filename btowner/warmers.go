package btowner

import (
	"time"
)

const (
	// shortShare is the expected length, as a share of the average, up to
	// which a request is short.
	shortShare = 0.5
	// shortRecent is how long places are kept after the last short request.
	shortRecent = 5 * time.Second
	// lengthWeight is the weight of a new sample in the average length.
	lengthWeight = 0.05
)

// warmers knows which requests warm a cold upstream. Upstreams warm up by
// completed requests, and a cold one decodes slowly: a few short requests warm
// it in seconds, while a long one would run at a cold pace for minutes.
type warmers struct {
	average float64
	shortAt time.Time
}

// short takes the expected length of a request and says whether it is short.
func (w *warmers) short(now time.Time, expected float64) bool {
	if w.average == 0 {
		w.average = expected
	}
	w.average += (expected - w.average) * lengthWeight
	if expected > shortShare*w.average {
		return false
	}
	w.shortAt = now
	return true
}

// keptForShort says whether the upstream is cold and leaves its places to
// short requests, of which there were some lately.
func (u *Upstream) keptForShort(now time.Time, h *held) bool {
	if u.cfg.AnyLengthCold || u.memory() <= 0 || u.ramp.Warm() || !u.ramp.Slow() {
		return false
	}
	expected := u.cfg.Lengths.Expected(h.key(), 0)
	if h.MaxTokens > 0 {
		expected = min(expected, float64(h.MaxTokens))
	}
	return !u.warmers.short(now, expected) && now.Sub(u.warmers.shortAt) < shortRecent
}

package btramp

import (
	"time"
)

// bucket limits prompt tokens. It holds one second of the rate. A prompt that
// is larger is let in when the bucket is full and leaves a debt.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) fill(now time.Time, rate float64) {
	if b.at.IsZero() {
		b.level = rate
	} else if d := now.Sub(b.at); d > 0 {
		b.level = min(rate, b.level+d.Seconds()*rate)
	} else {
		return
	}
	b.at = now
}

func (b *bucket) wait(now time.Time, rate float64) time.Duration {
	b.fill(now, rate)
	if b.level > 0 {
		return 0
	}
	// One nanosecond more keeps rounding from ending the wait early.
	return time.Duration(-b.level/rate*float64(time.Second)) + 1
}

func (b *bucket) take(now time.Time, rate, tokens float64) {
	b.fill(now, rate)
	b.level -= tokens
}

// burst counts failures within a window.
type burst struct {
	size  int
	times []time.Time
}

// add counts a failure and says whether the burst is complete.
func (b *burst) add(now time.Time, window time.Duration) bool {
	keep := b.times[:0]
	for _, t := range b.times {
		if now.Sub(t) < window {
			keep = append(keep, t)
		}
	}
	b.times = append(keep, now)
	return len(b.times) >= b.size
}

func (b *burst) clear() { b.times = b.times[:0] }

const (
	// latencyWeight is the weight of a new sample in the usual latency.
	latencyWeight = 0.05
	// latencyMin is the number of samples before latency is judged.
	latencyMin = 16
	// promptOffset is added to the prompt's tokens, so that the fixed part of
	// the latency does not dominate for short prompts.
	promptOffset = 256
)

// latency compares first-token latency, per prompt token, with its average.
type latency struct {
	usual   float64
	samples int
	row     int
}

// slow takes a sample and says whether the last ones look like a cold start.
// Slow samples do not move the average.
func (l *latency) slow(s Result, cfg Config) bool {
	v := s.FirstToken.Seconds() / float64(s.PromptTokens+promptOffset)
	if l.samples >= latencyMin && s.FirstToken > cfg.SlowFirstTokenFloor && v > cfg.SlowFirstTokenFactor*l.usual {
		l.row++
		return l.row >= cfg.SlowFirstTokenCount
	}
	l.row = 0
	l.samples++
	weight := max(latencyWeight, 1/float64(l.samples))
	l.usual += (v - l.usual) * weight
	return false
}

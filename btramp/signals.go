package btramp

import "time"

// bucket is a token bucket for prompt tokens that holds one second of the rate.
// A prompt is admitted while the bucket is not empty. A prompt with more tokens
// than the bucket has leaves a negative number, which delays the next one.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) fill(now time.Time, rate float64) {
	if b.at.IsZero() {
		b.tokens = rate
	} else if d := now.Sub(b.at); d > 0 {
		b.tokens = min(rate, b.tokens+d.Seconds()*rate)
	} else {
		return
	}
	b.at = now
}

func (b *bucket) wait(now time.Time, rate float64) time.Duration {
	b.fill(now, rate)
	if b.tokens > 0 {
		return 0
	}
	// One nanosecond more keeps rounding from ending the wait early.
	return time.Duration(-b.tokens/rate*float64(time.Second)) + 1
}

func (b *bucket) take(now time.Time, rate, tokens float64) {
	b.fill(now, rate)
	b.tokens -= tokens
}

// failureWindow counts the failures of a sliding window of time.
type failureWindow struct {
	limit int
	times []time.Time
}

// add counts a failure and reports whether the limit is reached.
func (w *failureWindow) add(now time.Time, window time.Duration) bool {
	keep := w.times[:0]
	for _, t := range w.times {
		if now.Sub(t) < window {
			keep = append(keep, t)
		}
	}
	w.times = append(keep, now)
	return len(w.times) >= w.limit
}

func (w *failureWindow) clear() { w.times = w.times[:0] }

const (
	// latencyWeight is the weight of a new sample in the usual latency.
	latencyWeight = 0.05
	// minLatencySamples is the number of samples before a latency can be slow.
	minLatencySamples = 16
	// promptOffset is added to the prompt's tokens, so that the fixed part of
	// the latency does not dominate for short prompts.
	promptOffset = 256
)

// firstTokenLatency compares the first-token latency per prompt token with its
// moving average.
type firstTokenLatency struct {
	usual     float64
	samples   int
	slowInRow int
}

// observe takes the latency of one request and reports whether enough requests
// in a row were slow. Slow ones do not change the average.
func (l *firstTokenLatency) observe(r Result, cfg Config) bool {
	perToken := r.FirstToken.Seconds() / float64(r.PromptTokens+promptOffset)
	if l.samples >= minLatencySamples && r.FirstToken > cfg.SlowFirstTokenFloor && perToken > cfg.SlowFirstTokenFactor*l.usual {
		l.slowInRow++
		return l.slowInRow >= cfg.SlowFirstTokenCount
	}
	l.slowInRow = 0
	l.samples++
	weight := max(latencyWeight, 1/float64(l.samples))
	l.usual += (perToken - l.usual) * weight
	return false
}

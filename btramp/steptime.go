package btramp

import (
	"math/bits"
	"time"
)

const (
	// stepBuckets is the number of step time buckets, one for each power of two
	// of running requests.
	stepBuckets = 16
	// stepWeight is the weight of a new sample in the usual step time.
	stepWeight = 0.05
	// minStepSamples is the number of samples before a step time is known.
	minStepSamples = 8
)

// stepTimes estimates the usual time of one decoding step of a warm upstream.
// The estimate survives resets, since the hardware stays the same.
type stepTimes struct {
	buckets [stepBuckets]struct {
		usual   float64
		samples int
	}
	// slowInRow counts the consecutive slow samples up to the last one. slow is
	// set if the last one was slow.
	slowInRow int
	slow      bool
}

func stepBucket(running int) int {
	return min(bits.Len(uint(max(running, 1)))-1, stepBuckets-1)
}

// reference returns the usual step time in seconds for the number of running
// requests. If it is not known, that of the next larger known batch is used:
// steps of larger batches take longer.
func (s *stepTimes) reference(running int) (float64, bool) {
	for b := stepBucket(running); b < stepBuckets; b++ {
		if s.buckets[b].samples >= minStepSamples {
			return s.buckets[b].usual, true
		}
	}
	return 0, false
}

// classify records whether a step time in seconds is slow.
func (s *stepTimes) classify(running int, step, factor float64) {
	usual, ok := s.reference(running)
	s.slow = ok && step > factor*usual
	if s.slow {
		s.slowInRow++
	} else {
		s.slowInRow = 0
	}
}

// known reports whether the usual step time of any batch is known.
func (s *stepTimes) known() bool {
	_, ok := s.reference(1)
	return ok
}

// update adds the step time of a warm upstream in seconds to the estimate.
func (s *stepTimes) update(running int, step float64) {
	b := &s.buckets[stepBucket(running)]
	b.samples++
	b.usual += (step - b.usual) * max(stepWeight, 1/float64(b.samples))
}

// StepTime returns the usual time of a decoding step while the given number of
// requests run. It returns false if no step time is known for it or a larger
// number.
func (r *Ramp) StepTime(running int) (time.Duration, bool) {
	usual, ok := r.steps.reference(running)
	return time.Duration(usual * float64(time.Second)), ok
}

// Slow reports whether the upstream decodes as slowly as a cold one. After a
// reset it counts as slow until a normal step time is observed, if the usual
// step time is known.
func (r *Ramp) Slow() bool { return r.steps.slow }

// ObserveStep takes the time of one decoding step while the given number of
// requests run. Several slow steps in a row take a warm upstream back to base.
// Below the warm limit, successes do not count while steps are slow: an engine
// that is still cold completes requests too, and crashes when their number
// doubles.
func (r *Ramp) ObserveStep(now time.Time, running int, step time.Duration) {
	if step <= 0 || r.cfg.SlowStepFactor < 0 {
		return
	}
	s := &r.steps
	s.classify(running, step.Seconds(), r.cfg.SlowStepFactor)
	if !r.Warm() {
		return
	}
	if !s.slow {
		s.update(running, step.Seconds())
	} else if s.slowInRow >= r.cfg.SlowStepCount {
		r.Reset(now, SlowPace)
	}
}

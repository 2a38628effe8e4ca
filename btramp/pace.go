package btramp

import (
	"math/bits"
	"time"
)

const (
	// paceBuckets holds step times by the number of running requests, with one
	// bucket for each power of two.
	paceBuckets = 16
	// paceWeight is the weight of a new sample in the usual step time.
	paceWeight = 0.05
	// paceMin is the number of samples before a step time counts as known.
	paceMin = 8
)

// pace knows the usual time of one decoding step of a warm upstream. It
// outlives resets, since the hardware stays the same.
type pace struct {
	buckets [paceBuckets]struct {
		usual   float64
		samples int
	}
	// row counts the last samples that were slow, slow is set from the first
	// one on.
	row  int
	slow bool
}

func paceBucket(running int) int {
	return min(bits.Len(uint(max(running, 1)))-1, paceBuckets-1)
}

// reference returns the usual step time for the number of running requests. A
// larger batch takes longer, so that the next larger one that is known can
// stand in.
func (p *pace) reference(running int) (float64, bool) {
	for b := paceBucket(running); b < paceBuckets; b++ {
		if p.buckets[b].samples >= paceMin {
			return p.buckets[b].usual, true
		}
	}
	return 0, false
}

// judge says whether a step time is slow.
func (p *pace) judge(running int, step, factor float64) {
	usual, ok := p.reference(running)
	p.slow = ok && step > factor*usual
	if p.slow {
		p.row++
	} else {
		p.row = 0
	}
}

// known says whether the usual step time of any batch is known.
func (p *pace) known() bool {
	_, ok := p.reference(1)
	return ok
}

func (p *pace) learn(running int, step float64) {
	b := &p.buckets[paceBucket(running)]
	b.samples++
	b.usual += (step - b.usual) * max(paceWeight, 1/float64(b.samples))
}

// StepTime returns the usual time of a decoding step beside running requests,
// if it is known.
func (r *Ramp) StepTime(running int) (time.Duration, bool) {
	usual, ok := r.pace.reference(running)
	return time.Duration(usual * float64(time.Second)), ok
}

// Slow says whether the upstream decodes as slowly as a cold one. After a
// reset it counts as slow until its pace shows otherwise.
func (r *Ramp) Slow() bool { return r.pace.slow }

// ObserveStep takes the time of one decoding step while the given number of
// requests run. Several slow steps in a row take a warm upstream back to base.
// Below the warm limit, successes do not count while steps are slow: an engine
// that is still cold completes requests too, and crashes when their number
// doubles.
func (r *Ramp) ObserveStep(now time.Time, running int, step time.Duration) {
	if step <= 0 || r.cfg.SlowStepFactor < 0 {
		return
	}
	p := &r.pace
	p.judge(running, step.Seconds(), r.cfg.SlowStepFactor)
	if !r.Warm() {
		return
	}
	if !p.slow {
		p.learn(running, step.Seconds())
	} else if p.row >= r.cfg.SlowStepCount {
		r.Reset(now, SlowPace)
	}
}

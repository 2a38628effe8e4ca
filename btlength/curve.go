package btlength

import "math"

// Intervals is the number of intervals of a Curve.
const Intervals = 15

// IntervalStart returns the number of tokens, from now, at which interval k begins:
// 0, 8, 16, 32 and so on.
func IntervalStart(k int) int {
	if k <= 0 {
		return 0
	}
	return 4 << k
}

// Curve forecasts one generation over intervals of its remaining tokens.
type Curve struct {
	// Survival is the probability that the generation is still running when
	// interval k begins.
	Survival [Intervals]float32
	// MeanTokens is the expected number of further tokens at the end of the
	// interval, or at the generation's end within it, counted as zero for a
	// generation that ended before the interval.
	MeanTokens [Intervals]float32
}

// survival is the distribution of a residual length.
type survival struct {
	weight   [buckets]float32
	total    float32
	produced float64
}

// span returns the part of bucket b above produced.
func (s *survival) span(b int) (lo, hi float64) {
	lo, hi = bounds[b], bounds[b+1]
	return max(lo, s.produced+1) - s.produced, max(hi, s.produced+1) - s.produced
}

// quantile returns the residual length that is not exceeded with probability q.
func (s *survival) quantile(q float64) float64 {
	want := q * float64(s.total)
	for b, w := range s.weight {
		if w <= 0 {
			continue
		}
		if want <= float64(w) {
			lo, hi := s.span(b)
			return lo + (hi-lo)*want/float64(w)
		}
		want -= float64(w)
	}
	_, hi := s.span(s.last())
	return hi
}

func (s *survival) mean() float64 {
	var sum float64
	for b, w := range s.weight {
		if w > 0 {
			lo, hi := s.span(b)
			sum += float64(w) * (lo + hi) / 2
		}
	}
	return sum / float64(s.total)
}

func (s *survival) last() int {
	last := 0
	for b, w := range s.weight {
		if w > 0 {
			last = b
		}
	}
	return last
}

// curve fills a Curve with residuals cut at limit. One pass goes over the
// buckets; each adds to the intervals that it overlaps.
func (s *survival) curve(limit int) Curve {
	var c Curve
	for b, w := range s.weight {
		if w > 0 {
			lo, hi := s.span(b)
			c.addBucket(w/s.total, lo, hi, float64(limit))
		}
	}
	return c
}

// addBucket adds a residual that is uniform over [lo, hi] with probability p.
func (c *Curve) addBucket(p float32, lo, hi, limit float64) {
	lo, hi = min(lo, limit), min(hi, limit)
	for k := range Intervals {
		from := float64(IntervalStart(k))
		if hi <= from {
			return
		}
		to := math.Inf(1)
		if k+1 < Intervals {
			to = float64(IntervalStart(k + 1))
		}
		alive, reach := overlap(lo, hi, from, to)
		c.Survival[k] += p * float32(alive)
		c.MeanTokens[k] += p * float32(reach)
	}
}

// overlap returns P(R > from) and E[min(R, to); R > from] for R uniform over
// [lo, hi].
func overlap(lo, hi, from, to float64) (alive, reach float64) {
	if hi <= lo {
		return 1, min(lo, to)
	}
	width := hi - lo
	start := max(lo, from)
	alive = (hi - start) / width
	if to <= start {
		return alive, alive * to
	}
	end := min(hi, to)
	reach = (end*end - start*start) / (2 * width)
	return alive, reach + (hi-end)/width*to
}

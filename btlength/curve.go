package btlength

import "math"

// Intervals is the number of intervals of a Curve.
const Intervals = 15

// IntervalStart returns the number of further tokens at which interval k of a
// Curve begins: 0, 8, 16, 32 and so on.
func IntervalStart(k int) int {
	if k <= 0 {
		return 0
	}
	return 4 << k
}

// Curve is the forecast of one generation over intervals of its further tokens.
type Curve struct {
	// Survival is the probability that the generation is still running when
	// interval k begins.
	Survival [Intervals]float32
	// MeanTokens is the expected number of further tokens at the end of
	// interval k, or at the end of the generation if that comes first. A
	// generation that ends before the interval counts as zero. The last
	// interval has no end.
	MeanTokens [Intervals]float32
}

// residualDist is the distribution of the number of further tokens after
// produced. Its weights are by bucket of the total output length.
type residualDist struct {
	weight   [numBuckets]float32
	total    float32
	produced float64
}

// span returns the range of residual lengths that bucket b covers.
func (d *residualDist) span(b int) (lo, hi float64) {
	lo, hi = bucketBounds[b], bucketBounds[b+1]
	return max(lo, d.produced+1) - d.produced, max(hi, d.produced+1) - d.produced
}

// quantile returns the residual length that is not exceeded with probability q.
func (d *residualDist) quantile(q float64) float64 {
	remaining := q * float64(d.total)
	for b, w := range d.weight {
		if w <= 0 {
			continue
		}
		if remaining <= float64(w) {
			lo, hi := d.span(b)
			return lo + (hi-lo)*remaining/float64(w)
		}
		remaining -= float64(w)
	}
	_, hi := d.span(d.lastBucket())
	return hi
}

func (d *residualDist) mean() float64 {
	var sum float64
	for b, w := range d.weight {
		if w > 0 {
			lo, hi := d.span(b)
			sum += float64(w) * (lo + hi) / 2
		}
	}
	return sum / float64(d.total)
}

// lastBucket returns the highest bucket with a positive weight.
func (d *residualDist) lastBucket() int {
	last := 0
	for b, w := range d.weight {
		if w > 0 {
			last = b
		}
	}
	return last
}

// curve returns the Curve of the residuals, which it truncates at limit. Each
// bucket adds to the intervals that it overlaps.
func (d *residualDist) curve(limit int) Curve {
	var c Curve
	for b, w := range d.weight {
		if w > 0 {
			lo, hi := d.span(b)
			c.addBucket(w/d.total, lo, hi, float64(limit))
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
		survival, mean := intervalMoments(lo, hi, from, to)
		c.Survival[k] += p * float32(survival)
		c.MeanTokens[k] += p * float32(mean)
	}
}

// intervalMoments returns P(R > from) and E[min(R, to); R > from] for R uniform
// over [lo, hi].
func intervalMoments(lo, hi, from, to float64) (survival, mean float64) {
	if hi <= lo {
		return 1, min(lo, to)
	}
	width := hi - lo
	start := max(lo, from)
	survival = (hi - start) / width
	if to <= start {
		return survival, survival * to
	}
	end := min(hi, to)
	mean = (end*end - start*start) / (2 * width)
	return survival, mean + (hi-end)/width*to
}

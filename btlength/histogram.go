package btlength

import (
	"math"
	"math/bits"
	"time"
)

const (
	// buckets covers lengths up to 2^17 tokens with two buckets an octave.
	buckets = 34
	// decayStep is the part of a half-life after which weights are adjusted.
	decayStep = 1.0 / 32
)

// histogram counts output lengths in log-spaced buckets with aging weights.
type histogram struct {
	weight [buckets]float32
	total  float32
	at     time.Time
}

// bucketOf returns the bucket of a length. Bucket 2k holds [2^k, 1.5 x 2^k)
// and bucket 2k+1 the rest of the octave.
func bucketOf(n int) int {
	n = max(n, 1)
	k := bits.Len(uint(n)) - 1
	b := 2 * k
	if k > 0 && n>>(k-1)&1 == 1 {
		b++
	}
	return min(b, buckets-1)
}

// lowerBound returns the smallest length of a bucket.
func lowerBound(b int) float64 {
	v := math.Ldexp(1, b/2)
	if b%2 == 1 {
		v *= 1.5
	}
	return v
}

var bounds = func() (v [buckets + 1]float64) {
	for i := range v {
		v[i] = lowerBound(i)
	}
	return v
}()

func (h *histogram) add(now time.Time, n int, halfLife time.Duration) {
	h.age(now, halfLife)
	h.weight[bucketOf(n)]++
	h.total++
}

func (h *histogram) age(now time.Time, halfLife time.Duration) {
	if h.at.IsZero() {
		h.at = now
		return
	}
	d := float64(now.Sub(h.at)) / float64(halfLife)
	if d < decayStep {
		return
	}
	factor := float32(math.Exp2(-d))
	h.total = 0
	for i := range h.weight {
		h.weight[i] *= factor
		h.total += h.weight[i]
	}
	h.at = now
}

// survivors sets out to the weight of lengths above produced and returns its
// sum.
func (h *histogram) survivors(produced int, out *[buckets]float32) float32 {
	*out = [buckets]float32{}
	first := 0
	if produced > 0 {
		first = bucketOf(produced)
	}
	var sum float32
	for i := first; i < buckets; i++ {
		out[i] = h.weight[i]
		sum += out[i]
	}
	if produced > 0 {
		lo, hi := bounds[first], bounds[first+1]
		part := float32(max(0, (hi-float64(produced+1))/(hi-lo)))
		sum -= out[first] * (1 - part)
		out[first] *= part
	}
	return max(sum, 0)
}

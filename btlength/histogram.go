package btlength

import (
	"math"
	"math/bits"
	"time"
)

const (
	// Two buckets for each power of two cover lengths up to 2^17 tokens.
	numBuckets = 34
	// decayStep is the time between adjustments of the weights, in half-lives.
	decayStep = 1.0 / 32
)

// histogram counts output lengths in log-spaced buckets. The weights decay
// with age.
type histogram struct {
	weight [numBuckets]float32
	total  float32
	agedAt time.Time
}

// bucketOf returns the bucket of a length. Bucket 2k holds [2^k, 1.5 x 2^k)
// and bucket 2k+1 holds [1.5 x 2^k, 2^(k+1)). The last bucket also holds all
// greater lengths.
func bucketOf(n int) int {
	n = max(n, 1)
	k := bits.Len(uint(n)) - 1
	b := 2 * k
	if k > 0 && n>>(k-1)&1 == 1 {
		b++
	}
	return min(b, numBuckets-1)
}

// lowerBound returns the smallest length of a bucket.
func lowerBound(b int) float64 {
	v := math.Ldexp(1, b/2)
	if b%2 == 1 {
		v *= 1.5
	}
	return v
}

var bucketBounds = func() (v [numBuckets + 1]float64) {
	for i := range v {
		v[i] = lowerBound(i)
	}
	return v
}()

func (h *histogram) add(now time.Time, tokens int, halfLife time.Duration) {
	h.age(now, halfLife)
	h.weight[bucketOf(tokens)]++
	h.total++
}

// age applies the decay since the last adjustment.
func (h *histogram) age(now time.Time, halfLife time.Duration) {
	if h.agedAt.IsZero() {
		h.agedAt = now
		return
	}
	d := float64(now.Sub(h.agedAt)) / float64(halfLife)
	if d < decayStep {
		return
	}
	factor := float32(math.Exp2(-d))
	h.total = 0
	for i := range h.weight {
		h.weight[i] *= factor
		h.total += h.weight[i]
	}
	h.agedAt = now
}

// weightsAbove sets out to the weights of the lengths above produced and returns
// their sum. Lengths are taken as uniform within a bucket.
func (h *histogram) weightsAbove(produced int, out *[numBuckets]float32) float32 {
	*out = [numBuckets]float32{}
	first := 0
	if produced > 0 {
		first = bucketOf(produced)
	}
	var sum float32
	for i := first; i < numBuckets; i++ {
		out[i] = h.weight[i]
		sum += out[i]
	}
	if produced > 0 {
		lo, hi := bucketBounds[first], bucketBounds[first+1]
		share := float32(max(0, (hi-float64(produced+1))/(hi-lo)))
		sum -= out[first] * (1 - share)
		out[first] *= share
	}
	return max(sum, 0)
}

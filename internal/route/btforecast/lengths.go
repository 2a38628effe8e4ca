package btforecast

import (
	"math"

	"bramleytack"
	"bramleytack/btlength"
)

const (
	// hintWeight is the weight of a hint against the route's median. It follows
	// from inverse-variance weighting with standard deviations of 0.84 for the
	// lengths and 1.2 for the hints, both on a logarithmic scale.
	hintWeight = 0.33
	// defaultLength is assumed before there are any samples.
	defaultLength = 600
	// median is the quantile of a route's lengths that forecasts use.
	median = 0.5
	// minSamples is the number of samples below which those of all routes, and
	// then defaultLength, complete the samples of a route.
	minSamples = 5
)

// Lengths forecasts output lengths by route. It is safe for concurrent use.
type Lengths struct {
	timer     bramleytack.Timer
	estimator *btlength.Estimator
}

// New returns a forecast without samples. It takes the age of samples from t.
func New(t bramleytack.Timer) *Lengths {
	return &Lengths{timer: t, estimator: btlength.New(btlength.Config{MinSamples: minSamples, Prior: defaultLength})}
}

// Learn adds the length of a complete generation to the samples of its route.
func (l *Lengths) Learn(route string, tokens int) {
	l.estimator.Add(l.timer.Now(), btlength.Key{Model: route}, tokens)
}

// Forecast returns the expected length in tokens, at most bound. A hint of 0 means
// that the caller gave none.
func (l *Lengths) Forecast(route string, hint, bound int) int {
	length := float64(l.estimator.Residual(btlength.Key{Model: route}, 0, median))
	if hint > 0 && length > 0 {
		length = math.Exp(hintWeight*math.Log(float64(hint)) + (1-hintWeight)*math.Log(length))
	}
	return min(int(length), bound)
}

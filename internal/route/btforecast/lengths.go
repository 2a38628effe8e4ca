package btforecast

import (
	"math"

	"bramleytack"
	"bramleytack/btlength"
)

const (
	// hintWeight is the weight of a hint against the route's median. With a
	// deviation of 0.84 of the lengths and of 1.2 of the hints, both on a
	// logarithmic scale, a third is best.
	hintWeight = 0.33
	// prior is the length that is assumed before anything was learned.
	prior = 600
	// median is the quantile that forecasts aim at.
	median = 0.5
	// learned is the number of generations from which the median counts.
	learned = 5
)

// Lengths forecasts output lengths by route. It is safe for concurrent use.
type Lengths struct {
	timer     bramleytack.Timer
	estimator *btlength.Estimator
}

// New returns a forecast without samples.
func New(t bramleytack.Timer) *Lengths {
	return &Lengths{timer: t, estimator: btlength.New(btlength.Config{MinSamples: learned, Prior: prior})}
}

// Learn takes the length of a whole generation.
func (l *Lengths) Learn(route string, tokens int) {
	l.estimator.Add(l.timer.Now(), btlength.Key{Model: route}, tokens)
}

// Forecast returns the expected length. A hint of 0 means that there is none.
func (l *Lengths) Forecast(route string, hint, bound int) int {
	typical := float64(l.estimator.Residual(btlength.Key{Model: route}, 0, median))
	if hint > 0 && typical > 0 {
		typical = math.Exp(hintWeight*math.Log(float64(hint)) + (1-hintWeight)*math.Log(typical))
	}
	return min(int(typical), bound)
}

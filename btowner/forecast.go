package btowner

import (
	"math"

	"bramleytack/btlength"
)

// moments holds the mean and the variance of memory use, in tokens, over the
// intervals of a btlength.Curve.
type moments struct {
	mean     [btlength.Steps]float64
	variance [btlength.Steps]float64
}

// forecastOf returns the memory use of a generation that holds size tokens.
// All generations grow by one token a step, so intervals of tokens are
// intervals of time that line up between generations.
func forecastOf(size int, c *btlength.Curve) moments {
	var m moments
	for k := range btlength.Steps {
		alive := float64(c.Alive[k])
		if alive <= 0 {
			break
		}
		reach := float64(c.Reach[k]) / alive
		use := float64(size) + reach
		width := reach - float64(btlength.Horizon(k))
		m.mean[k] = use * alive
		// Bernoulli part for being alive, uniform part within the interval.
		m.variance[k] = use*use*alive*max(0, 1-alive) + alive*width*width/3
	}
	return m
}

func (m *moments) add(o *moments) {
	for k := range m.mean {
		m.mean[k] += o.mean[k]
		m.variance[k] += o.variance[k]
	}
}

// remove takes a part of the sum off. Rounding must not leave a negative sum.
func (m *moments) remove(o *moments) {
	for k := range m.mean {
		m.mean[k] = max(0, m.mean[k]-o.mean[k])
		m.variance[k] = max(0, m.variance[k]-o.variance[k])
	}
}

// peak returns the highest use over all intervals, z standard deviations above
// the mean, with more added to the sum.
func (m *moments) peak(more *moments, z float64) float64 {
	var top float64
	for k := range m.mean {
		use := m.mean[k] + more.mean[k]
		top = max(top, use+z*math.Sqrt(m.variance[k]+more.variance[k]))
	}
	return top
}

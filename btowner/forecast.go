package btowner

import (
	"math"

	"bramleytack/btlength"
)

// memoryForecast holds the mean and the variance of memory use, in tokens, for
// each interval of a btlength.Curve.
type memoryForecast struct {
	mean     [btlength.Intervals]float64
	variance [btlength.Intervals]float64
}

// forecastGeneration returns the memory use of a generation that holds size
// tokens now. All generations grow by one token per step, so the intervals of a
// curve, which count tokens, are the same intervals of time for all of them and
// the forecasts can be added.
func forecastGeneration(size int, c *btlength.Curve) memoryForecast {
	var m memoryForecast
	for k := range btlength.Intervals {
		alive := float64(c.Survival[k])
		if alive <= 0 {
			break
		}
		reach := float64(c.MeanTokens[k]) / alive
		use := float64(size) + reach
		width := reach - float64(btlength.IntervalStart(k))
		m.mean[k] = use * alive
		// The first term is the Bernoulli variance of still running, the second
		// the variance of a uniform distribution within the interval.
		m.variance[k] = use*use*alive*max(0, 1-alive) + alive*width*width/3
	}
	return m
}

func (m *memoryForecast) add(o *memoryForecast) {
	for k := range m.mean {
		m.mean[k] += o.mean[k]
		m.variance[k] += o.variance[k]
	}
}

// remove subtracts o, which was added before. Rounding errors must not leave a
// negative sum.
func (m *memoryForecast) remove(o *memoryForecast) {
	for k := range m.mean {
		m.mean[k] = max(0, m.mean[k]-o.mean[k])
		m.variance[k] = max(0, m.variance[k]-o.variance[k])
	}
}

// peak returns the highest memory use over all intervals, z standard deviations
// above the mean, of the sum of m and more.
func (m *memoryForecast) peak(more *memoryForecast, z float64) float64 {
	var top float64
	for k := range m.mean {
		use := m.mean[k] + more.mean[k]
		top = max(top, use+z*math.Sqrt(m.variance[k]+more.variance[k]))
	}
	return top
}

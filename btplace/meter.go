package btplace

import (
	"math"
	"time"

	"bramleytack"
)

// demandTimeConstant is the time constant of the exponential smoothing of rates.
const demandTimeConstant = time.Minute

// Meter estimates the demand and the capacity of models from load reports. The
// zero value has no data and is ready for use. A Meter is not safe for concurrent
// use.
type Meter struct {
	engines map[bramleytack.UpstreamID]*engineMeter
}

// engineMeter has the estimates of one engine.
type engineMeter struct {
	instance  bramleytack.InstanceID
	model     string
	figuresAt time.Time
	tokens    map[bramleytack.StreamID]int
	// generationRate is the smoothed rate of one generation, rate that of the
	// engine, both in tokens per second.
	generationRate float64
	rate           float64
	warmLimit      int
}

// Observe takes a load report of an engine that holds a model, with the time
// that its figures describe. The generations that two consecutive reports list
// give the rate of one generation. The engine's rate is this rate times the
// number of running and waiting generations, so that generations which only one
// report lists count too.
func (m *Meter) Observe(u *bramleytack.Upstream, model string, at time.Time, r *bramleytack.LoadReport) {
	if m.engines == nil {
		m.engines = map[bramleytack.UpstreamID]*engineMeter{}
	}
	e := m.engines[u.ID]
	if e == nil || e.instance != r.Instance || e.model != model {
		e = &engineMeter{instance: r.Instance, model: model, figuresAt: at}
		m.engines[u.ID] = e
	}
	e.warmLimit = u.WarmLimit
	elapsed := at.Sub(e.figuresAt)
	if elapsed > 0 {
		e.update(elapsed, r)
	}
	e.figuresAt = at
	e.tokens = map[bramleytack.StreamID]int{}
	for _, g := range r.Generations {
		e.tokens[g.Stream] = g.Tokens
	}
}

// update adds the figures of a report to the estimates, an elapsed time after the
// previous report.
func (e *engineMeter) update(elapsed time.Duration, r *bramleytack.LoadReport) {
	produced, n := 0, 0
	for _, g := range r.Generations {
		if before, ok := e.tokens[g.Stream]; ok && g.Tokens > before {
			produced += g.Tokens - before
			n++
		}
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	if n > 0 {
		rate := float64(produced) / float64(n) / elapsed.Seconds()
		if e.generationRate == 0 {
			e.generationRate = rate
		}
		e.generationRate += weight * (rate - e.generationRate)
	}
	e.rate += weight * (e.generationRate*float64(inFlight(r)) - e.rate)
}

// Retain discards the data of engines that are not listed.
func (m *Meter) Retain(engines []*bramleytack.Upstream) {
	known := make(map[bramleytack.UpstreamID]bool, len(engines))
	for _, u := range engines {
		known[u.ID] = true
	}
	for id := range m.engines {
		if !known[id] {
			delete(m.engines, id)
		}
	}
}

// Demand returns the smoothed tokens per second of each model.
func (m *Meter) Demand() map[string]float64 {
	demand := map[string]float64{}
	for _, e := range m.engines {
		demand[e.model] += e.rate
	}
	return demand
}

// Capacity returns an estimate of the tokens per second that one engine can
// produce for each model: the mean over the model's engines of the rate of one
// generation times the warm limit. It is too high while the engines run fewer
// generations, which decode faster. A model without a known rate is not listed.
func (m *Meter) Capacity() map[string]float64 {
	sum, n := map[string]float64{}, map[string]float64{}
	for _, e := range m.engines {
		if e.generationRate > 0 && e.warmLimit > 0 {
			sum[e.model] += e.generationRate * float64(e.warmLimit)
			n[e.model]++
		}
	}
	for model := range sum {
		sum[model] /= n[model]
	}
	return sum
}

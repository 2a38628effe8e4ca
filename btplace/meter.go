package btplace

import (
	"math"
	"time"

	"bramleytack"
)

// smoothing is the time constant of the demand.
const smoothing = time.Minute

// Meter estimates the demand and the capacity of models from load reports. The
// zero value has seen nothing. It is not safe for concurrent use.
type Meter struct {
	engines map[bramleytack.UpstreamID]*metered
}

// metered is what the Meter knows of one engine.
type metered struct {
	instance bramleytack.InstanceID
	model    string
	at       time.Time
	tokens   map[bramleytack.StreamID]int
	// stream is the smoothed rate of one generation, rate that of the engine.
	stream float64
	rate   float64
	limit  int
}

// Report takes a load report of an engine that holds a model, with the time
// that its figures describe. The generations that appear in two reports give
// the rate of one generation; it counts for all that run and wait, so that a
// generation that comes and goes between two reports is not lost.
func (m *Meter) Report(u *bramleytack.Upstream, model string, at time.Time, r *bramleytack.LoadReport) {
	if m.engines == nil {
		m.engines = map[bramleytack.UpstreamID]*metered{}
	}
	e := m.engines[u.ID]
	if e == nil || e.instance != r.Instance || e.model != model {
		e = &metered{instance: r.Instance, model: model, at: at}
		m.engines[u.ID] = e
	}
	e.limit = u.WarmLimit
	d := at.Sub(e.at)
	if d > 0 {
		e.update(d, r)
	}
	e.at = at
	e.tokens = map[bramleytack.StreamID]int{}
	for _, g := range r.Generations {
		e.tokens[g.Stream] = g.Tokens
	}
}

func (e *metered) update(d time.Duration, r *bramleytack.LoadReport) {
	produced, n := 0, 0
	for _, g := range r.Generations {
		if before, ok := e.tokens[g.Stream]; ok && g.Tokens > before {
			produced += g.Tokens - before
			n++
		}
	}
	weight := 1 - math.Exp(-d.Seconds()/smoothing.Seconds())
	if n > 0 {
		stream := float64(produced) / float64(n) / d.Seconds()
		if e.stream == 0 {
			e.stream = stream
		}
		e.stream += weight * (stream - e.stream)
	}
	e.rate += weight * (e.stream*float64(inFlight(r)) - e.rate)
}

// Retain forgets the engines that are not listed.
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
	d := map[string]float64{}
	for _, e := range m.engines {
		d[e.model] += e.rate
	}
	return d
}

// Capacity returns the tokens per second that one engine gives to a model: the
// mean over its engines of the rate of a generation at the warm limit. It is an
// upper bound while the engines run below that limit.
func (m *Meter) Capacity() map[string]float64 {
	sum, n := map[string]float64{}, map[string]float64{}
	for _, e := range m.engines {
		if e.stream > 0 && e.limit > 0 {
			sum[e.model] += e.stream * float64(e.limit)
			n[e.model]++
		}
	}
	for model := range sum {
		sum[model] /= n[model]
	}
	return sum
}

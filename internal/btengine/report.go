package btengine

import (
	"slices"
	"time"

	"bramleytack"
)

// Report returns the load report that the engine sends now. It describes the
// engine as it was before the lag, unless the engine is younger than the lag.
func (c *Core) Report(now time.Time) bramleytack.LoadReport {
	c.advance(now)
	r := c.shown(now)
	r.Age = max(now.Sub(r.At), 0)
	return r
}

func (c *Core) shown(now time.Time) bramleytack.LoadReport {
	if c.stale != nil {
		return *c.stale
	}
	lag := c.lag()
	if lag <= 0 {
		return c.report(now)
	}
	by := now.Add(-lag)
	r, _, _ := c.samples.Latest(by)
	if at := by.Truncate(c.cfg.ReportEvery); at.After(r.At) {
		r.At = at
	}
	return r
}

func (c *Core) lag() time.Duration { return c.cfg.ReportLag + c.condition.ReportLag }

// sample records the state for reports with a lag. The state is constant
// between two changes, and each change calls sample first. The state therefore
// holds from the first whole multiple of ReportEvery after the last sample.
func (c *Core) sample(now time.Time) {
	at := now.Truncate(c.cfg.ReportEvery)
	if c.dead || !at.After(c.sampledAt) {
		return
	}
	first := c.sampledAt.Add(c.cfg.ReportEvery).Truncate(c.cfg.ReportEvery)
	c.sampledAt = at
	if c.lag() <= 0 {
		return
	}
	c.samples.Add(first, c.report(first))
	c.samples.Latest(at.Add(-c.lag()))
}

// report describes the current state.
func (c *Core) report(at time.Time) bramleytack.LoadReport {
	r := bramleytack.LoadReport{
		Instance:    c.instance,
		At:          at,
		Running:     len(c.running),
		Waiting:     len(c.waiting),
		MemoryUsed:  c.used,
		MemoryTotal: c.memoryTotal(),
		Preemptions: c.preempted,
		Fence:       c.fence,
		Role:        c.role,
		Leaving:     c.condition.Leaving,
		Models:      slices.Clone(c.models),
	}
	r.Generations = make([]bramleytack.GenerationState, 0, c.InFlight())
	for _, list := range [...][]*generation{c.running, c.waiting} {
		for _, g := range list {
			r.Generations = append(r.Generations, bramleytack.GenerationState{Stream: g.Stream, Request: g.Request, Tokens: g.Tokens})
		}
	}
	return r
}

// memoryTotal returns the key-value memory that the engine has now.
func (c *Core) memoryTotal() int {
	if l := c.condition.MemoryLimit; l > 0 {
		return min(l, c.cfg.MemoryTokens)
	}
	return c.cfg.MemoryTokens
}

package btengine

import (
	"slices"
	"strconv"
	"time"

	"bramleytack"
)

// loading is a model, version or adapter that is being loaded.
type loading struct {
	bramleytack.LoadedModel
	ready time.Time
}

func streamID(instance bramleytack.InstanceID, n uint64) bramleytack.StreamID {
	return bramleytack.StreamID(string(instance) + "-" + strconv.FormatUint(n, 10))
}

// find returns the model that serves a request. A request without a version
// gets the version that was loaded last; a loaded adapter implies its model.
func (c *Core) find(r bramleytack.GenerationRequest) (bramleytack.LoadedModel, bool) {
	for _, m := range slices.Backward(c.models) {
		if m.Model != r.Model || (r.Version != "" && m.Version != r.Version) {
			continue
		}
		if r.Adapter == "" || r.Adapter == m.Adapter {
			m.Adapter = r.Adapter
			return m, true
		}
	}
	return bramleytack.LoadedModel{}, false
}

// Order carries out an order or returns a Refusal. A load takes effect later.
func (c *Core) Order(now time.Time, o bramleytack.Command) error {
	c.advance(now)
	if c.dead {
		return Refusal{Reason: ReasonDead}
	}
	if reason := c.checkFence(o.Fence); reason != ReasonNone {
		return Refusal{Reason: reason}
	}
	m := bramleytack.LoadedModel{Model: o.Model, Version: o.Version, Adapter: o.Adapter}
	if reason := c.carryOut(now, o, m); reason != ReasonNone {
		return Refusal{Reason: reason}
	}
	return nil
}

func (c *Core) checkFence(f bramleytack.Fence) Reason {
	if !c.cfg.ChecksFence {
		return ReasonNone
	}
	if f < c.fence {
		return ReasonOldFence
	}
	c.fence = f
	return ReasonNone
}

func (c *Core) carryOut(now time.Time, o bramleytack.Command, m bramleytack.LoadedModel) Reason {
	if o.Kind != bramleytack.CommandRole && (m.Model == "" || m.Version == "") {
		return ReasonInvalid
	}
	switch o.Kind {
	case bramleytack.CommandLoad:
		return c.load(now, m)
	case bramleytack.CommandUnload:
		c.models = slices.DeleteFunc(c.models, func(h bramleytack.LoadedModel) bool { return h == m })
		c.loading = slices.DeleteFunc(c.loading, func(l loading) bool { return l.LoadedModel == m })
	case bramleytack.CommandRole:
		c.role = o.Role
	default:
		return ReasonInvalid
	}
	return ReasonNone
}

// load queues a load. Loads run one after the other, since they read the same
// weight store.
func (c *Core) load(now time.Time, m bramleytack.LoadedModel) Reason {
	loads := func(l loading) bool { return l.LoadedModel == m }
	if slices.Contains(c.models, m) || slices.ContainsFunc(c.loading, loads) {
		return ReasonNone
	}
	if c.cfg.MaxModels > 0 && len(c.models)+len(c.loading) >= c.cfg.MaxModels {
		return ReasonNoRoom
	}
	start := now
	if n := len(c.loading); n > 0 {
		start = c.loading[n-1].ready
	}
	c.loading = append(c.loading, loading{LoadedModel: m, ready: start.Add(c.loadTime(m))})
	return ReasonNone
}

func (c *Core) loadTime(m bramleytack.LoadedModel) time.Duration {
	if m.Adapter == "" {
		return c.cfg.LoadTime
	}
	held := func(h bramleytack.LoadedModel) bool { return h.Model == m.Model && h.Version == m.Version }
	loads := func(l loading) bool { return held(l.LoadedModel) }
	if slices.ContainsFunc(c.models, held) || slices.ContainsFunc(c.loading, loads) {
		return c.cfg.AdapterTime
	}
	return c.cfg.LoadTime + c.cfg.AdapterTime
}

func (c *Core) finishLoads(now time.Time) {
	for len(c.loading) > 0 && !c.loading[0].ready.After(now) {
		c.models = append(c.models, c.loading[0].LoadedModel)
		c.loading = slices.Delete(c.loading, 0, 1)
		c.emit(Event{Kind: EventLoaded, At: now})
	}
}

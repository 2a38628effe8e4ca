package btengine

import (
	"slices"
	"time"

	"bramleytack"
)

// Submit accepts a generation or returns a Refusal. A request that overloads a
// cold engine kills it and returns ReasonDead.
func (c *Core) Submit(now time.Time, r bramleytack.GenerationRequest) (bramleytack.StreamID, error) {
	c.advance(now)
	m, reason := c.check(r)
	if reason != ReasonNone {
		c.stats.Refused++
		return "", Refusal{Reason: reason}
	}
	g := c.newGeneration(r, m)
	c.byID[g.Stream] = g
	c.waiting.add(g)
	c.countAccepted()
	if c.overloadedCold(now) {
		c.stats.ColdDeaths++
		c.die(now)
		return "", Refusal{Reason: ReasonDead}
	}
	c.beginStep(now)
	return g.Stream, nil
}

func (c *Core) check(r bramleytack.GenerationRequest) (bramleytack.LoadedModel, Reason) {
	if c.dead {
		return bramleytack.LoadedModel{}, ReasonDead
	}
	m, ok := c.find(r)
	if !ok {
		return m, ReasonUnknownModel
	}
	if PromptTokens(r.Prompt)+1 > c.memoryTotal() {
		return m, ReasonTooLarge
	}
	if c.cfg.MaxWaiting > 0 && len(c.waiting) >= c.cfg.MaxWaiting {
		return m, ReasonQueueFull
	}
	return m, ReasonNone
}

func (c *Core) countAccepted() {
	c.stats.Accepted++
	c.stats.PeakInFlight = max(c.stats.PeakInFlight, c.InFlight())
	if c.condition.Leaving {
		c.stats.AcceptedLeaving++
	}
}

func (c *Core) overloadedCold(now time.Time) bool {
	return c.cold && c.InFlight() > c.cfg.ColdLimit && !now.Before(c.coldFrom)
}

func (c *Core) newGeneration(r bramleytack.GenerationRequest, m bramleytack.LoadedModel) *generation {
	c.nextID++
	priority, _ := bramleytack.ParsePriority(r.Priority)
	d := ParseDirectives(r.Prompt)
	g := &generation{
		Progress: Progress{
			Stream:       streamID(c.instance, c.nextID),
			Request:      r.ID,
			PromptTokens: PromptTokens(r.Prompt),
			seed:         textSeed(r.ID, r.Prompt),
			announce:     d.Announce,
		},
		model:    m,
		priority: priority,
		arrival:  c.nextID,
		length:   d.Tokens,
		reason:   FinishStop,
		crash:    d.Crash,
		crashAt:  d.CrashAfter,
	}
	if c.cfg.CacheTokens > 0 {
		g.prefixes = Prefixes(m, r.Prompt, c.cfg.BlockTokens)
	}
	if g.length == 0 {
		g.length = c.cfg.Lengths.Draw(c.cfg.Seed, r.Prompt)
	}
	if r.MaxTokens > 0 && g.length >= r.MaxTokens {
		g.length, g.reason = r.MaxTokens, FinishLength
	}
	return g
}

// Cancel ends a generation. It returns false if the engine does not know it.
func (c *Core) Cancel(now time.Time, id bramleytack.StreamID) bool {
	c.advance(now)
	g, ok := c.byID[id]
	if !ok {
		return false
	}
	if g.Finish != FinishNone {
		return true
	}
	if g.running {
		c.running = slices.DeleteFunc(c.running, func(o *generation) bool { return o == g })
	} else {
		c.waiting.remove(g)
	}
	c.finish(now, g, FinishCanceled)
	c.beginStep(now)
	return true
}

// beginStep fills the batch and starts a step unless one is in progress.
func (c *Core) beginStep(now time.Time) {
	if c.dead || c.stepping {
		return
	}
	c.admit(now)
	c.makeRoom(now)
	if len(c.running) == 0 {
		return
	}
	prefill := c.plan()
	c.stepping = true
	d := c.stepTime(len(c.running), prefill)
	c.stepEnd = now.Add(d)
	c.stats.Busy += d
}

func (c *Core) stepTime(batch, prefill int) time.Duration {
	d := c.cfg.StepBase + time.Duration(batch)*c.cfg.StepPerSequence + time.Duration(prefill)*c.cfg.StepPerPrefill
	if c.cold {
		d = time.Duration(float64(d) * c.cfg.ColdFactor)
	}
	return d
}

// admit moves generations from the queue into the batch while their prompts
// and one more token of each generation fit into memory.
func (c *Core) admit(now time.Time) {
	for len(c.waiting) > 0 && len(c.running) < c.cfg.MaxBatch {
		g := c.waiting[0]
		size := g.PromptTokens + g.Tokens
		fits := c.used+size+len(c.running)+1 <= c.memoryTotal()
		if !fits && len(c.running) > 0 {
			return
		}
		c.waiting.remove(g)
		if !fits {
			// The generation is larger than the whole memory.
			c.finish(now, g, FinishLength)
			continue
		}
		c.start(now, g, size)
	}
}

func (c *Core) start(now time.Time, g *generation, size int) {
	cached := min(c.cache.match(g.prefixes)*c.cfg.BlockTokens, size-1)
	cached = max(cached, 0)
	g.held, g.prefill, g.running = size, max(size-cached, 1), true
	c.used += size
	c.stats.CachedTokens += cached
	if g.Tokens > 0 {
		c.stats.Recomputed += g.prefill
	}
	c.running = append(c.running, g)
	c.emit(Event{Kind: EventStarted, At: now, Stream: g.Stream, Request: g.Request, Tokens: g.Tokens})
}

// makeRoom preempts generations until each one left can grow by one token.
func (c *Core) makeRoom(now time.Time) {
	for len(c.running) > 0 && c.used+len(c.running) > c.memoryTotal() {
		i := c.victim()
		g := c.running[i]
		c.running = slices.Delete(c.running, i, i+1)
		if len(c.running) == 0 {
			c.finish(now, g, FinishLength)
			c.admit(now)
			continue
		}
		c.preempt(now, g)
	}
}

// victim returns the index of the newest generation of the lowest priority.
func (c *Core) victim() int {
	v := 0
	for i, g := range c.running {
		if c.running[v].before(g) {
			v = i
		}
	}
	return v
}

func (c *Core) preempt(now time.Time, g *generation) {
	c.release(g)
	c.stats.Preemptions++
	c.preempted++
	c.waiting.add(g)
	c.emit(Event{Kind: EventPreempted, At: now, Stream: g.Stream, Request: g.Request, Tokens: g.Tokens})
}

func (c *Core) release(g *generation) {
	c.used -= g.held
	g.held, g.prefill, g.chunk = 0, 0, 0
	g.running, g.inStep = false, false
}

// plan chooses the prompt tokens that the step processes and returns their number.
func (c *Core) plan() int {
	left := c.cfg.PrefillChunk
	for _, g := range c.running {
		g.inStep = true
		g.chunk = min(g.prefill, left)
		left -= g.chunk
	}
	return c.cfg.PrefillChunk - left
}

// endStep adds the tokens that the step computed.
func (c *Core) endStep(now time.Time) {
	c.stepping = false
	kept := c.running[:0]
	for _, g := range c.running {
		if g.inStep && !c.compute(now, g) {
			return
		}
		if g.Finish == FinishNone {
			kept = append(kept, g)
		}
	}
	clear(c.running[len(kept):])
	c.running = kept
}

// compute carries out one step of a generation. It returns false if the
// generation killed the engine.
func (c *Core) compute(now time.Time, g *generation) bool {
	g.inStep = false
	if g.prefill > 0 {
		g.prefill -= g.chunk
		c.stats.PrefillTokens += g.chunk
		if g.prefill > 0 {
			return true
		}
		c.cache.insert(now, g.prefixes)
	}
	if g.crash && g.crashAt == g.Tokens {
		c.die(now)
		return false
	}
	c.decode(now, g)
	return true
}

func (c *Core) decode(now time.Time, g *generation) {
	g.Tokens++
	g.held++
	c.used++
	c.stats.Tokens++
	c.emit(Event{
		Kind: EventToken, At: now, Stream: g.Stream, Request: g.Request,
		Index: g.Tokens - 1, Tokens: g.Tokens,
	})
	if g.Tokens >= g.length {
		c.finish(now, g, g.reason)
	}
}

// finish ends a generation that is in neither the queue nor, after the current
// step, the batch.
func (c *Core) finish(now time.Time, g *generation, reason FinishReason) {
	c.release(g)
	g.Finish = reason
	g.prefixes = nil
	g.expires = now.Add(c.cfg.Retention)
	c.finished = append(c.finished, g)
	c.emit(Event{Kind: EventDone, At: now, Stream: g.Stream, Request: g.Request, Tokens: g.Tokens})
	if reason == FinishCanceled {
		c.stats.Canceled++
		return
	}
	c.stats.Completed++
	c.warm(now)
}

func (c *Core) warm(now time.Time) {
	if !c.cold {
		return
	}
	c.warmed++
	if c.warmed >= c.cfg.WarmAfter {
		c.cold = false
		c.emit(Event{Kind: EventWarm, At: now})
	}
}

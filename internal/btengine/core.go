package btengine

import (
	"math/rand/v2"
	"strconv"
	"time"

	"bramleytack"
	"bramleytack/internal/btfault"
	"bramleytack/internal/btlag"
)

// Stats counts what an engine did since it was made, over all its instances.
type Stats struct {
	Accepted  int `json:"accepted"`
	Refused   int `json:"refused"`
	Completed int `json:"completed"`
	Canceled  int `json:"canceled"`
	Tokens    int `json:"tokens"`
	// Preemptions counts generations that lost their memory, Recomputed the
	// tokens that were computed again for them.
	Preemptions int `json:"preemptions"`
	Recomputed  int `json:"recomputed"`
	// PrefillTokens counts prompt tokens computed, CachedTokens those taken
	// from the prefix cache.
	PrefillTokens int `json:"prefillTokens"`
	CachedTokens  int `json:"cachedTokens"`
	// AcceptedLeaving counts generations accepted while the engine was leaving.
	AcceptedLeaving int `json:"acceptedLeaving"`
	// PeakInFlight is the largest number of accepted and unfinished generations.
	PeakInFlight int           `json:"peakInFlight"`
	Deaths       int           `json:"deaths"`
	ColdDeaths   int           `json:"coldDeaths"`
	Busy         time.Duration `json:"busy"`
}

// Core is the state of a simulated engine. It is not safe for concurrent use.
// The times given to its methods must not decrease.
type Core struct {
	cfg       Config
	rng       *rand.Rand
	instance  bramleytack.InstanceID
	instances int
	stats     Stats
	condition btfault.Condition

	dead bool
	cold bool
	// coldFrom is when the cold limit starts to be enforced.
	coldFrom  time.Time
	warmed    int
	fence     bramleytack.Fence
	role      string
	models    []bramleytack.LoadedModel
	loading   []loading
	nextID    uint64
	byID      map[bramleytack.StreamID]*generation
	running   []*generation
	waiting   queue
	finished  []*generation
	used      int
	preempted int
	cache     *prefixCache

	stepping bool
	stepEnd  time.Time

	samples   btlag.Buffer[bramleytack.LoadReport]
	sampledAt time.Time
	stale     *bramleytack.LoadReport

	// events collects the events since the last Step, spare is the slice that
	// the last Step returned.
	events []Event
	spare  []Event
}

// NewCore returns an engine that starts now.
func NewCore(cfg Config, now time.Time) *Core {
	cfg = cfg.normalized()
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
	c.boot(now)
	return c
}

// Restart starts the engine again as a new instance without any state.
func (c *Core) Restart(now time.Time) {
	c.advance(now)
	if !c.dead {
		c.die(now)
	}
	c.boot(now)
}

func (c *Core) boot(now time.Time) {
	c.instances++
	c.instance = c.cfg.Instance + bramleytack.InstanceID("."+strconv.Itoa(c.instances))
	c.dead = false
	c.cold, c.coldFrom, c.warmed = c.cfg.ColdLimit > 0, now, 0
	c.fence, c.role = 0, ""
	c.models = append([]bramleytack.LoadedModel(nil), c.cfg.Models...)
	c.byID = map[bramleytack.StreamID]*generation{}
	c.cache = newPrefixCache(c.cfg, c.rng)
	c.preempted = 0
	c.stale = nil
	c.samples.Clear()
	c.samples.Add(now, c.report(now))
	c.sampledAt = now
}

// Crash ends the engine. It stays dead until Restart.
func (c *Core) Crash(now time.Time) {
	c.advance(now)
	if !c.dead {
		c.die(now)
	}
}

// die loses all state.
func (c *Core) die(now time.Time) {
	c.dead, c.stepping = true, false
	c.stats.Deaths++
	c.running, c.waiting, c.finished, c.loading = nil, nil, nil, nil
	c.byID = nil
	c.used = 0
	c.emit(Event{Kind: EventDied, At: now})
}

// BecomeCold makes the engine cold without a new instance.
func (c *Core) BecomeCold(now time.Time) {
	c.advance(now)
	c.cold, c.warmed = c.cfg.ColdLimit > 0, 0
	c.coldFrom = now.Add(c.cfg.ColdGrace)
}

// SetCondition replaces the faulty condition.
func (c *Core) SetCondition(now time.Time, cond btfault.Condition) {
	c.advance(now)
	c.stale = nil
	if cond.StaleReports && !c.dead {
		r := c.Report(now)
		c.stale = &r
	}
	c.condition = cond
}

// Instance returns the id of the current instance.
func (c *Core) Instance() bramleytack.InstanceID { return c.instance }

// Dead says whether the engine has died.
func (c *Core) Dead() bool { return c.dead }

// Cold says whether the engine is cold.
func (c *Core) Cold() bool { return c.cold }

// Stats returns the counts so far.
func (c *Core) Stats() Stats { return c.stats }

// InFlight returns the number of accepted and unfinished generations.
func (c *Core) InFlight() int { return len(c.running) + len(c.waiting) }

// Running returns the number of generations in the batch.
func (c *Core) Running() int { return len(c.running) }

// MemoryUsed returns the key-value memory that is held, in tokens.
func (c *Core) MemoryUsed() int { return c.used }

// Next returns the time of the next change that needs no call. It returns
// false when the engine is idle.
func (c *Core) Next() (time.Time, bool) {
	var t time.Time
	ok := c.stepping
	if ok {
		t = c.stepEnd
	}
	if len(c.loading) > 0 && (!ok || c.loading[0].ready.Before(t)) {
		return c.loading[0].ready, true
	}
	return t, ok
}

// Step advances the engine to now and returns the events since the last call
// in the order of their times. The slice is valid until the next call.
func (c *Core) Step(now time.Time) []Event {
	c.advance(now)
	events := c.events
	c.events = c.spare[:0]
	c.spare = events
	return events
}

func (c *Core) advance(now time.Time) {
	for {
		t, ok := c.Next()
		if !ok || t.After(now) {
			break
		}
		c.sample(t)
		c.finishLoads(t)
		if c.stepping && !c.stepEnd.After(t) {
			c.endStep(t)
			c.beginStep(t)
		}
	}
	c.sample(now)
	c.expire(now)
}

func (c *Core) emit(e Event) { c.events = append(c.events, e) }

// expire forgets finished generations whose retention is over.
func (c *Core) expire(now time.Time) {
	n := 0
	for n < len(c.finished) && now.After(c.finished[n].expires) {
		delete(c.byID, c.finished[n].Stream)
		n++
	}
	if n > 0 {
		c.finished = append(c.finished[:0], c.finished[n:]...)
	}
}

// Generation returns a generation that runs, waits or is retained.
func (c *Core) Generation(now time.Time, id bramleytack.StreamID) (Progress, bool) {
	c.advance(now)
	g, ok := c.byID[id]
	if !ok {
		return Progress{}, false
	}
	return g.Progress, true
}

// CacheEvents returns the published cache events after a sequence number.
func (c *Core) CacheEvents(now time.Time, after uint64) []bramleytack.CacheEvent {
	c.advance(now)
	return c.cache.published(now, after)
}

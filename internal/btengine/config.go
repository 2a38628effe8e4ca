package btengine

import (
	"time"

	"bramleytack"
)

// Config describes a simulated engine.
type Config struct {
	Instance bramleytack.InstanceID
	// Seed determines output lengths and lost cache events.
	Seed uint64

	// MemoryTokens is the size of the key-value memory.
	MemoryTokens int
	// MaxBatch bounds the generations that decode at a time.
	MaxBatch int
	// MaxWaiting bounds the queue. A request beyond it is refused.
	MaxWaiting int
	// PrefillChunk bounds the prompt tokens processed in one step.
	PrefillChunk int
	// A step takes StepBase, plus StepPerSequence for each generation in the
	// batch, plus StepPerPrefill for each prompt token processed.
	StepBase        time.Duration
	StepPerSequence time.Duration
	StepPerPrefill  time.Duration
	// Lengths is the distribution of output lengths.
	Lengths Lengths

	// Models are held from the start.
	Models []bramleytack.LoadedModel
	// MaxModels bounds the models, versions and adapters held. Zero sets no bound.
	MaxModels int
	// LoadTime is the time to load a model version, AdapterTime an adapter.
	LoadTime    time.Duration
	AdapterTime time.Duration

	// ColdLimit is the number of generations that a cold engine survives. Zero
	// makes an engine that is never cold.
	ColdLimit int
	// ColdFactor multiplies the step time of a cold engine.
	ColdFactor float64
	// WarmAfter is the number of completed generations that warm an engine.
	WarmAfter int
	// ColdGrace is the time after an unannounced switch to cold during which
	// the cold limit is not enforced, so that callers can notice the switch.
	ColdGrace time.Duration

	// CacheTokens is the size of the prefix cache, in blocks of BlockTokens.
	CacheTokens int
	BlockTokens int
	// CacheEventDelay is the time until a cache event is published.
	CacheEventDelay time.Duration
	// CacheEventLoss is the share of cache events that are never published.
	CacheEventLoss float64

	// ReportLag is the age of load reports, ReportEvery the time between the
	// states that reports with a lag are taken from.
	ReportLag   time.Duration
	ReportEvery time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// Retention is how long a finished generation can be resumed.
	Retention time.Duration
}

// DefaultConfig returns an engine of middle size without a cold start.
func DefaultConfig() Config {
	return Config{
		Instance:        "engine",
		Seed:            1,
		MemoryTokens:    32768,
		MaxBatch:        32,
		MaxWaiting:      64,
		PrefillChunk:    2048,
		StepBase:        8 * time.Millisecond,
		StepPerSequence: 300 * time.Microsecond,
		StepPerPrefill:  20 * time.Microsecond,
		Lengths:         Lengths{Median: 120, Sigma: 1.2, Max: 16384},
		LoadTime:        5 * time.Second,
		AdapterTime:     500 * time.Millisecond,
		ColdFactor:      4,
		WarmAfter:       20,
		CacheTokens:     16384,
		BlockTokens:     64,
		CacheEventDelay: 200 * time.Millisecond,
		ReportLag:       250 * time.Millisecond,
		ReportEvery:     50 * time.Millisecond,
		Retention:       time.Minute,
	}
}

// normalized returns the configuration with the least values that work.
func (c Config) normalized() Config {
	c.MaxBatch = max(c.MaxBatch, 1)
	c.PrefillChunk = max(c.PrefillChunk, 1)
	c.BlockTokens = max(c.BlockTokens, 1)
	c.MemoryTokens = max(c.MemoryTokens, 1)
	c.StepBase = max(c.StepBase, time.Microsecond)
	c.ReportEvery = max(c.ReportEvery, time.Millisecond)
	if c.ColdFactor < 1 {
		c.ColdFactor = 1
	}
	return c
}

package btengine

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/btfault"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	model = bramleytack.LoadedModel{Model: "m", Version: "1"}
)

// testConfig has steps of 10 ms and no lag.
func testConfig() Config {
	c := DefaultConfig()
	c.Models = []bramleytack.LoadedModel{model}
	c.StepBase, c.StepPerSequence, c.StepPerPrefill = 10*time.Millisecond, 0, 0
	c.ReportLag, c.CacheEventDelay = 0, 0
	return c
}

func request(id, prompt string) bramleytack.GenerationRequest {
	return bramleytack.GenerationRequest{ID: bramleytack.RequestID(id), Model: model.Model, Prompt: prompt}
}

func submit(t *testing.T, c *Core, now time.Time, r bramleytack.GenerationRequest) bramleytack.StreamID {
	t.Helper()
	id, err := c.Submit(now, r)
	assert.NilError(t, err)
	return id
}

func assertRefused(t *testing.T, err error, want Reason) {
	t.Helper()
	var r Refusal
	assert.Assert(t, errors.As(err, &r), "error %v", err)
	assert.Equal(t, r.Reason, want)
}

// drain steps the core until it is idle and returns copies of its events.
func drain(c *Core, each func(Event)) time.Time {
	last := start
	for now, ok := c.Next(); ok; now, ok = c.Next() {
		last = now
		for _, e := range c.Step(now) {
			each(e)
		}
	}
	return last
}

func ignore(Event) {}

// Guards against lost or repeated tokens, memory that is miscounted and
// generations that never end, under memory pressure, cancellation and a
// changing memory limit.
func TestCoreInvariants(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := NewCore(pressureConfig(seed), start)
			h := &history{tokens: map[bramleytack.StreamID]int{}, done: map[bramleytack.StreamID]bool{}}
			rng := rand.New(rand.NewPCG(seed, 1))
			now := start
			var ids []bramleytack.StreamID
			for i := range 200 {
				now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
				ids = append(ids, submit(t, c, now, randomRequest(rng, i)))
				if rng.IntN(10) == 0 {
					assert.Assert(t, c.Cancel(now, ids[rng.IntN(len(ids))]))
				}
				if rng.IntN(20) == 0 {
					c.SetCondition(now, btfault.Condition{MemoryLimit: 150 + rng.IntN(200)})
				}
				h.add(t, c.Step(now))
				assertMemory(t, c)
			}
			for next, ok := c.Next(); ok; next, ok = c.Next() {
				h.add(t, c.Step(next))
				assertMemory(t, c)
			}
			assert.Equal(t, len(h.done), len(ids))
			assert.Equal(t, c.MemoryUsed(), 0)
			s := c.Stats()
			assert.Assert(t, s.Preemptions > 0, "the workload must cause preemptions")
			assert.Equal(t, s.Completed+s.Canceled, s.Accepted)
		})
	}
}

func pressureConfig(seed uint64) Config {
	cfg := testConfig()
	cfg.Seed = seed
	cfg.MemoryTokens, cfg.MaxWaiting, cfg.MaxBatch, cfg.PrefillChunk = 400, 0, 8, 32
	cfg.CacheTokens, cfg.BlockTokens = 64, 4
	cfg.Lengths = Lengths{Median: 30, Sigma: 1, Max: 350}
	cfg.Retention = time.Hour
	return cfg
}

func randomRequest(rng *rand.Rand, i int) bramleytack.GenerationRequest {
	r := request(fmt.Sprint("r", i), strings.Repeat("p", rng.IntN(200))+fmt.Sprint(rng.IntN(50)))
	r.Priority = bramleytack.Priority(rng.IntN(bramleytack.Priorities)).String()
	r.MaxTokens = 1 + rng.IntN(300)
	return r
}

// history checks the events of one engine.
type history struct {
	tokens map[bramleytack.StreamID]int
	done   map[bramleytack.StreamID]bool
	last   time.Time
}

func (h *history) add(t *testing.T, events []Event) {
	t.Helper()
	for _, e := range events {
		assert.Assert(t, !e.At.Before(h.last), "times decrease")
		h.last = e.At
		switch e.Kind {
		case EventToken:
			assert.Assert(t, !h.done[e.Stream], "token after the end")
			assert.Equal(t, e.Index, h.tokens[e.Stream])
			h.tokens[e.Stream]++
		case EventDone:
			assert.Assert(t, !h.done[e.Stream], "second end")
			assert.Equal(t, e.Tokens, h.tokens[e.Stream])
			h.done[e.Stream] = true
		default:
		}
	}
}

func assertMemory(t *testing.T, c *Core) {
	t.Helper()
	held := 0
	for _, g := range c.running {
		held += g.held
		assert.Assert(t, g.held >= g.PromptTokens+g.Tokens)
	}
	assert.Equal(t, c.MemoryUsed(), held)
	assert.Assert(t, held <= c.cfg.MemoryTokens, "memory is exceeded")
}

// Guards against a model of memory in which the wrong generation is preempted
// or a preemption has no visible cost.
func TestPreemption(t *testing.T) {
	cfg := testConfig()
	cfg.MemoryTokens, cfg.CacheTokens = 100, 0
	c := NewCore(cfg, start)
	names := map[bramleytack.StreamID]string{}
	for _, r := range []struct{ name, priority string }{
		{"old batch", "batch"}, {"new batch", "batch"}, {"interactive", "interactive"},
	} {
		q := request(r.name, "[[tokens=60]]")
		q.Priority = r.priority
		names[submit(t, c, start, q)] = r.name
	}
	var preempted []string
	longest := map[string]time.Duration{}
	last := map[string]time.Time{}
	drain(c, func(e Event) {
		name := names[e.Stream]
		switch e.Kind {
		case EventPreempted:
			preempted = append(preempted, name)
		case EventToken:
			if e.Index > 0 {
				longest[name] = max(longest[name], e.At.Sub(last[name]))
			}
			last[name] = e.At
		default:
		}
	})
	assert.Equal(t, preempted[0], "new batch")
	assert.Equal(t, longest["interactive"], 10*time.Millisecond)
	assert.Assert(t, longest["new batch"] > 100*time.Millisecond, "stall %v", longest["new batch"])
	s := c.Stats()
	assert.Equal(t, s.Preemptions, len(preempted))
	assert.Equal(t, c.Report(last["new batch"]).Preemptions, len(preempted))
	assert.Assert(t, s.Recomputed > 0)
}

// Guards against a step time that ignores batch size, prompt tokens or cold.
func TestStepTime(t *testing.T) {
	cfg := testConfig()
	cfg.StepPerSequence, cfg.StepPerPrefill, cfg.PrefillChunk = time.Millisecond, 100*time.Microsecond, 100
	cfg.ColdLimit, cfg.ColdFactor = 10, 3
	c := NewCore(cfg, start)
	c.cold = false
	assert.Equal(t, c.stepTime(2, 30), 15*time.Millisecond)
	c.cold = true
	assert.Equal(t, c.stepTime(2, 30), 45*time.Millisecond)
	// 250 prompt tokens need three steps before the first token.
	c.cold = false
	submit(t, c, start, request("r", "[[tokens=1]]"+strings.Repeat("x", 988)))
	assert.Equal(t, drain(c, ignore), start.Add(3*11*time.Millisecond+25*time.Millisecond))
}

// Guards against a cold engine that survives overload or never warms up.
func TestCold(t *testing.T) {
	cfg := testConfig()
	cfg.ColdLimit, cfg.WarmAfter, cfg.ColdGrace = 2, 3, time.Second
	fill := func(t *testing.T, c *Core, now time.Time, n int) (err error) {
		t.Helper()
		for i := range n {
			_, err = c.Submit(now, request(fmt.Sprint(i), "[[tokens=5]]"))
		}
		return err
	}
	t.Run("dies over its limit", func(t *testing.T) {
		c := NewCore(cfg, start)
		assert.NilError(t, fill(t, c, start, 2))
		assertRefused(t, fill(t, c, start, 1), ReasonDead)
		assert.Assert(t, c.Dead())
		assert.Equal(t, c.Stats().ColdDeaths, 1)
		before := c.Instance()
		c.Restart(start)
		assert.Assert(t, c.Instance() != before)
		assert.Assert(t, c.Cold())
		assert.NilError(t, fill(t, c, start, 2))
	})
	t.Run("warms after completed generations", func(t *testing.T) {
		c := NewCore(cfg, start)
		now := start
		for range 3 {
			assert.Assert(t, c.Cold())
			assert.NilError(t, fill(t, c, now, 1))
			now = drain(c, ignore)
		}
		assert.Assert(t, !c.Cold())
		assert.NilError(t, fill(t, c, now, 10))
	})
	t.Run("an unannounced switch keeps the instance and grants a short grace", func(t *testing.T) {
		cfg := cfg
		cfg.WarmAfter = 50
		c := NewCore(cfg, start)
		c.cold = false
		before := c.Instance()
		c.BecomeCold(start)
		assert.NilError(t, fill(t, c, start, 5))
		assert.Equal(t, c.Instance(), before)
		now := start.Add(time.Second)
		assert.NilError(t, fill(t, c, now, 2))
		assertRefused(t, fill(t, c, now, 1), ReasonDead)
	})
}

// Guards against refusals that are missing, wrong or have an effect.
func TestSubmitRefusals(t *testing.T) {
	cfg := testConfig()
	cfg.MaxBatch, cfg.MaxWaiting, cfg.MemoryTokens = 1, 1, 50
	for name, test := range map[string]struct {
		request bramleytack.GenerationRequest
		busy    int
		want    Reason
	}{
		"full queue":      {request: request("r", ""), busy: 2, want: ReasonQueueFull},
		"unknown model":   {request: bramleytack.GenerationRequest{ID: "r", Model: "x"}, want: ReasonUnknownModel},
		"unknown version": {request: bramleytack.GenerationRequest{ID: "r", Model: "m", Version: "2"}, want: ReasonUnknownModel},
		"unknown adapter": {request: bramleytack.GenerationRequest{ID: "r", Model: "m", Adapter: "a"}, want: ReasonUnknownModel},
		"too large":       {request: request("r", strings.Repeat("x", 200)), want: ReasonTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewCore(cfg, start)
			for i := range test.busy {
				submit(t, c, start, request(fmt.Sprint(i), "[[tokens=9]]"))
			}
			_, err := c.Submit(start, test.request)
			assertRefused(t, err, test.want)
			assert.Equal(t, c.InFlight(), test.busy)
			assert.Equal(t, c.Stats().Accepted, test.busy)
		})
	}
}

// Guards against orders that take effect at once, are repeated or pass a
// fencing check that they must not pass.
func TestOrders(t *testing.T) {
	load := bramleytack.Command{Fence: 5, Kind: bramleytack.CommandLoad, Model: "m", Version: "2"}
	t.Run("a load takes its time", func(t *testing.T) {
		c := NewCore(testConfig(), start)
		assert.NilError(t, c.Order(start, load))
		adapter := load
		adapter.Adapter = "a"
		assert.NilError(t, c.Order(start, adapter))
		r := request("r", "[[tokens=1]]")
		r.Version = "2"
		_, err := c.Submit(start.Add(4*time.Second), r)
		assertRefused(t, err, ReasonUnknownModel)
		submit(t, c, start.Add(5*time.Second), r)
		assert.Equal(t, len(c.Report(start.Add(5*time.Second)).Models), 2)
		assert.Equal(t, len(c.Report(start.Add(5500*time.Millisecond)).Models), 3)
	})
	t.Run("a bound on models", func(t *testing.T) {
		cfg := testConfig()
		cfg.MaxModels = 1
		assertRefused(t, NewCore(cfg, start).Order(start, load), ReasonNoRoom)
	})
	t.Run("an unload stops new generations only", func(t *testing.T) {
		c := NewCore(testConfig(), start)
		id := submit(t, c, start, request("r", "[[tokens=7]]"))
		assert.NilError(t, c.Order(start, bramleytack.Command{Kind: bramleytack.CommandUnload, Model: "m", Version: "1"}))
		_, err := c.Submit(start, request("s", ""))
		assertRefused(t, err, ReasonUnknownModel)
		p, _ := c.Generation(drain(c, ignore), id)
		assert.Equal(t, p.Tokens, 7)
	})
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("checks fence ", checks), func(t *testing.T) {
			cfg := testConfig()
			cfg.ChecksFence = checks
			c := NewCore(cfg, start)
			assert.NilError(t, c.Order(start, bramleytack.Command{Fence: 5, Kind: bramleytack.CommandRole, Role: "a"}))
			err := c.Order(start, bramleytack.Command{Fence: 4, Kind: bramleytack.CommandRole, Role: "b"})
			if checks {
				assertRefused(t, err, ReasonOldFence)
				assert.Equal(t, c.Report(start).Role, "a")
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, c.Report(start).Role, "b")
		})
	}
}

// Guards against reports that are newer than their lag, or that claim to be.
func TestReportLag(t *testing.T) {
	cfg := testConfig()
	cfg.ReportLag = 100 * time.Millisecond
	c := NewCore(cfg, start)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	submit(t, c, at(1000), request("r", "[[tokens=100]]"))
	for _, test := range []struct{ ms, running, tokens int }{
		{1000, 0, 0}, {1099, 0, 0}, {1160, 1, 4}, {1500, 1, 39}, {2200, 0, 0}, {9000, 0, 0},
	} {
		r := c.Report(at(test.ms))
		assert.Equal(t, r.Running, test.running, "at %d ms", test.ms)
		assert.Assert(t, r.Age >= cfg.ReportLag && r.Age <= cfg.ReportLag+2*cfg.ReportEvery, "age %v", r.Age)
		assert.Equal(t, r.At, at(test.ms).Add(-r.Age))
		if test.running > 0 {
			assert.Equal(t, r.Generations[0].Tokens, test.tokens, "at %d ms", test.ms)
		}
	}
	c.SetCondition(at(9000), btfault.Condition{StaleReports: true})
	submit(t, c, at(9000), request("s", "[[tokens=100]]"))
	r := c.Report(at(9900))
	assert.Equal(t, r.Running, 0)
	assert.Assert(t, r.Age >= 900*time.Millisecond)
	c.SetCondition(at(9900), btfault.Condition{Leaving: true})
	assert.Assert(t, !c.Report(at(9900)).Leaving)
	assert.Assert(t, c.Report(at(10100)).Leaving)
}

// Guards against a prefix cache without effect or limit and against cache
// events that come early or never, or whose loss leaves no gap.
func TestPrefixCache(t *testing.T) {
	cfg := testConfig()
	cfg.CacheTokens, cfg.BlockTokens, cfg.CacheEventDelay = 16, 4, time.Second
	cfg.StepPerPrefill = time.Millisecond
	c := NewCore(cfg, start)
	prompt := "[[tokens=1]]" + strings.Repeat("a", 52)
	timeOf := func(r bramleytack.GenerationRequest) time.Duration {
		now := start.Add(time.Duration(c.stats.Accepted) * time.Minute)
		submit(t, c, now, r)
		return drain(c, ignore).Sub(now)
	}
	assert.Equal(t, timeOf(request("1", prompt)), 26*time.Millisecond)
	assert.Equal(t, timeOf(request("2", prompt)), 11*time.Millisecond)
	assert.Equal(t, timeOf(request("3", "[[tokens=1]]"+strings.Repeat("b", 52))), 26*time.Millisecond)
	assert.Equal(t, timeOf(request("4", prompt)), 26*time.Millisecond)

	c = NewCore(cfg, start)
	submit(t, c, start, request("1", prompt))
	done := drain(c, ignore)
	assert.Equal(t, len(c.CacheEvents(done.Add(999*time.Millisecond), 0)), 0)
	events := c.CacheEvents(done.Add(time.Second), 0)
	assert.Equal(t, len(events), 4)
	assert.Equal(t, len(c.CacheEvents(done.Add(time.Second), 3)), 1)
	prefixes := Prefixes(model, prompt, cfg.BlockTokens)
	for i, e := range events {
		assert.Equal(t, e.Sequence, uint64(i+1))
		assert.Equal(t, e.Prefix, prefixes[len(prefixes)-1-i])
	}

	cfg.CacheTokens, cfg.CacheEventLoss = 1<<16, 0.5
	c = NewCore(cfg, start)
	submit(t, c, start, request("1", "[[tokens=1]]"+strings.Repeat("a", 1588)))
	events = c.CacheEvents(drain(c, ignore).Add(time.Second), 0)
	assert.Assert(t, len(events) > 30 && len(events) < 70, "%d of 100 events", len(events))
	assert.Assert(t, events[len(events)-1].Sequence > uint64(len(events)))
}

// Guards against ends of a generation that are wrong, and against finished
// generations that cannot be resumed, or for ever.
func TestEnds(t *testing.T) {
	cfg := testConfig()
	cfg.Retention = time.Second
	for name, test := range map[string]struct {
		prompt    string
		maxTokens int
		memory    int
		cancelAt  time.Duration
		want      FinishReason
		tokens    int
	}{
		"stop":       {prompt: "[[tokens=8]]", want: FinishStop, tokens: 8},
		"max tokens": {prompt: "[[tokens=8]]", maxTokens: 5, want: FinishLength, tokens: 5},
		"memory":     {prompt: "[[tokens=80]]", memory: 20, want: FinishLength, tokens: 16},
		"canceled":   {prompt: "[[tokens=80]]", cancelAt: 55 * time.Millisecond, want: FinishCanceled, tokens: 5},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewCore(cfg, start)
			c.SetCondition(start, btfault.Condition{MemoryLimit: test.memory})
			r := request("r", test.prompt)
			r.MaxTokens = test.maxTokens
			id := submit(t, c, start, r)
			if test.cancelAt > 0 {
				assert.Assert(t, c.Cancel(start.Add(test.cancelAt), id))
			}
			end := drain(c, ignore)
			p, ok := c.Generation(end, id)
			assert.Assert(t, ok)
			assert.Equal(t, p.Finish, test.want)
			assert.Equal(t, p.Tokens, test.tokens)
			_, ok = c.Generation(end.Add(2*time.Second), id)
			assert.Assert(t, !ok)
		})
	}
}

// Guards against a poison request that crashes at the wrong token or not at all.
func TestPoison(t *testing.T) {
	for prompt, want := range map[string]int{"[[crash]]": 0, "[[crash=3]] [[tokens=9]]": 3} {
		t.Run(prompt, func(t *testing.T) {
			c := NewCore(testConfig(), start)
			submit(t, c, start, request("r", prompt))
			drain(c, ignore)
			assert.Equal(t, c.Stats().Tokens, want)
			assert.Equal(t, c.Stats().Deaths, 1)
			assert.Assert(t, c.Dead())
		})
	}
}

// Guards against texts and lengths that a checker cannot compute again.
func TestDeterminism(t *testing.T) {
	c := NewCore(testConfig(), start)
	id := submit(t, c, start, request("r", "some prompt [[tokens=3]]"))
	p, _ := c.Generation(drain(c, ignore), id)
	assert.Equal(t, p.Tokens, 3)
	for i := range p.Tokens {
		assert.Equal(t, p.Text(i), Text("r", "some prompt [[tokens=3]]", i))
	}
	assert.Assert(t, Text("r", "p", 0) != Text("r", "p", 1))
	assert.Assert(t, Text("r", "p", 0) != Text("s", "p", 0))
	assert.Assert(t, Text("r", "p", 0) != Text("r", "q", 0))
	l := Lengths{Median: 100, Sigma: 1, Min: 2, Max: 500}
	assert.Equal(t, l.Draw(1, "p"), l.Draw(1, "p"))
	assert.Assert(t, l.Draw(1, "p") != l.Draw(2, "p"))
}

// BenchmarkCore measures 200 engines with 4000 generations of 300 tokens.
func BenchmarkCore(b *testing.B) {
	for b.Loop() {
		tokens := 0
		for e := range 200 {
			cfg := testConfig()
			cfg.ReportLag = 250 * time.Millisecond
			c := NewCore(cfg, start)
			for i := range 20 {
				if _, err := c.Submit(start, request(fmt.Sprint(e, i), "[[tokens=300]]")); err != nil {
					b.Fatal(err)
				}
			}
			drain(c, ignore)
			tokens += c.Stats().Tokens
		}
		b.ReportMetric(float64(tokens), "tokens/op")
	}
}

func FuzzDecodeRequest(f *testing.F) {
	f.Add([]byte(`{"id":"r","model":"m","prompt":"[[tokens=3]] [[crash=2]]","maxTokens":4,"priority":"batch"}`))
	f.Add([]byte(`{"id":"r","model":"m","maxTokens":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRequest(strings.NewReader(string(data)))
		if err != nil {
			return
		}
		assert.Assert(t, r.ID != "" && r.MaxTokens >= 0)
		d := ParseDirectives(r.Prompt)
		assert.Assert(t, d.Tokens >= 0 && d.Tokens <= maxDirectiveTokens && d.CrashAfter >= 0)
		assert.Equal(t, len(Prefixes(model, r.Prompt, 2)), len(r.Prompt)/8)
	})
}

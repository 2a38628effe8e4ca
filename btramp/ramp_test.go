package btramp

import (
	"testing"
	"time"

	"bramleytack"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a limit above the level that successes have earned, in any
// order of events and in any mode.
func TestNeverOverEarnedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{ColdLimit: rapid.IntRange(1, 6).Draw(t, "cold"), TokensPerSlot: 100, Dwell: 1}
		cfg.WarmLimit = rapid.IntRange(cfg.ColdLimit, 40).Draw(t, "warm")
		r := New(cfg)
		now := start
		type request struct {
			admission Admission
			resets    int
		}
		var open []request
		// earned is an independent upper bound: the base, doubled once for each
		// 2 successes per unit of the limit since the last reset. Only requests
		// that began after the reset and ended in normal mode count.
		successes, instance, resets := 0, 0, 0
		r.ObserveInstance(now, "0")
		reset := func() { successes = 0; resets++ }
		check := func() {
			earned := cfg.ColdLimit
			for left := successes; left >= earned*2 && earned < cfg.WarmLimit; earned *= 2 {
				left -= earned * 2
			}
			earned = min(earned, cfg.WarmLimit)
			assert.Assert(t, r.Level() <= earned, "level %d, earned %d", r.Level(), earned)
			half := max(1, cfg.ColdLimit/2)
			switch r.Mode() {
			case Fallback:
				assert.Assert(t, r.Warm() || r.Limit() == half)
			case ReserveHalf:
				assert.Assert(t, r.Limit() >= 0 && r.Limit()+half <= earned)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				if a, ok := r.Admit(now, len(open), rapid.IntRange(0, 300).Draw(t, "prompt")); ok {
					open = append(open, request{a, resets})
					assert.Assert(t, len(open) <= r.Limit())
				}
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				s := Result{OK: rapid.Bool().Draw(t, "ok")}
				s.Failed = !s.OK
				if s.OK && open[0].resets == resets && r.Mode() == Normal {
					successes++
				}
				epoch := r.epoch
				r.End(now, open[0].admission, s)
				open = open[1:]
				if s.Failed && r.epoch != epoch {
					reset()
				}
			},
			"restart": func(*rapid.T) {
				instance++
				r.ObserveInstance(now, bramleytack.InstanceID(rune('0'+instance)))
				reset()
				assert.Equal(t, r.Level(), cfg.ColdLimit)
			},
			"mode": func(t *rapid.T) { r.SetMode(Mode(rapid.IntRange(0, 2).Draw(t, "mode"))) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) { check() },
		})
	})
}

// Guards against a ramp that never rises, rises without use of the limit, or
// misses one of the signals of a cold upstream.
func TestSignals(t *testing.T) {
	warm := func() *Ramp {
		r := New(Config{ColdLimit: 1, WarmLimit: 8})
		r.ObserveInstance(start, "a")
		for i := range 10 {
			now := start.Add(time.Duration(i) * 5 * time.Second)
			serve(r, now, 16, Result{OK: true, FirstToken: 50 * time.Millisecond})
		}
		assert.Assert(t, r.Warm())
		return r
	}
	t.Run("failures", func(t *testing.T) {
		r := warm()
		serve(r, start, 3, Result{Failed: true})
		assertReset(t, r, Failures)
	})
	t.Run("failures far apart", func(t *testing.T) {
		r := warm()
		for i := range 10 {
			serve(r, start.Add(time.Duration(i)*time.Minute), 1, Result{Failed: true})
		}
		assert.Assert(t, r.Warm())
	})
	t.Run("slow first tokens", func(t *testing.T) {
		r := warm()
		slow := Result{OK: true, FirstToken: 3 * time.Second}
		serve(r, start, 3, slow)
		assert.Assert(t, r.Warm())
		queued := slow
		queued.Queued = true
		serve(r, start, 10, queued)
		assert.Assert(t, r.Warm())
		serve(r, start, 1, slow)
		assertReset(t, r, SlowFirstToken)
	})
	t.Run("one request at a time reaches level 2 at most", func(t *testing.T) {
		r := New(Config{ColdLimit: 1, WarmLimit: 8})
		for i := range 100 {
			now := start.Add(time.Duration(i) * time.Second)
			a, _ := r.Admit(now, 0, 0)
			r.End(now, a, Result{OK: true})
		}
		assert.Equal(t, r.Level(), 2)
	})
	t.Run("many short requests do not shorten the dwell time", func(t *testing.T) {
		r := New(Config{ColdLimit: 1, WarmLimit: 8})
		serve(r, start, 100, Result{OK: true})
		assert.Equal(t, r.Level(), 1)
		serve(r, start.Add(5*time.Second), 100, Result{OK: true})
		assert.Equal(t, r.Level(), 2)
	})
	t.Run("half of a recent level of the same instance is inherited", func(t *testing.T) {
		r := New(Config{ColdLimit: 1, WarmLimit: 8})
		r.ObserveInstance(start, "a")
		r.Inherit("b", 8, 0)
		r.Inherit("a", 8, time.Minute)
		assert.Equal(t, r.Level(), 1)
		r.Inherit("a", 8, time.Second)
		assert.Equal(t, r.Level(), 4)
		r.Reset(start, DomainReturned)
		r.Inherit("a", 8, time.Second)
		assertReset(t, r, DomainReturned)
	})
}

// serve admits and ends n requests, each with one slot of the limit left.
func serve(r *Ramp, now time.Time, n int, s Result) {
	for range n {
		a, _ := r.Admit(now, r.Limit()-1, 0)
		r.End(now, a, s)
	}
}

func assertReset(t *testing.T, r *Ramp, want Reason) {
	t.Helper()
	reason, _ := r.Reason()
	assert.Equal(t, reason, want)
	assert.Equal(t, r.Level(), 1)
}

// Guards against a ramp that ignores slow decoding steps. A cold engine completed
// enough requests at its base to raise its limit and crashed under the higher
// load. An engine that became cold without a restart kept its warm limit.
func TestSlowStepsIndicateCold(t *testing.T) {
	const warm, cold = 12 * time.Millisecond, 48 * time.Millisecond
	now := time.Unix(0, 0)
	r := New(Config{ColdLimit: 2, WarmLimit: 2})
	for range 10 {
		r.ObserveStep(now, 8, warm)
	}
	r.Configure(Config{ColdLimit: 2, WarmLimit: 16})
	succeed := func() {
		admission, ok := r.Admit(now, 1, 1)
		assert.Assert(t, ok)
		now = now.Add(time.Minute)
		for range 8 {
			r.Progress(now, admission)
		}
	}
	t.Run("successes do not count while steps are slow", func(t *testing.T) {
		r.ObserveStep(now, 2, cold)
		succeed()
		assert.Equal(t, r.Level(), 2)
	})
	t.Run("successes count when steps are normal", func(t *testing.T) {
		r.ObserveStep(now, 2, warm)
		succeed()
		assert.Equal(t, r.Level(), 4)
	})
	t.Run("slow steps reset a warm ramp", func(t *testing.T) {
		r.Configure(Config{ColdLimit: 2, WarmLimit: 4})
		r.ObserveStep(now, 4, cold)
		assert.Equal(t, r.Level(), 4)
		r.ObserveStep(now, 4, cold)
		assert.Equal(t, r.Level(), 2)
		reason, _ := r.Reason()
		assert.Equal(t, reason, SlowPace)
	})
}

package btramp

import (
	"testing"
	"time"

	"bramleytack"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a cold upstream that gets more than it has proved to bear,
// under any order of events, in any mode.
func TestNeverOverEarnedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{ColdLimit: rapid.IntRange(1, 6).Draw(t, "cold"), TokensPerSlot: 100, Dwell: 1}
		cfg.WarmLimit = rapid.IntRange(cfg.ColdLimit, 40).Draw(t, "warm")
		r := New(cfg)
		now := start
		type request struct {
			mark   Admission
			resets int
		}
		var open []request
		// earned is an independent upper bound: base, doubled for each
		// base x 2 or more successes since the last reset, of requests that
		// began after it and ended in normal mode.
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
				if m, ok := r.Admit(now, len(open), rapid.IntRange(0, 300).Draw(t, "prompt")); ok {
					open = append(open, request{m, resets})
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
				r.End(now, open[0].mark, s)
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

// Guards against a ramp that never rises, rises on unused capacity, or misses
// one of the signals of a cold upstream.
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
	t.Run("a trickle of requests proves only the level it reached", func(t *testing.T) {
		r := New(Config{ColdLimit: 1, WarmLimit: 8})
		for i := range 100 {
			now := start.Add(time.Duration(i) * time.Second)
			m, _ := r.Admit(now, 0, 0)
			r.End(now, m, Result{OK: true})
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
	t.Run("inherit", func(t *testing.T) {
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

// serve ends n requests, each admitted with the limit nearly reached.
func serve(r *Ramp, now time.Time, n int, s Result) {
	for range n {
		m, _ := r.Admit(now, r.Limit()-1, 0)
		r.End(now, m, s)
	}
}

func assertReset(t *testing.T, r *Ramp, want Reason) {
	t.Helper()
	why, _ := r.Reason()
	assert.Equal(t, why, want)
	assert.Equal(t, r.Level(), 1)
}

// An engine that was cold completed enough requests at its base to earn more,
// and died of them; one that turned cold without notice kept its limit.
func TestPaceShowsCold(t *testing.T) {
	const warm, cold = 12 * time.Millisecond, 48 * time.Millisecond
	now := time.Unix(0, 0)
	r := New(Config{ColdLimit: 2, WarmLimit: 2})
	for range 10 {
		r.ObserveStep(now, 8, warm)
	}
	r.Configure(Config{ColdLimit: 2, WarmLimit: 16})
	earn := func() {
		mark, ok := r.Admit(now, 1, 1)
		assert.Assert(t, ok)
		now = now.Add(time.Minute)
		for range 8 {
			r.Progress(now, mark)
		}
	}
	t.Run("no success while slow", func(t *testing.T) {
		r.ObserveStep(now, 2, cold)
		earn()
		assert.Equal(t, r.Level(), 2)
	})
	t.Run("success when fast", func(t *testing.T) {
		r.ObserveStep(now, 2, warm)
		earn()
		assert.Equal(t, r.Level(), 4)
	})
	t.Run("warm turns cold", func(t *testing.T) {
		r.Configure(Config{ColdLimit: 2, WarmLimit: 4})
		r.ObserveStep(now, 4, cold)
		assert.Equal(t, r.Level(), 4)
		r.ObserveStep(now, 4, cold)
		assert.Equal(t, r.Level(), 2)
		why, _ := r.Reason()
		assert.Equal(t, why, SlowPace)
	})
}

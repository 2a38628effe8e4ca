package btretry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/bttimer"
)

func run(t *testing.T, name string, f func(t *testing.T, r *Retrier)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			timer := bttimer.New(1)
			defer timer.Close()
			f(t, &Retrier{Budget: &Budget{Timer: timer}, Backoff: &Backoff{Timer: timer, Seed: 1}})
		})
	})
}

// Guards against retry storms, and against retries of one key that use the budget
// of another.
func TestBudget(t *testing.T) {
	run(t, "retries of a failing domain add a tenth of the load", func(t *testing.T, r *Retrier) {
		const requests, seconds = 1000, 20
		retries := 0
		for range seconds {
			for range requests {
				r.Budget.Request("m")
				for attempt := 1; ; attempt++ {
					if _, ok := r.Next("m", attempt, time.Time{}); !ok {
						break
					}
					retries++
				}
			}
			time.Sleep(time.Second)
		}
		earned := seconds * (requests*DefaultRatio + DefaultMinimum)
		assert.Assert(t, float64(retries) <= earned+DefaultBurst, "%d retries", retries)
		assert.Assert(t, float64(retries) >= earned*0.9, "%d retries", retries)
	})
	run(t, "a key without requests can retry once a second", func(t *testing.T, r *Retrier) {
		for range 10 {
			assert.Assert(t, r.Budget.Retry("m"))
			assert.Assert(t, !r.Budget.Retry("m"))
			time.Sleep(time.Second)
		}
	})
	run(t, "idle time adds no more than the burst", func(t *testing.T, r *Retrier) {
		r.Budget.Request("m")
		time.Sleep(time.Hour)
		n := 0
		for r.Budget.Retry("m") {
			n++
		}
		assert.Equal(t, n, int(DefaultBurst))
	})
	run(t, "keys are separate and bounded", func(t *testing.T, r *Retrier) {
		r.Budget.MaxKeys = 8
		assert.Assert(t, r.Budget.Retry("a"))
		assert.Assert(t, r.Budget.Retry("b"))
		assert.Assert(t, !r.Budget.Retry("a"))
		for i := range 100 {
			r.Budget.Request(fmt.Sprint(i))
		}
		assert.Equal(t, len(r.Budget.buckets), 8)
		assert.Equal(t, r.Budget.lru.Len(), 8)
	})
}

// Guards against synchronized waits, waits beyond the deadline and endless retries.
func TestBackoff(t *testing.T) {
	run(t, "waits double up to the maximum and are jittered", func(t *testing.T, r *Retrier) {
		b := r.Backoff
		b.Attempts = 100
		for attempt := 1; attempt < b.Attempts; attempt++ {
			limit := DefaultMax
			if attempt < 7 {
				limit = DefaultBase << (attempt - 1)
			}
			seen := map[time.Duration]bool{}
			for range 20 {
				wait, ok := b.Next(attempt, time.Time{})
				assert.Assert(t, ok && wait >= limit/2 && wait <= limit, "attempt %d: %v", attempt, wait)
				seen[wait] = true
			}
			assert.Assert(t, len(seen) > 10)
		}
	})
	run(t, "no attempt follows the last one", func(t *testing.T, r *Retrier) {
		_, ok := r.Backoff.Next(DefaultAttempts-1, time.Time{})
		assert.Assert(t, ok)
		_, ok = r.Backoff.Next(DefaultAttempts, time.Time{})
		assert.Assert(t, !ok)
	})
	run(t, "no retry that cannot end in time, and none is taken from the budget", func(t *testing.T, r *Retrier) {
		deadline := r.Backoff.Timer.Now().Add(DefaultBase/2 + DefaultMargin - 1)
		for range 100 {
			_, ok := r.Next("m", 1, deadline)
			assert.Assert(t, !ok)
		}
		_, ok := r.Next("m", 1, deadline.Add(DefaultBase))
		assert.Assert(t, ok)
	})
}

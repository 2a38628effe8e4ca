package btlength

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"bramleytack"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against quantiles that are off by more than a bucket's width, at the
// start of a generation and after part of it.
func TestResidual(t *testing.T) {
	e := New(Config{})
	rng := rand.New(rand.NewPCG(1, 2))
	k := Key{Workspace: "w", Model: "m"}
	for range 20000 {
		e.Add(start, k, int(rng.ExpFloat64()*1000)+1)
	}
	// The exponential distribution is memoryless: the residual does not depend
	// on the number of tokens produced.
	for _, produced := range []int{0, 100, 1000, 2500} {
		for _, q := range []float64{0.5, 0.9, 0.99} {
			want := -math.Log(1-q) * 1000
			got := float64(e.Residual(k, produced, q))
			assert.Assert(t, got > want/1.35 && got < want*1.35, "produced %d, q %.2f: got %.0f, want %.0f", produced, q, got, want)
		}
		mean := e.MeanResidual(k, produced)
		assert.Assert(t, mean > 800 && mean < 1250, "mean %.0f after %d", mean, produced)
	}
}

// Guards against groups without samples that get no forecast, few samples
// that outweigh many, and old samples that never lose their weight.
func TestFallbackAndAging(t *testing.T) {
	e := New(Config{})
	known := Key{Workspace: "w", Model: "m"}
	assert.Assert(t, e.Residual(known, 0, 0.5) > 500, "prior")
	for range 1000 {
		e.Add(start, known, 100)
	}
	fresh := Key{Workspace: "new", Model: "m"}
	assertNear(t, e.Residual(fresh, 0, 0.5), 100)
	e.Add(start, fresh, 5000)
	assertNear(t, e.Residual(fresh, 0, 0.5), 100)
	for range 100 {
		e.Add(start, fresh, 5000)
	}
	assertNear(t, e.Residual(fresh, 0, 0.5), 5000)
	assert.Assert(t, e.Residual(known, 60000, 0.5) > 10000, "beyond all samples")

	later := start.Add(20 * time.Hour)
	for range 20 {
		e.Add(later, known, 2000)
	}
	assertNear(t, e.Residual(known, 0, 0.5), 2000)
}

// Guards against survival probabilities that rise with the interval, means
// that exceed the limit, and residuals that fall as the quantile rises.
func TestCurve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(Config{MaxKeys: 2})
		for range rapid.IntRange(0, 50).Draw(t, "samples") {
			k := Key{Workspace: bramleytack.WorkspaceID(rapid.StringN(0, 1, 1).Draw(t, "w"))}
			e.Add(start, k, rapid.IntRange(-1, 300000).Draw(t, "n"))
		}
		produced := rapid.IntRange(0, 400000).Draw(t, "produced")
		limit := rapid.IntRange(1, 5000).Draw(t, "limit")
		c := e.Curve(Key{}, produced, limit)
		assert.Assert(t, c.Survival[0] > 0.99 && c.Survival[0] < 1.01, "survival %v", c.Survival)
		for i := range Intervals {
			assert.Assert(t, i == 0 || c.Survival[i] <= c.Survival[i-1]+1e-4)
			assert.Assert(t, c.MeanTokens[i] >= 0 && c.MeanTokens[i] <= c.Survival[i]*float32(limit)*1.01+1e-3)
			assert.Assert(t, IntervalStart(i) < limit || c.Survival[i] == 0)
		}
		assert.Assert(t, e.Residual(Key{}, produced, 0.5) >= 0)
		assert.Assert(t, e.Residual(Key{}, produced, 0.5) <= e.Residual(Key{}, produced, 0.9))
		assert.Assert(t, e.Len() <= 2)
	})
}

// Guards against eviction of keys that are in use, and against tables that grow
// beyond their bound.
func TestEviction(t *testing.T) {
	e := New(Config{MaxKeys: 10, MinSamples: 1})
	hot := Key{Workspace: "hot"}
	e.Add(start, hot, 7)
	for i := range 1000 {
		e.Add(start, Key{Workspace: bramleytack.WorkspaceID(fmt.Sprint(i))}, 5000)
		assertNear(t, e.Residual(hot, 0, 0.5), 7)
	}
	assert.Equal(t, e.Len(), 10)
}

func BenchmarkAddResidual(b *testing.B) {
	e := New(Config{})
	keys := make([]Key, 0, 2600*29)
	for w := range 2600 {
		for m := range 29 {
			keys = append(keys, Key{bramleytack.WorkspaceID(fmt.Sprint("workspace", w)), fmt.Sprint("model", m), bramleytack.Standard})
		}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		k := keys[rng.IntN(len(keys))]
		e.Add(start, k, rng.IntN(5000))
		e.Residual(k, 100, 0.9)
	}
	b.ReportMetric(float64(e.Len()), "keys")
}

func BenchmarkCurve(b *testing.B) {
	e := New(Config{})
	k := Key{Workspace: "w"}
	for i := range 1000 {
		e.Add(start, k, i)
	}
	for b.Loop() {
		e.Curve(k, 100, 4000)
	}
}

func assertNear(t *testing.T, got, want int) {
	t.Helper()
	assert.Assert(t, got >= want*2/3 && got <= want*3/2, "got %d, want about %d", got, want)
}

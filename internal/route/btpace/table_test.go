package btpace

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
)

func engine(id string) *bramleytack.Upstream {
	return &bramleytack.Upstream{ID: bramleytack.UpstreamID(id), Service: "engines", Started: time.UnixMilli(1000)}
}

func withTable(t *testing.T, f func(t *testing.T, table *Table)) {
	synctest.Test(t, func(t *testing.T) {
		timer := bttimer.New(1)
		defer timer.Close()
		f(t, &Table{Timer: timer})
	})
}

func assertPace(t *testing.T, table *Table, u *bramleytack.Upstream, lasting, worst float64) {
	t.Helper()
	for _, r := range table.Records() {
		if r.Upstream == u.ID {
			assert.Equal(t, r.Lasting, lasting)
			assert.Equal(t, r.Worst, worst)
			return
		}
	}
	assert.Equal(t, lasting, 0.0, "no record")
}

// Guards against values that are no pace, and against an effect without bound of absurd ones.
func TestOddValues(t *testing.T) {
	withTable(t, func(t *testing.T, table *Table) {
		u := engine("e")
		for _, v := range []float64{0, -1, math.NaN(), math.Inf(-1)} {
			table.Observe(u, v)
		}
		assertPace(t, table, u, 0, 0)
		assert.Equal(t, table.Lasting(u), 1.0)
		_, known := table.Pause(u, true)
		assert.Assert(t, !known)
		table.Observe(u, math.Inf(1))
		assertPace(t, table, u, maxPace, maxPace)
		table.Observe(u, 1e-300)
		assertPace(t, table, u, minPace, maxPace)
		assert.Assert(t, !table.Merge([]Record{{Upstream: "x", Lasting: math.NaN()}, {Upstream: "y", Lasting: 2, Worst: 1}}))
		var none *Table
		none.Observe(u, 1)
		none.Learn(u, time.Second, true)
		assert.Equal(t, none.Lasting(u), 1.0)
	})
}

// Load: neighbours that slow an engine for some hundred milliseconds at a time. Guards against
// taking them for the machine's own pace, and against missing a machine that became slower for good.
func TestLastingPace(t *testing.T) {
	withTable(t, func(t *testing.T, table *Table) {
		u := engine("e")
		for range 20 {
			for _, v := range []float64{3, 3, 1.2, 1.22} {
				table.Observe(u, v)
				time.Sleep(700 * time.Millisecond)
			}
		}
		assertPace(t, table, u, 1.2, 3)
		for range raiseSamples + 2 {
			table.Observe(u, 2)
			time.Sleep(time.Second)
		}
		assert.Equal(t, table.Lasting(u), 2.0)
		restarted := *u
		restarted.Started = u.Started.Add(time.Second)
		assert.Equal(t, table.Lasting(&restarted), 1.0, "pace of an earlier instance")
		table.Observe(&restarted, 0.5)
		table.Observe(u, 2)
		assert.Equal(t, table.Lasting(&restarted), 0.5, "news of an earlier instance")
	})
}

// Guards against tables that differ after the same records came in another order, or twice.
func TestMergeNeedsNoOrder(t *testing.T) {
	started := time.UnixMilli(1000)
	records := []Record{
		{Upstream: "e", Started: started, Lasting: 3, Worst: 3},
		{Upstream: "e", Started: started, Lasting: 1.2, Worst: 1.3},
		{Upstream: "e", Started: started, Raised: 1, Lasting: 2, Worst: 4},
		{Upstream: "e", Started: started, Raised: 1, Lasting: 2.5, Worst: 5},
	}
	orders := [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {2, 0, 3, 1, 2}, {1, 3, 0, 2, 0}}
	for _, order := range orders {
		withTable(t, func(t *testing.T, table *Table) {
			for _, i := range order {
				table.Merge(records[i : i+1])
			}
			assertPace(t, table, engine("e"), 2, 5)
			assert.Assert(t, !table.Merge(records), "old records are no news")
		})
	}
}

// Load: slow engines among fast ones, with neighbours on all machines. Guards against a pause
// that is expected of an engine that was seen undisturbed only, and against one engine that
// lies for all.
func TestExpectedPause(t *testing.T) {
	withTable(t, func(t *testing.T, table *Table) {
		var all []*bramleytack.Upstream
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			u := engine(id)
			all = append(all, u)
			table.Observe(u, 1.2)
			if id != "a" {
				table.Observe(u, 3)
			}
		}
		fast, liar := engine("fast"), engine("liar")
		table.Observe(fast, 0.55)
		table.Observe(liar, 1)
		table.Observe(liar, 1e9)
		_, known := table.Pause(all[0], true)
		assert.Assert(t, !known, "nothing was learned of pauses")
		for range 400 {
			for _, u := range all[:3] {
				table.Learn(u, 75*time.Millisecond, true)
				table.Learn(u, 36*time.Millisecond, false)
			}
		}
		near := func(u *bramleytack.Upstream, beside bool, want time.Duration) {
			t.Helper()
			got, ok := table.Pause(u, beside)
			assert.Assert(t, ok && got > want*9/10 && got < want*11/10, "%s: %v, want about %v", u.ID, got, want)
		}
		for _, u := range append([]*bramleytack.Upstream{liar}, all...) {
			table.Pause(u, true)
		}
		time.Sleep(ratioAge)
		near(all[0], true, 187*time.Millisecond)
		near(all[1], true, 187*time.Millisecond)
		near(all[1], false, 90*time.Millisecond)
		near(fast, true, 86*time.Millisecond)
	})
}

// Load: a daemon that has just started, or relays few streams. Guards against one that divides
// nothing until it has seen enough itself, and against others' values that replace its own.
func TestPausesOfOthers(t *testing.T) {
	withTable(t, func(t *testing.T, table *Table) {
		u := engine("e")
		table.Observe(u, 1)
		assert.Assert(t, table.MergePauses([]Pauses{{Service: "engines", Alone: -1, Beside: 62 * time.Millisecond}}))
		assert.Assert(t, !table.MergePauses([]Pauses{{Service: "engines", Beside: 900 * time.Millisecond}}), "the first value stays")
		pause, known := table.Pause(u, true)
		assert.Assert(t, known)
		assert.Equal(t, pause, 62*time.Millisecond)
		_, known = table.Pause(u, false)
		assert.Assert(t, !known)
		shared := 0
		table.Share = func(n News) { shared += len(n.Pauses) }
		for range 3 * minSamples {
			table.Learn(u, 40*time.Millisecond, true)
		}
		pause, _ = table.Pause(u, true)
		assert.Assert(t, pause < 50*time.Millisecond, "own samples count: %v", pause)
		assert.Equal(t, shared, 1)
		assert.Equal(t, len(table.All().Pauses), 1)
	})
}

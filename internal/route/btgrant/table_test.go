package btgrant

import (
	"context"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
)

var (
	born     = time.UnixMilli(1_000_000)
	upstream = &bramleytack.Upstream{ID: "u", Started: born}
)

// run calls f with a table that grants for itself, in fake time.
func run(t *testing.T, f func(table *Table)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		timers := bttimer.New(1)
		defer timers.Close()
		table := &Table{Timer: timers}
		table.Ask = func(_ context.Context, r Request) (Reply, bool) { return table.Grant(r), true }
		f(table)
	})
}

// sends returns the number of requests that are permitted in d, of one each gap.
func sends(table *Table, d, gap time.Duration, terms Terms) int {
	n := 0
	for end := table.Timer.Now().Add(d); table.Timer.Now().Before(end); time.Sleep(gap) {
		if table.Acquire(context.Background(), upstream, terms).Granted {
			n++
		}
	}
	return n
}

// Guards against a rate above the limit, or far below it, whatever is asked for.
func TestGrantsKeepTheRate(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1, 4, 30} {
		run(t, func(table *Table) {
			table.Observe(upstream, LimitOf(perSecond))
			n := float64(sends(table, 20*time.Second, 3*time.Millisecond, Terms{}))
			assert.Check(t, n <= 20*perSecond+2+burstTime.Seconds()*perSecond, "%v a second: %v", perSecond, n)
			assert.Check(t, n >= 0.7*20*perSecond, "%v a second: %v", perSecond, n)
		})
	}
}

// Guards against a bucket that is full after a time without requests or in a new granting
// daemon.
func TestGrantsAfterPause(t *testing.T) {
	run(t, func(table *Table) {
		atOnce := func() (n int) {
			for range 100 {
				if table.Grant(Request{Word: Word{Upstream: "u", Started: born, Limit: LimitOf(8)}}).Granted {
					n++
				}
			}
			return n
		}
		table.Observe(upstream, LimitOf(8))
		assert.Equal(t, atOnce(), 1)
		time.Sleep(time.Minute)
		// One token, and those of burstTime.
		assert.Equal(t, atOnce(), 3)
	})
}

// Guards against urgent requests that together exceed the limit.
func TestUrgentRequestsKeepTheRate(t *testing.T) {
	run(t, func(table *Table) {
		table.Observe(upstream, LimitOf(2))
		n := sends(table, 4*time.Second, 3*time.Millisecond, Terms{Urgent: true})
		assert.Check(t, n >= 8 && n <= 12, "%d", n)
	})
}

// Guards against an older answer that ends or changes the limit of a newer one, against a
// limit of an ended instance, and against one that lasts when it has ended.
func TestNewestWordCounts(t *testing.T) {
	run(t, func(table *Table) {
		at := func(ms int, l Limit) Word {
			return Word{Upstream: "u", Started: born, Limit: l, At: born.Add(time.Duration(ms) * time.Millisecond)}
		}
		assert.Assert(t, table.Merge([]Word{at(50, LimitOf(5))}))
		assert.Assert(t, !table.Merge([]Word{at(40, Limit{}), at(30, LimitOf(9))}))
		assert.Equal(t, table.State()["u"].PerSecond, 5.0)
		assert.Assert(t, !table.Merge([]Word{at(60, LimitOf(5.1))}), "a small change is no news")
		assert.Assert(t, table.Merge([]Word{at(70, Limit{})}))
		assert.Assert(t, !table.Limited(upstream))
		assert.Assert(t, !table.Merge([]Word{at(65, LimitOf(5))}), "a late word of before the end")
		assert.Assert(t, table.Merge([]Word{at(80, LimitOf(1))}))
		assert.Assert(t, !table.Limited(&bramleytack.Upstream{ID: "u", Started: born.Add(time.Second)}))
		table.Retain(&bramleytack.Snapshot{Upstreams: map[bramleytack.UpstreamID]*bramleytack.Upstream{"u": {ID: "u", Started: born.Add(time.Second)}}})
		assert.Equal(t, len(table.State()), 0)
	})
}

// Guards against numbers of other daemons that lift a limit or stop an upstream for good.
func TestLimitOf(t *testing.T) {
	for in, want := range map[float64]float64{4: 4, 0: 0, -1: 0, math.Inf(-1): 0, math.Inf(1): maxPerSecond, 1e308: maxPerSecond} {
		assert.Equal(t, LimitOf(in), Limit{Named: true, PerSecond: want})
	}
	assert.Equal(t, LimitOf(math.NaN()), Limit{Named: true})
	run(t, func(table *Table) {
		table.Observe(upstream, LimitOf(math.NaN()))
		n := sends(table, time.Minute, 10*time.Millisecond, Terms{})
		assert.Check(t, n >= 10 && n <= 14, "%d", n)
	})
}

// Guards against a daemon that sends without a grant, or waits for long, while the granting
// one is silent, has just started or reaches a part of the fleet only.
func TestSilentGranter(t *testing.T) {
	run(t, func(table *Table) {
		table.Observe(upstream, LimitOf(10))
		part := 0.0
		table.Part = func() float64 { return part }
		assert.Equal(t, sends(table, 2*time.Second, 10*time.Millisecond, Terms{}), 0)
		part = 0.5
		n := sends(table, 10*time.Second, 10*time.Millisecond, Terms{})
		assert.Check(t, n >= 40 && n <= 55, "%d", n)
		table.Ask = func(context.Context, Request) (Reply, bool) { return Reply{}, false }
		began := table.Timer.Now()
		assert.Equal(t, sends(table, 2*time.Second, 10*time.Millisecond, Terms{Wait: time.Second}), 0)
		assert.Check(t, table.Timer.Now().Sub(began) < 3*time.Second)
	})
}

// Guards against requests that wait longer than their terms allow, or in vain.
func TestWaitingRequests(t *testing.T) {
	run(t, func(table *Table) {
		table.Observe(upstream, LimitOf(2))
		var wg sync.WaitGroup
		var mu sync.Mutex
		granted := 0
		for range 10 {
			wg.Go(func() {
				d := table.Acquire(context.Background(), upstream, Terms{Wait: 900 * time.Millisecond})
				mu.Lock()
				defer mu.Unlock()
				assert.Check(t, d.Waited <= 900*time.Millisecond, "%v", d.Waited)
				if d.Granted {
					granted++
				}
			})
		}
		wg.Wait()
		// One token, and one within the wait.
		assert.Equal(t, granted, 2)
	})
}

// Guards against rejected callers that all come back at once, or before there is a token.
func TestRejectedCallersReturnInTurn(t *testing.T) {
	run(t, func(table *Table) {
		table.Daemons = func() int { return 2 }
		other := &bramleytack.Upstream{ID: "v", Started: born}
		list := []*bramleytack.Upstream{upstream, other}
		assert.Equal(t, table.ReturnAfter("s", list), time.Duration(0))
		table.Observe(upstream, LimitOf(5))
		assert.Equal(t, table.ReturnAfter("s", list), time.Duration(0))
		table.Observe(other, LimitOf(5))
		for i := range 10 {
			assert.Equal(t, table.ReturnAfter("s", list), time.Duration(i)*200*time.Millisecond)
		}
		time.Sleep(time.Second)
		assert.Equal(t, table.ReturnAfter("s", list), time.Second)
	})
}

// Guards against an upstream that gets all requests at once after a pause, and against a
// bound that outlasts the return.
func TestReturnFromPauseIsLimited(t *testing.T) {
	run(t, func(table *Table) {
		u := &bramleytack.Upstream{ID: "u", Started: born, WarmLimit: 8}
		table.Return(u, table.Timer.Now().Add(time.Second))
		time.Sleep(time.Second)
		// The registration is away for a while.
		table.Retain(&bramleytack.Snapshot{})
		// 2, 4, 8 and 16 a second for half a second each, and the burst.
		n := sends(table, returnTime, 5*time.Millisecond, Terms{})
		assert.Check(t, n >= 10 && n <= 20, "%d", n)
		assert.Equal(t, sends(table, time.Second, 5*time.Millisecond, Terms{}), 200)
	})
}

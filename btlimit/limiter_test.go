package btlimit

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"bramleytack"
	"bramleytack/bttimer"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against shares that add up to more than the limit, are negative, or give
// an entry daemon less than the equal share while another one gets more.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Float64Range(0, 1e6).Draw(t, "total")
		demands := map[bramleytack.HostID]float64{}
		for i := range rapid.IntRange(1, 20).Draw(t, "hosts") {
			demands[bramleytack.HostID(fmt.Sprint(i))] = rapid.OneOf(rapid.Float64Range(0, 1e5), rapid.SampledFrom([]float64{-1, math.NaN(), math.Inf(1)})).Draw(t, "demand")
		}
		shares := MaxMinShares(demands, total)
		sum, equal := 0.0, total/float64(len(demands))
		for h, s := range shares {
			sum += s
			assert.Assert(t, s >= 0)
			assert.Assert(t, s >= min(sanitize(demands[h]), equal)*(1-1e-9), "%s gets %f of %f", h, s, equal)
		}
		assert.Assert(t, math.Abs(sum-total) <= total*1e-9)
		units := 0
		for _, u := range RoundShares(shares, int(total)) {
			assert.Assert(t, u >= 0)
			units += u
		}
		assert.Assert(t, units <= int(total) && units >= int(total)-1)
	})
}

// fleet is a set of entry daemons that share a workspace's limits in fake time.
type fleet struct {
	now      time.Time
	ws       *bramleytack.Workspace
	limiters []*Limiter
	// sent delivers the demands that arrive after the next second.
	sent []func()
}

func newFleet(n int, rate float64, concurrency int) *fleet {
	f := &fleet{now: start, ws: &bramleytack.Workspace{Name: "w", RequestsPerSecond: rate, Concurrency: concurrency}}
	var members []bramleytack.HostID
	for i := range n {
		members = append(members, bramleytack.HostID(fmt.Sprint(i)))
	}
	for _, m := range members {
		l := &Limiter{Self: m}
		l.SetMembers(members)
		f.limiters = append(f.limiters, l)
	}
	return f
}

// second offers load[i] requests to entry daemon i within one second and returns
// how many each admitted. Requests end at once. Demands arrive a second late.
// Entry daemons in silent neither send nor receive demands.
func (f *fleet) second(load []int, silent map[int]bool) []int {
	const steps = 100
	passed := make([]int, len(load))
	for step := range steps {
		f.now = f.now.Add(time.Second / steps)
		for i, l := range f.limiters {
			for range load[i]*(step+1)/steps - load[i]*step/steps {
				if l.Admit(f.now, f.ws) == nil {
					passed[i]++
					l.Done(f.now, f.ws)
				}
			}
		}
	}
	for _, deliver := range f.sent {
		deliver()
	}
	f.sent = nil
	for i, from := range f.limiters {
		demands := from.Demands(f.now)
		for j, to := range f.limiters {
			if i != j && !silent[i] && !silent[j] {
				f.sent = append(f.sent, func() { to.Receive(f.now, from.Self, demands) })
			}
		}
	}
	for _, l := range f.limiters {
		l.Refresh(f.now, map[bramleytack.WorkspaceID]*bramleytack.Workspace{"w": f.ws})
	}
	return passed
}

// Guards against a rate limit that applies to each entry daemon instead of to all
// together, a share that does not follow demand, and an entry daemon that
// receives no demands and uses more than the equal share.
func TestRate(t *testing.T) {
	f := newFleet(4, 100, 0)
	total := func(passed []int) (sum int) {
		for _, p := range passed {
			sum += p
		}
		return sum
	}
	var passed []int
	check := func(seconds int, load []int, silent map[int]bool, most int) {
		t.Helper()
		for range seconds {
			passed = f.second(load, silent)
			assert.Assert(t, total(passed) <= most, "%v", passed)
		}
	}
	check(10, []int{200, 0, 0, 0}, nil, 104)
	assert.Assert(t, passed[0] >= 85, "demand gets the share: %v", passed)
	check(12, []int{0, 200, 0, 0}, nil, 125)
	assert.Assert(t, passed[1] >= 85, "the share moves: %v", passed)
	check(10, []int{200, 200, 200, 200}, nil, 125)
	assert.Assert(t, total(passed) >= 98 && total(passed) <= 102, "%v", passed)
	// Entry daemon 1 had the larger share and keeps it until the demands that it
	// received expire.
	check(10, []int{200, 200, 0, 0}, nil, 104)
	check(4, []int{200, 200, 0, 0}, map[int]bool{1: true}, 125)
	check(10, []int{200, 200, 0, 0}, map[int]bool{1: true}, 104)
	assert.Assert(t, passed[1] <= 26, "the equal share without demands: %v", passed)
}

// Guards against more concurrent requests than the limit over all entry daemons,
// and against ended requests that still count.
func TestConcurrency(t *testing.T) {
	f := newFleet(3, 0, 4)
	running := 0
	for _, l := range f.limiters {
		for range 10 {
			if l.Admit(f.now, f.ws) == nil {
				running++
			}
		}
	}
	assert.Equal(t, running, 4)
	l := f.limiters[0]
	l.Done(f.now, f.ws)
	assert.NilError(t, l.Admit(f.now, f.ws))
}

// Guards against a rejection without its code, outcome and RetryAfter, and against
// a rejected or ended request that still counts.
func TestFilter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := bttimer.New(1)
		defer timers.Close()
		ws := &bramleytack.Workspace{Name: "w", RequestsPerSecond: 2}
		s := &bramleytack.Snapshot{Workspaces: map[bramleytack.WorkspaceID]*bramleytack.Workspace{"w": ws}}
		f := &Filter{Limiter: &Limiter{Self: "h"}, Snapshots: fixed{s}, Timer: timers}
		ok := bramleytack.HandlerFunc(func(context.Context, *bramleytack.Request, bramleytack.ResponseWriter) error { return nil })
		r := &bramleytack.Request{Workspace: "w"}
		assert.NilError(t, f.Handle(t.Context(), r, nil, ok))
		e := bramleytack.AsError(f.Handle(t.Context(), r, nil, ok))
		assert.Equal(t, e.Code, bramleytack.CodeRateLimited)
		assert.Equal(t, e.Outcome, bramleytack.NotRun)
		time.Sleep(e.RetryAfter)
		assert.NilError(t, f.Handle(t.Context(), r, nil, ok), "the request is admitted after RetryAfter")
		assert.Equal(t, f.Limiter.workspaces["w"].running, 0)
	})
}

type fixed struct{ s *bramleytack.Snapshot }

func (f fixed) Snapshot() *bramleytack.Snapshot { return f.s }

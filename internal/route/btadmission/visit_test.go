package btadmission

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/bttimer"

	"bramleytack/internal/route/btreturn"
)

func withController(t *testing.T, f func(t *testing.T, c *Controller, r Request)) {
	synctest.Test(t, func(t *testing.T) {
		timer := bttimer.New(1)
		defer timer.Close()
		now := timer.Now()
		f(t, New(timer, 1), Request{
			Service: "engines", Key: func() btreturn.Key { return 1 }, Rank: 1, Tenant: "a", Arrived: now, Target: now.Add(2 * time.Second), End: now.Add(4 * time.Second),
			Deadline: now.Add(time.Minute), ReadTarget: 2 * time.Second, Prompt: 3000, Memory: 4000,
		})
	})
}

// Guards against a request that is admitted after its wait, or twice, and counts in the use of its
// tenant for ever, or among those that wait while it runs.
func TestVisitCountsOnce(t *testing.T) {
	withController(t, func(t *testing.T, c *Controller, r Request) {
		v := c.Enter(r)
		v.Wait()
		v.Admit()
		v.Admit()
		assert.Equal(t, len(c.State().Waiting), 0)
		v.Leave()
		v.Leave()
		assert.Equal(t, len(c.tenants), 0)
		var none *Visit
		none.Admit()
		none.Leave()
	})
}

// Guards against a request that is rejected after its patience although nothing else waits: what
// this daemon knows of the engines may be wrong.
func TestLoneRequestIsNotRejected(t *testing.T) {
	withController(t, func(t *testing.T, c *Controller, r Request) {
		v := c.Enter(r)
		defer v.Leave()
		room := Room{Engines: 1, Memory: 10_000, Capacity: 10_000, Unread: 50_000}
		v.Wait()
		time.Sleep(3 * time.Second)
		d := v.Decide(room)
		assert.Assert(t, !d.Rejected, "reason %q", d.Reason)
		assert.Equal(t, d.Limits, unlimited)
		other := c.Enter(r)
		other.Wait()
		defer other.Leave()
		time.Sleep(2 * refreshPeriod)
		assert.Assert(t, v.Decide(room).Rejected, "others wait")
	})
}

// Guards against a daemon that does not learn the demand of others and rejects by what it
// guesses of it.
func TestDaemonAloneRejectsNothingByForecast(t *testing.T) {
	withController(t, func(t *testing.T, c *Controller, r Request) {
		for range minHolds {
			v := c.Enter(r)
			v.Admit()
			time.Sleep(20 * time.Second)
			v.Leave()
		}
		now := c.timer.Now()
		r.Arrived, r.Target, r.End = now, now.Add(2*time.Second), now.Add(4*time.Second)
		room := Room{Engines: 1, Memory: 10_000, Capacity: 10_000}
		assert.Equal(t, c.Enter(r).Decide(room).Reason, "forecast")
		c.Alone = func() bool { return true }
		assert.Equal(t, c.Enter(r).Decide(room).Reason, "")
	})
}

// Load: calm. Guards against admission that costs processor time for each request where it has
// nothing to decide: the sum of all engines, and a hash of the whole body.
func TestCalmAsksForNothing(t *testing.T) {
	withController(t, func(t *testing.T, c *Controller, r Request) {
		asked := 0
		room := func() Room { asked++; return Room{Engines: 1, Capacity: 30_000} }
		r.Key = func() btreturn.Key { asked++; return 1 }
		look := func() bool {
			time.Sleep(2 * refreshPeriod)
			v := c.Enter(r)
			_, overloaded := v.Overloaded(room)
			v.Admit()
			v.Leave()
			return overloaded
		}
		assert.Assert(t, !look())
		assert.Equal(t, asked, 0)
		c.SetPeer("p", Demand{Waiting: []Waiting{{Service: hashOf(r.Service), Memory: overloadRequests * r.Memory}}})
		assert.Assert(t, look(), "what waits elsewhere counts")
		assert.Equal(t, asked, 1)
	})
}

// Load: more than can be served, at slow engines. Guards against requests that wait for engines
// which cannot read their prompts in time, since all are taken to have the usual pace.
func TestForecastFollowsPace(t *testing.T) {
	withController(t, func(t *testing.T, c *Controller, r Request) {
		room := Room{Engines: 2, Memory: 1000, Capacity: 60_000, Unread: 20_000}
		usual := c.Enter(r).Decide(room).Forecast
		room.Readers = 1
		slow := c.Enter(r).Decide(room).Forecast
		reading := c.readTime(r.Prompt)
		assert.Equal(t, (slow - reading).Round(time.Millisecond), (2 * (usual - reading)).Round(time.Millisecond))
	})
}

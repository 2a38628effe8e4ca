package btgossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/internal/route/btadmission"
)

// checkWaiting fails unless each of the daemons knows that so many tokens wait at all daemons.
func (c *cell) checkWaiting(want int, daemons []int) {
	c.t.Helper()
	for _, i := range daemons {
		sum := 0
		for _, w := range c.nodes[i].Admission.State().All {
			sum += w.Memory
		}
		assert.Equal(c.t, sum, want, "as seen by daemon %d", i)
	}
}

// wait lets a request wait at a daemon.
func (c *cell) wait(i, memory int) *btadmission.Visit {
	now := time.Now()
	v := c.nodes[i].Admission.Enter(btadmission.Request{Service: "s", Rank: 1, Tenant: "t", Arrived: now, Target: now.Add(time.Second), End: now.Add(2 * time.Second), Memory: memory, Prompt: memory})
	v.Wait()
	return v
}

// Load: more than can be served, in fleets with and without hubs. Guards against daemons that
// do not learn what waits elsewhere, that count it twice, or that go on counting it.
func TestDemandReachesEveryDaemon(t *testing.T) {
	check := func(c *cell) {
		time.Sleep(4 * time.Second)
		first, second := c.wait(9, 4000), c.wait(13, 300)
		time.Sleep(4 * demandPeriod)
		c.checkWaiting(4300, c.all())
		assert.Assert(c.t, !c.nodes[10].DemandUnknown())
		first.Leave()
		time.Sleep(4 * demandPeriod)
		c.checkWaiting(300, c.all())
		second.Leave()
		time.Sleep(2 * time.Second)
		c.checkWaiting(0, c.all())
	}
	t.Run("without hubs", func(t *testing.T) { runCell(t, 16, 0, check) })
	t.Run("with hubs", func(t *testing.T) { runHubs(t, 24, 0, check) })
}

// A hub is killed while requests wait. Guards against daemons that then do not know the demand
// of others, although another hub does.
func TestDemandOutlivesHub(t *testing.T) {
	runHubs(t, 24, 0, func(c *cell) {
		time.Sleep(4 * time.Second)
		defer c.wait(9, 4000).Leave()
		time.Sleep(4 * demandPeriod)
		c.stops[0]()
		for range 10 {
			time.Sleep(2 * demandPeriod)
			c.checkWaiting(4000, c.all()[1:])
			assert.Assert(c.t, !c.nodes[12].DemandUnknown())
		}
	})
}

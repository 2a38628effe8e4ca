package btgossip

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/route/btgrant"
)

var limitedUpstream = &bramleytack.Upstream{ID: "limited", Started: time.UnixMilli(1_000_000)}

// limit makes one daemon hear the limit of an upstream.
func (c *cell) limit(daemon int, perSecond float64) {
	c.nodes[daemon].Grants.Observe(limitedUpstream, btgrant.LimitOf(perSecond))
}

// sends returns the number of requests that some daemons may send in d, if each wants to
// send one every 20 ms and knows of the limit.
func (c *cell) sends(d time.Duration, daemons ...int) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	total := 0
	for _, i := range daemons {
		n := c.nodes[i]
		wg.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if n.Grants.Limited(limitedUpstream) && n.Grants.Acquire(context.Background(), limitedUpstream, btgrant.Terms{}).Granted {
					mu.Lock()
					total++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return total
}

func (c *cell) all() []int {
	all := make([]int, len(c.nodes))
	for i := range all {
		all[i] = i
	}
	return all
}

// granterIndex returns the daemon that daemon i would ask.
func (c *cell) granterIndex(i int) int {
	return int(c.nodes[i].granter(limitedUpstream.ID).As4()[3]) - 1
}

// Guards against a limit that only the daemons keep that have heard of it, and against
// daemons that together send more than it allows, or far less, with and without hubs and
// lost datagrams.
func TestFleetKeepsLimit(t *testing.T) {
	check := func(c *cell) {
		time.Sleep(4 * time.Second)
		c.limit(1, 5)
		time.Sleep(1500 * time.Millisecond)
		for i, n := range c.nodes {
			assert.Check(c.t, n.Grants.Limited(limitedUpstream), "daemon %d", i)
		}
		n := c.sends(10*time.Second, c.all()...)
		assert.Check(c.t, n >= 25 && n <= 56, "%d sends in 10 s", n)
		one := c.sends(10*time.Second, 3)
		assert.Check(c.t, one >= 25 && one <= 56, "%d sends of one daemon in 10 s", one)
	}
	t.Run("direct", func(t *testing.T) { runCell(t, 8, 0, check) })
	t.Run("loss", func(t *testing.T) { runCell(t, 8, 0.1, check) })
	t.Run("hubs", func(t *testing.T) { runHubs(t, 20, 0, check) })
}

// Guards against a limit that daemons exceed, or stop to use for long, when the one that
// grants dies, is cut off with others or starts again.
func TestLimitWithoutGranter(t *testing.T) {
	runCell(t, 8, 0, func(c *cell) {
		time.Sleep(4 * time.Second)
		c.limit(1, 5)
		time.Sleep(time.Second)
		first := c.granterIndex(1)
		c.stops[first]()
		var rest []int
		for i := range c.nodes {
			if i != first {
				rest = append(rest, i)
			}
		}
		n := c.sends(12*time.Second, rest...)
		assert.Check(t, n >= 25 && n <= 62, "%d sends in 12 s after the end", n)
		c.start(first)
		n = c.sends(8*time.Second, c.all()...)
		assert.Check(t, n >= 15 && n <= 48, "%d sends in 8 s after the start", n)
	})
}

// Guards against parts of a divided fleet that each use the whole limit.
func TestDividedFleetKeepsLimit(t *testing.T) {
	runCell(t, 8, 0, func(c *cell) {
		time.Sleep(4 * time.Second)
		c.limit(1, 5)
		time.Sleep(time.Second)
		for i := range 4 {
			c.lan.isolate(addrOf(i), true)
		}
		time.Sleep(aliveTimeout + viewPeriod)
		// The isolated daemons are cut off from each other too.
		n := c.sends(8*time.Second, c.all()...)
		assert.Check(t, n >= 10 && n <= 44, "%d sends in 8 s", n)
	})
}

// Guards against a daemon that does not learn of a limit after its start or a cut, or of
// its end.
func TestWordsReachEveryDaemon(t *testing.T) {
	runCell(t, 8, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		c.lan.isolate(addrOf(6), true)
		c.limit(2, 5)
		time.Sleep(time.Second)
		assert.Assert(t, !c.nodes[6].Grants.Limited(limitedUpstream))
		c.lan.isolate(addrOf(6), false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, c.nodes[6].Grants.Limited(limitedUpstream))
		c.stops[4]()
		c.start(4)
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, c.nodes[4].Grants.Limited(limitedUpstream))
		c.nodes[4].Grants.Observe(limitedUpstream, btgrant.Limit{})
		time.Sleep(100 * time.Millisecond)
		for i, n := range c.nodes {
			assert.Check(t, !n.Grants.Limited(limitedUpstream), "daemon %d", i)
		}
	})
}

// register registers the limited upstream at all daemons.
func (c *cell) register(revision bramleytack.Revision) {
	for _, n := range c.nodes {
		config := bramleytack.Object{Key: bramleytack.Key{Kind: bramleytack.KindConfig, Name: "main"}, Version: 1}
		n.Table.Apply(btreplica.Batch{Kind: bramleytack.KindConfig, Full: true, Upto: 1, Objects: []bramleytack.Object{config}})
		o := bramleytack.Object{Key: bramleytack.Key{Kind: bramleytack.KindUpstreams, Name: string(limitedUpstream.ID)}, Version: revision}
		n.Table.Apply(btreplica.Batch{Kind: bramleytack.KindUpstreams, Full: true, Upto: revision, Objects: []bramleytack.Object{o}})
	}
}

// Guards against daemons that go on to use an upstream which has told another daemon that
// it is leaving, and against one that forgets it by a restart or while it is cut off.
func TestLeavingReachesEveryDaemon(t *testing.T) {
	u := &bramleytack.Upstream{ID: limitedUpstream.ID}
	check := func(c *cell) {
		time.Sleep(3 * time.Second)
		c.register(2)
		c.lan.isolate(addrOf(6), true)
		assert.Assert(c.t, c.nodes[1].Table.MarkLeaving(u))
		assert.Assert(c.t, !c.nodes[1].Table.MarkLeaving(u), "no news")
		c.nodes[1].ShareLeaving(u)
		time.Sleep(100 * time.Millisecond)
		for i, n := range c.nodes {
			assert.Check(c.t, n.Table.Snapshot().Accepts(u.ID) == (i == 6), "daemon %d", i)
		}
		c.lan.isolate(addrOf(6), false)
		c.stops[4]()
		c.start(4)
		c.register(3)
		time.Sleep(4 * time.Second)
		for i, n := range c.nodes {
			assert.Check(c.t, !n.Table.Snapshot().Accepts(u.ID), "daemon %d", i)
		}
	}
	t.Run("direct", func(t *testing.T) { runCell(t, 8, 0, check) })
	t.Run("hubs", func(t *testing.T) { runHubs(t, 20, 0, check) })
}

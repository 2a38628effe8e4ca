package btgossip

import (
	"cmp"
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/fleet/btreplica"
)

// All daemons start at once. Guards against each daemon following the store until it
// knows the others. On the grown Foldwell site, 64 daemons read the store for 4 s, with
// 1,500 calls.
func TestFewFollowTheStoreAtStart(t *testing.T) {
	runCell(t, 48, 0, func(c *cell) {
		followed := map[int]bool{}
		for range 40 {
			for i, node := range c.nodes {
				if node.Follows(bramleytack.KindUpstreams) {
					followed[i] = true
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, len(followed) >= upstreamFollowers && len(followed) <= 3*upstreamFollowers, "%d daemons followed", len(followed))
	})
}

// All daemons start at once and a few read the store. Guards against daemons that pull
// only one kind of objects after each digest. On the grown Karamanlis site, trouble-1,
// 0.7 s passed from the start to the first upstream.
func TestReplicasCompleteSoonAfterStart(t *testing.T) {
	runCell(t, 48, 0, func(c *cell) {
		stop := c.startWatchers()
		time.Sleep(500 * time.Millisecond)
		c.checkObjects()
		stop()
		time.Sleep(10 * time.Second)
	})
}

// startWatchers starts watchers of one store, for all kinds at all daemons.
func (c *cell) startWatchers() context.CancelFunc {
	var f fakeFeed
	ctx, stop := context.WithCancel(context.Background())
	for _, n := range c.nodes {
		for _, kind := range bramleytack.ReplicatedKinds {
			w := &btreplica.Watcher{
				Feed: &f, Table: n.Table, Timer: c.timer, Log: n.Log, Kind: kind,
				Active: n.Follows, StoreStatus: n.StoreStatus, Resync: &btreplica.Resync{},
			}
			go w.Run(ctx)
		}
	}
	return stop
}

// checkObjects fails unless all daemons have objects of all kinds.
func (c *cell) checkObjects() {
	c.t.Helper()
	for i, n := range c.nodes {
		for _, kind := range bramleytack.ReplicatedKinds {
			assert.Check(c.t, n.Table.Upto(kind) > 0, "daemon %d has no %s", i, kind)
		}
	}
}

// All daemons restart at once, the seeds last. Guards against daemons that wait for a
// seed although the store holds the addresses of other daemons. On the grown Karamanlis
// site, trouble-2, the seeds started 0.3 s after the others, and 0.38 s passed from the
// start of a daemon to its first configuration.
func TestDaemonsJoinWithoutSeeds(t *testing.T) {
	runCell(t, 24, 0, func(c *cell) {
		c.lan.isolate(addrOf(0), true)
		c.nodes = c.nodes[1:]
		var registered []RegisteredDaemon
		for _, n := range c.nodes {
			registered = append(registered, RegisteredDaemon{Host: n.Self.Host, Addr: n.Self.Addr})
		}
		slices.SortFunc(registered, func(a, b RegisteredDaemon) int { return cmp.Compare(rank(a.Host), rank(b.Host)) })
		stop := c.startWatchers()
		for _, n := range c.nodes {
			n.Join(slices.Clone(registered[:maxRegistered]))
		}
		// Only the first registered daemons follow the store before minSettleTime. A few
		// others get the first digest that announces the configuration in the next round.
		time.Sleep(minSettleTime - time.Millisecond)
		unconfigured := 0
		for _, n := range c.nodes {
			if n.Table.Snapshot() == nil {
				unconfigured++
			}
		}
		assert.Check(t, unconfigured <= len(c.nodes)/10, "%d daemons have no configuration", unconfigured)
		time.Sleep(digestPeriod + digestPeriod/2 - minSettleTime)
		c.checkObjects()
		followers := 0
		for _, n := range c.nodes {
			if n.Follows(bramleytack.KindConfig) {
				followers++
			}
		}
		assert.Equal(t, followers, followersPerKind)
		stop()
		time.Sleep(10 * time.Second)
	})
}

// One daemon lists a kind that all others lack. Guards against an announcement to all of
// them, which then pull over that daemon's link at once. On the grown Karamanlis site,
// trouble-2, 52 of 60 hosts have links of 10 Mbit/s, and the last daemon had its
// configuration after 0.9 s.
func TestFullListsSpreadGradually(t *testing.T) {
	runCell(t, 48, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		c.lan.mu.Lock()
		clear(c.lan.sent)
		c.lan.mu.Unlock()
		o := bramleytack.Object{Key: bramleytack.Key{Kind: bramleytack.KindConfig, Name: "main"}, Version: 1}
		c.nodes[5].Table.Apply(btreplica.Batch{Kind: o.Kind, Full: true, Upto: 1, Objects: []bramleytack.Object{o}, FromStore: true})
		time.Sleep(time.Millisecond)
		c.lan.mu.Lock()
		sent := c.lan.sent[addrOf(5)]
		c.lan.mu.Unlock()
		// A periodic digest may be due at the same time.
		assert.Assert(t, sent >= 1 && sent <= 2*fanout, "%d datagrams sent", sent)
		time.Sleep(2 * digestPeriod)
		for i, n := range c.nodes {
			assert.Check(t, n.Table.Upto(o.Kind) > 0, "daemon %d has no %s", i, o.Kind)
		}
	})
}

// All daemons of a fleet with hubs lose power and start again, with nothing but the
// addresses in the store. Guards against daemons that wait for hubs, which nobody knows
// yet, and against more readers of the store than after a first start.
func TestRestartOfAllWithHubs(t *testing.T) {
	runHubs(t, 48, 0, func(c *cell) {
		time.Sleep(4 * time.Second)
		for _, stop := range c.stops {
			stop()
		}
		time.Sleep(1300 * time.Millisecond)
		var registered []RegisteredDaemon
		for i := range c.nodes {
			c.start(i)
			registered = append(registered, RegisteredDaemon{Host: c.nodes[i].Self.Host, Addr: c.nodes[i].Self.Addr})
		}
		slices.SortFunc(registered, func(a, b RegisteredDaemon) int { return cmp.Compare(rank(a.Host), rank(b.Host)) })
		stop := c.startWatchers()
		for _, n := range c.nodes {
			n.Join(slices.Clone(registered[:maxRegistered]))
		}
		followed := map[int]bool{}
		for range 10 {
			time.Sleep(50 * time.Millisecond)
			for i, n := range c.nodes {
				if n.Follows(bramleytack.KindUpstreams) {
					followed[i] = true
				}
			}
		}
		c.checkObjects()
		assert.Assert(t, len(followed) <= 3*upstreamFollowers, "%d daemons followed", len(followed))
		// Loads spread again once each daemon knows the others.
		time.Sleep(2 * time.Second)
		c.nodes[9].Accounts.Begin("a", longNeed)
		time.Sleep(minLoadInterval + tablePeriod + time.Millisecond)
		c.checkAvoidsA(c.inDomain(0, 0))
		stop()
		time.Sleep(10 * time.Second)
	})
}

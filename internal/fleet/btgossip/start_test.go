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

// Pattern: all daemons start at once. Guards against a herd at the store: each
// used to follow it until it had heard of the others (grown Foldwell site: 64
// readers for 4 s, 1,500 calls).
func TestFewFollowTheStoreAtTheStart(t *testing.T) {
	play(t, 48, 0, func(c *cell) {
		followed := map[int]bool{}
		for range 40 {
			for i, node := range c.nodes {
				if node.Follows(bramleytack.KindUpstreams) {
					followed[i] = true
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, len(followed) >= busyWatchers && len(followed) <= 3*busyWatchers, "%d daemons followed", len(followed))
	})
}

// Pattern: all daemons start at once and a few read the store. Guards against
// daemons that learn one kind of objects with each digest (grown Karamanlis site,
// trouble-1: 0.7 s from the start to the first upstream).
func TestAllHaveTheObjectsSoonAfterTheStart(t *testing.T) {
	play(t, 48, 0, func(c *cell) {
		stop := c.follow()
		time.Sleep(500 * time.Millisecond)
		c.checkObjects()
		stop()
		time.Sleep(10 * time.Second)
	})
}

// follow lets all daemons follow a store.
func (c *cell) follow() context.CancelFunc {
	var f feed
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

// Pattern: all daemons start again at once, the seeds last. Guards against daemons
// that wait for a seed although the store has the addresses of others (grown
// Karamanlis site, trouble-2: the seeds started 0.3 s after the others, and 0.38 s
// passed from the start of a daemon to its first configuration).
func TestDaemonsMeetWithoutSeeds(t *testing.T) {
	play(t, 24, 0, func(c *cell) {
		c.hub.isolate(addrOf(0), true)
		c.nodes = c.nodes[1:]
		var beacons []RegisteredDaemon
		for _, n := range c.nodes {
			beacons = append(beacons, RegisteredDaemon{Host: n.Self.Host, Addr: n.Self.Addr})
		}
		slices.SortFunc(beacons, func(a, b RegisteredDaemon) int { return cmp.Compare(rank(a.Host), rank(b.Host)) })
		stop := c.follow()
		for _, n := range c.nodes {
			n.Join(slices.Clone(beacons[:maxBeacons]))
		}
		// Nobody else reads the store before settle. A few that nobody has told yet
		// hear it with the next digests.
		time.Sleep(settle - time.Millisecond)
		without := 0
		for _, n := range c.nodes {
			if n.Table.Snapshot() == nil {
				without++
			}
		}
		assert.Check(t, without <= len(c.nodes)/10, "%d daemons have no configuration", without)
		time.Sleep(period + period/2 - settle)
		c.checkObjects()
		followers := 0
		for _, n := range c.nodes {
			if n.Follows(bramleytack.KindConfig) {
				followers++
			}
		}
		assert.Equal(t, followers, watchers)
		stop()
		time.Sleep(10 * time.Second)
	})
}

// Pattern: one daemon lists a kind that all others lack. Guards against a daemon
// that tells all of them, which then pull over its link at once (grown Karamanlis
// site, trouble-2: 52 of 60 machines have links of 10 Mbit/s, and the last daemon
// had its configuration after 0.9 s).
func TestWholeKindsSpread(t *testing.T) {
	play(t, 48, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		c.hub.mu.Lock()
		clear(c.hub.sent)
		c.hub.mu.Unlock()
		o := bramleytack.Object{Key: bramleytack.Key{Kind: bramleytack.KindConfig, Name: "main"}, Version: 1}
		c.nodes[5].Table.Apply(btreplica.Batch{Kind: o.Kind, Full: true, Upto: 1, Objects: []bramleytack.Object{o}, FromStore: true})
		time.Sleep(time.Millisecond)
		c.hub.mu.Lock()
		sent := c.hub.sent[addrOf(5)]
		c.hub.mu.Unlock()
		// A digest of its own may be due in the same moment.
		assert.Assert(t, sent >= 1 && sent <= 2*fanout, "told %d daemons", sent)
		time.Sleep(2 * period)
		for i, n := range c.nodes {
			assert.Check(t, n.Table.Upto(o.Kind) > 0, "daemon %d has no %s", i, o.Kind)
		}
	})
}

package btgossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/fleet/btreplica"
)

// listConfig is the list of a store that was restored epoch times and holds a version of the
// configuration.
func listConfig(t *testing.T, epoch, number uint64, version byte) btreplica.Batch {
	r, err := bramleytack.NewRevision(epoch, number)
	assert.NilError(t, err)
	o := bramleytack.Object{Key: bramleytack.Key{Kind: bramleytack.KindConfig, Name: "main"}, Version: r, Data: []byte{version}}
	return btreplica.Batch{Kind: bramleytack.KindConfig, Full: true, Upto: r, Objects: []bramleytack.Object{o}, FromStore: true}
}

// listDomains is the list of a store that was restored epoch times and has failure domains out of service.
func listDomains(t *testing.T, epoch, number uint64, names ...string) btreplica.Batch {
	b := listConfig(t, epoch, number, 1)
	b.Kind, b.Objects = bramleytack.KindEvacuations, nil
	for _, name := range names {
		b.Objects = append(b.Objects, bramleytack.Object{Key: bramleytack.Key{Kind: b.Kind, Name: name}, Version: b.Upto, Data: []byte{1}})
	}
	return b
}

// checkVersion fails unless daemons have a version of the configuration in force.
func (c *cell) checkVersion(want uint64) {
	c.t.Helper()
	for i, n := range c.nodes {
		assert.Check(c.t, n.Table.ConfigVersion() == want, "daemon %d has version %d", i, n.Table.ConfigVersion())
	}
}

// The store comes back from a copy with an older configuration, and daemons start before the operator
// has written the newer one again. Guards against a confirmed version that is out of force there.
func TestStartedDaemonGetsTheConfirmedConfiguration(t *testing.T) {
	check := func(c *cell) {
		time.Sleep(3 * time.Second)
		c.nodes[0].Table.Apply(listConfig(c.t, 0, 25, 11))
		time.Sleep(2 * time.Second)
		c.checkVersion(11)
		c.nodes[1].Table.Apply(listConfig(c.t, 1, 20, 8))
		time.Sleep(time.Second)
		c.checkVersion(11)
		for _, i := range []int{2, 5} {
			c.stops[i]()
			c.start(i)
			c.nodes[i].Table.Apply(listConfig(c.t, 1, 20, 8))
		}
		time.Sleep(time.Second)
		c.checkVersion(11)
		// The operator writes the version again, and then a new one.
		c.nodes[1].Table.Apply(listConfig(c.t, 1, 21, 11))
		time.Sleep(time.Second)
		c.checkVersion(11)
		c.nodes[3].Table.Apply(listConfig(c.t, 1, 22, 12))
		time.Sleep(time.Second)
		c.checkVersion(12)
	}
	t.Run("small", func(t *testing.T) { runCell(t, 12, 0, check) })
	t.Run("with loss", func(t *testing.T) { runCell(t, 12, 0.1, check) })
	t.Run("with hubs", func(t *testing.T) { runHubs(t, 24, 0, check) })
}

// The store comes back from a copy that lacks a failure domain out of service, and daemons start before the
// operator has written that again. Guards against requests that they send there.
func TestStartedDaemonLearnsWhatTheStoreLost(t *testing.T) {
	list := func(epoch, number uint64, names ...string) btreplica.Batch {
		return listDomains(t, epoch, number, names...)
	}
	checkOut := func(c *cell, want bool) {
		for i, n := range c.nodes {
			d := n.Table.Snapshot().FailureDomains["d1"]
			assert.Check(c.t, (d != nil && d.State == bramleytack.DomainOut) == want, "daemon %d", i)
		}
	}
	check := func(c *cell) {
		time.Sleep(3 * time.Second)
		c.nodes[0].Table.Apply(listConfig(c.t, 0, 1, 1))
		c.nodes[0].Table.Apply(list(0, 25, "d1"))
		time.Sleep(2 * time.Second)
		checkOut(c, true)
		c.nodes[1].Table.Apply(list(1, 20))
		time.Sleep(time.Second)
		for _, i := range []int{2, 5} {
			c.stops[i]()
			c.start(i)
			c.nodes[i].Table.Apply(listConfig(c.t, 1, 20, 1))
			c.nodes[i].Table.Apply(list(1, 20))
		}
		time.Sleep(1500 * time.Millisecond)
		checkOut(c, true)
		// Nobody writes it again: it must not go round between daemons for ever.
		for range 60 {
			for _, n := range c.nodes {
				n.Table.Expire()
			}
			time.Sleep(500 * time.Millisecond)
		}
		checkOut(c, false)
	}
	t.Run("small", func(t *testing.T) { runCell(t, 12, 0, check) })
	t.Run("with hubs", func(t *testing.T) { runHubs(t, 24, 0, check) })
}

// Daemons start one after another while nobody writes an order again that the store has lost. Guards against a
// failure domain that stays out of service because each daemon hands the order on to the next.
func TestLostOrderEndsAlthoughDaemonsStart(t *testing.T) {
	runCell(t, 12, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		c.nodes[0].Table.Apply(listConfig(t, 0, 1, 1))
		c.nodes[0].Table.Apply(listDomains(t, 0, 25, "d1"))
		time.Sleep(2 * time.Second)
		c.nodes[1].Table.Apply(listDomains(t, 1, 20))
		restored, last := time.Now(), time.Duration(0)
		for round := range 120 {
			if round%8 == 7 {
				i := 2 + round/8%10
				c.stops[i]()
				c.start(i)
				c.nodes[i].Table.Apply(listConfig(t, 1, 20, 1))
				c.nodes[i].Table.Apply(listDomains(t, 1, 20))
			}
			time.Sleep(time.Second)
			for _, n := range c.nodes {
				n.Table.Expire()
				if d := n.Table.Snapshot().FailureDomains["d1"]; d != nil && d.State == bramleytack.DomainOut {
					last = time.Since(restored)
				}
			}
		}
		// A daemon that starts at the end of the grace keeps the order for as long again.
		assert.Check(t, last < 25*time.Second, "out of service for %v", last)
	})
}

// The operator removes the configuration. Guards against pulls at each digest of what no daemon can give.
func TestRemovedConfigIsNotAnnounced(t *testing.T) {
	runCell(t, 4, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		c.nodes[0].Table.Apply(listConfig(t, 1, 20, 8))
		time.Sleep(time.Second)
		gone := listConfig(t, 1, 21, 8)
		gone.Full, gone.Base = false, listConfig(t, 1, 20, 8).Upto
		gone.Objects[0].Deleted = true
		for _, n := range c.nodes {
			n.Table.Apply(gone)
		}
		c.stops[2]()
		c.start(2)
		time.Sleep(2 * time.Second)
		n := c.nodes[2]
		assert.Check(t, !n.lacks(bramleytack.KindConfig, kindState{upto: c.nodes[0].Table.LastChange(bramleytack.KindConfig), version: c.nodes[0].Table.ConfigVersion()}), "has version %d, others announce %d", n.Table.ConfigVersion(), c.nodes[0].Table.ConfigVersion())
	})
}

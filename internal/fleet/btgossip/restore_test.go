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

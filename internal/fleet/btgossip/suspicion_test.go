package btgossip

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/internal/route/btsuspect"
)

var fatalKey = btsuspect.KeyOf("fatal")

// crashGap is longer than the time within which crashes count as one.
const crashGap = 150 * time.Millisecond

// crash reports a crash under the fatal key at a daemon, some time after the one before.
func (c *cell) crash(daemon int, id btsuspect.Crash) {
	time.Sleep(crashGap)
	c.nodes[daemon].Suspects.ReportCrash(id, 0, fatalKey)
}

// checkQuarantined fails unless each daemon but the excepted one answers as wanted for a
// request with the fatal key.
func (c *cell) checkQuarantined(want bool, except int) {
	c.t.Helper()
	for i, n := range c.nodes {
		if i != except {
			_, got := n.Suspects.Quarantined("r", []btsuspect.Key{fatalKey})
			assert.Equal(c.t, got, want, "daemon %d, %v", i, n.Suspects.State())
		}
	}
}

// suspicionTime is the time from a report of a crash until it counts at all daemons.
const suspicionTime = 300 * time.Millisecond

// Guards against crashes at different daemons that are not added up, and against a
// clearing that does not reach all daemons, with and without hubs.
func TestSuspicionsSpread(t *testing.T) {
	spread := func(c *cell) {
		time.Sleep(4 * time.Second)
		for i := range 3 {
			c.crash(i+1, btsuspect.Crash(i))
		}
		time.Sleep(suspicionTime)
		c.checkQuarantined(true, -1)
		c.nodes[5].Suspects.ReportExecuted(0, fatalKey)
		time.Sleep(suspicionTime)
		c.checkQuarantined(false, -1)
	}
	t.Run("direct", func(t *testing.T) { runCell(t, 8, 0, spread) })
	t.Run("hubs", func(t *testing.T) { runHubs(t, 20, 0, spread) })
}

// Guards against records that are lost for good with their datagrams.
func TestLostSuspicionsArriveLater(t *testing.T) {
	for _, loss := range []float64{0.3, 0.6} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			runCell(t, 8, loss, func(c *cell) {
				time.Sleep(4 * time.Second)
				for i := range 4 {
					c.crash(2, btsuspect.Crash(i))
				}
				// A trial is due five seconds after the crashes.
				time.Sleep(4 * time.Second)
				c.checkQuarantined(true, -1)
			})
		})
	}
}

// Guards against a daemon that serves quarantined requests after its restart, or for long
// after it was cut off.
func TestSuspicionsAfterAbsence(t *testing.T) {
	runCell(t, 8, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		c.lan.isolate(addrOf(6), true)
		for i := range 3 {
			c.crash(i, btsuspect.Crash(i))
		}
		time.Sleep(2 * time.Second)
		c.checkQuarantined(true, 6)
		c.lan.isolate(addrOf(6), false)
		time.Sleep(1500 * time.Millisecond)
		c.checkQuarantined(true, -1)
		c.stops[4]()
		c.start(4)
		time.Sleep(suspicionTime)
		c.checkQuarantined(true, -1)
	})
}

// Guards against trials of one key at several daemons, and against none at all once the
// elected daemon has died.
func TestTrialAtOneDaemon(t *testing.T) {
	elected := func(c *cell, except int) (all []int) {
		for i, n := range c.nodes {
			if i != except && n.Elected(fatalKey) {
				all = append(all, i)
			}
		}
		return all
	}
	runCell(t, 8, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		first := elected(c, -1)
		assert.Equal(t, len(first), 1)
		c.stops[first[0]]()
		time.Sleep(aliveTimeout + time.Second)
		assert.Equal(t, len(elected(c, first[0])), 1)
	})
}

package btgossip

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/route/btaccount"
)

// twoEngines is a snapshot with the engines "a" and "b" of one service.
func twoEngines() *bramleytack.Snapshot {
	return &bramleytack.Snapshot{
		Services: map[string]*bramleytack.ServiceRecord{"s": {Engine: &bramleytack.EngineProfile{Slots: 24, MemoryTokens: 1 << 20}}},
		ByService: map[string][]*bramleytack.Upstream{"s": {
			{ID: "a", Service: "s"}, {ID: "b", Service: "s"},
		}},
	}
}

var longNeed = btaccount.Need{Prompt: 4000, Output: 900}

// checkAvoidsA fails unless each of the daemons chooses engine "b" because of the load
// at engine "a".
func (c *cell) checkAvoidsA(daemons []int) {
	c.t.Helper()
	s := twoEngines()
	for _, i := range daemons {
		u, _ := c.nodes[i].Accounts.Pick(s, s.ByService["s"], longNeed)
		assert.Equal(c.t, u.ID, bramleytack.UpstreamID("b"), "chosen by daemon %d", i)
	}
}

// inDomain returns the daemons from first on that are in a failure domain.
func (c *cell) inDomain(d, first int) []int {
	var all []int
	for i := first; i < len(c.nodes); i++ {
		if domainOf(addrOf(i)) == d {
			all = append(all, i)
		}
	}
	return all
}

// A generation starts in a fleet with hubs. Guards against daemons of the same failure
// domain that learn of it later than with the next table, and against other domains that
// learn of it later than within two rounds of tables.
func TestHubsSpreadLoads(t *testing.T) {
	runHubs(t, 36, 0, func(c *cell) {
		time.Sleep(4 * time.Second)
		c.nodes[9].Accounts.Begin("a", longNeed)
		time.Sleep(minLoadInterval + tablePeriod + time.Millisecond)
		c.checkAvoidsA(c.inDomain(0, 0))
		time.Sleep(2 * remoteTableRounds * tablePeriod)
		c.checkAvoidsA(c.inDomain(1, 0))
		c.checkAvoidsA(c.inDomain(2, 0))
	})
}

// Guards against a daemon that counts its own load twice, as its own and within the total
// of its hub, also while its load changes faster than tables arrive.
func TestOwnLoadCountsOnce(t *testing.T) {
	runHubs(t, 24, 0, func(c *cell) {
		time.Sleep(4 * time.Second)
		s := twoEngines()
		// The load at "b" exceeds the load at "a", but not twice the load at "a".
		for range 10 {
			a := c.nodes[9].Accounts.Begin("a", longNeed)
			b := c.nodes[12].Accounts.Begin("b", btaccount.Need{Prompt: 6000, Output: 1000})
			for range 30 {
				time.Sleep(7 * time.Millisecond)
				if u, _ := c.nodes[9].Accounts.Pick(s, s.ByService["s"][:1], longNeed); u == nil {
					t.Fatal("no engine")
				}
			}
			u, _ := c.nodes[9].Accounts.Pick(s, s.ByService["s"], longNeed)
			assert.Equal(t, u.ID, bramleytack.UpstreamID("a"))
			a.End(btaccount.Served)
			b.End(btaccount.Served)
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// The hubs of a failure domain fail one after the other. Guards against daemons that go
// on with the loads of a hub that is gone: within 0.5 s they use the other hub, and
// within two seconds more than the detection of its failure the next ones.
func TestHubsAreReplaced(t *testing.T) {
	for name, fail := range map[string]func(c *cell, i int){
		"killed":  func(c *cell, i int) { c.stops[i]() },
		"cut off": func(c *cell, i int) { c.lan.isolate(addrOf(i), true) },
	} {
		t.Run(name, func(t *testing.T) {
			runHubs(t, 36, 0.02, func(c *cell) {
				time.Sleep(4 * time.Second)
				others := c.inDomain(0, domains*hubsPerDomain)
				fail(c, 0)
				time.Sleep(500 * time.Millisecond)
				l := c.nodes[9].Accounts.Begin("a", longNeed)
				time.Sleep(3 * tablePeriod)
				c.checkAvoidsA(others)
				l.End(btaccount.Served)
				fail(c, 3)
				time.Sleep(aliveTimeout + 2*time.Second)
				c.nodes[9].Accounts.Begin("a", longNeed)
				time.Sleep(3 * tablePeriod)
				c.checkAvoidsA(others)
			})
		})
	}
}

// A hub keeps running, but receives nothing. Guards against its subscribers using totals
// that no longer include their reports.
func TestDeafHubIsNotUsed(t *testing.T) {
	runHubs(t, 24, 0, func(c *cell) {
		time.Sleep(4 * time.Second)
		c.lan.deafen(addrOf(0), true)
		time.Sleep(time.Second)
		c.nodes[9].Accounts.Begin("a", longNeed)
		time.Sleep(3 * tablePeriod)
		c.checkAvoidsA(c.inDomain(0, domains*hubsPerDomain))
	})
}

// Every daemon starts and ends a generation twice a second. Guards against messages that
// grow with the square of the daemons: with loads sent to all, 295 daemons sent about
// 300,000 datagrams a second (Foldwell, large, quiet-1).
func TestMessagesGrowWithDaemons(t *testing.T) {
	perDaemon := func(t *testing.T, n int) (sent, largest float64) {
		runHubs(t, n, 0, func(c *cell) {
			time.Sleep(4 * time.Second)
			c.lan.mu.Lock()
			clear(c.lan.sent)
			c.lan.largest = 0
			c.lan.mu.Unlock()
			const seconds = 2
			for range 2 * seconds {
				for _, node := range c.nodes {
					l := node.Accounts.Begin("a", longNeed)
					time.AfterFunc(250*time.Millisecond, func() { l.End(btaccount.Served) })
				}
				time.Sleep(500 * time.Millisecond)
			}
			c.lan.mu.Lock()
			defer c.lan.mu.Unlock()
			total := 0
			for _, m := range c.lan.sent {
				total += m
			}
			sent, largest = float64(total)/float64(n)/seconds, float64(c.lan.largest)
		})
		return sent, largest
	}
	small, _ := perDaemon(t, 15)
	big, largest := perDaemon(t, 45)
	assert.Assert(t, big <= 1.15*small, "%.1f datagrams a second for each of 45 daemons, %.1f for each of 15", big, small)
	assert.Assert(t, largest <= maxPacketSize, "largest datagram has %v bytes", largest)
}

// Guards against live daemons that count as dead in a fleet whose digests do not list all
// daemons, while some datagrams are lost.
func TestNoFalseSuspicions(t *testing.T) {
	runHubs(t, 54, 0.05, func(c *cell) {
		time.Sleep(6 * time.Second)
		for range 20 {
			for i := range c.nodes {
				c.checkAlive(len(c.nodes)-1, i)
			}
			time.Sleep(250 * time.Millisecond)
		}
	})
}

// Several daemons of all failure domains die at once. Guards against a directory that
// lists them for longer than the shortest bound of the known deployments, six seconds.
func TestMassDeathDetected(t *testing.T) {
	runHubs(t, 54, 0.05, func(c *cell) {
		time.Sleep(6 * time.Second)
		for i := range 24 {
			c.stops[2*i]()
		}
		time.Sleep(6 * time.Second)
		for i := range c.nodes {
			if i%2 == 1 || i >= 48 {
				c.checkAlive(len(c.nodes)-25, i)
			}
		}
	})
}

// One daemon reads a change from the store. Guards against failure domains that get it
// only by digests, also if one hub of each is gone, and against the reader sending it to
// each daemon.
func TestChangesSpreadThroughHubs(t *testing.T) {
	for _, dead := range []int{0, domains} {
		t.Run(fmt.Sprint(dead, " hubs dead"), func(t *testing.T) {
			runHubs(t, 48, 0, func(c *cell) {
				time.Sleep(4 * time.Second)
				object := func(v bramleytack.Revision) bramleytack.Object {
					return bramleytack.Object{Key: bramleytack.Key{Kind: bramleytack.KindConfig, Name: "main"}, Version: v, Data: []byte("x")}
				}
				for _, n := range c.nodes {
					n.Table.Apply(btreplica.Batch{Kind: bramleytack.KindConfig, Full: true, Upto: 4, Objects: []bramleytack.Object{object(4)}})
				}
				for i := range dead {
					c.stops[i]()
				}
				time.Sleep(time.Second)
				c.lan.mu.Lock()
				clear(c.lan.sent)
				c.lan.mu.Unlock()
				c.nodes[10].Table.Apply(btreplica.Batch{Kind: bramleytack.KindConfig, Base: 4, Upto: 6, Objects: []bramleytack.Object{object(6)}, FromStore: true})
				time.Sleep(time.Millisecond)
				for i, n := range c.nodes[dead:] {
					assert.Equal(t, n.Table.Upto(bramleytack.KindConfig), bramleytack.Revision(6), "daemon %d", i+dead)
				}
				c.lan.mu.Lock()
				defer c.lan.mu.Unlock()
				bound := len(c.nodes)/domains + domains*hubsPerDomain + 2*fanout
				assert.Assert(t, c.lan.sent[addrOf(10)] <= bound, "%d datagrams sent", c.lan.sent[addrOf(10)])
			})
		})
	}
}

// Twenty-two engines get their notice at once, a sixth of those of the large Foldwell site.
// Guards against changes that are too large for one frame and reach the daemons only by a
// digest and a pull of all registrations.
func TestManyNoticesArriveAtOnce(t *testing.T) {
	kind := bramleytack.KindUpstreams
	notices := func(state string, v bramleytack.Revision) []bramleytack.Object {
		var all []bramleytack.Object
		for i := range 22 {
			data := fmt.Sprintf(`{"service":"vovo96a","address":"10.%d.64.%d:8645","zone":"qld-%d","version":1,"slots":24,"state":%q,"coldLeft":"0s","sequence":%d,"born":1785890080015,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}]}`, i%5, 40+i, i%5, state, 31+i)
			all = append(all, bramleytack.Object{Key: bramleytack.Key{Kind: kind, Name: fmt.Sprintf("i-%010x", 7919*i*i+i)}, Version: v, Data: []byte(data)})
		}
		return all
	}
	runHubs(t, 48, 0, func(c *cell) {
		time.Sleep(4 * time.Second)
		for _, n := range c.nodes {
			n.Table.Apply(btreplica.Batch{Kind: kind, Full: true, Upto: 4, Objects: notices("ready", 4)})
		}
		time.Sleep(time.Second)
		c.lan.mu.Lock()
		c.lan.largest = 0
		c.lan.mu.Unlock()
		c.nodes[10].Table.Apply(btreplica.Batch{Kind: kind, Base: 4, Upto: 9, Objects: notices("draining", 9), FromStore: true})
		time.Sleep(time.Millisecond)
		for i, n := range c.nodes {
			assert.Equal(t, n.Table.Upto(kind), bramleytack.Revision(9), "daemon %d", i)
		}
		c.lan.mu.Lock()
		defer c.lan.mu.Unlock()
		assert.Assert(t, c.lan.largest <= 2*maxPacketSize, "largest datagram has %d bytes", c.lan.largest)
	})
}

// A process restarts with a clock that is behind. Guards against peers that ignore it
// until its clock has caught up with its earlier incarnation.
func TestRestartWithClockBehind(t *testing.T) {
	for _, down := range []time.Duration{100 * time.Millisecond, 5 * time.Second} {
		t.Run(down.String(), func(t *testing.T) {
			runCell(t, 8, 0, func(c *cell) {
				time.Sleep(3 * time.Second)
				c.stops[3]()
				time.Sleep(down)
				c.clockOffset = -20 * time.Second
				c.start(3)
				time.Sleep(2 * time.Second)
				c.checkAlive(7, 0, 3, 7)
			})
		})
	}
}

// Guards against a load that the daemons of a failure domain do not know of because one
// report to its hubs was lost: it must arrive within the time that a replaced hub takes.
func TestLostReportReachesHubs(t *testing.T) {
	runHubs(t, 36, 0, func(c *cell) {
		time.Sleep(4 * time.Second)
		c.lan.isolate(addrOf(9), true)
		c.nodes[9].Accounts.Begin("a", longNeed)
		time.Sleep(minLoadInterval)
		c.lan.isolate(addrOf(9), false)
		time.Sleep(3*tablePeriod - minLoadInterval)
		c.checkAvoidsA(c.inDomain(0, domains*hubsPerDomain))
	})
}

package btgossip

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/route/btrollout"
)

// orderedService has an order in the tests.
const orderedService = "shop"

// startRollouts gives each daemon an order and starts its ticks.
func (c *cell) startRollouts() {
	order := &bramleytack.Rollout{Service: orderedService, Target: "2", Duration: time.Minute, Created: 1, Revision: 1}
	s := &bramleytack.Snapshot{
		Rollouts: map[string]*bramleytack.Rollout{orderedService: order}, Upstreams: map[bramleytack.UpstreamID]*bramleytack.Upstream{},
		ByService: map[string][]*bramleytack.Upstream{}, FailureDomains: map[bramleytack.FailureDomainID]*bramleytack.FailureDomain{"a": {Name: "a", State: bramleytack.DomainActive}},
	}
	for i, version := range []string{"1", "2", "1", "2"} {
		u := &bramleytack.Upstream{ID: bramleytack.UpstreamID(fmt.Sprint("u", i)), Service: orderedService, Version: version, FailureDomain: "a", WarmLimit: 6}
		s.Upstreams[u.ID] = u
		s.ByService[orderedService] = append(s.ByService[orderedService], u)
	}
	for _, n := range c.nodes {
		n.Rollouts.Update(s)
	}
	for _, n := range c.nodes {
		go (&rolloutTicker{c, n, s}).run()
	}
}

// newRollouts returns the roll-outs of a daemon of a cell.
func newRollouts(n *Node) *btrollout.Table {
	return &btrollout.Table{
		Timer: n.Timer, Bounds: btrollout.Bounds{Share: 0.1, Slack: 50}, Log: n.Log, Judges: n.JudgesRollouts, Reach: n.GrantPart, Daemons: n.Count, Alive: n.AliveHost,
		StoreAway: func() bool { return false }, Running: func(bramleytack.UpstreamID) int { return 0 },
	}
}

// rolloutTicker plays the periodic work of a daemon for half a minute. Every second answer of
// the new version is an error.
type rolloutTicker struct {
	c *cell
	n *Node
	s *bramleytack.Snapshot
}

func (r *rolloutTicker) run() {
	const requests = 8
	for i := range 120 * requests {
		if i%requests == 0 {
			time.Sleep(btrollout.TickPeriod)
			r.n.SendRollouts(r.n.Rollouts.Tick())
		}
		for _, u := range r.s.ByService[orderedService] {
			choice := r.n.Rollouts.Choose(orderedService)
			if choice.Allows(u) {
				r.n.Rollouts.Sent(u)
				r.n.Rollouts.Answered(btrollout.Answer{Upstream: u, Route: "r", First: time.Second, Failed: u.Version == "2" && i%2 == 0})
			}
		}
	}
}

// Guards against counts of the daemons that are not added up, and against a verdict that does not
// reach all of them, with and without hubs, and with lost datagrams.
func TestRolloutVerdictSpreads(t *testing.T) {
	check := func(c *cell) {
		time.Sleep(4 * time.Second)
		c.startRollouts()
		time.Sleep(31 * time.Second)
		for i, n := range c.nodes {
			s := n.Rollouts.States()
			assert.Check(c.t, len(s) == 1 && s[0].RolledBack, "daemon %d: %+v", i, s)
		}
	}
	t.Run("direct", func(t *testing.T) { runCell(t, 8, 0, check) })
	t.Run("lossy", func(t *testing.T) { runCell(t, 8, 0.3, check) })
	t.Run("hubs", func(t *testing.T) { runHubs(t, 20, 0, check) })
}

// Guards against counts that change on the way, and reports that do not fit into a datagram.
func TestRolloutReportIsKept(t *testing.T) {
	r := btrollout.Report{Service: orderedService, Order: 5, Number: 7, Stage: btrollout.Half, OldRunning: 3, Sent: 100, Exposed: 10, Counts: map[btrollout.Key]*btrollout.Count{}}
	for load := range uint8(3) {
		for group := range uint8(9) {
			c := &btrollout.Count{Answers: 200, Failures: 3, Broken: 1}
			for i := range 6 {
				c.First[20+i], c.Gaps[8+i] = 30, 300
			}
			r.Counts[btrollout.Key{Route: "r1", Load: load, Group: group}] = c
		}
	}
	data, err := proto.Marshal(&Packet{RolloutReports: []*RolloutReport{encodeRolloutReport(r)}})
	assert.NilError(t, err)
	assert.Check(t, len(data) <= 2*maxPacketSize, "%d bytes", len(data))
	var p Packet
	assert.NilError(t, proto.Unmarshal(data, &p))
	assert.DeepEqual(t, decodeRolloutReport(p.RolloutReports[0]), r)
	odd := &RolloutReport{Counts: []*RolloutCount{{Load: 9}, {Group: 99}, {Route: "r", FirstFrom: 1 << 31, First: []uint32{1}}}}
	assert.Equal(t, len(decodeRolloutReport(odd).Counts), 1)
}

// Guards against parts of a decision that are lost on the way.
func TestRolloutDecisionIsKept(t *testing.T) {
	d := btrollout.Decision{
		Service: orderedService, Order: 7, Stage: btrollout.Full, Share: 0.25, Rejected: true, Complete: true, Age: time.Minute, Trial: time.Second,
	}
	assert.DeepEqual(t, decodeRolloutDecision(encodeRolloutDecision(d)), d)
}

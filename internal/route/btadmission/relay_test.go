package btadmission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"

	"bramleytack/internal/route/btreturn"
)

// Load: one tenant far above its share in a fleet with hubs. Guards against daemons that count
// their own demand twice, as their own and within a sum; against sums that do not end; and
// against tenants that are above their fair share only at the daemons where they are.
func TestRelayAddsUpDemand(t *testing.T) {
	k := newClock()
	var a, b Relay
	report := func(memory int, told ...btreturn.Told) Demand {
		return Demand{Waiting: []Waiting{{Service: 1, Rank: 2, Memory: memory, Prompt: memory}}, Tenants: []TenantUse{{7, memory}}, Told: told}
	}
	a.SetReport("a1", report(1000), k.now)
	a.SetReport("a2", report(200, btreturn.Told{Key: 5, After: time.Second}), k.now)
	b.SetReport("b1", report(30), k.now)
	total, ok := a.Total(k.now)
	assert.Assert(t, ok && len(total.Told) == 1 && total.Daemons == 2, "%+v", total)
	b.SetDomain("a", "a1", total, k.now)
	for _, c := range []struct {
		relay   *Relay
		host    bramleytack.HostID
		memory  int
		daemons int
	}{{&a, "a1", 200, 1}, {&a, "a2", 1000, 1}, {&a, "a3", 1200, 2}, {&b, "b1", 1200, 2}, {&b, "b2", 1230, 3}} {
		d := c.relay.Others([]bramleytack.HostID{c.host}, k.now)[c.host]
		assert.Equal(t, d.Daemons, c.daemons, "%s", c.host)
		assert.DeepEqual(t, d.Waiting, []Waiting{{1, 2, c.memory, c.memory}})
		assert.DeepEqual(t, d.Tenants, []TenantUse{{7, c.memory}})
	}
	b.SetDomain("a", "new hub", Demand{Daemons: 1}, k.now)
	assert.Equal(t, b.Others([]bramleytack.HostID{"b1"}, k.now)["b1"].Daemons, 2, "a hub without all reports")
	k.now = k.now.Add(demandValidity)
	assert.Equal(t, len(b.Others([]bramleytack.HostID{"b1"}, k.now)), 0, "silent daemons count")
	_, ok = a.Total(k.now)
	assert.Assert(t, !ok)
}

// Load: mass return. Guards against callers that are known only to the domain that told them to
// come back, and against messages that grow with their number.
func TestRelayPassesReturns(t *testing.T) {
	k := newClock()
	var a, b Relay
	var told []btreturn.Told
	for i := range 2 * maxTotalTold {
		told = append(told, btreturn.Told{Key: btreturn.Key(i), After: time.Second})
	}
	a.SetReport("a1", Demand{Told: told}, k.now)
	known := map[btreturn.Key]bool{}
	for range 2 {
		total, _ := a.Total(k.now)
		assert.Equal(t, len(total.Told), maxTotalTold)
		b.SetDomain("a", "a1", total, k.now)
		for _, x := range b.Others([]bramleytack.HostID{"b1"}, k.now)["b1"].Told {
			known[x.Key] = true
		}
	}
	assert.Equal(t, len(known), len(told))
}

// Load: one tenant takes most, at daemons of another failure domain than those of small ones.
// Guards against fair shares that hold only among the daemons of one hub.
func TestFairShareHoldsThroughHubs(t *testing.T) {
	k := newClock()
	var relay Relay
	small := New(k, 1)
	for i := range 40 {
		d := Demand{Waiting: []Waiting{{Service: hashOf("llm"), Memory: 3000}}, Tenants: []TenantUse{{hashOf("large"), 10_000}}}
		relay.SetReport(bramleytack.HostID(fmt.Sprint("h", i)), d, k.now)
	}
	small.SetOthers("hub", relay.Others([]bramleytack.HostID{"small"}, k.now)["small"])
	small.tenants[hashOf("small")] = 5000
	s := small.refresh(k.now)
	assert.Assert(t, s.above(hashOf("large")) && !s.above(hashOf("small")), "fair share %d", s.fair)
	assert.Equal(t, s.daemons, 40)
}

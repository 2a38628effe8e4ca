package btgossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btwaiting"
)

// shopOf is a snapshot with one plain service of one upstream.
func shopOf(u *bramleytack.Upstream) *bramleytack.Snapshot {
	return &bramleytack.Snapshot{
		Upstreams:      map[bramleytack.UpstreamID]*bramleytack.Upstream{u.ID: u},
		ByService:      map[string][]*bramleytack.Upstream{u.Service: {u}},
		FailureDomains: map[bramleytack.FailureDomainID]*bramleytack.FailureDomain{u.FailureDomain: {State: bramleytack.DomainActive}},
	}
}

// A daemon whose calls wait and run at the only upstream of a service is killed, cut off as one
// that is frozen, or ends its calls before a planned stop. Guards against places that the
// others leave to a daemon which does not use them, beyond the time in which they notice, and
// against one that is back and has no part.
func TestPlacesOfSilentDaemons(t *testing.T) {
	u := &bramleytack.Upstream{ID: "s0", Service: "shop", FailureDomain: "d", WarmLimit: 6}
	s := shopOf(u)
	for _, c := range []struct {
		name   string
		within time.Duration
		end    func(c *cell, endCalls func())
		back   func(c *cell)
	}{
		{"killed", aliveTimeout + time.Second, func(c *cell, _ func()) { c.stops[3]() }, nil},
		{
			"frozen", aliveTimeout + time.Second, func(c *cell, _ func()) { c.lan.isolate(addrOf(3), true) },
			func(c *cell) { c.lan.isolate(addrOf(3), false) },
		},
		{"stopped", 200 * time.Millisecond, func(_ *cell, endCalls func()) { endCalls() }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCell(t, 8, 0, func(cell *cell) {
				time.Sleep(3 * time.Second)
				accounts := cell.nodes[3].Accounts
				var calls []*btaccount.Call
				var leases []*btaccount.Lease
				for range 4 {
					leases = append(leases, accounts.Begin(u.ID, btaccount.Need{}))
					calls = append(calls, accounts.BeginCall(s, u.Service, "w1"))
					calls[len(calls)-1].BeginWaiting()
				}
				check := func(want btwaiting.Occupancy) {
					t.Helper()
					for i, n := range cell.nodes {
						if i != 3 {
							n.Accounts.Retain(s, n.ValidSource())
							n.Accounts.Observe(u.ID, 0, 0)
							assert.DeepEqual(t, n.Accounts.Occupancy(s, u.Service), want)
						}
					}
				}
				shared := btwaiting.Occupancy{Places: 15, Free: 11, Running: 4, Waiting: 4, Calls: (*btwaiting.Demand)(nil).Add(btwaiting.KeyOf("w1"), 4)}
				time.Sleep(time.Second)
				check(shared)
				c.end(cell, func() {
					for i := range calls {
						leases[i].End(btaccount.Served)
						calls[i].End()
					}
				})
				time.Sleep(c.within)
				check(btwaiting.Occupancy{Places: 15, Free: 15})
				if c.back != nil {
					c.back(cell)
					time.Sleep(3 * time.Second)
					check(shared)
				}
			})
		})
	}
}

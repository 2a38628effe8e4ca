package btaccount

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/route/btwaiting"
)

// Guards against a forecast of the end of a request that leaves out the wait for a place at
// its upstream.
func TestWaitCountsRequestsAhead(t *testing.T) {
	const run = 6 * time.Second
	for _, c := range []struct {
		name             string
		own, peers, seen int
		want             time.Duration
	}{
		{"idle", 0, 0, 0, 0},
		{"last place", 23, 0, 0, 0},
		{"first in the queue", 24, 0, 0, run / 24},
		{"with those of other daemons", 24, 23, 0, run},
		{"as the upstream reports", 1, 0, 24 + 47, 2 * run},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
				s, table := fleet(1), newTable(timer)
				u := s.Upstreams["e00"]
				for range c.own {
					table.Begin(u.ID, longGeneration)
				}
				table.SetPeer(Source{Host: "other"}, map[bramleytack.UpstreamID]Load{u.ID: {Running: c.peers}})
				table.Observe(u.ID, min(c.seen, 24), max(c.seen-24, 0))
				assert.Equal(t, table.Wait(s, u, run), c.want)
			})
		})
	}
}

// calls returns a demand from names of workspaces and numbers of calls.
func calls(list ...any) *btwaiting.Demand {
	var d *btwaiting.Demand
	for i := 0; i < len(list); i += 2 {
		d = d.Add(btwaiting.KeyOf(bramleytack.WorkspaceID(list[i].(string))), list[i+1].(int))
	}
	return d
}

// Guards against places that are counted as free although requests of other daemons take them,
// and against waiting requests that others do not learn of.
func TestOccupancyCountsAllDaemons(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		table := newTable(timer)
		u := &bramleytack.Upstream{ID: "s0", Service: "shop", FailureDomain: "d1", WarmLimit: 6}
		s := &bramleytack.Snapshot{
			Upstreams:      map[bramleytack.UpstreamID]*bramleytack.Upstream{u.ID: u},
			ByService:      map[string][]*bramleytack.Upstream{u.Service: {u}},
			FailureDomains: map[bramleytack.FailureDomainID]*bramleytack.FailureDomain{"d1": {State: bramleytack.DomainActive}},
		}
		table.Begin(u.ID, Need{})
		assert.Equal(t, table.Occupancy(s, u.Service).Places, 0, "nothing shows a bound")
		call := table.BeginCall(s, u.Service, "w1")
		call.BeginWaiting()
		table.SetPeer(Source{Host: "other"}, map[bramleytack.UpstreamID]Load{u.ID: {Running: 4, Waiting: 3, Calls: calls("w1", 2, "w2", 5)}})
		assert.DeepEqual(t, table.OwnLoads()[u.ID], Load{Running: 1, Waiting: 1, Calls: calls("w1", 1)})
		assert.DeepEqual(t, table.Occupancy(s, u.Service), btwaiting.Occupancy{
			Places: 15, Free: 10, Running: 5, Waiting: 4, OwnRunning: 1, OwnWaiting: 1, OwnCalls: calls("w1", 1), Calls: calls("w1", 3, "w2", 5),
		})
		call.End()
		table.Pause(u, time.Second)
		assert.DeepEqual(t, table.Occupancy(s, u.Service), btwaiting.Occupancy{Waiting: 3, OwnRunning: 1, Calls: calls("w1", 2, "w2", 5)})
		time.Sleep(2 * time.Second)
		table.SetPeer(Source{Host: "other"}, nil)
		assert.Equal(t, table.Occupancy(s, u.Service).Places, 0, "nothing shows a bound")
		table.Observe(u.ID, 2, 0)
		assert.Equal(t, table.Occupancy(s, u.Service).Places, 15)
	})
}

// Guards against workspaces that cost bytes in each report while nothing waits, and without
// bound.
func TestWorkspacesAreReportedWhileCallsWait(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		table := newTable(timer)
		u := &bramleytack.Upstream{ID: "s0", Service: "shop"}
		s := &bramleytack.Snapshot{ByService: map[string][]*bramleytack.Upstream{u.Service: {u}}}
		var list []*Call
		for i := range 40 {
			list = append(list, table.BeginCall(s, u.Service, bramleytack.WorkspaceID(fmt.Sprint("w", i))))
		}
		assert.Equal(t, len(table.OwnLoads()), 0)
		table.SetPeer(Source{Host: "other"}, map[bramleytack.UpstreamID]Load{u.ID: {Waiting: 1}})
		assert.Equal(t, len(*table.OwnLoads()[u.ID].Calls), maxWorkspaces)
		for _, c := range list {
			c.End()
		}
		assert.Equal(t, len(table.OwnLoads()), 0)
	})
}

package btlimit

import (
	"fmt"
	"math"
	"testing"

	"bramleytack"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against shares that change because Demands left out a small demand.
func TestNegligibleDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 32).Draw(t, "members")
		ws := &bramleytack.Workspace{RequestsPerSecond: rapid.Float64Range(0.1, 1e4).Draw(t, "limit")}
		low := negligibleDemand(ws, n).RequestsPerSecond
		var members []bramleytack.HostID
		all, sent := map[bramleytack.HostID]float64{}, map[bramleytack.HostID]float64{}
		for i := range n {
			h := bramleytack.HostID(fmt.Sprint(i))
			members = append(members, h)
			all[h] = rapid.Float64Range(0, 20).Draw(t, "demand") * low
			if sent[h] = 0; all[h] > low {
				sent[h] = all[h]
			}
		}
		with, without := memberShares(members, all, ws.RequestsPerSecond), memberShares(members, sent, ws.RequestsPerSecond)
		for _, h := range members {
			assert.Assert(t, math.Abs(with[h]-without[h]) <= ws.RequestsPerSecond*1e-9, "%s: %f, %f", h, with[h], without[h])
		}
	})
}

// Guards against messages that grow with all workspaces of the last minute.
func TestDemands(t *testing.T) {
	const tenants, busy, burst = 200, 3, 12
	l := &Limiter{Self: "a"}
	members := make([]bramleytack.HostID, 0, 32)
	for i := range cap(members) {
		members = append(members, bramleytack.HostID(fmt.Sprint(i)))
	}
	l.SetMembers(members)
	for i := range tenants {
		ws := &bramleytack.Workspace{Name: bramleytack.WorkspaceID(fmt.Sprint(i)), RequestsPerSecond: 1000, Concurrency: 1000}
		calls := 1
		if i < busy {
			calls = burst
		}
		for range calls {
			_ = l.Admit(start, ws)
		}
	}
	assert.Equal(t, len(l.Demands(start)), busy)
}

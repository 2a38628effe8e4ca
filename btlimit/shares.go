package btlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"bramleytack"
)

// MaxMinShares divides total between hosts by max-min fairness: a host gets its
// demand or, if total is too small for that, no less than any other host. What
// the demands leave over is divided equally. The shares add up to total.
func MaxMinShares(demands map[bramleytack.HostID]float64, total float64) map[bramleytack.HostID]float64 {
	shares := make(map[bramleytack.HostID]float64, len(demands))
	if len(demands) == 0 || !(total > 0) {
		for h := range demands {
			shares[h] = 0
		}
		return shares
	}
	remaining := total
	hosts := byDemand(demands)
	for i, h := range hosts {
		shares[h] = min(sanitize(demands[h]), remaining/float64(len(hosts)-i))
		remaining -= shares[h]
	}
	extra := max(0, remaining) / float64(len(hosts))
	for h := range shares {
		shares[h] += extra
	}
	return shares
}

// byDemand returns the hosts in ascending order of demand. Hosts with equal
// demands are ordered by name, so that all entry daemons get the same result.
func byDemand(demands map[bramleytack.HostID]float64) []bramleytack.HostID {
	return slices.SortedFunc(maps.Keys(demands), func(a, b bramleytack.HostID) int {
		return cmp.Or(cmp.Compare(sanitize(demands[a]), sanitize(demands[b])), cmp.Compare(a, b))
	})
}

// sanitize turns the demand of another host into a finite number that is not
// negative.
func sanitize(d float64) float64 {
	if math.IsNaN(d) || d < 0 {
		return 0
	}
	return min(d, math.MaxInt32)
}

// shareResolution is the unit to which shares are rounded. Rounding errors would
// otherwise order equal remainders differently at each entry daemon.
const shareResolution = 1.0 / (1 << 20)

// RoundShares rounds shares to integers that add up to total: each share is
// rounded down, and the units left over go to the largest remainders.
func RoundShares(shares map[bramleytack.HostID]float64, total int) map[bramleytack.HostID]int {
	units := make(map[bramleytack.HostID]int, len(shares))
	remainders := make(map[bramleytack.HostID]float64, len(shares))
	remaining := total
	for h, s := range shares {
		s = math.Round(s/shareResolution) * shareResolution
		units[h] = int(s)
		remainders[h] = math.Round((s - float64(units[h])) / shareResolution)
		remaining -= units[h]
	}
	byRemainder := slices.SortedFunc(maps.Keys(shares), func(a, b bramleytack.HostID) int {
		return cmp.Or(cmp.Compare(remainders[b], remainders[a]), cmp.Compare(a, b))
	})
	for _, h := range byRemainder[:max(0, min(remaining, len(byRemainder)))] {
		units[h]++
	}
	return units
}

// minShareFraction is the fraction of the equal share that each entry daemon has
// without any demand, so that its first requests need not wait for an exchange.
const minShareFraction = 1.0 / 8

// negligibleDemand returns the demand up to which memberShares treats an entry
// daemon like one without demand. It is infinite where the workspace has no
// limit.
func negligibleDemand(ws *bramleytack.Workspace, members int) Demand {
	part := minShareFraction / float64(max(1, members))
	f := Demand{RequestsPerSecond: math.Inf(1), Concurrency: math.Inf(1)}
	if ws.RequestsPerSecond > 0 {
		f.RequestsPerSecond = ws.RequestsPerSecond * part
	}
	if ws.Concurrency > 0 {
		f.Concurrency = float64(ws.Concurrency) * part
	}
	return f
}

// memberShares returns the shares of the members in demands. The equal share is
// left to each of the other members, which uses it.
func memberShares(members []bramleytack.HostID, demands map[bramleytack.HostID]float64, total float64) map[bramleytack.HostID]float64 {
	equal := total / float64(max(1, len(members)))
	minimumDemands := make(map[bramleytack.HostID]float64, len(demands))
	remaining := total
	for _, h := range members {
		d, ok := demands[h]
		if !ok {
			remaining -= equal
			continue
		}
		minimumDemands[h] = max(sanitize(d), equal*minShareFraction)
	}
	return MaxMinShares(minimumDemands, remaining)
}

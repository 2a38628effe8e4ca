package btlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"bramleytack"
)

// Shares divides total by demand. No host gets less than another one that it
// asks as much as, and what all demands leave over is divided equally. The
// shares add up to total.
func Shares(demands map[bramleytack.HostID]float64, total float64) map[bramleytack.HostID]float64 {
	shares := make(map[bramleytack.HostID]float64, len(demands))
	if len(demands) == 0 || !(total > 0) {
		for h := range demands {
			shares[h] = 0
		}
		return shares
	}
	rest := total
	hosts := sorted(demands)
	for i, h := range hosts {
		shares[h] = min(clean(demands[h]), rest/float64(len(hosts)-i))
		rest -= shares[h]
	}
	extra := max(0, rest) / float64(len(hosts))
	for h := range shares {
		shares[h] += extra
	}
	return shares
}

// sorted returns the hosts by rising demand. The order of equal demands is by
// name, so that all entries compute the same.
func sorted(demands map[bramleytack.HostID]float64) []bramleytack.HostID {
	return slices.SortedFunc(maps.Keys(demands), func(a, b bramleytack.HostID) int {
		return cmp.Or(cmp.Compare(clean(demands[a]), clean(demands[b])), cmp.Compare(a, b))
	})
}

// clean makes a demand from another host a number that can be summed.
func clean(d float64) float64 {
	if math.IsNaN(d) || d < 0 {
		return 0
	}
	return min(d, math.MaxInt32)
}

// resolution hides rounding errors, which would order equal remainders
// differently at each entry.
const resolution = 1.0 / (1 << 20)

// Units rounds shares to whole numbers that add up to total: each share is
// rounded down, and the units left over go to the largest remainders.
func Units(shares map[bramleytack.HostID]float64, total int) map[bramleytack.HostID]int {
	units := make(map[bramleytack.HostID]int, len(shares))
	remainders := make(map[bramleytack.HostID]float64, len(shares))
	rest := total
	for h, s := range shares {
		s = math.Round(s/resolution) * resolution
		units[h] = int(s)
		remainders[h] = math.Round((s - float64(units[h])) / resolution)
		rest -= units[h]
	}
	order := slices.SortedFunc(maps.Keys(shares), func(a, b bramleytack.HostID) int {
		return cmp.Or(cmp.Compare(remainders[b], remainders[a]), cmp.Compare(a, b))
	})
	for _, h := range order[:max(0, min(rest, len(order)))] {
		units[h]++
	}
	return units
}

// probeShare is the part of the equal share that each entry keeps without any
// demand, so that its first requests need not wait for an exchange.
const probeShare = 1.0 / 8

// floor returns the demand of an entry up to which divide treats it like one
// without any. A demand without a limit never matters.
func floor(ws *bramleytack.Workspace, members int) Demand {
	part := probeShare / float64(max(1, members))
	f := Demand{RequestsPerSecond: math.Inf(1), Concurrency: math.Inf(1)}
	if ws.RequestsPerSecond > 0 {
		f.RequestsPerSecond = ws.RequestsPerSecond * part
	}
	if ws.Concurrency > 0 {
		f.Concurrency = float64(ws.Concurrency) * part
	}
	return f
}

// divide returns the shares of the hosts in demands. Members without demands
// use the equal share, which is left to them.
func divide(members []bramleytack.HostID, demands map[bramleytack.HostID]float64, total float64) map[bramleytack.HostID]float64 {
	equal := total / float64(max(1, len(members)))
	raised := make(map[bramleytack.HostID]float64, len(demands))
	rest := total
	for _, h := range members {
		d, ok := demands[h]
		if !ok {
			rest -= equal
			continue
		}
		raised[h] = max(clean(d), equal*probeShare)
	}
	return Shares(raised, rest)
}

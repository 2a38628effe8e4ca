package btwaiting

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bramleytack"
)

// WorkspaceKey is a hash of a workspace's name.
type WorkspaceKey uint32

// KeyOf returns the key of a workspace.
func KeyOf(id bramleytack.WorkspaceID) WorkspaceKey {
	return WorkspaceKey(xxhash.Sum64String(string(id)))
}

// WorkspaceCalls is the number of calls of a workspace that wait or run.
type WorkspaceCalls struct {
	Workspace WorkspaceKey
	Calls     int
}

// Demand holds the calls of workspaces in the order of their keys, without those that have none. It is
// never changed. Nil is an empty one.
type Demand []WorkspaceCalls

// largePart is the part of the places that workspaces above the fair level get together at least:
// one and a half requests for each registered place keep upstreams busy between two reports, and with all
// PlacesFactor for the others, upstreams get four for each.
const largePart = 1.5 / PlacesFactor

// Add returns the demand with n more calls of a workspace.
func (d *Demand) Add(w WorkspaceKey, n int) *Demand {
	return d.Plus(&Demand{{w, n}}, 1)
}

// Plus returns d with o added sign times.
func (d *Demand) Plus(o *Demand, sign int) *Demand {
	if o == nil || len(*o) == 0 {
		return d
	}
	var left Demand
	if d != nil {
		left = *d
	}
	sum := make(Demand, 0, len(left)+len(*o))
	for _, c := range *o {
		i, _ := slices.BinarySearchFunc(left, c.Workspace, compareKey)
		sum, left = append(sum, left[:i]...), left[i:]
		c.Calls *= sign
		if len(left) > 0 && left[0].Workspace == c.Workspace {
			c.Calls += left[0].Calls
			left = left[1:]
		}
		if c.Calls != 0 {
			sum = append(sum, c)
		}
	}
	if sum = append(sum, left...); len(sum) == 0 {
		return nil
	}
	return &sum
}

func compareKey(c WorkspaceCalls, k WorkspaceKey) int { return cmp.Compare(c.Workspace, k) }

// Of returns the calls of a workspace.
func (d *Demand) Of(w WorkspaceKey) int {
	if d == nil {
		return 0
	}
	if i, found := slices.BinarySearchFunc(*d, w, compareKey); found {
		return max((*d)[i].Calls, 0)
	}
	return 0
}

// Workspaces returns the number of workspaces that have calls.
func (d *Demand) Workspaces() int {
	if d == nil {
		return 0
	}
	return len(*d)
}

// Largest returns the n workspaces with the most calls.
func (d *Demand) Largest(n int) *Demand {
	if d == nil || len(*d) <= n {
		return d
	}
	list := slices.Clone(*d)
	slices.SortFunc(list, func(a, b WorkspaceCalls) int { return cmp.Compare(b.Calls, a.Calls) })
	list = list[:n:n]
	slices.SortFunc(list, func(a, b WorkspaceCalls) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return &list
}

// total returns the number of calls.
func (d *Demand) total() int {
	sum := 0
	if d != nil {
		for _, c := range *d {
			sum += max(c.Calls, 0)
		}
	}
	return sum
}

// fairLevel returns the number of places up to which each workspace gets one for each of its
// calls: the max-min share. What some leave goes to the others. These get largePart of the
// places together, also if reports say that no more are left: calls of workspaces below the
// level have often ended since, and upstreams would be idle until the next report.
func (d *Demand) fairLevel(places float64) float64 {
	calls := make([]float64, 0, len(*d))
	for _, c := range *d {
		calls = append(calls, float64(max(c.Calls, 0)))
	}
	slices.Sort(calls)
	least := largePart * places
	for i, n := range calls {
		level := max(places, least) / float64(len(calls)-i)
		if n > level {
			return level
		}
		places -= n
	}
	return calls[len(calls)-1]
}

// fairPart returns the part of places that belongs to the workspaces of own calls, which are
// among d.
func (d *Demand) fairPart(places float64, own *Demand) float64 {
	level, part := d.fairLevel(places), 0.0
	for _, c := range *own {
		if all := float64(max(d.Of(c.Workspace), c.Calls)); c.Calls > 0 {
			part += min(all, level) * float64(c.Calls) / all
		}
	}
	return part
}

package btplace

import (
	"slices"

	"bramleytack"
)

// Next returns the next order that brings an engine from its reported to its
// desired state. It returns false if there is nothing to order now. Drained
// says that the engine takes no new work and that its generations have ended.
func Next(p Placement, r *bramleytack.LoadReport, drained bool) (bramleytack.Order, bool) {
	if p.Model == "" {
		return bramleytack.Order{}, false
	}
	if p.Role == RoleDraining {
		return nextDraining(p, r, drained)
	}
	held := slices.Contains(r.Models, p.LoadedModel)
	switch {
	case !held && (p.Beside || len(r.Models) == 0):
		return order(bramleytack.OrderLoad, p.LoadedModel), true
	case held && r.Role == RoleDraining:
		return bramleytack.Order{Kind: bramleytack.OrderRole, Role: RoleServing}, true
	case held && inFlight(r) == 0:
		return unload(p, r)
	default:
		return bramleytack.Order{}, false
	}
}

// nextDraining empties an engine before it loads its model.
func nextDraining(p Placement, r *bramleytack.LoadReport, drained bool) (bramleytack.Order, bool) {
	if r.Role != RoleDraining {
		return bramleytack.Order{Kind: bramleytack.OrderRole, Role: RoleDraining}, true
	}
	if !drained {
		return bramleytack.Order{}, false
	}
	for _, m := range r.Models {
		if m != p.LoadedModel {
			return order(bramleytack.OrderUnload, m), true
		}
	}
	if len(r.Models) == 0 {
		return order(bramleytack.OrderLoad, p.LoadedModel), true
	}
	return bramleytack.Order{}, false
}

// unload removes other versions of the model. The weights that an adapter
// needs stay.
func unload(p Placement, r *bramleytack.LoadReport) (bramleytack.Order, bool) {
	for _, m := range r.Models {
		if m.Model == p.Model && !sameWeights(m, p.LoadedModel) {
			return order(bramleytack.OrderUnload, m), true
		}
	}
	return bramleytack.Order{}, false
}

func order(k bramleytack.OrderKind, m bramleytack.LoadedModel) bramleytack.Order {
	return bramleytack.Order{Kind: k, Model: m.Model, Version: m.Version, Adapter: m.Adapter}
}

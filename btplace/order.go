package btplace

import (
	"slices"

	"bramleytack"
)

// Next returns the next order that brings an engine from its reported to its
// desired state. It returns false if there is nothing to order now. Drained
// says that the engine takes no new work and that its generations have ended.
func Next(p Placement, r *bramleytack.LoadReport, drained bool) (bramleytack.Command, bool) {
	if p.Model == "" {
		return bramleytack.Command{}, false
	}
	if p.Role == RoleDraining {
		return nextDraining(p, r, drained)
	}
	held := slices.Contains(r.Models, p.LoadedModel)
	switch {
	case !held && (p.Beside || len(r.Models) == 0):
		return order(bramleytack.CommandLoad, p.LoadedModel), true
	case held && r.Role == RoleDraining:
		return bramleytack.Command{Kind: bramleytack.CommandRole, Role: RoleServing}, true
	case held && inFlight(r) == 0:
		return unload(p, r)
	default:
		return bramleytack.Command{}, false
	}
}

// nextDraining empties an engine before it loads its model.
func nextDraining(p Placement, r *bramleytack.LoadReport, drained bool) (bramleytack.Command, bool) {
	if r.Role != RoleDraining {
		return bramleytack.Command{Kind: bramleytack.CommandRole, Role: RoleDraining}, true
	}
	if !drained {
		return bramleytack.Command{}, false
	}
	for _, m := range r.Models {
		if m != p.LoadedModel {
			return order(bramleytack.CommandUnload, m), true
		}
	}
	if len(r.Models) == 0 {
		return order(bramleytack.CommandLoad, p.LoadedModel), true
	}
	return bramleytack.Command{}, false
}

// unload removes other versions of the model. The weights that an adapter
// needs stay.
func unload(p Placement, r *bramleytack.LoadReport) (bramleytack.Command, bool) {
	for _, m := range r.Models {
		if m.Model == p.Model && !sameWeights(m, p.LoadedModel) {
			return order(bramleytack.CommandUnload, m), true
		}
	}
	return bramleytack.Command{}, false
}

func order(k bramleytack.CommandKind, m bramleytack.LoadedModel) bramleytack.Command {
	return bramleytack.Command{Kind: k, Model: m.Model, Version: m.Version, Adapter: m.Adapter}
}

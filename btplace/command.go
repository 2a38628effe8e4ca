package btplace

import (
	"slices"

	"bramleytack"
)

// NextCommand returns the next command that brings an engine from its reported to
// its desired state. It returns false if there is nothing to do now. drained is
// set if the engine takes no new work and its generations have ended.
func NextCommand(p Placement, r *bramleytack.LoadReport, drained bool) (bramleytack.Command, bool) {
	if p.Model == "" {
		return bramleytack.Command{}, false
	}
	if p.Role == RoleDraining {
		return nextDrainingCommand(p, r, drained)
	}
	loaded := slices.Contains(r.Models, p.LoadedModel)
	switch {
	case !loaded && (p.Beside || len(r.Models) == 0):
		return newCommand(bramleytack.CommandLoad, p.LoadedModel), true
	case loaded && r.Role == RoleDraining:
		return bramleytack.Command{Kind: bramleytack.CommandRole, Role: RoleServing}, true
	case loaded && inFlight(r) == 0:
		return unloadOtherVersion(p, r)
	default:
		return bramleytack.Command{}, false
	}
}

// nextDrainingCommand drains an engine, unloads its other models and then loads
// its model.
func nextDrainingCommand(p Placement, r *bramleytack.LoadReport, drained bool) (bramleytack.Command, bool) {
	if r.Role != RoleDraining {
		return bramleytack.Command{Kind: bramleytack.CommandRole, Role: RoleDraining}, true
	}
	if !drained {
		return bramleytack.Command{}, false
	}
	for _, m := range r.Models {
		if m != p.LoadedModel {
			return newCommand(bramleytack.CommandUnload, m), true
		}
	}
	if len(r.Models) == 0 {
		return newCommand(bramleytack.CommandLoad, p.LoadedModel), true
	}
	return bramleytack.Command{}, false
}

// unloadOtherVersion unloads another version of the model. Entries of the same
// version with another adapter or none stay, since they have the same weights.
func unloadOtherVersion(p Placement, r *bramleytack.LoadReport) (bramleytack.Command, bool) {
	for _, m := range r.Models {
		if m.Model == p.Model && !sameWeights(m, p.LoadedModel) {
			return newCommand(bramleytack.CommandUnload, m), true
		}
	}
	return bramleytack.Command{}, false
}

func newCommand(k bramleytack.CommandKind, m bramleytack.LoadedModel) bramleytack.Command {
	return bramleytack.Command{Kind: k, Model: m.Model, Version: m.Version, Adapter: m.Adapter}
}

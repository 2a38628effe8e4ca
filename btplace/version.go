package btplace

import (
	"cmp"
	"math"
	"slices"

	"bramleytack"
)

// setVersion sets the version and the role of a model's engines.
func (p *planner) setVersion(m *bramleytack.Model) {
	target := targetModel(m)
	var all, outdated []*plannedEngine
	for i := range p.planned {
		e := &p.planned[i]
		if e.Model != m.Name {
			continue
		}
		e.LoadedModel = target
		if e.accepts {
			all = append(all, e)
		}
		if p.setRole(e, target) {
			outdated = append(outdated, e)
		}
	}
	p.startReplacements(all, outdated)
}

// setRole sets Role and Beside of an engine, except for one that serves another
// version. It returns true for such an engine: they are replaced a few at a time.
func (p *planner) setRole(e *plannedEngine, target bramleytack.LoadedModel) bool {
	if !e.available {
		if e.previous.Role == RoleDraining {
			e.Role = RoleDraining
		}
		return false
	}
	// An engine that drains already is out of service whatever its version.
	draining := e.previous.Role == RoleDraining || e.report.Role == RoleDraining
	switch models := e.report.Models; {
	case slices.Contains(models, target):
		return false
	case slices.ContainsFunc(models, func(m bramleytack.LoadedModel) bool { return sameWeights(m, target) }):
		e.Beside = true
		return false
	case draining, len(models) > 0 && !holdsModel(e.report, target.Model):
		// The engine is being replaced, or has to unload another model first.
		e.Role = RoleDraining
		return false
	case len(models) == 0:
		return false
	default:
		return true
	}
}

// startReplacements starts the replacement of engines that serve another version,
// as far as the policy allows. all are the model's engines that may get work.
// Engines that already load the new version beside go first, then those of
// returning domains, then those with the fewest generations.
func (p *planner) startReplacements(all, outdated []*plannedEngine) {
	serving, replacing := 0, 0
	for _, e := range all {
		if e.inService() {
			serving++
		}
		if e.available && (e.Role == RoleDraining || e.Beside || e.report.Role == RoleDraining) {
			replacing++
		}
	}
	minServing := int(math.Ceil(p.Policy.MinCapacity * float64(len(all))))
	slices.SortStableFunc(outdated, func(a, b *plannedEngine) int {
		return cmp.Or(
			cmp.Compare(boolToInt(b.previous.Beside), boolToInt(a.previous.Beside)),
			cmp.Compare(boolToInt(b.returning), boolToInt(a.returning)),
			cmp.Compare(inFlight(a.report), inFlight(b.report)),
		)
	})
	for _, e := range outdated {
		switch {
		case e.previous.Beside:
			e.Beside = true
		case replacing >= p.Policy.MaxReplace:
			return
		case serving > minServing:
			e.Role = RoleDraining
			serving--
		case replacing == 0:
			// No engine can be drained, so one loads the new version beside.
			e.Beside = true
		default:
			return
		}
		replacing++
	}
}

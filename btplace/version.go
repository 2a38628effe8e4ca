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
		s := &p.planned[i]
		if s.Model != m.Name {
			continue
		}
		s.LoadedModel = target
		if s.accepts {
			all = append(all, s)
		}
		if p.setRole(s, target) {
			outdated = append(outdated, s)
		}
	}
	p.startReplacements(all, outdated)
}

// setRole sets Role and Beside of an engine, except for one that serves another
// version. It returns true for such an engine: they are replaced a few at a time.
func (p *planner) setRole(s *plannedEngine, target bramleytack.LoadedModel) bool {
	if !s.available {
		if s.previous.Role == RoleDraining {
			s.Role = RoleDraining
		}
		return false
	}
	// An engine that drains already is out of service whatever its version.
	draining := s.previous.Role == RoleDraining || s.report.Role == RoleDraining
	switch models := s.report.Models; {
	case slices.Contains(models, target):
		return false
	case slices.ContainsFunc(models, func(h bramleytack.LoadedModel) bool { return sameWeights(h, target) }):
		s.Beside = true
		return false
	case draining, len(models) > 0 && !holdsModel(s.report, target.Model):
		// The engine is being replaced, or holds only models that were reassigned.
		s.Role = RoleDraining
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
	for _, s := range all {
		if s.inService() {
			serving++
		}
		if s.available && (s.Role == RoleDraining || s.Beside || s.report.Role == RoleDraining) {
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
	for _, s := range outdated {
		switch {
		case s.previous.Beside:
			s.Beside = true
		case replacing >= p.Policy.MaxReplace:
			return
		case serving > minServing:
			s.Role = RoleDraining
			serving--
		case replacing == 0:
			// No engine can be drained, so one loads the new version beside.
			s.Beside = true
		default:
			return
		}
		replacing++
	}
}

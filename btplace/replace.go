package btplace

import (
	"cmp"
	"math"
	"slices"

	"bramleytack"
)

// replace sets the version and the role of a model's engines.
func (p *planner) replace(m *bramleytack.Model) {
	t := target(m)
	var all, old []*slot
	for i := range p.slots {
		s := &p.slots[i]
		if s.Model != m.Name {
			continue
		}
		s.LoadedModel = t
		if s.accepts {
			all = append(all, s)
		}
		if p.outdated(s, t) {
			old = append(old, s)
		}
	}
	p.drain(all, old)
}

// outdated sets the role of an engine that needs no turn in the change of
// version. It says whether the engine serves another version and has to wait
// for its turn.
func (p *planner) outdated(s *slot, t bramleytack.LoadedModel) bool {
	if !s.available {
		if s.previous.Role == RoleDraining {
			s.Role = RoleDraining
		}
		return false
	}
	// An engine that a previous desired state drained is out of service already.
	drains := s.previous.Role == RoleDraining || s.report.Role == RoleDraining
	switch models := s.report.Models; {
	case slices.Contains(models, t):
		return false
	case slices.ContainsFunc(models, func(h bramleytack.LoadedModel) bool { return sameWeights(h, t) }):
		s.Beside = true
		return false
	case drains, len(models) > 0 && !holds(s.report, t.Model):
		// The engine is at work on it, or holds a model that can be spared.
		s.Role = RoleDraining
		return false
	case len(models) == 0:
		return false
	default:
		return true
	}
}

// drain starts the replacement of some engines that serve another version.
func (p *planner) drain(all, old []*slot) {
	serving, busy := 0, 0
	for _, s := range all {
		if s.serves() {
			serving++
		}
		if s.available && (s.Role == RoleDraining || s.Beside || s.report.Role == RoleDraining) {
			busy++
		}
	}
	least := int(math.Ceil(p.Policy.MinCapacity * float64(len(all))))
	slices.SortStableFunc(old, func(a, b *slot) int {
		return cmp.Or(
			cmp.Compare(truth(b.previous.Beside), truth(a.previous.Beside)),
			cmp.Compare(truth(b.returning), truth(a.returning)),
			cmp.Compare(inFlight(a.report), inFlight(b.report)),
		)
	})
	for _, s := range old {
		switch {
		case s.previous.Beside:
			s.Beside = true
		case busy >= p.Policy.MaxReplace:
			return
		case serving > least:
			s.Role = RoleDraining
			serving--
		case busy == 0:
			// No engine can be spared, so that the new version is added to one.
			s.Beside = true
		default:
			return
		}
		busy++
	}
}

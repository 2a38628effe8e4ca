package btplace

import (
	"slices"
	"strings"

	"bramleytack"
)

// StateKind is the kind of the objects with the desired state of a cell.
const StateKind = "placement"

// The roles of engines. An engine without a role is serving: it reports none
// until it gets its first role command.
const (
	RoleServing  = "serving"
	RoleDraining = "draining"
)

// Placement is the desired state of one engine. No command is sent for a
// Placement without a model.
type Placement struct {
	Upstream bramleytack.UpstreamID `json:"upstream"`
	bramleytack.LoadedModel
	Role string `json:"role"`
	// Beside lets the engine load the model while it still serves another.
	Beside bool `json:"beside,omitempty"`
}

// State is the desired state of a cell's engines.
type State struct {
	// Fence is the fencing token of the lease holder that wrote the state.
	Fence bramleytack.Fence `json:"fence"`
	// Engines are sorted by id.
	Engines []Placement `json:"engines"`
	// Out are the failure domains that are out of service. Returning are those
	// that are in service again but have engines without their models.
	Out       []bramleytack.FailureDomainID `json:"out,omitempty"`
	Returning []bramleytack.FailureDomainID `json:"returning,omitempty"`
}

// Placement returns the desired state of an engine.
func (s *State) Placement(id bramleytack.UpstreamID) (Placement, bool) {
	i, ok := slices.BinarySearchFunc(s.Engines, id, func(p Placement, id bramleytack.UpstreamID) int {
		return strings.Compare(string(p.Upstream), string(id))
	})
	if !ok {
		return Placement{}, false
	}
	return s.Engines[i], true
}

// equal reports whether two states are the same and have the same fencing token.
func (s *State) equal(o *State) bool {
	return s.Fence == o.Fence && slices.Equal(s.Engines, o.Engines) &&
		slices.Equal(s.Out, o.Out) && slices.Equal(s.Returning, o.Returning)
}

// targetModel returns the version and the adapter that a model's record asks for.
func targetModel(m *bramleytack.Model) bramleytack.LoadedModel {
	return bramleytack.LoadedModel{Model: m.Name, Version: m.Version, Adapter: m.Adapter}
}

// holdsModel reports whether a load report lists any version of a model.
func holdsModel(r *bramleytack.LoadReport, model string) bool {
	return slices.ContainsFunc(r.Models, func(m bramleytack.LoadedModel) bool { return m.Model == model })
}

// sameWeights reports whether two entries differ at most in the adapter.
func sameWeights(a, b bramleytack.LoadedModel) bool {
	return a.Model == b.Model && a.Version == b.Version
}

// inFlight returns the number of generations that run or wait.
func inFlight(r *bramleytack.LoadReport) int { return r.Running + r.Waiting }

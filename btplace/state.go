package btplace

import (
	"slices"
	"strings"

	"bramleytack"
)

// Kind is the kind of the objects with the desired state of a cell.
const Kind = "placement"

// The roles of engines. An engine that never got a role order reports none and
// serves.
const (
	RoleServing  = "serving"
	RoleDraining = "draining"
)

// Placement is the desired state of one engine. A Placement without a model
// asks nothing of the engine.
type Placement struct {
	Upstream bramleytack.UpstreamID `json:"upstream"`
	bramleytack.LoadedModel
	Role string `json:"role"`
	// Beside lets the engine load the model while it holds and serves others.
	Beside bool `json:"beside,omitempty"`
}

// State is the desired state of a cell's engines.
type State struct {
	// Fence is the fencing number of the holder that wrote the state.
	Fence bramleytack.Fence `json:"fence"`
	// Engines are in the order of their ids.
	Engines []Placement `json:"engines"`
	// Out are the failure domains that are out of service. Returning are those
	// that came back and whose engines do not hold their models yet.
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

// equal says whether two states ask the same and have the same holder.
func (s *State) equal(o *State) bool {
	return s.Fence == o.Fence && slices.Equal(s.Engines, o.Engines) &&
		slices.Equal(s.Out, o.Out) && slices.Equal(s.Returning, o.Returning)
}

// target returns what the engines of a model hold by its record.
func target(m *bramleytack.Model) bramleytack.LoadedModel {
	return bramleytack.LoadedModel{Model: m.Name, Version: m.Version, Adapter: m.Adapter}
}

// holds says whether a report lists a version of a model.
func holds(r *bramleytack.LoadReport, model string) bool {
	return slices.ContainsFunc(r.Models, func(m bramleytack.LoadedModel) bool { return m.Model == model })
}

// sameWeights says whether two entries differ by their adapter at most.
func sameWeights(a, b bramleytack.LoadedModel) bool {
	return a.Model == b.Model && a.Version == b.Version
}

func inFlight(r *bramleytack.LoadReport) int { return r.Running + r.Waiting }

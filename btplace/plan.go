package btplace

import (
	"cmp"
	"math"
	"slices"

	"bramleytack"
)

// Policy are the settings of Plan. Zero fields take defaults.
type Policy struct {
	// MinCapacity is the fraction of a model's engines that stay in service
	// during a change of version.
	MinCapacity float64
	// MaxReplace is the number of a model's engines that may change the version
	// at the same time.
	MaxReplace int
	// Headroom is the factor by which the capacity for a model exceeds its
	// demand.
	Headroom float64
}

// Defaults of a Policy.
const (
	DefaultMinCapacity = 0.75
	DefaultMaxReplace  = 4
	DefaultHeadroom    = 1.25
)

func (p Policy) withDefaults() Policy {
	p.MinCapacity = cmp.Or(p.MinCapacity, DefaultMinCapacity)
	p.MaxReplace = cmp.Or(p.MaxReplace, DefaultMaxReplace)
	p.Headroom = cmp.Or(p.Headroom, DefaultHeadroom)
	return p
}

// Input has the arguments of Plan. Plan does not change what they refer to.
type Input struct {
	Snapshot *bramleytack.Snapshot
	// Engines are the engines of the cell, sorted by id.
	Engines []*bramleytack.Upstream
	// Reports has the last load reports of the engines that respond.
	Reports map[bramleytack.UpstreamID]*bramleytack.LoadReport
	// Demand is the smoothed demand of each model, Capacity the capacity of one
	// engine that holds it, in tokens per second. For a model without a known
	// capacity, commitments and demand need one engine.
	Demand   map[string]float64
	Capacity map[string]float64
	Previous State
	Policy   Policy
}

// Plan returns the next desired state, without a fencing token.
func Plan(in Input) State {
	in.Policy = in.Policy.withDefaults()
	p := &planner{Input: in}
	p.state.Out, p.state.Returning = p.domains()
	p.keepModels()
	p.assign()
	p.spreadSingleDomain()
	for _, m := range p.models() {
		p.setVersion(m)
	}
	for i := range p.planned {
		p.state.Engines = append(p.state.Engines, p.planned[i].Placement)
	}
	return p.state
}

// plannedEngine is an engine whose desired state is being planned.
type plannedEngine struct {
	Placement
	record *bramleytack.Upstream
	// report is nil for an engine that does not respond.
	report *bramleytack.LoadReport
	// accepts is set if the engine may get new work by its records, available if
	// it responds as well.
	accepts   bool
	available bool
	// returning is set if the engine's failure domain is returning.
	returning bool
	// previous is the engine's placement in the previous desired state.
	previous Placement
}

func (e *plannedEngine) mayHold(model string) bool { return slices.Contains(e.record.Models, model) }

// inService reports whether the engine takes work for any version of its model.
func (e *plannedEngine) inService() bool {
	return e.available && e.Role != RoleDraining && e.report.Role != RoleDraining && holdsModel(e.report, e.Model)
}

type planner struct {
	Input
	state   State
	planned []plannedEngine
}

// domains returns the failure domains that are out of service and those that are
// returning.
func (p *planner) domains() (out, returning []bramleytack.FailureDomainID) {
	for id, d := range p.Snapshot.FailureDomains {
		if d.State == bramleytack.DomainOut {
			out = append(out, id)
			continue
		}
		returned := slices.Contains(p.Previous.Out, id)
		if returned || slices.Contains(p.Previous.Returning, id) && !p.domainRestored(id) {
			returning = append(returning, id)
		}
	}
	slices.Sort(out)
	slices.Sort(returning)
	return out, returning
}

// domainRestored reports whether all engines of a domain that accept work hold
// the models of the previous desired state.
func (p *planner) domainRestored(id bramleytack.FailureDomainID) bool {
	for _, u := range p.Engines {
		if u.FailureDomain != id || !p.Snapshot.Accepts(u.ID) {
			continue
		}
		want, ok := p.Previous.Placement(u.ID)
		if !ok || want.Model == "" {
			continue
		}
		if r := p.Reports[u.ID]; r == nil || !slices.Contains(r.Models, want.LoadedModel) {
			return false
		}
	}
	return true
}

// keepModels starts the plan with the model that each engine has.
func (p *planner) keepModels() {
	for _, u := range p.Engines {
		e := plannedEngine{record: u, report: p.Reports[u.ID], accepts: p.Snapshot.Accepts(u.ID)}
		e.available = e.accepts && e.report != nil
		e.returning = slices.Contains(p.state.Returning, u.FailureDomain)
		e.previous, _ = p.Previous.Placement(u.ID)
		e.Upstream, e.Role = u.ID, RoleServing
		e.Model = p.keptModel(&e)
		p.planned = append(p.planned, e)
	}
}

// keptModel returns the model of the previous desired state or, without one, a
// model that the engine reports. It skips models that the records no longer allow
// on the engine, and returns "" if none remains.
func (p *planner) keptModel(e *plannedEngine) string {
	if m := e.previous.Model; p.Snapshot.Models[m] != nil && e.mayHold(m) {
		return m
	}
	if e.report == nil {
		return ""
	}
	for _, m := range e.report.Models {
		if p.Snapshot.Models[m.Model] != nil && e.mayHold(m.Model) {
			return m.Model
		}
	}
	return ""
}

// models returns the models, sorted by committed throughput with the largest
// first.
func (p *planner) models() []*bramleytack.Model {
	list := make([]*bramleytack.Model, 0, len(p.Snapshot.Models))
	for _, m := range p.Snapshot.Models {
		list = append(list, m)
	}
	committed := Committed(p.Snapshot)
	slices.SortFunc(list, func(a, b *bramleytack.Model) int {
		return cmp.Or(cmp.Compare(committed[b.Name], committed[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// Committed returns the committed throughput of each model in tokens per second.
func Committed(s *bramleytack.Snapshot) map[string]float64 {
	sums := map[string]float64{}
	for _, c := range s.Commitments {
		sums[c.Model] += c.TokensPerSecond
	}
	return sums
}

// assign gives engines to the models that have too few, in three rounds: for the
// commitments, then also for the replicas of the records, then also for the
// demand.
func (p *planner) assign() {
	committed, recorded, needed := map[string]int{}, map[string]int{}, map[string]int{}
	rates := Committed(p.Snapshot)
	for name, m := range p.Snapshot.Models {
		committed[name] = p.enginesNeeded(name, rates[name])
		recorded[name] = max(committed[name], m.Replicas)
		needed[name] = max(recorded[name], p.enginesNeeded(name, p.Demand[name]*p.Policy.Headroom))
	}
	for _, want := range []map[string]int{committed, recorded, needed} {
		p.fillModels(want)
	}
}

// enginesNeeded returns the number of engines of a model that produce a rate of
// tokens per second. It returns 1 if the capacity of an engine is not known.
func (p *planner) enginesNeeded(model string, rate float64) int {
	if rate <= 0 {
		return 0
	}
	capacity := p.Capacity[model]
	if capacity <= 0 {
		return 1
	}
	return int(math.Ceil(rate / capacity))
}

// fillModels gives engines to models until each has the wanted number or no
// suitable engine is left. It takes engines only from models that have more than
// they want.
func (p *planner) fillModels(want map[string]int) {
	for _, m := range p.models() {
		for p.countAvailable(m.Name) < want[m.Name] {
			e := p.pickEngine(m.Name, want)
			if e == nil {
				break
			}
			e.Model = m.Name
		}
	}
}

// countAvailable returns the number of available engines of a model.
func (p *planner) countAvailable(model string) (n int) {
	for i := range p.planned {
		if p.planned[i].available && p.planned[i].Model == model {
			n++
		}
	}
	return n
}

// pickEngine returns the preferred engine to give to a model, or nil.
func (p *planner) pickEngine(model string, want map[string]int) *plannedEngine {
	inDomain := p.countPerDomain(model)
	var best *plannedEngine
	for i := range p.planned {
		e := &p.planned[i]
		if !e.available || e.Model == model || !e.mayHold(model) {
			continue
		}
		if e.Model != "" && p.countAvailable(e.Model) <= want[e.Model] {
			continue
		}
		if best == nil || preferred(e, best, model, inDomain) {
			best = e
		}
	}
	return best
}

// countPerDomain returns the number of available engines of a model by failure
// domain.
func (p *planner) countPerDomain(model string) map[bramleytack.FailureDomainID]int {
	n := map[bramleytack.FailureDomainID]int{}
	for i := range p.planned {
		if e := &p.planned[i]; e.available && e.Model == model {
			n[e.record.FailureDomain]++
		}
	}
	return n
}

// preferred reports whether engine a is a better choice for a model than b. It
// prefers engines that need the least work to serve the model, then domains with
// the fewest engines of the model, then returning domains, then engines with the
// fewest generations.
func preferred(a, b *plannedEngine, model string, inDomain map[bramleytack.FailureDomainID]int) bool {
	return cmp.Or(
		cmp.Compare(changeCost(a, model), changeCost(b, model)),
		cmp.Compare(inDomain[a.record.FailureDomain], inDomain[b.record.FailureDomain]),
		cmp.Compare(boolToInt(b.returning), boolToInt(a.returning)),
		cmp.Compare(inFlight(a.report), inFlight(b.report)),
	) < 0
}

// changeCost ranks an engine by the work that it takes to serve a model: nothing
// if it holds the model, a load if it is empty, or a drain, an unload and a load.
// Engines that the plan assigns to another model come last.
func changeCost(e *plannedEngine, model string) int {
	switch {
	case e.Model != "":
		return 3
	case holdsModel(e.report, model):
		return 0
	case len(e.report.Models) == 0:
		return 1
	default:
		return 2
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// spreadSingleDomain gives an engine in another failure domain to each model that
// has two or more engines, all in one domain. It uses only engines without a
// model.
func (p *planner) spreadSingleDomain() {
	for _, m := range p.models() {
		inDomain := p.countPerDomain(m.Name)
		if len(inDomain) != 1 || p.countAvailable(m.Name) < 2 {
			continue
		}
		for i := range p.planned {
			e := &p.planned[i]
			if e.available && e.Model == "" && e.mayHold(m.Name) && inDomain[e.record.FailureDomain] == 0 {
				e.Model = m.Name
				break
			}
		}
	}
}

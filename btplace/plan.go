package btplace

import (
	"cmp"
	"math"
	"slices"

	"bramleytack"
)

// Policy are the settings of Plan. Zero fields take defaults.
type Policy struct {
	// MinCapacity is the share of a model's engines that stay in service during
	// a change of version.
	MinCapacity float64
	// MaxReplace bounds the engines of a model that are replaced at a time.
	MaxReplace int
	// Headroom is the factor from the demand to the capacity that is placed.
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

// Input is what Plan decides from.
type Input struct {
	Snapshot *bramleytack.Snapshot
	// Engines are the engines of the cell in the order of their ids.
	Engines []*bramleytack.Upstream
	// Reports has the engines that answer.
	Reports map[bramleytack.UpstreamID]*bramleytack.LoadReport
	// Demand is the smoothed demand of each model, Capacity the capacity of
	// one engine that holds it, in tokens per second. A model without a known
	// capacity gets the engines that its record names.
	Demand   map[string]float64
	Capacity map[string]float64
	Previous State
	Policy   Policy
}

// Plan returns the desired state. Its fencing number is the caller's to set.
func Plan(in Input) State {
	in.Policy = in.Policy.withDefaults()
	p := &planner{Input: in}
	p.state.Out, p.state.Returning = p.domains()
	p.keep()
	p.assign()
	p.scatter()
	for _, m := range p.models() {
		p.replace(m)
	}
	for i := range p.slots {
		p.state.Engines = append(p.state.Engines, p.slots[i].Placement)
	}
	return p.state
}

// slot is an engine during the planning.
type slot struct {
	Placement
	record *bramleytack.Upstream
	// report is nil for an engine that does not answer.
	report *bramleytack.LoadReport
	// accepts is set if the records let the engine take work, available if it
	// answers as well.
	accepts   bool
	available bool
	returning bool
	previous  Placement
}

func (s *slot) may(model string) bool { return slices.Contains(s.record.Models, model) }

// serves says whether the engine takes work for a version of its model.
func (s *slot) serves() bool {
	return s.available && s.Role != RoleDraining && s.report.Role != RoleDraining && holds(s.report, s.Model)
}

type planner struct {
	Input
	state State
	slots []slot
}

// domains returns the failure domains that are out and those that return.
func (p *planner) domains() (out, returning []bramleytack.FailureDomainID) {
	for id, d := range p.Snapshot.FailureDomains {
		if d.State == bramleytack.DomainOut {
			out = append(out, id)
			continue
		}
		back := slices.Contains(p.Previous.Out, id)
		if back || slices.Contains(p.Previous.Returning, id) && !p.restored(id) {
			returning = append(returning, id)
		}
	}
	slices.Sort(out)
	slices.Sort(returning)
	return out, returning
}

// restored says whether all engines of a domain hold their models.
func (p *planner) restored(id bramleytack.FailureDomainID) bool {
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

// keep gives each engine the model that it had, or that it holds already.
func (p *planner) keep() {
	for _, u := range p.Engines {
		s := slot{record: u, report: p.Reports[u.ID], accepts: p.Snapshot.Accepts(u.ID)}
		s.available = s.accepts && s.report != nil
		s.returning = slices.Contains(p.state.Returning, u.FailureDomain)
		s.previous, _ = p.Previous.Placement(u.ID)
		s.Upstream, s.Role = u.ID, RoleServing
		s.Model = p.kept(&s)
		p.slots = append(p.slots, s)
	}
}

func (p *planner) kept(s *slot) string {
	if m := s.previous.Model; p.Snapshot.Models[m] != nil && s.may(m) {
		return m
	}
	if s.report == nil {
		return ""
	}
	for _, m := range s.report.Models {
		if p.Snapshot.Models[m.Model] != nil && s.may(m.Model) {
			return m.Model
		}
	}
	return ""
}

// models returns the models, those with the largest commitments first.
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

// Committed returns the committed throughput of each model.
func Committed(s *bramleytack.Snapshot) map[string]float64 {
	sums := map[string]float64{}
	for _, c := range s.Commitments {
		sums[c.Model] += c.TokensPerSecond
	}
	return sums
}

// assign gives engines to the models that have too few, in three rounds.
func (p *planner) assign() {
	committed, recorded, needed := map[string]int{}, map[string]int{}, map[string]int{}
	rates := Committed(p.Snapshot)
	for name, m := range p.Snapshot.Models {
		committed[name] = p.engines(name, rates[name])
		recorded[name] = max(committed[name], m.Replicas)
		needed[name] = max(recorded[name], p.engines(name, p.Demand[name]*p.Policy.Headroom))
	}
	for _, want := range []map[string]int{committed, recorded, needed} {
		p.fill(want)
	}
}

// engines returns the number of engines for a rate. A rate without a known
// capacity needs one engine.
func (p *planner) engines(model string, rate float64) int {
	if rate <= 0 {
		return 0
	}
	c := p.Capacity[model]
	if c <= 0 {
		return 1
	}
	return int(math.Ceil(rate / c))
}

// fill gives engines to models until each has what it wants. No model loses an
// engine that it wants itself.
func (p *planner) fill(want map[string]int) {
	for _, m := range p.models() {
		for p.count(m.Name) < want[m.Name] {
			s := p.pick(m.Name, want)
			if s == nil {
				break
			}
			s.Model = m.Name
		}
	}
}

// count returns the number of available engines of a model.
func (p *planner) count(model string) (n int) {
	for i := range p.slots {
		if p.slots[i].available && p.slots[i].Model == model {
			n++
		}
	}
	return n
}

// pick returns the best engine to give to a model, or nil.
func (p *planner) pick(model string, want map[string]int) *slot {
	inDomain := p.perDomain(model)
	var best *slot
	for i := range p.slots {
		s := &p.slots[i]
		if !s.available || s.Model == model || !s.may(model) {
			continue
		}
		if s.Model != "" && p.count(s.Model) <= want[s.Model] {
			continue
		}
		if best == nil || better(s, best, model, inDomain) {
			best = s
		}
	}
	return best
}

func (p *planner) perDomain(model string) map[bramleytack.FailureDomainID]int {
	n := map[bramleytack.FailureDomainID]int{}
	for i := range p.slots {
		if s := &p.slots[i]; s.available && s.Model == model {
			n[s.record.FailureDomain]++
		}
	}
	return n
}

func better(a, b *slot, model string, inDomain map[bramleytack.FailureDomainID]int) bool {
	return cmp.Or(
		cmp.Compare(moves(a, model), moves(b, model)),
		cmp.Compare(inDomain[a.record.FailureDomain], inDomain[b.record.FailureDomain]),
		cmp.Compare(truth(b.returning), truth(a.returning)),
		cmp.Compare(inFlight(a.report), inFlight(b.report)),
	) < 0
}

// moves ranks an engine by the work to give it a model: nothing, a load, or a
// drain, an unload and a load.
func moves(s *slot, model string) int {
	switch {
	case s.Model != "":
		return 3
	case holds(s.report, model):
		return 0
	case len(s.report.Models) == 0:
		return 1
	default:
		return 2
	}
}

func truth(b bool) int {
	if b {
		return 1
	}
	return 0
}

// scatter adds an engine without a model in another failure domain to each
// model that has two or more engines in a single domain.
func (p *planner) scatter() {
	for _, m := range p.models() {
		inDomain := p.perDomain(m.Name)
		if len(inDomain) != 1 || p.count(m.Name) < 2 {
			continue
		}
		for i := range p.slots {
			s := &p.slots[i]
			if s.available && s.Model == "" && s.may(m.Name) && inDomain[s.record.FailureDomain] == 0 {
				s.Model = m.Name
				break
			}
		}
	}
}

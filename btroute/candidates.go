package btroute

import (
	"cmp"
	"time"

	"bramleytack"
)

// noUpstreamRetryAfter is the wait advised to callers if no upstream can take
// the request. A new view or load report arrives in about that time.
const noUpstreamRetryAfter = time.Second

// ModelIndex knows which upstreams have confirmed that they have a model
// loaded.
type ModelIndex interface {
	// HasModel reports whether the upstream's last report lists m. An empty
	// version matches every version.
	HasModel(id bramleytack.UpstreamID, m bramleytack.LoadedModel) bool
}

// VersionFallback is implemented by a ModelIndex that also knows which other
// versions of a model an upstream has loaded.
type VersionFallback interface {
	// OtherVersion returns a version of the model that the upstream's last
	// report lists with the same adapter.
	OtherVersion(id bramleytack.UpstreamID, m bramleytack.LoadedModel) (version string, ok bool)
}

// firstUnrestrictedAttempt is the first attempt that is not restricted to the
// entry's subset of the upstreams.
const firstUnrestrictedAttempt = 3

// candidates returns the upstreams that may run the request according to the
// snapshot.
func (f *Filter) candidates(q Query) ([]Candidate, error) {
	s, r := q.Snapshot, q.Request
	if len(s.Quarantined) > 0 && s.Quarantined[r.Fingerprint().String()] {
		return nil, bramleytack.NewError(bramleytack.CodeQuarantined, bramleytack.NotRun, "request is quarantined")
	}
	if r.Kind == bramleytack.Call {
		return f.serviceCandidates(q)
	}
	return f.modelCandidates(q)
}

func (f *Filter) serviceCandidates(q Query) ([]Candidate, error) {
	name := q.Request.Service
	if _, ok := q.Snapshot.Services[name]; !ok {
		return nil, bramleytack.NewError(bramleytack.CodeUnknownService, bramleytack.NotRun, "unknown service %q", name)
	}
	c := f.usableCandidates(q, q.Snapshot.ByService[name], nil)
	return c, noUpstreamError(len(c), name)
}

func (f *Filter) modelCandidates(q Query) ([]Candidate, error) {
	s, name := q.Snapshot, q.Request.Model
	m, ok := s.Models[name]
	if !ok {
		return nil, bramleytack.NewError(bramleytack.CodeUnknownModel, bramleytack.NotRun, "unknown model %q", name)
	}
	want := &bramleytack.LoadedModel{Model: m.Name, Version: m.Version, Adapter: m.Adapter}
	n := cmp.Or(f.SubsetSize, defaultSubsetSize)
	var c []Candidate
	if q.Attempt < firstUnrestrictedAttempt {
		c = f.usableCandidates(q, f.subsets.get(s, f.Entry, name, n), want)
	}
	// If fewer than half of the subset are usable, they would be overloaded.
	if all := s.ByModel[name]; len(c) < min(n, len(all))/2 || len(c) == 0 {
		c = f.usableCandidates(q, all, want)
	}
	return c, noUpstreamError(len(c), name)
}

// usableCandidates returns the upstreams that accept new work and have loaded
// the model. A nil want stands for a service.
func (f *Filter) usableCandidates(q Query, ups []*bramleytack.Upstream, want *bramleytack.LoadedModel) []Candidate {
	c := make([]Candidate, 0, len(ups))
	for _, u := range ups {
		if !q.Snapshot.Accepts(u.ID) || !u.In(f.Cell) {
			continue
		}
		candidate := Candidate{Upstream: u}
		if want != nil {
			version, ok := f.offeredVersion(u.ID, *want)
			if !ok {
				continue
			}
			candidate.Version = version
		}
		if f.Loads != nil {
			candidate.Load = f.Loads.Load(q.Now, u.ID)
		}
		if !candidate.Load.Leaving {
			c = append(c, candidate)
		}
	}
	return c
}

// offeredVersion returns the version that an upstream has loaded: the wanted
// one or, if AllowOtherVersions is set, another.
func (f *Filter) offeredVersion(id bramleytack.UpstreamID, want bramleytack.LoadedModel) (string, bool) {
	if f.Models == nil || f.Models.HasModel(id, want) {
		return want.Version, true
	}
	if o, ok := f.Models.(VersionFallback); ok && f.AllowOtherVersions {
		return o.OtherVersion(id, want)
	}
	return "", false
}

func noUpstreamError(n int, name string) error {
	if n > 0 {
		return nil
	}
	return bramleytack.NewError(bramleytack.CodeNoUpstream, bramleytack.NotRun, "no upstream for %q", name).
		WithRetryAfter(noUpstreamRetryAfter)
}

// triedUpstreams holds the upstreams that a request was offered to in the
// current round.
type triedUpstreams struct {
	ids  map[bramleytack.UpstreamID]bool
	last bramleytack.UpstreamID
}

func (t *triedUpstreams) add(id bramleytack.UpstreamID) {
	if t.ids == nil {
		t.ids = make(map[bramleytack.UpstreamID]bool)
	}
	t.ids[id] = true
	t.last = id
}

// untried returns the candidates that were not tried. If all were, a new round
// begins with all but the last one.
func (t *triedUpstreams) untried(c []Candidate) []Candidate {
	if t.last == "" {
		return c
	}
	rest := selectCandidates(c, func(id bramleytack.UpstreamID) bool { return !t.ids[id] })
	if len(rest) > 0 {
		return rest
	}
	clear(t.ids)
	rest = selectCandidates(c, func(id bramleytack.UpstreamID) bool { return id != t.last })
	if len(rest) > 0 {
		return rest
	}
	return c
}

// selectCandidates returns the candidates whose upstreams keep accepts.
func selectCandidates(c []Candidate, keep func(bramleytack.UpstreamID) bool) []Candidate {
	var rest []Candidate
	for _, x := range c {
		if keep(x.Upstream.ID) {
			rest = append(rest, x)
		}
	}
	return rest
}

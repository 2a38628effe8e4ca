package btroute

import (
	"cmp"
	"time"

	"bramleytack"
)

// unavailableRetry is the advice to callers when no upstream can take the
// request: about the time in which a new view or a load report arrives.
const unavailableRetry = time.Second

// ModelIndex says which engines have confirmed that they hold a model version.
type ModelIndex interface {
	// HasModel reports whether the upstream's last report lists m. An empty
	// version matches every version.
	HasModel(id bramleytack.UpstreamID, m bramleytack.LoadedModel) bool
}

// VersionFallback is implemented by a ModelIndex that knows the other versions of a model
// which an engine holds.
type VersionFallback interface {
	// OtherVersion returns a version of the model with the same adapter that the
	// upstream's last report lists.
	OtherVersion(id bramleytack.UpstreamID, m bramleytack.LoadedModel) (version string, ok bool)
}

// wideAttempt is the attempt from which an entry looks beyond its subset.
const wideAttempt = 3

// candidates returns the upstreams that may run the request under the snapshot.
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
	c := f.accepting(q, q.Snapshot.ByService[name], nil)
	return c, noneError(len(c), name)
}

func (f *Filter) modelCandidates(q Query) ([]Candidate, error) {
	s, name := q.Snapshot, q.Request.Model
	m, ok := s.Models[name]
	if !ok {
		return nil, bramleytack.NewError(bramleytack.CodeUnknownModel, bramleytack.NotRun, "unknown model %q", name)
	}
	want := &bramleytack.LoadedModel{Model: m.Name, Version: m.Version, Adapter: m.Adapter}
	n := cmp.Or(f.SubsetSize, defaultSubset)
	var c []Candidate
	if q.Attempt < wideAttempt {
		c = f.accepting(q, f.subsets.get(s, f.Entry, name, n), want)
	}
	// A subset with few usable upstreams would overload them.
	if all := s.ByModel[name]; len(c) < min(n, len(all))/2 || len(c) == 0 {
		c = f.accepting(q, all, want)
	}
	return c, noneError(len(c), name)
}

// accepting returns the upstreams that take new work and hold the model.
func (f *Filter) accepting(q Query, ups []*bramleytack.Upstream, want *bramleytack.LoadedModel) []Candidate {
	c := make([]Candidate, 0, len(ups))
	for _, u := range ups {
		if !q.Snapshot.Accepts(u.ID) || !u.In(f.Cell) {
			continue
		}
		x := Candidate{Upstream: u}
		if want != nil {
			version, ok := f.held(u.ID, *want)
			if !ok {
				continue
			}
			x.Version = version
		}
		if f.Loads != nil {
			x.Load = f.Loads.Load(q.Now, u.ID)
		}
		if !x.Load.Leaving {
			c = append(c, x)
		}
	}
	return c
}

// held returns the version that an upstream offers for a wanted one.
func (f *Filter) held(id bramleytack.UpstreamID, want bramleytack.LoadedModel) (string, bool) {
	if f.Models == nil || f.Models.HasModel(id, want) {
		return want.Version, true
	}
	if o, ok := f.Models.(VersionFallback); ok && f.AllowOtherVersions {
		return o.OtherVersion(id, want)
	}
	return "", false
}

func noneError(n int, name string) error {
	if n > 0 {
		return nil
	}
	return bramleytack.NewError(bramleytack.CodeNoUpstream, bramleytack.NotRun, "no upstream for %q", name).
		WithRetryAfter(unavailableRetry)
}

// visits remembers the upstreams that a request was offered to.
type visits struct {
	seen map[bramleytack.UpstreamID]bool
	last bramleytack.UpstreamID
}

func (v *visits) add(id bramleytack.UpstreamID) {
	if v.seen == nil {
		v.seen = make(map[bramleytack.UpstreamID]bool)
	}
	v.seen[id] = true
	v.last = id
}

// remaining returns the candidates that were not visited. When all were, a
// new round begins with all but the last one.
func (v *visits) remaining(c []Candidate) []Candidate {
	if v.last == "" {
		return c
	}
	rest := filter(c, func(id bramleytack.UpstreamID) bool { return !v.seen[id] })
	if len(rest) > 0 {
		return rest
	}
	clear(v.seen)
	rest = filter(c, func(id bramleytack.UpstreamID) bool { return id != v.last })
	if len(rest) > 0 {
		return rest
	}
	return c
}

func filter(c []Candidate, keep func(bramleytack.UpstreamID) bool) []Candidate {
	var rest []Candidate
	for _, x := range c {
		if keep(x.Upstream.ID) {
			rest = append(rest, x)
		}
	}
	return rest
}

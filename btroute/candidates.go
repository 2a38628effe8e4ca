package btroute

import (
	"time"

	"bramleytack"
)

// unavailableRetry is the advice to callers when no upstream can take the
// request: about the time in which a new view or a load report arrives.
const unavailableRetry = time.Second

// Holders says which engines have confirmed that they hold a model version.
type Holders interface {
	// Holds reports whether the upstream's last report lists m. An empty
	// version matches every version.
	Holds(id bramleytack.UpstreamID, m bramleytack.LoadedModel) bool
}

// candidates returns the upstreams that may run r under the snapshot and the
// model version to ask for.
func (f *Filter) candidates(s *bramleytack.Snapshot, r *bramleytack.Request) ([]Candidate, string, error) {
	if len(s.Quarantined) > 0 && s.Quarantined[r.Fingerprint().String()] {
		return nil, "", bramleytack.NewError(bramleytack.CodeQuarantined, bramleytack.NotRun, "request is quarantined")
	}
	if r.Kind == bramleytack.Call {
		c, err := f.serviceCandidates(s, r)
		return c, "", err
	}
	return f.modelCandidates(s, r)
}

func (f *Filter) serviceCandidates(s *bramleytack.Snapshot, r *bramleytack.Request) ([]Candidate, error) {
	if _, ok := s.Services[r.Service]; !ok {
		return nil, bramleytack.NewError(bramleytack.CodeUnknownService, bramleytack.NotRun, "unknown service %q", r.Service)
	}
	var c []Candidate
	for _, u := range s.ByService[r.Service] {
		if s.Accepts(u.ID) {
			c = append(c, f.candidate(u))
		}
	}
	return c, noneError(len(c), r.Service)
}

func (f *Filter) modelCandidates(s *bramleytack.Snapshot, r *bramleytack.Request) ([]Candidate, string, error) {
	m, ok := s.Models[r.Model]
	if !ok {
		return nil, "", bramleytack.NewError(bramleytack.CodeUnknownModel, bramleytack.NotRun, "unknown model %q", r.Model)
	}
	want := bramleytack.LoadedModel{Model: m.Name, Version: m.Version, Adapter: m.Adapter}
	var c []Candidate
	for _, u := range s.ByModel[r.Model] {
		if s.Accepts(u.ID) && (f.Holders == nil || f.Holders.Holds(u.ID, want)) {
			c = append(c, f.candidate(u))
		}
	}
	return c, m.Version, noneError(len(c), r.Model)
}

func (f *Filter) candidate(u *bramleytack.Upstream) Candidate {
	c := Candidate{Upstream: u}
	if f.Loads != nil {
		c.Load = f.Loads.Load(u.ID)
	}
	return c
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

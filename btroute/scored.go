package btroute

import (
	"time"

	"bramleytack"
)

// Weights of a score. A score is a load between 0 and 1 plus these.
const (
	// fullCost keeps candidates without a free place behind all others.
	fullCost = 2.0
	// refusedCost applies for a short time after a refusal.
	refusedCost = 1.0
	// unknownLoad is assumed without a recent digest.
	unknownLoad = 0.7
	// coldCost is for requests that may run long, which a cold upstream slows
	// down all the while. Short ones go to cold upstreams and warm them.
	coldCost = 0.3
	// shortOutput is the caller's bound on the output up to which a request is
	// short.
	shortOutput = 512
	// regionCost and remoteCost are for another failure domain of the same
	// region and for another region.
	regionCost = 0.05
	remoteCost = 0.3
	// affinityGain is for a prompt that is cached as a whole.
	affinityGain = 0.35
)

// Scored draws two candidates and picks the one with the better score. An
// upstream that has the prompt's prefix cached is compared with them. After a
// refusal it picks the best of the candidates that remain.
type Scored struct {
	// Domain is the failure domain of this entry.
	Domain bramleytack.FailureDomainID
	// Prefixes may be nil.
	Prefixes *Prefixes
	// AvoidCold keeps interactive requests, instead of long ones, away from
	// cold upstreams.
	AvoidCold bool
	IntN      IntN
}

// Pick implements Policy.
func (p *Scored) Pick(q Query, candidates []Candidate) int {
	var matches map[bramleytack.UpstreamID]float64
	if p.Prefixes != nil && q.Request.Kind == bramleytack.Generate {
		matches = p.Prefixes.Matches(q.Now, PrefixHashes(q.Request.Model, q.Request.Prompt))
	}
	if len(candidates) == 1 {
		return 0
	}
	if q.Suspect {
		return emptiest(candidates)
	}
	best, score := -1, 0.0
	consider := func(i int) {
		s := p.score(q, &candidates[i], matches)
		if best < 0 || s < score {
			best, score = i, s
		}
	}
	// The random first two also break ties between entries.
	i, j := p.IntN.two(len(candidates))
	consider(i)
	consider(j)
	for k := range candidates {
		_, cached := matches[candidates[k].Upstream.ID]
		warmer := !p.AvoidCold && short(q.Request) && candidates[k].Load.Known && !candidates[k].Load.Warm
		if cached || warmer || q.Attempt > 1 {
			consider(k)
		}
	}
	return best
}

// emptiest returns the candidate that a suspect can have to itself soonest.
func emptiest(candidates []Candidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].Load.Running < candidates[best].Load.Running {
			best = i
		}
	}
	return best
}

// Started implements Observer.
func (p *Scored) Started(now time.Time, r *bramleytack.Request, id bramleytack.UpstreamID) {
	if p.Prefixes != nil && r.Kind == bramleytack.Generate {
		p.Prefixes.Sent(now, id, PrefixHashes(r.Model, r.Prompt))
	}
}

// score rates a candidate. Lower is better.
func (p *Scored) score(q Query, c *Candidate, matches map[bramleytack.UpstreamID]float64) float64 {
	s := p.load(q, &c.Load) + p.distance(q.Snapshot, c.Upstream.FailureDomain)
	if c.Load.Refused {
		s += refusedCost
	}
	return s - affinityGain*matches[c.Upstream.ID]
}

func (p *Scored) load(q Query, l *Load) float64 {
	if !l.Known {
		return unknownLoad + float64(l.InFlight)/100
	}
	if l.Running >= l.Limit {
		return fullCost
	}
	s := max(float64(l.Running)/float64(l.Limit), l.Memory)
	if !l.Warm && p.slowed(q.Request) {
		s += coldCost
	}
	return s
}

// slowed says whether a cold upstream costs the request much.
func (p *Scored) slowed(r *bramleytack.Request) bool {
	if p.AvoidCold {
		return r.Priority == bramleytack.Interactive
	}
	return !short(r)
}

// short says whether the caller bounds the output to a short one. A call of a
// service is short.
func short(r *bramleytack.Request) bool {
	return r.Kind == bramleytack.Call || (r.MaxTokens > 0 && r.MaxTokens <= shortOutput)
}

func (p *Scored) distance(s *bramleytack.Snapshot, id bramleytack.FailureDomainID) float64 {
	if id == p.Domain || p.Domain == "" {
		return 0
	}
	own, there := s.FailureDomains[p.Domain], s.FailureDomains[id]
	if own != nil && there != nil && own.Region == there.Region {
		return regionCost
	}
	return remoteCost
}

package btroute

import (
	"time"

	"bramleytack"
)

// Weights of a score. A score is a load, usually between 0 and 1, plus the
// costs and less the gain. The lowest score is the best.
const (
	// fullCost is the load of an upstream without a free slot, which usually
	// ranks it behind the others.
	fullCost = 2.0
	// rejectedCost applies for a short time after a rejection.
	rejectedCost = 1.0
	// unknownLoad is assumed for an upstream without a recent digest.
	unknownLoad = 0.7
	// coldCost is for requests that may run long at a cold upstream, which
	// slows them down throughout. Short requests are sent to cold upstreams to
	// warm them up.
	coldCost = 0.3
	// maxShortOutput is the greatest output limit, in tokens, of a short
	// request.
	maxShortOutput = 512
	// otherDomainCost is for another failure domain in the same region,
	// otherRegionCost for another region.
	otherDomainCost = 0.05
	otherRegionCost = 0.3
	// cachedPrefixGain is for a prompt whose prefixes are all cached.
	cachedPrefixGain = 0.35
)

// Scored picks the better of two random candidates by score. It also compares
// the candidates that have a prefix of the prompt cached and, for a short
// request, those that are cold. From the second attempt on it compares all
// candidates. For a suspect it picks the one with the fewest requests.
type Scored struct {
	// Domain is the failure domain of this entry.
	Domain bramleytack.FailureDomainID
	// Prefixes may be nil.
	Prefixes *Prefixes
	// AvoidCold applies the cost of cold upstreams to interactive requests
	// instead of long ones. Cold candidates are then not added to the
	// comparison for short requests.
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
		return leastRunning(candidates)
	}
	best, score := -1, 0.0
	consider := func(i int) {
		s := p.score(q, &candidates[i], matches)
		if best < 0 || s < score {
			best, score = i, s
		}
	}
	// Starting with a random pair makes entries break ties differently.
	i, j := p.IntN.pair(len(candidates))
	consider(i)
	consider(j)
	for k := range candidates {
		_, cached := matches[candidates[k].Upstream.ID]
		coldForShort := !p.AvoidCold && isShort(q.Request) && candidates[k].Load.Known && !candidates[k].Load.Warm
		if cached || coldForShort || q.Attempt > 1 {
			consider(k)
		}
	}
	return best
}

// leastRunning returns the candidate with the fewest requests, which will drain
// soonest for a suspect.
func leastRunning(candidates []Candidate) int {
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
		p.Prefixes.RecordPrompt(now, id, PrefixHashes(r.Model, r.Prompt))
	}
}

// score rates a candidate. Lower is better.
func (p *Scored) score(q Query, c *Candidate, matches map[bramleytack.UpstreamID]float64) float64 {
	s := p.loadScore(q, &c.Load) + p.domainCost(q.Snapshot, c.Upstream.FailureDomain)
	if c.Load.Rejected {
		s += rejectedCost
	}
	return s - cachedPrefixGain*matches[c.Upstream.ID]
}

func (p *Scored) loadScore(q Query, l *Load) float64 {
	if !l.Known {
		return unknownLoad + float64(l.InFlight)/100
	}
	if l.Running >= l.Limit {
		return fullCost
	}
	s := max(float64(l.Running)/float64(l.Limit), l.Memory)
	if !l.Warm && p.avoidsCold(q.Request) {
		s += coldCost
	}
	return s
}

// avoidsCold reports whether a request should not go to a cold upstream.
func (p *Scored) avoidsCold(r *bramleytack.Request) bool {
	if p.AvoidCold {
		return r.Priority == bramleytack.Interactive
	}
	return !isShort(r)
}

// isShort reports whether a request has a short output: the caller limits the
// output to maxShortOutput, or it is a call of a service.
func isShort(r *bramleytack.Request) bool {
	return r.Kind == bramleytack.Call || (r.MaxTokens > 0 && r.MaxTokens <= maxShortOutput)
}

func (p *Scored) domainCost(s *bramleytack.Snapshot, id bramleytack.FailureDomainID) float64 {
	if id == p.Domain || p.Domain == "" {
		return 0
	}
	own, other := s.FailureDomains[p.Domain], s.FailureDomains[id]
	if own != nil && other != nil && own.Region == other.Region {
		return otherDomainCost
	}
	return otherRegionCost
}

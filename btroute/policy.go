package btroute

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bramleytack"
)

// Candidate is an upstream that may run a request.
type Candidate struct {
	Upstream *bramleytack.Upstream
	Load     Load
	// Version is the model version that the request will ask the upstream for.
	Version string
}

// Query describes the attempt that a Policy picks an upstream for.
type Query struct {
	Request  *bramleytack.Request
	Snapshot *bramleytack.Snapshot
	Now      time.Time
	// Attempt counts from 1.
	Attempt int
	// Suspect is set for a request that must run alone.
	Suspect bool
}

// Policy picks one of the candidates.
type Policy interface {
	// Pick returns an index into candidates, which is never empty.
	Pick(q Query, candidates []Candidate) int
}

// Observer is implemented by a Policy that records which requests the upstreams
// get.
type Observer interface {
	// Started is called when a request has got a reservation, before it is sent.
	Started(now time.Time, r *bramleytack.Request, id bramleytack.UpstreamID)
}

// IntN returns a random number in [0, n). If it is nil, the global source is
// used.
type IntN func(n int) int

func (f IntN) draw(n int) int {
	if f == nil {
		return rand.IntN(n)
	}
	return f(n)
}

// pair returns two different random indices below n, which is at least 2.
func (f IntN) pair(n int) (int, int) {
	i, j := f.draw(n), f.draw(n-1)
	if j >= i {
		j++
	}
	return i, j
}

// RoundRobin picks the candidates in turn.
type RoundRobin struct{ count atomic.Uint64 }

// Pick returns the next index.
func (p *RoundRobin) Pick(_ Query, candidates []Candidate) int {
	return int((p.count.Add(1) - 1) % uint64(len(candidates)))
}

// LeastInFlight picks the candidate with the fewest requests of this entry in
// flight.
type LeastInFlight struct{ IntN IntN }

// Pick returns the index of the least loaded candidate. The scan starts at a
// random index, so that ties do not always go to the same upstream.
func (p *LeastInFlight) Pick(_ Query, candidates []Candidate) int {
	n := len(candidates)
	best := p.IntN.draw(n)
	start := best
	for i := 1; i < n; i++ {
		j := (start + i) % n
		if candidates[j].Load.InFlight < candidates[best].Load.InFlight {
			best = j
		}
	}
	return best
}

// TwoRandom picks the one of two random candidates with fewer requests of this
// entry in flight.
type TwoRandom struct{ IntN IntN }

// Pick returns the index of the less loaded of two random candidates.
func (p *TwoRandom) Pick(_ Query, candidates []Candidate) int {
	if len(candidates) == 1 {
		return 0
	}
	i, j := p.IntN.pair(len(candidates))
	if candidates[j].Load.InFlight < candidates[i].Load.InFlight {
		return j
	}
	return i
}

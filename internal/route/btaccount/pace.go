package btaccount

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleytack"
)

const (
	// planAge is how long a plan is used. The memory that it follows changes within
	// seconds.
	planAge = 150 * time.Millisecond
	// pauseShare is the share of the longest pause of a service's routes from which on an
	// expected pause counts as too long. The rest is for the way to the caller.
	pauseShare = 0.85
	// minSpread is the ratio of the slowest to the fastest engine's lasting pace from which on
	// engines differ.
	minSpread = 1.2
	// longOutput is the maximum of output tokens from which a generation runs for so long
	// that it meets the prompts of others.
	longOutput = 60
	// besideShare is the share of the target latency that reading a prompt elsewhere may
	// cost for each stream that would pause too long beside it.
	besideShare = 0.15
	// disturbedShare replaces it at an engine that is disturbed at this moment: a late stream is worse
	// than a first event that is as late as it may be.
	disturbedShare = 1.0
	// steadyUse is the use of a steady engine from which on its long generations go
	// elsewhere. Its memory is for prompts, which it reads beside streams without harm.
	steadyUse = 0.55
	// holderUse is the use up to which holders take generations, and holderMost the largest
	// share of the delicate engines of a failure domain that are holders. The others read
	// prompts.
	holderUse  = 0.75
	holderMost = 0.7
)

// plan says which engines of a service read prompts and which hold streams. There is one
// only if prompts make streams pause too long at some engines and not at others: the former
// are delicate, the latter steady.
type plan struct {
	at       time.Time
	snapshot *bramleytack.Snapshot
	delicate map[bramleytack.UpstreamID]bool
	// holders are the delicate engines to which long generations move after their first
	// event. Prompts go to the others and to steady engines.
	holders map[bramleytack.UpstreamID]bool
}

// plan returns the plan for a service, or nil if there is none. The caller holds the lock.
func (t *Table) plan(s *bramleytack.Snapshot, service string, now time.Time) *plan {
	if t.Paces == nil {
		return nil
	}
	p, ok := t.plans[service]
	if !ok || p.snapshot != s || now.Sub(p.at) >= planAge {
		p = t.newPlan(s, service, now)
		if t.plans == nil {
			t.plans = map[string]*plan{}
		}
		t.plans[service] = p
	}
	if p.delicate == nil {
		return nil
	}
	return p
}

func (t *Table) newPlan(s *bramleytack.Snapshot, service string, now time.Time) *plan {
	p := &plan{at: now, snapshot: s}
	profile, bound := s.Engine(service), s.Routes.ShortestPause(service)
	if profile == nil || profile.MemoryTokens <= 0 || bound <= 0 {
		return p
	}
	byDomain := map[bramleytack.FailureDomainID]*division{}
	delicate, steady := map[bramleytack.UpstreamID]bool{}, 0
	fastest, slowest := math.Inf(1), 0.0
	for _, u := range s.ByService[service] {
		beside, ok := t.Paces.Pause(u, true)
		if !ok || !s.Accepts(u.ID) {
			continue
		}
		pace := t.Paces.Lasting(u)
		fastest, slowest = min(fastest, pace), max(slowest, pace)
		d := byDomain[u.FailureDomain]
		if d == nil {
			d = &division{}
			byDomain[u.FailureDomain] = d
		}
		d.memory += t.load(u.ID, now).Memory
		tooLong := time.Duration(pauseShare * float64(bound))
		if beside < tooLong {
			steady++
			d.steady++
			continue
		}
		delicate[u.ID] = true
		if alone, ok := t.Paces.Pause(u, false); ok && alone < tooLong {
			d.quiet = append(d.quiet, u)
		}
	}
	if len(delicate) == 0 || steady == 0 || slowest < minSpread*fastest {
		return p
	}
	t.Paces.Want()
	p.delicate, p.holders = delicate, map[bramleytack.UpstreamID]bool{}
	for _, d := range byDomain {
		for _, u := range d.holders(profile.MemoryTokens) {
			p.holders[u.ID] = true
		}
	}
	return p
}

// division is what a plan divides in one failure domain: moves between domains take longer
// and cost more.
type division struct {
	// memory is the memory in tokens that all generations are expected to reach.
	memory int
	steady int
	// quiet are the delicate engines at which streams do not pause too long by themselves.
	quiet []*bramleytack.Upstream
}

// holders returns as many of the quiet engines as are needed for the memory that the steady
// ones lack. All daemons choose the same ones, but for those at the edge while their loads
// differ.
func (d *division) holders(memoryTokens int) []*bramleytack.Upstream {
	lacking := float64(d.memory) - steadyUse*float64(d.steady*memoryTokens)
	count := int(lacking/(holderUse*float64(memoryTokens)) + 1)
	count = min(max(count, 0), int(holderMost*float64(len(d.quiet))))
	slices.SortFunc(d.quiet, func(a, b *bramleytack.Upstream) int {
		if xxhash.Sum64String(string(a.ID)) < xxhash.Sum64String(string(b.ID)) {
			return -1
		}
		return 1
	})
	return d.quiet[:count]
}

// lastingPace returns the factor from the usual delays to those of an engine. It is 1 unless
// the engines of the service differ.
func (p *plan) lastingPace(t *Table, u *bramleytack.Upstream) float64 {
	if p == nil {
		return 1
	}
	return t.Paces.Lasting(u)
}

// harm returns the delay in milliseconds that is worth avoiding, so that a prompt is not
// read beside streams that then pause too long. They surely do at an engine that is disturbed at
// this moment.
func (p *plan) harm(t *Table, u *bramleytack.Upstream, n Need, l Load) float64 {
	if p == nil || n.unread() == 0 || !p.delicate[u.ID] {
		return 0
	}
	beside := l.Streams
	if p.holders[u.ID] {
		// More of them are to come.
		beside++
	}
	share := besideShare
	if t.Paces.Disturbed(u) {
		share = disturbedShare
	}
	return share * float64(n.Target.Milliseconds()) * float64(beside)
}

// Reading reports whether an engine has prompts to read, as far as all daemons know.
func (t *Table) Reading(u *bramleytack.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load(u.ID, t.Timer.Now()).Unread > 0
}

// PickHolder returns an engine at which a generation that runs at from better goes on, because
// no prompts are read beside it there, or nil if it should stay. A generation leaves an
// engine where prompts or the pace itself make it pause too long, and a steady one whose
// memory is needed for prompts.
func (t *Table) PickHolder(s *bramleytack.Snapshot, from *bramleytack.Upstream, n Need) *bramleytack.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	p := t.plan(s, from.Service, now)
	if p == nil || p.holders[from.ID] || n.streams() == 0 {
		return nil
	}
	profile := s.Engine(from.Service)
	if !p.delicate[from.ID] && use(s, from, Need{}, t.load(from.ID, now)) < steadyUse {
		return nil
	}
	targets, _ := t.otherEngines(s, from, n)
	targets = slices.DeleteFunc(targets, func(e target) bool {
		return !p.holders[e.upstream.ID] || e.upstream.FailureDomain != from.FailureDomain ||
			e.use > holderUse || t.load(e.upstream.ID, now).Running >= profile.Slots
	})
	calm := slices.DeleteFunc(slices.Clone(targets), func(e target) bool {
		return t.load(e.upstream.ID, now).Unread > 0 || t.Paces.Disturbed(e.upstream)
	})
	if u := drawByFreeMemory(calm); u != nil {
		return u
	}
	return drawByFreeMemory(targets)
}

// Role returns what an engine is for: "steady", "holder" or "reader", empty if the engines of its service
// are not divided.
func (t *Table) Role(s *bramleytack.Snapshot, u *bramleytack.Upstream) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.plan(s, u.Service, t.Timer.Now())
	switch {
	case p == nil:
		return ""
	case p.holders[u.ID]:
		return "holder"
	case p.delicate[u.ID]:
		return "reader"
	}
	return "steady"
}

// Divided reports whether prompts are read at other engines of a service than those that hold
// streams.
func (t *Table) Divided(s *bramleytack.Snapshot, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.plan(s, service, t.Timer.Now()) != nil
}

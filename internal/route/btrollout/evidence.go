package btrollout

import (
	"cmp"
	"math"
	"slices"
)

const (
	// level is the probability below which chance is no explanation for what a version does.
	// A judge looks some hundred times at a few counts in one roll-out.
	level = 1e-4
	// doubtLevel keeps a version from advancing until there is more evidence.
	doubtLevel = 0.1
	// lateLevel is the level of the verdict on a version that is in doubt when the time of its next
	// stage has run out. There are three such decisions in a roll-out.
	lateLevel = 1e-2
	// minBad is the least number of bad answers on which a verdict rests.
	minBad = 5
	// minOld is the number of the old version's answers from which on it can be compared with.
	minOld = 20
	// minOwn is the number of answers of a group of upstreams from which on they are compared with
	// each other.
	minOwn = 12
	// A good version is allowed failureFactor times the old one's share of failures and
	// failureMargin more, and of slow answers slowFactor times and slowMargin more. Its
	// upstreams are fewer and have emptier caches.
	failureFactor, failureMargin = 1.2, 0.02
	slowFactor, slowMargin       = 1.3, 0.05
	// slowClasses is the number of classes above the median of the old version from which on
	// an answer is slow: about three times as long. Machines differ by a factor of two. busierClasses is added if the old version has
	// answered only at less busy upstreams: a slow version makes its upstreams busy.
	slowClasses   = 7
	busierClasses = 1
	// spreadClasses is the number of classes above the fastPart quantile of one group's durations
	// from which on an answer is slow beside the others of its group. Three quarters of them may
	// be slow. A good version is allowed spreadMargin, as its groups may mix slow and fast machines
	// where those of the old one do not.
	spreadClasses = 6
	fastPart      = 0.2
	spreadMargin  = 0.06
	// gapsLevel replaces level for times between events, of which one stream has several.
	gapsLevel = 1e-7
)

// Finding is the evidence for a verdict.
type Finding struct {
	// What is "failures", "first", "gaps", "firstSpread" or "gapsSpread".
	What string
	// Route is empty for all routes together.
	Route string
	// Bad of Answers were failures or slow, and chance alone explains Expected of them.
	Bad, Answers int
	Expected     float64
	// Probability is that of as many bad answers by chance.
	Probability float64
}

// evidence is what judges compare: the answers of a period by key.
type evidence map[Key]*Count

// sample is what one group of upstreams has shown.
type sample struct{ n, bad, expected float64 }

// samples are the samples of all groups.
type samples [groups]sample

func (s *samples) add(o *samples) {
	for i := range s {
		s[i].n += o[i].n
		s[i].bad += o[i].bad
		s[i].expected += o[i].expected
	}
}

// check compares a version, of which there are some upstreams, with the old one over a period. base is a longer period, used where
// the old version has too few answers in the period itself. surge is set if more requests come
// than when the old version was measured.
func (e evidence) check(base evidence, upstreams int, surge bool) (worst Finding) {
	worst.Probability = 1
	consider := func(what, route string, s *samples) {
		f := s.finding(upstreams)
		if what == "gaps" || what == "gapsSpread" {
			f.Probability = min(f.Probability*level/gapsLevel, 1)
		}
		if f.Probability < worst.Probability {
			f.What, f.Route = what, route
			worst = f
		}
	}
	firsts, paces := base.speedsOf(first), base.speedsOf(gaps)
	tests := []struct {
		what string
		of   func(route string, load uint8) samples
	}{
		{"failures", func(r string, l uint8) samples { return e.failures(base, r, l) }},
		{"first", func(r string, l uint8) samples { return e.slow(base, r, l, surge, first) }},
		{"gaps", func(r string, l uint8) samples { return e.slow(base, r, l, surge, gaps) }},
		{"firstSpread", func(r string, l uint8) samples { return e.spreadOut(firsts, r, l) }},
		{"gapsSpread", func(r string, l uint8) samples { return e.spreadOut(paces, r, l) }},
	}
	routes := e.routes()
	for _, t := range tests {
		var all samples
		for _, route := range routes {
			var sum samples
			for load := range maxLoad + 1 {
				s := t.of(route, load)
				consider(t.what, route, &s)
				sum.add(&s)
			}
			consider(t.what, route, &sum)
			all.add(&sum)
		}
		consider(t.what, "", &all)
	}
	return worst
}

// routes returns the routes in a fixed order.
func (e evidence) routes() []string {
	var list []string
	for k := range e {
		if !slices.Contains(list, k.Route) {
			list = append(list, k.Route)
		}
	}
	slices.Sort(list)
	return list
}

// old returns the old version's count of a route at some loads, without the group of upstreams
// that is the worst by bad. A nil bad keeps all.
func (e evidence) old(route string, from, to uint8, bad func(*Count) float64) (sum Count) {
	list := make([]Count, 0, oldGroups)
	for g := uint8(groups); g < allGroups; g++ {
		var c Count
		for load := from; load <= to; load++ {
			if part := e[Key{Route: route, Load: load, Group: g}]; part != nil {
				c.add(part, 1)
			}
		}
		if c.Answers > 0 {
			list = append(list, c)
		}
	}
	if len(list) > 1 && bad != nil {
		slices.SortFunc(list, func(a, b Count) int { return cmp.Compare(bad(&b), bad(&a)) })
		list = list[1:]
	}
	for i := range list {
		sum.add(&list[i], 1)
	}
	return sum
}

const maxLoad = uint8(len(loadBounds))

// failureRate returns the share of the answers that are failures.
func failureRate(c *Count) float64 { return float64(c.Failures+c.Broken) / float64(c.Answers) }

// failures returns the failures of the new version on a route at a load, with those that it is
// allowed.
func (e evidence) failures(base evidence, route string, load uint8) (s samples) {
	old := e.old(route, 0, maxLoad, failureRate)
	if old.Answers < minOld {
		old = base.old(route, 0, maxLoad, failureRate)
	}
	p := min(failureFactor*(float64(old.Failures+old.Broken)+1)/(float64(old.Answers)+2)+failureMargin, 0.9)
	if old.Answers < minOld {
		p = max(p, 0.2)
	}
	for g := range uint8(groups) {
		if c := e[Key{Route: route, Load: load, Group: g}]; c != nil {
			n := float64(c.Answers)
			s[g] = sample{n: n, bad: min(float64(c.Failures+c.Broken), n), expected: n * p}
		}
	}
	return s
}

func first(c *Count) *Histogram { return &c.First }

func gaps(c *Count) *Histogram { return &c.Gaps }

// slow returns the slow answers of the new version on a route at a load, with those that it is
// allowed.
func (e evidence) slow(base evidence, route string, load uint8, surge bool, of func(*Count) *Histogram) (s samples) {
	tried := false
	for g := range uint8(groups) {
		c := e[Key{Route: route, Load: load, Group: g}]
		tried = tried || c != nil && of(c).total() > 0
	}
	if !tried {
		return s
	}
	extra := 0
	old := e.timed(base, route, load, of)
	for l := load; old == nil && l > 0 && !surge; l-- {
		old, extra = e.timed(base, route, l-1, of), busierClasses
	}
	if old == nil {
		return s
	}
	from := old.median() + slowClasses + extra
	slow := max(float64(old.from(from))/float64(old.total()), e.spread(base, route, load, of))
	p := min(slowFactor*slow+slowMargin, 0.95)
	for g := range uint8(groups) {
		if c := e[Key{Route: route, Load: load, Group: g}]; c != nil {
			n := float64(of(c).total())
			s[g] = sample{n: n, bad: float64(of(c).from(min(from, of(c).ownFrom()))), expected: n * p}
		}
	}
	return s
}

// ownFrom returns the class from which on durations are slow beside the others of the histogram.
// A version on fast machines may be bad and yet no slower than the old one. Without enough
// durations it returns one that none reach.
func (h *Histogram) ownFrom() int {
	if h.total() < minOwn {
		return buckets
	}
	return h.median() + slowClasses
}

// speeds is how slow the groups are beside the old version, as a number of classes, and how much
// the answers of the old version's groups spread.
type speeds struct {
	of     func(*Count) *Histogram
	median map[Key]int
	group  [allGroups]int
	known  [allGroups]bool
	// spread is the share of the old version's answers that are slow beside the others of their
	// group, by route.
	spread map[string]float64
}

// speedsOf returns the speeds of all groups, over all routes and loads: a group has few answers of
// each.
func (e evidence) speedsOf(of func(*Count) *Histogram) *speeds {
	s := &speeds{of: of, median: map[Key]int{}, spread: map[string]float64{}}
	var shifted [allGroups][2 * buckets]uint32
	for _, route := range e.routes() {
		for load := range maxLoad + 1 {
			old := e.timed(e, route, load, of)
			for l := load; old == nil && l > 0; l-- {
				old = e.timed(e, route, l-1, of)
			}
			if old == nil {
				continue
			}
			median := old.median()
			s.median[Key{Route: route, Load: load}] = median
			for g := range uint8(allGroups) {
				if c := e[Key{Route: route, Load: load, Group: g}]; c != nil {
					for class, n := range of(c) {
						shifted[g][class-median+buckets] += n
					}
				}
			}
		}
	}
	for g := range shifted {
		s.group[g], s.known[g] = quantile(shifted[g][:], fastPart)-buckets, total(shifted[g][:]) >= minOwn
	}
	n, slow := map[string]float64{}, map[string]float64{}
	for k, c := range e {
		if from, ok := s.from(k); ok && k.old() {
			n[k.Route] += float64(of(c).total())
			slow[k.Route] += float64(of(c).from(from))
		}
	}
	for route := range n {
		if n[route] >= minOld {
			s.spread[route] = slow[route] / n[route]
		}
	}
	return s
}

// from returns the class from which on an answer is slow beside the faster ones of its group.
func (s *speeds) from(k Key) (class int, ok bool) {
	median, ok := s.median[Key{Route: k.Route, Load: k.Load}]
	return median + s.group[k.Group] + spreadClasses, ok && s.known[k.Group]
}

// spreadOut returns the answers of the new version on a route at a load that are slow beside the
// faster ones of their group, with those that it is allowed. It shows a version that is slow at
// times by less than machines differ.
func (e evidence) spreadOut(s *speeds, route string, load uint8) (out samples) {
	spread, ok := s.spread[route]
	if !ok {
		return out
	}
	p := min(slowFactor*spread+spreadMargin, 0.95)
	for g := range uint8(groups) {
		k := Key{Route: route, Load: load, Group: g}
		from, ok := s.from(k)
		if c := e[k]; c != nil && ok {
			n := float64(s.of(c).total())
			out[g] = sample{n: n, bad: float64(s.of(c).from(from)), expected: n * p}
		}
	}
	return out
}

// spread returns the share of the old version's answers that are slow beside the others of their
// group.
func (evidence) spread(base evidence, route string, load uint8, of func(*Count) *Histogram) float64 {
	n, slow := 0.0, 0.0
	for g := uint8(groups); g < allGroups; g++ {
		if c := base[Key{Route: route, Load: load, Group: g}]; c != nil && of(c).total() >= minOwn {
			n += float64(of(c).total())
			slow += float64(of(c).from(of(c).ownFrom()))
		}
	}
	return slow / max(n, 1)
}

// timed returns the old version's durations on a route at a load, from the longer period if there are too few. It returns nil if there are none.
func (e evidence) timed(base evidence, route string, load uint8, of func(*Count) *Histogram) *Histogram {
	for _, from := range []evidence{e, base} {
		c := from.old(route, load, load, nil)
		if of(&c).total() >= minOld {
			return of(&c)
		}
	}
	return nil
}

// finding returns how probable the samples are by chance without the worst group, of which
// a machine may be bad. It needs two groups unless there is one upstream only.
func (s *samples) finding(upstreams int) Finding {
	tried := slices.DeleteFunc(slices.Clone(s[:]), func(g sample) bool { return g.n == 0 })
	if len(tried) < 2 && upstreams > 1 {
		return Finding{Probability: 1}
	}
	if len(tried) > 1 {
		slices.SortFunc(tried, func(a, b sample) int { return cmp.Compare(b.bad-b.expected, a.bad-a.expected) })
		tried = tried[1:]
	}
	var sum sample
	for _, g := range tried {
		sum.n += g.n
		sum.bad += g.bad
		sum.expected += g.expected
	}
	f := Finding{Bad: int(sum.bad), Answers: int(sum.n), Expected: sum.expected, Probability: 1}
	if sum.bad >= minBad && sum.bad > sum.expected {
		f.Probability = binomialTail(sum.n, sum.expected/sum.n, sum.bad)
	}
	return f
}

// binomialTail returns the probability of k or more of n events that have the probability p each.
func binomialTail(n, p, k float64) float64 {
	if p <= 0 {
		return 0
	}
	lgamma := func(x float64) float64 { v, _ := math.Lgamma(x); return v }
	term := math.Exp(lgamma(n+1) - lgamma(k+1) - lgamma(n-k+1) + k*math.Log(p) + (n-k)*math.Log1p(-p))
	sum := term
	for i := k; i < n && term > sum*1e-9; i++ {
		term *= (n - i) / (i + 1) * p / (1 - p)
		sum += term
	}
	return min(sum, 1)
}

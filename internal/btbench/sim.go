package btbench

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"bramleytack"
	"bramleytack/btlength"
	"bramleytack/btowner"
	"bramleytack/btprobe"
)

const (
	// healthDelay is the time until health checks notice a change.
	healthDelay = time.Second
	// requestTimeout is the deadline of a request after its arrival.
	requestTimeout = 5 * time.Minute
	cachePeriod    = 500 * time.Millisecond
	exchangePeriod = time.Second
	samplePeriod   = 100 * time.Millisecond
)

// sim is one run.
type sim struct {
	mix     Mix
	policy  Policy
	clock   *clock
	start   time.Time
	engines []*engine
	entries []*entry
	tables  []*btowner.Table
	byID    map[bramleytack.UpstreamID]int
	stats   *stats
}

// Run plays a mix under a policy.
func Run(m Mix, p Policy, seed uint64) Result { return run(m, p, seed, horizon) }

// run plays the first part of the scenario.
func run(m Mix, p Policy, seed uint64, until time.Duration) Result {
	s := newSim(m, p, seed)
	s.schedule(m.arrivals(seed))
	s.clock.play(s.start.Add(until))
	return s.stats.result(s)
}

func newSim(m Mix, p Policy, seed uint64) *sim {
	s := &sim{
		mix: m, policy: p, byID: map[bramleytack.UpstreamID]int{},
		clock: &clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
	}
	for i := range engines {
		e := newEngine(s, i, seed)
		e.warmUp()
		s.engines = append(s.engines, e)
		s.byID[e.id] = i
	}
	s.start = s.clock.now.Add(time.Second)
	s.clock.now = s.start
	s.stats = newStats(m, s.start)
	if p.Simple == nil {
		s.buildOwners()
	}
	for i := range entries {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		s.entries = append(s.entries, newEntry(s, i, rng))
	}
	return s
}

// buildOwners makes the owners' tables. The engines are warm and their owners
// know it.
func (s *sim) buildOwners() {
	for range entries {
		cfg := s.policy.Owner
		cfg.Lengths = btlength.New(btlength.Config{})
		s.tables = append(s.tables, btowner.NewTable(cfg, timer{s.clock}))
	}
	snap := snapshot(false)
	for _, e := range s.engines {
		t := s.table(e.id)
		t.Own(snap.Upstreams[e.id])
		t.MarkSynced(e.id)
		t.Report(e.id, e.core.Report(s.start))
		t.Inherit(bramleytack.UpstreamDigest{Upstream: e.id, Instance: e.core.Instance(), Level: 2 * warmLimit, At: s.start})
	}
}

func (s *sim) engine(id bramleytack.UpstreamID) *engine { return s.engines[s.byID[id]] }

// ownerOf spreads the upstreams over the daemons.
func (s *sim) ownerOf(id bramleytack.UpstreamID) int { return s.byID[id] % entries }

func (s *sim) table(id bramleytack.UpstreamID) *btowner.Table { return s.tables[s.ownerOf(id)] }

// distance returns the latency from an entry to the owner of an upstream.
func (s *sim) distance(entry int, id bramleytack.UpstreamID) time.Duration {
	if s.ownerOf(id) == entry {
		return 0
	}
	return s.mix.OneWay
}

// resume schedules a process, so that events never nest.
func (s *sim) resume(p *process) { s.clock.after(0, p.resume) }

func (e *engine) sortedStreams() []*stream {
	list := make([]*stream, 0, len(e.streams))
	for _, s := range e.streams {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *stream) int { return a.record.number - b.record.number })
	return list
}

// schedule makes the events of the scenario.
func (s *sim) schedule(list []arrival) {
	s.scheduleArrivals(list)
	s.scheduleFaults()
	end := s.start.Add(horizon)
	s.clock.every(0, samplePeriod, end, func() { s.stats.sample(s) })
	for i, e := range s.entries {
		s.clock.every(phase(i, entries, exchangePeriod), exchangePeriod, end, e.exchange)
		if e.queue != nil {
			s.clock.every(phase(i, entries, cachePeriod), cachePeriod, end, e.cacheEvents)
			s.clock.every(phase(i, entries, tickPeriod), tickPeriod, end, func() {
				e.queue.Tick()
				s.clock.dirty = true
			})
		}
	}
	if s.policy.Simple != nil {
		return
	}
	for i, e := range s.engines {
		s.clock.every(phase(i, engines, btprobe.DefaultPeriod), btprobe.DefaultPeriod, end, func() { s.report(e) })
	}
}

const tickPeriod = 500 * time.Millisecond

// phase spreads periodic work evenly.
func phase(i, n int, period time.Duration) time.Duration {
	return period * time.Duration(i+1) / time.Duration(n+1)
}

func (s *sim) scheduleArrivals(list []arrival) {
	for i, a := range list {
		s.clock.at(s.start.Add(a.at), func() { s.arrive(i, a) })
	}
}

func (s *sim) arrive(i int, a arrival) {
	c := s.mix.Classes[a.class]
	r := &bramleytack.Request{
		ID: bramleytack.RequestID("request-" + strconv.Itoa(i)), Kind: bramleytack.Generate,
		Received: s.clock.now, Deadline: s.clock.now.Add(requestTimeout),
		Workspace: workspaceName(a.workspace), Priority: c.Priority,
		Model: model, Prompt: a.prompt, MaxTokens: c.Max,
	}
	rec := s.stats.arrive(s.clock.now, i, a)
	s.clock.spawn(func() { s.entries[a.entry].serve(r, rec) })
}

func (s *sim) scheduleFaults() {
	s.clock.at(s.start.Add(leaveAt), func() {
		s.eachLeaving((*engine).leave)
		s.setDomain(true)
	})
	s.clock.at(s.start.Add(returnAt), func() {
		s.eachLeaving((*engine).comeBack)
		s.setDomain(false)
	})
	s.clock.at(s.start.Add(coldAt), func() { s.engines[coldEngine].core.BecomeCold(s.clock.now) })
}

func (s *sim) eachLeaving(f func(*engine)) {
	for i, e := range s.engines {
		if i%domains == leavingDomain {
			f(e)
		}
	}
}

// setDomain spreads a configuration change over the daemons within 2 s.
func (s *sim) setDomain(out bool) {
	snap := snapshot(out)
	for i, e := range s.entries {
		s.clock.after(500*time.Millisecond+phase(i, entries, 1500*time.Millisecond), func() {
			e.snapshot = snap
			if s.policy.Simple == nil {
				s.tables[i].Configure(snap)
			}
		})
	}
}

// report carries a load report to the owner and its digest to the entries.
func (s *sim) report(e *engine) {
	if e.core.Dead() {
		return
	}
	table := s.table(e.id)
	table.Report(e.id, e.core.Report(s.clock.now))
	d, _ := table.Digest(e.id)
	for i, o := range s.entries {
		s.clock.after(s.distance(i, e.id), func() { s.digest(o, d) })
	}
}

// digest brings a digest to an entry. The room is divided among the entries.
func (s *sim) digest(o *entry, d bramleytack.UpstreamDigest) {
	o.learn([]bramleytack.UpstreamDigest{d})
	if room := d.Limit - d.Running; room > 0 {
		o.queue.Wake(model, (room+entries-1)/entries)
		s.clock.dirty = true
	}
}

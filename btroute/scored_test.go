package btroute

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bramleytack"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func pick(s *bramleytack.Snapshot, p Policy, attempt int, loads ...Load) bramleytack.UpstreamID {
	var c []Candidate
	for i, u := range s.ByModel["m"] {
		c = append(c, Candidate{Upstream: u, Load: loads[i]})
	}
	r := &bramleytack.Request{Kind: bramleytack.Generate, Model: "m", Priority: bramleytack.Interactive, Prompt: strings.Repeat("p", 4096)}
	return c[p.Pick(Query{Request: r, Snapshot: s, Now: start, Attempt: attempt}, c)].Upstream.ID
}

// Guards against a score that prefers an upstream that is fuller, colder, in
// another failure domain, or has rejected a request. With two candidates both
// are always compared.
func TestScored(t *testing.T) {
	warm := Load{Known: true, Running: 4, Limit: 10, Memory: 0.4, Warm: true}
	with := func(f func(*Load)) Load {
		l := warm
		f(&l)
		return l
	}
	for _, c := range []struct {
		name string
		b    Load
		want bramleytack.UpstreamID
	}{
		{"less running", with(func(l *Load) { l.Running = 2; l.Memory = 0.2 }), "b"},
		{"more memory", with(func(l *Load) { l.Running = 2; l.Memory = 0.8 }), "a"},
		{"full", with(func(l *Load) { l.Running = 10; l.Memory = 0 }), "a"},
		{"cold for a long output", with(func(l *Load) { l.Running, l.Memory, l.Limit, l.Warm = 1, 0.1, 4, false }), "a"},
		{"refused", with(func(l *Load) { l.Running, l.Memory = 0, 0; l.Rejected = true }), "a"},
		{"unknown", Load{}, "a"},
		{"unknown beside a busy one", Load{}, "a"},
		{"other domain", warm, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSnapshot("a", "b")
			s.FailureDomains["e"] = &bramleytack.FailureDomain{Name: "e", State: bramleytack.DomainActive}
			s.Upstreams["b"].FailureDomain = "e"
			assert.Equal(t, pick(s, &Scored{Domain: "d"}, 1, warm, c.b), c.want)
		})
	}
	t.Run("cold for a short output", func(t *testing.T) {
		s := newSnapshot("a", "b")
		cold := Load{Known: true, Running: 1, Limit: 4, Memory: 0.1}
		c := []Candidate{{Upstream: s.ByModel["m"][0], Load: warm}, {Upstream: s.ByModel["m"][1], Load: cold}}
		r := &bramleytack.Request{Kind: bramleytack.Generate, Model: "m", Priority: bramleytack.Interactive, MaxTokens: maxShortOutput}
		assert.Equal(t, (&Scored{}).Pick(Query{Request: r, Snapshot: s, Now: start, Attempt: 1}, c), 1)
		assert.Equal(t, (&Scored{AvoidCold: true}).Pick(Query{Request: r, Snapshot: s, Now: start, Attempt: 1}, c), 0)
	})
	t.Run("later attempts take the best of all", func(t *testing.T) {
		s := newSnapshot("a", "b", "c", "d", "e")
		best := Load{Known: true, Limit: 10, Warm: true}
		for range 20 {
			assert.Equal(t, pick(s, &Scored{}, 2, warm, warm, warm, best, warm), bramleytack.UpstreamID("d"))
		}
	})
	t.Run("a cached prefix is preferred, unless its upstream is full", func(t *testing.T) {
		s := newSnapshot("a", "b", "c", "d", "e", "f", "g", "h")
		p := &Scored{Prefixes: &Prefixes{}}
		p.Prefixes.RecordPrompt(start, "g", PrefixHashes("m", strings.Repeat("p", 4096)))
		loads := []Load{warm, warm, warm, warm, warm, warm, warm, warm}
		for range 20 {
			assert.Equal(t, pick(s, p, 1, loads...), bramleytack.UpstreamID("g"))
		}
		loads[6].Running = 10
		for range 20 {
			assert.Assert(t, pick(s, p, 1, loads...) != "g")
		}
	})
}

// Guards against preferring an upstream whose cache no longer holds the prefix.
func TestPrefixes(t *testing.T) {
	hashes := PrefixHashes("m", strings.Repeat("x", 3000))
	assert.Equal(t, len(hashes), 2)
	event := func(n uint64, hash int) bramleytack.CacheEvent {
		return bramleytack.CacheEvent{Sequence: n, Prefix: hashes[hash]}
	}
	fresh := func() *Prefixes {
		p := &Prefixes{}
		p.Apply(start, "u", "i", []bramleytack.CacheEvent{event(1, 0), event(2, 1)})
		assert.Equal(t, p.Matches(start, hashes)["u"], 1.0)
		return p
	}
	assertNone := func(t *testing.T, p *Prefixes, now time.Time) {
		t.Helper()
		assert.Equal(t, len(p.Matches(now, hashes)), 0)
	}
	t.Run("eviction", func(t *testing.T) {
		p := fresh()
		e := event(3, 1)
		e.Evicted = true
		p.Apply(start, "u", "i", []bramleytack.CacheEvent{e})
		assert.Equal(t, p.Matches(start, hashes)["u"], 0.5)
	})
	t.Run("gap", func(t *testing.T) {
		p := fresh()
		p.Apply(start, "u", "i", []bramleytack.CacheEvent{{Sequence: 4}})
		assertNone(t, p, start)
		assert.Equal(t, p.LastSequence("u"), uint64(4))
	})
	t.Run("repeated events are no gap", func(t *testing.T) {
		p := fresh()
		p.Apply(start, "u", "i", []bramleytack.CacheEvent{event(1, 0), event(2, 1)})
		assert.Equal(t, p.Matches(start, hashes)["u"], 1.0)
	})
	t.Run("restart", func(t *testing.T) {
		p := fresh()
		p.Apply(start, "u", "j", nil)
		assertNone(t, p, start)
	})
	t.Run("expiry", func(t *testing.T) { assertNone(t, fresh(), start.Add(prefixTTL)) })
	t.Run("bounds", func(t *testing.T) {
		p := &Prefixes{}
		for i := range uint64(maxPrefixes + 1000) {
			p.RecordPrompt(start, "u", []uint64{i})
		}
		assert.Equal(t, len(p.index), maxPrefixes)
	})
}

// Guards against counting own requests twice or not at all, using outdated
// digests, and reporting a model version that an engine has not loaded.
func TestLoads(t *testing.T) {
	l := &Loads{}
	d := bramleytack.UpstreamDigest{Upstream: "u", At: start, Running: 4, Limit: 8, Memory: 0.4, Models: []bramleytack.LoadedModel{{Model: "m", Version: "2"}}}
	l.requestStarted("u")
	l.SetDigest(start, d)
	l.requestStarted("u")
	assert.Equal(t, l.Load(start, "u").Running, 5)
	assert.Equal(t, l.Load(start, "u").InFlight, 2)
	assert.Assert(t, l.Load(start, "u").Memory > 0.45)
	l.requestEnded("u")
	l.requestEnded("u")
	assert.Equal(t, l.Load(start, "u").Running, 3)
	old := d
	old.At, old.Running = start.Add(-time.Second), 0
	l.SetDigest(start, old)
	assert.Equal(t, l.Load(start, "u").Running, 3)
	assert.Assert(t, !l.Load(start.Add(time.Minute), "u").Known)
	l.recordRejection(start, "u", time.Hour)
	assert.Assert(t, l.Load(start, "u").Rejected && !l.Load(start.Add(2*time.Second), "u").Rejected)

	assert.Assert(t, l.HasModel("u", bramleytack.LoadedModel{Model: "m", Version: "2"}))
	assert.Assert(t, l.HasModel("u", bramleytack.LoadedModel{Model: "m"}))
	assert.Assert(t, !l.HasModel("u", bramleytack.LoadedModel{Model: "m", Version: "1"}))
	assert.Assert(t, !l.HasModel("u", bramleytack.LoadedModel{Model: "m", Version: "2", Adapter: "a"}))
	l.Retain(&bramleytack.Snapshot{})
	assert.Assert(t, !l.HasModel("u", bramleytack.LoadedModel{Model: "m"}))
}

// Guards against subsets that differ between calls, together leave upstreams
// unused, or change by more than one upstream if one is removed.
func TestSubset(t *testing.T) {
	var ids []bramleytack.UpstreamID
	for i := range 150 {
		ids = append(ids, bramleytack.UpstreamID(fmt.Sprint("u", i)))
	}
	all := newSnapshot(ids...).ByModel["m"]
	used := map[*bramleytack.Upstream]int{}
	for e := range 32 {
		host := bramleytack.HostID(fmt.Sprint("h", e))
		subset := Subset(host, all, 40)
		assert.Equal(t, len(subset), 40)
		assert.Assert(t, slices.Equal(subset, Subset(host, all, 40)))
		before := map[*bramleytack.Upstream]bool{}
		for _, u := range subset {
			used[u]++
			before[u] = true
		}
		fresh := 0
		for _, u := range Subset(host, all[1:], 40) {
			if !before[u] {
				fresh++
			}
		}
		assert.Assert(t, fresh <= 1, "%d changed", fresh)
	}
	assert.Equal(t, len(used), len(all))
}

// Guards against a request that fails although upstreams outside of the entry's
// subset have free capacity.
func TestFilterLeavesSubset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner := newFilter(t, newSnapshot("a", "b", "c", "d", "e", "f"))
		f.SubsetSize = 2
		owner.reject = map[bramleytack.UpstreamID]error{}
		for _, u := range Subset(f.Entry, f.Snapshots.Snapshot().ByModel["m"], 2) {
			owner.reject[u.ID] = bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "full")
		}
		r := &bramleytack.Request{Kind: bramleytack.Generate, Model: "m"}
		granted := 0
		f.Granted = func(*bramleytack.Request) { granted++ }
		ok := bramleytack.HandlerFunc(func(context.Context, *bramleytack.Request, bramleytack.ResponseWriter) error { return nil })
		assert.NilError(t, f.Handle(t.Context(), r, &nullWriter{}, ok))
		assert.Equal(t, len(owner.offered), 3)
		assert.Equal(t, granted, 1)
	})
}

// Guards against a budget that does not bound repeated attempts, and waits that
// end after the deadline.
func TestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFilter(t, newSnapshot("a"))
		b := &Backoff{Timer: f.Timer, Budget: 3, RefillPerSecond: 1, Float: func() float64 { return 0.5 }}
		allowed := func() (n int) {
			for range 10 {
				if _, ok := b.Next(2, time.Time{}); ok {
					n++
				}
			}
			return n
		}
		assert.Equal(t, allowed(), 3)
		time.Sleep(2 * time.Second)
		assert.Equal(t, allowed(), 2)
		time.Sleep(time.Minute)
		d, ok := b.Next(4, time.Time{})
		assert.Assert(t, ok && d == 2*defaultInitialWait, "%v", d)
		_, ok = b.Next(4, time.Now().Add(time.Millisecond))
		assert.Assert(t, !ok, "no wait past the deadline")
		_, ok = b.Next(defaultMaxAttempts+1, time.Time{})
		assert.Assert(t, !ok)
	})
}

func BenchmarkFilter(b *testing.B) {
	var ids []bramleytack.UpstreamID
	for i := range 150 {
		ids = append(ids, bramleytack.UpstreamID(fmt.Sprint("u", i)))
	}
	s := newSnapshot(ids...)
	loads := &Loads{}
	now := time.Now()
	for _, id := range ids {
		loads.SetDigest(now, bramleytack.UpstreamDigest{Upstream: id, At: now, Running: rand.IntN(8), Limit: 8, Warm: true, Models: []bramleytack.LoadedModel{{Model: "m"}}})
	}
	f, _ := newFilter(b, s)
	f.Owner = grantAll{}
	f.Loads, f.Models, f.Policy = loads, loads, &Scored{Prefixes: &Prefixes{}}
	r := &bramleytack.Request{Kind: bramleytack.Generate, Model: "m", Prompt: strings.Repeat("p", 4096)}
	ok := bramleytack.HandlerFunc(func(context.Context, *bramleytack.Request, bramleytack.ResponseWriter) error { return nil })
	b.ReportAllocs()
	for b.Loop() {
		if err := f.Handle(b.Context(), r, &nullWriter{}, ok); err != nil {
			b.Fatal(err)
		}
	}
}

// grantAll is an Owner that grants every reservation.
type grantAll struct{}

func (grantAll) Reserve(_ context.Context, r bramleytack.Reservation) (bramleytack.Grant, error) {
	return bramleytack.Grant{ID: r.Grant}, nil
}

func (grantAll) Release(context.Context, bramleytack.Release) error { return nil }

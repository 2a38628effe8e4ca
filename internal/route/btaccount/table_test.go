package btaccount

import (
	"bytes"
	"fmt"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/bttimer"
)

const service = "engines"

// longGeneration is the need of a long generation of typical size.
var longGeneration = Need{Prompt: 3000, Output: 900, MaxOutput: 2000}

// shortGeneration is the need of a generation that ends within a few events.
var shortGeneration = Need{Prompt: 2200, Output: 8, MaxOutput: 20}

// fleet returns a snapshot of n engines over three failure domains.
func fleet(n int) *bramleytack.Snapshot {
	s := &bramleytack.Snapshot{
		Services: map[string]*bramleytack.ServiceRecord{service: {
			Name: service, ColdPerSecond: 40,
			Engine: &bramleytack.EngineProfile{Slots: 24, MemoryTokens: 27000, TokensPerEvent: 4, Moves: true, Backups: true},
		}},
		Upstreams:      map[bramleytack.UpstreamID]*bramleytack.Upstream{},
		ByService:      map[string][]*bramleytack.Upstream{},
		FailureDomains: map[bramleytack.FailureDomainID]*bramleytack.FailureDomain{},
	}
	for i := range n {
		d := bramleytack.FailureDomainID(fmt.Sprintf("d%d", i%3))
		u := &bramleytack.Upstream{ID: bramleytack.UpstreamID(fmt.Sprintf("e%02d", i)), Service: service, FailureDomain: d, WarmLimit: 24}
		s.Upstreams[u.ID] = u
		s.ByService[service] = append(s.ByService[service], u)
		s.FailureDomains[d] = &bramleytack.FailureDomain{Name: d, State: bramleytack.DomainActive}
	}
	return s
}

// withFakeTime runs a test in a synctest bubble, whose clock only advances when all
// goroutines wait.
func withFakeTime(t *testing.T, f func(t *testing.T, timer *bttimer.Service)) {
	synctest.Test(t, func(t *testing.T) {
		timer := bttimer.New(1)
		defer timer.Close()
		f(t, timer)
	})
}

func newTable(timer *bttimer.Service) *Table { return &Table{Timer: timer, Domain: "d0"} }

// pick chooses an upstream and begins a request there that does not end.
func pick(t *testing.T, table *Table, s *bramleytack.Snapshot, n Need) *bramleytack.Upstream {
	t.Helper()
	u, _ := table.Pick(s, table.Eligible(s, service, nil), n)
	assert.Assert(t, u != nil)
	table.Begin(u.ID, n)
	return u
}

// Guards against a burst at one engine: requests reach many daemons before they
// receive each other's loads, and all choose the engine with the lowest delay
// (grown Foldwell site, quiet-1: four prompts at one engine within 20 ms).
func TestBurstSpreadsOverEngines(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		s := fleet(45)
		for round := range 50 {
			count := map[bramleytack.UpstreamID]int{}
			for range 10 {
				count[pick(t, newTable(timer), s, longGeneration).ID]++
			}
			most := 0
			for _, n := range count {
				most = max(most, n)
			}
			assert.Assert(t, most <= 6, "round %d: %d of 10 prompts at one engine", round, most)
		}
	})
}

// Guards against uneven memory, and against prompts that queue while other engines
// are idle, under steady load at two daemons that receive each other's loads.
func TestLoadIsEven(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		s := fleet(12)
		a, b := newTable(timer), newTable(timer)
		count := map[bramleytack.UpstreamID]int{}
		for range 24 {
			count[pick(t, a, s, longGeneration).ID]++
			b.SetPeer(Source{Host: "a"}, a.OwnLoads())
			count[pick(t, b, s, longGeneration).ID]++
			a.SetPeer(Source{Host: "b"}, b.OwnLoads())
		}
		for _, u := range s.ByService[service] {
			assert.Assert(t, count[u.ID] >= 3 && count[u.ID] <= 5, "%s has %d of 48", u.ID, count[u.ID])
		}
	})
}

// Guards against backup copies that displace running generations when these need
// most of the engines' memory (grown Foldwell site, quiet-1: 60 preemptions).
func TestCopiesNeedSpareMemory(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		s := fleet(12)
		table := newTable(timer)
		primary := pick(t, table, s, longGeneration)
		assert.Assert(t, table.PickBackup(s, primary, longGeneration) != nil, "no idle engine takes a copy")
		for range 55 {
			pick(t, table, s, longGeneration)
		}
		assert.Assert(t, table.PickBackup(s, primary, longGeneration) == nil, "a full engine takes a copy")
		assert.Assert(t, table.PickTarget(s, primary, longGeneration) != nil, "a running generation finds no engine")
	})
}

// Guards against moves that all queue at the link of one target when an engine
// leaves and many daemons move its generations at once.
func TestMovesSpread(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		s := fleet(12)
		primary := s.ByService[service][0]
		count := map[bramleytack.UpstreamID]int{}
		sameDomain := 0
		// Enough draws that random variation stays far from the limit of one half.
		const moves = 600
		for range moves {
			u := newTable(timer).PickTarget(s, primary, longGeneration)
			count[u.ID]++
			if u.FailureDomain == primary.FailureDomain {
				sameDomain++
			}
		}
		for id, n := range count {
			assert.Assert(t, n <= moves/2, "%d of %d moves go to %s", n, moves, id)
		}
		assert.Assert(t, sameDomain >= moves/3, "%d of %d moves stay in the failure domain", sameDomain, moves)
	})
}

// Guards against moves that all go to a few new engines while the others are
// nearly full (grown Foldwell site, scale-1: 25 moves to one engine within 0.4 s,
// whose link takes six per second).
func TestMovesSpreadOverFreeMemory(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		s := fleet(33)
		primary := s.ByService[service][0]
		loads := map[bramleytack.UpstreamID]Load{}
		for i, u := range s.ByService[service] {
			if i > 3 {
				loads[u.ID] = Load{Running: 5, Memory: 18000}
			}
		}
		count := map[bramleytack.UpstreamID]int{}
		const moves = 300
		for range moves {
			table := newTable(timer)
			table.SetPeer(Source{Host: "h2"}, loads)
			u := table.PickTarget(s, primary, longGeneration)
			assert.Equal(t, u.FailureDomain, primary.FailureDomain)
			count[u.ID]++
		}
		for id, n := range count {
			assert.Assert(t, n <= moves*45/100, "%d of %d moves go to %s", n, moves, id)
		}
		assert.Assert(t, len(count) >= 8, "moves go to only %d engines", len(count))
	})
}

// Guards against engines that are overfilled because running generations exceed
// their forecast (grown Foldwell site: 477 tokens forecast, 825 generated on
// average).
func TestGrownGenerationCounts(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		s := fleet(2)
		table := newTable(timer)
		grown := table.Begin("e00", longGeneration)
		table.Begin("e01", longGeneration)
		grown.PrefillDone()
		grown.Grow(100)
		assert.Equal(t, table.OwnLoads()["e00"].Memory, table.OwnLoads()["e01"].Memory)
		grown.Grow(4 * longGeneration.Output)
		assert.Equal(t, table.OwnLoads()["e00"].Memory, longGeneration.Prompt+4*longGeneration.Output+growthMargin)
		_, _, full := table.PickWithMemoryLimit(s, s.ByService[service][:1], Need{Prompt: 22000, Output: 100}, 1)
		assert.Assert(t, full)
		grown.End(Served)
		grown.Grow(8 * longGeneration.Output)
		assert.Equal(t, table.OwnLoads()["e00"].Memory, 0)
	})
}

// Guards against many daemons that together exceed the cold limit of one engine.
func TestColdLimitIsShared(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		const daemons = 8
		s := fleet(1)
		s.ByService[service][0].ColdUntil = time.Now().Add(10 * time.Second)
		sent := 0
		tables := make([]*Table, daemons)
		for i := range tables {
			tables[i] = newTable(timer)
			tables[i].Daemons = func() int { return daemons }
		}
		for range 100 {
			for _, table := range tables {
				if u, _ := table.Pick(s, table.Eligible(s, service, nil), longGeneration); u != nil {
					sent++
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		// The limit of 40 per second, and a burst of one from each daemon.
		assert.Assert(t, sent <= 40+daemons, "%d requests in a second", sent)
		assert.Assert(t, sent >= 30, "%d requests in a second", sent)
	})
}

// Guards against work that still goes to an upstream which fails some requests
// while its health check passes, and against a service without any eligible
// upstream when all of them fail.
func TestFailingUpstreamIsEjected(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		s := fleet(3)
		table := newTable(timer)
		end := func(id bramleytack.UpstreamID, o Outcome) { table.Begin(id, Need{}).End(o) }
		for range 5 {
			end("e00", Failed)
			end("e01", Served)
			end("e02", Served)
		}
		assert.Equal(t, len(table.Eligible(s, service, nil)), 2)
		time.Sleep(maxEjection + time.Second)
		assert.Equal(t, len(table.Eligible(s, service, nil)), 3, "an ejection never ends")
		for range 20 {
			for _, u := range s.ByService[service] {
				end(u.ID, Failed)
			}
		}
		assert.Assert(t, len(table.Eligible(s, service, nil)) > 0, "no upstream is eligible")
	})
}

// Guards against daemons that each have to detect a failing upstream alone (grown
// Foldwell site, scale-1: 152 orders lost to one upstream in 6 s). The ejections of
// a single daemon must not count, nor those of most of a service's upstreams.
func TestEjectionIsShared(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		s := fleet(3)
		changes := 0
		var lines bytes.Buffer
		peer := newTable(timer)
		peer.Log = btevent.New(&lines, 0, "h1")
		peer.Changed = func() { changes++ }
		peer.Eligible(s, service, nil)
		for range 2 {
			peer.Begin("e00", Need{}).End(Failed)
		}
		assert.Assert(t, changes > 0, "an ejection does not call Changed")
		assert.Assert(t, strings.Contains(lines.String(), `"upstream":"e00"`), "an ejection is not logged")
		assert.Equal(t, peer.OwnLoads()["e00"].Ejections, 1)
		table := newTable(timer)
		count := func() int { return len(table.Eligible(s, service, nil)) }
		hosts := []bramleytack.HostID{"h1", "h2", "h3"}
		receive := func(loads map[bramleytack.UpstreamID]Load) {
			for _, h := range hosts {
				table.SetPeer(Source{Host: h}, loads)
			}
		}
		table.SetPeer(Source{Host: "h1"}, peer.OwnLoads())
		assert.Equal(t, count(), 3, "the ejection of a single daemon counts")
		receive(peer.OwnLoads())
		assert.Equal(t, count(), 2)
		two := map[bramleytack.UpstreamID]Load{"e00": {Ejections: 1}, "e01": {Ejections: 1}}
		receive(two)
		assert.Equal(t, count(), 3, "less than half of the service is eligible")
		time.Sleep(maxEjection)
		receive(peer.OwnLoads())
		assert.Equal(t, count(), 3, "an ejection has not expired")
		peer.Begin("e00", Need{}).End(Failed)
		assert.Equal(t, peer.OwnLoads()["e00"].Ejections, 0, "one failure after an ejection ejects again")
	})
}

// Guards against failure averages that are compared with upstreams of other
// services, such as a plain service whose calls always fail.
func TestEjectionComparesWithinTheService(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		s := fleet(3)
		for _, id := range []bramleytack.UpstreamID{"p1", "p2"} {
			u := &bramleytack.Upstream{ID: id, Service: "shop", FailureDomain: "d0", WarmLimit: 6}
			s.Upstreams[id] = u
			s.ByService["shop"] = append(s.ByService["shop"], u)
		}
		table := newTable(timer)
		table.Eligible(s, service, nil)
		table.Eligible(s, "shop", nil)
		for range 20 {
			table.Begin("p1", Need{}).End(Failed)
			table.Begin("p2", Need{}).End(Failed)
		}
		for range 4 {
			table.Begin("e00", longGeneration).End(Failed)
			table.Begin("e01", longGeneration).End(Served)
			table.Begin("e02", longGeneration).End(Served)
		}
		assert.Equal(t, len(table.Eligible(s, service, nil)), 2)
	})
}

// Guards against repeated attempts at an upstream that has ended but stays
// registered while the store is unavailable, and against moves to it.
func TestUnreachablePauseGrows(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		s := fleet(2)
		table := newTable(timer)
		attempts := 0
		for range 200 {
			u, _ := table.Pick(s, table.Eligible(s, service, nil), Need{})
			l := table.Begin(u.ID, Need{})
			if u.ID == "e00" {
				attempts++
				l.End(Unreachable)
				assert.Assert(t, table.PickTarget(s, s.Upstreams["e01"], longGeneration) == nil, "a move goes to an ended engine")
			} else {
				l.End(Served)
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, attempts > 0 && attempts <= 9, "%d of 200 requests went to the ended upstream", attempts)
		table.Begin("e00", Need{}).End(Served)
		time.Sleep(maxUnreachablePause)
		assert.Equal(t, len(table.Eligible(s, service, nil)), 2, "a reachable upstream is avoided")
	})
}

// Guards against an ejection in addition to the pause after refused connections,
// which kept an upstream without work for 8 s after it was reachable again.
func TestUnreachablePauseIsBounded(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		s := fleet(2)
		table := newTable(timer)
		for range 300 {
			if len(table.Eligible(s, service, nil)) == 2 {
				table.Begin("e00", Need{}).End(Unreachable)
			}
			time.Sleep(100 * time.Millisecond)
			refused := timer.Now()
			for len(table.Eligible(s, service, nil)) < 2 {
				time.Sleep(100 * time.Millisecond)
			}
			assert.Assert(t, timer.Now().Sub(refused) <= maxUnreachablePause, "avoided for %v", timer.Now().Sub(refused))
		}
	})
}

// Guards against loads that drift: an ended lease must remove exactly what it
// added, also if a call is repeated.
func TestLeasesBalance(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		table := newTable(timer)
		a, b := table.Begin("e00", longGeneration), table.Begin("e00", longGeneration)
		c := table.BeginCopy("e01", longGeneration)
		a.PrefillDone()
		a.PrefillDone()
		a.End(Served)
		a.End(Served)
		b.End(Abandoned)
		c.End()
		c.End()
		assert.Equal(t, len(table.OwnLoads()), 0)
	})
}

// Guards against loads of a dead daemon that are never removed.
func TestRetainRemovesDeadDaemons(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		s := fleet(2)
		table := newTable(timer)
		table.SetPeer(Source{Host: "h2"}, map[bramleytack.UpstreamID]Load{"e00": {Running: 20, Unread: 30000}})
		assert.Equal(t, pick(t, table, s, longGeneration).ID, bramleytack.UpstreamID("e01"))
		table.Retain(s, func(Source) bool { return false })
		assert.Equal(t, pick(t, table, s, longGeneration).ID, bramleytack.UpstreamID("e00"))
	})
}

// The loads of other failure domains arrive late. Guards against daemons that send work to
// other domains while their own has free engines, which costs bytes between domains (large
// Foldwell site), and against a busy domain that does not use the free engines of others.
func TestWorkStaysInTheDomainUntilItIsBusy(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		s := fleet(12)
		table := newTable(timer)
		table.Domain = s.ByService[service][0].FailureDomain
		table.RemoteLate = func() bool { return true }
		loads := map[bramleytack.UpstreamID]Load{}
		setOwn := func(running int) {
			for _, u := range s.ByService[service] {
				if u.FailureDomain == table.Domain {
					loads[u.ID] = Load{Running: running, Memory: running * 3000}
				}
			}
			table.SetPeer(Source{Domain: table.Domain}, maps.Clone(loads))
		}
		for _, running := range []int{3, 9} {
			setOwn(running)
			for range 50 {
				u, _ := table.Pick(s, table.Eligible(s, service, nil), shortGeneration)
				assert.Equal(t, u.FailureDomain == table.Domain, running == 3, "%d running", running)
			}
		}
	})
}

// Guards against choices whose cost grows with the upstreams of other failure domains, and
// against a sample that hides the only upstreams that accept work.
func TestLargeServiceIsSampled(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		s := fleet(3 * maxCandidates)
		table := newTable(timer)
		table.RemoteLate = func() bool { return true }
		list := table.Eligible(s, service, nil)
		assert.Equal(t, len(list), maxCandidates+remoteSample)
		for i, u := range s.ByService[service] {
			if i != 7 {
				u.State = bramleytack.UpstreamLeaving
			}
		}
		list = table.Eligible(s, service, nil)
		assert.Equal(t, len(list), 1)
		assert.Equal(t, list[0].ID, s.ByService[service][7].ID)
	})
}

// Calls wait at 59 daemons when the only upstream of a plain service starts or becomes cold again.
// Guards against daemons that together send more than the upstream tolerates, which is half as much again as
// its limit and five more in a second.
func TestColdUpstreamOfWaitingCalls(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		const daemons, limit = 59, 25
		u := &bramleytack.Upstream{ID: "s0", Service: "shop", FailureDomain: "d", WarmLimit: 6}
		s := &bramleytack.Snapshot{
			Services:       map[string]*bramleytack.ServiceRecord{"shop": {ColdPerSecond: limit}},
			Upstreams:      map[bramleytack.UpstreamID]*bramleytack.Upstream{u.ID: u},
			ByService:      map[string][]*bramleytack.Upstream{u.Service: {u}},
			FailureDomains: map[bramleytack.FailureDomainID]*bramleytack.FailureDomain{"d": {State: bramleytack.DomainActive}},
		}
		tables := make([]*Table, daemons)
		for i := range tables {
			tables[i] = newTable(timer)
			tables[i].Daemons = func() int { return daemons }
		}
		for range 3 {
			u.ColdUntil = time.Now().Add(5 * time.Second)
			var sent []time.Time
			for time.Now().Before(u.ColdUntil) {
				for _, table := range tables {
					first, each := table.ColdTurn(s, u.Service)
					picked, _ := table.Pick(s, table.Eligible(s, u.Service, nil), Need{})
					assert.Assert(t, (picked != nil) == (first == 0) && each > 2*time.Second, "%v, %v", first, each)
					if picked != nil {
						sent = append(sent, time.Now())
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
			assert.Assert(t, len(sent) >= 4*limit, "%d in five seconds", len(sent))
			for i := range sent {
				n := 0
				for _, at := range sent[i:] {
					if at.Sub(sent[i]) < time.Second {
						n++
					}
				}
				assert.Assert(t, n <= limit*3/2+5, "%d in a second", n)
			}
			time.Sleep(10 * time.Second)
		}
	})
}

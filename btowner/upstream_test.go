package btowner

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"bramleytack"
	"bramleytack/btramp"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func record(limit, memory int) *bramleytack.Upstream {
	return &bramleytack.Upstream{ID: "u", Kind: bramleytack.KindEngine, ColdLimit: limit, WarmLimit: limit, MemoryTokens: memory}
}

func newUpstream(limit, memory int) *Upstream {
	return NewUpstream(Config{WithoutReports: true}, start, record(limit, memory))
}

func reservation(id string, p bramleytack.Priority) bramleytack.Reservation {
	return bramleytack.Reservation{Grant: bramleytack.GrantID(id), Request: bramleytack.RequestID(id), Entry: "e", Priority: p, PromptTokens: 100, MaxTokens: 100}
}

// cluster simulates one engine, its owner and the entry daemons that use it.
type cluster struct {
	t     *rapid.T
	limit int
	now   time.Time
	owner *Upstream
	next  int
	// engine holds the requests that the engine runs, in its current instance.
	engine   map[bramleytack.RequestID]bramleytack.Reservation
	instance int
	// asked holds when each grant was asked for, and pending the granted
	// reservations whose requests were not sent yet.
	asked   map[bramleytack.GrantID]time.Time
	pending []bramleytack.Reservation
	// live holds the reservations of entry daemons that are alive, for Adopt.
	live   map[bramleytack.GrantID]bramleytack.Reservation
	dead   map[bramleytack.HostID]bool
	deaths int
	// history holds the engine's load reports.
	history []bramleytack.LoadReport
}

// observe makes a load report. It is not delivered yet.
func (c *cluster) observe() {
	r := bramleytack.LoadReport{Instance: bramleytack.InstanceID(fmt.Sprint(c.instance)), At: c.now, Running: len(c.engine)}
	for id := range c.engine {
		r.Generations = append(r.Generations, bramleytack.GenerationState{Request: id, Tokens: 1})
	}
	c.history = append(c.history, r)
}

func (c *cluster) advance(d time.Duration) {
	c.now = c.now.Add(d)
	for id, r := range c.engine {
		if !c.now.Before(r.Deadline) {
			delete(c.engine, id)
		}
	}
}

func (c *cluster) reserve() {
	c.next++
	r := reservation(fmt.Sprint(c.next), bramleytack.Standard)
	r.Entry = bramleytack.HostID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(c.t, "entry"))
	r.Deadline = c.now.Add(30 * time.Second)
	// An entry daemon that died comes back under a new name.
	r.Entry += bramleytack.HostID(fmt.Sprint(c.deaths))
	if _, err := c.owner.Reserve(c.now, r); err == nil {
		c.asked[r.Grant] = c.now
		c.pending = append(c.pending, r)
		c.live[r.Grant] = r
	}
}

func (c *cluster) dispatch() {
	if len(c.pending) == 0 {
		return
	}
	r := c.pending[0]
	c.pending = c.pending[1:]
	if c.now.Sub(c.asked[r.Grant]) < GrantValidity {
		c.engine[r.Request] = r
		return
	}
	c.release(r, bramleytack.NotRun)
}

func (c *cluster) release(r bramleytack.Reservation, o bramleytack.Outcome) {
	if _, ok := c.live[r.Grant]; !ok {
		return
	}
	delete(c.live, r.Grant)
	if rapid.IntRange(0, 3).Draw(c.t, "lost") > 0 {
		c.owner.Release(c.now, bramleytack.Release{Grant: r.Grant, Outcome: o, Tokens: 1})
	}
}

func (c *cluster) finish() {
	ids := slices.Sorted(maps.Keys(c.engine))
	if len(ids) == 0 {
		return
	}
	r := c.engine[rapid.SampledFrom(ids).Draw(c.t, "finished")]
	delete(c.engine, r.Request)
	c.release(r, bramleytack.Ran)
}

// abandon lets an entry daemon abandon a request that the engine still runs.
func (c *cluster) abandon() {
	ids := slices.Sorted(maps.Keys(c.engine))
	if len(ids) == 0 {
		return
	}
	r := c.engine[rapid.SampledFrom(ids).Draw(c.t, "left")]
	if _, ok := c.live[r.Grant]; !ok {
		return
	}
	delete(c.live, r.Grant)
	if rapid.IntRange(0, 3).Draw(c.t, "lost") > 0 {
		c.owner.Release(c.now, bramleytack.Release{Grant: r.Grant, Outcome: bramleytack.Ran, Abandoned: true})
	}
}

func (c *cluster) kill() {
	if len(c.live) == 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(c.live))
	e := c.live[rapid.SampledFrom(ids).Draw(c.t, "killed")].Entry
	c.dead[e] = true
	c.deaths++
	c.owner.EntryGone(e)
	var rest []bramleytack.Reservation
	for _, r := range c.pending {
		if r.Entry != e {
			rest = append(rest, r)
		}
	}
	c.pending = rest
	for id, r := range c.live {
		if r.Entry == e {
			delete(c.live, id)
		}
	}
}

// report delivers one of the last five load reports.
func (c *cluster) report() {
	if len(c.history) == 0 {
		return
	}
	oldest := max(0, len(c.history)-5)
	r := c.history[rapid.IntRange(oldest, len(c.history)-1).Draw(c.t, "report")]
	r.Age = c.now.Sub(r.At)
	c.owner.Report(c.now, r)
}

// changeOwner makes another daemon the owner after the old one's view lease and
// grants have expired.
func (c *cluster) changeOwner() {
	c.advance(3030 * time.Millisecond)
	for len(c.pending) > 0 {
		c.dispatch()
	}
	c.owner = NewUpstream(Config{}, c.now, record(c.limit, 0))
	var list []HeldReservation
	for _, r := range c.live {
		list = append(list, HeldReservation{Reservation: r, Age: c.now.Sub(c.asked[r.Grant])})
	}
	c.owner.Adopt(c.now, list)
	for e := range c.dead {
		c.owner.EntryGone(e)
	}
}

func (c *cluster) restart() {
	c.instance++
	for _, id := range slices.Sorted(maps.Keys(c.engine)) {
		r := c.engine[id]
		delete(c.engine, id)
		c.release(r, bramleytack.Unknown)
	}
}

// Guards against an upstream that runs more than its limit, and an owner that
// never drops a reservation, under any order of reservations, lost releases,
// abandoned requests, lagging reports, deaths of entry daemons and owners, and
// restarts.
func TestNeverOverLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{
			t: t, now: start, limit: rapid.IntRange(1, 4).Draw(t, "limit"),
			engine: map[bramleytack.RequestID]bramleytack.Reservation{},
			asked:  map[bramleytack.GrantID]time.Time{},
			live:   map[bramleytack.GrantID]bramleytack.Reservation{},
			dead:   map[bramleytack.HostID]bool{},
		}
		c.owner = NewUpstream(Config{}, c.now, record(c.limit, 0))
		act := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) { c.t = t; f() }
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": act(c.reserve),
			"run":     act(func() { c.reserve(); c.dispatch() }),
			"fill": act(func() {
				for range c.limit + 1 {
					c.reserve()
					c.dispatch()
				}
			}),
			"dispatch":  act(c.dispatch),
			"finish":    act(c.finish),
			"leave":     act(c.abandon),
			"kill":      act(c.kill),
			"observe":   act(c.observe),
			"report":    act(c.report),
			"fresh":     act(func() { c.observe(); c.report() }),
			"new owner": act(c.changeOwner),
			"restart":   act(c.restart),
			"wait": act(func() {
				c.advance(time.Duration(rapid.IntRange(1, 3000).Draw(c.t, "ms")) * time.Millisecond)
			}),
			"": func(t *rapid.T) {
				assert.Assert(t, len(c.engine) <= c.limit, "engine runs %d of %d", len(c.engine), c.limit)
				assert.Assert(t, c.owner.foreign >= 0 && c.owner.forecast.peak(&memoryForecast{}, 0) >= 0)
			},
		})
		// No reservation is left once nothing runs any more.
		c.t = t
		c.advance(2 * time.Minute)
		clear(c.engine)
		c.observe()
		r := c.history[len(c.history)-1]
		c.owner.Report(c.now, r)
		assert.Equal(t, c.owner.Running(), 0)
		assert.Equal(t, c.owner.forecast, memoryForecast{})
	})
}

// Guards against dropping the reservation of a generation that still runs without
// its caller. When callers left before the first token, a cold engine got one
// generation more than it can run (TestColdAfterRestart).
func TestAbandonedRequestKeepsReservation(t *testing.T) {
	now := start
	u := NewUpstream(Config{}, now, record(1, 0))
	report := func(ids ...bramleytack.RequestID) {
		now = now.Add(100 * time.Millisecond)
		r := bramleytack.LoadReport{Instance: "i", At: now, Running: len(ids)}
		for _, id := range ids {
			r.Generations = append(r.Generations, bramleytack.GenerationState{Request: id})
		}
		u.Report(now, r)
	}
	admits := func(id string) bool {
		_, err := u.Reserve(now, reservation(id, bramleytack.Standard))
		return err == nil
	}
	report()
	assert.Assert(t, admits("1"))
	report("1")
	u.Release(now, bramleytack.Release{Grant: "1", Outcome: bramleytack.Ran, Abandoned: true})
	assert.Assert(t, !admits("2"), "the engine runs the abandoned generation")
	report("1")
	assert.Assert(t, !admits("3"), "the engine runs the abandoned generation")
	report()
	assert.Assert(t, admits("4"), "the reservation was not dropped")
}

// Guards against wrong counts and limits in single cases of late, lost and
// repeated messages.
func TestMessages(t *testing.T) {
	t.Run("a reservation after its release is rejected", func(t *testing.T) {
		u := newUpstream(1, 0)
		u.Release(start, bramleytack.Release{Grant: "1"})
		assertRejected(t, u, start, reservation("1", bramleytack.Standard))
		assert.Equal(t, u.Running(), 0)
	})
	t.Run("a repeated reservation and release count once", func(t *testing.T) {
		u := newUpstream(2, 0)
		for range 2 {
			assertGranted(t, u, start, reservation("1", bramleytack.Standard))
		}
		assert.Equal(t, u.Running(), 1)
		for range 2 {
			u.Release(start, bramleytack.Release{Grant: "1", Outcome: bramleytack.Ran, Tokens: 5})
		}
		assert.Equal(t, u.Running(), 0)
	})
	t.Run("an expired grant keeps its reservation", func(t *testing.T) {
		u := newUpstream(1, 0)
		assertGranted(t, u, start, reservation("1", bramleytack.Standard))
		assertRejected(t, u, start.Add(5*time.Second), reservation("2", bramleytack.Standard))
	})
	t.Run("requests that only the report shows are counted", func(t *testing.T) {
		u := newUpstream(2, 0)
		u.Report(start, bramleytack.LoadReport{At: start, Running: 2})
		assertRejected(t, u, start, reservation("1", bramleytack.Standard))
	})
	t.Run("a lagging report does not count a finished request", func(t *testing.T) {
		u := newUpstream(1, 0)
		assertGranted(t, u, start, reservation("1", bramleytack.Standard))
		u.Release(start.Add(2*time.Second), bramleytack.Release{Grant: "1"})
		u.Report(start.Add(3*time.Second), bramleytack.LoadReport{At: start, Age: 2 * time.Second, Running: 1})
		assertGranted(t, u, start.Add(3*time.Second), reservation("2", bramleytack.Standard))
	})
	t.Run("a request that a report still shows after its release is counted", func(t *testing.T) {
		u := newUpstream(1, 0)
		assertGranted(t, u, start, reservation("1", bramleytack.Standard))
		u.Release(start.Add(time.Second), bramleytack.Release{Grant: "1"})
		u.Report(start.Add(2*time.Second), bramleytack.LoadReport{At: start, Running: 1})
		assertRejected(t, u, start.Add(2*time.Second), reservation("2", bramleytack.Standard))
	})
	t.Run("an adopted reservation is counted once, and not after its release", func(t *testing.T) {
		u := newUpstream(4, 0)
		u.Report(start, bramleytack.LoadReport{At: start, Running: 1, Generations: []bramleytack.GenerationState{{Request: "1"}}})
		list := []HeldReservation{{Reservation: reservation("1", bramleytack.Standard), Age: time.Second}}
		u.Adopt(start, list)
		assert.Equal(t, u.Running(), 1)
		u.Release(start, bramleytack.Release{Grant: "1"})
		u.Adopt(start, list)
		assert.Equal(t, u.Running(), 0)
	})
	t.Run("a restart makes the upstream cold", func(t *testing.T) {
		u := NewUpstream(Config{}, start, &bramleytack.Upstream{ColdLimit: 1, WarmLimit: 8})
		u.Report(start, bramleytack.LoadReport{At: start, Instance: "a"})
		u.Inherit(start, bramleytack.UpstreamDigest{Instance: "a", Level: 8, At: start})
		assert.Equal(t, u.Digest(start).Limit, 4)
		u.Report(start, bramleytack.LoadReport{At: start.Add(1), Instance: "b"})
		assert.Equal(t, u.Digest(start).Limit, 1)
	})
	t.Run("after a possible restart a warm upstream has its cold limit until a report", func(t *testing.T) {
		u := newUpstream(4, 0)
		u.record.ColdLimit = 2
		u.ramp.Configure(btramp.Config{ColdLimit: 2, WarmLimit: 4})
		assert.Equal(t, u.limit(start), 4)
		u.MarkPossibleRestart(start)
		assert.Equal(t, u.limit(start), 2)
		later := start.Add(time.Second)
		u.Report(later, bramleytack.LoadReport{At: later})
		assert.Equal(t, u.limit(later), 4)
	})
	t.Run("after a failure no slot is refilled before a report", func(t *testing.T) {
		u := NewUpstream(Config{}, start, &bramleytack.Upstream{ColdLimit: 1, WarmLimit: 8})
		u.Report(start, bramleytack.LoadReport{At: start, Instance: "a"})
		u.Inherit(start, bramleytack.UpstreamDigest{Instance: "a", Level: 8, At: start})
		assertGranted(t, u, start, reservation("1", bramleytack.Standard))
		assertGranted(t, u, start, reservation("2", bramleytack.Standard))
		u.Release(start, bramleytack.Release{Grant: "1", Failed: true})
		assertRejected(t, u, start, reservation("3", bramleytack.Standard))
		u.Report(start.Add(time.Second), bramleytack.LoadReport{At: start.Add(time.Second), Instance: "a"})
		assertGranted(t, u, start.Add(time.Second), reservation("4", bramleytack.Standard))
	})
	t.Run("a domain that returns is cold", func(t *testing.T) {
		rec := &bramleytack.Upstream{ColdLimit: 1, WarmLimit: 8}
		u := NewUpstream(Config{}, start, rec)
		u.Report(start, bramleytack.LoadReport{At: start, Instance: "a"})
		u.Inherit(start, bramleytack.UpstreamDigest{Instance: "a", Level: 8, At: start})
		u.Configure(start, rec, true)
		assertRejected(t, u, start, reservation("1", bramleytack.Standard))
		u.Configure(start, rec, false)
		assert.Equal(t, u.Digest(start).Limit, 1)
	})
	t.Run("fallback and reserved half stay within the base", func(t *testing.T) {
		u := NewUpstream(Config{WithoutReports: true}, start, &bramleytack.Upstream{ColdLimit: 3, WarmLimit: 8})
		u.SetMode(btramp.Fallback)
		fallback := u.Digest(start).Limit
		u.SetMode(btramp.ReserveHalf)
		assert.Equal(t, fallback+u.Digest(start).Limit, 3)
	})
}

// Guards against memory that is reserved twice, batch work that takes the
// headroom of interactive work or leaves capacity idle without it, suspect
// requests beside other requests, and victims that lose delivered tokens.
func TestAdmission(t *testing.T) {
	fill := func(u *Upstream, p bramleytack.Priority, prefix string) int {
		for n := 0; ; n++ {
			if _, err := u.Reserve(start, reservation(fmt.Sprint(prefix, n), p)); err != nil {
				return n
			}
		}
	}
	t.Run("memory bounds the sum of prompts and outputs", func(t *testing.T) {
		n := fill(newUpstream(1000, 10000), bramleytack.Interactive, "i")
		assert.Assert(t, n >= 45 && n <= 50, "%d generations of 200 tokens in 10000", n)
	})
	t.Run("batch uses all without interactive work", func(t *testing.T) {
		u := newUpstream(1000, 10000)
		assert.Assert(t, fill(u, bramleytack.Batch, "b") >= 45)
	})
	t.Run("interactive keeps headroom", func(t *testing.T) {
		u := newUpstream(20, 0)
		assertGranted(t, u, start, reservation("first", bramleytack.Interactive))
		assert.Equal(t, fill(u, bramleytack.Batch, "b"), 16)
		assert.Equal(t, fill(u, bramleytack.Interactive, "i"), 3)
	})
	t.Run("a suspect request runs alone", func(t *testing.T) {
		u := newUpstream(8, 0)
		suspect := reservation("s", bramleytack.Standard)
		suspect.Suspect = true
		assertGranted(t, u, start, reservation("1", bramleytack.Standard))
		assertRejected(t, u, start, suspect)
		u.Release(start, bramleytack.Release{Grant: "1"})
		assertGranted(t, u, start, suspect)
		assertRejected(t, u, start, reservation("2", bramleytack.Standard))
	})
	t.Run("an upstream drains for a suspect request, for a limited time", func(t *testing.T) {
		u := newUpstream(8, 0)
		suspect := reservation("s", bramleytack.Standard)
		suspect.Suspect = true
		assertGranted(t, u, start, reservation("1", bramleytack.Standard))
		now := start
		ask := func(d time.Duration) {
			for end := now.Add(d); now.Before(end); now = now.Add(500 * time.Millisecond) {
				assertRejected(t, u, now, suspect)
			}
		}
		ask(5 * time.Second)
		assertRejected(t, u, now, reservation("2", bramleytack.Standard))
		ask(20 * time.Second)
		assertGranted(t, u, now, reservation("3", bramleytack.Standard))
		for _, id := range []bramleytack.GrantID{"1", "3"} {
			u.Release(now, bramleytack.Release{Grant: id})
		}
		assertGranted(t, u, now, suspect)
		u.Release(now, bramleytack.Release{Grant: "s"})
		assertGranted(t, u, now, reservation("4", bramleytack.Standard))
	})
	t.Run("the victim is the newest of the lowest priority without tokens", func(t *testing.T) {
		u := newUpstream(1000, 0)
		for i, p := range []bramleytack.Priority{bramleytack.Batch, bramleytack.Batch, bramleytack.Batch, bramleytack.Interactive} {
			assertGranted(t, u, start.Add(time.Duration(i)), reservation(fmt.Sprint(i), p))
		}
		_, ok := u.Victim(start)
		assert.Assert(t, !ok)
		u.Report(start.Add(time.Second), bramleytack.LoadReport{
			At: start, MemoryTotal: 500, Running: 4,
			Generations: []bramleytack.GenerationState{{Request: "2", Tokens: 1}, {Request: "0"}, {Request: "1"}, {Request: "3"}},
		})
		for _, want := range []bramleytack.GrantID{"1", "0"} {
			v, ok := u.Victim(start.Add(time.Second))
			assert.Assert(t, ok)
			assert.Equal(t, v.Grant, want)
		}
	})
}

func assertGranted(t *testing.T, u *Upstream, now time.Time, r bramleytack.Reservation) {
	t.Helper()
	_, err := u.Reserve(now, r)
	assert.NilError(t, err)
}

func assertRejected(t *testing.T, u *Upstream, now time.Time, r bramleytack.Reservation) {
	t.Helper()
	_, err := u.Reserve(now, r)
	assert.Assert(t, err != nil)
	assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.NotRun)
}

// Guards against long requests that fill up a cold upstream, which then stays
// cold for minutes.
func TestColdUpstreamTakesShortRequests(t *testing.T) {
	now := time.Unix(0, 0)
	u := NewUpstream(Config{WithoutReports: true}, now, record(8, 1<<20))
	const step, running = 10 * time.Millisecond, 8
	for range 16 {
		u.ramp.ObserveStep(now, running, step)
	}
	u.Configure(now, &bramleytack.Upstream{Kind: bramleytack.KindEngine, ColdLimit: 4, WarmLimit: 8, MemoryTokens: 1 << 20}, false)
	u.ramp.Reset(now, btramp.Restarted)
	reserve := func(id string, maxTokens int) error {
		_, err := u.Reserve(now, bramleytack.Reservation{Grant: bramleytack.GrantID(id), PromptTokens: 1, MaxTokens: maxTokens})
		return err
	}
	assert.ErrorContains(t, reserve("long before any short", 1000), "takes only short requests")
	now = now.Add(shortPreference - 1)
	assert.NilError(t, reserve("short", 10))
	now = now.Add(1)
	assert.ErrorContains(t, reserve("long", 1000), "takes only short requests")
	now = now.Add(shortPreference)
	assert.NilError(t, reserve("long without short ones", 1000))
}

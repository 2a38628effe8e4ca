package btremote

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btowner"
	"bramleytack/btroute"
)

const coldLimit = 2

// seeds is 1 by default to keep the run short under the race detector. With 17 the
// test runs 102 interleavings.
var seeds = flag.Uint64("seeds", 1, "seeded runs of each fault in TestColdLimit")

// engine is an upstream that counts the requests that run at the same time.
type engine struct {
	mu         sync.Mutex
	running    map[bramleytack.RequestID]time.Time
	maxRunning int
	started    int
}

func (e *engine) run(id bramleytack.RequestID, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[id] = until
	e.started++
	e.removeFinishedLocked()
	e.maxRunning = max(e.maxRunning, len(e.running))
}

func (e *engine) removeFinishedLocked() {
	for id, until := range e.running {
		if !time.Now().Before(until) {
			delete(e.running, id)
		}
	}
}

func (e *engine) load(instance string) bramleytack.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeFinishedLocked()
	r := bramleytack.LoadReport{Instance: bramleytack.InstanceID(instance), At: time.Now(), Running: len(e.running)}
	for id := range e.running {
		r.Generations = append(r.Generations, bramleytack.GenerationState{Request: id})
	}
	return r
}

// Handle implements bramleytack.Handler. It stands for the dispatch to an upstream
// that does not check grants itself.
func (e *engine) Handle(ctx context.Context, r *bramleytack.Request, _ bramleytack.ResponseWriter) error {
	seed := rand.New(rand.NewPCG(uint64(len(r.ID)), uint64(time.Now().UnixNano())))
	wait, work := randomDuration(seed, 1300*time.Millisecond), randomDuration(seed, 600*time.Millisecond)
	if seed.IntN(3) > 0 {
		wait /= 20
	}
	time.Sleep(wait)
	if ctx.Err() != nil || !time.Now().Before(r.Target.Grant.ValidUntil) {
		return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "grant expired")
	}
	e.run(r.ID, time.Now().Add(work))
	time.Sleep(work)
	return bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Unknown, "stream without a token")
}

// fixedSnapshot implements bramleytack.Snapshots with one snapshot.
type fixedSnapshot struct{ snapshot *bramleytack.Snapshot }

func (f fixedSnapshot) Snapshot() *bramleytack.Snapshot { return f.snapshot }

// entries is a cell whose members send calls to one upstream.
type entries struct {
	*sim
	engine   *engine
	upstream *bramleytack.Upstream
	owner    func(m *member) bramleytack.Owner
}

// withEntries runs f with eight entries and an upstream that never becomes warm.
func withEntries(t *testing.T, seed uint64, f func(e *entries)) {
	t.Helper()
	u := &bramleytack.Upstream{
		ID: "u", Kind: bramleytack.KindService, Service: "s", FailureDomain: "d", ColdLimit: coldLimit, WarmLimit: 64,
	}
	withCell(t, 8, seed, []*bramleytack.Upstream{u}, func(s *sim) {
		f(&entries{
			sim: s, upstream: u, engine: &engine{running: map[bramleytack.RequestID]time.Time{}},
			owner: func(m *member) bramleytack.Owner { return m.owners },
		})
	})
}

// probe passes load reports to the members that own the upstream.
func (e *entries) probe(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range e.members {
			m := e.member(i)
			if m.ctx.Err() == nil && m.table.Owns("u") {
				m.table.Report("u", e.engine.load("i"))
			}
		}
		_ = e.timers.Sleep(ctx, 200*time.Millisecond)
	}
}

// serve sends calls from one member until the context ends.
func (e *entries) serve(ctx context.Context, i int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, uint64(i)))
	s := &bramleytack.Snapshot{
		Services:       map[string]*bramleytack.ServiceRecord{"s": {Name: "s"}},
		FailureDomains: map[bramleytack.FailureDomainID]*bramleytack.FailureDomain{"d": {Name: "d", State: bramleytack.DomainActive}},
		Upstreams:      map[bramleytack.UpstreamID]*bramleytack.Upstream{"u": e.upstream},
		ByService:      map[string][]*bramleytack.Upstream{"s": {e.upstream}},
	}
	for n := 0; ctx.Err() == nil; n++ {
		m := e.member(i)
		f := &btroute.Filter{
			Entry: m.host, Snapshots: fixedSnapshot{s}, Owner: e.owner(m), Timer: e.timers, Policy: &btroute.RoundRobin{},
		}
		q := &bramleytack.Request{
			ID: bramleytack.RequestID(fmt.Sprintf("%d/%d", i, n)), Kind: bramleytack.Call, Method: http.MethodPost, Service: "s",
			Deadline: time.Now().Add(10 * time.Second),
		}
		callCtx, done := context.WithCancel(ctx)
		stop := context.AfterFunc(m.ctx, done)
		_ = f.Handle(callCtx, q, nil, e.engine)
		stop()
		done()
		_ = e.timers.Sleep(ctx, randomDuration(r, 150*time.Millisecond))
	}
}

// runWithFaults calls faults while all members send calls.
func (e *entries) runWithFaults(seed uint64, faults func()) {
	ctx, cancel := context.WithCancel(e.t.Context())
	var running sync.WaitGroup
	running.Go(func() { e.probe(ctx) })
	for i := range e.members {
		running.Go(func() { e.serve(ctx, i, seed) })
	}
	faults()
	cancel()
	running.Wait()
}

var ownerFaults = []struct {
	name  string
	apply func(e *entries, r *rand.Rand, i int)
}{
	{"killed and replaced", func(e *entries, r *rand.Rand, i int) { e.restart(i, randomDuration(r, 5*time.Second)) }},
	{"cut off from peers and store", func(e *entries, r *rand.Rand, i int) {
		e.members[i].store.down.Store(true)
		e.block(i, true, true)
		time.Sleep(randomDuration(r, 8*time.Second))
		e.members[i].store.down.Store(false)
		e.block(i, false, false)
	}},
	{"cut off from peers", func(e *entries, r *rand.Rand, i int) {
		e.block(i, true, true)
		time.Sleep(randomDuration(r, 8*time.Second))
		e.block(i, false, false)
	}},
	{"cut off in one direction", func(e *entries, r *rand.Rand, i int) {
		in := r.IntN(2) == 0
		e.block(i, in, !in)
		time.Sleep(randomDuration(r, 8*time.Second))
		e.block(i, false, false)
	}},
	{"replies lost", func(e *entries, r *rand.Rand, i int) {
		for range 4 {
			e.block(i, false, true)
			time.Sleep(randomDuration(r, 600*time.Millisecond))
			e.block(i, false, false)
			time.Sleep(randomDuration(r, 600*time.Millisecond))
		}
	}},
	{"links silent", func(e *entries, _ *rand.Rand, i int) {
		for _, m := range e.members {
			e.network.Silence(e.members[i].addr.Addr(), m.addr.Addr())
		}
		time.Sleep(4 * time.Second)
	}},
}

// Guards against several entries and owners that together reserve more than the
// limit of a cold upstream, and against a cell that grants nothing after a fault.
func TestColdLimit(t *testing.T) {
	for _, f := range ownerFaults {
		t.Run(f.name, func(t *testing.T) {
			for seed := range *seeds {
				withEntries(t, seed, func(e *entries) {
					r := rand.New(rand.NewPCG(seed, 3))
					e.runWithFaults(seed, func() {
						time.Sleep(randomDuration(r, 2*time.Second))
						f.apply(e, r, e.upstreamOwner())
						time.Sleep(randomDuration(r, 2*time.Second))
						f.apply(e, r, r.IntN(len(e.members)))
						time.Sleep(6 * time.Second)
						before := e.engine.count()
						time.Sleep(settleTime)
						assert.Check(e.t, e.engine.count() > before, "seed %d: nothing is granted", seed)
					})
					assert.Check(e.t, e.engine.maxRunning <= coldLimit, "seed %d: %d at once", seed, e.engine.maxRunning)
				})
			}
		})
	}
}

func (e *entries) upstreamOwner() int { return max(e.sim.owner("u"), 0) }

func (e *engine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

func reservation(grant string, from bramleytack.HostID) bramleytack.Reservation {
	return bramleytack.Reservation{
		Grant: bramleytack.GrantID(grant), Request: bramleytack.RequestID(grant), Upstream: "u", Entry: from, Deadline: time.Now().Add(time.Minute),
	}
}

// Guards against a reservation that is never released after its reply was lost.
func TestLostReservation(t *testing.T) {
	withEntries(t, 1, func(e *entries) {
		owner := e.upstreamOwner()
		entry := e.members[(owner+1)%8]
		e.members[owner].table.Report("u", e.engine.load("i"))
		ctx, cancel := context.WithCancel(e.t.Context())
		var running sync.WaitGroup
		running.Go(func() { e.serve(ctx, (owner+1)%8, 1) })
		e.network.Block(e.members[owner].addr.Addr(), entry.addr.Addr(), true)
		time.Sleep(700 * time.Millisecond)
		cancel()
		time.Sleep(100 * time.Millisecond)
		e.block(owner, false, false)
		running.Wait()
		time.Sleep(time.Second)
		d, ok := e.members[owner].table.Digest("u")
		assert.Assert(e.t, ok)
		assert.Equal(e.t, d.Running, 0)
	})
}

// Guards against a new owner that does not count the reservations held by entries.
func TestAdopt(t *testing.T) {
	withEntries(t, 1, func(e *entries) {
		owner := e.upstreamOwner()
		e.members[owner].table.Report("u", e.engine.load("i"))
		m := e.members[(owner+1)%8]
		_, err := m.owners.Reserve(e.t.Context(), reservation("g", m.host))
		assert.NilError(e.t, err)
		assert.Equal(e.t, m.owners.ReservationCount(), 1)
		e.members[owner].stop()
		time.Sleep(2 * settleTime)
		host, _ := m.cell.Owner("u")
		for _, next := range e.members {
			if next.host == host {
				d, ok := next.table.Digest("u")
				assert.Assert(e.t, ok && next != e.members[owner])
				assert.Equal(e.t, d.Running, 1)
			}
		}
	})
}

// previousView reports ownership with the number of the view before the current one.
type previousView struct{ *Owners }

func (s previousView) Ownership(now time.Time, id bramleytack.UpstreamID) (btowner.Ownership, bool) {
	p, ok := s.Owners.Ownership(now, id)
	p.ViewNumber--
	return p, ok
}

// Guards against use of a grant of an earlier view, whose reservation no current
// owner counts.
func TestEarlierView(t *testing.T) {
	withEntries(t, 1, func(e *entries) {
		owner := e.upstreamOwner()
		o := e.members[owner]
		o.table.Report("u", e.engine.load("i"))
		o.table.Ownership = previousView{o.owners}
		for _, m := range e.members {
			_, err := m.owners.Reserve(e.t.Context(), reservation(string(m.host), m.host))
			assert.ErrorContains(e.t, err, "earlier view", "entry %s", m.host)
			assert.Equal(e.t, bramleytack.OutcomeOf(err), bramleytack.NotRun)
			assert.Equal(e.t, m.owners.ReservationCount(), 0)
		}
		time.Sleep(time.Second)
		d, _ := o.table.Digest("u")
		assert.Equal(e.t, d.Running, 0)
	})
}

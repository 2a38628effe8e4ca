package btbench

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"bramleytack"
	"bramleytack/btlimit"
	"bramleytack/btqueue"
	"bramleytack/btroute"
)

// entry is the request path of one daemon.
type entry struct {
	sim      *sim
	index    int
	id       bramleytack.HostID
	snapshot *bramleytack.Snapshot
	limiter  *btlimit.Limiter
	// queue and prefixes are nil for a plain proxy.
	queue    *btqueue.Filter
	prefixes *btroute.Prefixes
	loads    *btroute.Loads
	path     bramleytack.Handler
	grants   int
	// records finds the record of a running request.
	records map[*bramleytack.Request]*record
}

// Snapshot implements bramleytack.Snapshots.
func (e *entry) Snapshot() *bramleytack.Snapshot { return e.snapshot }

func newEntry(s *sim, i int, rng *rand.Rand) *entry {
	e := &entry{
		sim: s, index: i, id: entryID(i), snapshot: snapshot(false),
		limiter: &btlimit.Limiter{Self: entryID(i)}, loads: &btroute.Loads{},
		records: map[*bramleytack.Request]*record{},
	}
	t := timer{s.clock}
	members := make([]bramleytack.HostID, entries)
	for k := range members {
		members[k] = entryID(k)
	}
	e.limiter.SetMembers(members)
	route := &btroute.Filter{
		Entry: e.id, Snapshots: e, Timer: t, Loads: e.loads, Models: e,
		Retry:    &btroute.Backoff{Timer: t, Float: rng.Float64},
		NewGrant: e.newGrant,
	}
	filters := []bramleytack.Filter{&btlimit.Filter{Limiter: e.limiter, Snapshots: e, Timer: t}}
	if s.policy.Simple != nil {
		route.Policy, route.Owner = s.policy.Simple(rng), &grantAll{timer: t}
	} else {
		e.queue = &btqueue.Filter{Timer: t, Snapshots: e, Park: s.clock.park}
		e.prefixes = &btroute.Prefixes{}
		route.Policy = &btroute.Scored{Domain: domainID(i), Prefixes: e.prefixes, AvoidCold: s.policy.AvoidCold, IntN: rng.IntN}
		route.Owner, route.Granted = e, e.queue.Granted
		filters = append(filters, e.queue)
	}
	e.path = bramleytack.Chain(e, append(filters, route)...)
	return e
}

func (e *entry) newGrant() bramleytack.GrantID {
	e.grants++
	return bramleytack.GrantID(string(e.id) + "-" + strconv.Itoa(e.grants))
}

// HasModel implements btroute.ModelIndex by health checks.
func (e *entry) HasModel(id bramleytack.UpstreamID, _ bramleytack.LoadedModel) bool {
	return !e.sim.engine(id).down
}

// serve carries a request to its end. It runs in a process.
func (e *entry) serve(r *bramleytack.Request, rec *record) {
	e.records[r] = rec
	err := e.path.Handle(context.Background(), r, discard{})
	delete(e.records, r)
	e.sim.stats.end(e.sim.clock.now, rec, err)
}

// Handle is the dispatch step: it checks the grant and calls the engine.
func (e *entry) Handle(_ context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter) error {
	e.sim.clock.sleep(e.sim.mix.OneWay)
	u := r.Target.Upstream
	if !e.snapshot.Accepts(u.ID) || !e.sim.clock.now.Before(r.Target.Grant.ValidUntil) {
		return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "grant is not valid any more")
	}
	return e.sim.engine(u.ID).submit(r, w, e.records[r])
}

// Reserve implements bramleytack.Owner by a message to the owner.
func (e *entry) Reserve(ctx context.Context, r bramleytack.Reservation) (bramleytack.Grant, error) {
	d := e.sim.distance(e.index, r.Upstream)
	e.sim.clock.sleep(d)
	table := e.sim.table(r.Upstream)
	g, err := table.Reserve(ctx, r)
	digests := table.Digests()
	e.sim.clock.sleep(d)
	e.learn(digests)
	return g, err
}

// Release implements bramleytack.Owner. Nobody waits for its answer.
func (e *entry) Release(ctx context.Context, v bramleytack.Release) error {
	e.sim.clock.after(e.sim.distance(e.index, v.Upstream), func() {
		_ = e.sim.table(v.Upstream).Release(ctx, v)
	})
	return nil
}

func (e *entry) learn(digests []bramleytack.UpstreamDigest) {
	for _, d := range digests {
		e.loads.SetDigest(e.sim.clock.now, d)
	}
}

// exchange sends this entry's demands to the others.
func (e *entry) exchange() {
	now := e.sim.clock.now
	demands := e.limiter.Demands(now)
	for _, o := range e.sim.entries {
		if o != e {
			o.limiter.Receive(now, e.id, demands)
		}
	}
	e.limiter.Refresh(now, e.snapshot.Workspaces)
}

// cacheEvents reads the published cache events of all engines.
func (e *entry) cacheEvents() {
	now := e.sim.clock.now
	for _, g := range e.sim.engines {
		if !g.core.Dead() {
			e.prefixes.Apply(now, g.id, g.core.Instance(), g.core.CacheEvents(now, e.prefixes.LastSequence(g.id)))
		}
	}
}

// grantAll is the owner of a plain proxy, which has no reservations.
type grantAll struct{ timer timer }

// Reserve grants.
func (o *grantAll) Reserve(_ context.Context, r bramleytack.Reservation) (bramleytack.Grant, error) {
	return bramleytack.Grant{ID: r.Grant, Upstream: r.Upstream, ValidUntil: o.timer.Now().Add(time.Second)}, nil
}

// Release does nothing.
func (o *grantAll) Release(context.Context, bramleytack.Release) error { return nil }

// discard is the reply to a client whose reading is not simulated.
type discard struct{}

// Open does nothing.
func (discard) Open(bramleytack.Opening) error { return nil }

// Token does nothing.
func (discard) Token(bramleytack.Token) error { return nil }

// Close does nothing.
func (discard) Close(bramleytack.Completion) error { return nil }

// Respond does nothing.
func (discard) Respond(*bramleytack.Response) error { return nil }

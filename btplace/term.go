package btplace

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// term is the work under one lease.
type term struct {
	*Controller
	fence bramleytack.Fence
	// started is not earlier than the acquisition of the lease.
	started time.Time
	// known is set while state and version are those of the store.
	known   bool
	state   State
	version bramleytack.Revision
	engines []*engine
	// next is the place in engines from which idle ones are read.
	next int
	// stepAt is the start of the current step.
	stepAt   time.Time
	meter    Meter
	bucket   bucket
	budgetAt time.Time
	err      error
}

func newTerm(c *Controller, f bramleytack.Fence) *term {
	return &term{Controller: c, fence: f, started: c.Timer.Now()}
}

func (t *term) key() bramleytack.Key { return bramleytack.Key{Kind: Kind, Name: string(t.Cell)} }

func (t *term) fail(err error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.err = err
	if err != nil {
		t.known = false
	}
	return err == nil
}

// read reads the desired state from the store.
func (t *term) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := t.Store.Get(ctx, t.key())
	s := State{}
	switch {
	case errors.Is(err, bramleytack.ErrNotFound):
		err = nil
	case err == nil:
		err = errors.Wrap(json.Unmarshal(o.Data, &s), "btplace: decode the desired state")
	}
	if err == nil && s.Fence > t.fence {
		err = errors.Newf("btplace: desired state has fencing number %d, newer than %d", s.Fence, t.fence)
	}
	if !t.fail(err) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known, t.state, t.version = true, s, o.Version
	if o.Version == 0 {
		// No holder has ordered a load yet.
		t.bucket.tokens = DefaultBudget().Burst
	}
	return true
}

// write writes a new desired state. After an unknown effect the state is read
// again before anything else is done.
func (t *term) write(ctx context.Context, s State) bool {
	data, err := json.Marshal(s)
	if err != nil {
		return t.fail(errors.Wrap(err, "btplace: encode the desired state"))
	}
	if !t.holds(storeTimeout) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := t.Store.Put(ctx, bramleytack.Object{Key: t.key(), ChangeID: rand.Text(), Data: data}, t.version)
	if !t.fail(errors.Wrap(err, "btplace: write the desired state")) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state, t.version = s, v
	return true
}

// confirm reads the desired state back: the store is up, and no other holder
// has written.
func (t *term) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := t.Store.Get(ctx, t.key())
	if err == nil && o.Version != t.version {
		err = errors.Newf("btplace: desired state has version %d, not %d", o.Version, t.version)
	}
	return t.fail(errors.Wrap(err, "btplace: confirm the desired state"))
}

// holds says whether the term's lease lasts for a time.
func (t *term) holds(d time.Duration) bool {
	fence, left, ok := t.Lease.Held()
	return ok && fence == t.fence && left >= d
}

// readBudget reads the budget now and then. The last one stays in force while
// the store does not answer.
func (t *term) readBudget(ctx context.Context) {
	now := t.Timer.Now()
	if !t.budgetAt.IsZero() && now.Sub(t.budgetAt) < budgetPeriod {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	b := DefaultBudget()
	o, err := t.Store.Get(ctx, BudgetKey)
	if err == nil {
		b = Budget{}
		err = json.Unmarshal(o.Data, &b)
	}
	if err != nil && !errors.Is(err, bramleytack.ErrNotFound) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budgetAt = now
	t.bucket.set(now, b, t.Cell)
}

// follow brings the list of engines in line with the records.
func (t *term) follow(list []*bramleytack.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	engines := make([]*engine, 0, len(list))
	for _, u := range list {
		e := t.find(u.ID)
		if e == nil || e.record.Addr != u.Addr {
			e = &engine{}
		}
		e.record = u
		engines = append(engines, e)
	}
	t.engines = engines
	t.meter.Retain(list)
}

func (t *term) find(id bramleytack.UpstreamID) *engine {
	for _, e := range t.engines {
		if e.record.ID == id {
			return e
		}
	}
	return nil
}

// poll reads the engines that have work to do and some of the others.
func (t *term) poll(ctx context.Context) {
	t.stepAt = t.Timer.Now()
	var list []*engine
	idle := max(int(t.Times.Period.Seconds()*readsPerSecond), 1)
	start, n := t.next, len(t.engines)
	for i := range n {
		k := (start + i) % n
		switch e := t.engines[k]; {
		case t.busy(e):
			list = append(list, e)
		case idle > 0:
			list = append(list, e)
			idle--
			t.next = k + 1
		}
	}
	each(list, func(e *engine) { t.Controller.read(ctx, e) })
	t.measure(list)
}

// busy says whether an engine is not yet as desired or does not answer.
func (t *term) busy(e *engine) bool {
	if !e.tried || e.report == nil {
		return false
	}
	if e.missed > 0 {
		return true
	}
	p, ok := t.state.Placement(e.record.ID)
	if !ok || p.Model == "" {
		return false
	}
	return p.Role != RoleServing || e.report.Role == RoleDraining || !slices.Contains(e.report.Models, p.LoadedModel)
}

func (t *term) measure(list []*engine) {
	for _, e := range list {
		p, ok := t.state.Placement(e.record.ID)
		if ok && p.Model != "" && e.answers() && e.missed == 0 {
			t.meter.Report(e.record, p.Model, e.figuresAt, e.report)
		}
	}
}

// complete says whether each engine was read or tried in this term.
func (t *term) complete() bool {
	return !slices.ContainsFunc(t.engines, func(e *engine) bool { return !e.tried })
}

func (t *term) plan() State {
	in := Input{
		Snapshot: t.Snapshots.Snapshot(), Reports: map[bramleytack.UpstreamID]*bramleytack.LoadReport{},
		Demand: t.meter.Demand(), Capacity: t.meter.Capacity(), Previous: t.state, Policy: t.Policy,
	}
	for _, e := range t.engines {
		in.Engines = append(in.Engines, e.record)
		if e.answers() {
			in.Reports[e.record.ID] = e.report
		}
	}
	s := Plan(in)
	s.Fence = t.fence
	return s
}

// pending is an order that is due.
type pending struct {
	engine *engine
	order  bramleytack.Command
	// rank puts returning domains first, then larger commitments.
	returning bool
	committed float64
}

// order sends the orders that are due.
func (t *term) order(ctx context.Context) {
	due := t.due()
	if len(due) == 0 || !t.confirm(ctx) {
		return
	}
	var list []*engine
	orders := map[*engine]bramleytack.Command{}
	for _, p := range due {
		if p.order.Kind == bramleytack.CommandLoad && !t.allowLoad() {
			continue
		}
		list = append(list, p.engine)
		orders[p.engine] = p.order
	}
	each(list, func(e *engine) { t.send(ctx, e, orders[e]) })
}

func (t *term) allowLoad() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bucket.take(t.Timer.Now())
}

// due returns the orders that may be sent now, the most urgent first.
func (t *term) due() []pending {
	s := t.Snapshots.Snapshot()
	committed := Committed(s)
	now := t.Timer.Now()
	var list []pending
	for _, e := range t.engines {
		p, ok := t.state.Placement(e.record.ID)
		if !ok || !s.Accepts(e.record.ID) || !e.readSince(t.stepAt) || !t.settled(e) {
			continue
		}
		o, ok := Next(p, e.report, e.drained(t.Times.DrainQuiet))
		if !ok || !e.ready(now, o) {
			continue
		}
		o.Fence = t.fence
		list = append(list, pending{
			engine: e, order: o, committed: committed[p.Model],
			returning: slices.Contains(t.state.Returning, e.record.FailureDomain),
		})
	}
	slices.SortStableFunc(list, func(a, b pending) int {
		return cmp.Or(cmp.Compare(truth(b.returning), truth(a.returning)), cmp.Compare(b.committed, a.committed))
	})
	return list
}

// settled says whether no order of an earlier holder can take effect on the
// engine after an order of this one, and whether the report is from after the
// last such effect.
func (t *term) settled(e *engine) bool {
	if e.record.ChecksFence && e.report.Fence > 0 {
		return true
	}
	return !e.figuresAt.Before(t.started.Add(t.Times.longest()))
}

// ready says whether the report is from after the last order, and whether the order may
// be repeated if it is the same.
func (e *engine) ready(now time.Time, o bramleytack.Command) bool {
	if e.last.at.IsZero() {
		return true
	}
	if !e.figuresAt.After(e.last.at) {
		return false
	}
	same := e.last.order
	same.Fence = o.Fence
	return same != o || !now.Before(e.last.notBefore)
}

// send sends one order. The lease is checked after all other preparations, and
// the deadline counts from before the check.
func (t *term) send(ctx context.Context, e *engine, o bramleytack.Command) {
	x, err := t.Upstreams.Engine(e.record)
	if err != nil {
		t.sent(e, o, t.Timer.Now(), bramleytack.NewError(bramleytack.CodeNoUpstream, bramleytack.NotRun, "no engine").WithCause(err))
		return
	}
	start := t.Timer.Now()
	ctx, cancel := context.WithDeadline(ctx, start.Add(t.Times.OrderTimeout))
	defer cancel()
	if !t.holds(t.Times.lease()) {
		return
	}
	t.sent(e, o, start, x.Command(ctx, o))
}

// sent records the end of an order.
func (t *term) sent(e *engine, o bramleytack.Command, start time.Time, err error) {
	ev := Event{Kind: Sent, Upstream: e.record.ID, Command: o, Err: err}
	now := t.Timer.Now()
	a := attempt{order: o, at: now, err: err}
	switch {
	case err == nil && o.Kind == bramleytack.CommandLoad:
		a.notBefore = now.Add(t.Times.LoadTimeout)
	case err == nil || bramleytack.OutcomeOf(err) != bramleytack.NotRun:
		a.notBefore = start.Add(t.Times.longest())
	default:
		a.notBefore = now.Add(t.Times.Refused)
	}
	if err != nil {
		ev.Kind = Failed
	}
	if err != nil && t.IsStaleFence != nil && t.IsStaleFence(err) {
		ev.Kind = Fenced
		a.notBefore = now.Add(t.Times.Refused)
	}
	t.mu.Lock()
	e.last = a
	t.mu.Unlock()
	t.notify(ev)
}

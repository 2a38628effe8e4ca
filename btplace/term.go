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

// term is the state of a Controller under one lease.
type term struct {
	*Controller
	fence bramleytack.Fence
	// started is when the controller first saw the lease, so never earlier than
	// its acquisition.
	started time.Time
	// synced is set while state and version match the store. Any store error
	// clears it, so that the next step reads the state again.
	synced  bool
	state   State
	version bramleytack.Revision
	engines []*engine
	// nextIdle is the index in engines of the next engine to be read out of those
	// in their desired state.
	nextIdle int
	// stepStart is the start of the current step.
	stepStart    time.Time
	meter        Meter
	bucket       bucket
	budgetReadAt time.Time
	err          error
}

func newTerm(c *Controller, f bramleytack.Fence) *term {
	return &term{Controller: c, fence: f, started: c.Timer.Now()}
}

func (t *term) key() bramleytack.Key { return bramleytack.Key{Kind: StateKind, Name: string(t.Cell)} }

// setError records the result of a store call and reports whether it succeeded.
func (t *term) setError(err error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.err = err
	if err != nil {
		t.synced = false
	}
	return err == nil
}

// readState reads the desired state from the store. It reports whether the state
// is known and no newer holder wrote it.
func (t *term) readState(ctx context.Context) bool {
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
		err = errors.Newf("btplace: desired state has fencing token %d, newer than %d", s.Fence, t.fence)
	}
	if !t.setError(err) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.synced, t.state, t.version = true, s, o.Version
	if o.Version == 0 {
		// No earlier holder has used tokens, so the bucket starts full.
		t.bucket.tokens = DefaultBudget().Burst
	}
	return true
}

// writeState writes a new desired state and reports whether it is in the store. It
// does nothing if the lease may end during the write. After a failure, which may
// have an unknown effect, the next step reads the state again.
func (t *term) writeState(ctx context.Context, s State) bool {
	data, err := json.Marshal(s)
	if err != nil {
		return t.setError(errors.Wrap(err, "btplace: encode the desired state"))
	}
	if !t.leaseLasts(storeTimeout) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := t.Store.Put(ctx, bramleytack.Object{Key: t.key(), ChangeID: rand.Text(), Data: data}, t.version)
	if !t.setError(errors.Wrap(err, "btplace: write the desired state")) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state, t.version = s, v
	return true
}

// confirmState reads the desired state again and reports whether the store is up
// and no other holder has written since.
func (t *term) confirmState(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := t.Store.Get(ctx, t.key())
	if err == nil && o.Version != t.version {
		err = errors.Newf("btplace: desired state has version %d, not %d", o.Version, t.version)
	}
	return t.setError(errors.Wrap(err, "btplace: confirm the desired state"))
}

// leaseLasts reports whether the term's lease lasts for at least a time.
func (t *term) leaseLasts(d time.Duration) bool {
	fence, left, ok := t.Lease.Held()
	return ok && fence == t.fence && left >= d
}

// readBudget reads the budget once per budgetPeriod. The last one stays in force
// while the store does not respond.
func (t *term) readBudget(ctx context.Context) {
	now := t.Timer.Now()
	if !t.budgetReadAt.IsZero() && now.Sub(t.budgetReadAt) < budgetPeriod {
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
	t.budgetReadAt = now
	t.bucket.configure(now, b, t.Cell)
}

// setEngines replaces the list of engines by those of the records. It keeps the
// state of an engine whose address did not change.
func (t *term) setEngines(list []*bramleytack.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	engines := make([]*engine, 0, len(list))
	for _, u := range list {
		e := t.engineByID(u.ID)
		if e == nil || e.record.Addr != u.Addr {
			e = &engine{}
		}
		e.record = u
		engines = append(engines, e)
	}
	t.engines = engines
	t.meter.Retain(list)
}

func (t *term) engineByID(id bramleytack.UpstreamID) *engine {
	for _, e := range t.engines {
		if e.record.ID == id {
			return e
		}
	}
	return nil
}

// readEngines reads all engines that need attention and a few of the others in
// turn.
func (t *term) readEngines(ctx context.Context) {
	t.stepStart = t.Timer.Now()
	var list []*engine
	idle := max(int(t.Times.Period.Seconds()*idleReadsPerSecond), 1)
	start, n := t.nextIdle, len(t.engines)
	for i := range n {
		k := (start + i) % n
		switch e := t.engines[k]; {
		case t.needsAttention(e):
			list = append(list, e)
		case idle > 0:
			list = append(list, e)
			idle--
			t.nextIdle = k + 1
		}
	}
	forEachParallel(list, func(e *engine) { t.Controller.readEngine(ctx, e) })
	t.updateMeter(list)
}

// needsAttention reports whether an engine that was read before missed its last
// report or is not in its desired state.
func (t *term) needsAttention(e *engine) bool {
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

// updateMeter passes new reports of engines with a model to the meter.
func (t *term) updateMeter(list []*engine) {
	for _, e := range list {
		p, ok := t.state.Placement(e.record.ID)
		if ok && p.Model != "" && e.responsive() && e.missed == 0 {
			t.meter.Observe(e.record, p.Model, e.figuresAt, e.report)
		}
	}
}

// allRead reports whether at least one attempt to read each engine was made in
// this term.
func (t *term) allRead() bool {
	return !slices.ContainsFunc(t.engines, func(e *engine) bool { return !e.tried })
}

func (t *term) plan() State {
	in := Input{
		Snapshot: t.Snapshots.Snapshot(), Reports: map[bramleytack.UpstreamID]*bramleytack.LoadReport{},
		Demand: t.meter.Demand(), Capacity: t.meter.Capacity(), Previous: t.state, Policy: t.Policy,
	}
	for _, e := range t.engines {
		in.Engines = append(in.Engines, e.record)
		if e.responsive() {
			in.Reports[e.record.ID] = e.report
		}
	}
	s := Plan(in)
	s.Fence = t.fence
	return s
}

// dueCommand is a command that may be sent now.
type dueCommand struct {
	engine  *engine
	command bramleytack.Command
	// Commands for returning domains come first, then those for models with
	// larger commitments.
	returning bool
	committed float64
}

// sendDue sends the commands that are due. Loads without a token wait for a later
// step.
func (t *term) sendDue(ctx context.Context) {
	due := t.due()
	if len(due) == 0 || !t.confirmState(ctx) {
		return
	}
	var list []*engine
	commands := map[*engine]bramleytack.Command{}
	for _, d := range due {
		if d.command.Kind == bramleytack.CommandLoad && !t.takeLoadToken() {
			continue
		}
		list = append(list, d.engine)
		commands[d.engine] = d.command
	}
	forEachParallel(list, func(e *engine) { t.send(ctx, e, commands[e]) })
}

func (t *term) takeLoadToken() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bucket.take(t.Timer.Now())
}

// due returns the commands that may be sent now, the most urgent first.
func (t *term) due() []dueCommand {
	s := t.Snapshots.Snapshot()
	committed := Committed(s)
	now := t.Timer.Now()
	var list []dueCommand
	for _, e := range t.engines {
		p, ok := t.state.Placement(e.record.ID)
		if !ok || !s.Accepts(e.record.ID) || !e.readSince(t.stepStart) || !t.earlierCommandsExcluded(e) {
			continue
		}
		cmd, ok := NextCommand(p, e.report, e.drained(t.Times.DrainIdle))
		if !ok || !e.maySend(now, cmd) {
			continue
		}
		cmd.Fence = t.fence
		list = append(list, dueCommand{
			engine: e, command: cmd, committed: committed[p.Model],
			returning: slices.Contains(t.state.Returning, e.record.FailureDomain),
		})
	}
	slices.SortStableFunc(list, func(a, b dueCommand) int {
		return cmp.Or(cmp.Compare(boolToInt(b.returning), boolToInt(a.returning)), cmp.Compare(b.committed, a.committed))
	})
	return list
}

// earlierCommandsExcluded reports whether no command of an earlier holder can take
// effect on the engine after a command of this one. An engine that checks fencing
// tokens and has seen one rejects such commands itself. For any other engine, the
// report must be from after the last time at which they can take effect.
func (t *term) earlierCommandsExcluded(e *engine) bool {
	if e.record.ChecksFence && e.report.Fence > 0 {
		return true
	}
	return !e.figuresAt.Before(t.started.Add(t.Times.maxCommandDelay()))
}

// maySend reports whether a command may be sent after the last one. The report
// must be from after the last command, and the same command is repeated only
// from the time repeatFrom.
func (e *engine) maySend(now time.Time, cmd bramleytack.Command) bool {
	if e.last.at.IsZero() {
		return true
	}
	if !e.figuresAt.After(e.last.at) {
		return false
	}
	same := e.last.command
	same.Fence = cmd.Fence
	return same != cmd || !now.Before(e.last.repeatFrom)
}

// send sends one command. The lease is checked after all other preparations. The
// deadline is set before the check, so that a pause in between shortens the time
// to write the command.
func (t *term) send(ctx context.Context, e *engine, cmd bramleytack.Command) {
	client, err := t.Upstreams.Engine(e.record)
	if err != nil {
		t.recordResult(e, cmd, t.Timer.Now(), bramleytack.NewError(bramleytack.CodeNoUpstream, bramleytack.NotRun, "no engine").WithCause(err))
		return
	}
	start := t.Timer.Now()
	ctx, cancel := context.WithDeadline(ctx, start.Add(t.Times.CommandTimeout))
	defer cancel()
	if !t.leaseLasts(t.Times.minLease()) {
		return
	}
	t.recordResult(e, cmd, start, client.Command(ctx, cmd))
}

// recordResult records the result of a command and when it may be repeated.
func (t *term) recordResult(e *engine, cmd bramleytack.Command, start time.Time, err error) {
	ev := Event{Kind: Sent, Upstream: e.record.ID, Command: cmd, Err: err}
	now := t.Timer.Now()
	sent := sentCommand{command: cmd, at: now, err: err}
	switch {
	case err == nil && cmd.Kind == bramleytack.CommandLoad:
		sent.repeatFrom = now.Add(t.Times.LoadTimeout)
	case err == nil || bramleytack.OutcomeOf(err) != bramleytack.NotRun:
		sent.repeatFrom = start.Add(t.Times.maxCommandDelay())
	default:
		sent.repeatFrom = now.Add(t.Times.RetryDelay)
	}
	if err != nil {
		ev.Kind = Failed
	}
	if err != nil && t.IsStaleFence != nil && t.IsStaleFence(err) {
		ev.Kind = Fenced
		sent.repeatFrom = now.Add(t.Times.RetryDelay)
	}
	t.mu.Lock()
	e.last = sent
	t.mu.Unlock()
	t.notify(ev)
}

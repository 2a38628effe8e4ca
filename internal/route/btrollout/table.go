package btrollout

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleytack"
	"bramleytack/btevent"
)

const (
	// TickPeriod is the period of Table.Tick.
	TickPeriod = 250 * time.Millisecond
	// blindAfter is the time without a decision after which a daemon sends nothing to a version
	// on trial.
	blindAfter = 2 * time.Second
	// formerRetention is how long an order that has gone is known. It may be written again after
	// the store was restored from an older copy.
	formerRetention = time.Minute
	// afterComplete is how long the old version's upstreams are left out after the completion.
	// They have stopped, but are registered for some seconds.
	afterComplete = 30 * time.Second
	// startWindow is the time after a process's first snapshot in which orders are those that it finds
	// at its start.
	startWindow = 5 * time.Second
	// maxAging bounds by how much one message makes an order of a running process older. Clocks of
	// machines may jump by seconds.
	maxAging = time.Second
	// startPeriod is how long the durations of a new upstream do not count.
	startPeriod = 6 * time.Second
)

// Bounds are the operator's limits on versions on trial. The zero value switches the package off.
type Bounds struct {
	// A bad version may get Share of the requests of its service, and Slack more.
	Share float64
	Slack float64
	// Rollback is the time after its 50th bad answer from which on it may get none.
	Rollback time.Duration
}

// Enabled reports whether roll-outs are carried out.
func (b Bounds) Enabled() bool { return b.Share > 0 }

// Table holds the orders and the counts of a daemon. The exported fields are set before its
// first use. It is safe for concurrent use; a nil Table has no orders.
type Table struct {
	Timer  bramleytack.Timer
	Bounds Bounds
	// Log may be nil.
	Log *btevent.Logger
	// Draw returns a random number from 0 to below 1. Nil means math/rand.
	Draw func() float64
	// Judges reports whether this daemon judges, and Reach returns the share of the fleet that it
	// reaches. Daemons returns the number of daemons that it knows to be alive.
	Judges  func() bool
	Reach   func() float64
	Daemons func() int
	// Alive reports whether another daemon is alive. Nil means that all are.
	Alive func(bramleytack.HostID) bool
	// StoreAway reports whether no daemon reads the store.
	StoreAway func() bool
	// Running returns the number of this daemon's requests at an upstream.
	Running func(bramleytack.UpstreamID) int

	// active is the number of services with an order or a withdrawn version.
	active atomic.Int32
	// first is when the first snapshot came.
	first atomic.Pointer[time.Time]

	mu       sync.Mutex
	snapshot *bramleytack.Snapshot
	orders   map[string]*order
	former   map[string]*order
	// withdrawn holds, by service, the targets of orders that have gone before they completed.
	withdrawn map[string]map[string]bool
}

// order is the state of one order.
type order struct {
	rollout *bramleytack.Rollout
	id      uint64
	// began is the time of the order by this daemon's clock.
	began time.Time
	stage Stage
	// trial is the age at which the trial began, and staged that at which the stage did.
	trial, staged time.Duration
	// share is the share of the requests in a trial, by the judges.
	share float64
	// rejected is set with a verdict against the version, and complete once it has completed.
	rejected   bool
	complete   bool
	completeAt time.Time
	// completing is set if a judge of this daemon has decided to complete.
	completing bool
	// heard is when this daemon last judged or heard a judge.
	heard time.Time
	gone  time.Time

	// own are this daemon's counts. sent counts the requests sent to the service, exposed
	// those of them to the new version.
	own           counts
	sent, exposed uint64
	number        uint64
	// brokenAt is when a broken answer of a group was last counted.
	brokenAt [allGroups]time.Time
	// numbers are those of the upstreams by which their groups are chosen, and targets is the
	// number of the new ones among them.
	numbers map[bramleytack.UpstreamID]uint64
	targets int
	judge   judge
	writer  writerState

	// chosen are the upstreams of the new version that get requests, for chosenFor.
	chosen    map[bramleytack.UpstreamID]bool
	chosenFor chosenKey
}

type chosenKey struct {
	snapshot *bramleytack.Snapshot
	slot     int64
	n        int
}

// idOf identifies an order. An order of the same content that is created anew is another one.
func idOf(r *bramleytack.Rollout) uint64 {
	text := r.Service + "\x00" + r.Target + "\x00" + strconv.FormatInt(int64(r.Duration), 10)
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(text), r.Created.Number()))
}

// Update takes the orders of a snapshot.
func (t *Table) Update(s *bramleytack.Snapshot) {
	if t == nil || s == nil {
		return
	}
	now := t.Timer.Now()
	if t.first.Load() == nil {
		t.first.CompareAndSwap(nil, &now)
	}
	if len(s.Rollouts) == 0 && t.active.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshot = s
	if t.orders == nil {
		t.orders, t.former, t.withdrawn = map[string]*order{}, map[string]*order{}, map[string]map[string]bool{}
	}
	for service, o := range t.orders {
		if s.Rollouts[service] == nil {
			t.remove(service, o, nil, now)
		}
	}
	for service, o := range t.former {
		if now.Sub(o.gone) >= formerRetention {
			delete(t.former, service)
		}
	}
	for service, r := range s.Rollouts {
		t.take(service, r, now)
	}
	t.active.Store(int32(len(t.orders) + len(t.withdrawn)))
}

// remove drops an order. next is the order that replaces it, or nil. The caller holds the lock.
func (t *Table) remove(service string, o *order, next *bramleytack.Rollout, now time.Time) {
	if next != nil {
		// An order that was changed in place still has the status of the former one, whose last
		// revision this daemon may not have seen.
		if st := next.Status; st.State == bramleytack.RolloutComplete && st.Target == o.rollout.Target && (st.Order == o.id || st.Order == 0) {
			o.finish(now)
		}
	}
	delete(t.orders, service)
	o.gone = now
	t.former[service] = o
	if !o.complete && !t.replaced(o) {
		t.withdraw(service, o.rollout.Target)
		t.Log.Event(btevent.RolloutWithdrawn).Str("service", service).Str("target", o.rollout.Target).Stringer("stage", o.stage).Send()
	}
}

// replaced reports whether an order in its full stage has no accepting upstream of another version. It
// may have completed without this daemon's knowledge.
func (t *Table) replaced(o *order) bool {
	_, others := o.upstreams(t.snapshot)
	return o.stage >= Full && !o.rejected && len(others) == 0
}

func (t *Table) withdraw(service string, versions ...string) {
	for _, v := range versions {
		if t.withdrawn[service] == nil {
			t.withdrawn[service] = map[string]bool{}
		}
		t.withdrawn[service][v] = true
	}
}

// take brings the order of a service up to date. The caller holds the lock.
func (t *Table) take(service string, r *bramleytack.Rollout, now time.Time) {
	o, id := t.orders[service], idOf(r)
	fresh := false
	if o != nil && o.rollout == r {
		o.numberUpstreams(t.snapshot, now)
		return
	}
	if o != nil && o.id != id {
		if !o.again(r) {
			t.remove(service, o, r, now)
			o = nil
		}
	}
	if o == nil {
		if f := t.former[service]; f != nil && f.again(r) {
			o = f
		} else {
			o, fresh = &order{began: now, own: counts{}}, true
			t.Log.Event(btevent.RolloutOrdered).Str("service", service).Str("target", r.Target).Dur("duration", r.Duration).Stringer("revision", r.Revision).Str("state", string(r.Status.State)).Send()
		}
		t.orders[service] = o
		delete(t.former, service)
	}
	o.rollout, o.id = r, id
	o.numberUpstreams(t.snapshot, now)
	delete(t.withdrawn[service], r.Target)
	for _, v := range r.Status.Withdrawn {
		if v != r.Target {
			t.withdraw(service, v)
		}
	}
	if len(t.withdrawn[service]) == 0 {
		delete(t.withdrawn, service)
	}
	if st := r.Status; st.Target == r.Target && (st.Order == id || st.Order == 0) {
		if fresh {
			o.older(t.ageBy(st, r.Duration, now), now)
		}
		o.follow(st, now)
		if fresh && o.complete {
			o.completeAt = completedAt(st, now)
		}
	}
}

// ageBy returns the age of an order that this process has not seen before. A process that has just
// started adds the time since the status was written, by the time of day: all daemons may have been
// away meanwhile. Later on the clocks of other machines are not relied on.
func (t *Table) ageBy(st bramleytack.RolloutStatus, duration time.Duration, now time.Time) time.Duration {
	age := st.Elapsed
	if first := t.first.Load(); first != nil && now.Sub(*first) < startWindow && !st.Written.IsZero() {
		age += max(now.Sub(st.Written), 0)
	}
	return min(age, duration)
}

// completedAt returns when an order completed that this process has first seen as complete. A restart
// does not leave out the other versions again.
func completedAt(st bramleytack.RolloutStatus, now time.Time) time.Time {
	if since := now.Sub(st.Written); since >= 0 && since < afterComplete {
		return now.Add(-since)
	}
	return now.Add(-afterComplete)
}

// again reports whether r is the same order, written again after the store was restored.
func (o *order) again(r *bramleytack.Rollout) bool {
	return o.rollout.Target == r.Target && o.rollout.Duration == r.Duration && r.Created.Epoch() > o.rollout.Created.Epoch()
}

// follow takes over what the status in the store says. Its last state holds, whatever this daemon
// thinks: the operator acts on it.
func (o *order) follow(s bramleytack.RolloutStatus, now time.Time) {
	o.older(min(s.Elapsed, o.rollout.Duration, now.Sub(o.began)+maxAging), now)
	switch s.State {
	case bramleytack.RolloutComplete:
		o.finish(now)
	case bramleytack.RolloutRolledBack:
		o.rejected, o.complete = true, false
	}
	if s.Stage > 0 && s.Stage <= int(Full) {
		o.enter(Stage(s.Stage), now)
	}
}

// finish marks the order as complete.
func (o *order) finish(now time.Time) {
	if !o.complete {
		o.complete, o.rejected, o.completeAt = true, false, now
	}
}

// older makes the order at least as old as age.
func (o *order) older(age time.Duration, now time.Time) {
	if began := now.Add(-age); began.Before(o.began) {
		o.began = began
	}
}

// enter moves on to a stage, if that is later than the present one.
func (o *order) enter(s Stage, now time.Time) {
	if s <= o.stage {
		return
	}
	age := now.Sub(o.began)
	if o.stage == Waiting {
		o.trial = age
	}
	o.stage, o.staged = s, age
}

// isTarget reports whether an upstream runs the version that is rolled out.
func (o *order) isTarget(u *bramleytack.Upstream) bool { return u.Version == o.rollout.Target }

// blind reports whether this daemon does not know what the judges have decided.
func (o *order) blind(now time.Time) bool { return now.Sub(o.heard) >= blindAfter }

// settled reports whether requests are not drawn: all go to one version.
func (o *order) settled() bool { return o.rejected || o.complete || o.stage >= Full }

// dose returns the dose at this daemon. The caller holds the lock.
func (o *order) dose(s *bramleytack.Snapshot, now time.Time) dose {
	if o.settled() || o.stage == Waiting || o.blind(now) {
		return dose{}
	}
	target, others := o.upstreams(s)
	share := o.share
	if o.stage > Trial && share > 0 {
		// Fewer new upstreams than old ones get no more than their part.
		share = min(o.stage.shareOf(), partOf(s, target, others))
	}
	return doseOf(o.stage, share, len(target), now.Sub(o.began))
}

// partOf returns the part of the places that the new version's upstreams have.
func partOf(s *bramleytack.Snapshot, target, others []*bramleytack.Upstream) float64 {
	n := capacity(s, target)
	return n / max(n+capacity(s, others), 1)
}

// upstreams returns the upstreams that accept work, of the new version and of the others.
func (o *order) upstreams(s *bramleytack.Snapshot) (target, others []*bramleytack.Upstream) {
	for _, u := range s.ByService[o.rollout.Service] {
		switch {
		case !s.Accepts(u.ID):
		case o.isTarget(u):
			target = append(target, u)
		default:
			others = append(others, u)
		}
	}
	return target, others
}

// picks returns the n upstreams of the new version that get requests now, the same at all
// daemons as far as their snapshots agree. All have their turn, as a verdict needs several. The
// caller holds the lock.
func (o *order) picks(s *bramleytack.Snapshot, n int, now time.Time) map[bramleytack.UpstreamID]bool {
	k := chosenKey{s, int64(now.Sub(o.began) / o.slot(n)), n}
	if o.chosen != nil && o.chosenFor == k {
		return o.chosen
	}
	list, _ := o.upstreams(s)
	weight := func(u *bramleytack.Upstream) uint64 { return xxhash.Sum64String(string(u.ID)) }
	slices.SortFunc(list, func(a, b *bramleytack.Upstream) int { return cmp.Compare(weight(a), weight(b)) })
	o.chosen, o.chosenFor = map[bramleytack.UpstreamID]bool{}, k
	for i := range min(n, len(list)) {
		o.chosen[list[(int(k.slot)*n+i)%len(list)].ID] = true
	}
	return o.chosen
}

// Admits reports whether an upstream may get work that was not drawn, such as a generation that
// is handed over. Such work stays away from a version on trial.
func (t *Table) Admits(u *bramleytack.Upstream) bool {
	if t == nil || t.active.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.admits(u, t.Timer.Now())
}

// admits is Admits. Where no upstream that the order allows accepts work, the others may get it, so
// that an order never leaves a service without upstreams. The caller holds the lock.
func (t *Table) admits(u *bramleytack.Upstream, now time.Time) bool {
	if t.permits(u, now) {
		return true
	}
	for _, other := range t.snapshot.ByService[u.Service] {
		if t.permits(other, now) && t.snapshot.Accepts(other.ID) {
			return false
		}
	}
	return true
}

// permits reports whether the order of a service allows an upstream. The caller holds the lock.
func (t *Table) permits(u *bramleytack.Upstream, now time.Time) bool {
	o := t.orders[u.Service]
	switch {
	case o == nil, o.complete && now.Sub(o.completeAt) >= afterComplete:
		return !t.withdrawn[u.Service][u.Version]
	case o.complete, o.stage >= Full && !o.rejected:
		return o.isTarget(u)
	}
	return !o.isTarget(u) && !t.withdrawn[u.Service][u.Version]
}

// Refuses reports whether an upstream may get no request at all now, drawn or not.
func (t *Table) Refuses(u *bramleytack.Upstream) bool {
	if t == nil || t.active.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	o := t.orders[u.Service]
	if o != nil && o.isTarget(u) && !o.settled() && o.dose(t.snapshot, now).share > 0 {
		return false
	}
	return !t.admits(u, now)
}

// Vacates reports whether generations that run at an upstream are to go on elsewhere: at the old
// version's before the completion, or at a version that was rolled back.
func (t *Table) Vacates(u *bramleytack.Upstream) bool {
	if t == nil || t.active.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.orders[u.Service]
	return o != nil && o.settled() && !t.admits(u, t.Timer.Now())
}

// Sent counts a request that is sent to an upstream.
func (t *Table) Sent(u *bramleytack.Upstream) {
	if t == nil || t.active.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.orders[u.Service]; o != nil {
		o.sent++
		if o.isTarget(u) {
			o.exposed++
		}
	}
}

// Counts reports whether answers of a service are counted.
func (t *Table) Counts(service string) bool {
	if t == nil || t.active.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.orders[service]
	return o != nil && !o.complete
}

// Answered counts an answer.
func (t *Table) Answered(a Answer) {
	if t == nil || t.active.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.orders[a.Upstream.Service]
	if o == nil || o.complete {
		return
	}
	group := o.groupOf(a.Upstream)
	now := t.Timer.Now()
	timed := now.Sub(a.Upstream.Started) >= startPeriod && !now.Before(a.Upstream.ColdUntil)
	if a.Broken {
		// A crash breaks many answers at once and counts once. Judges that get only the total later
		// cannot tell it from as many failures.
		if now.Sub(o.brokenAt[group]) < TickPeriod {
			return
		}
		o.brokenAt[group] = now
	}
	o.own.record(a, group, timed)
}

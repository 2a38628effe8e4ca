package btrollout

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bramleytack"
)

const (
	testShare    = 0.1
	testSlack    = 50
	testRollback = 5 * time.Second
	service      = "shop"
	oldVersion   = "1"
	newVersion   = "2"
)

// simFleet plays daemons, upstreams of two versions and a store in simulated time, in one
// goroutine. It counts what the operator counts.
type simFleet struct {
	r     *rand.Rand
	now   time.Time
	start time.Time
	queue eventQueue
	seq   int

	daemons  []*simDaemon
	workers  []*simWorker
	store    *simStore
	snapshot *bramleytack.Snapshot
	bad      badness
	// rate is in requests a second, factor changes it for a while.
	rate, factor float64
	routes       []string
	work         time.Duration
	failures     float64
	loss         float64

	sent, exposed  int
	badAnswers     int
	fiftieth       time.Time
	afterRollback  int
	unserved, cuts int
	doneAt         time.Duration
	state          bramleytack.RolloutState
	history        []string
}

// badness is what is wrong with a bad version. The zero value is a good one.
type badness struct {
	// share of the answers fail, or take slow times as long if slow is above 0.
	share, slow float64
	// from is the age of the order from which on the version is bad.
	from time.Duration
	// busy is the share of places from which on an upstream is bad, and route the only bad one.
	busy  float64
	route string
}

func (b badness) String() string {
	return fmt.Sprintf("share %.2f slow %.1f from %v busy %.2f route %q", b.share, b.slow, b.from, b.busy, b.route)
}

type simEvent struct {
	at  time.Time
	seq int
	f   func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// after calls f after d.
func (f *simFleet) after(d time.Duration, call func()) {
	f.seq++
	heap.Push(&f.queue, simEvent{f.now.Add(d), f.seq, call})
}

// age returns the time since the order.
func (f *simFleet) age() time.Duration { return f.now.Sub(f.start) }

// run plays until an age.
func (f *simFleet) run(until time.Duration) {
	for len(f.queue) > 0 && !f.queue[0].at.After(f.start.Add(until)) {
		e := heap.Pop(&f.queue).(simEvent)
		f.now = e.at
		e.f()
	}
}

// simTimer is a clock only.
type simTimer struct {
	bramleytack.Timer
	f *simFleet
}

func (t simTimer) Now() time.Time { return t.f.now }

type simWorker struct {
	u       *bramleytack.Upstream
	running int
	speed   float64
	grey    float64
	down    time.Time
	crashes int
}

type simDaemon struct {
	f           *simFleet
	name        bramleytack.HostID
	table       *Table
	writer      *Writer
	incarnation uint64
	running     map[bramleytack.UpstreamID]int
	// cut daemons reach neither others nor the store, dead ones do nothing.
	cut, dead bool
	seen      *bramleytack.Snapshot
	cutSince  time.Time
}

func newSimFleet(seed uint64, daemons, workers, slots int) *simFleet {
	f := &simFleet{r: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1e9), factor: 1}
	f.start = f.now
	f.store = &simStore{f: f}
	for i := range workers {
		for _, v := range []string{oldVersion, newVersion} {
			u := &bramleytack.Upstream{ID: bramleytack.UpstreamID(fmt.Sprintf("w%s-%d", v, i)), Service: service, Version: v, WarmLimit: slots, State: bramleytack.UpstreamActive, FailureDomain: "a"}
			if v == newVersion {
				u.Started = f.start
			}
			f.workers = append(f.workers, &simWorker{u: u, speed: 1})
		}
	}
	for i := range daemons {
		d := &simDaemon{f: f, name: bramleytack.HostID(fmt.Sprintf("d%02d", i))}
		f.daemons = append(f.daemons, d)
		d.boot()
		f.after(time.Duration(f.r.Int64N(int64(TickPeriod))), d.tick)
	}
	return f
}

// boot starts the daemon's process without any state.
func (d *simDaemon) boot() {
	f := d.f
	d.incarnation++
	d.running, d.dead, d.seen = map[bramleytack.UpstreamID]int{}, false, nil
	d.table = &Table{
		Timer: simTimer{f: f}, Bounds: Bounds{Share: testShare, Slack: testSlack, Rollback: testRollback}, Draw: f.r.Float64,
		Judges:  func() bool { return d.rank() < 3 },
		Reach:   func() float64 { return float64(len(d.reached())) / float64(max(len(f.alive()), 1)) },
		Daemons: func() int { return len(d.reached()) },
		Alive: func(h bramleytack.HostID) bool {
			return slices.ContainsFunc(d.reached(), func(o *simDaemon) bool { return o.name == h })
		},
		StoreAway: func() bool { return f.store.away || d.cut },
		Running:   func(id bramleytack.UpstreamID) int { return d.running[id] },
	}
	d.writer = &Writer{Table: d.table, Store: &simStoreClient{d}, Codec: simCodec{}, Timer: simTimer{f: f}, Writes: func() bool { return d.rank() == 0 && !d.cut }}
}

// alive returns the daemons that run.
func (f *simFleet) alive() (list []*simDaemon) {
	for _, d := range f.daemons {
		if !d.dead {
			list = append(list, d)
		}
	}
	return list
}

// reached returns the daemons that this one can reach, itself included.
func (d *simDaemon) reached() (list []*simDaemon) {
	for _, o := range d.f.alive() {
		if o == d || !o.cut && !d.cut {
			list = append(list, o)
		}
	}
	return list
}

func (d *simDaemon) rank() int { return slices.Index(d.reached(), d) }

// inTouch reports whether the operator's bounds hold for the daemon.
func (d *simDaemon) inTouch() bool { return !d.cut }

// tick is the daemon's periodic work.
func (d *simDaemon) tick() {
	f := d.f
	f.after(TickPeriod, d.tick)
	if d.dead {
		return
	}
	d.sync()
	incarnation := d.incarnation
	reports, decisions := d.table.Tick()
	for _, o := range d.reached() {
		if o == d {
			continue
		}
		if o.rank() < 3 {
			for _, r := range reports {
				f.message(func() { o.table.Merge(d.name, incarnation, r) })
			}
		}
		for _, dec := range decisions {
			f.message(func() { o.table.Follow(dec) })
		}
	}
	d.writer.sync(context.Background())
}

// sync passes on the snapshot, which is up to a tick old.
func (d *simDaemon) sync() {
	if !d.cut && !d.f.store.away || d.seen == nil && !d.cut {
		d.seen = d.f.snapshot
	}
	d.table.Update(d.seen)
}

// message delivers a message, or loses it.
func (f *simFleet) message(deliver func()) {
	if f.r.Float64() >= f.loss {
		f.after(time.Duration(1+f.r.IntN(40))*time.Millisecond, deliver)
	}
}

// publish builds a snapshot of the store and of the upstreams.
func (f *simFleet) publish() {
	s := &bramleytack.Snapshot{
		Upstreams: map[bramleytack.UpstreamID]*bramleytack.Upstream{}, ByService: map[string][]*bramleytack.Upstream{},
		FailureDomains: map[bramleytack.FailureDomainID]*bramleytack.FailureDomain{"a": {Name: "a", State: bramleytack.DomainActive}},
		Rollouts:       map[string]*bramleytack.Rollout{},
	}
	for _, w := range f.workers {
		if w.u.Version == newVersion && f.age() < f.store.startsAfter {
			continue
		}
		s.Upstreams[w.u.ID] = w.u
		s.ByService[service] = append(s.ByService[service], w.u)
	}
	if f.store.order != nil {
		r := *f.store.order
		s.Rollouts[service] = &r
	}
	f.snapshot = s
}

// traffic plays requests for ever.
func (f *simFleet) traffic() {
	f.after(time.Duration(f.r.ExpFloat64()/(f.rate*f.factor)*float64(time.Second)), f.traffic)
	alive := f.alive()
	if len(alive) == 0 {
		return
	}
	d := alive[f.r.IntN(len(alive))]
	d.sync()
	(&simRequest{d: d, route: f.routes[f.r.IntN(len(f.routes))], choice: d.table.Choose(service)}).send()
}

type simRequest struct {
	d      *simDaemon
	route  string
	choice *Choice
	tries  int
}

// pick returns the less busy of two upstreams that the request may use.
func (q *simRequest) pick() *simWorker {
	f := q.d.f
	for {
		var list []*simWorker
		for _, w := range f.workers {
			if q.d.seen != nil && q.d.seen.Upstreams[w.u.ID] != nil && f.now.After(w.down) && q.choice.Allows(w.u) {
				list = append(list, w)
			}
		}
		if len(list) > 0 {
			a, b := list[f.r.IntN(len(list))], list[f.r.IntN(len(list))]
			if b.running < a.running {
				return b
			}
			return a
		}
		if !q.choice.Fall() {
			return nil
		}
	}
}

// send plays the request at an upstream.
func (q *simRequest) send() {
	f, d := q.d.f, q.d
	w := q.pick()
	if w == nil || d.table.Refuses(w.u) {
		f.unserved++
		return
	}
	q.tries++
	d.table.Sent(w.u)
	q.choice.Fall()
	target := w.u.Version == newVersion
	if f.age() <= f.store.duration {
		f.sent++
	}
	if target && d.inTouch() {
		if f.age() <= f.store.duration {
			f.exposed++
		}
		if !f.fiftieth.IsZero() && f.now.Sub(f.fiftieth) > testRollback && f.state != bramleytack.RolloutComplete {
			f.afterRollback++
		}
	}
	busy := float64(w.running) / float64(w.u.WarmLimit)
	isBad := target && f.bad.share > 0 && f.age() >= f.bad.from && busy >= f.bad.busy && (f.bad.route == "" || f.bad.route == q.route) && f.r.Float64() < f.bad.share
	queue := max(1, float64(w.running+1)/float64(w.u.WarmLimit))
	work := f.workOf(q.route)
	took := float64(work) * w.speed * queue * math.Exp(0.25*f.r.NormFloat64())
	if age := f.now.Sub(w.u.Started); age < 5*time.Second {
		took *= 1.5
	}
	failed := f.r.Float64() < f.failures || f.r.Float64() < w.grey
	if isBad && f.bad.slow > 0 {
		took *= f.bad.slow
	}
	failed = failed || isBad && f.bad.slow == 0
	first := took
	if work > time.Second {
		first = took / 6
		if failed {
			// A stream breaks off at any time.
			took *= f.r.Float64()
		}
	}
	w.running++
	d.running[w.u.ID]++
	a := Answer{Upstream: w.u, Route: q.route, Busy: busy}
	if work > time.Second {
		f.showProgress(w, d, a, time.Duration(first), time.Duration(took))
		a.Part = true
	}
	crashes, incarnation, table := w.crashes, d.incarnation, d.table
	end := func(broken bool) {
		w.running--
		if d.incarnation == incarnation {
			d.running[w.u.ID]--
		}
		a := a
		a.Failed, a.Broken = failed, broken
		if !a.Part {
			a.First = time.Duration(first)
		}
		table.Answered(a)
		if target && isBad {
			if f.badAnswers++; f.badAnswers == 50 {
				f.fiftieth = f.now
			}
		}
		if (failed || broken) && q.tries < 2 && d.incarnation == incarnation && !d.dead {
			q.send()
		}
	}
	f.runs(w, d, incarnation, crashes, time.Duration(took), end)
}

// workOf returns the mean time that a request takes. Where one route has streams, the other one's
// requests are short.
func (f *simFleet) workOf(route string) time.Duration {
	if f.work > time.Second && route != f.routes[0] {
		return f.work / 8
	}
	return f.work
}

// showProgress counts the first event and the later ones of a stream.
func (f *simFleet) showProgress(w *simWorker, d *simDaemon, a Answer, first, took time.Duration) {
	crashes, table := w.crashes, d.table
	begun := a
	// A stream without an event is counted when it is late.
	first = min(first, f.workOf(a.Route)/2)
	begun.First = first
	f.after(first, func() {
		if w.crashes == crashes {
			table.Answered(begun)
		}
	})
	// The pace of a stream does not depend on how long it waited for its place.
	a.Part, a.Gap = true, time.Duration(float64(took)/max(a.Busy, 1)/40)
	for _, at := range []time.Duration{first + (took-first)/4, first + (took-first)/2} {
		f.after(at, func() {
			if w.crashes == crashes {
				table.Answered(a)
			}
		})
	}
}

// runs plays a request until it ends, is broken by a crash of its upstream, or goes on at
// another version.
func (f *simFleet) runs(w *simWorker, d *simDaemon, incarnation uint64, crashes int, left time.Duration, end func(broken bool)) {
	step := min(left, 200*time.Millisecond)
	f.after(step, func() {
		switch {
		case w.crashes != crashes:
			end(true)
		case left <= step:
			end(false)
		case f.work > time.Second && d.incarnation == incarnation && d.table.Vacates(w.u):
			if to := f.moveTarget(d); to != nil {
				// The generation goes on elsewhere; what it shows of its version is lost.
				w.running--
				d.running[w.u.ID]--
				to.running++
				d.running[to.u.ID]++
				f.runs(to, d, incarnation, to.crashes, left-step, func(bool) {
					to.running--
					if d.incarnation == incarnation {
						d.running[to.u.ID]--
					}
				})
				return
			}
			f.runs(w, d, incarnation, crashes, left-step, end)
		default:
			f.runs(w, d, incarnation, crashes, left-step, end)
		}
	})
}

func (f *simFleet) moveTarget(d *simDaemon) *simWorker {
	var best *simWorker
	for _, w := range f.workers {
		if d.table.Admits(w.u) && f.now.After(w.down) && (best == nil || w.running < best.running) {
			best = w
		}
	}
	return best
}

// crash ends an upstream for some seconds.
func (f *simFleet) crash(w *simWorker) {
	w.crashes++
	w.down = f.now.Add(4 * time.Second)
}

// simStore holds one order. While it is away it answers nothing; late writes are executed later,
// lost ones without an answer.
type simStore struct {
	f                *simFleet
	order            *bramleytack.Rollout
	copy             *bramleytack.Rollout
	epoch, number    uint64
	duration         time.Duration
	startsAfter      time.Duration
	away, late, lost bool
	writes           int
}

// put changes the order, nil for a removal.
func (s *simStore) put(change func(r *bramleytack.Rollout)) {
	s.number++
	revision, _ := bramleytack.NewRevision(s.epoch, s.number)
	r := bramleytack.Rollout{Created: revision}
	if s.order != nil {
		r = *s.order
	}
	change(&r)
	r.Revision = revision
	s.order = &r
	s.f.publish()
}

// give gives the order.
func (s *simStore) give(target string, d time.Duration) {
	s.duration = d
	s.put(func(r *bramleytack.Rollout) { r.Service, r.Target, r.Duration = service, target, d })
}

// remove takes the order back.
func (s *simStore) remove() {
	s.order = nil
	s.number++
	s.f.publish()
}

// restore brings the store back from its copy.
func (s *simStore) restore() {
	s.epoch++
	if s.copy != nil {
		r := *s.copy
		r.Revision, _ = bramleytack.NewRevision(s.epoch, r.Revision.Number())
		r.Created, _ = bramleytack.NewRevision(s.epoch, r.Created.Number())
		s.order, s.number = &r, r.Revision.Number()
	}
	s.f.publish()
}

// write writes a status under a condition.
func (s *simStore) write(status bramleytack.RolloutStatus, expected bramleytack.Revision) error {
	s.writes++
	if s.order == nil || s.order.Revision != expected {
		return bramleytack.ErrConflict
	}
	s.put(func(r *bramleytack.Rollout) { r.Status = status })
	f := s.f
	f.history = append(f.history, fmt.Sprintf("%v %s %d", f.age(), status.State, status.Stage))
	if status.State.Final() && f.state != status.State {
		f.state, f.doneAt = status.State, f.age()
		if f.state == bramleytack.RolloutComplete {
			for _, w := range f.workers {
				if w.u.Version == oldVersion {
					for _, d := range f.alive() {
						if d.inTouch() {
							f.cuts += d.running[w.u.ID]
						}
					}
					f.crash(w)
					w.down = f.now.Add(time.Hour)
				}
			}
		}
	}
	return nil
}

// simStoreClient is the store as a daemon reaches it.
type simStoreClient struct{ d *simDaemon }

func (c *simStoreClient) PutStatus(_ context.Context, _ bramleytack.Key, data []byte, expected bramleytack.Revision) (bramleytack.Revision, error) {
	s := c.d.f.store
	var status bramleytack.RolloutStatus
	if err := json.Unmarshal(data, &status); err != nil {
		return 0, err
	}
	switch {
	case s.away || c.d.cut:
		return 0, bramleytack.ErrStoreUnknown
	case s.late:
		s.f.after(3*time.Second, func() { _ = s.write(status, expected) })
		return 0, bramleytack.ErrStoreUnknown
	case s.lost:
		_ = s.write(status, expected)
		return 0, bramleytack.ErrStoreUnknown
	}
	return 0, s.write(status, expected)
}

type simCodec struct{}

func (simCodec) Rollout(bramleytack.Object) (*bramleytack.Rollout, error) { return nil, nil }

func (simCodec) RolloutStatus(s bramleytack.RolloutStatus) ([]byte, error) { return json.Marshal(s) }

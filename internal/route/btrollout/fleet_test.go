package btrollout

import (
	"container/heap"
	"context"
	"fmt"
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

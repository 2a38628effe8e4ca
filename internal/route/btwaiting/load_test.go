package btwaiting_test

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/route/btwaiting"
)

const (
	// slots and queue are those of the worker that is left, runTime the time of a call.
	slots   = 6
	queue   = 24
	runTime = 30 * time.Millisecond
	// patience is the timeout of the calls' route.
	patience = 1200 * time.Millisecond
	// reportPeriod is the mean time between two reports of a daemon, linkDelay the time to
	// the worker.
	reportPeriod = 300 * time.Millisecond
	linkDelay    = 2 * time.Millisecond
	daemonCount  = 59
)

// worker is the only upstream of a service. It rejects what exceeds its queue.
type worker struct {
	mu      sync.Mutex
	rng     *rand.Rand
	taken   int
	waiting []chan struct{}
	// rejected counts arrivals that found it full, and ran the others that have ended.
	rejected int
	ran      int
}

// run reports whether the call ran, and the number of calls at the worker.
func (w *worker) run() (bool, int) {
	time.Sleep(linkDelay)
	defer time.Sleep(linkDelay)
	w.mu.Lock()
	if w.taken < slots {
		w.taken++
	} else if len(w.waiting) >= queue {
		w.rejected++
		defer w.mu.Unlock()
		return false, slots + queue
	} else {
		c := make(chan struct{})
		w.waiting = append(w.waiting, c)
		w.mu.Unlock()
		<-c
		w.mu.Lock()
	}
	d := time.Duration(float64(runTime) * math.Exp(w.rng.NormFloat64()*0.47-0.11))
	if time.Now().UnixMilli()%1000 < 300 {
		// Neighbors on the worker's host.
		d = d * 5 / 2
	}
	w.mu.Unlock()
	time.Sleep(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran++
	if len(w.waiting) > 0 {
		close(w.waiting[0])
		w.waiting = w.waiting[1:]
	} else {
		w.taken--
	}
	return true, w.taken + len(w.waiting)
}

// daemon has a room and a share of the service.
type daemon struct {
	f     *fleet
	room  btwaiting.Room
	share btwaiting.Share
	// running and waiting are its own calls, reported those that others know of.
	running, waiting atomic.Int64
	reportedRunning  atomic.Int64
	reportedWaiting  atomic.Int64
	seen             atomic.Int64
	// calls are its calls by workspace, reportedCalls those that others know of.
	mu                   sync.Mutex
	calls, reportedCalls *btwaiting.Demand
	seenAt, waitingTold  atomic.Int64
}

// report publishes the daemon's load.
func (d *daemon) report() {
	d.reportedRunning.Store(d.running.Load())
	d.reportedWaiting.Store(d.waiting.Load())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportedCalls = d.calls
}

// count adds n calls of a workspace.
func (d *daemon) count(w bramleytack.WorkspaceID, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = d.calls.Add(btwaiting.KeyOf(w), n)
}

// demand returns the calls by workspace, or those that others know of.
func (d *daemon) demand(reported bool) *btwaiting.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reported {
		return d.reportedCalls
	}
	return d.calls
}

func (d *daemon) run(ctx context.Context, first time.Duration) {
	for d.f.timer.Sleep(ctx, first) == nil {
		d.report()
		first = reportPeriod
	}
}

func (d *daemon) occupancy() btwaiting.Occupancy {
	running, waiting := d.running.Load(), d.waiting.Load()
	own := d.demand(false)
	all := own
	for _, o := range d.f.daemons {
		if o != d {
			running += o.reportedRunning.Load()
			waiting += o.reportedWaiting.Load()
			all = all.Plus(o.demand(true), 1)
		}
	}
	if d.f.byCalls {
		own, all = nil, nil
	}
	if time.Now().UnixMilli()-d.seenAt.Load() < 300 {
		running = max(running, d.seen.Load())
	}
	places := int(btwaiting.PlacesFactor * slots)
	return btwaiting.Occupancy{Places: places, Free: max(places-int(running), 0), Running: int(running), Waiting: int(waiting), OwnRunning: int(d.running.Load()), OwnWaiting: int(d.waiting.Load()), OwnCalls: own, Calls: all}
}

// fleet are all daemons before one worker.
type fleet struct {
	timer   *bttimer.Service
	worker  *worker
	daemons []*daemon
	// direct fleets send each call at once, as 41fc788 did.
	direct bool
	// byCalls fleets share places by calls, without the workspaces.
	byCalls bool
	// entries returns the daemons that a workspace's callers use. Nil means all.
	entries func(w bramleytack.WorkspaceID) []*daemon

	mu sync.Mutex
	// offered, inTime and refused count calls by workspace. inTime are answered before their
	// timeout, refused are rejected twice.
	offered, inTime, refused map[bramleytack.WorkspaceID]int
	// slow counts answers after more than the target latency.
	slow int
	// refusedAfter is the longest time until a rejection.
	refusedAfter time.Duration
}

// play runs traffic against a fleet in fake time and returns the fleet with its counts.
func play(t *testing.T, direct bool, traffic func(f *fleet)) *fleet {
	f := &fleet{direct: direct, offered: map[bramleytack.WorkspaceID]int{}, inTime: map[bramleytack.WorkspaceID]int{}, refused: map[bramleytack.WorkspaceID]int{}}
	synctest.Test(t, func(*testing.T) {
		f.timer = bttimer.New(1)
		defer f.timer.Close()
		f.worker = &worker{rng: rand.New(rand.NewPCG(1, 2))}
		ctx, cancel := context.WithCancel(context.Background())
		for i := range daemonCount {
			d := &daemon{f: f}
			d.room.Timer, d.share.Timer = f.timer, f.timer
			d.room.Interval = func() time.Duration { return d.share.Interval(d.occupancy()) }
			f.daemons = append(f.daemons, d)
			go d.run(ctx, reportPeriod*time.Duration(i)/daemonCount)
		}
		traffic(f)
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
	})
	return f
}

// send plays one caller, who returns once if it is told to.
func (f *fleet) send(rng *rand.Rand, w bramleytack.WorkspaceID) {
	daemons := f.daemons
	if f.entries != nil {
		daemons = f.entries(w)
	}
	first, second := daemons[rng.IntN(len(daemons))], daemons[rng.IntN(len(daemons))]
	f.mu.Lock()
	f.offered[w]++
	f.mu.Unlock()
	go (&call{f: f, workspace: w}).run(first, second)
}

type call struct {
	f         *fleet
	workspace bramleytack.WorkspaceID
}

func (c *call) run(first, second *daemon) {
	start := time.Now()
	ok, again := c.try(first, false)
	if !ok {
		time.Sleep(min(max(again, 250*time.Millisecond), 800*time.Millisecond))
		start = time.Now()
		ok, _ = c.try(second, true)
	}
	took := time.Since(start)
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	switch {
	case !ok:
		c.f.refused[c.workspace]++
	case took <= patience:
		c.f.inTime[c.workspace]++
		if took > 150*time.Millisecond {
			c.f.slow++
		}
	}
}

// try sends the call through a daemon. It reports whether it ran, or when to return.
func (c *call) try(d *daemon, returned bool) (bool, time.Duration) {
	deadline := time.Now().Add(patience)
	d.count(c.workspace, 1)
	defer d.count(c.workspace, -1)
	for range 3 {
		enter := func() btwaiting.Look {
			if c.f.direct || d.share.Enter(d.occupancy()) {
				return btwaiting.Taken
			}
			return btwaiting.NoPlace
		}
		if !d.room.Enter(enter) {
			d.waiting.Add(1)
			if now := time.Now().UnixMilli(); now-d.waitingTold.Load() >= 100 {
				d.waitingTold.Store(now)
				d.report()
			}
			r := d.room.Wait(context.Background(), btwaiting.Ticket{Workspace: c.workspace, Returned: returned, Deadline: deadline, Run: 2 * d.share.Mean()}, enter)
			if d.waiting.Add(-1) == 0 {
				d.report()
			}
			if r.Verdict != btwaiting.Admitted {
				return false, r.RetryAfter
			}
		}
		start := time.Now()
		d.running.Add(1)
		ok, seen := c.f.worker.run()
		d.running.Add(-1)
		d.seen.Store(int64(seen))
		d.seenAt.Store(time.Now().UnixMilli())
		if c.f.direct {
			return ok, 0
		}
		d.share.Leave(time.Since(start), !ok)
		d.room.Wake()
		if ok {
			return true, 0
		}
		time.Sleep(d.share.Mean())
	}
	return false, 0
}

// sum adds up all workspaces.
func sum(counts map[bramleytack.WorkspaceID]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// steady sends calls at a rate for some time, from 24 workspaces of which the first gets a
// part by itself.
func steady(f *fleet, seed uint64, perSecond float64, d time.Duration, first float64) {
	rng := rand.New(rand.NewPCG(seed, seed))
	for end := time.Now().Add(d); time.Now().Before(end); {
		w := bramleytack.WorkspaceID(rune('a' + rng.IntN(24)))
		if rng.Float64() < first {
			w = "a"
		}
		f.send(rng, w)
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond))
	}
}

// TestLoads plays loads that a worker of six places, the last one of three, gets from 59
// daemons, and compares each with the daemons of 41fc788, which sent every call at once.
func TestLoads(t *testing.T) {
	cases := []struct {
		name    string
		traffic func(f *fleet, seed uint64)
		// served is the least part of the calls that is answered in time.
		served float64
		// rejected is the most of the calls that the worker rejects.
		rejected float64
	}{
		// 130 calls a second at a worker that serves 164 on average, and 80 while its
		// neighbors are busy: callers were refused although there was time for all.
		{"one of three workers left", func(f *fleet, seed uint64) { steady(f, seed, 130, 6*time.Second, 0) }, 0.995, 0.02},
		// A third of the callers repeat at once.
		{"a third repeats at once", func(f *fleet, seed uint64) {
			steady(f, seed, 110, 2*time.Second, 0)
			steady(f, seed, 110*5/3, time.Second, 0)
			steady(f, seed, 110, 3*time.Second, 0)
		}, 0.97, 0.08},
		// All daemons are back after a kill and their callers with them.
		{"mass return after a kill of all", func(f *fleet, seed uint64) {
			steady(f, seed, 1500, 100*time.Millisecond, 0)
			steady(f, seed, 100, 4*time.Second, 0)
		}, 0.93, 0.2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				before := play(t, true, func(f *fleet) { c.traffic(f, seed) })
				now := play(t, false, func(f *fleet) { c.traffic(f, seed) })
				n := float64(sum(now.offered))
				t.Logf("seed %d: %v calls, in time %d, before %d; refused %d, before %d; over target %d, before %d; rejected by the worker %d, before %d",
					seed, n, sum(now.inTime), sum(before.inTime), sum(now.refused), sum(before.refused), now.slow, before.slow, now.worker.rejected, before.worker.rejected)
				assert.Check(t, float64(sum(now.inTime)) >= c.served*n)
				assert.Check(t, float64(now.worker.rejected) <= c.rejected*n)
				assert.Check(t, sum(now.inTime) >= sum(before.inTime))
			}
		})
	}
}

// One of 24 workspaces sends four calls of five, at twice what the worker serves. Guards against
// other workspaces that pay for it.
func TestWorkspaceFarAboveItsShare(t *testing.T) {
	f := play(t, false, func(f *fleet) { steady(f, 1, 330, 5*time.Second, 0.8) })
	answered := func(w bramleytack.WorkspaceID) float64 { return float64(f.inTime[w]) / float64(f.offered[w]) }
	offered, inTime := 0, 0
	for w, n := range f.offered {
		if w != "a" {
			offered += n
			inTime += f.inTime[w]
		}
	}
	t.Logf("the one: %.2f of %d, the others: %.2f of %d", answered("a"), f.offered["a"], float64(inTime)/float64(offered), offered)
	assert.Check(t, float64(inTime) >= 0.75*float64(offered))
	assert.Check(t, float64(inTime) >= (answered("a")+0.15)*float64(offered))
}

// One of 24 workspaces sends four calls of five, at twice what the worker serves, and through
// daemons of its own. Guards against a daemon that gets places by the number of its calls, so that
// its workspace takes those of the workspaces at other daemons, and against places that are
// held back for them.
func TestWorkspaceFarAboveItsShareAtItsOwnDaemons(t *testing.T) {
	const rate = 330
	// ran is the number of calls that the worker has served until the last one comes.
	ran := map[bool]int{}
	traffic := func(byCalls bool) func(f *fleet) {
		return func(f *fleet) {
			f.byCalls = byCalls
			f.entries = func(w bramleytack.WorkspaceID) []*daemon {
				if w == "a" {
					return f.daemons[:daemonCount/2]
				}
				return f.daemons[daemonCount/2:]
			}
			steady(f, 1, rate, 5*time.Second, 0.8)
			f.worker.mu.Lock()
			defer f.worker.mu.Unlock()
			ran[byCalls] = f.worker.ran
		}
	}
	others := func(f *fleet) float64 {
		return float64(sum(f.inTime)-f.inTime["a"]) / float64(sum(f.offered)-f.offered["a"])
	}
	before, now := play(t, false, traffic(true)), play(t, false, traffic(false))
	t.Logf("others in time: %.2f, by calls %.2f; served under load: %d, by calls %d", others(now), others(before), ran[false], ran[true])
	assert.Check(t, others(now) >= 0.95)
	assert.Check(t, float64(ran[false]) >= 0.95*float64(ran[true]))
}

package btlease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
)

// gate is a store that blocks the calls of a paused host, both before and after
// they take effect.
type gate struct {
	bramleytack.Store
	mu     sync.Mutex
	paused chan struct{}
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused == nil {
		g.paused = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		close(g.paused)
		g.paused = nil
	}
}

func (g *gate) waitWhilePaused() {
	g.mu.Lock()
	c := g.paused
	g.mu.Unlock()
	if c != nil {
		<-c
	}
}

func (g *gate) Get(ctx context.Context, k bramleytack.Key) (bramleytack.Object, error) {
	g.waitWhilePaused()
	defer g.waitWhilePaused()
	return g.Store.Get(ctx, k)
}

func (g *gate) Put(ctx context.Context, o bramleytack.Object, v bramleytack.Revision) (bramleytack.Revision, error) {
	g.waitWhilePaused()
	defer g.waitWhilePaused()
	return g.Store.Put(context.WithoutCancel(ctx), o, v)
}

// driftTimer is a timer whose clock runs at rate times the real one.
type driftTimer struct {
	bramleytack.Timer
	base time.Time
	rate float64
}

func (d *driftTimer) Now() time.Time {
	return d.base.Add(time.Duration(float64(d.Timer.Now().Sub(d.base)) * d.rate))
}

func (d *driftTimer) After(wait time.Duration) bramleytack.Alarm {
	// The added microsecond keeps rounding from firing the alarm too early.
	return d.Timer.After(time.Duration(float64(wait)/d.rate) + time.Microsecond)
}

type sim struct {
	t         *testing.T
	store     *btmemstore.Store
	leases    []*Lease
	gates     []*gate
	lastFence bramleytack.Fence
}

// newSim starts hosts whose clocks differ in rate by up to 0.98%, just less than
// the protocol allows.
func newSim(t *testing.T, hosts int) *sim {
	s := &sim{t: t, store: btmemstore.New()}
	timers := bttimer.New(1)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range hosts {
		g := &gate{Store: s.store}
		l := &Lease{
			Store: g, Timer: &driftTimer{Timer: timers, base: timers.Now(), rate: 1 + 0.0049*float64(i%3-1)},
			Cell: "c", Host: bramleytack.HostID(fmt.Sprintf("h%d", i)), PeerAddr: netip.MustParseAddrPort("127.0.0.1:1"),
		}
		s.leases, s.gates = append(s.leases, l), append(s.gates, g)
		running.Go(func() { l.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		for _, g := range s.gates {
			g.resume()
		}
		running.Wait()
		timers.Close()
	})
	return s
}

// holder returns the index of the holder, or -1. It fails the test if two hosts
// hold the lease or if the fencing token is lower than an earlier one.
func (s *sim) holder() int {
	s.t.Helper()
	found := -1
	for i, l := range s.leases {
		fence, _, ok := l.Held()
		if !ok {
			continue
		}
		if found >= 0 {
			s.t.Fatalf("h%d and h%d hold the lease at the same instant", found, i)
		}
		if fence < s.lastFence {
			s.t.Fatalf("fencing token %d after %d", fence, s.lastFence)
		}
		found, s.lastFence = i, fence
	}
	return found
}

// watch checks the holders every 20 ms for a duration and returns for how long
// there was one.
func (s *sim) watch(d time.Duration) time.Duration {
	s.t.Helper()
	const sample = 20 * time.Millisecond
	var held time.Duration
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(sample) {
		if s.holder() >= 0 {
			held += sample
		}
	}
	return held
}

// awaitHolder returns the index of the holder once there is one.
func (s *sim) awaitHolder(limit time.Duration) int {
	s.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if i := s.holder(); i >= 0 {
			return i
		}
	}
	s.t.Fatalf("no holder within %v", limit)
	return -1
}

// Guards against two holders at the same time, and against a cell that stays
// without a holder after the faults end.
func TestNoOverlap(t *testing.T) {
	const seeds = 12
	table := []struct {
		name  string
		fault func(s *sim, r *rand.Rand)
	}{
		{"holder paused", func(s *sim, r *rand.Rand) {
			if i := s.holder(); i >= 0 {
				s.pause(i, randomDuration(r, 25*time.Second))
			}
		}},
		{"any host paused", func(s *sim, r *rand.Rand) { s.pause(r.IntN(len(s.leases)), randomDuration(r, 25*time.Second)) }},
		{"store down", func(s *sim, r *rand.Rand) { s.fault(btmemstore.Fault{Down: true}, randomDuration(r, 15*time.Second)) }},
		{"store slow", func(s *sim, r *rand.Rand) {
			s.fault(btmemstore.Fault{Latency: randomDuration(r, 4*time.Second)}, randomDuration(r, 20*time.Second))
		}},
		{"reply lost", func(s *sim, r *rand.Rand) {
			s.fault(btmemstore.Fault{LoseReplies: 1 + r.IntN(3)}, randomDuration(r, 10*time.Second))
		}},
		{"write dropped", func(s *sim, r *rand.Rand) {
			s.fault(btmemstore.Fault{DropWrites: 1 + r.IntN(3)}, randomDuration(r, 10*time.Second))
		}},
		{"stale reads", func(s *sim, r *rand.Rand) {
			old := max(1, uint64(s.store.Revision())-uint64(r.IntN(3)))
			s.fault(btmemstore.Fault{StaleReads: old, LoseReplies: r.IntN(2)}, randomDuration(r, 15*time.Second))
		}},
		{"object deleted", func(s *sim, _ *rand.Rand) {
			key := s.leases[0].key()
			if o, err := s.store.Get(s.t.Context(), key); err == nil {
				_, err = s.store.Delete(s.t.Context(), key, o.Version)
				assert.NilError(s.t, err)
			}
		}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					r := rand.New(rand.NewPCG(seed, 7))
					s := newSim(t, 3)
					s.watch(2 * time.Second)
					for range 4 {
						row.fault(s, r)
						s.watch(randomDuration(r, 15*time.Second))
					}
					s.awaitHolder(25 * time.Second)
				})
			}
		})
	}
}

func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// pause blocks a host for a duration while the others continue.
func (s *sim) pause(i int, d time.Duration) {
	s.gates[i].pause()
	s.watch(d)
	s.gates[i].resume()
}

func (s *sim) fault(f btmemstore.Fault, d time.Duration) {
	s.store.SetFault(f)
	s.watch(d)
	s.store.SetFault(btmemstore.Fault{})
}

// Guards against acquisitions before the holder's lease has expired or long
// after it, and against releases that leave the cell without a holder.
func TestTakeover(t *testing.T) {
	run := func(name string, f func(t *testing.T, s *sim)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(t, newSim(t, 3)) })
		})
	}
	run("a paused holder finds its lease expired and is replaced", func(t *testing.T, s *sim) {
		first := s.awaitHolder(time.Second)
		time.Sleep(10 * time.Second)
		s.gates[first].pause()
		start := time.Now()
		time.Sleep(Duration)
		_, _, ok := s.leases[first].Held()
		assert.Assert(t, !ok)
		second := s.awaitHolder(6 * time.Second)
		assert.Assert(t, second != first)
		assert.Assert(t, time.Since(start) <= RenewPeriod+WaitDuration+maxAcquireDelay+time.Second)
		s.gates[first].resume()
		s.watch(30 * time.Second)
		assert.Equal(t, s.holder(), second)
	})
	run("a healthy holder keeps the lease and its fencing token", func(t *testing.T, s *sim) {
		first := s.awaitHolder(time.Second)
		fence, _, _ := s.leases[first].Held()
		held := s.watch(2 * time.Minute)
		assert.Equal(t, held, 2*time.Minute)
		after, _, _ := s.leases[first].Held()
		assert.Equal(t, after, fence)
	})
	run("a lost store reply does not end the lease", func(t *testing.T, s *sim) {
		first := s.awaitHolder(time.Second)
		s.store.SetFault(btmemstore.Fault{LoseReplies: 3})
		assert.Equal(t, s.watch(15*time.Second), 15*time.Second)
		assert.Equal(t, s.holder(), first)
	})
	run("a released lease is acquired after RequestRead", func(t *testing.T, s *sim) {
		first := s.awaitHolder(time.Second)
		time.Sleep(2 * time.Second)
		assert.NilError(t, s.leases[first].Release(t.Context()))
		for _, l := range s.leases {
			l.RequestRead()
		}
		second := s.awaitHolder(time.Second)
		assert.Assert(t, second != first)
		s.watch(30 * time.Second)
		assert.Equal(t, s.holder(), second)
	})
	run("candidates that observe new versions do not read", func(t *testing.T, s *sim) {
		first := s.awaitHolder(time.Second)
		time.Sleep(20 * time.Second)
		before := s.store.Counts().Reads
		for range 60 {
			for i, l := range s.leases {
				if i != first {
					l.Observe(s.leases[first].Version())
				}
			}
			time.Sleep(700 * time.Millisecond)
		}
		assert.Equal(t, s.store.Counts().Reads, before)
	})
	run("a candidate with the fastest clock waits for a holder with the slowest", func(t *testing.T, s *sim) {
		// The clock of h0 is the slowest, that of h2 the fastest.
		first := s.awaitHolder(time.Second)
		for ; first != 0; first = s.awaitHolder(20 * time.Second) {
			assert.NilError(t, s.leases[first].Resign(t.Context(), 10*time.Second))
		}
		for _, l := range s.leases {
			l.mu.Lock()
			l.machine.acquireDelay = 0
			l.mu.Unlock()
		}
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); s.watch(20 * time.Millisecond) {
			if time.Until(end) < 10*time.Second {
				s.gates[first].pause()
			}
			o, err := s.store.Get(t.Context(), s.leases[0].key())
			assert.NilError(t, err)
			for _, l := range s.leases {
				l.Observe(o.Version)
			}
		}
		assert.Assert(t, s.awaitHolder(5*time.Second) != first)
	})
	run("a release while the store is down returns when its context ends", func(t *testing.T, s *sim) {
		first := s.awaitHolder(time.Second)
		s.store.SetFault(btmemstore.Fault{Down: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, s.leases[first].Release(ctx), context.DeadlineExceeded)
		assert.Equal(t, s.holder(), -1)
		assert.Assert(t, s.leases[first].Dump().(State).Releasing)
	})
}

// Guards against a lease that counts from a late store reply or from a repeated
// attempt instead of the first attempt.
func TestLeaseStart(t *testing.T) {
	start := time.Now()
	ids := 0
	m := &machine{newChangeID: func() string { ids++; return fmt.Sprint(ids) }}
	m.handleRead(start, 0, "", Record{}, nil)
	assert.Equal(t, m.nextStep(start).kind, stepWrite)
	m.handleWrite(start.Add(time.Second), 0, bramleytack.ErrStoreUnknown)
	assert.Equal(t, m.nextStep(start.Add(time.Second)).kind, stepRead)
	m.handleRead(start.Add(time.Second), 0, "", Record{}, nil)
	assert.Equal(t, m.nextStep(start.Add(2*time.Second)).kind, stepWrite)
	m.handleWrite(start.Add(4*time.Second), 1, nil)
	fence, left, ok := m.held(start.Add(5 * time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, fence, bramleytack.Fence(1))
	assert.Equal(t, left, Duration-5*time.Second)
	_, _, ok = m.held(start.Add(Duration))
	assert.Assert(t, !ok)
}

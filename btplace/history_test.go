package btplace

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btlease"
	"bramleytack/internal/btengine"
	"bramleytack/internal/btmemstore"
)

// seeds is the number of interleavings per kind of engine.
const seeds = 120

// engines is the number of engines in a run.
const engines = 4

// latency is the time of a call of the store and of a dial.
const latency = 100 * time.Millisecond

// pausable is a lease whose answer is out of date after a pause.
type pausable struct {
	Lease
	gate *gate
}

func (p *pausable) Held() (bramleytack.Fence, time.Duration, bool) {
	f, left, ok := p.Lease.Held()
	p.gate.wait()
	return f, left, ok
}

// Guards against an order of an old holder that takes effect after the
// successor's first order: the old holder is paused past its lease between the
// check and the sending, its orders are slow, or it resigns.
func TestSuccession(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checksFence=%v", checks), func(t *testing.T) {
			holders := 0
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) { holders += succession(t, seed, checks) })
			}
			assert.Assert(t, holders > 2*seeds, "%d holders acted in %d runs", holders, seeds)
		})
	}
}

// host is a host with a controller. Its store calls for the lease and its other
// calls can be paused apart.
type host struct {
	link  link
	lease *btlease.Lease
	store gate
}

// run is one seeded run of two hosts.
type run struct {
	*fleet
	rng     *rand.Rand
	store   *btmemstore.Store
	hosts   [2]*host
	running sync.WaitGroup
}

// succession runs two hosts through several changes of the holder. It returns
// the number of holders whose orders took effect.
func succession(t *testing.T, seed uint64, checks bool) int {
	cfg := btengine.DefaultConfig()
	cfg.ChecksFence, cfg.LoadTime, cfg.ReportLag = checks, 200*time.Millisecond, 100*time.Millisecond
	r := &run{
		fleet: newFleet(t, engines, cfg, bramleytack.Model{Name: "m", Version: "1", Replicas: engines}),
		rng:   rand.New(rand.NewPCG(seed, 1)), store: btmemstore.New(),
	}
	times := Times{Period: 300 * time.Millisecond, DrainQuiet: 300 * time.Millisecond, Refused: time.Second}.withDefaults()
	delays := rand.New(rand.NewPCG(seed, 2))
	r.delay = func() time.Duration { return time.Duration(delays.Int64N(int64(times.OrderTimeout))) }
	// Calls that take time let a pause fall between any two of them.
	r.latency = latency
	putBudget(t, r.store, Budget{LoadsPerMinute: 600, Burst: 100, OtherShare: 1})
	r.store.SetFault(btmemstore.Fault{Latency: latency})
	ctx, cancel := context.WithCancel(t.Context())
	for i := range r.hosts {
		h := &host{link: link{fleet: r.fleet}}
		h.lease = &btlease.Lease{
			Store: &gated{r.store, &h.store}, Timer: r.timer, Cell: "c", Host: bramleytack.HostID(fmt.Sprint("h", i)),
			PeerAddr: netip.MustParseAddrPort("127.0.0.1:1"),
		}
		r.running.Go(func() { h.lease.Run(ctx) })
		l := &pausable{h.lease, &h.link.gate}
		r.start(t, &h.link, l, &gated{r.store, &h.link.gate}, times, Policy{MinCapacity: 0.1, MaxReplace: engines})
		r.hosts[i] = h
	}
	for range 5 {
		time.Sleep(12 * time.Second)
		r.bump(2500 * time.Millisecond)
		r.disturb()
		r.bump(3 * time.Second)
		r.bump(3 * time.Second)
	}
	time.Sleep(time.Minute)
	assert.Equal(t, r.placed(loaded("m", r.Snapshot().Models["m"].Version)), engines, "seed %d", seed)
	cancel()
	r.running.Wait()
	return assertFences(t, r.fleet, seed)
}

// bump changes the version, so that orders are due, and waits up to a time.
func (r *run) bump(limit time.Duration) {
	r.version("m", fmt.Sprint(r.rng.IntN(9)))
	time.Sleep(time.Duration(r.rng.Int64N(int64(limit))))
}

// after does something later.
func (r *run) after(limit time.Duration, do func()) {
	d := time.Duration(r.rng.Int64N(int64(limit)))
	r.running.Go(func() { time.Sleep(d); do() })
}

func (r *run) disturb() {
	h, other := r.hosts[0], r.hosts[1]
	if _, _, ok := h.lease.Held(); !ok {
		h, other = other, h
	}
	switch r.rng.IntN(8) {
	case 0, 1, 2:
		h.link.gate.pause()
		h.store.pause()
		r.after(25*time.Second, func() { h.link.gate.resume(); h.store.resume() })
	case 3, 4:
		h.link.gate.pause()
		r.after(3*time.Second, h.link.gate.resume)
		r.resign(h, other)
	case 5:
		r.resign(h, other)
	case 6:
		r.store.SetFault(btmemstore.Fault{Down: true})
		r.after(15*time.Second, func() { r.store.SetFault(btmemstore.Fault{Latency: latency}) })
	default:
		r.mu.Lock()
		r.lose += 3
		r.mu.Unlock()
		r.with("e00", func(now time.Time, c *btengine.Core) { c.Restart(now) })
	}
}

func (r *run) resign(h, other *host) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = h.lease.Resign(ctx, 3*time.Second)
	other.lease.RequestRead()
}

// assertFences checks that fencing numbers never fall among the orders that an
// engine accepted. It returns the number of holders.
func assertFences(t *testing.T, f *fleet, seed uint64) int {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	holders := map[bramleytack.Fence]bool{}
	for id, es := range f.effects {
		last := bramleytack.Fence(0)
		for _, e := range es {
			if !e.accepted {
				continue
			}
			if e.order.Fence < last {
				t.Errorf("seed %d: %s took an order with %d after one with %d", seed, id, e.order.Fence, last)
			}
			last = max(last, e.order.Fence)
			holders[last] = true
		}
	}
	return len(holders)
}

func loaded(model, version string) bramleytack.LoadedModel {
	return bramleytack.LoadedModel{Model: model, Version: version}
}

func putBudget(t *testing.T, store *btmemstore.Store, b Budget) {
	t.Helper()
	data, err := json.Marshal(b)
	assert.NilError(t, err)
	_, err = store.Put(t.Context(), bramleytack.Object{Key: BudgetKey, Data: data}, 0)
	assert.NilError(t, err)
}

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

// seedsPerKind is the number of seeded runs with engines that check fencing
// tokens, and also with engines that do not.
const seedsPerKind = 120

// enginesPerRun is the number of engines in a run.
const enginesPerRun = 4

// callLatency is the duration of a store call, and the time until a command is
// written.
const callLatency = 100 * time.Millisecond

// gatedLease is a lease whose Held returns an outdated result after a pause.
type gatedLease struct {
	Lease
	gate *gate
}

func (l *gatedLease) Held() (bramleytack.Fence, time.Duration, bool) {
	f, left, ok := l.Lease.Held()
	l.gate.wait()
	return f, left, ok
}

// Guards against a command of an old lease holder that takes effect after the
// successor's first command. The old holder is paused past its lease between the
// check and the sending, its commands are slow, or it resigns.
func TestSuccession(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		t.Run(fmt.Sprintf("checksFence=%v", checksFence), func(t *testing.T) {
			holders := 0
			for seed := range uint64(seedsPerKind) {
				synctest.Test(t, func(t *testing.T) { holders += succession(t, seed, checksFence) })
			}
			assert.Assert(t, holders > 2*seedsPerKind, "%d holders acted in %d runs", holders, seedsPerKind)
		})
	}
}

// testHost is a host with a controller. leaseGate pauses the store calls of its
// lease, the gate of upstreams all its other calls.
type testHost struct {
	upstreams hostUpstreams
	lease     *btlease.Lease
	leaseGate gate
}

// successionRun is one seeded run of two hosts.
type successionRun struct {
	*fleet
	rng     *rand.Rand
	store   *btmemstore.Store
	hosts   [2]*testHost
	running sync.WaitGroup
}

// succession runs two hosts through several changes of the holder. It returns
// the number of holders whose commands took effect.
func succession(t *testing.T, seed uint64, checksFence bool) int {
	cfg := btengine.DefaultConfig()
	cfg.ChecksFence, cfg.LoadTime, cfg.ReportLag = checksFence, 200*time.Millisecond, 100*time.Millisecond
	r := &successionRun{
		fleet: newFleet(t, enginesPerRun, cfg, bramleytack.Model{Name: "m", Version: "1", Replicas: enginesPerRun}),
		rng:   rand.New(rand.NewPCG(seed, 1)), store: btmemstore.New(),
	}
	times := Times{Period: 300 * time.Millisecond, DrainIdle: 300 * time.Millisecond, RetryDelay: time.Second}.withDefaults()
	delays := rand.New(rand.NewPCG(seed, 2))
	r.effectDelay = func() time.Duration { return time.Duration(delays.Int64N(int64(times.CommandTimeout))) }
	// Calls that take time let a pause fall between any two of them.
	r.writeDelay = callLatency
	putBudget(t, r.store, Budget{LoadsPerMinute: 600, Burst: 100, OtherShare: 1})
	r.store.SetFault(btmemstore.Fault{Latency: callLatency})
	ctx, cancel := context.WithCancel(t.Context())
	for i := range r.hosts {
		h := &testHost{upstreams: hostUpstreams{fleet: r.fleet}}
		h.lease = &btlease.Lease{
			Store: &gatedStore{r.store, &h.leaseGate}, Timer: r.timer, Cell: "c", Host: bramleytack.HostID(fmt.Sprint("h", i)),
			PeerAddr: netip.MustParseAddrPort("127.0.0.1:1"),
		}
		r.running.Go(func() { h.lease.Run(ctx) })
		lease := &gatedLease{h.lease, &h.upstreams.gate}
		r.startController(t, &h.upstreams, lease, &gatedStore{r.store, &h.upstreams.gate}, times, Policy{MinCapacity: 0.1, MaxReplace: enginesPerRun})
		r.hosts[i] = h
	}
	for range 5 {
		time.Sleep(12 * time.Second)
		r.changeVersion(2500 * time.Millisecond)
		r.injectFault()
		r.changeVersion(3 * time.Second)
		r.changeVersion(3 * time.Second)
	}
	time.Sleep(time.Minute)
	assert.Equal(t, r.countPlaced(loadedModel("m", r.Snapshot().Models["m"].Version)), enginesPerRun, "seed %d", seed)
	cancel()
	r.running.Wait()
	return assertFences(t, r.fleet, seed)
}

// changeVersion sets a random version, so that commands are due, and waits for a
// random time below the limit.
func (r *successionRun) changeVersion(limit time.Duration) {
	r.setVersion("m", fmt.Sprint(r.rng.IntN(9)))
	time.Sleep(time.Duration(r.rng.Int64N(int64(limit))))
}

// after calls do after a random time below the limit.
func (r *successionRun) after(limit time.Duration, do func()) {
	d := time.Duration(r.rng.Int64N(int64(limit)))
	r.running.Go(func() { time.Sleep(d); do() })
}

// injectFault causes a random fault: pauses of the lease holder, its resignation,
// an outage of the store, or lost responses and the restart of an engine.
func (r *successionRun) injectFault() {
	holder, other := r.hosts[0], r.hosts[1]
	if _, _, ok := holder.lease.Held(); !ok {
		holder, other = other, holder
	}
	switch r.rng.IntN(8) {
	case 0, 1, 2:
		holder.upstreams.gate.pause()
		holder.leaseGate.pause()
		r.after(25*time.Second, func() { holder.upstreams.gate.resume(); holder.leaseGate.resume() })
	case 3, 4:
		holder.upstreams.gate.pause()
		r.after(3*time.Second, holder.upstreams.gate.resume)
		r.resign(holder, other)
	case 5:
		r.resign(holder, other)
	case 6:
		r.store.SetFault(btmemstore.Fault{Down: true})
		r.after(15*time.Second, func() { r.store.SetFault(btmemstore.Fault{Latency: callLatency}) })
	default:
		r.mu.Lock()
		r.loseResponses += 3
		r.mu.Unlock()
		r.withEngine("e00", func(now time.Time, c *btengine.Core) { c.Restart(now) })
	}
}

// resign lets the holder resign and the other host try to acquire the lease.
func (r *successionRun) resign(holder, other *testHost) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = holder.lease.Resign(ctx, 3*time.Second)
	other.lease.RequestRead()
}

// assertFences checks that the fencing tokens of the commands that an engine
// accepted never decrease. It returns the number of holders with such commands.
func assertFences(t *testing.T, f *fleet, seed uint64) int {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	holders := map[bramleytack.Fence]bool{}
	for id, commands := range f.deliveries {
		last := bramleytack.Fence(0)
		for _, d := range commands {
			if !d.accepted {
				continue
			}
			if d.command.Fence < last {
				t.Errorf("seed %d: %s accepted a command with fencing token %d after one with %d", seed, id, d.command.Fence, last)
			}
			last = max(last, d.command.Fence)
			holders[last] = true
		}
	}
	return len(holders)
}

func loadedModel(model, version string) bramleytack.LoadedModel {
	return bramleytack.LoadedModel{Model: model, Version: version}
}

// putBudget stores the budget of all cells.
func putBudget(t *testing.T, store *btmemstore.Store, b Budget) {
	t.Helper()
	data, err := json.Marshal(b)
	assert.NilError(t, err)
	_, err = store.Put(t.Context(), bramleytack.Object{Key: BudgetKey, Data: data}, 0)
	assert.NilError(t, err)
}

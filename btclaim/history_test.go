package btclaim

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
)

const (
	seeds        = 240
	owners       = 3
	clients      = 4
	callsPerSeed = 4
)

// historyOp is the input and the output of one begin or finish in a history.
type historyOp struct {
	key     ClaimKey
	finish  bool
	outcome bramleytack.Outcome
	attempt AttemptID
	kind    DecisionKind
	failed  bool
}

// keyState is the model's state of one key. A free key has an empty attempt.
type keyState struct {
	attempt AttemptID
	done    bool
}

// model allows the decision Run only while the key is free, and Replay only
// after a finish. InProgress, NoOutcome and a failed begin are always allowed.
// A finish that failed may have taken effect.
var model = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[ClaimKey][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(historyOp).key
			byKey[k] = append(byKey[k], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() []any { return []any{keyState{}} },
	Step: func(s, in, _ any) []any {
		h, o := s.(keyState), in.(historyOp)
		if o.finish {
			return applyFinish(h, o)
		}
		switch {
		case o.failed || o.kind == InProgress || o.kind == NoOutcome:
			return []any{h}
		case o.kind == Run && h.attempt == "":
			return []any{keyState{attempt: o.attempt}}
		case o.kind == Replay && h.done:
			return []any{h}
		}
		return nil
	},
}).ToModel()

func applyFinish(h keyState, o historyOp) []any {
	if h.attempt != o.attempt || h.done {
		if o.failed {
			return []any{h}
		}
		return nil
	}
	next := keyState{}
	if o.outcome == bramleytack.Ran {
		next = keyState{attempt: h.attempt, done: true}
	}
	if o.failed {
		return []any{h, next}
	}
	return []any{next}
}

// lateStore lets some writes take effect after they were reported as unknown.
type lateStore struct {
	*btmemstore.Store
	mu        sync.Mutex
	rng       *rand.Rand
	lateShare float64
	// unconditional ignores the expected version of writes.
	unconditional bool
}

func (s *lateStore) Put(ctx context.Context, o bramleytack.Object, expected bramleytack.Revision) (bramleytack.Revision, error) {
	s.mu.Lock()
	late, delay := s.rng.Float64() < s.lateShare, time.Duration(s.rng.IntN(40))*time.Millisecond
	s.mu.Unlock()
	if s.unconditional {
		expected = 0
		if cur, err := s.Store.Get(ctx, o.Key); err == nil {
			expected = cur.Version
		}
	}
	if !late {
		return s.Store.Put(ctx, o, expected)
	}
	go func() {
		time.Sleep(delay)
		_, _ = s.Store.Put(context.Background(), o, expected)
	}()
	return 0, bramleytack.ErrStoreUnknown
}

// simulation runs owners and clients under faults and records their history.
type simulation struct {
	t     *testing.T
	timer *bttimer.Service
	store *lateStore

	mu       sync.Mutex
	rng      *rand.Rand
	shards   [owners]*Shard
	stop     [owners]context.CancelFunc
	lastTime int64
	history  []porcupine.Operation
	executed map[ClaimKey]int
	claimed  int
}

func (sim *simulation) intn(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rng.IntN(n)
}

// start replaces an owner. All owners assume to own the same shard.
func (sim *simulation) start(i int) {
	ctx, cancel := context.WithCancel(sim.t.Context())
	s := &Shard{
		Store: sim.store, Timer: sim.timer, Cell: "c", SegmentBytes: 900,
		MaxRepeatWait: 30 * time.Millisecond,
	}
	go s.Run(ctx)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.stop[i] != nil {
		sim.stop[i]()
	}
	sim.shards[i], sim.stop[i] = s, cancel
}

func (sim *simulation) owner() *Shard {
	i := sim.intn(owners)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.shards[i]
}

// record runs an operation and appends it to the history. A failed operation
// may take effect at any later time, so it never returns in the history.
func (sim *simulation) record(f func() historyOp) historyOp {
	sim.mu.Lock()
	sim.lastTime++
	call := sim.lastTime
	sim.mu.Unlock()
	s := f()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.lastTime++
	op := porcupine.Operation{Input: s, Call: call, Return: sim.lastTime}
	if s.failed {
		op.Return = math.MaxInt64
	}
	sim.history = append(sim.history, op)
	return s
}

func (sim *simulation) client(ctx context.Context, id int) {
	for n := range callsPerSeed {
		key := ClaimKey{Workspace: "a", Service: "orders", Key: fmt.Sprint(sim.intn(2))}
		ctx, cancel := context.WithTimeout(ctx, time.Duration(20+sim.intn(400))*time.Millisecond)
		begin := sim.record(func() historyOp {
			d, err := sim.owner().Begin(ctx, key, bramleytack.Fingerprint{}, "e", bramleytack.RequestID(fmt.Sprint(id, n)))
			if d.Kind == Replay {
				assert.Check(sim.t, len(d.Response.Body) > 0)
			}
			return historyOp{key: key, kind: d.Kind, attempt: d.Attempt, failed: err != nil}
		})
		cancel()
		if !begin.failed && begin.kind == Run {
			sim.dispatch(key, begin.attempt)
		}
		time.Sleep(time.Duration(sim.intn(30)) * time.Millisecond)
	}
}

// dispatch simulates the dispatch of a call. The call runs, is rejected as not
// run, or runs without a record of its outcome.
func (sim *simulation) dispatch(key ClaimKey, attempt AttemptID) {
	time.Sleep(time.Duration(sim.intn(30)) * time.Millisecond)
	kind := sim.intn(4)
	sim.mu.Lock()
	sim.claimed++
	if kind != 0 {
		sim.executed[key]++
	}
	sim.mu.Unlock()
	if kind == 1 {
		return
	}
	o := bramleytack.Ran
	if kind == 0 {
		o = bramleytack.NotRun
	}
	ctx, cancel := context.WithTimeout(sim.t.Context(), 200*time.Millisecond)
	defer cancel()
	sim.record(func() historyOp {
		err := sim.owner().Finish(ctx, key, attempt, o, &bramleytack.Response{Status: 200, Body: []byte(attempt)})
		return historyOp{key: key, finish: true, outcome: o, attempt: attempt, failed: err != nil}
	})
}

// injectFaults injects faults and replaces owners until ctx ends.
func (sim *simulation) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		switch sim.intn(7) {
		case 0:
			sim.store.SetFault(btmemstore.Fault{LoseReplies: 1 + sim.intn(3)})
		case 1:
			sim.store.SetFault(btmemstore.Fault{DropWrites: 1 + sim.intn(6)})
		case 2:
			sim.store.SetFault(btmemstore.Fault{Down: true})
		case 3:
			sim.store.SetFault(btmemstore.Fault{StaleReads: uint64(1 + sim.intn(1+int(sim.store.Revision())))})
		case 4:
			sim.store.SetFault(btmemstore.Fault{Latency: time.Duration(1+sim.intn(30)) * time.Millisecond})
		case 5:
			sim.start(sim.intn(owners))
		default:
			sim.store.SetFault(btmemstore.Fault{})
		}
		_ = sim.timer.Sleep(ctx, time.Duration(sim.intn(40))*time.Millisecond)
	}
}

func simulate(t *testing.T, seed uint64, unconditional bool) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), executed: map[ClaimKey]int{}}
	synctest.Test(t, func(t *testing.T) {
		sim.t = t
		sim.timer = bttimer.New(seed)
		defer sim.timer.Close()
		sim.store = &lateStore{Store: btmemstore.New(), rng: rand.New(rand.NewPCG(seed, 2)), lateShare: 0.1, unconditional: unconditional}
		for i := range owners {
			sim.start(i)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var faults, calls sync.WaitGroup
		faults.Go(func() { sim.injectFaults(ctx) })
		for id := range clients {
			calls.Go(func() { sim.client(ctx, id) })
		}
		calls.Wait()
		cancel()
		faults.Wait()
		for _, stop := range sim.stop {
			stop()
		}
		// Owners end their last commit within its timeout.
		time.Sleep(2 * commitTimeout)
	})
	return sim
}

// violated reports whether two calls of a key ran or the model rejects the
// history.
func (sim *simulation) violated() bool {
	for _, n := range sim.executed {
		if n > 1 {
			return true
		}
	}
	return !porcupine.CheckOperations(model, sim.history)
}

// Guards against two calls that both claim one key while owners race and are
// replaced, writes are late or dropped, replies and finishes are lost, reads
// are stale or the store is down.
func TestHistories(t *testing.T) {
	total := 0
	for seed := range uint64(seeds) {
		sim := simulate(t, seed, false)
		assert.Assert(t, !sim.violated(), "seed %d", seed)
		total += sim.claimed
	}
	assert.Assert(t, total > seeds, "only %d keys were claimed", total)
}

// Guards against a history check that cannot fail: without the conditional
// update it must find a key that two calls claimed.
func TestHistoriesWithoutCondition(t *testing.T) {
	found := 0
	for seed := range uint64(seeds / 4) {
		if simulate(t, seed, true).violated() {
			found++
		}
	}
	t.Logf("%d of %d histories are violated", found, seeds/4)
	assert.Assert(t, found > 0)
}

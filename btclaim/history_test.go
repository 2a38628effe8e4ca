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

// step is the input and the output of one operation of a history.
type step struct {
	key     ClaimKey
	finish  bool
	outcome bramleytack.Outcome
	attempt AttemptID
	kind    DecisionKind
	failed  bool
}

// held is the model's state of one key. An empty attempt is a free key.
type held struct {
	attempt AttemptID
	done    bool
}

// model allows a begin to win only while the key is free. Begins that do not
// win are always safe, except that Replay needs a finished call. A finish that
// failed may have taken effect.
var model = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[ClaimKey][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(step).key
			byKey[k] = append(byKey[k], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() []any { return []any{held{}} },
	Step: func(s, in, _ any) []any {
		h, o := s.(held), in.(step)
		if o.finish {
			return stepFinish(h, o)
		}
		switch {
		case o.failed || o.kind == InProgress || o.kind == NoOutcome:
			return []any{h}
		case o.kind == Run && h.attempt == "":
			return []any{held{attempt: o.attempt}}
		case o.kind == Replay && h.done:
			return []any{h}
		}
		return nil
	},
}).ToModel()

func stepFinish(h held, o step) []any {
	if h.attempt != o.attempt || h.done {
		if o.failed {
			return []any{h}
		}
		return nil
	}
	next := held{}
	if o.outcome == bramleytack.Ran {
		next = held{attempt: h.attempt, done: true}
	}
	if o.failed {
		return []any{h, next}
	}
	return []any{next}
}

// lateStore lets some writes take effect after they were reported as unknown.
type lateStore struct {
	*btmemstore.Store
	mu    sync.Mutex
	rng   *rand.Rand
	share float64
	// blind switches the conditional update off.
	blind bool
}

func (s *lateStore) Put(ctx context.Context, o bramleytack.Object, expected bramleytack.Revision) (bramleytack.Revision, error) {
	s.mu.Lock()
	late, delay := s.rng.Float64() < s.share, time.Duration(s.rng.IntN(40))*time.Millisecond
	s.mu.Unlock()
	if s.blind {
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

// world runs one history.
type world struct {
	t     *testing.T
	timer *bttimer.Service
	store *lateStore

	mu       sync.Mutex
	rng      *rand.Rand
	shards   [owners]*Shard
	stop     [owners]context.CancelFunc
	clock    int64
	history  []porcupine.Operation
	executed map[ClaimKey]int
	wins     int
}

func (w *world) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// start replaces an owner. All owners believe that they own the same shard.
func (w *world) start(i int) {
	ctx, cancel := context.WithCancel(w.t.Context())
	s := &Shard{
		Store: w.store, Timer: w.timer, Cell: "c", SegmentBytes: 900,
		RepeatWait: 30 * time.Millisecond,
	}
	go s.Run(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stop[i] != nil {
		w.stop[i]()
	}
	w.shards[i], w.stop[i] = s, cancel
}

func (w *world) owner() *Shard {
	i := w.intn(owners)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shards[i]
}

// record runs an operation and appends it to the history. The effect of a
// failed operation may come at any later time.
func (w *world) record(f func() step) step {
	w.mu.Lock()
	w.clock++
	call := w.clock
	w.mu.Unlock()
	s := f()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock++
	op := porcupine.Operation{Input: s, Call: call, Return: w.clock}
	if s.failed {
		op.Return = math.MaxInt64
	}
	w.history = append(w.history, op)
	return s
}

func (w *world) client(ctx context.Context, id int) {
	for n := range callsPerSeed {
		key := ClaimKey{Workspace: "a", Service: "orders", Key: fmt.Sprint(w.intn(2))}
		ctx, cancel := context.WithTimeout(ctx, time.Duration(20+w.intn(400))*time.Millisecond)
		begin := w.record(func() step {
			d, err := w.owner().Begin(ctx, key, bramleytack.Fingerprint{}, "e", bramleytack.RequestID(fmt.Sprint(id, n)))
			if d.Kind == Replay {
				assert.Check(w.t, len(d.Response.Body) > 0)
			}
			return step{key: key, kind: d.Kind, attempt: d.Attempt, failed: err != nil}
		})
		cancel()
		if !begin.failed && begin.kind == Run {
			w.call(key, begin.attempt)
		}
		time.Sleep(time.Duration(w.intn(30)) * time.Millisecond)
	}
}

// call simulates a dispatch: it runs, is refused as not run, or runs and its
// outcome is never recorded.
func (w *world) call(key ClaimKey, attempt AttemptID) {
	time.Sleep(time.Duration(w.intn(30)) * time.Millisecond)
	kind := w.intn(4)
	w.mu.Lock()
	w.wins++
	if kind != 0 {
		w.executed[key]++
	}
	w.mu.Unlock()
	if kind == 1 {
		return
	}
	o := bramleytack.Ran
	if kind == 0 {
		o = bramleytack.NotRun
	}
	ctx, cancel := context.WithTimeout(w.t.Context(), 200*time.Millisecond)
	defer cancel()
	w.record(func() step {
		err := w.owner().Finish(ctx, key, attempt, o, &bramleytack.Response{Status: 200, Body: []byte(attempt)})
		return step{key: key, finish: true, outcome: o, attempt: attempt, failed: err != nil}
	})
}

// disturb injects faults and replaces owners until ctx ends.
func (w *world) disturb(ctx context.Context) {
	for ctx.Err() == nil {
		switch w.intn(7) {
		case 0:
			w.store.SetFault(btmemstore.Fault{LoseReplies: 1 + w.intn(3)})
		case 1:
			w.store.SetFault(btmemstore.Fault{DropWrites: 1 + w.intn(6)})
		case 2:
			w.store.SetFault(btmemstore.Fault{Down: true})
		case 3:
			w.store.SetFault(btmemstore.Fault{StaleReads: uint64(1 + w.intn(1+int(w.store.Revision())))})
		case 4:
			w.store.SetFault(btmemstore.Fault{Latency: time.Duration(1+w.intn(30)) * time.Millisecond})
		case 5:
			w.start(w.intn(owners))
		default:
			w.store.SetFault(btmemstore.Fault{})
		}
		_ = w.timer.Sleep(ctx, time.Duration(w.intn(40))*time.Millisecond)
	}
}

func runWorld(t *testing.T, seed uint64, blind bool) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), executed: map[ClaimKey]int{}}
	synctest.Test(t, func(t *testing.T) {
		w.t = t
		w.timer = bttimer.New(seed)
		defer w.timer.Close()
		w.store = &lateStore{Store: btmemstore.New(), rng: rand.New(rand.NewPCG(seed, 2)), share: 0.1, blind: blind}
		for i := range owners {
			w.start(i)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var faults, calls sync.WaitGroup
		faults.Go(func() { w.disturb(ctx) })
		for id := range clients {
			calls.Go(func() { w.client(ctx, id) })
		}
		calls.Wait()
		cancel()
		faults.Wait()
		for _, stop := range w.stop {
			stop()
		}
		// Owners end their last commit within its timeout.
		time.Sleep(2 * commitTimeout)
	})
	return w
}

// violated says whether the history lets two calls of a key run.
func (w *world) violated() bool {
	for _, n := range w.executed {
		if n > 1 {
			return true
		}
	}
	return !porcupine.CheckOperations(model, w.history)
}

// Guards against two winners of one key: owners that race or are replaced, lost
// replies, dropped and late writes, stale reads, outages and lost finishes.
func TestHistories(t *testing.T) {
	wins := 0
	for seed := range uint64(seeds) {
		w := runWorld(t, seed, false)
		assert.Assert(t, !w.violated(), "seed %d", seed)
		wins += w.wins
	}
	assert.Assert(t, wins > seeds, "only %d claims were won", wins)
}

// Guards against a history check that cannot fail: without the conditional
// update it must find two winners.
func TestHistoriesWithoutCondition(t *testing.T) {
	found := 0
	for seed := range uint64(seeds / 4) {
		if runWorld(t, seed, true).violated() {
			found++
		}
	}
	t.Logf("%d of %d histories are violated", found, seeds/4)
	assert.Assert(t, found > 0)
}

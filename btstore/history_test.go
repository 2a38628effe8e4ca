package btstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btadmin"
	"bramleytack/btconfig"
	"bramleytack/btrecord"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
)

const (
	operators          = 4
	changesPerOperator = 250
	daemons            = 3
	workspaces         = 3
	// propagationTime is the time within which each daemon applies a change.
	propagationTime = 3 * time.Second
)

// attempt is one conditional write of an operator.
type attempt struct {
	name     string
	expected bramleytack.Revision
	// tag identifies the attempt; it is written into the record.
	tag string
}

// result is the result of an attempt as the operator saw it. For an attempt with
// an unknown effect, check fills it in from the store's history.
type result struct {
	applied bool
	unknown bool
	version bramleytack.Revision
}

// versionModel specifies how conditional writes change the version of a record.
var versionModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, op := range ops {
			name := op.Input.(attempt).name
			byName[name] = append(byName[name], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byName {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return bramleytack.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(bramleytack.Revision), input.(attempt), output.(result)
		switch {
		case out.applied:
			return in.expected == current && out.version > current, out.version
		case out.unknown:
			return true, current
		}
		return in.expected != current, current
	},
}

// raceTest runs operators that change the same records concurrently, on a
// platform with faults.
type raceTest struct {
	*testing.T
	platform *platform
	admins   []*btadmin.Admin
	clock    atomic.Int64
	mu       sync.Mutex
	ops      []porcupine.Operation
}

// Guards against configuration changes that are lost, reverted or reported with
// the wrong result when operators make concurrent changes to a store that loses
// responses, drops writes, returns stale state and has silent watches, and
// against a daemon whose snapshot returns to an older state.
func TestOperatorRace(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRace(t, seed) })
		})
	}
}

func runRace(t *testing.T, seed uint64) {
	r := &raceTest{T: t, platform: newPlatform(t)}
	ctx, cancel := context.WithCancel(t.Context())
	var background, writers sync.WaitGroup
	for range daemons {
		r.startDaemon(ctx, &background, seed)
	}
	faultCtx, stopFaults := context.WithCancel(ctx)
	background.Go(func() { r.injectFaults(faultCtx, rand.New(rand.NewPCG(seed, 0))) })
	for i := range operators {
		writers.Go(func() { r.makeChanges(i, rand.New(rand.NewPCG(seed, uint64(i+1)))) })
	}
	writers.Wait()
	stopFaults()
	time.Sleep(propagationTime)
	r.platform.SetFault(btmemstore.Fault{})
	time.Sleep(propagationTime)
	synctest.Wait()
	r.check()
	cancel()
	background.Wait()
}

func (r *raceTest) startDaemon(ctx context.Context, background *sync.WaitGroup, seed uint64) {
	timers := bttimer.New(seed)
	r.Cleanup(timers.Close)
	store, cfg := r.platform.client(r.T), btconfig.New()
	w := &btconfig.Watcher{Store: store, Config: cfg, Timer: timers, Seed: seed + uint64(len(r.admins))}
	background.Go(func() { _ = w.Run(ctx) })
	background.Go(func() { r.checkMonotonic(ctx, cfg) })
	r.admins = append(r.admins, &btadmin.Admin{Store: store, Config: cfg, Timer: timers})
}

// checkMonotonic checks that neither the revision of a daemon's snapshot nor the
// weight of a workspace decreases. Each change adds 1 to a weight.
func (r *raceTest) checkMonotonic(ctx context.Context, cfg *btconfig.Config) {
	changes, cancel := cfg.Subscribe()
	defer cancel()
	last := cfg.Snapshot()
	for {
		select {
		case <-changes:
		case <-ctx.Done():
			return
		}
		s := cfg.Snapshot()
		assert.Check(r, s.Revision >= last.Revision)
		for name, w := range last.Workspaces {
			now, ok := s.Workspaces[name]
			assert.Check(r, ok && now.Weight >= w.Weight, "weight of %s decreased from %d", name, w.Weight)
		}
		last = s
	}
}

func (r *raceTest) injectFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		f := btmemstore.Fault{
			Latency:       time.Duration(1+rng.IntN(5)) * time.Millisecond,
			LoseReplies:   rng.IntN(4),
			DropWrites:    rng.IntN(4),
			SilentWatches: rng.IntN(4) == 0,
			Down:          rng.IntN(10) == 0,
		}
		if rev := uint64(r.platform.Revision()); rng.IntN(3) == 0 && rev > 10 {
			f.StaleReads = rev - uint64(rng.IntN(10))
		}
		r.platform.SetFault(f)
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
}

// makeChanges makes changes until changesPerOperator of them are known to have
// taken effect.
func (r *raceTest) makeChanges(operator int, rng *rand.Rand) {
	for n, done := 0, 0; done < changesPerOperator; n++ {
		admin := r.admins[rng.IntN(daemons)]
		in := attempt{name: fmt.Sprint("w", rng.IntN(workspaces)), tag: fmt.Sprintf("%d-%d", operator, n)}
		record, ok := r.prepare(admin, &in)
		if !ok {
			continue
		}
		call := r.clock.Add(1)
		v, err := admin.Apply(r.Context(), record, in.expected)
		out, sent := resultOf(v, err)
		if !sent {
			continue
		}
		if out.applied {
			done++
		}
		r.mu.Lock()
		r.ops = append(r.ops, porcupine.Operation{ClientId: operator, Input: in, Output: out, Call: call, Return: r.clock.Add(1)})
		r.mu.Unlock()
	}
}

// prepare reads a workspace and returns it with its weight raised by 1.
func (r *raceTest) prepare(admin *btadmin.Admin, in *attempt) (btrecord.Record, bool) {
	key := bramleytack.Key{Kind: btrecord.KindWorkspace, Name: in.name}
	got, err := admin.Get(r.Context(), key)
	switch {
	case err == nil:
		in.expected = got.Version
	case bramleytack.AsError(err).Code == bramleytack.CodeNotFound:
		got.Record = btrecord.Workspaces.New(btrecord.Workspace{Workspace: bramleytack.Workspace{Name: bramleytack.WorkspaceID(in.name)}})
	default:
		return got.Record, false
	}
	w, findings := btrecord.Workspaces.Value(got.Record)
	assert.Check(r, findings.Err())
	w.Weight++
	record, err := btrecord.Workspaces.Set(got.Record, w)
	assert.Check(r, err)
	record.Spec["xTag"] = in.tag
	return record, true
}

func resultOf(v bramleytack.Revision, err error) (out result, sent bool) {
	switch {
	case err == nil:
		return result{applied: true, version: v}, true
	case bramleytack.OutcomeOf(err) == bramleytack.Unknown:
		return result{unknown: true}, true
	}
	return result{}, errors.Is(err, bramleytack.ErrConflict) || bramleytack.AsError(err).Code == bramleytack.CodeConflict
}

// check compares the operators' results with the store's history and the final
// snapshots of the daemons.
func (r *raceTest) check() {
	written := r.storeHistory()
	applied := 0
	for i, op := range r.ops {
		tag := op.Input.(attempt).tag
		out := op.Output.(result)
		v, ok := written[tag]
		if out.unknown && ok {
			// The write may have taken effect after the operator's call returned.
			out = result{applied: true, version: v}
			r.ops[i].Return = r.clock.Add(1)
		}
		r.ops[i].Output = out
		assert.Equal(r, out.applied, ok, "attempt %s: %+v", tag, op)
		assert.Equal(r, out.version, v)
		if ok {
			applied++
		}
	}
	assert.Equal(r, applied, len(written))
	assert.Equal(r, porcupine.CheckOperations(versionModel, r.ops), true)
	total := 0
	for _, w := range r.admins[0].Config.Snapshot().Workspaces {
		total += w.Weight
	}
	assert.Equal(r, total, applied)
	for _, a := range r.admins {
		assert.Equal(r, a.Config.Digest(), r.admins[0].Config.Digest())
	}
	r.Logf("%d attempts, %d changes applied, counts %+v", len(r.ops), applied, r.platform.Counts())
}

// storeHistory returns the version at which each tag was written. It checks that
// each change was based on the previous one.
func (r *raceTest) storeHistory() map[string]bramleytack.Revision {
	w, err := r.platform.Watch(r.Context(), btrecord.KindWorkspace, 0)
	assert.NilError(r, err)
	defer w.Close()
	written := map[string]bramleytack.Revision{}
	weights := map[string]int{}
	for v := bramleytack.Revision(0); v < r.platform.Revision(); {
		o, err := w.Next(r.Context())
		assert.NilError(r, err)
		v = o.Version
		var body struct {
			Spec struct {
				Weight int    `json:"weight"`
				Tag    string `json:"xTag"`
			} `json:"spec"`
		}
		assert.NilError(r, json.Unmarshal(o.Data, &body))
		weights[o.Name]++
		assert.Equal(r, body.Spec.Weight, weights[o.Name], "%s at version %d", o.Name, v)
		_, duplicate := written[body.Spec.Tag]
		assert.Assert(r, !duplicate, "attempt %s took effect twice", body.Spec.Tag)
		written[body.Spec.Tag] = v
	}
	return written
}

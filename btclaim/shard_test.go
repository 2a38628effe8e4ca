package btclaim

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
)

// env starts shards over one store. Each acts as the same shard at another
// daemon.
type env struct {
	t     *testing.T
	store *btmemstore.Store
	timer *bttimer.Service
}

func (e env) shard() *Shard {
	s := &Shard{Store: e.store, Timer: e.timer, Cell: "c", SegmentBytes: 1200}
	go s.Run(e.t.Context())
	return s
}

func run(t *testing.T, name string, f func(t *testing.T, e env)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := env{t: t, store: btmemstore.New(), timer: bttimer.New(1)}
			defer e.timer.Close()
			f(t, e)
		})
	})
}

func key(name string) ClaimKey { return ClaimKey{Workspace: "a", Service: "orders", Key: name} }

func begin(t *testing.T, c Claims, name string) (Decision, error) {
	t.Helper()
	return c.Begin(t.Context(), key(name), bramleytack.Fingerprint{1}, "e", "r")
}

func assertBegin(t *testing.T, c Claims, name string, want DecisionKind) Decision {
	t.Helper()
	d, err := begin(t, c, name)
	assert.NilError(t, err)
	assert.Equal(t, d.Kind, want)
	return d
}

func assertFinish(t *testing.T, c Claims, name string, a AttemptID, o bramleytack.Outcome) {
	t.Helper()
	r := &bramleytack.Response{Status: 201, Header: http.Header{"X": {"1"}}, Body: []byte("answer")}
	assert.NilError(t, c.Finish(t.Context(), key(name), a, o, r))
}

// assertNotRun checks that err has the outcome NotRun.
func assertNotRun(t *testing.T, err error) {
	t.Helper()
	assert.Assert(t, err != nil)
	assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.NotRun)
}

// Guards against wrong decisions on repeats.
func TestShardStates(t *testing.T) {
	run(t, "done is replayed by another owner", func(t *testing.T, e env) {
		a := e.shard()
		d := assertBegin(t, a, "k", Run)
		assertFinish(t, a, "k", d.Attempt, bramleytack.Ran)
		r := assertBegin(t, e.shard(), "k", Replay)
		assert.Equal(t, string(r.Response.Body), "answer")
		assert.Equal(t, r.Response.Header.Get("X"), "1")
		assert.Equal(t, r.Status, 201)
	})
	run(t, "notRun frees the key, and a late finish of the old attempt fails", func(t *testing.T, e env) {
		a := e.shard()
		d := assertBegin(t, a, "k", Run)
		assertFinish(t, a, "k", d.Attempt, bramleytack.NotRun)
		assertBegin(t, e.shard(), "k", Run)
		err := e.shard().Finish(t.Context(), key("k"), d.Attempt, bramleytack.Ran, nil)
		assert.ErrorIs(t, err, errNoSuchAttempt)
	})
	run(t, "a later outcome of an attempt is ignored", func(t *testing.T, e env) {
		a := e.shard()
		d := assertBegin(t, a, "k", Run)
		assertFinish(t, a, "k", d.Attempt, bramleytack.Ran)
		assertFinish(t, a, "k", d.Attempt, bramleytack.NotRun)
		assertBegin(t, a, "k", Replay)
	})
	run(t, "another body is rejected in every state", func(t *testing.T, e env) {
		a := e.shard()
		d := assertBegin(t, a, "k", Run)
		for _, o := range []bramleytack.Outcome{bramleytack.Unknown, bramleytack.NotRun} {
			assertFinish(t, a, "k", d.Attempt, o)
			other, err := a.Begin(t.Context(), key("k"), bramleytack.Fingerprint{2}, "e", "r")
			assert.NilError(t, err)
			assert.Equal(t, other.Kind, KeyReused)
		}
	})
	run(t, "a long response is not kept", func(t *testing.T, e env) {
		a := e.shard()
		d := assertBegin(t, a, "k", Run)
		r := &bramleytack.Response{Status: 200, Body: make([]byte, MaxKeptResponseBytes+1)}
		assert.NilError(t, a.Finish(t.Context(), key("k"), d.Attempt, bramleytack.Ran, r))
		assert.Equal(t, assertBegin(t, a, "k", ResponseNotKept).Status, 200)
	})
	run(t, "a claim without outcome is never run again", func(t *testing.T, e env) {
		assertBegin(t, e.shard(), "k", Run)
		assertBegin(t, e.shard(), "k", InProgress)
		time.Sleep(DefaultOutcomeTimeout)
		assertBegin(t, e.shard(), "k", NoOutcome)
	})
	run(t, "an abandoned begin frees its own key only", func(t *testing.T, e env) {
		a := e.shard()
		assertBegin(t, a, "k", Run)
		assert.NilError(t, e.shard().Abandon(t.Context(), key("k"), "e", "other"))
		assertBegin(t, e.shard(), "k", InProgress)
		assert.NilError(t, e.shard().Abandon(t.Context(), key("k"), "e", "r"))
		assertBegin(t, e.shard(), "k", Run)
	})
	run(t, "a repeat waits for the outcome", func(t *testing.T, e env) {
		a := e.shard()
		d := assertBegin(t, a, "k", Run)
		go func() {
			time.Sleep(DefaultMaxRepeatWait / 2)
			assertFinish(t, a, "k", d.Attempt, bramleytack.Ran)
		}()
		start := time.Now()
		assertBegin(t, a, "k", Replay)
		assert.Assert(t, time.Since(start) < DefaultMaxRepeatWait)
	})
	run(t, "a repeat finds the outcome that another owner recorded", func(t *testing.T, e env) {
		a, b := e.shard(), e.shard()
		assertBegin(t, b, "warm-up", Run)
		d := assertBegin(t, a, "k", Run)
		go func() {
			time.Sleep(DefaultMaxRepeatWait / 2)
			assertFinish(t, b, "k", d.Attempt, bramleytack.Ran)
		}()
		assertBegin(t, a, "k", Replay)
	})
	run(t, "a key that is not UTF-8 is rejected", func(t *testing.T, e env) {
		_, err := begin(t, e.shard(), "\xff")
		assertNotRun(t, err)
	})
}

// Guards against calls that run twice, or that are not dispatched but stay
// claimed, after a fault of the store during a begin.
func TestShardFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault  btmemstore.Fault
		claims bool
		// repeat is the decision of a repeat at another owner, after the fault
		// is over and the first owner has committed again.
		repeat DecisionKind
	}{
		"lost reply":              {btmemstore.Fault{LoseReplies: 1}, true, InProgress},
		"two lost replies":        {btmemstore.Fault{LoseReplies: 2}, true, InProgress},
		"dropped write":           {btmemstore.Fault{DropWrites: 1}, true, InProgress},
		"all writes dropped":      {btmemstore.Fault{DropWrites: 100}, false, Run},
		"store down":              {btmemstore.Fault{Down: true}, false, Run},
		"slow beyond the timeout": {btmemstore.Fault{Latency: 2 * commitTimeout}, false, Run},
		"lost reply, stale reads": {btmemstore.Fault{LoseReplies: 1, StaleReads: 1}, false, Run},
	} {
		run(t, name, func(t *testing.T, e env) {
			a := e.shard()
			assertBegin(t, a, "warm-up", Run)
			e.store.SetFault(c.fault)
			d, err := begin(t, a, "k")
			if c.claims {
				assert.NilError(t, err)
				assert.Equal(t, d.Kind, Run)
			} else {
				assertNotRun(t, err)
			}
			e.store.SetFault(btmemstore.Fault{})
			time.Sleep(time.Second)
			assertBegin(t, a, "other", Run)
			assertBegin(t, a, "another", Run)
			assertBegin(t, e.shard(), "k", c.repeat)
		})
	}
	run(t, "a begin whose context ends frees the key", func(t *testing.T, e env) {
		a := e.shard()
		assertBegin(t, a, "warm-up", Run)
		e.store.SetFault(btmemstore.Fault{Latency: time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := a.Begin(ctx, key("k"), bramleytack.Fingerprint{1}, "e", "r")
		assertNotRun(t, err)
		time.Sleep(10 * time.Second)
		assertBegin(t, e.shard(), "k", Run)
	})
	run(t, "a repeat of a claim without outcome never gets NotRun", func(t *testing.T, e env) {
		a := e.shard()
		assertBegin(t, a, "k", Run)
		e.store.SetFault(btmemstore.Fault{Down: true})
		assertBegin(t, a, "k", InProgress)
	})
}

// Guards against claims that are lost, made twice or never deleted when
// records move from the head to segments.
func TestShardSegments(t *testing.T) {
	names := func(t *testing.T, e env) string {
		list, _, err := e.store.List(t.Context(), Kind)
		assert.NilError(t, err)
		var names []string
		for _, o := range list {
			names = append(names, strings.TrimPrefix(o.Name, "c.0."))
		}
		return strings.Join(names, " ")
	}
	run(t, "stale owners cannot claim a key in two segments", func(t *testing.T, e env) {
		a, b := e.shard(), e.shard()
		assertBegin(t, b, "first", Run)
		assertBegin(t, a, "first", InProgress)
		for i := range 20 {
			assertBegin(t, a, fmt.Sprint(i), Run)
		}
		for i := range 20 {
			assertBegin(t, b, fmt.Sprint(i), InProgress)
		}
		assert.Assert(t, len(a.cache.header.Segments) > 2)
	})
	run(t, "after a conflict an owner keeps the other owner's segment and deletes its own", func(t *testing.T, e env) {
		a, b := e.shard(), e.shard()
		assertBegin(t, a, "a", Run)
		assertBegin(t, b, "b", Run)
		b.SegmentBytes = 100
		for i, bytes := range []int{100, DefaultSegmentBytes} {
			a.SegmentBytes = bytes
			assertBegin(t, a, fmt.Sprint("a", i), Run)
			assertBegin(t, b, fmt.Sprint("b", i), Run)
		}
		want := "head"
		for _, seg := range b.cache.header.Segments {
			want = seg.Name + " " + want
		}
		assert.Equal(t, len(strings.Fields(names(t, e))), len(strings.Fields(want)), "%s, not %s", names(t, e), want)
		for _, k := range []string{"a", "b", "a0", "b0", "a1", "b1"} {
			assertBegin(t, e.shard(), k, InProgress)
		}
	})
	run(t, "an old segment is deleted and its keys are free", func(t *testing.T, e env) {
		a := e.shard()
		for i := range 8 {
			assertBegin(t, a, fmt.Sprint(i), Run)
		}
		old := names(t, e)
		assert.Assert(t, strings.Contains(old, " "))
		time.Sleep(DefaultRetention + time.Minute)
		for i := range 8 {
			assertBegin(t, a, fmt.Sprint("new", i), Run)
		}
		assert.Assert(t, !strings.Contains(names(t, e), strings.Fields(old)[0]+" "), "%s, then %s", old, names(t, e))
		assertBegin(t, a, "0", Run)
		assertBegin(t, e.shard(), "new0", InProgress)
	})
	run(t, "one commit carries many begins", func(t *testing.T, e env) {
		a := e.shard()
		a.SegmentBytes = DefaultSegmentBytes
		assertBegin(t, a, "warm-up", Run)
		writes := e.store.Counts().Writes
		for i := range 100 {
			go assertBegin(t, a, fmt.Sprint(i), Run)
		}
		time.Sleep(time.Second)
		assert.Equal(t, e.store.Counts().Writes, writes+1)
	})
}

// Guards against panics in the decoders of stored objects and against heads
// that change when they are decoded and encoded again.
func FuzzDecodeHead(f *testing.F) {
	line, err := encodeRecord(record{ClaimKey: key("k"), State: done, Response: newStoredResponse(&bramleytack.Response{Status: 200})})
	assert.NilError(f, err)
	head, err := encodeDocument(header{SchemaVersion: 1, Segments: []segment{{Name: "7"}}}, line)
	assert.NilError(f, err)
	f.Add(head)
	f.Fuzz(func(t *testing.T, b []byte) {
		h, lines, records, err := decodeDocument(b)
		if err != nil {
			return
		}
		again, err := encodeDocument(h, lines)
		assert.NilError(t, err)
		_, _, kept, err := decodeDocument(again)
		assert.NilError(t, err)
		assert.Equal(t, len(kept), len(records))
		for _, r := range records {
			r.Response.decision()
		}
	})
}

package btconfig

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bramleytack"
	"bramleytack/btrecord"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
)

var snapshotOptions = cmp.Options{
	cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
	cmpopts.EquateEmpty(),
}

func object(t testing.TB, r btrecord.Record, v bramleytack.Revision) bramleytack.Object {
	t.Helper()
	o, err := btrecord.Encode(r)
	assert.NilError(t, err)
	o.Version = v
	return o
}

func upstream(id, models string) btrecord.Record {
	return btrecord.Upstreams.New(bramleytack.Upstream{
		ID: bramleytack.UpstreamID(id), Kind: bramleytack.KindEngine, Addr: netip.MustParseAddrPort("127.0.0.1:9000"),
		FailureDomain: "qld-a", Models: strings.Fields(models), ColdLimit: 1, WarmLimit: 2,
	})
}

func workspace(name, class string, keys ...string) btrecord.Record {
	w := bramleytack.Workspace{Name: bramleytack.WorkspaceID(name)}
	for _, k := range keys {
		w.KeyHashes = append(w.KeyHashes, strings.Repeat("0", 64-len(k))+k)
	}
	return btrecord.Workspaces.New(btrecord.Workspace{Workspace: w, PriorityClass: class})
}

func tombstone(r btrecord.Record, v bramleytack.Revision) bramleytack.Object {
	return bramleytack.Object{Key: r.Key(), Version: v, Deleted: true}
}

// Guards against an object, list or change that replaces a newer one when it
// arrives late.
func TestOldChangesAreDropped(t *testing.T) {
	u := upstream("u", "m")
	apply := func(c *Config, o bramleytack.Object) bool { return c.Apply([]bramleytack.Object{o}) }
	t.Run("a late object does not restore a deleted record", func(t *testing.T) {
		c := New()
		assert.Assert(t, apply(c, object(t, u, 5)))
		assert.Assert(t, apply(c, tombstone(u, 7)))
		assert.Assert(t, !apply(c, object(t, u, 6)))
		assert.Assert(t, !apply(c, tombstone(u, 7)))
		assert.Equal(t, len(c.Snapshot().Upstreams)+len(c.Snapshot().ByModel), 0)
		assert.Assert(t, apply(c, object(t, u, 8)))
	})
	t.Run("versions are compared for each object", func(t *testing.T) {
		c := New()
		assert.Assert(t, apply(c, object(t, upstream("v", "m"), 9)))
		assert.Assert(t, apply(c, object(t, u, 5)))
		assert.Equal(t, c.Snapshot().Revision, bramleytack.Revision(9))
		assert.Equal(t, len(c.Snapshot().ByModel["m"]), 2)
	})
	t.Run("a list removes objects that it lacks, up to its revision", func(t *testing.T) {
		c := New()
		c.Apply([]bramleytack.Object{object(t, u, 5), object(t, upstream("v", "m"), 9)})
		_, changed := c.ApplyList(btrecord.KindUpstream, nil, 7)
		assert.Assert(t, changed)
		assert.Equal(t, len(c.Snapshot().Upstreams), 1)
		after, changed := c.ApplyList(btrecord.KindUpstream, []bramleytack.Object{object(t, u, 5)}, 6)
		assert.Assert(t, !changed)
		assert.Equal(t, after, bramleytack.Revision(7))
		assert.Assert(t, !apply(c, object(t, upstream("w", "m"), 7)), "an object that was deleted before the list was restored")
	})
	t.Run("eviction keeps the newer tombstones", func(t *testing.T) {
		c := New()
		var objects []bramleytack.Object
		for i := range maxTombstones + 1 {
			objects = append(objects, tombstone(upstream(fmt.Sprint("u", i), ""), bramleytack.Revision(i+1)))
		}
		c.Apply(objects)
		assert.Equal(t, c.Stats().Tombstones, maxTombstones/2+1)
		assert.Assert(t, !apply(c, object(t, upstream(fmt.Sprint("u", maxTombstones), ""), 3)))
	})
}

// Guards against a malformed record that blocks other records or removes the
// last valid version of its own, and against changes to a published snapshot.
func TestUndecodable(t *testing.T) {
	c := New()
	c.Apply([]bramleytack.Object{object(t, upstream("u", "m"), 1)})
	malformed := object(t, upstream("u", "m"), 2)
	malformed.Data = bytes.Replace(malformed.Data, []byte("127.0.0.1"), []byte("localhost"), 1)
	c.Apply([]bramleytack.Object{malformed, object(t, upstream("v", "m"), 3)})
	s := c.Snapshot()
	assert.Equal(t, s.Revision, bramleytack.Revision(3))
	assert.Equal(t, s.Upstreams["u"].Addr.Port(), uint16(9000))
	assert.Equal(t, len(s.ByModel["m"]), 2)
	assert.Equal(t, c.Stats().Undecodable, 1)
	c.Apply([]bramleytack.Object{object(t, upstream("u", ""), 4)})
	assert.Equal(t, c.Stats().Undecodable, 0)
	assert.Equal(t, c.Stats().DecodeFailures, uint64(1))
	assert.Equal(t, len(c.Snapshot().ByModel["m"]), 1)
	assert.Equal(t, len(s.ByModel["m"]), 2, "a published snapshot changed")
}

// Guards against snapshots and digests that depend on the order in which changes
// arrive or on how they are grouped.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var objects []bramleytack.Object
		n := rapid.IntRange(1, 30).Draw(rt, "changes")
		for i := range n {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "name")
			r := rapid.SampledFrom([]btrecord.Record{
				upstream(name, rapid.SampledFrom([]string{"", "m", "n m"}).Draw(rt, "models")),
				workspace(name, rapid.SampledFrom([]string{"", "a"}).Draw(rt, "class"), rapid.SampledFrom([]string{"1", "2"}).Draw(rt, "key")),
				btrecord.PriorityClasses.New(btrecord.PriorityClass{Name: name, Priority: bramleytack.Interactive}),
				{Kind: KindQuarantine, Name: strings.Repeat(name, 64)},
			}).Draw(rt, "record")
			o := object(t, r, bramleytack.Revision(i+1))
			if rapid.IntRange(0, 3).Draw(rt, "delete") == 0 {
				o = tombstone(r, o.Version)
			}
			objects = append(objects, o)
		}
		whole, single, shuffled := New(), New(), New()
		whole.Apply(objects)
		for _, o := range rapid.Permutation(objects).Draw(rt, "order") {
			single.Apply([]bramleytack.Object{o})
		}
		shuffled.Apply(rapid.Permutation(single.All()).Draw(rt, "peer's order"))
		assert.DeepEqual(rt, single.Snapshot(), whole.Snapshot(), snapshotOptions)
		assert.DeepEqual(rt, shuffled.Snapshot(), whole.Snapshot(), snapshotOptions)
		assert.Equal(rt, single.Digest(), whole.Digest())
		assert.Equal(rt, shuffled.Digest(), whole.Digest())
	})
}

// Guards against a subscriber that misses the last change, gets two values for
// changes that it has not read yet, or gets a value after cancel.
func TestSubscribe(t *testing.T) {
	c := New()
	changes, cancel := c.Subscribe()
	c.Apply([]bramleytack.Object{object(t, upstream("u", ""), 1)})
	c.Apply([]bramleytack.Object{object(t, upstream("v", ""), 2)})
	<-changes
	assert.Equal(t, len(changes), 0)
	cancel()
	c.Apply([]bramleytack.Object{object(t, upstream("u", ""), 3)})
	assert.Equal(t, len(changes), 0)
}

// Guards against a watcher that does not retry after an error, waits forever for
// a silent watch, or drops the configuration while the store is down.
func TestWatcher(t *testing.T) {
	run := func(name string, f func(t *testing.T, s *btmemstore.Store, w *Watcher)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timers := bttimer.New(1)
				defer timers.Close()
				s := btmemstore.New()
				w := &Watcher{Store: s, Config: New(), Timer: timers, Seed: 1}
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() { ended <- w.Run(ctx) }()
				synctest.Wait()
				f(t, s, w)
				cancel()
				assert.ErrorIs(t, <-ended, context.Canceled)
			})
		})
	}
	put := func(t *testing.T, s *btmemstore.Store, id string) {
		t.Helper()
		_, err := s.Put(t.Context(), object(t, upstream(id, "m"), 0), 0)
		assert.NilError(t, err)
	}
	assertUpstreams := func(t *testing.T, w *Watcher, within time.Duration, n int) {
		t.Helper()
		time.Sleep(within)
		synctest.Wait()
		assert.Equal(t, len(w.Config.Snapshot().Upstreams), n)
	}
	run("a change arrives at once", func(t *testing.T, s *btmemstore.Store, w *Watcher) {
		assert.Assert(t, w.Synced())
		put(t, s, "a")
		assertUpstreams(t, w, 0, 1)
	})
	run("a change arrives within 3 s while watches are silent", func(t *testing.T, s *btmemstore.Store, w *Watcher) {
		s.SetFault(btmemstore.Fault{SilentWatches: true})
		time.Sleep(time.Minute)
		for i := range 5 {
			put(t, s, fmt.Sprint("u", i))
			assertUpstreams(t, w, 3*time.Second, i+1)
		}
		assert.Assert(t, w.Stats().Reopened > 0)
		s.SetFault(btmemstore.Fault{})
		assertUpstreams(t, w, 3*time.Second, 5)
		put(t, s, "last")
		assertUpstreams(t, w, 0, 6)
	})
	run("an outage keeps the last configuration", func(t *testing.T, s *btmemstore.Store, w *Watcher) {
		put(t, s, "a")
		assertUpstreams(t, w, 0, 1)
		s.SetFault(btmemstore.Fault{Down: true, SilentWatches: true})
		before := s.Counts().Reads
		assertUpstreams(t, w, time.Hour, 1)
		reads := s.Counts().Reads - before
		assert.Assert(t, reads < len(Kinds())*3600, "%d reads in an hour of outage", reads)
		s.SetFault(btmemstore.Fault{})
		put(t, s, "b")
		assertUpstreams(t, w, maxBackoff, 2)
	})
	run("a deletion during a silent watch is found by the list", func(t *testing.T, s *btmemstore.Store, w *Watcher) {
		put(t, s, "a")
		assertUpstreams(t, w, 0, 1)
		late := w.Config.All()[0]
		s.SetFault(btmemstore.Fault{SilentWatches: true})
		_, err := s.Delete(t.Context(), late.Key, late.Version)
		assert.NilError(t, err)
		assertUpstreams(t, w, 3*time.Second, 0)
		assert.Assert(t, !w.Config.Apply([]bramleytack.Object{late}))
	})
	run("stale lists never undo a change", func(t *testing.T, s *btmemstore.Store, w *Watcher) {
		put(t, s, "a")
		put(t, s, "b")
		assertUpstreams(t, w, 0, 2)
		s.SetFault(btmemstore.Fault{StaleReads: 1, SilentWatches: true})
		assertUpstreams(t, w, 10*time.Second, 2)
	})
}

// Guards against panics on malformed objects from peers or the store, and
// against their remains after a deletion.
func FuzzApply(f *testing.F) {
	f.Add("upstream", "u", []byte(`{"kind":"upstream","schemaVersion":2,"name":"u","spec":{"kind":"engine","addr":"[::1]:9","failureDomain":"d","models":["m"]}}`))
	f.Add("quarantine", strings.Repeat("0", 64), []byte(`null`))
	f.Fuzz(func(t *testing.T, kind, name string, data []byte) {
		c := New()
		o := bramleytack.Object{Key: bramleytack.Key{Kind: kind, Name: name}, Version: 2, Data: data}
		c.Apply([]bramleytack.Object{o})
		c.Apply([]bramleytack.Object{{Key: o.Key, Version: 3, Deleted: true}})
		s := c.Snapshot()
		assert.Equal(t, len(s.Upstreams)+len(s.ByModel)+len(s.ByService)+len(s.Workspaces)+len(s.ByKeyHash)+len(s.Quarantined), 0)
	})
}

// BenchmarkApply measures one change at the design size: 10,000 upstreams of 29
// models and 2,600 workspaces.
func BenchmarkApply(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	var objects []bramleytack.Object
	for i := range 10_000 {
		objects = append(objects, object(b, upstream(fmt.Sprint("u", i), fmt.Sprint("m", i%29)), bramleytack.Revision(i+1)))
	}
	for i := range 2_600 {
		r := workspace(fmt.Sprint("w", i), "", fmt.Sprint(i))
		objects = append(objects, object(b, r, bramleytack.Revision(len(objects)+1)))
	}
	full := New()
	full.Apply(objects)
	rev := full.Snapshot().Revision
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			New().Apply(objects)
		}
	})
	change := func(from, to int) func(*testing.B) {
		return func(b *testing.B) {
			for b.Loop() {
				o := objects[from+rng.IntN(to-from)]
				rev++
				o.Version = rev
				full.Apply([]bramleytack.Object{o})
			}
		}
	}
	b.Run("upstream", change(0, 10_000))
	b.Run("workspace", change(10_000, 12_600))
}

package btreplica

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/bttimer"
)

// workerFeed is a store with registrations of upstreams. Calls that begin while it is
// silent get no answer.
type workerFeed struct {
	mu      sync.Mutex
	version bramleytack.Revision
	names   map[string]bool
	silent  bool
	changed chan struct{}
	// gone holds the kinds that must be listed, calls is the number of calls.
	gone  map[string]bool
	calls int
}

func newWorkerFeed(names ...string) *workerFeed {
	f := &workerFeed{version: 1, names: map[string]bool{}}
	for _, name := range names {
		f.names[name] = true
	}
	return f
}

func (f *workerFeed) remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.names, name)
	f.version++
	close(f.changed)
	f.changed = make(chan struct{})
}

// dropHistory makes the polls of each kind fail until it has been listed.
func (f *workerFeed) dropHistory() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone, f.calls = map[string]bool{bramleytack.KindConfig: true, bramleytack.KindUpstreams: true}, 0
}

func (f *workerFeed) setSilent(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = on
}

// list returns the objects and a channel that is closed with the next change.
func (f *workerFeed) list(kind string) (objects []bramleytack.Object, upto bramleytack.Revision, silent bool, changed chan struct{}) {
	time.Sleep(4 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if kind == bramleytack.KindConfig {
		objects = append(objects, object(kind, "main", 1, 1))
	}
	for name := range f.names {
		if kind == bramleytack.KindUpstreams {
			objects = append(objects, object(kind, name, 1, 1))
		}
	}
	return objects, f.version, f.silent, f.changed
}

// noAnswer waits like a client whose call gets no answer.
func noAnswer(ctx context.Context, timeout time.Duration) error {
	select {
	case <-time.After(timeout):
	case <-ctx.Done():
	}
	return bramleytack.ErrStoreDown
}

func (f *workerFeed) List(ctx context.Context, kind string) ([]bramleytack.Object, bramleytack.Revision, error) {
	objects, upto, silent, _ := f.list(kind)
	if silent {
		return nil, 0, noAnswer(ctx, 2*time.Second)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.gone, kind)
	return objects, upto, nil
}

func (f *workerFeed) Changes(ctx context.Context, kind string, after bramleytack.Revision, wait time.Duration) ([]bramleytack.Object, bramleytack.Revision, error) {
	const margin = 700 * time.Millisecond
	_, upto, silent, changed := f.list(kind)
	if silent {
		return nil, 0, noAnswer(ctx, wait+margin)
	}
	f.mu.Lock()
	gone := f.gone[kind]
	f.mu.Unlock()
	if gone {
		return nil, 0, bramleytack.ErrHistoryGone
	}
	if upto == after {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	objects, upto, silent, _ := f.list(kind)
	if silent {
		return nil, 0, noAnswer(ctx, margin)
	}
	if kind == bramleytack.KindUpstreams && upto > after && len(objects) == 0 {
		objects = append(objects, bramleytack.Object{Key: bramleytack.Key{Kind: kind, Name: "a"}, Deleted: true})
	}
	return objects, upto, nil
}

// watchAll runs a watcher for each of two kinds of f in fake time, and calls do with
// their table.
func watchAll(t *testing.T, f *workerFeed, peerReads func() bool, do func(t *testing.T, table *Table)) {
	inFakeTime(t, func(t *testing.T, table *Table, timer *bttimer.Service) {
		f.changed = make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		resync, status := &Resync{}, &StoreStatus{PeerReads: peerReads}
		for _, kind := range []string{bramleytack.KindConfig, bramleytack.KindUpstreams} {
			go (&Watcher{Feed: f, Table: table, Timer: timer, Log: btevent.New(io.Discard, 0, "h"), Kind: kind, StoreStatus: status, Resync: resync}).Run(ctx)
		}
		do(t, table)
		cancel()
		synctest.Wait()
		time.Sleep(5 * time.Second)
	})
}

// An upstream is removed when the store has been back for 3 s. Guards against polls that
// were sent into the silence and fail late, so that the removal counts as a lapse.
func TestRemovalAfterOutageIsNoLapse(t *testing.T) {
	for _, length := range []time.Duration{1500 * time.Millisecond, 2900 * time.Millisecond, 4 * time.Second, 6300 * time.Millisecond} {
		t.Run(length.String(), func(t *testing.T) {
			f := newWorkerFeed("a")
			watchAll(t, f, nil, func(t *testing.T, table *Table) {
				time.Sleep(3500 * time.Millisecond)
				f.setSilent(true)
				time.Sleep(length)
				f.setSilent(false)
				time.Sleep(3 * time.Second)
				f.remove("a")
				time.Sleep(200 * time.Millisecond)
				assert.Equal(t, len(table.Snapshot().Upstreams), 0)
			})
		})
	}
}

// A registration lapses while the store is silent. Guards against an upstream that is
// dropped although it may return.
func TestLapseDuringOutage(t *testing.T) {
	f := newWorkerFeed("a")
	watchAll(t, f, nil, func(t *testing.T, table *Table) {
		time.Sleep(3500 * time.Millisecond)
		f.setSilent(true)
		time.Sleep(4 * time.Second)
		f.remove("a")
		f.setSilent(false)
		time.Sleep(2600 * time.Millisecond)
		assert.Equal(t, table.Upto(bramleytack.KindUpstreams), bramleytack.Revision(2))
		assert.Equal(t, len(table.Snapshot().Upstreams), 1)
		time.Sleep(lapseGrace)
		table.Expire()
		assert.Equal(t, len(table.Snapshot().Upstreams), 0)
	})
}

// The store is silent for this daemon alone. Guards against upstreams that were removed
// meanwhile and are kept as if they had lapsed.
func TestRemovalWhileOthersReadIsNoLapse(t *testing.T) {
	f := newWorkerFeed("a")
	watchAll(t, f, func() bool { return true }, func(t *testing.T, table *Table) {
		time.Sleep(3500 * time.Millisecond)
		f.setSilent(true)
		time.Sleep(4 * time.Second)
		f.remove("a")
		f.setSilent(false)
		time.Sleep(2600 * time.Millisecond)
		assert.Equal(t, len(table.Snapshot().Upstreams), 0)
	})
}

// An upstream announces its end before its registration is removed, around an outage.
// Guards against a grace for removals on purpose.
func TestLeavingUpstreamDoesNotLapse(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
		kind := bramleytack.KindUpstreams
		table.Apply(config(1, 1))
		table.Apply(Batch{Kind: kind, Full: true, Upto: 2, Objects: []bramleytack.Object{object(kind, "a", 2, 1), object(kind, "b", 2, 1)}})
		table.MarkLeaving(table.Snapshot().Upstreams["a"])
		table.Apply(Batch{Kind: kind, Full: true, Upto: 3, AfterOutage: true})
		assert.Equal(t, len(table.Snapshot().Upstreams), 1)
		assert.Assert(t, table.Snapshot().Upstreams["a"] == nil)
	})
}

// Daemons pull a lapsed registration from each other. Guards against a grace that each
// pull begins anew.
func TestPullsDoNotExtendGrace(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
		kind := bramleytack.KindUpstreams
		table.Apply(config(1, 1))
		for upto := range bramleytack.Revision(4) {
			table.Apply(Batch{Kind: kind, Full: true, Upto: 3 + upto, Objects: []bramleytack.Object{object(kind, "a", 2, 1)}, Lapsed: []string{"a"}})
			time.Sleep(lapseGrace / 3)
			table.Expire()
		}
		assert.Equal(t, len(table.Snapshot().Upstreams), 0)
	})
}

// The store returns from an outage without its history. Guards against probes that ask for
// changes again and again instead of listing.
func TestOutageEndsWithoutHistory(t *testing.T) {
	f := newWorkerFeed("a")
	watchAll(t, f, nil, func(t *testing.T, table *Table) {
		time.Sleep(3500 * time.Millisecond)
		f.setSilent(true)
		time.Sleep(4 * time.Second)
		f.dropHistory()
		f.remove("a")
		f.setSilent(false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, table.Upto(bramleytack.KindUpstreams), bramleytack.Revision(2))
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Assert(t, f.calls < 40, "%d calls", f.calls)
	})
}

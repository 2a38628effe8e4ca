package btreplica

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/bttimer"
)

// codec reads a version from one byte and takes any registration.
type codec struct{}

func (codec) Config(data []byte, s *bramleytack.Snapshot) error {
	if len(data) != 1 {
		return errors.New("not a configuration")
	}
	s.Version = uint64(data[0])
	s.Routes = bramleytack.NewRouteTable(nil)
	return nil
}

func (codec) Upstream(name string, data []byte, _ time.Time) (*bramleytack.Upstream, error) {
	if len(data) == 0 {
		return nil, errors.New("not a registration")
	}
	return &bramleytack.Upstream{ID: bramleytack.UpstreamID(name), Service: "s", FailureDomain: "d"}, nil
}

func object(kind, name string, version bramleytack.Revision, data ...byte) bramleytack.Object {
	return bramleytack.Object{Key: bramleytack.Key{Kind: kind, Name: name}, Version: version, Data: data}
}

func inTime(t *testing.T, f func(t *testing.T, table *Table, timer *bttimer.Service)) {
	synctest.Test(t, func(t *testing.T) {
		timer := bttimer.New(1)
		defer timer.Close()
		f(t, NewTable(codec{}, timer, btevent.New(io.Discard, 0, "h")), timer)
	})
}

func config(upto bramleytack.Revision, version byte) Batch {
	return Batch{Kind: bramleytack.KindConfig, Full: true, Upto: upto, Objects: []bramleytack.Object{object(bramleytack.KindConfig, "main", upto, version)}}
}

// Guards against configurations that go back, from the store or from a peer.
func TestConfigNeverRegresses(t *testing.T) {
	inTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
		assert.Assert(t, table.Apply(config(10, 4)))
		assert.Assert(t, table.Apply(config(9, 3)), "an older batch needs no pull")
		assert.Equal(t, table.Snapshot().Version, uint64(4))
		assert.Assert(t, table.Apply(config(11, 2)))
		assert.Equal(t, table.Snapshot().Version, uint64(4))
		broken := config(12, 0)
		broken.Objects[0].Data = nil
		assert.Assert(t, table.Apply(broken))
		assert.Equal(t, table.Snapshot().Version, uint64(4), "the last good one stays in force")
		assert.Assert(t, table.Apply(config(13, 6)))
		assert.Equal(t, table.Snapshot().Version, uint64(6))
	})
}

// Guards against changes that are applied over a gap.
func TestGapIsRefused(t *testing.T) {
	inTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
		table.Apply(config(1, 1))
		kind := bramleytack.KindUpstreams
		step := Batch{Kind: kind, Base: 5, Upto: 6, Objects: []bramleytack.Object{object(kind, "a", 6, 1)}}
		assert.Assert(t, !table.Apply(step), "without a list")
		table.Apply(Batch{Kind: kind, Full: true, Upto: 3})
		assert.Assert(t, !table.Apply(step), "over a gap")
		table.Apply(Batch{Kind: kind, Full: true, Upto: 5})
		assert.Assert(t, table.Apply(step))
		assert.Equal(t, len(table.Snapshot().Upstreams), 1)
	})
}

// Guards against upstreams that are dropped when their registrations lapse in an
// outage of the store, and against ones that are kept after they are gone.
func TestLapsedRegistrations(t *testing.T) {
	for _, c := range []struct {
		name  string
		after bool
		kept  int
	}{{"calm", false, 0}, {"after an outage", true, 1}} {
		t.Run(c.name, func(t *testing.T) {
			inTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
				kind := bramleytack.KindUpstreams
				table.Apply(config(1, 1))
				table.Apply(Batch{Kind: kind, Full: true, Upto: 2, Objects: []bramleytack.Object{object(kind, "a", 2, 1)}})
				table.Apply(Batch{Kind: kind, Full: true, Upto: 3, AfterOutage: c.after})
				assert.Equal(t, len(table.Snapshot().Upstreams), c.kept)
				time.Sleep(lapseGrace + time.Second)
				table.Expire()
				assert.Equal(t, len(table.Snapshot().Upstreams), 0)
			})
		})
	}
}

// Guards against entries of other writers that hide the good ones.
func TestUnreadableRegistration(t *testing.T) {
	inTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
		kind := bramleytack.KindUpstreams
		table.Apply(config(1, 1))
		table.Apply(Batch{Kind: kind, Full: true, Upto: 2, Objects: []bramleytack.Object{object(kind, "a", 2), object(kind, "b", 2, 1)}})
		assert.Equal(t, len(table.Snapshot().Upstreams), 1)
	})
}

// feed is a store whose polls of one kind can hang while another kind's history
// is gone.
type feed struct {
	mu      sync.Mutex
	version bramleytack.Revision
	gone    map[string]bool
	hang    map[string]bool
	away    bool
	calls   int
}

// set changes the feed while watchers read it.
func (f *feed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *feed) List(_ context.Context, kind string) ([]bramleytack.Object, bramleytack.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.away {
		return nil, 0, bramleytack.ErrStoreDown
	}
	f.gone[kind], f.hang[kind] = false, false
	return []bramleytack.Object{object(kind, "main", f.version, byte(f.version))}, f.version, nil
}

func (f *feed) Changes(ctx context.Context, kind string, after bramleytack.Revision, wait time.Duration) ([]bramleytack.Object, bramleytack.Revision, error) {
	f.mu.Lock()
	f.calls++
	gone, hang, away, version := f.gone[kind], f.hang[kind], f.away, f.version
	f.mu.Unlock()
	switch {
	case away:
		return nil, 0, bramleytack.ErrStoreDown
	case gone:
		return nil, 0, bramleytack.ErrHistoryGone
	case hang:
		<-ctx.Done()
		return nil, 0, ctx.Err()
	case version > after:
		return []bramleytack.Object{object(kind, "main", version, byte(version))}, version, nil
	}
	select {
	case <-time.After(wait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// Guards against polls that hang after the store dropped its history: only one
// kind learns of it (Karamanlis scale-2: a configuration came 4 s late).
func TestHistoryGoneResyncsAllKinds(t *testing.T) {
	inTime(t, func(t *testing.T, table *Table, timer *bttimer.Service) {
		f := &feed{version: 1, gone: map[string]bool{}, hang: map[string]bool{}}
		ctx, cancel := context.WithCancel(t.Context())
		var resync Resync
		var contact StoreStatus
		for _, kind := range []string{bramleytack.KindConfig, bramleytack.KindUpstreams} {
			go (&Watcher{Feed: f, Table: table, Timer: timer, Log: btevent.New(io.Discard, 0, "h"), Kind: kind, StoreStatus: &contact, Resync: &resync}).Run(ctx)
		}
		time.Sleep(time.Second)
		f.mu.Lock()
		f.hang[bramleytack.KindConfig] = true
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.version, f.gone[bramleytack.KindUpstreams] = 2, true
		f.mu.Unlock()
		// The next poll of the other kind tells.
		time.Sleep(watchWait + 200*time.Millisecond)
		assert.Equal(t, table.Snapshot().Version, uint64(2))
		cancel()
		synctest.Wait()
	})
}

// Pattern: the store is away for every daemon. Guards against calls by all
// watchers of all daemons (grown Foldwell site, trouble-3: 3,000 calls in 8 s),
// and against a kind that stays behind once the store is back.
func TestOneWatcherProbesAbsentStore(t *testing.T) {
	inTime(t, func(t *testing.T, table *Table, timer *bttimer.Service) {
		const daemons = 60
		f := &feed{version: 1, gone: map[string]bool{}, hang: map[string]bool{}}
		ctx, cancel := context.WithCancel(t.Context())
		var resync Resync
		var contact StoreStatus
		for _, kind := range []string{bramleytack.KindConfig, bramleytack.KindUpstreams} {
			go (&Watcher{
				Feed: f, Table: table, Timer: timer, Log: btevent.New(io.Discard, 0, "h"), Kind: kind,
				StoreStatus: &contact, Resync: &resync, StoreDownCount: func() int { return daemons },
			}).Run(ctx)
		}
		time.Sleep(time.Second)
		f.set(func() { f.away, f.version = true, 2 })
		// The next polls tell.
		time.Sleep(watchWait)
		f.set(func() { f.calls = 0 })
		const away = 20 * time.Second
		time.Sleep(away)
		f.set(func() {
			most := int(away/(daemons*probeSpacing)) + 1
			assert.Assert(t, f.calls > 0 && f.calls <= most, "%d calls, at most %d", f.calls, most)
			f.away = false
		})
		time.Sleep(daemons*probeSpacing + 2*time.Second)
		assert.Equal(t, table.Snapshot().Version, uint64(2))
		assert.Equal(t, table.Upto(bramleytack.KindUpstreams), bramleytack.Revision(2))
		cancel()
		synctest.Wait()
	})
}

// Guards against a daemon that leaves the store to others whose polls hang since
// before a cut (Karamanlis scale-2, seed 545513502547: a notice came 2.1 s late).
func TestFollowingOverlaps(t *testing.T) {
	inTime(t, func(t *testing.T, table *Table, timer *bttimer.Service) {
		active := true
		w := &Watcher{Table: table, Timer: timer, Kind: bramleytack.KindConfig, Active: func(string) bool { return active }}
		assert.Assert(t, w.follows())
		active = false
		time.Sleep(watchWait + time.Second/2)
		assert.Assert(t, w.follows())
		time.Sleep(overlap)
		assert.Assert(t, !w.follows())
	})
}

// Guards against watchers that look for work a hundred times a second for good: a
// kind without objects stays at revision 0 at daemons that do not follow it.
func TestIdleWatchersRest(t *testing.T) {
	inTime(t, func(t *testing.T, table *Table, timer *bttimer.Service) {
		assert.Assert(t, table.Apply(config(10, 4)))
		looks := 0
		var contact StoreStatus
		w := &Watcher{
			Table: table, Timer: timer, Kind: bramleytack.KindEvacuations, StoreStatus: &contact, Resync: &Resync{},
			Active: func(string) bool { looks++; return false },
		}
		ctx, stop := context.WithCancel(t.Context())
		go w.Run(ctx)
		const length = 10 * time.Second
		time.Sleep(length)
		stop()
		synctest.Wait()
		assert.Assert(t, looks <= int(length/inactivePause)+1, "%d looks", looks)
	})
}

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

// codec reads a configuration's version from one byte and accepts any registration that
// is not empty. A registration's second byte is the start of its instance, and the first one
// tells that it is leaving.
type codec struct{}

// leaving is the first byte of the registration of an upstream that is leaving.
const leaving = 'l'

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
	u := &bramleytack.Upstream{ID: bramleytack.UpstreamID(name), Service: "s", FailureDomain: "d", State: bramleytack.UpstreamActive}
	if data[0] == leaving {
		u.State = bramleytack.UpstreamLeaving
	}
	if len(data) > 1 {
		u.Started = time.UnixMilli(int64(data[1]))
	}
	return u, nil
}

func object(kind, name string, version bramleytack.Revision, data ...byte) bramleytack.Object {
	return bramleytack.Object{Key: bramleytack.Key{Kind: kind, Name: name}, Version: version, Data: data}
}

// inFakeTime runs f with an empty table in fake time.
func inFakeTime(t *testing.T, f func(t *testing.T, table *Table, timer *bttimer.Service)) {
	synctest.Test(t, func(t *testing.T) {
		timer := bttimer.New(1)
		defer timer.Close()
		f(t, NewTable(codec{}, timer, btevent.New(io.Discard, 0, "h")), timer)
	})
}

func config(upto bramleytack.Revision, version byte) Batch {
	return Batch{Kind: bramleytack.KindConfig, Full: true, Upto: upto, Objects: []bramleytack.Object{object(bramleytack.KindConfig, "main", upto, version)}}
}

// Guards against an older configuration, from the store or from a peer, that replaces a
// newer one.
func TestConfigNeverRegresses(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
		assert.Assert(t, table.Apply(config(10, 4)))
		assert.Assert(t, table.Apply(config(9, 3)), "an older batch needs no pull")
		assert.Equal(t, table.Snapshot().Version, uint64(4))
		assert.Assert(t, table.Apply(config(11, 2)))
		assert.Equal(t, table.Snapshot().Version, uint64(4))
		undecodable := config(12, 0)
		undecodable.Objects[0].Data = nil
		assert.Assert(t, table.Apply(undecodable))
		assert.Equal(t, table.Snapshot().Version, uint64(4), "the last valid configuration stays in force")
		assert.Assert(t, table.Apply(config(13, 6)))
		assert.Equal(t, table.Snapshot().Version, uint64(6))
	})
}

// Guards against changes that are applied although earlier ones are missing.
func TestChangesAfterGapNotApplied(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
		table.Apply(config(1, 1))
		kind := bramleytack.KindUpstreams
		changes := Batch{Kind: kind, Base: 5, Upto: 6, Objects: []bramleytack.Object{object(kind, "a", 6, 1)}}
		assert.Assert(t, !table.Apply(changes), "without a list")
		table.Apply(Batch{Kind: kind, Full: true, Upto: 3})
		assert.Assert(t, !table.Apply(changes), "after a gap")
		table.Apply(Batch{Kind: kind, Full: true, Upto: 5})
		assert.Assert(t, table.Apply(changes))
		assert.Equal(t, len(table.Snapshot().Upstreams), 1)
	})
}

// Guards against upstreams that are dropped at once when their registrations lapse
// because of a store outage, and against removed upstreams that are kept.
func TestLapsedRegistrations(t *testing.T) {
	for _, c := range []struct {
		name        string
		afterOutage bool
		kept        int
	}{{"without an outage", false, 0}, {"after an outage", true, 1}} {
		t.Run(c.name, func(t *testing.T) {
			inFakeTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
				kind := bramleytack.KindUpstreams
				table.Apply(config(1, 1))
				table.Apply(Batch{Kind: kind, Full: true, Upto: 2, Objects: []bramleytack.Object{object(kind, "a", 2, 1)}})
				table.Apply(Batch{Kind: kind, Full: true, Upto: 3, AfterOutage: c.afterOutage})
				assert.Equal(t, len(table.Snapshot().Upstreams), c.kept)
				time.Sleep(lapseGrace + time.Second)
				table.Expire()
				assert.Equal(t, len(table.Snapshot().Upstreams), 0)
			})
		})
	}
}

// Guards against a registration that cannot be decoded and hides the valid ones.
func TestUnreadableRegistration(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
		kind := bramleytack.KindUpstreams
		table.Apply(config(1, 1))
		table.Apply(Batch{Kind: kind, Full: true, Upto: 2, Objects: []bramleytack.Object{object(kind, "a", 2), object(kind, "b", 2, 1)}})
		assert.Equal(t, len(table.Snapshot().Upstreams), 1)
	})
}

// fakeFeed is a store that can be down. By kind it can drop its history or leave polls
// without an answer.
type fakeFeed struct {
	mu          sync.Mutex
	version     bramleytack.Revision
	historyGone map[string]bool
	hanging     map[string]bool
	down        bool
	calls       int
}

// set changes the feed while watchers read it.
func (f *fakeFeed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeFeed) List(_ context.Context, kind string) ([]bramleytack.Object, bramleytack.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return nil, 0, bramleytack.ErrStoreDown
	}
	f.historyGone[kind], f.hanging[kind] = false, false
	return []bramleytack.Object{object(kind, "main", f.version, byte(f.version))}, f.version, nil
}

func (f *fakeFeed) Changes(ctx context.Context, kind string, after bramleytack.Revision, wait time.Duration) ([]bramleytack.Object, bramleytack.Revision, error) {
	f.mu.Lock()
	f.calls++
	historyGone, hanging, down, version := f.historyGone[kind], f.hanging[kind], f.down, f.version
	f.mu.Unlock()
	switch {
	case down:
		return nil, 0, bramleytack.ErrStoreDown
	case historyGone:
		return nil, 0, bramleytack.ErrHistoryGone
	case hanging:
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

// Guards against polls that keep hanging after the store dropped its history, because
// only the poll of one kind gets an error. On Karamanlis, scale-2, a configuration
// arrived 4 s late.
func TestHistoryGoneResyncsAllKinds(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, timer *bttimer.Service) {
		f := &fakeFeed{version: 1, historyGone: map[string]bool{}, hanging: map[string]bool{}}
		ctx, cancel := context.WithCancel(t.Context())
		var resync Resync
		var status StoreStatus
		for _, kind := range []string{bramleytack.KindConfig, bramleytack.KindUpstreams} {
			go (&Watcher{Feed: f, Table: table, Timer: timer, Log: btevent.New(io.Discard, 0, "h"), Kind: kind, StoreStatus: &status, Resync: &resync}).Run(ctx)
		}
		time.Sleep(time.Second)
		f.mu.Lock()
		f.hanging[bramleytack.KindConfig] = true
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.version, f.historyGone[bramleytack.KindUpstreams] = 2, true
		f.mu.Unlock()
		// The next poll of the other kind returns the error.
		time.Sleep(pollTimeout + 200*time.Millisecond)
		assert.Equal(t, table.Snapshot().Version, uint64(2))
		cancel()
		synctest.Wait()
	})
}

// The store is down for every daemon. Guards against calls by all watchers of all
// daemons, which were 3,000 in 8 s on the grown Foldwell site, trouble-3, and against a
// kind that is not updated once the store is up again.
func TestOneWatcherProbesDownStore(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, timer *bttimer.Service) {
		const daemons = 60
		f := &fakeFeed{version: 1, historyGone: map[string]bool{}, hanging: map[string]bool{}}
		ctx, cancel := context.WithCancel(t.Context())
		var resync Resync
		var status StoreStatus
		for _, kind := range []string{bramleytack.KindConfig, bramleytack.KindUpstreams} {
			go (&Watcher{
				Feed: f, Table: table, Timer: timer, Log: btevent.New(io.Discard, 0, "h"), Kind: kind,
				StoreStatus: &status, Resync: &resync, StoreDownCount: func() int { return daemons },
			}).Run(ctx)
		}
		time.Sleep(time.Second)
		f.set(func() { f.down, f.version = true, 2 })
		// The next polls return the error.
		time.Sleep(pollTimeout)
		f.set(func() { f.calls = 0 })
		const outage = 20 * time.Second
		time.Sleep(outage)
		f.set(func() {
			maxCalls := int(outage/(daemons*probeInterval)) + 1
			assert.Assert(t, f.calls > 0 && f.calls <= maxCalls, "%d calls, at most %d", f.calls, maxCalls)
			f.down = false
		})
		time.Sleep(daemons*probeInterval + 2*time.Second)
		assert.Equal(t, table.Snapshot().Version, uint64(2))
		assert.Equal(t, table.Upto(bramleytack.KindUpstreams), bramleytack.Revision(2))
		cancel()
		synctest.Wait()
	})
}

// Guards against a daemon that stops following at once when others take over, while
// polls that they began before a network failure still hang. On Karamanlis, scale-2,
// seed 545513502547, a notice arrived 2.1 s late.
func TestFollowingOverlaps(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, timer *bttimer.Service) {
		active := true
		w := &Watcher{Table: table, Timer: timer, Kind: bramleytack.KindConfig, Active: func(string) bool { return active }}
		assert.Assert(t, w.updateFollowing())
		active = false
		time.Sleep(pollTimeout + time.Second/2)
		assert.Assert(t, w.updateFollowing())
		time.Sleep(followOverlap)
		assert.Assert(t, !w.updateFollowing())
	})
}

// Guards against inactive watchers that check whether to follow a hundred times a second
// although there is a configuration. The interval must not depend on the revision of
// the kind, which stays 0 for a kind without objects on daemons that do not follow it.
func TestInactiveWatchersCheckRarely(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, timer *bttimer.Service) {
		assert.Assert(t, table.Apply(config(10, 4)))
		checks := 0
		var status StoreStatus
		w := &Watcher{
			Table: table, Timer: timer, Kind: bramleytack.KindEvacuations, StoreStatus: &status, Resync: &Resync{},
			Active: func(string) bool { checks++; return false },
		}
		ctx, stop := context.WithCancel(t.Context())
		go w.Run(ctx)
		const duration = 10 * time.Second
		time.Sleep(duration)
		stop()
		synctest.Wait()
		assert.Assert(t, checks <= int(duration/inactiveInterval)+1, "%d checks", checks)
	})
}

// A daemon starts right after an outage of the store and pulls the registrations of a
// peer, which still keeps one that lapsed. Guards against an upstream that has ended and
// stays in use at the new daemon for good.
func TestPulledLapsedRegistrationExpires(t *testing.T) {
	inFakeTime(t, func(t *testing.T, old *Table, timer *bttimer.Service) {
		old.Apply(config(1, 1))
		kind := bramleytack.KindUpstreams
		old.Apply(Batch{Kind: kind, Full: true, Upto: 2, Objects: []bramleytack.Object{object(kind, "gone", 2, 1), object(kind, "live", 2, 1)}})
		old.Apply(Batch{Kind: kind, Full: true, Upto: 5, Objects: []bramleytack.Object{object(kind, "live", 2, 1)}, AfterOutage: true})
		started := NewTable(codec{}, timer, btevent.New(io.Discard, 0, "h"))
		started.Apply(config(1, 1))
		started.Apply(old.FullBatch(kind))
		assert.Equal(t, len(started.Snapshot().Upstreams), 2, "the grace applies to the new daemon, too")
		time.Sleep(lapseGrace + time.Second)
		old.Expire()
		started.Expire()
		assert.Equal(t, len(old.Snapshot().Upstreams), 1)
		assert.Equal(t, len(started.Snapshot().Upstreams), 1)
	})
}

// silentFeed is a store that leaves calls unanswered for good if they begin before a time.
type silentFeed struct {
	fakeFeed
	until time.Time
}

func (f *silentFeed) List(ctx context.Context, kind string) ([]bramleytack.Object, bramleytack.Revision, error) {
	if time.Now().Before(f.until) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return f.fakeFeed.List(ctx, kind)
}

// A daemon starts while the store is silent. Guards against a daemon that waits for the
// answer to its first call after the store is back. On the grown Karamanlis site, a day
// drawn at random, no daemon had a configuration for 2.1 s after a restart of all.
func TestStartWhileStoreIsSilent(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, timer *bttimer.Service) {
		f := &silentFeed{fakeFeed: fakeFeed{version: 3, historyGone: map[string]bool{}, hanging: map[string]bool{}}, until: time.Now().Add(time.Second)}
		var status StoreStatus
		ctx, stop := context.WithCancel(t.Context())
		go (&Watcher{Feed: f, Table: table, Timer: timer, Log: btevent.New(io.Discard, 0, "h"), Kind: bramleytack.KindConfig, StoreStatus: &status, Resync: &Resync{}}).Run(ctx)
		time.Sleep(time.Second + firstListTimeout + 4*minBackoff)
		assert.Assert(t, table.Snapshot() != nil)
		stop()
		time.Sleep(pollTimeout)
	})
}

// slowFeed is a store whose lists take some time.
type slowFeed struct {
	fakeFeed
	takes time.Duration
}

func (f *slowFeed) List(ctx context.Context, kind string) ([]bramleytack.Object, bramleytack.Revision, error) {
	select {
	case <-time.After(f.takes):
		return f.fakeFeed.List(ctx, kind)
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// A configuration is so large, or the link so slow, that a list takes longer than
// firstListTimeout. Guards against a daemon that ends each list too early and never has a
// configuration.
func TestSlowFirstListSucceeds(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, timer *bttimer.Service) {
		f := &slowFeed{fakeFeed: fakeFeed{version: 3, historyGone: map[string]bool{}, hanging: map[string]bool{}}, takes: 1800 * time.Millisecond}
		var status StoreStatus
		ctx, stop := context.WithCancel(t.Context())
		go (&Watcher{Feed: f, Table: table, Timer: timer, Log: btevent.New(io.Discard, 0, "h"), Kind: bramleytack.KindConfig, StoreStatus: &status, Resync: &Resync{}}).Run(ctx)
		time.Sleep(10 * time.Second)
		assert.Assert(t, table.Snapshot() != nil)
		stop()
		time.Sleep(pollTimeout)
	})
}

// Guards against an entry without a name that is kept, and against one that cannot be read
// and takes the place of the others, or leaves its last readable version in force.
func TestUnreadableEntries(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
		table.Apply(config(1, 1))
		kind := bramleytack.KindUpstreams
		unreadable := func(name string, v bramleytack.Revision) bramleytack.Object {
			o := object(kind, name, v)
			o.Err = errors.New("unreadable")
			return o
		}
		table.Apply(Batch{Kind: kind, Full: true, Upto: 5, Objects: []bramleytack.Object{object(kind, "a", 3, 1), unreadable("", 4), object(kind, "b", 5, 1)}})
		assert.Equal(t, len(table.Snapshot().Upstreams), 2)
		assert.Equal(t, len(table.FullBatch(kind).Objects), 2)
		table.Apply(Batch{Kind: kind, Base: 5, Upto: 6, Objects: []bramleytack.Object{unreadable("b", 6)}})
		assert.Equal(t, len(table.Snapshot().Upstreams), 1)
	})
}

// A full list lacks an object. Guards against a removal that is not announced as a change,
// so that other daemons do not pull it.
func TestRemovalByListIsAnnounced(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
		kind := bramleytack.KindEvacuations
		table.Apply(Batch{Kind: kind, Full: true, Upto: 5, Objects: []bramleytack.Object{object(kind, "a", 3), object(kind, "b", 4)}})
		assert.Equal(t, table.LastChange(kind), bramleytack.Revision(4))
		table.Apply(Batch{Kind: kind, Full: true, Upto: 9, Objects: []bramleytack.Object{object(kind, "a", 3)}})
		assert.Equal(t, table.LastChange(kind), bramleytack.Revision(9))
	})
}

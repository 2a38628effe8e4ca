package btreplica

import (
	"context"
	"fmt"
	"io"
	"maps"
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

// inForceWithin is the time within which a confirmed change is in force at a daemon that reaches the
// store: config_ms of the users' sheets.
const inForceWithin = 4 * time.Second

// disturbed is the time for which the store counts as disturbed after its return: stable_window_ms of
// the users' sheets.
const disturbed = 5 * time.Second

// copyStore is a store that may come back from an older copy of itself.
type copyStore struct {
	mu      sync.Mutex
	epoch   uint64
	state   copyState
	changed chan struct{}
	away    bool
	calls   int
}

// copyState is what a copy has: the number of the last change and the last change of each name.
type copyState struct {
	number uint64
	last   map[string]copyEntry
}

type copyEntry struct {
	object bramleytack.Object
	number uint64
}

func newCopyStore() *copyStore {
	return &copyStore{changed: make(chan struct{}), state: copyState{number: 10, last: map[string]copyEntry{}}}
}

func (s *copyStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write makes one change. No data removes the object.
func (s *copyStore) write(kind, name string, data ...byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.number++
	o := object(kind, name, 0, data...)
	o.Deleted = len(data) == 0
	s.state.last[kind+"/"+name] = copyEntry{object: o, number: s.state.number}
	s.notify()
}

// copy returns a copy of the store.
func (s *copyStore) copy() copyState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copyState{number: s.state.number, last: maps.Clone(s.state.last)}
}

// setAway makes all calls fail, or ends that.
func (s *copyStore) setAway(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = on
	s.notify()
}

// restore makes a copy the store's state.
func (s *copyStore) restore(c copyState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.away = false
	s.state = copyState{number: c.number, last: maps.Clone(c.last)}
	s.notify()
}

// since returns the objects that changed after a number, without removed ones if it is 0.
func (s *copyStore) since(kind string, after uint64) (objects []bramleytack.Object) {
	for _, e := range s.state.last {
		if e.object.Kind != kind || e.number <= after || after == 0 && e.object.Deleted {
			continue
		}
		o := e.object
		o.Version = revision(s.epoch, e.number)
		objects = append(objects, o)
	}
	return objects
}

func (s *copyStore) List(_ context.Context, kind string) ([]bramleytack.Object, bramleytack.Revision, error) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return nil, 0, bramleytack.ErrStoreDown
	}
	return s.since(kind, 0), revision(s.epoch, s.state.number), nil
}

func (s *copyStore) Changes(ctx context.Context, kind string, after bramleytack.Revision, wait time.Duration) ([]bramleytack.Object, bramleytack.Revision, error) {
	time.Sleep(4 * time.Millisecond)
	timeout := time.After(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for waiting := true; ; {
		objects, epoch, upto := s.since(kind, after.Number()), s.epoch, revision(s.epoch, s.state.number)
		switch {
		case s.away:
			return nil, 0, bramleytack.ErrStoreDown
		case after.Number() > s.state.number:
			return nil, 0, bramleytack.ErrHistoryGone
		case len(objects) > 0 || !waiting:
			// As the client of the platform's store does.
			if epoch != after.Epoch() {
				return nil, 0, errors.Wrap(bramleytack.ErrHistoryGone, "other epoch")
			}
			return objects, upto, nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
		}
		s.mu.Lock()
		if ctx.Err() != nil {
			return nil, 0, bramleytack.ErrStoreDown
		}
	}
}

func revision(epoch, number uint64) bramleytack.Revision {
	r, err := bramleytack.NewRevision(epoch, number)
	if err != nil {
		panic(err)
	}
	return r
}

// replica is a daemon's replica of a copyStore.
type replica struct {
	t     *testing.T
	store *copyStore
	table *Table
	log   *btevent.Logger
	timer *bttimer.Service
	stop  context.CancelFunc
}

// follow starts a daemon that follows the store.
func follow(t *testing.T, s *copyStore) *replica {
	timer := bttimer.New(1)
	log := btevent.New(io.Discard, 0, "h")
	r := &replica{t: t, store: s, log: log, timer: timer, table: NewTable(codec{}, timer, log)}
	ctx, cancel := context.WithCancel(t.Context())
	r.stop = func() {
		cancel()
		synctest.Wait()
		timer.Close()
	}
	status, resync := &StoreStatus{}, &Resync{}
	for _, kind := range bramleytack.ReplicatedKinds {
		w := &Watcher{Feed: s, Table: r.table, Timer: timer, Log: log, Kind: kind, StoreStatus: status, Resync: resync}
		go w.Run(ctx)
	}
	go (&expirer{r, status}).run(ctx)
	return r
}

// expirer drops what has lapsed while the store is read, as a daemon does.
type expirer struct {
	r      *replica
	status *StoreStatus
}

func (e *expirer) run(ctx context.Context) {
	const period = 250 * time.Millisecond
	for e.r.timer.Sleep(ctx, period) == nil {
		if e.status.ReadsUpstreams(e.r.timer.Now()) {
			e.r.table.Expire()
		} else {
			e.r.table.Postpone(period)
		}
	}
}

// version returns the version of the configuration in force.
func (r *replica) version() uint64 {
	if s := r.table.Snapshot(); s != nil {
		return s.Version
	}
	return 0
}

// inCopyTime runs f in fake time with a store that holds configuration 4 and a daemon that follows it.
func inCopyTime(t *testing.T, f func(t *testing.T, s *copyStore, r *replica)) {
	synctest.Test(t, func(t *testing.T) {
		s := newCopyStore()
		s.write(bramleytack.KindConfig, "main", 4)
		r := follow(t, s)
		// Goroutines must end before the synctest bubble does.
		defer time.Sleep(time.Minute)
		defer r.stop()
		time.Sleep(time.Second)
		assert.Equal(t, r.version(), uint64(4))
		f(t, s, r)
	})
}

// The store loses a configuration that was in force, which the operator writes again or replaces.
// Guards against a replica that compares the revisions of the copy with those from before: confirmed
// changes would not come into force.
func TestChangesAfterTheStoreIsRestored(t *testing.T) {
	for _, c := range []struct {
		name string
		// lost and again are the numbers of changes that the copy lacks and that are written after it.
		lost, again int
		away        time.Duration
	}{
		{"revision lower than before", 5, 1, 2 * time.Second},
		{"same revision as before", 5, 5, 2 * time.Second},
		{"revision higher than before", 5, 9, 2 * time.Second},
		{"without an outage", 5, 1, 0},
		{"without an outage, same revision", 5, 5, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCopyTime(t, func(t *testing.T, s *copyStore, r *replica) {
				copied := s.copy()
				for i := range c.lost {
					s.write(bramleytack.KindConfig, "main", byte(5+i))
				}
				time.Sleep(time.Second)
				assert.Equal(t, r.version(), uint64(4+c.lost))
				if c.away > 0 {
					s.setAway(true)
					time.Sleep(c.away)
				}
				s.restore(copied)
				for i := range c.again {
					// The last change is a new one, the others are written again.
					s.write(bramleytack.KindConfig, "main", byte(5+c.lost-c.again+1+i))
				}
				time.Sleep(inForceWithin)
				assert.Equal(t, r.version(), uint64(5+c.lost))
				s.write(bramleytack.KindConfig, "main", 40)
				s.write(bramleytack.KindUpstreams, "a", 1)
				time.Sleep(inForceWithin)
				assert.Equal(t, r.version(), uint64(40))
				assert.Equal(t, len(r.table.Snapshot().Upstreams), 1)
			})
		})
	}
}

// Guards against a second copy whose revisions are taken for those of the first one.
func TestStoreIsRestoredTwice(t *testing.T) {
	inCopyTime(t, func(t *testing.T, s *copyStore, r *replica) {
		copied := s.copy()
		version := byte(4)
		for range 3 {
			version += 2
			s.write(bramleytack.KindConfig, "main", version-1)
			s.write(bramleytack.KindConfig, "main", version)
			time.Sleep(time.Second)
			s.restore(copied)
		}
		version++
		s.write(bramleytack.KindConfig, "main", version)
		time.Sleep(inForceWithin)
		assert.Equal(t, r.version(), uint64(version))
	})
}

// Guards against calls to the store without a pause after it has been restored: each costs.
func TestCallsAfterTheStoreIsRestored(t *testing.T) {
	inCopyTime(t, func(t *testing.T, s *copyStore, _ *replica) {
		copied := s.copy()
		s.write(bramleytack.KindConfig, "main", 5)
		time.Sleep(time.Second)
		s.restore(copied)
		time.Sleep(time.Second)
		s.mu.Lock()
		s.calls = 0
		s.mu.Unlock()
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		// A poll is open for 2.4 s at most and the polls of the three kinds are spaced evenly.
		assert.Assert(t, s.calls <= 30, "%d calls in 10 s", s.calls)
	})
}

// Guards against epochs that come out of order: what a daemon of the earlier epoch sends late must not
// replace what the later epoch has, and its changes must not be added to a replica of the later one.
func TestBatchesOfAnEarlierEpoch(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
		kind := bramleytack.KindUpstreams
		entry := func(epoch, number uint64, name string) bramleytack.Object {
			return object(kind, name, revision(epoch, number), 1)
		}
		table.Apply(config(1, 1))
		assert.Assert(t, table.Apply(Batch{Kind: kind, Full: true, Upto: revision(2, 5), Objects: []bramleytack.Object{entry(2, 5, "a")}}))
		for epoch := range uint64(2) {
			assert.Assert(t, table.Apply(Batch{Kind: kind, Full: true, Upto: revision(epoch, 90), Objects: []bramleytack.Object{entry(epoch, 90, "b")}}))
			assert.Assert(t, table.Apply(Batch{Kind: kind, Base: revision(epoch, 3), Upto: revision(epoch, 91), Objects: []bramleytack.Object{entry(epoch, 91, "b")}}))
		}
		assert.Assert(t, !table.Apply(Batch{Kind: kind, Base: revision(3, 5), Upto: revision(3, 6), Objects: []bramleytack.Object{entry(3, 6, "b")}}), "a later epoch begins with a list")
		assert.DeepEqual(t, fmt.Sprint(len(table.Snapshot().Upstreams), table.Upto(kind)), "1 2:5")
	})
}

// The copy has an older configuration, or none, and the operator does not write the newer one again
// for a while. Guards against an older configuration in force, and against one that daemons give to
// others that start.
func TestCopyReplacesNoNewerConfiguration(t *testing.T) {
	for name, copied := range map[string][]bramleytack.Object{"older": {object(bramleytack.KindConfig, "main", revision(1, 5), 3)}, "none": nil} {
		t.Run(name, func(t *testing.T) {
			inFakeTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
				table.Apply(config(revision(0, 9), 4))
				for number := range uint64(2) {
					table.Apply(Batch{Kind: bramleytack.KindConfig, Full: true, Upto: revision(1, 6+number), Objects: copied, FromStore: true})
					b := table.FullBatch(bramleytack.KindConfig)
					assert.Equal(t, len(b.Objects), 1)
					assert.DeepEqual(t, []any{table.ConfigVersion(), b.Objects[0].Data, b.Upto}, []any{uint64(4), []byte{4}, revision(1, 6+number)})
				}
				table.Apply(config(revision(1, 8), 4))
				assert.Equal(t, table.FullBatch(bramleytack.KindConfig).Objects[0].Version, revision(1, 8), "written again")
				table.Apply(config(revision(1, 9), 5))
				assert.Equal(t, table.ConfigVersion(), uint64(5))
			})
		})
	}
}

// A daemon that has started lists the copy first. Guards against the newer configuration of another
// daemon that is dropped because its revision is from before.
func TestNewerConfigurationOfAPeerCounts(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
		table.Apply(config(revision(1, 6), 3))
		peer := config(revision(0, 9), 4)
		for _, upto := range []bramleytack.Revision{revision(1, 6), revision(0, 9)} {
			peer.Upto = upto
			assert.Assert(t, table.Apply(peer))
			assert.Equal(t, table.ConfigVersion(), uint64(4))
		}
		peer.Objects[0].Data = []byte{2}
		table.Apply(peer)
		assert.Equal(t, table.ConfigVersion(), uint64(4))
	})
}

// isOut reports whether a failure domain is out of service.
func (r *replica) isOut(name string) bool {
	d := r.table.Snapshot().FailureDomains[bramleytack.FailureDomainID(name)]
	return d != nil && d.State == bramleytack.DomainOut
}

// holds fails the test unless ok stays true for a time.
func (r *replica) holds(d time.Duration, ok func() bool, text string) {
	r.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !ok() {
			assert.Assert(r.t, false, "%s: %v before the end", text, time.Until(end))
		}
	}
}

// The copy is from before a failure domain was taken out of service. Guards against requests into it
// until the operator has written that again, and against a domain that stays out for ever.
func TestDomainStaysOutAlthoughTheCopyLacksIt(t *testing.T) {
	for _, away := range []time.Duration{0, 2 * time.Second} {
		for _, again := range []bool{true, false} {
			t.Run(fmt.Sprintf("away %v, written again %v", away, again), func(t *testing.T) {
				inCopyTime(t, func(t *testing.T, s *copyStore, r *replica) {
					copied := s.copy()
					s.write(bramleytack.KindEvacuations, "d", 1)
					time.Sleep(time.Second)
					s.setAway(away > 0)
					time.Sleep(away)
					s.restore(copied)
					out := func() bool { return r.isOut("d") }
					r.holds(disturbed/2, out, "out of service")
					s.write(bramleytack.KindEvacuations, "e", 1)
					r.holds(disturbed/2-100*time.Millisecond, out, "out of service")
					if again {
						s.write(bramleytack.KindEvacuations, "d", 1)
						time.Sleep(time.Second)
						r.holds(time.Minute, out, "written again")
						s.write(bramleytack.KindEvacuations, "d")
					}
					time.Sleep(inForceWithin)
					assert.Assert(t, !r.isOut("d") && r.isOut("e"))
				})
			})
		}
	}
}

// The copy has a failure domain out of service that was returned since. Guards against a domain that is
// out again without the operator's order, and against an order that is ignored.
func TestReturnedDomainStaysInService(t *testing.T) {
	inCopyTime(t, func(t *testing.T, s *copyStore, r *replica) {
		s.write(bramleytack.KindEvacuations, "d", 1)
		time.Sleep(time.Second)
		copied := s.copy()
		s.write(bramleytack.KindEvacuations, "d")
		time.Sleep(time.Second)
		s.restore(copied)
		in := func() bool { return !r.isOut("d") }
		r.holds(lapseGrace-100*time.Millisecond, in, "in service")
		s.write(bramleytack.KindEvacuations, "d")
		r.holds(time.Minute, in, "removed again")
		s.write(bramleytack.KindEvacuations, "d", 1)
		time.Sleep(inForceWithin)
		assert.Assert(t, r.isOut("d"), "new order")
		// A second copy has it, and the operator does not remove it.
		copied = s.copy()
		s.write(bramleytack.KindEvacuations, "d")
		time.Sleep(time.Second)
		s.restore(copied)
		r.holds(lapseGrace-100*time.Millisecond, in, "in service")
		time.Sleep(copyGrace)
		assert.Assert(t, r.isOut("d"), "not removed again")
	})
}

// state returns the state of an upstream, empty without a registration.
func (r *replica) state(name string) bramleytack.UpstreamState {
	if u := r.table.Snapshot().Upstreams[bramleytack.UpstreamID(name)]; u != nil {
		return u.State
	}
	return ""
}

// The copy has earlier registrations of upstreams, and lacks later ones. Guards against new work for an
// instance that is leaving or gone, and against live upstreams that are dropped until they have registered
// again.
func TestRegistrationsOfACopy(t *testing.T) {
	inCopyTime(t, func(t *testing.T, s *copyStore, r *replica) {
		kind := bramleytack.KindUpstreams
		for _, name := range []string{"draining", "gone", "stays"} {
			s.write(kind, name, 1, 1)
		}
		time.Sleep(time.Second)
		copied := s.copy()
		s.write(kind, "draining", leaving, 1)
		s.write(kind, "gone")
		s.write(kind, "new", 1, 2)
		time.Sleep(time.Second)
		s.restore(copied)
		r.holds(lapseGrace-100*time.Millisecond, func() bool {
			return r.state("draining") == bramleytack.UpstreamLeaving && r.state("gone") == "" && r.state("stays") == bramleytack.UpstreamActive && r.state("new") == bramleytack.UpstreamActive
		}, "as before")
		s.write(kind, "new", 1, 2)
		// The store drops the registration of an instance that does not write it again.
		s.write(kind, "gone")
		r.holds(time.Minute, func() bool {
			return r.state("draining") == bramleytack.UpstreamLeaving && r.state("gone") == "" && r.state("new") == bramleytack.UpstreamActive
		}, "written again")
		s.write(kind, "draining", 1, 9)
		s.write(kind, "gone", 1, 9)
		time.Sleep(time.Second)
		assert.Assert(t, r.state("draining") == bramleytack.UpstreamActive && r.state("gone") == bramleytack.UpstreamActive, "later instances")
	})
}

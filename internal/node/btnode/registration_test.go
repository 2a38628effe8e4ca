package btnode

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/upstream/btconn"
)

// recordStore holds the records of daemons and may come back from a copy.
type recordStore struct {
	mu      sync.Mutex
	epoch   uint64
	number  uint64
	records map[string]bramleytack.Object
	calls   int
}

func (s *recordStore) revision() bramleytack.Revision {
	r, err := bramleytack.NewRevision(s.epoch, s.number)
	if err != nil {
		panic(err)
	}
	return r
}

func (s *recordStore) List(context.Context, string) ([]bramleytack.Object, bramleytack.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	var all []bramleytack.Object
	for _, o := range s.records {
		all = append(all, o)
	}
	return all, s.revision(), nil
}

func (s *recordStore) Changes(ctx context.Context, _ string, _ bramleytack.Revision, _ time.Duration) ([]bramleytack.Object, bramleytack.Revision, error) {
	<-ctx.Done()
	return nil, 0, bramleytack.ErrStoreDown
}

func (s *recordStore) Put(_ context.Context, o bramleytack.Object, expected bramleytack.Revision) (bramleytack.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.records[o.Name].Version != expected {
		return 0, bramleytack.ErrConflict
	}
	s.number++
	o.Version = s.revision()
	s.records[o.Name] = o
	return o.Version, nil
}

// restore empties the store, as a copy from before the daemon's start does.
func (s *recordStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.number, s.records, s.calls = 3, map[string]bramleytack.Object{}, 0
}

// has returns whether the store has a record of a daemon, and the number of calls.
func (s *recordStore) has(name string) (ok bool, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok = s.records[name]
	return ok, s.calls
}

// The store comes back from a copy that lacks the address of a daemon. Guards against daemons that do not
// find the others when they start later, and against calls that repeat what the store has.
func TestAddressIsWrittenAgainAfterACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &recordStore{number: 9, records: map[string]bramleytack.Object{}}
		pipe := &blockedPipe{free: make(chan struct{})}
		a := Adapter{Codec: stubCodec{}, Feed: s, Registry: s, Engines: func(*btconn.Pool) Engines { return noEngines{} }}
		n := New(Settings{Host: "h", Addr: netip.MustParseAddr("10.0.0.1")}, a, pipe)
		pipe.unblock()
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Minute)
		defer n.logs.Close()
		defer n.timer.Close()
		defer cancel()
		go (&registration{node: n}).run(ctx)
		for range 3 {
			time.Sleep(time.Minute)
			ok, calls := s.has("h")
			assert.Assert(t, ok && calls <= 3, "registered %t, %d calls", ok, calls)
			s.restore()
			n.table.Apply(btreplica.Batch{Kind: bramleytack.KindConfig, Full: true, Upto: s.revision()})
		}
	})
}

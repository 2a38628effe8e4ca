package btsuspect

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
)

// archiveStore holds one object.
type archiveStore struct {
	mu     sync.Mutex
	object bramleytack.Object
	down   bool
	puts   int
	// epoch is the number of times that the store was restored from a copy.
	epoch atomic.Uint64
}

// content returns a copy of the store's content.
func (s *archiveStore) content() bramleytack.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.object
}

// restore makes a copy the store's content.
func (s *archiveStore) restore(o bramleytack.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.object = o
	s.epoch.Add(1)
}

func (s *archiveStore) List(context.Context, string) ([]bramleytack.Object, bramleytack.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, bramleytack.ErrStoreDown
	}
	upto, err := bramleytack.NewRevision(s.epoch.Load(), s.object.Version.Number())
	return []bramleytack.Object{s.object}, upto, err
}

func (s *archiveStore) Put(_ context.Context, o bramleytack.Object, expected bramleytack.Revision) (bramleytack.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return 0, bramleytack.ErrStoreDown
	case s.object.Version != expected:
		return 0, bramleytack.ErrConflict
	}
	s.puts++
	o.Version = expected + 1
	s.object = o
	return o.Version, nil
}

// setDown sets whether all calls fail.
func (s *archiveStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// written returns the number of successful calls of Put.
func (s *archiveStore) written() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.puts
}

// archiveOf starts an archive of a table and returns the function that ends it.
func archiveOf(t *Table, s *archiveStore) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	always := func() bool { return true }
	go (&Archive{Table: t, Feed: s, Registry: s, Timer: t.Timer, Reads: always, Writes: always, Epoch: s.epoch.Load}).Run(ctx)
	return cancel
}

// Guards against a quarantine that ends because all daemons restart, and against one that
// is not found again because the store is away at the start.
func TestArchiveOutlivesRestart(t *testing.T) {
	run(t, func(table *Table, _ *recorder) {
		s := &archiveStore{}
		stop := archiveOf(table, s)
		crash(table, 1, 2, 3)
		time.Sleep(time.Second)
		assert.Equal(t, s.written(), 1)
		stop()
		s.setDown(true)
		next := New(&Table{Timer: table.Timer})
		defer archiveOf(next, s)()
		time.Sleep(time.Second)
		assert.Equal(t, next.Len(), 0)
		s.setDown(false)
		time.Sleep(2 * archiveRetry)
		assert.Assert(t, next.Len() == 1 && next.State()[0].Quarantined)
		assert.Equal(t, s.written(), 1)
	})
}

// Guards against a key that stays in the store after its quarantine has ended.
func TestArchiveFollowsClearing(t *testing.T) {
	run(t, func(table *Table, _ *recorder) {
		s := &archiveStore{}
		defer archiveOf(table, s)()
		crash(table, 1, 2, 3)
		time.Sleep(time.Second)
		table.ReportExecuted(0, fatal)
		time.Sleep(time.Second)
		next := New(&Table{Timer: table.Timer})
		defer archiveOf(next, s)()
		time.Sleep(time.Second)
		assert.Equal(t, next.Len(), 0)
	})
}

// Guards against an archive of another writer that cannot be read and keeps this daemon
// from writing, and against one of any size.
func TestArchiveReplacesUnreadable(t *testing.T) {
	for _, data := range []string{``, `[`, `{"records":7}`, `{"records":[{"key":"zz"}]}`, `{"records":[{"key":"01","newest":1e30}]}`} {
		run(t, func(table *Table, _ *recorder) {
			s := &archiveStore{object: bramleytack.Object{Key: bramleytack.Key{Name: archiveName}, Version: 7, Data: []byte(data)}}
			crash(table, 1, 2, 3)
			time.Sleep(settleTime)
			defer archiveOf(table, s)()
			time.Sleep(time.Second)
			assert.Equal(t, s.written(), 1)
		})
	}
}

// The store comes back from a copy that is older than the quarantine. Guards against a quarantine that
// ends with the next restart of all daemons, because nobody has written it again.
func TestArchiveIsWrittenAgainAfterACopy(t *testing.T) {
	run(t, func(table *Table, _ *recorder) {
		s := &archiveStore{}
		stop := archiveOf(table, s)
		time.Sleep(time.Second)
		copied := s.content()
		crash(table, 1, 2, 3)
		time.Sleep(time.Second)
		s.restore(copied)
		time.Sleep(time.Second)
		stop()
		next := New(&Table{Timer: table.Timer})
		defer archiveOf(next, s)()
		time.Sleep(time.Second)
		assert.Assert(t, next.Len() == 1 && next.State()[0].Quarantined)
	})
}

// The copy has a key in quarantine whose quarantine has ended since. Guards against sound requests that are
// rejected again.
func TestCopyOfArchiveRestoresNoQuarantine(t *testing.T) {
	run(t, func(table *Table, _ *recorder) {
		s := &archiveStore{}
		defer archiveOf(table, s)()
		crash(table, 1, 2, 3)
		time.Sleep(time.Second)
		copied := s.content()
		table.ReportExecuted(0, fatal)
		time.Sleep(5 * time.Second)
		s.restore(copied)
		time.Sleep(time.Second)
		quarantined := func(t *Table) bool { return t.Len() > 0 && t.State()[0].Quarantined }
		assert.Assert(t, !quarantined(table))
		next := New(&Table{Timer: table.Timer})
		defer archiveOf(next, s)()
		time.Sleep(time.Second)
		assert.Assert(t, !quarantined(next), "the archive was not cleared again")
	})
}

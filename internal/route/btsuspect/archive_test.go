package btsuspect

import (
	"context"
	"sync"
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
}

func (s *archiveStore) List(context.Context, string) ([]bramleytack.Object, bramleytack.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, bramleytack.ErrStoreDown
	}
	return []bramleytack.Object{s.object}, s.object.Version, nil
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
	go (&Archive{Table: t, Feed: s, Registry: s, Timer: t.Timer, Reads: always, Writes: always}).Run(ctx)
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
		table.ReportExecuted(fatal)
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
			defer archiveOf(table, s)()
			crash(table, 1, 2, 3)
			time.Sleep(time.Second)
			assert.Equal(t, s.written(), 1)
		})
	}
}

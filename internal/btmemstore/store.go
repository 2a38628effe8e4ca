package btmemstore

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// Counts are the numbers of calls that the store has taken.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

// Store is an in-memory bramleytack.Store. Use New.
type Store struct {
	mu       sync.Mutex
	revision bramleytack.Revision
	// history holds all versions of each object, oldest first.
	history map[bramleytack.Key][]bramleytack.Object
	changes []bramleytack.Object
	changed chan struct{}
	hosts   bramleytack.HostList
	fault   Fault
	counts  Counts
}

// New returns an empty store.
func New() *Store {
	return &Store{
		history: map[bramleytack.Key][]bramleytack.Object{},
		changed: make(chan struct{}),
	}
}

// SetFault replaces the store's fault.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wakeLocked()
}

// Fault returns the current fault with its remaining counts.
func (s *Store) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetHosts replaces the host list.
func (s *Store) SetHosts(l bramleytack.HostList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = l
}

// Revision returns the revision of the newest write.
func (s *Store) Revision() bramleytack.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Get implements bramleytack.Store.
func (s *Store) Get(ctx context.Context, key bramleytack.Key) (bramleytack.Object, error) {
	if err := s.enter(ctx, &s.counts.Reads); err != nil {
		return bramleytack.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.atLocked(key, s.readRevisionLocked())
	if !ok || o.Deleted {
		return bramleytack.Object{}, bramleytack.ErrNotFound
	}
	return clone(o), nil
}

// List implements bramleytack.Store.
func (s *Store) List(ctx context.Context, kind string) ([]bramleytack.Object, bramleytack.Revision, error) {
	if err := s.enter(ctx, &s.counts.Reads); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rev := s.readRevisionLocked()
	var list []bramleytack.Object
	for key := range s.history {
		if key.Kind != kind {
			continue
		}
		if o, ok := s.atLocked(key, rev); ok && !o.Deleted {
			list = append(list, clone(o))
		}
	}
	slices.SortFunc(list, func(a, b bramleytack.Object) int { return strings.Compare(a.Name, b.Name) })
	return list, rev, nil
}

// Put implements bramleytack.Store.
func (s *Store) Put(ctx context.Context, o bramleytack.Object, expected bramleytack.Revision) (bramleytack.Revision, error) {
	if len(o.Data) > bramleytack.MaxObjectBytes {
		return 0, errors.Newf("btmemstore: value of %d bytes is over the limit of %d", len(o.Data), bramleytack.MaxObjectBytes)
	}
	if !json.Valid(o.Data) {
		return 0, errors.New("btmemstore: value is not JSON")
	}
	o.Deleted = false
	return s.write(ctx, o, expected)
}

// Delete implements bramleytack.Store.
func (s *Store) Delete(ctx context.Context, key bramleytack.Key, expected bramleytack.Revision) (bramleytack.Revision, error) {
	return s.DeleteAs(ctx, key, "", expected)
}

// DeleteAs is Delete with the change id that the tombstone will carry.
func (s *Store) DeleteAs(ctx context.Context, key bramleytack.Key, change string, expected bramleytack.Revision) (bramleytack.Revision, error) {
	return s.write(ctx, bramleytack.Object{Key: key, ChangeID: change, Deleted: true}, expected)
}

// Watch implements bramleytack.Store.
func (s *Store) Watch(ctx context.Context, kind string, after bramleytack.Revision) (bramleytack.Watch, error) {
	if err := s.enter(ctx, &s.counts.Watches); err != nil {
		return nil, err
	}
	return &watch{store: s, kind: kind, after: after, closed: make(chan struct{})}, nil
}

// Hosts implements bramleytack.Store.
func (s *Store) Hosts(ctx context.Context) (bramleytack.HostList, error) {
	if err := s.enter(ctx, &s.counts.Reads); err != nil {
		return bramleytack.HostList{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.hosts
	l.Hosts = slices.Clone(l.Hosts)
	return l, nil
}

// Leaving marks a host in the host list as leaving, or as staying.
func (s *Store) Leaving(addr netip.Addr, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.hosts.Hosts {
		if s.hosts.Hosts[i].Addr == addr {
			s.hosts.Hosts[i].Leaving = leaving
			return
		}
	}
	s.hosts.Hosts = append(s.hosts.Hosts, bramleytack.HostState{Addr: addr, Leaving: leaving})
}

// enter counts a call and applies latency and outages.
func (s *Store) enter(ctx context.Context, count *int) error {
	s.mu.Lock()
	*count++
	f := s.fault
	s.mu.Unlock()
	if f.Latency > 0 {
		t := time.NewTimer(f.Latency)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return errors.Mark(err, bramleytack.ErrStoreDown)
	}
	if f.Down {
		return bramleytack.ErrStoreDown
	}
	return nil
}

func (s *Store) write(ctx context.Context, o bramleytack.Object, expected bramleytack.Revision) (bramleytack.Revision, error) {
	if err := s.enter(ctx, &s.counts.Writes); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.DropWrites > 0 {
		s.fault.DropWrites--
		return 0, bramleytack.ErrStoreUnknown
	}
	if current, ok := s.atLocked(o.Key, s.revision); versionOf(current, ok) != expected {
		return 0, bramleytack.ErrConflict
	}
	s.revision++
	o = clone(o)
	o.Version = s.revision
	s.history[o.Key] = append(s.history[o.Key], o)
	s.changes = append(s.changes, o)
	s.wakeLocked()
	if s.fault.LoseReplies > 0 {
		s.fault.LoseReplies--
		return 0, bramleytack.ErrStoreUnknown
	}
	return o.Version, nil
}

func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) readRevisionLocked() bramleytack.Revision {
	if stale := bramleytack.Revision(s.fault.StaleReads); stale > 0 && stale < s.revision {
		return stale
	}
	return s.revision
}

// atLocked returns the version of an object that was current at a revision.
func (s *Store) atLocked(key bramleytack.Key, rev bramleytack.Revision) (bramleytack.Object, bool) {
	h := s.history[key]
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].Version <= rev {
			return h[i], true
		}
	}
	return bramleytack.Object{}, false
}

func versionOf(o bramleytack.Object, ok bool) bramleytack.Revision {
	if !ok || o.Deleted {
		return 0
	}
	return o.Version
}

func clone(o bramleytack.Object) bramleytack.Object {
	o.Data = bytes.Clone(o.Data)
	return o
}

package btentry_test

import (
	"context"
	"sync"

	"bramleytack"
)

// memoryStore is the store of a harness. It outlives the daemons.
type memoryStore struct {
	mu       sync.Mutex
	revision bramleytack.Revision
	objects  map[bramleytack.Key]bramleytack.Object
	// down makes all calls fail.
	down bool
}

// List implements bramleytack.Lister.
func (s *memoryStore) List(_ context.Context, kind string) ([]bramleytack.Object, bramleytack.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, bramleytack.ErrStoreDown
	}
	var all []bramleytack.Object
	for key, o := range s.objects {
		if key.Kind == kind {
			all = append(all, o)
		}
	}
	return all, s.revision, nil
}

// Put implements bramleytack.Registry.
func (s *memoryStore) Put(_ context.Context, o bramleytack.Object, expected bramleytack.Revision) (bramleytack.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return 0, bramleytack.ErrStoreDown
	case s.objects[o.Key].Version != expected:
		return 0, bramleytack.ErrConflict
	}
	if s.objects == nil {
		s.objects = map[bramleytack.Key]bramleytack.Object{}
	}
	s.revision++
	o.Version = s.revision
	s.objects[o.Key] = o
	return s.revision, nil
}

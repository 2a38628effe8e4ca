package btfront

import (
	"context"
	"sync"

	"bramleytack"
)

// streamSet holds the open event streams and sends their heartbeats from one
// goroutine. The zero value is an empty set.
type streamSet struct {
	mu   sync.Mutex
	open map[*eventWriter]struct{}
}

func (s *streamSet) add(e *eventWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*eventWriter]struct{}{}
	}
	s.open[e] = struct{}{}
}

func (s *streamSet) remove(e *eventWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, e)
}

func (s *streamSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

func (s *streamSet) snapshot() []*eventWriter {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*eventWriter, 0, len(s.open))
	for e := range s.open {
		list = append(list, e)
	}
	return list
}

// run sends a heartbeat on each stream that was idle for half of
// HeartbeatPeriod. It checks as often, so that no stream stays idle for longer
// than HeartbeatPeriod.
func (s *streamSet) run(ctx context.Context, timer bramleytack.Timer) {
	ticker := timer.Every(HeartbeatPeriod/2, 0)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C():
			for _, e := range s.snapshot() {
				e.heartbeat(now.Add(-HeartbeatPeriod / 2))
			}
		case <-ctx.Done():
			return
		}
	}
}

package btfront

import (
	"context"
	"sync"

	"bramleytack"
)

// streamSet sends heartbeats on the open streams, with one goroutine for all.
type streamSet struct {
	mu   sync.Mutex
	open map[*eventReply]struct{}
}

func (s *streamSet) add(e *eventReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*eventReply]struct{}{}
	}
	s.open[e] = struct{}{}
}

func (s *streamSet) remove(e *eventReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, e)
}

func (s *streamSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

func (s *streamSet) all() []*eventReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*eventReply, 0, len(s.open))
	for e := range s.open {
		list = append(list, e)
	}
	return list
}

func (s *streamSet) run(ctx context.Context, timer bramleytack.Timer) {
	tick := timer.Every(HeartbeatPeriod/2, 0)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C():
			for _, e := range s.all() {
				e.heartbeat(now.Add(-HeartbeatPeriod / 2))
			}
		case <-ctx.Done():
			return
		}
	}
}

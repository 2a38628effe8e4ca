package btentry

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/internal/upstream/btconn"
)

// stopOrders is what is known of the orders to stop a request, by the engine that they were given
// to. It tells whether an engine may have closed a stream because the daemon ordered it to. It is
// safe for concurrent use, and the zero value has no orders.
type stopOrders struct {
	mu      sync.Mutex
	engines map[bramleytack.UpstreamID]*engineOrders
}

// engineOrders is what is known of the orders to one engine.
type engineOrders struct {
	// open counts the orders that still may be carried out.
	open int
	// obeyedAt is the newest time by which the engine may have stopped a run, zero if it
	// certainly has not.
	obeyedAt time.Time
}

// begin records an order before it is given.
func (s *stopOrders) begin(u bramleytack.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engines == nil {
		s.engines = map[bramleytack.UpstreamID]*engineOrders{}
	}
	if s.engines[u] == nil {
		s.engines[u] = &engineOrders{}
	}
	s.engines[u].open++
}

// answered records the answer of bramleytack.EngineMover.Stop to one call for a begun order.
func (s *stopOrders) answered(u bramleytack.UpstreamID, err error, now time.Time) {
	if errors.IsAny(err, bramleytack.ErrNoGeneration, bramleytack.ErrOrderRefused, btconn.ErrUnsent) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[u].obeyedAt = now
}

// end records that a begun order is given no more, and that nothing of it is on its way.
func (s *stopOrders) end(u bramleytack.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[u].open--
}

// mayHaveStopped reports whether an engine may have stopped a run that began at a time because it
// was ordered to.
func (s *stopOrders) mayHaveStopped(u bramleytack.UpstreamID, began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.engines[u]
	return o != nil && (o.open > 0 || !o.obeyedAt.IsZero() && !o.obeyedAt.Before(began))
}

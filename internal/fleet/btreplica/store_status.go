package btreplica

import (
	"sync"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

// readValidity is how long after an answer a daemon counts as a reader of the store. It
// is longer than the time after which an unanswered poll fails.
const readValidity = pollTimeout + time.Second

// StoreStatus records whether the store answers the calls of this daemon's watchers,
// which share it. The zero value is ready to use and counts as answering.
type StoreStatus struct {
	mu sync.Mutex
	// lastFailure is the time of the latest call that failed.
	lastFailure time.Time
	// down is set if the latest call failed.
	down bool
	// upstreamsReadAt is the time of the latest answer about upstreams.
	upstreamsReadAt time.Time
	// OnDown is called on the first failed call after an answer. It may be nil.
	OnDown func()
	// prober is the one watcher that calls the store while it is down.
	prober *Watcher
}

// mayCall reports whether a watcher may call the store. While the store is down, one
// watcher probes it for all, because failed calls count against the store's rate limit,
// too.
func (s *StoreStatus) mayCall(w *Watcher) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		return true
	}
	if s.prober == nil {
		s.prober = w
	}
	return s.prober == w
}

// releaseProbe lets another watcher probe the store if w is the prober.
func (s *StoreStatus) releaseProbe(w *Watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prober == w {
		s.prober = nil
	}
}

// recordSuccess notes an answer of the store about a kind.
func (s *StoreStatus) recordSuccess(log *btevent.Logger, kind string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == bramleytack.KindUpstreams {
		s.upstreamsReadAt = now
	}
	s.prober = nil
	if s.down {
		s.down = false
		log.Event(btevent.StoreRecovered).Dur("away", now.Sub(s.lastFailure)).Send()
	}
}

// recordFailure notes a failed call and reports whether it is the first after an
// answer.
func (s *StoreStatus) recordFailure(log *btevent.Logger, now time.Time, err error) bool {
	if !s.markDown(now) {
		return false
	}
	log.Event(btevent.StoreDown).Err(err).Send()
	if s.OnDown != nil {
		s.OnDown()
	}
	return true
}

// markDown notes the time of a failed call and reports whether the store was up.
func (s *StoreStatus) markDown(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFailure = now
	wasDown := s.down
	s.down = true
	return !wasDown
}

// ReadsUpstreams reports whether the store is up and has answered a call about
// upstreams recently.
func (s *StoreStatus) ReadsUpstreams(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down && !s.upstreamsReadAt.IsZero() && now.Sub(s.upstreamsReadAt) < readValidity
}

// Down reports whether the latest call failed.
func (s *StoreStatus) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// DownRecently reports whether the store is down or a call failed within
// reregisterWindow.
func (s *StoreStatus) DownRecently(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || !s.lastFailure.IsZero() && now.Sub(s.lastFailure) < reregisterWindow
}

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

// returnWindow is how long after the return of the store its answers may still show
// registrations as missing that lapsed while it was away. The first lists come within it.
const returnWindow = 500 * time.Millisecond

// awayAfter is how long no daemon reads the store until a daemon that has not called it
// itself takes it as away. Others take over from readers in less time.
const awayAfter = 500 * time.Millisecond

// StoreStatus records whether the store answers the calls of this daemon's watchers,
// which share it. The zero value is ready to use and counts as answering.
type StoreStatus struct {
	mu sync.Mutex
	// lastFailure is the time of the latest call that failed.
	lastFailure time.Time
	// unreadSince is the time since which no daemon reads the registrations of upstreams,
	// zero if one does.
	unreadSince time.Time
	// awayAt is the latest time at which the store was away for all daemons.
	awayAt time.Time
	// down is set if the latest call failed.
	down bool
	// upstreamsReadAt is the time of the latest answer about upstreams.
	upstreamsReadAt time.Time
	// OnDown is called on the first failed call after an answer. It may be nil.
	OnDown func()
	// PeerReads reports whether another daemon reads the store and gets answers. Nil means
	// that there are no others.
	PeerReads func() bool
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
	return s.readsUpstreams(now)
}

// readsUpstreams is ReadsUpstreams for a caller that holds the lock.
func (s *StoreStatus) readsUpstreams(now time.Time) bool {
	return !s.down && !s.upstreamsReadAt.IsZero() && now.Sub(s.upstreamsReadAt) < readValidity
}

// Down reports whether the latest call failed.
func (s *StoreStatus) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Returned reports whether an answer that arrives now may miss registrations that lapsed
// while the store was away for all daemons: it is the first one, or came within
// returnWindow after it. A store that answers others was not away.
func (s *StoreStatus) Returned(now time.Time) bool {
	s.observe(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.awayAt.IsZero() && now.Sub(s.awayAt) < returnWindow
}

// observe notes whether the store is away for all daemons. Watchers call it each
// inactiveInterval unless they wait for an answer.
func (s *StoreStatus) observe(now time.Time) {
	peerReads := s.PeerReads != nil && s.PeerReads()
	s.mu.Lock()
	defer s.mu.Unlock()
	if peerReads || s.readsUpstreams(now) {
		s.unreadSince = time.Time{}
		return
	}
	if s.unreadSince.IsZero() {
		s.unreadSince = now
	}
	if s.down || now.Sub(s.unreadSince) >= awayAfter {
		s.awayAt = now
	}
}

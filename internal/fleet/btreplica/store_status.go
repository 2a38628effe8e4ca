package btreplica

import (
	"slices"
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

const (
	// minLateMargin is how long after it is due an answer counts as late. It exceeds the
	// answers of a store that is 60 times slower than usual. The margin grows with the
	// answers, up to maxLateMargin, at which polls fail.
	minLateMargin = 300 * time.Millisecond
	maxLateMargin = 700 * time.Millisecond
)

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
	// late is set if an answer is late and none has come since it was due. Other daemons
	// then take over, before the call fails.
	late bool
	// answeredAt is the time of the latest answer, delay its delay after it was due.
	answeredAt time.Time
	delay      time.Duration
	// due holds when the latest call of each watcher that follows its kind is to be
	// answered.
	due map[*Watcher]time.Time
	// upstreamsReadAt is the time of the latest answer about upstreams.
	upstreamsReadAt time.Time
	// OnDown is called on the first failed call or late answer after an answer. It may be
	// nil.
	OnDown func()
	// PeerReads reports whether another daemon reads the store and gets answers. Nil means
	// that there are no others.
	PeerReads func() bool
	// prober is the one watcher that calls the store while it is down.
	prober *Watcher
}

// mayCall reports whether a watcher may call the store. While the store is down, or has
// not answered this daemon recently, one watcher probes it for all, because failed calls
// count against the store's rate limit, too.
func (s *StoreStatus) mayCall(w *Watcher) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down && (w.Table.Snapshot() == nil || w.Timer.Now().Sub(s.answeredAt) < readValidity) {
		return true
	}
	if s.prober == nil {
		s.prober = w
	}
	return s.prober == w
}

// release lets another watcher probe the store if w is the prober, and expects no answers
// of w any more.
func (s *StoreStatus) release(w *Watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.due, w)
	if s.prober == w {
		s.prober = nil
	}
}

// spacedWait returns the length of a poll of w, at most pollTimeout, with which the answers
// to the polls of all watchers are due at even distances, up to a quarter more after an
// early answer. A silence of the store then shows soon without further calls.
func (s *StoreStatus) spacedWait(w *Watcher, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var others []time.Duration
	for o, due := range s.due {
		if o != w && due.After(now) {
			others = append(others, due.Sub(now))
		}
	}
	slices.Sort(others)
	if s.due == nil {
		s.due = map[*Watcher]time.Time{}
	}
	s.due[w] = now
	distance := pollTimeout / time.Duration(len(s.due))
	var last time.Duration
	for _, due := range others {
		if due-last > distance+distance/4 {
			break
		}
		last = due
	}
	return min(last+distance, pollTimeout)
}

// expect notes when the call that w begins is to be answered, and returns how much later
// the answer counts as late.
func (s *StoreStatus) expect(w *Watcher, due time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.due == nil {
		s.due = map[*Watcher]time.Time{}
	}
	s.due[w] = due
	return min(max(2*s.delay, minLateMargin), maxLateMargin)
}

// recordLate notes that an answer is late, unless another one has come since it was due.
func (s *StoreStatus) recordLate(log *btevent.Logger, due time.Time) {
	s.mu.Lock()
	first := !s.down && !s.late && s.answeredAt.Before(due)
	s.late = s.late || first
	s.mu.Unlock()
	if first {
		log.Event(btevent.StoreLate).Time("due", due).Send()
		if s.OnDown != nil {
			s.OnDown()
		}
	}
}

// recordSuccess notes an answer of the store to a watcher.
func (s *StoreStatus) recordSuccess(w *Watcher, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt, s.late = now, false
	if due, ok := s.due[w]; ok && !now.Before(due) {
		s.delay = now.Sub(due)
	}
	if w.Kind == bramleytack.KindUpstreams {
		s.upstreamsReadAt = now
	}
	s.prober = nil
	if s.down {
		s.down = false
		w.Log.Event(btevent.StoreRecovered).Dur("away", now.Sub(s.lastFailure)).Send()
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

// Unanswered reports whether the latest call failed or its answer is late. Other daemons
// then read the store.
func (s *StoreStatus) Unanswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.late
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

package bttimer

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bramleytack"
)

// idleWait is how long the service waits when no alarm is pending.
const idleWait = time.Hour

// Service implements bramleytack.Timer. It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	pending alarmHeap
	rng     *rand.Rand
	wake    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New returns a running service. The seed determines the jitter of its alarms.
func New(seed uint64) *Service {
	s := &Service{
		rng:  rand.New(rand.NewPCG(seed, seed)),
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
	go s.run()
	return s
}

// Close stops the service. Alarms that are pending never fire.
func (s *Service) Close() {
	s.once.Do(func() { close(s.done) })
}

// Now returns the current time.
func (s *Service) Now() time.Time { return time.Now() }

// After returns an alarm that fires once after d.
func (s *Service) After(d time.Duration) bramleytack.Alarm {
	return s.add(&alarm{due: s.Now().Add(d)})
}

// Every returns an alarm that fires repeatedly. Each period is shortened by a random
// time below jitter. A firing is dropped while the previous one is unread.
func (s *Service) Every(period, jitter time.Duration) bramleytack.Alarm {
	a := &alarm{period: period, jitter: jitter}
	s.mu.Lock()
	a.due = s.Now().Add(s.nextWait(a))
	s.mu.Unlock()
	return s.add(a)
}

// Sleep returns after d, or earlier with the context's error.
func (s *Service) Sleep(ctx context.Context, d time.Duration) error {
	a := s.After(d)
	defer a.Stop()
	select {
	case <-a.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pending returns the number of pending alarms.
func (s *Service) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

func (s *Service) add(a *alarm) *alarm {
	a.service = s
	a.c = make(chan time.Time, 1)
	s.mu.Lock()
	heap.Push(&s.pending, a)
	first := a.index == 0
	s.mu.Unlock()
	if first {
		s.notify()
	}
	return a
}

func (s *Service) remove(a *alarm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.period = 0
	if a.index >= 0 {
		heap.Remove(&s.pending, a.index)
	}
}

// nextWait returns the time to the next firing of a periodic alarm. The caller
// holds mu.
func (s *Service) nextWait(a *alarm) time.Duration {
	if a.jitter <= 0 {
		return a.period
	}
	return a.period - time.Duration(s.rng.Int64N(int64(a.jitter)))
}

func (s *Service) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) run() {
	t := time.NewTimer(idleWait)
	defer t.Stop()
	for {
		t.Reset(s.fire())
		select {
		case <-t.C:
		case <-s.wake:
		case <-s.done:
			return
		}
	}
}

// fire sends all alarms that are due and returns the time to the next one.
func (s *Service) fire() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for len(s.pending) > 0 {
		a := s.pending[0]
		if d := a.due.Sub(now); d > 0 {
			return d
		}
		a.send(now)
		if a.period <= 0 {
			heap.Pop(&s.pending)
			continue
		}
		a.due = now.Add(s.nextWait(a))
		heap.Fix(&s.pending, 0)
	}
	return idleWait
}

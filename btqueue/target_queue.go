package btqueue

import (
	"time"
)

// intervalSampleWeight is the weight of a new sample in the moving average of the
// time between two grants.
const intervalSampleWeight = 0.1

// waiter is a request in a targetQueue.
type waiter struct {
	Item
	queue *targetQueue
	// signal receives a value when the waiter may try or was evicted.
	signal  chan signal
	granted bool
	// eventsAtTry is the queue's count of events when the waiter began its try.
	eventsAtTry uint64
	// immediateRetries counts the rejections of this waiter after which a waiter
	// tried again at once.
	immediateRetries int
}

// maxImmediateRetries bounds waiter.immediateRetries. An upstream that rejects
// what its owner grants must not cause a busy loop.
const maxImmediateRetries = 8

// signal is the reason why a waiter stops waiting.
type signal uint8

const (
	signalTry signal = iota
	signalEvicted
)

// targetQueue holds the waiting requests of one model or service. The Filter's
// mutex guards it.
type targetQueue struct {
	schedule Schedule
	waiters  map[*Item]*waiter
	// blocked is set by a rejection for lack of capacity and cleared by a grant
	// while no request waits. While it is set, a new request has to wait if
	// another one is trying.
	blocked bool
	// trying counts requests that were passed on and have neither a grant nor a
	// rejection yet. running counts those with a grant.
	trying  int
	running int
	// events counts events that may mean free capacity. If one happened during
	// a try that was rejected, a waiter tries again.
	events uint64
	// grantInterval is the average time between two grants while blocked.
	grantInterval time.Duration
	lastGrantAt   time.Time
	lastEventAt   time.Time
	// counted and countedBytes are this queue's part of the Filter's totals.
	counted      int
	countedBytes int
}

// tryAtOnce reports whether a new request may try without waiting, and if so
// begins its try.
func (q *targetQueue) tryAtOnce(w *waiter) bool {
	q.schedule.AssignTags(&w.Item)
	if q.schedule.Len() > 0 || (q.blocked && q.trying > 0) {
		return false
	}
	q.schedule.AdvanceVirtualTime(&w.Item)
	q.beginTry(w)
	return true
}

func (q *targetQueue) beginTry(w *waiter) {
	w.granted = false
	w.eventsAtTry = q.events
	q.trying++
}

func (q *targetQueue) push(w *waiter) {
	q.schedule.Push(&w.Item)
	q.waiters[&w.Item] = w
}

// remove removes a waiter that will not try any more.
func (q *targetQueue) remove(w *waiter) {
	q.schedule.Remove(&w.Item)
	delete(q.waiters, &w.Item)
}

// capacityFreed records an event after which there may be capacity for n requests.
func (q *targetQueue) capacityFreed(now time.Time, n int) {
	q.events++
	q.lastEventAt = now
	q.wakeNext(now, n)
}

// wakeNext lets up to n waiters try.
func (q *targetQueue) wakeNext(now time.Time, n int) {
	for range n {
		i := q.schedule.Pop(now)
		if i == nil {
			return
		}
		w := q.waiters[i]
		delete(q.waiters, i)
		q.beginTry(w)
		w.signal <- signalTry
	}
}

// recordGrant records that a request got a grant, and lets the next waiter try,
// since there may be capacity for more.
func (q *targetQueue) recordGrant(now time.Time, w *waiter) {
	if w.granted {
		return
	}
	w.granted = true
	q.trying--
	q.running++
	if q.blocked && !q.lastGrantAt.IsZero() {
		q.grantInterval += time.Duration(float64(now.Sub(q.lastGrantAt)-q.grantInterval) * intervalSampleWeight)
	}
	q.lastGrantAt = now
	if q.schedule.Len() == 0 {
		q.blocked = false
		q.lastGrantAt = time.Time{}
		q.grantInterval = 0
	}
	q.capacityFreed(now, 1)
	w.eventsAtTry = q.events
}

// recordEnd records that a request that was trying or running has ended, and lets
// the next waiter try.
func (q *targetQueue) recordEnd(now time.Time, w *waiter) {
	if !w.granted {
		q.trying--
		q.wakeNext(now, 1)
		return
	}
	q.running--
	q.capacityFreed(now, 1)
}

// requeue puts a waiter back after a rejection. If an event happened during its
// try, the next waiter tries at once, since the rejection may be older than the
// event.
func (q *targetQueue) requeue(now time.Time, w *waiter) {
	if w.granted {
		q.running--
	} else {
		q.trying--
	}
	q.blocked = true
	q.push(w)
	if q.events != w.eventsAtTry && w.immediateRetries < maxImmediateRetries {
		w.immediateRetries++
		q.wakeNext(now, 1)
	}
}

// expectedWaitDivisor makes the expected wait a low estimate. Capacity may grow, as
// when upstreams warm up, and a needless rejection is worse than a wait.
const expectedWaitDivisor = 2

// expectedWait returns a low estimate of the time until an item gets a grant. It
// is zero while the time between grants is unknown.
func (q *targetQueue) expectedWait(i *Item) time.Duration {
	if q.grantInterval == 0 {
		return 0
	}
	return time.Duration(q.schedule.CountAhead(i)) * q.grantInterval / expectedWaitDivisor
}

func (q *targetQueue) idle() bool {
	return q.schedule.Len() == 0 && q.trying == 0 && q.running == 0
}

package btqueue

import (
	"time"
)

// intervalWeight is the weight of a new sample in the average time between
// two places.
const intervalWeight = 0.1

// waiter is a request in a lane.
type waiter struct {
	Item
	lane *lane
	// turn receives a value when the waiter may try, or was evicted.
	turn    chan turn
	granted bool
	// events is the lane's count of events when the waiter began its try.
	events uint64
	// repeats counts tries that followed a refusal at once.
	repeats int
}

// maxRepeats bounds the tries of a waiter that follow a refusal at once. An
// upstream that refuses what its owner grants must not cause a busy loop.
const maxRepeats = 8

type turn uint8

const (
	try turn = iota
	evicted
)

// lane is the state of one model or service. The Filter's mutex guards it.
type lane struct {
	schedule Schedule
	waiters  map[*Item]*waiter
	// blocked is set after a refusal, until a place was granted with nobody
	// waiting. A blocked lane tries one request at a time.
	blocked bool
	// trying counts requests that were passed on and neither granted a place
	// nor refused; running counts those with a place.
	trying  int
	running int
	// events counts what may have made room. A waiter that is refused after
	// an event that it did not see is tried again.
	events uint64
	// interval is the average time between two places while blocked.
	interval time.Duration
	lastAt   time.Time
	eventAt  time.Time
	// counted and countedBytes are this lane's part of the Filter's totals.
	counted      int
	countedBytes int
}

// enter says whether a request may try at once.
func (l *lane) enter(w *waiter) bool {
	l.schedule.Stamp(&w.Item)
	if l.schedule.Len() > 0 || (l.blocked && l.trying > 0) {
		return false
	}
	l.schedule.Take(&w.Item)
	l.begin(w)
	return true
}

func (l *lane) begin(w *waiter) {
	w.granted = false
	w.events = l.events
	l.trying++
}

func (l *lane) push(w *waiter) {
	l.schedule.Push(&w.Item)
	l.waiters[&w.Item] = w
}

// leave takes a waiter out that will not try any more.
func (l *lane) leave(w *waiter) {
	l.schedule.Remove(&w.Item)
	delete(l.waiters, &w.Item)
}

// room tells the lane that there may be room for n requests.
func (l *lane) room(now time.Time, n int) {
	l.events++
	l.eventAt = now
	l.next(now, n)
}

// next lets n waiters try.
func (l *lane) next(now time.Time, n int) {
	for range n {
		i := l.schedule.Pop(now)
		if i == nil {
			return
		}
		w := l.waiters[i]
		delete(l.waiters, i)
		l.begin(w)
		w.turn <- try
	}
}

// grant records that a request got a place. There may be another one.
func (l *lane) grant(now time.Time, w *waiter) {
	if w.granted {
		return
	}
	w.granted = true
	l.trying--
	l.running++
	if l.blocked && !l.lastAt.IsZero() {
		l.interval += time.Duration(float64(now.Sub(l.lastAt)-l.interval) * intervalWeight)
	}
	l.lastAt = now
	if l.schedule.Len() == 0 {
		l.blocked = false
		l.lastAt = time.Time{}
		l.interval = 0
	}
	l.room(now, 1)
	w.events = l.events
}

// end records that a try ended, with or without a place.
func (l *lane) end(now time.Time, w *waiter) {
	if !w.granted {
		l.trying--
		l.next(now, 1)
		return
	}
	l.running--
	l.room(now, 1)
}

// refuse puts a waiter back after a refusal. If an event happened during its
// try, somebody tries again, since the refusal may be older than the event.
func (l *lane) refuse(now time.Time, w *waiter) {
	if w.granted {
		l.running--
	} else {
		l.trying--
	}
	l.blocked = true
	l.push(w)
	if l.events != w.events && w.repeats < maxRepeats {
		w.repeats++
		l.next(now, 1)
	}
}

// optimism divides the expected wait: capacity may grow, as when upstreams
// warm up, and a refusal in doubt is worse than a wait.
const optimism = 2

// expected returns the time after which an item gets a place at the earliest.
func (l *lane) expected(i *Item) time.Duration {
	if l.interval == 0 {
		return 0
	}
	return time.Duration(l.schedule.Ahead(i)) * l.interval / optimism
}

func (l *lane) idle() bool {
	return l.schedule.Len() == 0 && l.trying == 0 && l.running == 0
}

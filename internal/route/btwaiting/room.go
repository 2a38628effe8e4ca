package btwaiting

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"bramleytack"
	"bramleytack/internal/route/btreturn"
)

// Defaults of a Room.
const (
	DefaultMaxEntries = 256
	DefaultMaxBytes   = 2 << 20
)

const (
	// pollPeriod is the time between two looks for a place that no event announces. It is
	// short against the target latency of calls.
	pollPeriod = 10 * time.Millisecond
	// maxTries bounds the requests that are offered a place in one look. The first ones may
	// not be able to use it because they have been rejected there before.
	maxTries = 4
	// lowRankPeriod is the number of places of which the last one goes to a less urgent
	// rank, if any waits.
	lowRankPeriod = 8
	// forecastSlack is how many times longer than its time left a request must be expected
	// to wait until it is rejected while it waits. Forecasts from few places vary that much.
	forecastSlack = 2
	// paceWeight is the share of the newest interval between two places in its average.
	paceWeight = 0.2
	// paceValidity is how long a measured interval is used.
	paceValidity = 5 * time.Second
	// maxWorkspaces bounds the workspaces whose use is remembered.
	maxWorkspaces = 1024
)

// Ticket describes a request that waits.
type Ticket struct {
	// Rank is the urgency of the request's workspace, or of its route. 0 is the most urgent.
	Rank      int
	Workspace bramleytack.WorkspaceID
	// Returned is set if the caller has been told before to return.
	Returned bool
	// Deadline is when the response is due, Run the time from the place to the response.
	Deadline time.Time
	Run      time.Duration
	// Cost is what the request takes of its workspace's share, 1 if it is zero.
	Cost float64
	// Bytes is the memory that the request holds.
	Bytes int
}

// Look is the result of a request's look for a place.
type Look uint8

// The looks.
const (
	// NoPlace is the result if there is none for any request.
	NoPlace Look = iota
	// Unfit is the result if there is one that this request cannot use.
	Unfit
	// Taken is the result if the request has taken a place, or knows that there is none to wait for.
	Taken
)

// Verdict is how a wait ended.
type Verdict uint8

// The verdicts.
const (
	// Admitted requests have a place, or know that there is none to wait for.
	Admitted Verdict = iota
	// Late requests cannot be answered in time.
	Late
	// Full is the verdict if no more requests may wait.
	Full
	// Canceled requests are those whose context has ended.
	Canceled
)

var verdictNames = [...]string{"admitted", "late", "full", "canceled"}

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Result is how a wait ended and how long it was.
type Result struct {
	Verdict Verdict
	Waited  time.Duration
	// RetryAfter is the time after which a rejected caller is expected to find a place, zero
	// if nothing is known of it.
	RetryAfter time.Duration
}

// Room holds the requests that wait for one service. Timer must be set before the first
// use; the other fields are optional. It is safe for concurrent use.
type Room struct {
	Timer      bramleytack.Timer
	MaxEntries int
	MaxBytes   int
	// Interval returns the expected time between two places for this room, zero if it is not
	// known. Nil means that the room measures it. The room is locked during the call.
	Interval func() time.Duration
	// First returns the time until the first place is expected, beyond the intervals. Nil means
	// at once. The room is locked during the call.
	First func() time.Duration

	mu      sync.Mutex
	waiting []*waiter
	bytes   int
	// virtual is the start tag of the newest admitted request. finish holds the last finish
	// tag of each workspace: requests are ordered by when they would start if all
	// workspaces were served at the same rate.
	virtual float64
	finish  map[bramleytack.WorkspaceID]float64
	// passed counts the places since one went to a less urgent rank while any waited.
	passed int
	// pace is the measured interval between places, admittedAt the time of the newest one.
	pace       time.Duration
	admittedAt time.Time
	serving    bool
	wake       chan struct{}
}

// waiter is one request that waits.
type waiter struct {
	Ticket
	start float64
	// above is set if the workspace has had, or waits for, more than others.
	above bool
	since time.Time
	try   func() Look
	// result is set before done is closed.
	result Result
	done   chan struct{}
}

// compare orders the waiters of a room.
func (w *waiter) compare(o *waiter) int {
	return cmp.Or(
		cmp.Compare(w.Rank, o.Rank), falseFirst(w.above, o.above), falseFirst(!w.Returned, !o.Returned),
		cmp.Compare(w.start, o.start), w.Deadline.Compare(o.Deadline),
	)
}

// falseFirst orders false before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Len returns the number of requests that wait.
func (r *Room) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiting)
}

// Enter reports whether a request gets a place without waiting: nobody waits, and try finds
// one.
func (r *Room) Enter(try func() Look) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiting) == 0 && try() == Taken
}

// Wake makes the room look for places now.
func (r *Room) Wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.serving {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// Wait keeps a request until try returns Taken, it cannot be answered in time any more, or
// the context ends. try must neither block nor use the room. It is called in the order of
// the requests, and not again after it has returned Taken.
func (r *Room) Wait(ctx context.Context, t Ticket, try func() Look) Result {
	w, result := r.join(t, try)
	if w == nil {
		return result
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		r.leave(w)
	}
	<-w.done
	return w.result
}

// join adds a request, or returns why it does not wait.
func (r *Room) join(t Ticket, try func() Look) (*waiter, Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	if t.Cost <= 0 {
		t.Cost = 1
	}
	w := &waiter{Ticket: t, since: now, try: try, done: make(chan struct{}), start: max(r.virtual, r.finish[t.Workspace])}
	w.above = w.start > r.virtual+w.Cost
	at, _ := slices.BinarySearchFunc(r.waiting, w, func(o, w *waiter) int {
		// Of equal ones the newest comes last.
		return cmp.Or(o.compare(w), -1)
	})
	ahead := r.forecast(at, now)
	if now.Add(ahead + t.Run).After(t.Deadline) {
		return nil, Result{Verdict: Late, RetryAfter: btreturn.Spread(ahead)}
	}
	for len(r.waiting) >= positiveOr(r.MaxEntries, DefaultMaxEntries) || r.bytes+t.Bytes > positiveOr(r.MaxBytes, DefaultMaxBytes) {
		last := len(r.waiting) - 1
		if at > last {
			return nil, Result{Verdict: Full, RetryAfter: btreturn.Spread(ahead)}
		}
		r.end(r.waiting[last], Full, r.forecast(last, now), now)
	}
	if r.finish == nil || len(r.finish) >= maxWorkspaces {
		r.forget()
	}
	r.finish[t.Workspace] = w.start + t.Cost
	r.bytes += t.Bytes
	r.waiting = slices.Insert(r.waiting, at, w)
	if !r.serving {
		r.serving, r.wake = true, make(chan struct{}, 1)
		go r.run()
	}
	return w, Result{}
}

// forget drops what is known of workspaces that have had no more than the others.
func (r *Room) forget() {
	kept := map[bramleytack.WorkspaceID]float64{}
	for id, f := range r.finish {
		if f > r.virtual && len(kept) < maxWorkspaces/2 {
			kept[id] = f
		}
	}
	r.finish = kept
}

// forecast returns the time until the request with n others ahead of it gets a place.
func (r *Room) forecast(n int, now time.Time) time.Duration {
	interval := r.pace
	if r.Interval != nil {
		interval = r.Interval()
	} else if now.Sub(r.admittedAt) > paceValidity {
		interval = 0
	}
	first := time.Duration(0)
	if r.First != nil {
		first = r.First()
	}
	return first + time.Duration(n)*interval
}

// leave ends the wait of a request whose context has ended, unless it has ended before.
func (r *Room) leave(w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains(r.waiting, w) {
		r.end(w, Canceled, 0, r.Timer.Now())
	}
}

// end removes a request that gets no place. The caller holds the lock.
func (r *Room) end(w *waiter, v Verdict, retryAfter time.Duration, now time.Time) {
	if f := r.finish[w.Workspace] - w.Cost; f >= r.virtual {
		r.finish[w.Workspace] = f
	}
	r.remove(w, Result{Verdict: v, Waited: now.Sub(w.since), RetryAfter: btreturn.Spread(retryAfter)})
}

func (r *Room) remove(w *waiter, result Result) {
	r.waiting = slices.DeleteFunc(r.waiting, func(o *waiter) bool { return o == w })
	r.bytes -= w.Bytes
	w.result = result
	close(w.done)
}

// run offers places while any request waits.
func (r *Room) run() {
	for {
		alarm := r.Timer.After(pollPeriod)
		select {
		case <-r.wake:
		case <-alarm.C():
		}
		alarm.Stop()
		if !r.serve() {
			return
		}
	}
}

// serve lets requests go on as long as there are places, and rejects those that are late. It
// reports whether any still waits.
func (r *Room) serve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	r.rejectLate(now)
	for r.serveNext(now) {
	}
	if len(r.waiting) == 0 {
		r.serving = false
		r.passed = 0
	}
	return r.serving
}

// rejectLate ends the wait of requests that cannot be answered in time any more.
func (r *Room) rejectLate(now time.Time) {
	for i := len(r.waiting) - 1; i >= 0; i-- {
		w := r.waiting[i]
		left := w.Deadline.Sub(now) - w.Run
		if ahead := r.forecast(i, now); left < 0 || ahead > forecastSlack*left {
			r.end(w, Late, ahead, now)
		}
	}
}

// serveNext lets one request go on, and reports whether it could.
func (r *Room) serveNext(now time.Time) bool {
	order := r.waiting[:min(maxTries, len(r.waiting))]
	if low := r.lowRank(); low != nil {
		order = append([]*waiter{low}, order...)
	}
	for _, w := range order {
		switch w.try() {
		case NoPlace:
			// One that is freed now belongs to the first request that can use it.
			return false
		case Unfit:
			continue
		}
		r.countRank(w)
		if len(r.waiting) > 1 && !r.admittedAt.IsZero() {
			r.pace += time.Duration(paceWeight * float64(now.Sub(r.admittedAt)-r.pace))
		}
		r.admittedAt = now
		r.virtual = max(r.virtual, w.start)
		r.remove(w, Result{Verdict: Admitted, Waited: now.Sub(w.since)})
		if len(r.waiting) == 0 {
			// The next interval would include the time without any request.
			r.admittedAt = time.Time{}
		}
		return true
	}
	return false
}

// lowRank returns the request that has waited longest of those less urgent than the first,
// if it is their turn.
func (r *Room) lowRank() *waiter {
	if r.passed+1 < lowRankPeriod {
		return nil
	}
	var low *waiter
	for _, w := range r.waiting {
		if w.Rank > r.waiting[0].Rank && (low == nil || w.since.Before(low.since)) {
			low = w
		}
	}
	return low
}

// countRank counts a place that goes to w.
func (r *Room) countRank(w *waiter) {
	last := r.waiting[len(r.waiting)-1]
	switch {
	case w.Rank > r.waiting[0].Rank:
		r.passed = 0
	case last.Rank > w.Rank:
		r.passed++
	}
}

func positiveOr(v, fallback int) int {
	if v > 0 {
		return v
	}
	return fallback
}

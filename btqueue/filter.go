package btqueue

import (
	"cmp"
	"context"
	"sync"
	"time"

	"bramleytack"
)

// Defaults of a Filter.
const (
	defaultMaxWaiting = 4096
	defaultMaxBytes   = 32 << 20
	defaultMaxWait    = 2 * time.Minute
	// probeAfter is the time without events after which one waiter tries
	// anyway, since room may have been made that this entry did not see.
	probeAfter = 500 * time.Millisecond
	// callCost is the cost of a call, which has no tokens.
	callCost = 64
	// outputCost is the cost of an output of unknown length.
	outputCost = 512
	// requestOverhead is the memory of a waiting request beside its content.
	requestOverhead = 1024
)

// Filter lets requests wait for capacity.
type Filter struct {
	Timer     bramleytack.Timer
	Snapshots bramleytack.Snapshots
	// MaxWaiting, MaxBytes and MaxWait bound what waits. Zero fields take
	// defaults.
	MaxWaiting int
	MaxBytes   int
	MaxWait    time.Duration
	// Cost returns the forecast tokens of a request. It may be nil.
	Cost func(*bramleytack.Request) float64
	// Park blocks a waiting request until ready returns true. A simulation
	// that runs all requests on one goroutine sets it. A nil Park blocks in a
	// select.
	Park func(ready func() bool)

	mu      sync.Mutex
	lanes   map[string]*lane
	active  map[*bramleytack.Request]*waiter
	waiting int
	bytes   int
}

// Handle passes the request on when it is its turn, until it is not refused
// for lack of room.
func (f *Filter) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	if r.Kind != bramleytack.Generate && r.Kind != bramleytack.Call {
		return next.Handle(ctx, r, w)
	}
	x := &waiter{Item: f.item(r), turn: make(chan turn, 1)}
	if err := f.enter(r, x); err != nil {
		return err
	}
	limit := f.Timer.After(f.maxWait(r, x.Arrived))
	defer limit.Stop()
	for {
		if err := f.wait(ctx, r, x, limit); err != nil {
			return err
		}
		err := next.Handle(ctx, r, w)
		if !full(err) || ctx.Err() != nil {
			f.end(r, x)
			return err
		}
		if e := f.refused(r, x, bramleytack.AsError(err)); e != nil {
			return e
		}
	}
}

// full says whether an error means that a place may come free later.
func full(err error) bool {
	if err == nil || bramleytack.OutcomeOf(err) != bramleytack.NotRun {
		return false
	}
	code := bramleytack.AsError(err).Code
	return code == bramleytack.CodeOverloaded || code == bramleytack.CodeNoUpstream
}

func (f *Filter) item(r *bramleytack.Request) Item {
	i := Item{
		Workspace: r.Workspace,
		Priority:  r.Priority,
		Weight:    1,
		Cost:      f.cost(r),
		Bytes:     requestOverhead + len(r.Prompt) + len(r.Body),
		Arrived:   f.Timer.Now(),
	}
	if ws, ok := f.Snapshots.Snapshot().Workspaces[r.Workspace]; ok && ws.Weight > 0 {
		i.Weight = float64(ws.Weight)
	}
	return i
}

func (f *Filter) cost(r *bramleytack.Request) float64 {
	switch {
	case f.Cost != nil:
		return f.Cost(r)
	case r.Kind == bramleytack.Call:
		return callCost
	case r.MaxTokens > 0:
		return float64(r.PromptTokens() + min(r.MaxTokens, outputCost))
	default:
		return float64(r.PromptTokens() + outputCost)
	}
}

// maxWait returns the longest time that the request may wait.
func (f *Filter) maxWait(r *bramleytack.Request, now time.Time) time.Duration {
	d := cmp.Or(f.MaxWait, defaultMaxWait)
	if !r.Deadline.IsZero() {
		d = min(d, r.Deadline.Sub(now))
	}
	return max(d, 0)
}

func (f *Filter) lane(r *bramleytack.Request) *lane {
	key := "model/" + r.Model
	if r.Kind == bramleytack.Call {
		key = "service/" + r.Service
	}
	if f.lanes == nil {
		f.lanes = make(map[string]*lane)
		f.active = make(map[*bramleytack.Request]*waiter)
	}
	l, ok := f.lanes[key]
	if !ok {
		f.dropIdle()
		l = &lane{waiters: make(map[*Item]*waiter)}
		f.lanes[key] = l
	}
	return l
}

// maxIdleLanes bounds the lanes that requests with unknown names leave behind.
const maxIdleLanes = 256

func (f *Filter) dropIdle() {
	if len(f.lanes) < maxIdleLanes {
		return
	}
	for k, l := range f.lanes {
		if l.idle() {
			delete(f.lanes, k)
		}
	}
}

// enter lets a request try at once, queues it, or refuses it.
func (f *Filter) enter(r *bramleytack.Request, w *waiter) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.lane = f.lane(r)
	f.active[r] = w
	if w.lane.enter(w) {
		w.turn <- try
		return nil
	}
	return f.queue(r, w, w.Arrived)
}

// queue adds a waiter within the bounds. The caller holds mu.
func (f *Filter) queue(r *bramleytack.Request, w *waiter, now time.Time) error {
	l := w.lane
	if d := l.expected(&w.Item); d > f.maxWait(r, now) {
		return f.reject(r, w, d, "no place is expected before the deadline")
	}
	if !f.makeRoom(w) {
		return f.reject(r, w, l.expected(&w.Item), "queue is full")
	}
	l.push(w)
	f.count(l)
	return nil
}

// makeRoom evicts waiters behind w until w fits, and says whether it does.
func (f *Filter) makeRoom(w *waiter) bool {
	for f.waiting >= cmp.Or(f.MaxWaiting, defaultMaxWaiting) || f.bytes+w.Bytes > cmp.Or(f.MaxBytes, defaultMaxBytes) {
		worst := w.lane.schedule.Worst(&w.Item)
		if worst == nil {
			return false
		}
		f.evict(w.lane, worst)
	}
	return true
}

func (f *Filter) evict(l *lane, i *Item) {
	x := l.waiters[i]
	l.leave(x)
	x.turn <- evicted
	f.count(l)
}

// count brings the totals up to date with a lane. The caller holds mu.
func (f *Filter) count(l *lane) {
	f.waiting += l.schedule.Len() - l.counted
	f.bytes += l.schedule.Bytes() - l.countedBytes
	l.counted, l.countedBytes = l.schedule.Len(), l.schedule.Bytes()
}

func (f *Filter) reject(r *bramleytack.Request, w *waiter, after time.Duration, message string) error {
	w.lane.schedule.Remove(&w.Item)
	delete(f.active, r)
	return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "%s", message).
		WithRetryAfter(max(after, time.Second))
}

// wait returns nil when it is the request's turn.
func (f *Filter) wait(ctx context.Context, r *bramleytack.Request, w *waiter, limit bramleytack.Alarm) error {
	select {
	case t := <-w.turn:
		return f.turned(r, t)
	default:
	}
	if f.Park != nil {
		f.Park(func() bool { return len(w.turn) > 0 || len(limit.C()) > 0 || ctx.Err() != nil })
	}
	select {
	case t := <-w.turn:
		return f.turned(r, t)
	case <-ctx.Done():
		f.abandon(r, w)
		return bramleytack.NewError(bramleytack.CodeCanceled, bramleytack.NotRun, "client left the queue").WithCause(ctx.Err())
	case <-limit.C():
		f.abandon(r, w)
		code := bramleytack.CodeOverloaded
		if !r.Deadline.IsZero() && !f.Timer.Now().Before(r.Deadline) {
			code = bramleytack.CodeTimeout
		}
		return bramleytack.NewError(code, bramleytack.NotRun, "no place came free in time").WithRetryAfter(time.Second)
	}
}

func (f *Filter) turned(r *bramleytack.Request, t turn) error {
	if t == try {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, r)
	return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "queue is full").WithRetryAfter(time.Second)
}

// abandon takes a request out. A turn that it got meanwhile goes to another.
func (f *Filter) abandon(r *bramleytack.Request, w *waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, r)
	select {
	case t := <-w.turn:
		if t == try {
			w.lane.end(f.Timer.Now(), w)
		}
	default:
		w.lane.leave(w)
	}
	f.count(w.lane)
}

// refused puts a request back into the queue.
func (f *Filter) refused(r *bramleytack.Request, w *waiter, cause *bramleytack.Error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timer.Now()
	if f.maxWait(r, w.Arrived) <= now.Sub(w.Arrived) || !f.makeRoom(w) {
		delete(f.active, r)
		w.lane.end(now, w)
		return cause
	}
	w.lane.refuse(now, w)
	f.count(w.lane)
	return nil
}

func (f *Filter) end(r *bramleytack.Request, w *waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, r)
	w.lane.end(f.Timer.Now(), w)
	f.count(w.lane)
}

// Granted tells the queue that a request got a place. The route step calls it.
func (f *Filter) Granted(r *bramleytack.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, ok := f.active[r]; ok {
		w.lane.grant(f.Timer.Now(), w)
		f.count(w.lane)
	}
}

// Wake tells the queue that a model has room for n more requests.
func (f *Filter) Wake(model string, n int) { f.wake("model/"+model, n) }

// WakeService tells the queue that a service has room for n more requests.
func (f *Filter) WakeService(service string, n int) { f.wake("service/"+service, n) }

func (f *Filter) wake(key string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l, ok := f.lanes[key]; ok {
		l.room(f.Timer.Now(), n)
		f.count(l)
	}
}

// Tick lets one waiter try in each lane that has seen no event for a while.
func (f *Filter) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timer.Now()
	for _, l := range f.lanes {
		if l.trying == 0 && now.Sub(l.eventAt) >= probeAfter {
			l.eventAt = now
			l.next(now, 1)
			f.count(l)
		}
	}
}

// Waiting returns the number of waiting requests.
func (f *Filter) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting
}

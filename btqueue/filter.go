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
	// probeInterval is the time without events after which one waiter tries
	// anyway, since capacity may have become free without an event at this
	// entry daemon.
	probeInterval = 500 * time.Millisecond
	// callCost is the cost, in tokens, of a call of a plain service.
	callCost = 64
	// defaultOutputCost is the number of tokens that the cost assumes for an
	// output, unless MaxTokens is smaller.
	defaultOutputCost = 512
	// requestOverhead is the memory of a waiting request in bytes, without its
	// prompt and body.
	requestOverhead = 1024
)

// Filter lets requests wait for capacity. Timer and Snapshots must be set. It is
// safe for concurrent use.
type Filter struct {
	Timer     bramleytack.Timer
	Snapshots bramleytack.Snapshots
	// MaxWaiting and MaxBytes bound the number and the size of the waiting
	// requests, and MaxWait the wait of each. Zero fields take defaults.
	MaxWaiting int
	MaxBytes   int
	MaxWait    time.Duration
	// Cost returns the forecast tokens of a request. If it is nil, the cost
	// comes from the prompt and MaxTokens.
	Cost func(*bramleytack.Request) float64
	// Park blocks a waiting request until ready returns true. It is nil except
	// in simulations that run all requests on one goroutine.
	Park func(ready func() bool)

	mu      sync.Mutex
	queues  map[string]*targetQueue
	active  map[*bramleytack.Request]*waiter
	waiting int
	bytes   int
}

// Handle passes the request on when the schedule selects it, and again for as
// long as it is rejected for lack of capacity.
func (f *Filter) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	if r.Kind != bramleytack.Generate && r.Kind != bramleytack.Call {
		return next.Handle(ctx, r, w)
	}
	pending := &waiter{Item: f.newItem(r), signal: make(chan signal, 1)}
	if err := f.admitOrEnqueue(r, pending); err != nil {
		return err
	}
	timeout := f.Timer.After(f.maxWait(r, pending.Arrived))
	defer timeout.Stop()
	for {
		if err := f.wait(ctx, r, pending, timeout); err != nil {
			return err
		}
		err := next.Handle(ctx, r, w)
		if !isCapacityError(err) || ctx.Err() != nil {
			f.end(r, pending)
			return err
		}
		if e := f.requeue(r, pending, bramleytack.AsError(err)); e != nil {
			return e
		}
	}
}

// isCapacityError reports whether the request did not run and may succeed when
// capacity becomes free.
func isCapacityError(err error) bool {
	if err == nil || bramleytack.OutcomeOf(err) != bramleytack.NotRun {
		return false
	}
	code := bramleytack.AsError(err).Code
	return code == bramleytack.CodeOverloaded || code == bramleytack.CodeNoUpstream
}

func (f *Filter) newItem(r *bramleytack.Request) Item {
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
		return float64(r.PromptTokens() + min(r.MaxTokens, defaultOutputCost))
	default:
		return float64(r.PromptTokens() + defaultOutputCost)
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

// queueFor returns the queue of the request's model or service. The caller holds
// mu.
func (f *Filter) queueFor(r *bramleytack.Request) *targetQueue {
	key := "model/" + r.Model
	if r.Kind == bramleytack.Call {
		key = "service/" + r.Service
	}
	if f.queues == nil {
		f.queues = make(map[string]*targetQueue)
		f.active = make(map[*bramleytack.Request]*waiter)
	}
	q, ok := f.queues[key]
	if !ok {
		f.dropIdle()
		q = &targetQueue{waiters: make(map[*Item]*waiter)}
		f.queues[key] = q
	}
	return q
}

// maxIdleQueues is the number of queues from which on idle ones are dropped. It
// bounds the queues of requests with unknown names.
const maxIdleQueues = 256

func (f *Filter) dropIdle() {
	if len(f.queues) < maxIdleQueues {
		return
	}
	for k, q := range f.queues {
		if q.idle() {
			delete(f.queues, k)
		}
	}
}

// admitOrEnqueue lets a request try at once, queues it, or rejects it.
func (f *Filter) admitOrEnqueue(r *bramleytack.Request, w *waiter) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.queue = f.queueFor(r)
	f.active[r] = w
	if w.queue.tryAtOnce(w) {
		w.signal <- signalTry
		return nil
	}
	return f.enqueue(r, w, w.Arrived)
}

// enqueue adds a waiter, or rejects its request if it would wait too long or
// exceed the bounds. The caller holds mu.
func (f *Filter) enqueue(r *bramleytack.Request, w *waiter, now time.Time) error {
	q := w.queue
	if d := q.expectedWait(&w.Item); d > f.maxWait(r, now) {
		return f.reject(r, w, d, "no free capacity is expected in time")
	}
	if !f.evictFor(w) {
		return f.reject(r, w, q.expectedWait(&w.Item), "queue is full")
	}
	q.push(w)
	f.updateTotals(q)
	return nil
}

// evictFor evicts waiters that rank behind w until w fits into the bounds. It
// returns false if w does not fit.
func (f *Filter) evictFor(w *waiter) bool {
	for f.waiting >= cmp.Or(f.MaxWaiting, defaultMaxWaiting) || f.bytes+w.Bytes > cmp.Or(f.MaxBytes, defaultMaxBytes) {
		worst := w.queue.schedule.EvictionCandidate(&w.Item)
		if worst == nil {
			return false
		}
		f.evict(w.queue, worst)
	}
	return true
}

func (f *Filter) evict(q *targetQueue, i *Item) {
	w := q.waiters[i]
	q.remove(w)
	w.signal <- signalEvicted
	f.updateTotals(q)
}

// updateTotals adds to the totals what changed in a queue since the last call. The
// caller holds mu.
func (f *Filter) updateTotals(q *targetQueue) {
	f.waiting += q.schedule.Len() - q.counted
	f.bytes += q.schedule.Bytes() - q.countedBytes
	q.counted, q.countedBytes = q.schedule.Len(), q.schedule.Bytes()
}

// reject forgets a request and returns its error.
func (f *Filter) reject(r *bramleytack.Request, w *waiter, after time.Duration, message string) error {
	w.queue.schedule.Remove(&w.Item)
	delete(f.active, r)
	return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "%s", message).
		WithRetryAfter(max(after, time.Second))
}

// wait returns nil when the request may try.
func (f *Filter) wait(ctx context.Context, r *bramleytack.Request, w *waiter, timeout bramleytack.Alarm) error {
	select {
	case s := <-w.signal:
		return f.handleSignal(r, s)
	default:
	}
	if f.Park != nil {
		f.Park(func() bool { return len(w.signal) > 0 || len(timeout.C()) > 0 || ctx.Err() != nil })
	}
	select {
	case s := <-w.signal:
		return f.handleSignal(r, s)
	case <-ctx.Done():
		f.leave(r, w)
		return bramleytack.NewError(bramleytack.CodeCanceled, bramleytack.NotRun, "request was canceled while it waited").WithCause(ctx.Err())
	case <-timeout.C():
		f.leave(r, w)
		code := bramleytack.CodeOverloaded
		if !r.Deadline.IsZero() && !f.Timer.Now().Before(r.Deadline) {
			code = bramleytack.CodeTimeout
		}
		return bramleytack.NewError(code, bramleytack.NotRun, "no capacity became free in time").WithRetryAfter(time.Second)
	}
}

// handleSignal returns nil if the request may try. Otherwise it was evicted, and
// handleSignal forgets it and returns its error.
func (f *Filter) handleSignal(r *bramleytack.Request, s signal) error {
	if s == signalTry {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, r)
	return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "queue is full").WithRetryAfter(time.Second)
}

// leave removes a request that no longer waits. If it was selected meanwhile,
// the next one is selected instead.
func (f *Filter) leave(r *bramleytack.Request, w *waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, r)
	select {
	case s := <-w.signal:
		if s == signalTry {
			w.queue.recordEnd(f.Timer.Now(), w)
		}
	default:
		w.queue.remove(w)
	}
	f.updateTotals(w.queue)
}

// requeue puts a request back into the queue after it was rejected with cause. It
// returns cause if the request may not wait any longer or does not fit.
func (f *Filter) requeue(r *bramleytack.Request, w *waiter, cause *bramleytack.Error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timer.Now()
	if f.maxWait(r, w.Arrived) <= now.Sub(w.Arrived) || !f.evictFor(w) {
		delete(f.active, r)
		w.queue.recordEnd(now, w)
		return cause
	}
	w.queue.requeue(now, w)
	f.updateTotals(w.queue)
	return nil
}

// end forgets a request that ended, or that failed for another reason than a lack
// of capacity.
func (f *Filter) end(r *bramleytack.Request, w *waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, r)
	w.queue.recordEnd(f.Timer.Now(), w)
	f.updateTotals(w.queue)
}

// Granted records that an owner granted capacity for a request. The route filter
// calls it.
func (f *Filter) Granted(r *bramleytack.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, ok := f.active[r]; ok {
		w.queue.recordGrant(f.Timer.Now(), w)
		f.updateTotals(w.queue)
	}
}

// Wake lets up to n waiting requests of a model try, because it may have free
// capacity for them.
func (f *Filter) Wake(model string, n int) { f.wake("model/"+model, n) }

// WakeService lets up to n waiting requests of a plain service try, because it
// may have free capacity for them.
func (f *Filter) WakeService(service string, n int) { f.wake("service/"+service, n) }

func (f *Filter) wake(key string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if q, ok := f.queues[key]; ok {
		q.capacityFreed(f.Timer.Now(), n)
		f.updateTotals(q)
	}
}

// Tick lets one waiter try in each queue without an event for probeInterval. It
// is called a few times a second.
func (f *Filter) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timer.Now()
	for _, q := range f.queues {
		if q.trying == 0 && now.Sub(q.lastEventAt) >= probeInterval {
			q.lastEventAt = now
			q.wakeNext(now, 1)
			f.updateTotals(q)
		}
	}
}

// Waiting returns the number of waiting requests.
func (f *Filter) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting
}

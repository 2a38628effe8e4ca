package btbench

import (
	"container/heap"
	"context"
	"iter"
	"time"

	"bramleytack"
)

// event is a function that runs at a time.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

// events orders by time and, within one time, by the order of scheduling.
type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].seq < h[j].seq
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event for container/heap.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event for container/heap.
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// clock is the simulated time with its pending events.
type clock struct {
	now     time.Time
	seq     uint64
	pending events
	// current is the process that runs.
	current *process
	// parked holds processes that wait for a condition, in their order.
	parked []*process
	// dirty is set when a condition of a parked process may have changed.
	dirty bool
}

func (c *clock) at(t time.Time, run func()) {
	c.seq++
	heap.Push(&c.pending, event{at: t, seq: c.seq, run: run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// every calls run each period after a first delay until the end.
func (c *clock) every(first, period time.Duration, end time.Time, run func()) {
	var tick func()
	tick = func() {
		run()
		if t := c.now.Add(period); t.Before(end) {
			c.at(t, tick)
		}
	}
	c.after(first, tick)
}

// play runs all events up to the end.
func (c *clock) play(end time.Time) {
	for len(c.pending) > 0 && !c.pending[0].at.After(end) {
		e := heap.Pop(&c.pending).(event)
		c.now = e.at
		e.run()
		c.wake()
	}
}

// wake resumes parked processes whose condition holds.
func (c *clock) wake() {
	for c.dirty {
		c.dirty = false
		list := c.parked
		c.parked = nil
		kept := make([]*process, 0, len(list))
		for _, p := range list {
			if p.ready() {
				p.resume()
			} else {
				kept = append(kept, p)
			}
		}
		c.parked = append(kept, c.parked...)
	}
}

// process is a coroutine in simulated time.
type process struct {
	clock *clock
	next  func() (struct{}, bool)
	yield func(struct{}) bool
	ready func() bool
}

// spawn starts a process and runs it to its first wait.
func (c *clock) spawn(run func()) {
	p := &process{clock: c}
	p.next, _ = iter.Pull(func(yield func(struct{}) bool) {
		p.yield = yield
		run()
	})
	p.resume()
}

// resume runs the process to its next wait. It is called by events only.
func (p *process) resume() {
	p.clock.current = p
	p.clock.dirty = true
	p.next()
	p.clock.current = nil
}

// suspend gives control back until resume is called.
func (p *process) suspend() { p.yield(struct{}{}) }

// sleep suspends the current process for a time.
func (c *clock) sleep(d time.Duration) {
	p := c.current
	c.after(d, p.resume)
	p.suspend()
}

// park suspends the current process until the condition holds.
func (c *clock) park(ready func() bool) {
	p := c.current
	if ready() {
		return
	}
	p.ready = ready
	c.parked = append(c.parked, p)
	p.suspend()
}

// timer implements bramleytack.Timer in simulated time.
type timer struct{ *clock }

// Now returns the simulated time.
func (t timer) Now() time.Time { return t.now }

// Sleep suspends the calling process.
func (t timer) Sleep(_ context.Context, d time.Duration) error {
	t.sleep(d)
	return nil
}

// After returns an alarm that fires once.
func (t timer) After(d time.Duration) bramleytack.Alarm {
	a := &alarm{c: make(chan time.Time, 1)}
	t.after(d, func() { a.fire(t.clock) })
	return a
}

// Every returns an alarm that fires each period, without jitter.
func (t timer) Every(period, _ time.Duration) bramleytack.Alarm {
	a := &alarm{c: make(chan time.Time, 1)}
	var tick func()
	tick = func() {
		if !a.stopped {
			a.fire(t.clock)
			t.after(period, tick)
		}
	}
	t.after(period, tick)
	return a
}

type alarm struct {
	c       chan time.Time
	stopped bool
}

// C returns the channel of firings.
func (a *alarm) C() <-chan time.Time { return a.c }

// Stop ends the alarm.
func (a *alarm) Stop() { a.stopped = true }

func (a *alarm) fire(c *clock) {
	if a.stopped {
		return
	}
	c.dirty = true
	select {
	case a.c <- c.now:
	default:
	}
}

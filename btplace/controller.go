package btplace

import (
	"cmp"
	"context"
	"sync"
	"time"

	"bramleytack"
)

// Lease is the lease of the controller's cell. Held returns the fencing number
// and the time that is left.
type Lease interface {
	Held() (bramleytack.Fence, time.Duration, bool)
}

// Times are the times of a Controller. Zero fields take defaults.
type Times struct {
	// Period is the time between two steps. An engine with work to do is read
	// in each step.
	Period time.Duration
	// OrderTimeout bounds an order, both until it is written and from then
	// until it takes effect.
	OrderTimeout time.Duration
	// Margin covers clocks that differ in rate, and late timers.
	Margin time.Duration
	// DrainQuiet is how long a draining engine has to be idle before it is
	// emptied. It covers the lag of reports, the owner's probe and the validity
	// of a grant.
	DrainQuiet time.Duration
	// LoadTimeout is the time after which a load that was accepted is ordered
	// again if the engine does not report the model.
	LoadTimeout time.Duration
	// Refused is the wait after an order that an engine refused.
	Refused time.Duration
}

// Defaults of Times.
const (
	DefaultPeriod       = 2 * time.Second
	DefaultOrderTimeout = 2 * time.Second
	DefaultMargin       = time.Second
	DefaultDrainQuiet   = 5 * time.Second
	DefaultLoadTimeout  = 2 * time.Minute
	DefaultRefused      = 10 * time.Second
)

func (t Times) withDefaults() Times {
	t.Period = cmp.Or(t.Period, DefaultPeriod)
	t.OrderTimeout = cmp.Or(t.OrderTimeout, DefaultOrderTimeout)
	t.Margin = cmp.Or(t.Margin, DefaultMargin)
	t.DrainQuiet = cmp.Or(t.DrainQuiet, DefaultDrainQuiet)
	t.LoadTimeout = cmp.Or(t.LoadTimeout, DefaultLoadTimeout)
	t.Refused = cmp.Or(t.Refused, DefaultRefused)
	return t
}

// lease is the time that a lease must last when an order is sent.
func (t Times) lease() time.Duration { return t.OrderTimeout + t.Margin }

// longest is the time from the check of the lease to the latest effect of an
// order.
func (t Times) longest() time.Duration { return 2*t.OrderTimeout + t.Margin }

const (
	// storeTimeout bounds a call of the store.
	storeTimeout = 2 * time.Second
	// loadTimeout bounds the reading of a load report.
	loadTimeout = time.Second
	// maxParallel bounds the calls of engines that are under way.
	maxParallel = 16
	// readsPerSecond is the rate at which engines are read that have nothing to
	// do. Reports of busy engines have several kilobytes.
	readsPerSecond = 4
	// missedLimit is the number of missed reports in a row from which on an
	// engine counts as failed.
	missedLimit = 3
	// budgetPeriod is how often the budget is read.
	budgetPeriod = time.Minute
	// jitterShare is the part of a period by which steps vary.
	jitterShare = 5
)

// Controller sends orders to the engines of a cell while it holds the cell's
// lease. The exported fields are set before Run. Mine, Fenced and Notify may be
// nil.
type Controller struct {
	Cell      bramleytack.CellID
	Lease     Lease
	Store     bramleytack.Store
	Timer     bramleytack.Timer
	Snapshots bramleytack.Snapshots
	Upstreams bramleytack.Upstreams
	// InCell reports whether an upstream belongs to the cell. Nil selects every
	// upstream.
	InCell func(*bramleytack.Upstream) bool
	// IsStaleFence reports whether an engine's error says that it has seen a newer
	// fencing token.
	IsStaleFence func(error) bool
	// Notify is told the end of each order, from several goroutines.
	Notify func(Event)
	Policy Policy
	Times  Times

	// mu guards what a dump shows. Only the goroutine of Run replaces term.
	mu   sync.Mutex
	term *term
}

// Run acts for the cell whenever the lease is held, until the context ends.
func (c *Controller) Run(ctx context.Context) {
	c.Times = c.Times.withDefaults()
	tick := c.Timer.Every(c.Times.Period, c.Times.Period/jitterShare)
	defer tick.Stop()
	for {
		c.step(ctx)
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

// step does one round: read engines, plan, write the plan, send orders.
func (c *Controller) step(ctx context.Context) {
	t := c.currentTerm()
	if t == nil {
		return
	}
	if !t.known && !t.read(ctx) {
		return
	}
	t.readBudget(ctx)
	t.follow(c.engines())
	t.poll(ctx)
	if !t.complete() {
		return
	}
	next := t.plan()
	if !next.equal(&t.state) && !t.write(ctx, next) {
		return
	}
	t.order(ctx)
}

// currentTerm returns the term of the lease that is held now, or nil. Nothing
// is kept from one lease to the next.
func (c *Controller) currentTerm() *term {
	fence, _, ok := c.Lease.Held()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !ok:
		c.term = nil
	case c.term == nil || c.term.fence != fence:
		c.term = newTerm(c, fence)
	}
	return c.term
}

// engines returns the engines of the cell in the order of their ids.
func (c *Controller) engines() []*bramleytack.Upstream {
	var list []*bramleytack.Upstream
	for _, u := range c.Snapshots.Snapshot().Upstreams {
		if u.Kind == bramleytack.KindEngine && (c.InCell == nil || c.InCell(u)) {
			list = append(list, u)
		}
	}
	return sorted(list)
}

func (c *Controller) notify(e Event) {
	if c.Notify != nil {
		c.Notify(e)
	}
}

package btplace

import (
	"cmp"
	"context"
	"sync"
	"time"

	"bramleytack"
)

// Lease is the lease of the controller's cell.
type Lease interface {
	// Held returns the fencing token and the remaining time of the lease, or
	// false if this daemon does not hold it.
	Held() (bramleytack.Fence, time.Duration, bool)
}

// Times are the intervals and timeouts of a Controller. Zero fields take
// defaults.
type Times struct {
	// Period is the time between two steps. An engine that is not in its desired
	// state is read in each step.
	Period time.Duration
	// CommandTimeout limits the time until a command is written, and again the
	// time from then until it takes effect.
	CommandTimeout time.Duration
	// Margin allows for clocks that differ in rate and for late timers.
	Margin time.Duration
	// DrainIdle is how long a draining engine has to be idle before it unloads
	// its models. It covers the lag of reports, the interval of the owner's probe
	// and the validity of a grant.
	DrainIdle time.Duration
	// LoadTimeout is the time after which an accepted load command is sent again
	// if the engine does not report the model.
	LoadTimeout time.Duration
	// RetryDelay is the time after which a command that an engine rejected may be
	// sent again.
	RetryDelay time.Duration
}

// Defaults of Times.
const (
	DefaultPeriod         = 2 * time.Second
	DefaultCommandTimeout = 2 * time.Second
	DefaultMargin         = time.Second
	DefaultDrainIdle      = 5 * time.Second
	DefaultLoadTimeout    = 2 * time.Minute
	DefaultRetryDelay     = 10 * time.Second
)

func (t Times) withDefaults() Times {
	t.Period = cmp.Or(t.Period, DefaultPeriod)
	t.CommandTimeout = cmp.Or(t.CommandTimeout, DefaultCommandTimeout)
	t.Margin = cmp.Or(t.Margin, DefaultMargin)
	t.DrainIdle = cmp.Or(t.DrainIdle, DefaultDrainIdle)
	t.LoadTimeout = cmp.Or(t.LoadTimeout, DefaultLoadTimeout)
	t.RetryDelay = cmp.Or(t.RetryDelay, DefaultRetryDelay)
	return t
}

// minLease is how long the lease must still last when a command is sent.
func (t Times) minLease() time.Duration { return t.CommandTimeout + t.Margin }

// maxCommandDelay is the longest time from the check of the lease until a command
// takes effect.
func (t Times) maxCommandDelay() time.Duration { return 2*t.CommandTimeout + t.Margin }

const (
	// storeTimeout limits one call of the store.
	storeTimeout = 2 * time.Second
	// reportTimeout limits the reading of one load report.
	reportTimeout = time.Second
	// maxParallelCalls limits the concurrent calls to engines.
	maxParallelCalls = 16
	// idleReadsPerSecond limits the rate at which engines in their desired state
	// are read, since a report with many generations has several kilobytes.
	idleReadsPerSecond = 4
	// maxMissedReports is the number of consecutive missed reports at which an
	// engine counts as failed.
	maxMissedReports = 3
	// budgetPeriod is how often the budget is read.
	budgetPeriod = time.Minute
	// jitterDivisor divides the period to get the random variation of steps.
	jitterDivisor = 5
)

// Controller plans and sends commands for the engines of a cell while this daemon
// holds the cell's lease. The exported fields must not be changed after Run is
// called. InCell, IsStaleFence and Notify may be nil.
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
	// Notify is called with the result of each command, from several goroutines.
	Notify func(Event)
	Policy Policy
	Times  Times

	// mu guards the fields that Dump reads. Only the goroutine of Run replaces
	// term.
	mu   sync.Mutex
	term *term
}

// Run performs a step in each period while the lease is held, until the context
// ends.
func (c *Controller) Run(ctx context.Context) {
	c.Times = c.Times.withDefaults()
	tick := c.Timer.Every(c.Times.Period, c.Times.Period/jitterDivisor)
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

// step reads engines, plans, writes the desired state if it changed, and sends
// commands.
func (c *Controller) step(ctx context.Context) {
	t := c.currentTerm()
	if t == nil {
		return
	}
	if !t.synced && !t.readState(ctx) {
		return
	}
	t.readBudget(ctx)
	t.setEngines(c.engines())
	t.readEngines(ctx)
	if !t.allRead() {
		return
	}
	next := t.plan()
	if !next.equal(&t.state) && !t.writeState(ctx, next) {
		return
	}
	t.sendDue(ctx)
}

// currentTerm returns the term of the lease that is held now, or nil. A new lease
// starts with an empty term.
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

// engines returns the engines of the cell, sorted by id.
func (c *Controller) engines() []*bramleytack.Upstream {
	var list []*bramleytack.Upstream
	for _, u := range c.Snapshots.Snapshot().Upstreams {
		if u.Kind == bramleytack.KindEngine && (c.InCell == nil || c.InCell(u)) {
			list = append(list, u)
		}
	}
	return sortByID(list)
}

func (c *Controller) notify(e Event) {
	if c.Notify != nil {
		c.Notify(e)
	}
}

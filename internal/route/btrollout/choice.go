package btrollout

import (
	"math/rand/v2"
	"sync/atomic"

	"bramleytack"
)

// Choice is where one request may go. A nil Choice allows all upstreams.
type Choice struct {
	table   *Table
	service string
	// target is set if the request goes to the new version while that is on trial.
	target atomic.Bool
	drawn  bool
}

// Choose returns the choice for a request to a service. It draws when it is first used.
func (t *Table) Choose(service string) *Choice {
	if t == nil || t.active.Load() == 0 {
		return nil
	}
	return &Choice{table: t, service: service}
}

// Allows reports whether the request may go to an upstream now.
func (c *Choice) Allows(u *bramleytack.Upstream) bool {
	if c == nil {
		return true
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	o := t.orders[c.service]
	if o == nil || o.settled() {
		return t.admits(u, now)
	}
	d := o.dose(t.snapshot, now)
	if !c.drawn {
		c.drawn = true
		c.target.Store(t.draw() < d.share)
	}
	if !c.target.Load() {
		return t.admits(u, now)
	}
	return d.share > 0 && o.isTarget(u) && o.picks(t.snapshot, d.upstreams, now)[u.ID]
}

// Fall sends a request to the old version that was drawn for the new one, and reports whether
// that changes anything: the new version has no upstream for it, or has failed it. A request
// is never carried from one upstream of a bad version to another.
func (c *Choice) Fall() bool { return c != nil && c.target.CompareAndSwap(true, false) }

func (t *Table) draw() float64 {
	if t.Draw != nil {
		return t.Draw()
	}
	return rand.Float64()
}

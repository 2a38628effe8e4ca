package btplace

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"bramleytack"
)

// engine is what a term knows of one engine.
type engine struct {
	record *bramleytack.Upstream
	// tried is set after the first attempt to read the engine.
	tried  bool
	missed int
	report *bramleytack.LoadReport
	// readAt is when the report was asked for.
	readAt time.Time
	// figuresAt is the time that the report's figures describe, by the clock of
	// this host and not later than the truth.
	figuresAt time.Time
	// drainingFrom is when the engine was first seen to take no new work.
	drainingFrom time.Time
	idleFrom     time.Time
	last         attempt
}

// attempt is the last order to an engine. The next order waits until notBefore
// if it is the same one, and until the engine was read after the attempt.
type attempt struct {
	order     bramleytack.Command
	at        time.Time
	notBefore time.Time
	err       error
}

func sorted(list []*bramleytack.Upstream) []*bramleytack.Upstream {
	slices.SortFunc(list, func(a, b *bramleytack.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// take records a report that was asked for at a time.
func (e *engine) take(asked time.Time, r *bramleytack.LoadReport) {
	if e.report != nil && e.report.Instance != r.Instance {
		e.drainingFrom, e.idleFrom, e.last = time.Time{}, time.Time{}, attempt{}
	}
	e.report, e.missed, e.tried = r, 0, true
	e.readAt, e.figuresAt = asked, asked.Add(-r.Age)
	if r.Role != RoleDraining {
		e.drainingFrom, e.idleFrom = time.Time{}, time.Time{}
		return
	}
	if e.drainingFrom.IsZero() {
		e.drainingFrom = e.figuresAt
	}
	if inFlight(r) > 0 {
		e.idleFrom = time.Time{}
		return
	}
	if e.idleFrom.IsZero() {
		e.idleFrom = e.figuresAt
	}
}

// drained says whether the engine took no new work and was idle for a time.
func (e *engine) drained(quiet time.Duration) bool {
	return !e.idleFrom.IsZero() && e.figuresAt.Sub(e.idleFrom) >= quiet
}

// answers says whether the engine counts as alive.
func (e *engine) answers() bool { return e.report != nil && e.missed < missedLimit }

// readSince says whether the engine was read with success since a time.
func (e *engine) readSince(t time.Time) bool {
	return e.report != nil && e.missed == 0 && !e.readAt.Before(t)
}

// read reads the engine's load report.
func (c *Controller) read(ctx context.Context, e *engine) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	asked := c.Timer.Now()
	r, err := bramleytack.LoadOf(ctx, c.Upstreams, e.record)
	c.mu.Lock()
	defer c.mu.Unlock()
	e.tried = true
	if err != nil {
		e.missed++
		return
	}
	e.take(asked, &r)
}

// each calls f for the engines, some of them at a time.
func each(list []*engine, f func(*engine)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallel)
	for _, e := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(e)
		})
	}
	wg.Wait()
}

package btplace

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"bramleytack"
)

// engine is the state of one engine within a term.
type engine struct {
	record *bramleytack.Upstream
	// tried is set after the first attempt to read the engine.
	tried bool
	// missed counts the failed attempts since the last report.
	missed int
	report *bramleytack.LoadReport
	// requestedAt is when the report was requested.
	requestedAt time.Time
	// figuresAt is the time that the report's figures describe, by the clock of
	// this host. It may be too early, but never too late.
	figuresAt time.Time
	// drainingSince is the time from which on reports have the role RoleDraining.
	// idleSince is the time from which on they also list no generations. Both are
	// zero if the last report does not.
	drainingSince time.Time
	idleSince     time.Time
	last          sentCommand
}

// sentCommand is the last command to an engine and its result. The next command
// waits for a report from after this one. The same command also waits until
// repeatFrom.
type sentCommand struct {
	command    bramleytack.Command
	at         time.Time
	repeatFrom time.Time
	err        error
}

// sortByID sorts a list in place and returns it.
func sortByID(list []*bramleytack.Upstream) []*bramleytack.Upstream {
	slices.SortFunc(list, func(a, b *bramleytack.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// setReport records a report and the time at which it was requested.
func (e *engine) setReport(requestedAt time.Time, r *bramleytack.LoadReport) {
	if e.report != nil && e.report.Instance != r.Instance {
		e.drainingSince, e.idleSince, e.last = time.Time{}, time.Time{}, sentCommand{}
	}
	e.report, e.missed, e.tried = r, 0, true
	e.requestedAt, e.figuresAt = requestedAt, requestedAt.Add(-r.Age)
	if r.Role != RoleDraining {
		e.drainingSince, e.idleSince = time.Time{}, time.Time{}
		return
	}
	if e.drainingSince.IsZero() {
		e.drainingSince = e.figuresAt
	}
	if inFlight(r) > 0 {
		e.idleSince = time.Time{}
		return
	}
	if e.idleSince.IsZero() {
		e.idleSince = e.figuresAt
	}
}

// drained reports whether the engine has been draining and idle for a time.
func (e *engine) drained(idle time.Duration) bool {
	return !e.idleSince.IsZero() && e.figuresAt.Sub(e.idleSince) >= idle
}

// responsive reports whether the engine has been read and has missed fewer than
// maxMissedReports reports since.
func (e *engine) responsive() bool { return e.report != nil && e.missed < maxMissedReports }

// readSince reports whether the last attempt to read the engine succeeded and was
// made at the given time or later.
func (e *engine) readSince(t time.Time) bool {
	return e.report != nil && e.missed == 0 && !e.requestedAt.Before(t)
}

// readEngine reads the engine's load report.
func (c *Controller) readEngine(ctx context.Context, e *engine) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	requestedAt := c.Timer.Now()
	r, err := bramleytack.LoadOf(ctx, c.Upstreams, e.record)
	c.mu.Lock()
	defer c.mu.Unlock()
	e.tried = true
	if err != nil {
		e.missed++
		return
	}
	e.setReport(requestedAt, &r)
}

// forEachParallel calls f for each engine, with at most maxParallelCalls
// concurrent calls, and waits for them.
func forEachParallel(list []*engine, f func(*engine)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelCalls)
	for _, e := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(e)
		})
	}
	wg.Wait()
}

package btentry

import (
	"net/http"
	"time"

	"bramleytack"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btrollout"
)

// The time between events is measured over gapEvents events, once in gapPeriod of them.
const (
	gapEvents = 16
	gapPeriod = 64
)

// eligible returns the upstreams of the service that may get the request, besides those in
// tried. A request that was drawn for a version on trial goes to the old one if the version
// has no upstream for it.
func (req *activeRequest) eligible(tried map[bramleytack.UpstreamID]bool) []*bramleytack.Upstream {
	choice := req.choice.Load()
	if choice == nil {
		choice = req.h.Rollouts.Choose(req.service)
		req.choice.Store(choice)
	}
	if choice == nil {
		return req.h.Accounts.Eligible(req.snapshot, req.service, tried)
	}
	list := req.h.Accounts.EligibleOf(req.snapshot, req.service, tried, choice.Allows)
	if len(list) == 0 && choice.Fall() {
		list = req.h.Accounts.EligibleOf(req.snapshot, req.service, tried, choice.Allows)
	}
	return list
}

// sentTo counts that the request is sent to an upstream. If it is repeated, it goes to the old
// version.
func (req *activeRequest) sentTo(u *bramleytack.Upstream) {
	req.h.Rollouts.Sent(u)
	req.choice.Load().Fall()
}

// versionCheck collects what one attempt shows of its upstream's version.
type versionCheck struct {
	req     *activeRequest
	answer  btrollout.Answer
	started time.Time
	// begun is set once the answer is counted. gapFrom is the time of the event from which on
	// the time between events is measured.
	begun   bool
	gapFrom time.Time
}

// checkVersion returns a check of an attempt that begins now, nil if versions are not compared.
func (req *activeRequest) checkVersion(u *bramleytack.Upstream) *versionCheck {
	if !req.h.Rollouts.Counts(req.service) {
		return nil
	}
	answer := btrollout.Answer{Upstream: u, Route: req.route.Name, Busy: req.h.Accounts.Busy(req.h.Table.Snapshot(), u)}
	return &versionCheck{req: req, answer: answer, started: req.h.Timer.Now()}
}

// report counts an answer, or a further part of one that was counted before.
func (c *versionCheck) report(a btrollout.Answer) {
	a.Part = c.begun
	c.begun = true
	c.req.h.Rollouts.Answered(a)
}

// overdue counts a stream that has had no event for the route's target latency as one whose first
// event took so long. A slow version shows then, and not only with the event.
func (c *versionCheck) overdue() {
	if c == nil || c.begun {
		return
	}
	a := c.answer
	if a.First = c.req.h.Timer.Now().Sub(c.started); a.First >= c.req.route.TargetLatency {
		c.report(a)
	}
}

// ended counts an attempt that ended with a result. Requests that did not run, or ended for other
// reasons than the upstream, show nothing.
func (c *versionCheck) ended(r *attemptResult, health btaccount.Outcome) {
	if c == nil || r.unsent || r.misdirected || r.outcome == bramleytack.NotRun || health == btaccount.Abandoned && !r.unattributed {
		return
	}
	a := c.answer
	switch {
	case r.err != nil:
		a.Broken = true
	case r.outcome == bramleytack.Unknown, r.status >= http.StatusInternalServerError:
		a.Failed = true
	default:
		a.First = c.req.h.Timer.Now().Sub(c.started)
	}
	c.report(a)
}

// event counts an event of a stream that has arrived.
func (c *versionCheck) event(seg *segment, now time.Time) {
	switch {
	case c == nil:
	case seg.eventCount == 1:
		a := c.answer
		if seg.origin == fromStart && !c.begun {
			a.First = now.Sub(c.started)
		}
		c.gapFrom = now
		c.report(a)
	case seg.eventCount%gapPeriod == 1:
		c.gapFrom = now
	case seg.eventCount%gapPeriod == 1+gapEvents:
		a := c.answer
		a.Gap = now.Sub(c.gapFrom) / gapEvents
		c.report(a)
	}
}

// broken counts a stream that has broken off.
func (c *versionCheck) broken() {
	if c == nil {
		return
	}
	a := c.answer
	a.Broken = true
	c.report(a)
}

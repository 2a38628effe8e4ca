package btowner

import (
	"time"

	"bramleytack"
	"bramleytack/btlength"
)

// clockReset is the time without an accepted report after which the upstream's
// clock is taken as set back.
const clockReset = time.Minute

// Report merges a load report that arrived now.
func (u *Upstream) Report(now time.Time, r bramleytack.LoadReport) {
	u.expire(now)
	at := now.Add(-r.Age)
	if u.late(now, at, r) {
		return
	}
	restarted := u.reported && r.Instance != u.report.Instance
	u.ramp.ObserveInstance(now, r.Instance)
	u.pace(now, r)
	u.report, u.reportAt, u.receivedAt, u.reported = r, at, now, true
	if at.After(u.failedAt) {
		u.failedAt = time.Time{}
	}
	u.synced = u.synced || !at.Before(u.since)
	listed := u.progress(r)
	if restarted {
		u.dropOlder(at, listed)
	}
	u.dropGone(now, r, listed)
	u.foreign = max(0, r.Running+r.Waiting-u.explained(at, listed))
	u.sumUp(r, listed)
}

// paceSpan is the shortest time between two reports that shows the pace. A
// step takes tens of milliseconds.
const paceSpan = 200 * time.Millisecond

// pace tells the ramp the time of a decoding step: the fastest generation of
// two reports got a token in each step.
func (u *Upstream) pace(now time.Time, r bramleytack.LoadReport) {
	span := r.At.Sub(u.report.At)
	if !u.reported || r.Instance != u.report.Instance || span < paceSpan {
		return
	}
	before := make(map[bramleytack.RequestID]int, len(u.report.Generations))
	for _, g := range u.report.Generations {
		if g.Tokens > 0 {
			before[g.Request] = g.Tokens
		}
	}
	steps := 0
	for _, g := range r.Generations {
		if n, ok := before[g.Request]; ok {
			steps = max(steps, g.Tokens-n)
		}
	}
	if steps > 0 {
		u.ramp.ObserveStep(now, r.Running, span/time.Duration(steps))
	}
}

// paceTokens is the output from which on a whole generation shows the pace.
const paceTokens = 5

// paceOf tells the ramp the pace of a generation that ended. Short ones, which
// warm a cold upstream, end between two reports. On a warm upstream the reports
// suffice; a generation can be slow there for other reasons.
func (u *Upstream) paceOf(now time.Time, h *held, v bramleytack.Release) {
	if v.Tokens < paceTokens || v.FirstToken <= 0 {
		return
	}
	decoding := now.Sub(h.granted) - v.FirstToken
	u.ramp.ObserveStep(now, u.Running()+1, decoding/time.Duration(v.Tokens-1))
}

// late says whether a report is older than the last one, by its age or, within
// one run of the upstream, by the upstream's clock.
func (u *Upstream) late(now, at time.Time, r bramleytack.LoadReport) bool {
	if !u.reported || now.Sub(u.receivedAt) > clockReset {
		return false
	}
	return at.Before(u.reportAt) || (r.Instance == u.report.Instance && !r.At.After(u.report.At))
}

// dropOlder drops what ran before a restart. Grants that were valid at the
// time of the report may have reached the new instance and stay. So do the
// requests that it lists, since this owner may hear of the restart late.
func (u *Upstream) dropOlder(at time.Time, listed map[bramleytack.RequestID]int) {
	for _, h := range u.held {
		if _, ok := listed[h.Request]; !ok && at.After(h.validUntil) {
			u.drop(at, h, false)
		}
	}
}

// progress takes the produced tokens from a report and returns the requests
// that it lists.
func (u *Upstream) progress(r bramleytack.LoadReport) map[bramleytack.RequestID]int {
	if len(r.Generations) == 0 {
		return nil
	}
	listed := make(map[bramleytack.RequestID]int, len(r.Generations))
	for _, g := range r.Generations {
		listed[g.Request] = g.Tokens
	}
	for _, h := range u.held {
		tokens, ok := listed[h.Request]
		if !ok {
			continue
		}
		h.listed = u.reportAt
		h.produced = max(h.produced, tokens)
		if h.produced >= provenTokens && !h.proven {
			h.proven = true
			u.ramp.Progress(u.receivedAt, h.mark)
		}
	}
	return listed
}

// dropGone drops reservations that a complete report shows gone. A report that
// only counts is complete when it counts nothing.
func (u *Upstream) dropGone(now time.Time, r bramleytack.LoadReport, listed map[bramleytack.RequestID]int) {
	if len(r.Generations) < r.Running+r.Waiting {
		return
	}
	for _, h := range u.held {
		if _, ok := listed[h.Request]; !ok && h.gone(u.reportAt) {
			u.drop(now, h, false)
		}
	}
}

// explained counts the requests in the report that reservations explain: by
// name if the report lists them, else all that were reserved at its time.
func (u *Upstream) explained(at time.Time, listed map[bramleytack.RequestID]int) int {
	n := 0
	count := func(h *held) {
		if len(listed) == 0 {
			if !h.granted.After(at) {
				n++
			}
		} else if _, ok := listed[h.Request]; ok {
			n++
		}
	}
	for _, h := range u.held {
		count(h)
	}
	for _, e := range u.ended {
		if e.at.After(at) {
			count(e.held)
		}
	}
	return n
}

// sumUp computes the forecast anew, which also removes rounding errors.
func (u *Upstream) sumUp(r bramleytack.LoadReport, listed map[bramleytack.RequestID]int) {
	u.sum = moments{}
	if u.memory() <= 0 {
		return
	}
	known := 0
	for _, h := range u.held {
		h.forecast(u.cfg.Lengths)
		u.sum.add(&h.use)
		if _, ok := listed[h.Request]; ok {
			known += h.PromptTokens + h.produced
		}
	}
	if u.foreign == 0 {
		return
	}
	// Requests without a reservation share the memory that is not explained.
	size := max(0, r.MemoryUsed-known) / u.foreign
	c := u.cfg.Lengths.Curve(btlength.Key{Model: firstModel(r)}, 0, 0)
	use := forecastOf(size, &c)
	for range u.foreign {
		u.sum.add(&use)
	}
}

// forget drops ended grants that no message can refer to any more.
func (u *Upstream) forget(now time.Time) {
	if now.Sub(u.forgotAt) < forgetPeriod {
		return
	}
	u.forgotAt = now
	for id, e := range u.ended {
		if now.Sub(e.at) > endedKept {
			delete(u.ended, id)
		}
	}
}

func firstModel(r bramleytack.LoadReport) string {
	if len(r.Models) == 0 {
		return ""
	}
	return r.Models[0].Model
}

package btowner

import (
	"time"

	"bramleytack"
	"bramleytack/btlength"
)

// clockResetTimeout is the time without an accepted report after which the owner
// assumes that the upstream's clock was set back, and accepts any report.
const clockResetTimeout = time.Minute

// Report merges a load report that arrived now. It ignores one that is older
// than the last.
func (u *Upstream) Report(now time.Time, r bramleytack.LoadReport) {
	u.expire(now)
	madeAt := now.Add(-r.Age)
	if u.isStale(now, madeAt, r) {
		return
	}
	restarted := u.reported && r.Instance != u.report.Instance
	u.ramp.ObserveInstance(now, r.Instance)
	u.observeStepsInReports(now, r)
	u.report, u.reportAt, u.receivedAt, u.reported = r, madeAt, now, true
	if madeAt.After(u.possibleRestartAt) {
		u.possibleRestartAt = time.Time{}
	}
	u.synced = u.synced || !madeAt.Before(u.ownedSince)
	listed := u.recordProgress(r)
	if restarted {
		u.dropBeforeRestart(madeAt, listed)
	}
	u.dropEnded(now, r, listed)
	u.foreign = max(0, r.Running+r.Waiting-u.countReserved(madeAt, listed))
	u.recomputeForecast(r, listed)
}

// minStepSampleInterval is the shortest time between two reports from which the
// duration of a step is computed. A step takes tens of milliseconds.
const minStepSampleInterval = 200 * time.Millisecond

// observeStepsInReports passes the duration of a decoding step to the ramp: the
// generation that gained most tokens between two reports got one in each step.
func (u *Upstream) observeStepsInReports(now time.Time, r bramleytack.LoadReport) {
	span := r.At.Sub(u.report.At)
	if !u.reported || r.Instance != u.report.Instance || span < minStepSampleInterval {
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

// minStepSampleTokens is the shortest output of a generation from which the
// duration of a step is computed.
const minStepSampleTokens = 5

// observeStepsOfRelease passes the average duration of the decoding steps of an
// ended generation to the ramp. It is called for cold upstreams, since the short
// generations that warm them can start and end between two reports. On a warm
// upstream the reports are enough, and a generation can be slow for other reasons.
func (u *Upstream) observeStepsOfRelease(now time.Time, res *trackedReservation, v bramleytack.Release) {
	if v.Tokens < minStepSampleTokens || v.FirstToken <= 0 {
		return
	}
	decoding := now.Sub(res.grantedAt) - v.FirstToken
	u.ramp.ObserveStep(now, u.Running()+1, decoding/time.Duration(v.Tokens-1))
}

// isStale reports whether a report is older than the last accepted one: by its
// age or, for the same instance, by the upstream's clock.
func (u *Upstream) isStale(now, madeAt time.Time, r bramleytack.LoadReport) bool {
	if !u.reported || now.Sub(u.receivedAt) > clockResetTimeout {
		return false
	}
	return madeAt.Before(u.reportAt) || (r.Instance == u.report.Instance && !r.At.After(u.report.At))
}

// dropBeforeRestart drops the reservations of requests that ran before a restart.
// It keeps those whose grants were still valid when the report was made, since
// they may have reached the new instance, and those that the report lists, since
// the restart may be long past when this owner learns about it.
func (u *Upstream) dropBeforeRestart(madeAt time.Time, listed map[bramleytack.RequestID]int) {
	for _, res := range u.held {
		if _, ok := listed[res.Request]; !ok && madeAt.After(res.validUntil) {
			u.drop(madeAt, res, false)
		}
	}
}

// recordProgress records the tokens that a report shows for each request, and
// returns them by request. The map is nil if the report lists no requests.
func (u *Upstream) recordProgress(r bramleytack.LoadReport) map[bramleytack.RequestID]int {
	if len(r.Generations) == 0 {
		return nil
	}
	listed := make(map[bramleytack.RequestID]int, len(r.Generations))
	for _, g := range r.Generations {
		listed[g.Request] = g.Tokens
	}
	for _, res := range u.held {
		tokens, ok := listed[res.Request]
		if !ok {
			continue
		}
		res.listedAt = u.reportAt
		res.produced = max(res.produced, tokens)
		if res.produced >= successTokens && !res.succeeded {
			res.succeeded = true
			u.ramp.Progress(u.receivedAt, res.admission)
		}
	}
	return listed
}

// dropEnded drops the reservations of requests that, by a complete report, have
// ended. A report that counts requests without listing them is complete only if
// it counts none.
func (u *Upstream) dropEnded(now time.Time, r bramleytack.LoadReport, listed map[bramleytack.RequestID]int) {
	if len(r.Generations) < r.Running+r.Waiting {
		return
	}
	for _, res := range u.held {
		if _, ok := listed[res.Request]; !ok && res.hasEnded(u.reportAt) {
			u.drop(now, res, false)
		}
	}
}

// countReserved returns how many of the report's requests have a reservation, or
// had one when the report was made. If the report lists no requests, it returns
// the number of reservations at that time.
func (u *Upstream) countReserved(madeAt time.Time, listed map[bramleytack.RequestID]int) int {
	n := 0
	count := func(res *trackedReservation) {
		if len(listed) == 0 {
			if !res.grantedAt.After(madeAt) {
				n++
			}
		} else if _, ok := listed[res.Request]; ok {
			n++
		}
	}
	for _, res := range u.held {
		count(res)
	}
	for _, e := range u.ended {
		if e.at.After(madeAt) {
			count(e.trackedReservation)
		}
	}
	return n
}

// recomputeForecast adds up the forecasts of all requests again, with the tokens
// that the report shows. This also removes accumulated rounding errors.
func (u *Upstream) recomputeForecast(r bramleytack.LoadReport, listed map[bramleytack.RequestID]int) {
	u.forecast = memoryForecast{}
	if u.memorySize() <= 0 {
		return
	}
	known := 0
	for _, res := range u.held {
		res.updateForecast(u.cfg.Lengths)
		u.forecast.add(&res.forecast)
		if _, ok := listed[res.Request]; ok {
			known += res.PromptTokens + res.produced
		}
	}
	if u.foreign == 0 {
		return
	}
	// The rest of the used memory is divided equally between the requests that
	// have no reservation.
	size := max(0, r.MemoryUsed-known) / u.foreign
	c := u.cfg.Lengths.Curve(btlength.Key{Model: firstModel(r)}, 0, 0)
	use := forecastGeneration(size, &c)
	for range u.foreign {
		u.forecast.add(&use)
	}
}

// sweepEnded forgets ended reservations that no message can refer to any more.
func (u *Upstream) sweepEnded(now time.Time) {
	if now.Sub(u.sweptAt) < endedSweepInterval {
		return
	}
	u.sweptAt = now
	for id, e := range u.ended {
		if now.Sub(e.at) > endedRetention {
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

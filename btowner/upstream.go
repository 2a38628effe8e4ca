package btowner

import (
	"slices"
	"time"

	"bramleytack"
	"bramleytack/btramp"
)

// Upstream is the admission state of one owned upstream. It is not safe for
// concurrent use; a Table holds a mutex for each one.
type Upstream struct {
	cfg    Config
	record *bramleytack.Upstream
	ramp   *btramp.Ramp
	// outOfService is set while the failure domain is not active.
	outOfService bool

	held  map[bramleytack.GrantID]*trackedReservation
	ended map[bramleytack.GrantID]endedReservation
	// nextExpiry is the earliest expiry in held, or earlier. Zero means none.
	nextExpiry time.Time
	// suspectGrant is the held grant of a suspect request, or empty.
	suspectGrant bramleytack.GrantID
	drain        suspectDrain
	// forecast is the sum of the forecasts of all requests that count.
	forecast memoryForecast

	// report is the last accepted load report, if reported is set. It was made
	// at reportAt and arrived at receivedAt, both by this daemon's clock.
	report     bramleytack.LoadReport
	reportAt   time.Time
	receivedAt time.Time
	reported   bool
	// foreign is the number of requests in the report without a reservation.
	foreign int
	// lastInteractive is when an interactive reservation was last asked for.
	lastInteractive time.Time
	sweptAt         time.Time
	// nextPromptAt is when the next prompt may start.
	nextPromptAt  time.Time
	shortRequests shortRequests
	// possibleRestartAt is the last failure after which the upstream may have
	// restarted. It is zero once a newer report has arrived.
	possibleRestartAt time.Time
	// ownedSince is when this daemon became the owner. synced is set once it
	// knows every request that runs on the upstream.
	ownedSince time.Time
	synced     bool
}

// NewUpstream returns the state of an upstream that is cold and owned from now
// on.
func NewUpstream(cfg Config, now time.Time, record *bramleytack.Upstream) *Upstream {
	u := &Upstream{
		cfg:        cfg.withDefaults(),
		record:     record,
		held:       make(map[bramleytack.GrantID]*trackedReservation),
		ended:      make(map[bramleytack.GrantID]endedReservation),
		ownedSince: now,
		synced:     cfg.WithoutReports,
	}
	u.ramp = btramp.New(u.rampConfig())
	return u
}

func (u *Upstream) rampConfig() btramp.Config {
	c := u.cfg.Ramp
	c.ColdLimit, c.WarmLimit = u.record.ColdLimit, u.record.WarmLimit
	return c
}

// Configure sets the record and whether the failure domain is out of service. An
// upstream is cold when its domain returns to service.
func (u *Upstream) Configure(now time.Time, record *bramleytack.Upstream, outOfService bool) {
	u.record = record
	u.ramp.Configure(u.rampConfig())
	if outOfService != u.outOfService {
		u.ramp.Reset(now, btramp.DomainReturned)
	}
	u.outOfService = outOfService
}

// SetMode sets the mode of the warm-up limit.
func (u *Upstream) SetMode(m btramp.Mode) { u.ramp.SetMode(m) }

// MarkSynced records that the owner knows every request that runs on the
// upstream: each entry daemon that could hold a reservation has reported it.
// Without this call, the owner grants nothing until a load report made after
// its start shows what runs, since an entry that died with the previous owner
// may have left requests running.
func (u *Upstream) MarkSynced() { u.synced = true }

// Running returns the number of requests that count: those with a reservation
// and those that only the load report shows.
func (u *Upstream) Running() int { return len(u.held) + u.foreign }

// Reserve grants a reservation, or returns an Error with NotRun. A repeated
// reservation gets the same grant.
func (u *Upstream) Reserve(now time.Time, r bramleytack.Reservation) (bramleytack.Grant, error) {
	u.expire(now)
	if res, ok := u.held[r.Grant]; ok {
		return u.grantFor(res), nil
	}
	if _, ok := u.ended[r.Grant]; ok {
		return bramleytack.Grant{}, rejection(bramleytack.CodeCanceled, "grant has already ended")
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return bramleytack.Grant{}, rejection(bramleytack.CodeTimeout, "deadline has passed")
	}
	if err := u.checkAvailable(r); err != nil {
		return bramleytack.Grant{}, err
	}
	if r.Priority == bramleytack.Interactive {
		u.lastInteractive = now
	}
	res := &trackedReservation{Reservation: r, grantedAt: now, validUntil: now.Add(GrantValidity)}
	if err := u.admit(now, res); err != nil {
		return bramleytack.Grant{}, err
	}
	u.add(res)
	return u.grantFor(res), nil
}

func (u *Upstream) grantFor(res *trackedReservation) bramleytack.Grant {
	return bramleytack.Grant{
		ID:         res.Grant,
		Upstream:   u.record.ID,
		Instance:   u.ramp.Instance(),
		ValidUntil: res.validUntil,
	}
}

// checkAvailable rejects a reservation that free capacity would not help: the
// upstream takes no new work, may run requests that the owner does not know, or
// does not have the model.
func (u *Upstream) checkAvailable(r bramleytack.Reservation) error {
	switch {
	case u.outOfService || u.record.State == bramleytack.UpstreamLeaving || u.report.Leaving:
		return rejection(bramleytack.CodeNoUpstream, "upstream takes no new work")
	case !u.synced:
		return rejection(bramleytack.CodeOverloaded, "owner does not know yet which requests the upstream runs")
	case u.reported && r.Model != "" && !u.hasModel(r.Model):
		return rejection(bramleytack.CodeNoUpstream, "upstream does not have the model loaded")
	default:
		return nil
	}
}

// hasModel reports whether the last report lists the model. A report that lists
// no models does not exclude any.
func (u *Upstream) hasModel(model string) bool {
	for i := range u.report.Models {
		if u.report.Models[i].Model == model {
			return true
		}
	}
	return len(u.report.Models) == 0
}

// admit checks the limits, cheapest first. The ramp is last since it counts the
// prompt tokens of a request that it admits.
func (u *Upstream) admit(now time.Time, res *trackedReservation) error {
	running := u.Running()
	if u.drain.blocks(now, res.Request) {
		return rejection(bramleytack.CodeOverloaded, "upstream is draining for a suspect request")
	}
	if u.suspectGrant != "" || (res.Suspect && running > 0) {
		u.drain.extend(now, res)
		return rejection(bramleytack.CodeOverloaded, "a suspect request has to run alone")
	}
	if u.rejectsLong(now, res) {
		return rejection(bramleytack.CodeOverloaded, "cold upstream takes only short requests")
	}
	headroom := u.headroom(now, res.Priority)
	limit := u.limit(now)
	if running >= limit-int(headroom*float64(limit)) {
		return rejection(bramleytack.CodeOverloaded, "upstream is at its concurrency limit")
	}
	if !u.fitsMemory(res, 1-headroom) {
		return rejection(bramleytack.CodeOverloaded, "forecast memory use does not fit")
	}
	if wait := u.nextPromptAt.Sub(now); wait > 0 {
		return rejection(bramleytack.CodeOverloaded, "upstream has just started another prompt").WithRetryAfter(wait)
	}
	admission, ok := u.ramp.Admit(now, running, res.PromptTokens)
	if !ok {
		return rejection(bramleytack.CodeOverloaded, "upstream is warming up").
			WithRetryAfter(max(defaultRetryAfter, u.ramp.Wait(now)))
	}
	res.admission = admission
	if step, ok := u.ramp.StepTime(running); ok && u.cfg.StepsBetweenPrompts > 0 {
		u.nextPromptAt = now.Add(time.Duration(u.cfg.StepsBetweenPrompts * float64(step)))
	}
	return nil
}

// MarkPossibleRestart records that the upstream may have restarted, which lowers
// its limit.
func (u *Upstream) MarkPossibleRestart(now time.Time) { u.possibleRestartAt = now }

// limit returns the concurrency limit. After a failure, which may mean that the
// upstream restarted, it is at most the base until a report shows the instance:
// waiting requests would otherwise replace those that failed, and overload an
// upstream that is cold.
func (u *Upstream) limit(now time.Time) int {
	limit := u.ramp.Limit()
	if u.possibleRestartAt.IsZero() || now.Sub(u.possibleRestartAt) > possibleRestartTimeout {
		return limit
	}
	return min(limit, u.ramp.Base())
}

// headroom returns the share of the capacity that a priority leaves free. Without
// interactive work, lower priorities may use all of it.
func (u *Upstream) headroom(now time.Time, p bramleytack.Priority) float64 {
	if now.Sub(u.lastInteractive) > headroomRetention || int(p) >= len(u.cfg.Headroom) {
		return 0
	}
	return u.cfg.Headroom[p]
}

// fitsMemory computes the forecast of res and reports whether it fits into a
// share of the memory. A request that would run alone always fits, since waiting
// would free no more memory.
func (u *Upstream) fitsMemory(res *trackedReservation, share float64) bool {
	capacity := u.memorySize()
	if capacity <= 0 {
		return true
	}
	res.updateForecast(u.cfg.Lengths)
	return u.Running() == 0 || u.forecast.peak(&res.forecast, u.cfg.MemoryZScore) <= share*float64(capacity)
}

// memorySize returns the size of the upstream's memory in tokens, or 0 if it is
// unknown. A plain service has 0, since only concurrency limits apply to it.
func (u *Upstream) memorySize() int {
	if u.record.Kind == bramleytack.KindService {
		return 0
	}
	if u.report.MemoryTotal > 0 {
		return u.report.MemoryTotal
	}
	return u.record.MemoryTokens
}

func (u *Upstream) add(res *trackedReservation) {
	u.held[res.Grant] = res
	u.forecast.add(&res.forecast)
	if res.Suspect {
		u.suspectGrant = res.Grant
		u.drain.until = time.Time{}
	}
	if end := res.expiry(); u.nextExpiry.IsZero() || end.Before(u.nextExpiry) {
		u.nextExpiry = end
	}
}

// drop moves a reservation from held to ended.
func (u *Upstream) drop(now time.Time, res *trackedReservation, released bool) {
	delete(u.held, res.Grant)
	u.forecast.remove(&res.forecast)
	if u.suspectGrant == res.Grant {
		u.suspectGrant = ""
	}
	u.ended[res.Grant] = endedReservation{trackedReservation: res, at: now, released: released || res.abandoned()}
}

// Release ends a reservation and records how its request ended. A release of an
// unknown grant is kept, since its reservation may still arrive. The reservation
// of an abandoned request is kept until a report shows that the request has
// ended: upstreams keep running it without a caller, and one more request could
// overload a cold one.
func (u *Upstream) Release(now time.Time, v bramleytack.Release) {
	res, ok := u.held[v.Grant]
	switch {
	case ok && res.abandoned():
		return
	case ok && v.Abandoned && !u.cfg.WithoutReports:
		res.abandonedAt = now
	case ok:
		u.drop(now, res, true)
	default:
		e, known := u.ended[v.Grant]
		if known && e.released {
			return
		}
		if !known {
			u.ended[v.Grant] = endedReservation{trackedReservation: &trackedReservation{Reservation: bramleytack.Reservation{Grant: v.Grant}}, at: now, released: true}
			return
		}
		e.released = true
		u.ended[v.Grant] = e
		res = e.trackedReservation
	}
	u.recordOutcome(now, res, v)
}

// recordOutcome passes how a request ended to the length estimator and the ramp.
func (u *Upstream) recordOutcome(now time.Time, res *trackedReservation, v bramleytack.Release) {
	ran := v.Outcome == bramleytack.Ran && !v.Failed
	if ran && v.Tokens > 0 {
		u.cfg.Lengths.Add(now, res.lengthKey(), v.Tokens)
	}
	if v.Failed {
		u.MarkPossibleRestart(now)
	}
	if ran && !u.ramp.Warm() {
		u.observeStepsOfRelease(now, res, v)
	}
	service := u.record.Kind == bramleytack.KindService
	u.ramp.End(now, res.admission, btramp.Result{
		OK:           ran && (v.Tokens > 0 || service) && !res.succeeded,
		Failed:       v.Failed,
		FirstToken:   v.FirstToken,
		PromptTokens: res.PromptTokens,
		Queued:       u.report.Waiting > 0,
	})
}

// Adopt counts reservations that an entry daemon got from the previous owner.
// They count even above the limits, since their requests may already run.
func (u *Upstream) Adopt(now time.Time, list []HeldReservation) {
	for _, v := range list {
		if _, ok := u.ended[v.Grant]; ok {
			continue
		}
		if _, ok := u.held[v.Grant]; ok {
			continue
		}
		granted := now.Add(-v.Age)
		res := &trackedReservation{Reservation: v.Reservation, grantedAt: granted, validUntil: granted.Add(GrantValidity), produced: v.Tokens}
		res.updateForecast(u.cfg.Lengths)
		u.add(res)
		if u.foreign > 0 && u.reportLists(v.Request) {
			u.foreign--
		}
	}
}

// reportLists reports whether the last report lists a request.
func (u *Upstream) reportLists(id bramleytack.RequestID) bool {
	return slices.ContainsFunc(u.report.Generations, func(g bramleytack.GenerationState) bool { return g.Request == id })
}

// Inherit takes over the warm-up level from the previous owner's digest.
func (u *Upstream) Inherit(now time.Time, d bramleytack.UpstreamDigest) {
	u.ramp.Inherit(d.Instance, d.Level, now.Sub(d.At))
}

// EntryGone marks the reservations of an entry daemon that has left the view.
// They count until a load report shows that their requests have ended, or until
// their deadlines.
func (u *Upstream) EntryGone(entry bramleytack.HostID) {
	for _, res := range u.held {
		if res.Entry == entry {
			res.entryGone = true
		}
	}
}

// expire drops reservations that have passed their expiry, and sweeps ended ones.
func (u *Upstream) expire(now time.Time) {
	u.sweepEnded(now)
	if u.nextExpiry.IsZero() || now.Before(u.nextExpiry) {
		return
	}
	u.nextExpiry = time.Time{}
	for _, res := range u.held {
		end := res.expiry()
		if !now.Before(end) {
			u.drop(now, res, false)
		} else if u.nextExpiry.IsZero() || end.Before(u.nextExpiry) {
			u.nextExpiry = end
		}
	}
}

// Victim returns the reservation of the newest generation of the lowest priority
// that has produced nothing, if the forecast memory use is above
// VictimThreshold. Its entry daemon should cancel it and start it elsewhere,
// which costs less than a preemption. Each generation is returned once.
func (u *Upstream) Victim(now time.Time) (bramleytack.Reservation, bool) {
	u.expire(now)
	if u.Running() < 2 || u.memoryShare() <= u.cfg.VictimThreshold {
		return bramleytack.Reservation{}, false
	}
	var victim *trackedReservation
	for _, res := range u.held {
		if res.produced > 0 || res.wasVictim || res.Suspect || res.entryGone || res.abandoned() {
			continue
		}
		if victim == nil || res.Priority < victim.Priority || (res.Priority == victim.Priority && res.grantedAt.After(victim.grantedAt)) {
			victim = res
		}
	}
	if victim == nil {
		return bramleytack.Reservation{}, false
	}
	victim.wasVictim = true
	return victim.Reservation, true
}

// memoryShare returns the forecast peak as a share of the memory, or 0 if
// memorySize is 0.
func (u *Upstream) memoryShare() float64 {
	capacity := u.memorySize()
	if capacity <= 0 {
		return 0
	}
	return u.forecast.peak(&memoryForecast{}, u.cfg.MemoryZScore) / float64(capacity)
}

func rejection(code bramleytack.Code, message string) *bramleytack.Error {
	return bramleytack.NewError(code, bramleytack.NotRun, "%s", message).WithRetryAfter(defaultRetryAfter)
}

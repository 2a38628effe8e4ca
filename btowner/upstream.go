package btowner

import (
	"slices"
	"time"

	"bramleytack"
	"bramleytack/btramp"
)

// Upstream is the admission state of one owned upstream. It is not safe for
// concurrent use; a Table adds a mutex for each.
type Upstream struct {
	cfg    Config
	record *bramleytack.Upstream
	ramp   *btramp.Ramp
	out    bool

	held  map[bramleytack.GrantID]*held
	ended map[bramleytack.GrantID]ended
	// soonest is the earliest end of a reservation by its deadline.
	soonest time.Time
	suspect bramleytack.GrantID
	drain   drain
	sum     moments

	report      bramleytack.LoadReport
	reportAt    time.Time
	receivedAt  time.Time
	reported    bool
	foreign     int
	interactive time.Time
	forgotAt    time.Time
	// promptUntil is when the next prompt may start.
	promptUntil time.Time
	warmers     warmers
	failedAt    time.Time
	// since is when this daemon became the owner. synced is set once it knows
	// every request that runs on the upstream.
	since  time.Time
	synced bool
}

// NewUpstream returns the state of an upstream that is cold and owned from now
// on.
func NewUpstream(cfg Config, now time.Time, record *bramleytack.Upstream) *Upstream {
	u := &Upstream{
		cfg:    cfg.withDefaults(),
		record: record,
		held:   make(map[bramleytack.GrantID]*held),
		ended:  make(map[bramleytack.GrantID]ended),
		since:  now,
		synced: cfg.WithoutReports,
	}
	u.ramp = btramp.New(u.rampConfig())
	return u
}

func (u *Upstream) rampConfig() btramp.Config {
	c := u.cfg.Ramp
	c.ColdLimit, c.WarmLimit = u.record.ColdLimit, u.record.WarmLimit
	return c
}

// Configure takes a new record and whether the failure domain is out of
// service. An upstream that comes back with its domain is cold.
func (u *Upstream) Configure(now time.Time, record *bramleytack.Upstream, out bool) {
	u.record = record
	u.ramp.Configure(u.rampConfig())
	if out != u.out {
		u.ramp.Reset(now, btramp.DomainReturned)
	}
	u.out = out
}

// SetMode sets the mode of the warm-up limit.
func (u *Upstream) SetMode(m btramp.Mode) { u.ramp.SetMode(m) }

// MarkSynced records that the owner knows every request that runs on the
// upstream: each entry daemon that could hold a reservation has reported it.
// Without this call, the owner grants nothing until a load report made after
// its start shows what runs, since an entry that died with the previous owner
// may have left requests running.
func (u *Upstream) MarkSynced() { u.synced = true }

// Running returns the number of requests that count: reservations and
// requests that only the load report shows.
func (u *Upstream) Running() int { return len(u.held) + u.foreign }

// Reserve admits a request or refuses it with NotRun.
func (u *Upstream) Reserve(now time.Time, r bramleytack.Reservation) (bramleytack.Grant, error) {
	u.expire(now)
	if h, ok := u.held[r.Grant]; ok {
		return u.grant(h), nil
	}
	if _, ok := u.ended[r.Grant]; ok {
		return bramleytack.Grant{}, refusal(bramleytack.CodeCanceled, "grant was released before")
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return bramleytack.Grant{}, refusal(bramleytack.CodeTimeout, "deadline has passed")
	}
	if err := u.available(r); err != nil {
		return bramleytack.Grant{}, err
	}
	if r.Priority == bramleytack.Interactive {
		u.interactive = now
	}
	h := &held{Reservation: r, granted: now, validUntil: now.Add(GrantValidity)}
	if err := u.admit(now, h); err != nil {
		return bramleytack.Grant{}, err
	}
	u.add(h)
	return u.grant(h), nil
}

func (u *Upstream) grant(h *held) bramleytack.Grant {
	return bramleytack.Grant{
		ID:         h.Grant,
		Upstream:   u.record.ID,
		Instance:   u.ramp.Instance(),
		ValidUntil: h.validUntil,
	}
}

// available refuses what no free capacity could help.
func (u *Upstream) available(r bramleytack.Reservation) error {
	switch {
	case u.out || u.record.State == bramleytack.UpstreamLeaving || u.report.Leaving:
		return refusal(bramleytack.CodeNoUpstream, "upstream takes no new work")
	case !u.synced:
		return refusal(bramleytack.CodeOverloaded, "owner does not know yet what runs")
	case u.reported && r.Model != "" && !u.holds(r.Model):
		return refusal(bramleytack.CodeNoUpstream, "upstream does not hold the model")
	default:
		return nil
	}
}

// holds says whether the last report lists the model. A report without models
// says nothing.
func (u *Upstream) holds(model string) bool {
	for i := range u.report.Models {
		if u.report.Models[i].Model == model {
			return true
		}
	}
	return len(u.report.Models) == 0
}

// admit checks the limits, cheapest first. The ramp is last since it counts
// the prompt.
func (u *Upstream) admit(now time.Time, h *held) error {
	running := u.Running()
	if u.drain.active(now, h.Request) {
		return refusal(bramleytack.CodeOverloaded, "upstream drains for a suspect")
	}
	if u.suspect != "" || (h.Suspect && running > 0) {
		u.drain.ask(now, h)
		return refusal(bramleytack.CodeOverloaded, "a suspect runs alone")
	}
	if u.keptForShort(now, h) {
		return refusal(bramleytack.CodeOverloaded, "a cold upstream is kept for short requests")
	}
	headroom := u.headroom(now, h.Priority)
	limit := u.limit(now)
	if running >= limit-int(headroom*float64(limit)) {
		return refusal(bramleytack.CodeOverloaded, "upstream is at its concurrency limit")
	}
	if !u.fits(h, 1-headroom) {
		return refusal(bramleytack.CodeOverloaded, "forecast memory does not fit")
	}
	if wait := u.promptUntil.Sub(now); wait > 0 {
		return refusal(bramleytack.CodeOverloaded, "upstream starts another prompt").WithRetryAfter(wait)
	}
	mark, ok := u.ramp.Admit(now, running, h.PromptTokens)
	if !ok {
		return refusal(bramleytack.CodeOverloaded, "upstream is warming up").
			WithRetryAfter(max(retryAfter, u.ramp.Wait(now)))
	}
	h.mark = mark
	if step, ok := u.ramp.StepTime(running); ok && u.cfg.StepsBetweenPrompts > 0 {
		u.promptUntil = now.Add(time.Duration(u.cfg.StepsBetweenPrompts * float64(step)))
	}
	return nil
}

// MarkPossibleRestart records that the upstream may have restarted.
func (u *Upstream) MarkPossibleRestart(now time.Time) { u.failedAt = now }

// limit returns the concurrency limit. After a failure, which may mean that
// the upstream restarted, it is the base until a report shows the instance:
// requests that wait would otherwise take the places of those that failed.
func (u *Upstream) limit(now time.Time) int {
	limit := u.ramp.Limit()
	if u.failedAt.IsZero() || now.Sub(u.failedAt) > doubtTime {
		return limit
	}
	return min(limit, u.ramp.Base())
}

// headroom returns the share that a priority leaves free. Without interactive
// work, lower priorities use all of the capacity.
func (u *Upstream) headroom(now time.Time, p bramleytack.Priority) float64 {
	if now.Sub(u.interactive) > interactiveRecent || int(p) >= len(u.cfg.Headroom) {
		return 0
	}
	return u.cfg.Headroom[p]
}

// fits computes the forecast of h and says whether it fits into a share of
// the memory. A request that would run alone always fits: no other place
// would serve it better.
func (u *Upstream) fits(h *held, share float64) bool {
	capacity := u.memory()
	if capacity <= 0 {
		return true
	}
	h.forecast(u.cfg.Lengths)
	return u.Running() == 0 || u.sum.peak(&h.use, u.cfg.MemoryZScore) <= share*float64(capacity)
}

// memory returns the size of the upstream's memory, or 0 for a plain service,
// which has concurrency limits only.
func (u *Upstream) memory() int {
	if u.record.Kind == bramleytack.KindService {
		return 0
	}
	if u.report.MemoryTotal > 0 {
		return u.report.MemoryTotal
	}
	return u.record.MemoryTokens
}

func (u *Upstream) add(h *held) {
	u.held[h.Grant] = h
	u.sum.add(&h.use)
	if h.Suspect {
		u.suspect = h.Grant
		u.drain.until = time.Time{}
	}
	if end := h.end(); u.soonest.IsZero() || end.Before(u.soonest) {
		u.soonest = end
	}
}

// drop ends a reservation and remembers it for a while.
func (u *Upstream) drop(now time.Time, h *held, released bool) {
	delete(u.held, h.Grant)
	u.sum.remove(&h.use)
	if u.suspect == h.Grant {
		u.suspect = ""
	}
	u.ended[h.Grant] = ended{held: h, at: now, released: released || h.abandoned()}
}

// Release frees a place and learns from how the request ended. A release of
// an unknown grant is remembered, since its reservation may still arrive. The
// place of an abandoned request is kept until a report shows that it has ended:
// upstreams run on without a caller, and a cold one bears no request more.
func (u *Upstream) Release(now time.Time, v bramleytack.Release) {
	h, ok := u.held[v.Grant]
	switch {
	case ok && h.abandoned():
		return
	case ok && v.Abandoned && !u.cfg.WithoutReports:
		h.leftAt = now
	case ok:
		u.drop(now, h, true)
	default:
		e, known := u.ended[v.Grant]
		if known && e.released {
			return
		}
		if !known {
			u.ended[v.Grant] = ended{held: &held{Reservation: bramleytack.Reservation{Grant: v.Grant}}, at: now, released: true}
			return
		}
		e.released = true
		u.ended[v.Grant] = e
		h = e.held
	}
	u.learn(now, h, v)
}

func (u *Upstream) learn(now time.Time, h *held, v bramleytack.Release) {
	ran := v.Outcome == bramleytack.Ran && !v.Failed
	if ran && v.Tokens > 0 {
		u.cfg.Lengths.Add(now, h.key(), v.Tokens)
	}
	if v.Failed {
		u.MarkPossibleRestart(now)
	}
	if ran && !u.ramp.Warm() {
		u.paceOf(now, h, v)
	}
	service := u.record.Kind == bramleytack.KindService
	u.ramp.End(now, h.mark, btramp.Result{
		OK:           ran && (v.Tokens > 0 || service) && !h.proven,
		Failed:       v.Failed,
		FirstToken:   v.FirstToken,
		PromptTokens: h.PromptTokens,
		Queued:       u.report.Waiting > 0,
	})
}

// Adopt counts reservations that an entry got from the owner before. They are
// taken as they are, even above the limits, since they may already run.
func (u *Upstream) Adopt(now time.Time, list []HeldReservation) {
	for _, v := range list {
		if _, ok := u.ended[v.Grant]; ok {
			continue
		}
		if _, ok := u.held[v.Grant]; ok {
			continue
		}
		granted := now.Add(-v.Age)
		h := &held{Reservation: v.Reservation, granted: granted, validUntil: granted.Add(GrantValidity), produced: v.Tokens}
		h.forecast(u.cfg.Lengths)
		u.add(h)
		if u.foreign > 0 && u.lists(v.Request) {
			u.foreign--
		}
	}
}

// lists says whether the last report lists a request.
func (u *Upstream) lists(id bramleytack.RequestID) bool {
	return slices.ContainsFunc(u.report.Generations, func(g bramleytack.GenerationState) bool { return g.Request == id })
}

// Inherit takes over the level from the previous owner's digest.
func (u *Upstream) Inherit(now time.Time, d bramleytack.UpstreamDigest) {
	u.ramp.Inherit(d.Instance, d.Level, now.Sub(d.At))
}

// EntryGone marks the reservations of an entry that has left the view. They
// stay counted until a load report or their deadline shows them gone.
func (u *Upstream) EntryGone(entry bramleytack.HostID) {
	for _, h := range u.held {
		if h.Entry == entry {
			h.dead = true
		}
	}
}

// expire drops reservations whose deadline has passed.
func (u *Upstream) expire(now time.Time) {
	u.forget(now)
	if u.soonest.IsZero() || now.Before(u.soonest) {
		return
	}
	u.soonest = time.Time{}
	for _, h := range u.held {
		end := h.end()
		if !now.Before(end) {
			u.drop(now, h, false)
		} else if u.soonest.IsZero() || end.Before(u.soonest) {
			u.soonest = end
		}
	}
}

// Victim names the newest generation of the lowest priority that has produced
// nothing, when the forecast is close to the memory's size. Its entry cancels
// it and starts it elsewhere, which costs less than a preemption. A generation
// is named once.
func (u *Upstream) Victim(now time.Time) (bramleytack.Reservation, bool) {
	u.expire(now)
	if u.Running() < 2 || u.share() <= u.cfg.MoveAbove {
		return bramleytack.Reservation{}, false
	}
	var best *held
	for _, h := range u.held {
		if h.produced > 0 || h.moved || h.Suspect || h.dead || h.abandoned() {
			continue
		}
		if best == nil || h.Priority < best.Priority || (h.Priority == best.Priority && h.granted.After(best.granted)) {
			best = h
		}
	}
	if best == nil {
		return bramleytack.Reservation{}, false
	}
	best.moved = true
	return best.Reservation, true
}

// share returns the forecast peak as a share of the memory.
func (u *Upstream) share() float64 {
	capacity := u.memory()
	if capacity <= 0 {
		return 0
	}
	return u.sum.peak(&moments{}, u.cfg.MemoryZScore) / float64(capacity)
}

func refusal(code bramleytack.Code, message string) *bramleytack.Error {
	return bramleytack.NewError(code, bramleytack.NotRun, "%s", message).WithRetryAfter(retryAfter)
}

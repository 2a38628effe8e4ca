package btramp

import (
	"cmp"
	"time"

	"bramleytack"
)

// Mode lowers the limit while ownership is in doubt.
type Mode uint8

// The modes of a Ramp.
const (
	// Normal ramps up on success.
	Normal Mode = iota
	// Fallback gives a cold upstream half of its base, without a ramp.
	Fallback
	// ReserveHalf leaves half of the base to another owner, without a ramp.
	ReserveHalf
)

var modeNames = [...]string{"normal", "fallback", "reserveHalf"}

// String returns the mode's name.
func (m Mode) String() string {
	if int(m) < len(modeNames) {
		return modeNames[m]
	}
	return "invalid"
}

// Reason says why a ramp went back to base.
type Reason uint8

// The reasons for a reset.
const (
	// Started means that no reset happened since the ramp was made.
	Started Reason = iota
	// Restarted means that the upstream has a new instance id.
	Restarted
	// Failures means a burst of failures.
	Failures
	// SlowFirstToken means latency like that of a cold start.
	SlowFirstToken
	// DomainReturned means that the failure domain was out of service.
	DomainReturned
	// SlowPace means decoding steps as slow as those of a cold upstream.
	SlowPace
)

var reasonNames = [...]string{"started", "restarted", "failures", "slowFirstToken", "domainReturned", "slowPace"}

// String returns the reason's name.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// inheritAge is the age up to which another owner's level is taken over. A
// takeover takes about 6 s: 2.5 s to notice, one write, and 3 s of leases.
const inheritAge = 15 * time.Second

// Config holds the settings of a Ramp. Zero fields take defaults.
type Config struct {
	// ColdLimit is the concurrency at which the ramp starts, its base.
	// WarmLimit is the highest concurrency.
	ColdLimit int
	WarmLimit int
	// TokensPerSlot is the number of prompt tokens per second allowed for each
	// unit of concurrency below the warm limit.
	TokensPerSlot float64
	// SuccessesPerSlot is the number of successes required for each unit of
	// concurrency before the limit doubles.
	SuccessesPerSlot int
	// Dwell is the shortest time at a level. Part of the warm-up takes time
	// regardless of load, and many short requests can succeed sooner than that.
	Dwell time.Duration
	// FailureCount failures within FailureWindow take the ramp back to base.
	FailureCount  int
	FailureWindow time.Duration
	// A first token is slow if its latency is above SlowFirstTokenFloor and
	// above SlowFirstTokenFactor times the usual latency per prompt token.
	// SlowFirstTokenCount of them in a row take the ramp back to base.
	SlowFirstTokenFactor float64
	SlowFirstTokenFloor  time.Duration
	SlowFirstTokenCount  int
	// A decoding step is slow if it takes longer than SlowStepFactor times the
	// usual step time. SlowStepCount of them in a row take a warm upstream back
	// to base. With a negative SlowStepFactor, step times are ignored.
	SlowStepFactor float64
	SlowStepCount  int
	// NormalStepDwell replaces Dwell, and NormalStepSuccessShare of the limit
	// replaces SuccessesPerSlot, while the usual step time is known and steps
	// are not slow. A negative NormalStepDwell keeps Dwell and SuccessesPerSlot.
	NormalStepDwell        time.Duration
	NormalStepSuccessShare float64
}

func (c Config) withDefaults() Config {
	c.ColdLimit = max(c.ColdLimit, 1)
	c.WarmLimit = max(c.WarmLimit, c.ColdLimit)
	c.TokensPerSlot = cmp.Or(c.TokensPerSlot, 2048)
	c.SuccessesPerSlot = cmp.Or(c.SuccessesPerSlot, 2)
	c.Dwell = cmp.Or(c.Dwell, 5*time.Second)
	c.FailureCount = cmp.Or(c.FailureCount, 3)
	c.FailureWindow = cmp.Or(c.FailureWindow, 10*time.Second)
	c.SlowFirstTokenFactor = cmp.Or(c.SlowFirstTokenFactor, 4)
	c.SlowFirstTokenFloor = cmp.Or(c.SlowFirstTokenFloor, 500*time.Millisecond)
	c.SlowFirstTokenCount = cmp.Or(c.SlowFirstTokenCount, 4)
	c.SlowStepFactor = cmp.Or(c.SlowStepFactor, 1.8)
	c.SlowStepCount = cmp.Or(c.SlowStepCount, 2)
	c.NormalStepDwell = cmp.Or(c.NormalStepDwell, 1500*time.Millisecond)
	c.NormalStepSuccessShare = cmp.Or(c.NormalStepSuccessShare, 0.25)
	return c
}

// Admission ties a request to the level at which it was admitted.
type Admission struct {
	epoch uint32
	// full is set when the request ran above the level before this one.
	full bool
}

// Result describes how a request ended.
type Result struct {
	// OK is set for a success, Failed for a failure of the upstream. A
	// request that was never sent has neither.
	OK     bool
	Failed bool
	// FirstToken is the time to the first token, zero if there was none.
	FirstToken   time.Duration
	PromptTokens int
	// Queued is set when the upstream had requests waiting, which explains a
	// slow first token.
	Queued bool
}

// Ramp is the warm-up limit of one upstream.
type Ramp struct {
	cfg      Config
	mode     Mode
	instance bramleytack.InstanceID
	level    int
	// epoch counts changes of the level. Successes of requests that were
	// admitted at another level do not count.
	epoch     uint32
	successes int
	// since is when a request was first admitted at this level.
	since   time.Time
	reason  Reason
	resetAt time.Time

	bucket  bucket
	burst   burst
	latency latency
	pace    pace
}

// New returns a ramp at its base.
func New(cfg Config) *Ramp {
	r := &Ramp{cfg: cfg.withDefaults()}
	r.level = r.cfg.ColdLimit
	r.burst.size = r.cfg.FailureCount
	return r
}

// Configure changes the limits. A level above the new warm limit is cut.
func (r *Ramp) Configure(cfg Config) {
	cfg = cfg.withDefaults()
	if cfg == r.cfg {
		return
	}
	r.cfg = cfg
	r.burst.size = cfg.FailureCount
	r.setLevel(min(max(r.level, cfg.ColdLimit), cfg.WarmLimit))
}

// SetMode changes the mode.
func (r *Ramp) SetMode(m Mode) { r.mode = m }

// Mode returns the mode.
func (r *Ramp) Mode() Mode { return r.mode }

// Level returns the concurrency that the upstream has earned.
func (r *Ramp) Level() int { return r.level }

// Base returns the concurrency that a started upstream bears.
func (r *Ramp) Base() int { return r.cfg.ColdLimit }

// Warm says whether the upstream has earned its warm limit.
func (r *Ramp) Warm() bool { return r.level >= r.cfg.WarmLimit }

// Reason returns why and when the ramp last went back to base.
func (r *Ramp) Reason() (Reason, time.Time) { return r.reason, r.resetAt }

// Limit returns the concurrency that the upstream may have now.
func (r *Ramp) Limit() int {
	switch r.mode {
	case Fallback:
		if r.Warm() {
			return r.level
		}
		return r.half()
	case ReserveHalf:
		return r.level - r.half()
	default:
		return r.level
	}
}

// half returns what a cold upstream gets in Fallback.
func (r *Ramp) half() int { return max(1, r.cfg.ColdLimit/2) }

// ObserveInstance takes the instance id of a load report. A change of the id is
// a restart and resets the ramp; an empty id is ignored.
func (r *Ramp) ObserveInstance(now time.Time, id bramleytack.InstanceID) {
	if id == "" || id == r.instance {
		return
	}
	known := r.instance != ""
	r.instance = id
	if known {
		r.Reset(now, Restarted)
	}
}

// Instance returns the last instance id that was observed.
func (r *Ramp) Instance() bramleytack.InstanceID { return r.instance }

// Inherit takes over half of the level that another owner reported age ago
// for the same instance. The half allows for signals that the other owner saw
// after its report. A ramp that has seen a reset keeps its level.
func (r *Ramp) Inherit(id bramleytack.InstanceID, level int, age time.Duration) {
	if id == "" || id != r.instance || r.reason != Started || age > inheritAge {
		return
	}
	if level = min(level/2, r.cfg.WarmLimit); level > r.level {
		r.setLevel(level)
	}
}

// Reset takes the ramp back to base.
func (r *Ramp) Reset(now time.Time, why Reason) {
	r.reason, r.resetAt = why, now
	r.burst.clear()
	r.latency = latency{}
	r.bucket = bucket{}
	r.pace.row = 0
	r.pace.slow = r.pace.known() && r.cfg.SlowStepFactor > 0
	r.setLevel(r.cfg.ColdLimit)
}

// Wait returns how long a prompt has to wait for the prompt token rate. The
// concurrency limit is not part of it.
func (r *Ramp) Wait(now time.Time) time.Duration {
	if r.Warm() {
		return 0
	}
	return r.bucket.wait(now, r.rate())
}

// Admit counts a request that starts beside running others, if both limits
// allow it.
func (r *Ramp) Admit(now time.Time, running, promptTokens int) (Admission, bool) {
	if running >= r.Limit() || r.Wait(now) > 0 {
		return Admission{}, false
	}
	if !r.Warm() {
		r.bucket.take(now, r.rate(), float64(promptTokens))
	}
	if r.since.IsZero() {
		r.since = now
	}
	return Admission{epoch: r.epoch, full: r.level == r.cfg.ColdLimit || running+1 > r.level/2}, true
}

// Progress counts a request as a success before its end, when the upstream
// reports that it produces tokens.
func (r *Ramp) Progress(now time.Time, m Admission) {
	if r.mode != Normal || m.epoch != r.epoch || !m.full || r.Warm() || r.pace.slow {
		return
	}
	r.successes++
	successes, dwell := r.needed()
	if r.successes >= successes && now.Sub(r.since) >= dwell {
		r.setLevel(min(r.level*2, r.cfg.WarmLimit))
	}
}

// needed returns the successes and the time before the level doubles. A warm
// pace is better evidence than the number of successes, and long requests
// hold their places for longer than a level should last.
func (r *Ramp) needed() (successes int, dwell time.Duration) {
	if r.cfg.SlowStepFactor < 0 || r.cfg.NormalStepDwell < 0 || !r.pace.known() {
		return r.level * r.cfg.SuccessesPerSlot, r.cfg.Dwell
	}
	return max(1, int(float64(r.level)*r.cfg.NormalStepSuccessShare)), r.cfg.NormalStepDwell
}

// End counts the end of a request.
func (r *Ramp) End(now time.Time, m Admission, s Result) {
	if s.Failed {
		r.fail(now, m)
		return
	}
	if s.FirstToken > 0 && !s.Queued && r.latency.slow(s, r.cfg) {
		r.Reset(now, SlowFirstToken)
		return
	}
	if s.OK {
		r.Progress(now, m)
	}
}

func (r *Ramp) fail(now time.Time, m Admission) {
	if m.epoch == r.epoch {
		r.successes = 0
	}
	if r.burst.add(now, r.cfg.FailureWindow) {
		r.Reset(now, Failures)
	}
}

func (r *Ramp) setLevel(n int) {
	r.level = n
	r.successes = 0
	r.since = time.Time{}
	r.epoch++
}

// rate returns the prompt tokens per second that go with the limit.
func (r *Ramp) rate() float64 { return float64(max(1, r.Limit())) * r.cfg.TokensPerSlot }

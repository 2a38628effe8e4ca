package btramp

import (
	"cmp"
	"time"

	"bramleytack"
)

// Mode says whether the limit is lowered because more than one daemon may own
// the upstream.
type Mode uint8

// The modes of a Ramp.
const (
	// Normal raises the limit on success.
	Normal Mode = iota
	// Fallback allows half of the base while the upstream is cold. Successes do
	// not raise the limit.
	Fallback
	// ReserveHalf leaves half of the base to another owner. Successes do not
	// raise the limit.
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
	// Started means that no reset happened since the ramp was created.
	Started Reason = iota
	// Restarted means that the upstream has a new instance id.
	Restarted
	// Failures means too many failures within a short time.
	Failures
	// SlowFirstToken means first-token latency like that of a cold upstream.
	SlowFirstToken
	// DomainReturned means that the failure domain returned to service.
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

// maxInheritAge is the greatest age of a level reported by another owner that is
// still taken over. A takeover takes about 6 s: 2.5 s to detect the failure, one
// write to the store, and 3 s until leases expire.
const maxInheritAge = 15 * time.Second

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
	// provesLevel is set if the request was admitted at a concurrency above the
	// previous level. Only the success of such a request counts.
	provesLevel bool
}

// Result describes how a request ended.
type Result struct {
	// OK is set for a success, Failed for a failure of the upstream. Neither is
	// set for a request that was never sent.
	OK     bool
	Failed bool
	// FirstToken is the time to the first token, zero if there was none.
	FirstToken   time.Duration
	PromptTokens int
	// Queued is set if the upstream had requests waiting. FirstToken is then
	// not compared with the usual latency.
	Queued bool
}

// Ramp limits the concurrency and the prompt token rate of one upstream. It is
// not safe for concurrent use.
type Ramp struct {
	cfg      Config
	mode     Mode
	instance bramleytack.InstanceID
	level    int
	// epoch counts the times that the level was set. Successes of requests that
	// were admitted in an earlier epoch do not count.
	epoch     uint32
	successes int
	// firstAdmitted is when the first request was admitted in this epoch.
	firstAdmitted time.Time
	reason        Reason
	resetAt       time.Time

	bucket   bucket
	failures failureWindow
	latency  firstTokenLatency
	steps    stepTimes
}

// New returns a ramp at its base.
func New(cfg Config) *Ramp {
	r := &Ramp{cfg: cfg.withDefaults()}
	r.level = r.cfg.ColdLimit
	r.failures.limit = r.cfg.FailureCount
	return r
}

// Configure changes the settings. The level is kept within the new cold and warm
// limits.
func (r *Ramp) Configure(cfg Config) {
	cfg = cfg.withDefaults()
	if cfg == r.cfg {
		return
	}
	r.cfg = cfg
	r.failures.limit = cfg.FailureCount
	r.setLevel(min(max(r.level, cfg.ColdLimit), cfg.WarmLimit))
}

// SetMode changes the mode. The level stays.
func (r *Ramp) SetMode(m Mode) { r.mode = m }

// Mode returns the mode.
func (r *Ramp) Mode() Mode { return r.mode }

// Level returns the concurrency that the upstream has earned by successes. The
// mode does not lower it.
func (r *Ramp) Level() int { return r.level }

// Base returns the concurrency that a cold upstream can sustain.
func (r *Ramp) Base() int { return r.cfg.ColdLimit }

// Warm reports whether the level has reached the warm limit.
func (r *Ramp) Warm() bool { return r.level >= r.cfg.WarmLimit }

// Reason returns the reason and the time of the last reset. The time is zero if
// there was none.
func (r *Ramp) Reason() (Reason, time.Time) { return r.reason, r.resetAt }

// Limit returns the concurrency that is allowed now: the level, lowered
// according to the mode.
func (r *Ramp) Limit() int {
	switch r.mode {
	case Fallback:
		if r.Warm() {
			return r.level
		}
		return r.halfBase()
	case ReserveHalf:
		return r.level - r.halfBase()
	default:
		return r.level
	}
}

// halfBase returns half of the base, at least 1.
func (r *Ramp) halfBase() int { return max(1, r.cfg.ColdLimit/2) }

// ObserveInstance takes the instance id of a load report. A change of the id is
// a restart and resets the ramp; an empty id is ignored.
func (r *Ramp) ObserveInstance(now time.Time, id bramleytack.InstanceID) {
	if id == "" || id == r.instance {
		return
	}
	restarted := r.instance != ""
	r.instance = id
	if restarted {
		r.Reset(now, Restarted)
	}
}

// Instance returns the last instance id that was observed, empty if there was
// none.
func (r *Ramp) Instance() bramleytack.InstanceID { return r.instance }

// Inherit raises the level to half of the level that another owner reported for
// the same instance, age ago. It does not take the whole level, since the other
// owner may have seen signs of a cold upstream after its report. A level that is
// too old is ignored, and so is any level after a reset of this ramp.
func (r *Ramp) Inherit(id bramleytack.InstanceID, level int, age time.Duration) {
	if id == "" || id != r.instance || r.reason != Started || age > maxInheritAge {
		return
	}
	if level = min(level/2, r.cfg.WarmLimit); level > r.level {
		r.setLevel(level)
	}
}

// Reset takes the ramp back to base and discards what was observed, apart from
// the usual step times and the mode.
func (r *Ramp) Reset(now time.Time, reason Reason) {
	r.reason, r.resetAt = reason, now
	r.failures.clear()
	r.latency = firstTokenLatency{}
	r.bucket = bucket{}
	r.steps.slowInRow = 0
	r.steps.slow = r.steps.known() && r.cfg.SlowStepFactor > 0
	r.setLevel(r.cfg.ColdLimit)
}

// Wait returns the time until the prompt token rate allows another prompt, 0 at
// the warm limit. It does not consider the concurrency limit.
func (r *Ramp) Wait(now time.Time) time.Duration {
	if r.Warm() {
		return 0
	}
	return r.bucket.wait(now, r.promptRate())
}

// Admit decides whether a request may start while the given number of others
// run. It returns false if the concurrency limit or the prompt token rate is
// exhausted.
func (r *Ramp) Admit(now time.Time, running, promptTokens int) (Admission, bool) {
	if running >= r.Limit() || r.Wait(now) > 0 {
		return Admission{}, false
	}
	if !r.Warm() {
		r.bucket.take(now, r.promptRate(), float64(promptTokens))
	}
	if r.firstAdmitted.IsZero() {
		r.firstAdmitted = now
	}
	return Admission{epoch: r.epoch, provesLevel: r.level == r.cfg.ColdLimit || running+1 > r.level/2}, true
}

// Progress counts a request as a success, either at its end or earlier, when the
// upstream reports that it produces tokens. Each request must be counted only
// once.
func (r *Ramp) Progress(now time.Time, a Admission) {
	if r.mode != Normal || a.epoch != r.epoch || !a.provesLevel || r.Warm() || r.steps.slow {
		return
	}
	r.successes++
	successes, dwell := r.required()
	if r.successes >= successes && now.Sub(r.firstAdmitted) >= dwell {
		r.setLevel(min(r.level*2, r.cfg.WarmLimit))
	}
}

// required returns the successes and the time that are required before the level
// doubles. Fewer successes suffice if the usual step time is known: normal steps
// are better evidence of a warm upstream than the number of successes, and long
// requests occupy their slots for longer than a level should last.
func (r *Ramp) required() (successes int, dwell time.Duration) {
	if r.cfg.SlowStepFactor < 0 || r.cfg.NormalStepDwell < 0 || !r.steps.known() {
		return r.level * r.cfg.SuccessesPerSlot, r.cfg.Dwell
	}
	return max(1, int(float64(r.level)*r.cfg.NormalStepSuccessShare)), r.cfg.NormalStepDwell
}

// End records the end of a request that was admitted.
func (r *Ramp) End(now time.Time, a Admission, res Result) {
	if res.Failed {
		r.recordFailure(now, a)
		return
	}
	if res.FirstToken > 0 && !res.Queued && r.latency.observe(res, r.cfg) {
		r.Reset(now, SlowFirstToken)
		return
	}
	if res.OK {
		r.Progress(now, a)
	}
}

func (r *Ramp) recordFailure(now time.Time, a Admission) {
	if a.epoch == r.epoch {
		r.successes = 0
	}
	if r.failures.add(now, r.cfg.FailureWindow) {
		r.Reset(now, Failures)
	}
}

func (r *Ramp) setLevel(n int) {
	r.level = n
	r.successes = 0
	r.firstAdmitted = time.Time{}
	r.epoch++
}

// promptRate returns the prompt tokens per second that the limit allows.
func (r *Ramp) promptRate() float64 { return float64(max(1, r.Limit())) * r.cfg.TokensPerSlot }

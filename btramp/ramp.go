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
	// Cold is the base and Warm the highest concurrency.
	Cold int
	Warm int
	// TokensPerSlot is the rate of prompt tokens per second that goes with
	// each unit of concurrency below the warm limit.
	TokensPerSlot float64
	// SuccessesPerSlot is the number of successes for each unit of
	// concurrency before the limit doubles.
	SuccessesPerSlot int
	// Dwell is the shortest time at a level. Upstreams also warm up with
	// time, and short requests succeed faster than that.
	Dwell time.Duration
	// Burst failures within Window take the ramp back to base.
	Burst  int
	Window time.Duration
	// SlowFactor and SlowFloor define a slow first token: slower than the
	// floor and than the factor times the usual latency. SlowCount of them in
	// a row look like a cold start.
	SlowFactor float64
	SlowFloor  time.Duration
	SlowCount  int
	// PaceFactor times the usual step time is slow. PaceCount slow samples in
	// a row look like a cold upstream. A negative factor ignores the pace.
	PaceFactor float64
	PaceCount  int
	// PacedDwell stands in for Dwell, and PacedShare of the limit for
	// SuccessesPerSlot, while the pace shows that the upstream is warm. A
	// negative PacedDwell keeps Dwell and SuccessesPerSlot.
	PacedDwell time.Duration
	PacedShare float64
}

func (c Config) withDefaults() Config {
	c.Cold = max(c.Cold, 1)
	c.Warm = max(c.Warm, c.Cold)
	c.TokensPerSlot = cmp.Or(c.TokensPerSlot, 2048)
	c.SuccessesPerSlot = cmp.Or(c.SuccessesPerSlot, 2)
	c.Dwell = cmp.Or(c.Dwell, 5*time.Second)
	c.Burst = cmp.Or(c.Burst, 3)
	c.Window = cmp.Or(c.Window, 10*time.Second)
	c.SlowFactor = cmp.Or(c.SlowFactor, 4)
	c.SlowFloor = cmp.Or(c.SlowFloor, 500*time.Millisecond)
	c.SlowCount = cmp.Or(c.SlowCount, 4)
	c.PaceFactor = cmp.Or(c.PaceFactor, 1.8)
	c.PaceCount = cmp.Or(c.PaceCount, 2)
	c.PacedDwell = cmp.Or(c.PacedDwell, 1500*time.Millisecond)
	c.PacedShare = cmp.Or(c.PacedShare, 0.25)
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
	r.level = r.cfg.Cold
	r.burst.size = r.cfg.Burst
	return r
}

// Configure changes the limits. A level above the new warm limit is cut.
func (r *Ramp) Configure(cfg Config) {
	cfg = cfg.withDefaults()
	if cfg == r.cfg {
		return
	}
	r.cfg = cfg
	r.burst.size = cfg.Burst
	r.setLevel(min(max(r.level, cfg.Cold), cfg.Warm))
}

// SetMode changes the mode.
func (r *Ramp) SetMode(m Mode) { r.mode = m }

// Mode returns the mode.
func (r *Ramp) Mode() Mode { return r.mode }

// Level returns the concurrency that the upstream has earned.
func (r *Ramp) Level() int { return r.level }

// Base returns the concurrency that a started upstream bears.
func (r *Ramp) Base() int { return r.cfg.Cold }

// Warm says whether the upstream has earned its warm limit.
func (r *Ramp) Warm() bool { return r.level >= r.cfg.Warm }

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
func (r *Ramp) half() int { return max(1, r.cfg.Cold/2) }

// Observe takes an instance id from a load report. A new one is a restart.
func (r *Ramp) Observe(now time.Time, id bramleytack.InstanceID) {
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
	if level = min(level/2, r.cfg.Warm); level > r.level {
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
	r.pace.slow = r.pace.known() && r.cfg.PaceFactor > 0
	r.setLevel(r.cfg.Cold)
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
	return Admission{epoch: r.epoch, full: r.level == r.cfg.Cold || running+1 > r.level/2}, true
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
		r.setLevel(min(r.level*2, r.cfg.Warm))
	}
}

// needed returns the successes and the time before the level doubles. A warm
// pace is better evidence than the number of successes, and long requests
// hold their places for longer than a level should last.
func (r *Ramp) needed() (successes int, dwell time.Duration) {
	if r.cfg.PaceFactor < 0 || r.cfg.PacedDwell < 0 || !r.pace.known() {
		return r.level * r.cfg.SuccessesPerSlot, r.cfg.Dwell
	}
	return max(1, int(float64(r.level)*r.cfg.PacedShare)), r.cfg.PacedDwell
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
	if r.burst.add(now, r.cfg.Window) {
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

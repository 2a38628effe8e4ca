package btowner

import (
	"cmp"
	"time"

	"bramleytack"
	"bramleytack/btlength"
	"bramleytack/btramp"
)

// Fixed times of the owner's bookkeeping.
const (
	// GrantValidity is how long an entry may use a grant after it asked.
	GrantValidity = time.Second
	// deadlineGrace allows for the difference of clocks and for the time that
	// a canceled generation takes to leave the engine.
	deadlineGrace = 2 * time.Second
	// goneDead and goneLive are the times after a grant's expiry at which a
	// report without the request shows that it is gone. A live entry releases
	// by itself; the longer time covers requests that are stuck on a link.
	goneDead = 2 * time.Second
	goneLive = 10 * time.Second
	// endedKept is how long ended grants are remembered, for releases and
	// reservations that arrive out of order and for reports that lag.
	endedKept = 10 * time.Second
	// forgetPeriod bounds how often ended grants are searched.
	forgetPeriod = time.Second
	// maxLife bounds a reservation without a deadline.
	maxLife = time.Hour
	// interactiveRecent is how long headroom is kept after the last
	// interactive reservation.
	interactiveRecent = 30 * time.Second
	// doubtTime is how long a failure lowers the limit without a report.
	doubtTime = 5 * time.Second
	// retryAfter is the advice with a refusal for lack of room.
	retryAfter = 200 * time.Millisecond
	// provenTokens is the output after which a generation counts as a
	// success of a cold upstream, before its end.
	provenTokens = 16
)

// Config holds the settings of an owner. Zero fields take defaults.
type Config struct {
	// Lengths forecasts outputs. It is shared by all upstreams.
	Lengths *btlength.Estimator
	// Ramp holds the warm-up settings. The limits come from each record.
	Ramp btramp.Config
	// MemoryZScore is the number of standard deviations above the expected
	// memory use that must fit. Each report recomputes the forecast, so a peak
	// stops admission long before it is reached, and a low value is safe. 2.33,
	// the 99% quantile of the normal distribution, left 15% of a full upstream
	// unused.
	MemoryZScore float64
	// Headroom is the share of concurrency and memory that each priority
	// leaves to the higher ones while there is interactive work.
	Headroom [bramleytack.Priorities]float64
	// MoveAbove is the memory share above which a generation is named to be
	// moved.
	MoveAbove float64
	// StepsBetweenPrompts is the number of decoding steps between the starts of
	// two prompts. Prompts that start together share a step, which delays the
	// next token of all other generations. A negative number turns the spacing
	// off.
	StepsBetweenPrompts float64
	// AnyLengthWhenCold lets a cold upstream take requests of any length.
	// Otherwise it takes only short ones for a while, since these warm it fast.
	AnyLengthWhenCold bool
	// WithoutReports admits before the first load report. Without it, a new
	// owner first waits to see what already runs.
	WithoutReports bool
}

func (c Config) withDefaults() Config {
	if c.Lengths == nil {
		c.Lengths = btlength.New(btlength.Config{})
	}
	c.MemoryZScore = cmp.Or(c.MemoryZScore, 0.75)
	if c.Headroom == [bramleytack.Priorities]float64{} {
		c.Headroom[bramleytack.Batch] = 0.15
		c.Headroom[bramleytack.Standard] = 0.05
	}
	c.StepsBetweenPrompts = cmp.Or(c.StepsBetweenPrompts, 1)
	c.MoveAbove = cmp.Or(c.MoveAbove, 0.97)
	return c
}

package btowner

import (
	"cmp"
	"time"

	"bramleytack"
	"bramleytack/btlength"
	"bramleytack/btramp"
)

const (
	// GrantValidity is how long an entry daemon may use a grant, counted from
	// when it asked for the grant.
	GrantValidity = time.Second
	// deadlineGrace is how long a reservation outlives its request's deadline.
	// It allows for clock skew and for the time until an engine has stopped a
	// canceled generation.
	deadlineGrace = 2 * time.Second
	// orphanUnlistedGrace and unlistedGrace are the times after which a report
	// shows that a request has ended that neither it nor an earlier report
	// lists. The first is for requests whose entry daemon has left the view,
	// counted from the expiry of the grant, or has abandoned them, counted from
	// then. The second is for all others, counted from the expiry. It is longer
	// because a live entry daemon releases its reservations itself and the
	// request may be delayed on a link.
	orphanUnlistedGrace = 2 * time.Second
	unlistedGrace       = 10 * time.Second
	// endedRetention is how long ended reservations are kept, for messages
	// that arrive out of order and for reports that lag.
	endedRetention = 10 * time.Second
	// endedSweepInterval is the shortest time between two sweeps of the ended
	// reservations.
	endedSweepInterval = time.Second
	// maxReservationAge is when a reservation without a deadline is dropped.
	maxReservationAge = time.Hour
	// headroomRetention is how long headroom is kept after the last request
	// for an interactive reservation.
	headroomRetention = 30 * time.Second
	// possibleRestartTimeout is how long a failure lowers the limit if no newer
	// report arrives.
	possibleRestartTimeout = 5 * time.Second
	// defaultRetryAfter is the RetryAfter of a rejected reservation.
	defaultRetryAfter = 200 * time.Millisecond
	// successTokens is the output after which a running generation already
	// counts as a success of a cold upstream.
	successTokens = 16
)

// Config holds the settings of an owner. Zero fields take defaults.
type Config struct {
	// Lengths forecasts output lengths. All upstreams share it.
	Lengths *btlength.Estimator
	// Ramp holds the warm-up settings, without the concurrency limits, which
	// come from each upstream's record.
	Ramp btramp.Config
	// MemoryZScore is the number of standard deviations above the expected
	// memory use that must fit. A low value is enough, because each report
	// recomputes the forecast: an expected peak stops admission long before it
	// is reached. 2.33, the 99% quantile of the normal distribution, left 15%
	// of a full upstream unused.
	MemoryZScore float64
	// Headroom is the share of concurrency and memory that each priority
	// leaves free for higher ones while there is interactive work.
	Headroom [bramleytack.Priorities]float64
	// VictimThreshold is the share of the memory above which, by the forecast,
	// Victim names a generation to restart elsewhere.
	VictimThreshold float64
	// StepsBetweenPrompts is the number of decoding steps between the starts of
	// two prompts. Prompts that start together share a step, which delays the
	// next token of all other generations. A negative number turns the spacing
	// off.
	StepsBetweenPrompts float64
	// AnyLengthWhenCold lets a cold upstream take requests of any length.
	// Otherwise it takes only short ones for a while, since these warm it fast.
	AnyLengthWhenCold bool
	// WithoutReports admits requests before the first load report, and drops
	// the reservation of an abandoned request at once. Otherwise a new owner
	// first waits to see what already runs, and keeps such a reservation until
	// a report shows that the request has ended.
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
	c.VictimThreshold = cmp.Or(c.VictimThreshold, 0.97)
	return c
}

package btaccount

import (
	"slices"
	"sync"
	"time"

	"bramleytack"
	"bramleytack/internal/route/btwaiting"
)

const (
	// failureWeight is the share of the newest outcome in the failure average.
	failureWeight = 0.2
	// ejectThreshold is the failure average above which an upstream is ejected if
	// it also exceeds the mean of the service's other upstreams by ejectMargin.
	ejectThreshold = 0.3
	ejectMargin    = 0.2
	// firstEjection is the duration of a first ejection. It doubles with each
	// further one up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 8 * time.Second
	// ejectQuorum is the number of other daemons that must eject an upstream
	// before this daemon avoids it too. Fewer may have seen chance failures.
	ejectQuorum = 3
	// failuresAfterEjection is the failure average that an ejection resets to. It
	// lets one failure pass without a new ejection, since some calls fail at every
	// upstream.
	failuresAfterEjection = 0.1
	// firstUnreachablePause is how long an upstream is avoided after a connection
	// attempt failed. It doubles with each consecutive failure up to
	// maxUnreachablePause, because upstreams that have ended stay registered while
	// the store is unavailable.
	firstUnreachablePause = 300 * time.Millisecond
	maxUnreachablePause   = 5 * time.Second
	// misdirectedPause is how long an upstream is avoided after another instance
	// answered at its address. The upstream is gone, and its registration is
	// removed within a few seconds.
	misdirectedPause = 10 * time.Second
	// maxDoublings keeps the shift of both pauses from overflowing. maxEjection
	// and maxUnreachablePause are reached earlier.
	maxDoublings = 5
	// defaultMaxPause bounds the pause that an upstream can ask for.
	defaultMaxPause = time.Hour
	// pauseSpread is the share of a pause by which daemons return at different times, and
	// maxPauseSpread its bound.
	pauseSpread    = 0.1
	maxPauseSpread = 6 * time.Second
	// reportValidity is how long a load header of an upstream's response is used.
	reportValidity = 300 * time.Millisecond
)

// Outcome is the result of an attempt, for the upstream's health.
type Outcome uint8

// The outcomes of attempts.
const (
	// Served attempts ended with a response.
	Served Outcome = iota
	// Rejected attempts were rejected by the upstream before execution. Logs name
	// the outcome "refused".
	Rejected
	// Failed attempts ended with an error or an unusable response.
	Failed
	// Unreachable attempts got no connection.
	Unreachable
	// Misdirected attempts reached another instance at the upstream's address.
	Misdirected
	// Abandoned attempts do not count for or against the upstream.
	Abandoned
)

var outcomeNames = [...]string{"served", "refused", "failed", "unreachable", "misdirected", "abandoned"}

// String returns the name of the outcome in logs, or "invalid".
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Need is the capacity that a request uses at an upstream.
type Need struct {
	// Prompt, Output and MaxOutput count tokens and are zero for plain services.
	// Output is a forecast, MaxOutput the caller's limit.
	Prompt    int
	Output    int
	MaxOutput int
	// Generated is the number of tokens that other upstreams already generated for
	// the request.
	Generated int
	// Copied is set if the upstream has a copy of the generation, so that it
	// need not process the prompt again.
	Copied bool
	// Target is the time in which the first event is due, MaxPause the longest pause
	// between events. Both are zero for plain services.
	Target   time.Duration
	MaxPause time.Duration
}

// growthMargin is the number of tokens that a running generation is expected to
// generate before other daemons receive its new size, about one second's output.
const growthMargin = 120

// memory returns the number of tokens that the request is expected to reach in
// the upstream's memory.
func (n Need) memory() int { return n.memoryAfter(n.Generated) }

// memoryAfter returns the expected memory in tokens of a request that has
// generated some. The forecast alone is too low: long generations exceed it, and
// they are more frequent among running generations than among starting ones.
func (n Need) memoryAfter(generated int) int {
	if n.Prompt == 0 {
		return 0
	}
	return n.Prompt + max(n.Output, generated+growthMargin)
}

// unread returns the number of prompt tokens that the upstream processes before
// the first event.
func (n Need) unread() int {
	if n.Copied {
		return 0
	}
	return n.Prompt
}

// streams returns 1 for a stream that runs for long and must not pause, otherwise 0.
func (n Need) streams() int {
	if n.MaxPause > 0 && n.MaxOutput >= longOutput {
		return 1
	}
	return 0
}

// Load is the load of one or more daemons at an upstream.
type Load struct {
	// Running is the number of requests that have not ended.
	Running int
	// Unread is the number of prompt tokens of requests without a first event.
	Unread int
	// Memory and Copies are the expected memory in tokens of the requests and of
	// the copies that are stored at the upstream.
	Memory int
	Copies int
	// Ejections is the number of daemons that eject the upstream, or that it asked for a
	// pause.
	Ejections int
	// Waiting is the number of requests that wait in daemons for the upstream's service.
	Waiting int
	// Streams is the number of running requests that are long streams.
	Streams int
	// Calls are the calls of the upstream's service by workspace, those that wait included. They
	// count at one upstream of the service. Nil is none.
	Calls *btwaiting.Demand
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load { return l.plus(o, 1) }

// Minus returns l without o.
func (l Load) Minus(o Load) Load { return l.plus(o, -1) }

// plus returns l with o added sign times.
func (l Load) plus(o Load, sign int) Load {
	return Load{
		Running: l.Running + sign*o.Running, Unread: l.Unread + sign*o.Unread, Memory: l.Memory + sign*o.Memory,
		Copies: l.Copies + sign*o.Copies, Ejections: l.Ejections + sign*o.Ejections,
		Waiting: l.Waiting + sign*o.Waiting,
		Streams: l.Streams + sign*o.Streams,
		Calls:   l.Calls.Plus(o.Calls, sign),
	}
}

// IsZero reports whether l is no load.
func (l Load) IsZero() bool { return l == Load{} }

// account is the load and health of one upstream.
type account struct {
	// own is the load of this daemon, without Ejections.
	own     Load
	service string
	// reported is the number of running and waiting requests that the upstream
	// itself reported.
	reported   int
	reportedAt time.Time
	// rejectedAt is when it last rejected a request of this daemon.
	rejectedAt time.Time
	// failureAverage is a moving average of outcomes: 0 if served, 1 if failed.
	failureAverage float64
	samples        int
	// ejections counts the ejections since the upstream last recovered.
	ejections    int
	ejectedUntil time.Time
	avoidUntil   time.Time
	// refusals counts consecutive failed connection attempts.
	refusals int
	// pausedUntil is the end of a pause that the instance that started at pausedStart
	// asked for.
	pausedUntil time.Time
	pausedStart time.Time
	// cold limits the rate of requests while the upstream is cold, which it is until coldUntil
	// as far as the bucket knows.
	cold      bucket
	coldUntil time.Time
	// kept are the copies of this daemon that nobody will use.
	kept []keptCopy
}

// avoided reports whether this daemon currently sends no work to the upstream.
func (a *account) avoided(now time.Time) bool {
	return now.Before(a.ejectedUntil) || now.Before(a.avoidUntil)
}

// paused reports whether an upstream has asked this daemon for a pause that has not ended.
func (a *account) paused(u *bramleytack.Upstream, now time.Time) bool {
	return now.Before(a.pausedUntil) && a.pausedStart.Equal(u.Started)
}

// Lease counts one request in the load of an upstream until End is called. It
// does not expire. It is safe for concurrent use.
type Lease struct {
	table       *Table
	id          bramleytack.UpstreamID
	need        Need
	once        sync.Once
	prefillDone bool
	ended       bool
	// counted is the part of the account's memory that belongs to this request.
	counted int
}

// PrefillDone records that the upstream has processed the prompt. Calls after the
// first have no effect.
func (l *Lease) PrefillDone() {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.prefillDone {
		return
	}
	l.prefillDone = true
	l.table.account(l.id).own.Unread -= l.need.unread()
	l.table.notifyChanged(l.need)
}

// Grow updates the memory of the request to the total number of tokens generated.
// It does not call Table.Changed: the size goes out with the next report.
func (l *Lease) Grow(generated int) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if growth := l.need.memoryAfter(generated) - l.counted; growth > 0 && !l.ended {
		l.counted += growth
		l.table.account(l.id).own.Memory += growth
	}
}

// End removes the request from the load and records its outcome. Calls after the
// first have no effect.
func (l *Lease) End(o Outcome) {
	l.once.Do(func() {
		t := l.table
		t.mu.Lock()
		defer t.mu.Unlock()
		a := t.account(l.id)
		l.ended = true
		a.own.Running--
		a.own.Streams -= l.need.streams()
		a.own.Memory -= l.counted
		if !l.prefillDone {
			a.own.Unread -= l.need.unread()
		}
		t.recordOutcome(l.id, a, o)
		t.notifyChanged(l.need)
	})
}

// CopyLease counts one copy of a generation in the load of an upstream until End
// is called, or the time passed to Keep is over. It does not expire otherwise.
type CopyLease struct {
	table  *Table
	id     bramleytack.UpstreamID
	tokens int
	// ended is guarded by the table's lock.
	ended bool
}

// End removes the copy from the load. A nil lease and calls after the first have
// no effect.
func (l *CopyLease) End() {
	if l == nil {
		return
	}
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.end() {
		l.table.notifyChanged(Need{Prompt: l.tokens})
	}
}

// end is End without telling other daemons. It reports whether the copy counted. The caller holds
// the lock.
func (l *CopyLease) end() bool {
	if l.ended {
		return false
	}
	l.ended = true
	l.table.account(l.id).own.Copies -= l.tokens
	return true
}

// Keep removes the copy from the load after d: the upstream keeps it for so long though
// nobody uses it. End still removes it at once. A nil lease has no effect.
func (l *CopyLease) Keep(d time.Duration) {
	if l == nil {
		return
	}
	if d <= 0 {
		l.End()
		return
	}
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if a := l.table.account(l.id); !l.ended {
		a.kept = append(a.kept, keptCopy{l, l.table.Timer.Now().Add(d)})
	}
}

// keptCopy is a copy that counts until a time.
type keptCopy struct {
	lease *CopyLease
	until time.Time
}

// expire removes the kept copies from the load whose time is over. The caller holds the lock.
func (a *account) expire(now time.Time) {
	a.kept = slices.DeleteFunc(a.kept, func(k keptCopy) bool {
		if now.Before(k.until) {
			return k.lease.ended
		}
		k.lease.end()
		return true
	})
}

// bucket is a token bucket. The zero value is full.
type bucket struct {
	spent float64
	at    time.Time
}

// left returns the time until take finds a token.
func (b *bucket) left(now time.Time, perSecond, burst float64) time.Duration {
	spent := b.spent
	if !b.at.IsZero() {
		spent = max(0, spent-now.Sub(b.at).Seconds()*perSecond)
	}
	return time.Duration(max(spent+1-burst, 0) / perSecond * float64(time.Second))
}

// take spends one token if the rate and the burst allow it, and reports whether
// it did.
func (b *bucket) take(now time.Time, perSecond, burst float64) bool {
	if !b.at.IsZero() {
		b.spent = max(0, b.spent-now.Sub(b.at).Seconds()*perSecond)
	}
	b.at = now
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}

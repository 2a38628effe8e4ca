package btaccount

import (
	"sync"
	"time"

	"bramleytack"
)

const (
	// failureWeight is the share of the newest outcome in the failure average.
	failureWeight = 0.2
	// ejectAbove is the failure average above which an upstream is ejected if it
	// also exceeds its peers' by ejectMargin.
	ejectAbove  = 0.3
	ejectMargin = 0.2
	// ejectFor is the first ejection; repeated ones double up to ejectMost.
	ejectFor  = time.Second
	ejectMost = 8 * time.Second
	// ejectQuorum is the number of other daemons whose ejection counts as one's
	// own. A few may have bad luck.
	ejectQuorum = 3
	// afterEjection is the failure average at the end of an ejection. One more
	// failure is none of the upstream: some calls fail wherever they run.
	afterEjection = 0.1
	// unreachableFor keeps work from an upstream that refused a connection. It
	// doubles with each refusal in a row up to unreachableMost: while the store is
	// away, upstreams that have ended stay registered.
	unreachableFor  = 300 * time.Millisecond
	unreachableMost = 5 * time.Second
	// misdirectedFor keeps work from an upstream whose address another instance
	// has. It is gone; its registration follows within a few seconds.
	misdirectedFor = 10 * time.Second
	// maxDoublings bounds the growth of both pauses before their own bounds do.
	maxDoublings = 5
	// loadFresh is how long a load header counts.
	loadFresh = 300 * time.Millisecond
)

// Outcome is how an attempt at an upstream ended, as far as its health goes.
type Outcome uint8

// The outcomes of attempts.
const (
	// Served attempts ended with a response.
	Served Outcome = iota
	// Rejected attempts were turned away unexecuted.
	Rejected
	// Failed attempts ended with an error or a response that cannot be used.
	Failed
	// Unreachable attempts got no connection.
	Unreachable
	// Misdirected attempts met another instance at the address.
	Misdirected
	// Abandoned attempts say nothing of the upstream.
	Abandoned
)

var outcomeNames = [...]string{"served", "refused", "failed", "unreachable", "misdirected", "abandoned"}

// String returns the outcome's name.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Need is what a request takes of an upstream.
type Need struct {
	// Prompt and Output are tokens; both are zero for plain services. Output is a
	// forecast, MaxOutput the caller's bound.
	Prompt    int
	Output    int
	MaxOutput int
	// Generated are tokens that were generated before, at another upstream.
	Generated int
	// Copied is set if the upstream holds the prompt and what was made of it.
	Copied bool
}

// growAhead are the tokens that a running generation is expected to make before
// others hear of its growth, about a second's.
const growAhead = 120

// memory returns the tokens that the request is expected to hold.
func (n Need) memory() int { return n.held(n.Generated) }

// held returns the tokens that the request is expected to hold once it has made
// some. Long generations outgrow their forecast, and more of those that run are
// long than of those that start.
func (n Need) held(made int) int {
	if n.Prompt == 0 {
		return 0
	}
	return n.Prompt + max(n.Output, made+growAhead)
}

// unread returns the tokens that the upstream reads before the first event.
func (n Need) unread() int {
	if n.Copied {
		return 0
	}
	return n.Prompt
}

// Load is the work of one daemon at an upstream.
type Load struct {
	Running int
	// Unread are prompt tokens of requests without a first event.
	Unread int
	// Memory are the tokens that the requests reach, Copies those of copies
	// that are kept at the upstream.
	Memory int
	Copies int
	// Ejections are the daemons that send no work there because of failures.
	Ejections int
}

func (l *Load) add(o Load, sign int) {
	l.Running += sign * o.Running
	l.Unread += sign * o.Unread
	l.Memory += sign * o.Memory
	l.Copies += sign * o.Copies
	l.Ejections += sign * o.Ejections
}

func (l Load) empty() bool { return l == Load{} }

// account is what is known of one upstream.
type account struct {
	own     Load
	service string
	// reported are running and waiting requests by the upstream's own count.
	reported   int
	reportedAt time.Time
	// failures is a moving average between 0 and 1.
	failures     float64
	samples      int
	ejections    int
	ejectedUntil time.Time
	avoidUntil   time.Time
	// refusals counts the connections in a row that were refused.
	refusals int
	cold     bucket
}

// out says whether this daemon sends no work to the upstream.
func (a *account) out(now time.Time) bool {
	return now.Before(a.ejectedUntil) || now.Before(a.avoidUntil)
}

// Lease is a request's entry in the account of an upstream.
type Lease struct {
	table *Table
	id    bramleytack.UpstreamID
	need  Need
	once  sync.Once
	begun bool
	ended bool
	// held is what the request has in the account's memory.
	held int
}

// PrefillDone notes that the upstream has read the prompt.
func (l *Lease) PrefillDone() {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.begun {
		return
	}
	l.begun = true
	l.table.account(l.id).own.Unread -= l.need.unread()
	l.table.changed(l.need)
}

// Grow notes how many tokens the request has made. Other daemons hear of it with
// the next report.
func (l *Lease) Grow(made int) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if more := l.need.held(made) - l.held; more > 0 && !l.ended {
		l.held += more
		l.table.account(l.id).own.Memory += more
	}
}

// End takes the request out of the account.
func (l *Lease) End(o Outcome) {
	l.once.Do(func() {
		t := l.table
		t.mu.Lock()
		defer t.mu.Unlock()
		a := t.account(l.id)
		l.ended = true
		a.own.Running--
		a.own.Memory -= l.held
		if !l.begun {
			a.own.Unread -= l.need.unread()
		}
		t.judge(l.id, a, o)
		t.changed(l.need)
	})
}

// CopyLease is the entry of a generation's copy at an upstream.
type CopyLease struct {
	table  *Table
	id     bramleytack.UpstreamID
	tokens int
	once   sync.Once
}

// End takes the copy out of the account.
func (l *CopyLease) End() {
	if l == nil {
		return
	}
	l.once.Do(func() {
		l.table.mu.Lock()
		defer l.table.mu.Unlock()
		l.table.account(l.id).own.Copies -= l.tokens
		l.table.changed(Need{Prompt: l.tokens})
	})
}

// bucket is a token bucket. The zero value is full.
type bucket struct {
	spent float64
	at    time.Time
}

// take spends one token if the rate and the burst allow it.
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

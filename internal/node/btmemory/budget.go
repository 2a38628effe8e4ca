package btmemory

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// ErrFull is returned for bytes that find no memory.
var ErrFull = errors.New("btmemory: memory for data of others is full")

const (
	// endWait is how long an account waits at most until those that ended for it have closed.
	// Their readers only have to see that their connections are closed.
	endWait = 20 * time.Millisecond
	// smallBytes are taken without that wait.
	smallBytes = 4 << 10
)

// reserveShare is the share of Budget.Limit that requests leave to responses: a request
// that has run should not fail because of others.
const reserveShare = 1.0 / 6

// Source is where bytes come from, or who keeps them from being released.
type Source string

const (
	// Store is the platform's store.
	Store Source = "store"
	// Peers are the other daemons.
	Peers Source = "peers"
	// Callers have bytes that they do not read.
	Callers Source = "callers"
)

// Upstream returns the source of an upstream's responses.
func Upstream(id bramleytack.UpstreamID) Source { return "upstream " + Source(id) }

// Control returns the source of an upstream's answers to calls of the daemon itself.
func Control(addr netip.AddrPort) Source { return "control " + Source(addr.String()) }

// Budget bounds the bytes in all of its accounts. A nil Budget has no limit. It is safe for
// concurrent use.
type Budget struct {
	// Limit is the limit in bytes. It does not change.
	Limit int64
	// Total bounds the sum of all bytes, of RequestCost for each open request and of ConnCost
	// for each connection. Where Limit would exceed it, a lower limit holds. What would leave
	// less than the reserve for responses is not opened. Zero means no bound.
	Total int64
	// RequestCost is the memory that a request takes besides what it keeps, in bytes, and
	// ConnCost that of a caller's connection.
	RequestCost int64
	ConnCost    int64
	// Timer bounds waits. Nil means that no account waits.
	Timer bramleytack.Timer

	mu sync.Mutex
	// open is the number of open requests, and requests the bytes of those that are never ended.
	open     int64
	requests int64
	// conns is the number of callers' connections, and arriving has those of them whose
	// requests may be ended. order numbers them by their first byte.
	conns    int64
	arriving source
	order    uint64
	sources  map[Source]*source
	// others is the sum of the accounts of all sources.
	others int64
	// ending is the sum of what accounts held that have ended and are not closed.
	ending int64
	// released is closed when one of them closes. It is nil while nobody waits for that.
	released chan struct{}
}

// source has the open accounts of one Source, or those that arrive.
type source struct {
	bytes    int64
	accounts map[*Account]struct{}
}

func newSource() source { return source{accounts: map[*Account]struct{}{}} }

// Account counts the bytes of one connection, response or request. A nil Account counts
// nothing. It is safe for concurrent use.
type Account struct {
	budget *Budget
	// source is empty for a caller.
	source Source
	end    func()
	// Guarded by the budget's mu.
	bytes int64
	// arrival is when the request of a caller began, and held whether it is open and never ended.
	arrival arrival
	held    bool
	// dropping is what the account held when it ended, until it closes.
	dropping int64
	// ended is set if the account was ended for want of memory, closed by Close.
	ended, closed bool
}

// Open returns an account without bytes. If the account ends for want of memory, end is
// called once, and not after Close. It has to make those who keep the bytes drop them, and
// must neither block nor use the budget.
func (b *Budget) Open(s Source, end func()) *Account {
	if b == nil {
		return nil
	}
	a := &Account{budget: b, source: s, end: end}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sources == nil {
		b.sources = map[Source]*source{}
	}
	if b.sources[s] == nil {
		added := newSource()
		b.sources[s] = &added
	}
	b.sources[s].accounts[a] = struct{}{}
	return a
}

// limit returns the limit for the bytes of all accounts.
func (b *Budget) limit() int64 {
	if b.Total == 0 {
		return b.Limit
	}
	return min(b.Limit, b.Total-b.open*b.RequestCost-b.conns*b.ConnCost)
}

// Kept returns the number of bytes in all accounts.
func (b *Budget) Kept() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept()
}

func (b *Budget) kept() int64 { return b.requests + b.arriving.bytes + b.others }

func (b *Budget) reserve() int64 { return int64(reserveShare * float64(b.Limit)) }

// Take adds n bytes. It reports false and adds none if there is no memory for them: then a
// response has ended, and its connection has to be closed. It waits for up to endWait until
// accounts that were ended have dropped their bytes.
func (a *Account) Take(n int) bool {
	if a == nil {
		return true
	}
	b := a.budget
	if !b.take(a, int64(n)) {
		return false
	}
	if n <= smallBytes || b.Timer == nil {
		return true
	}
	b.awaitEnded()
	return !a.Ended()
}

func (b *Budget) take(a *Account, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.ended || a.closed {
		return false
	}
	if a.arrives() && a.bytes == 0 {
		b.stamp(a)
	}
	if !b.makeRoom(a, n) {
		return false
	}
	b.add(a, n)
	return true
}

// awaitEnded waits until the limit holds with what ended accounts have not dropped yet.
func (b *Budget) awaitEnded() {
	closed := b.overdue()
	if closed == nil {
		return
	}
	timeout := b.Timer.After(endWait)
	defer timeout.Stop()
	for ; closed != nil; closed = b.overdue() {
		select {
		case <-closed:
		case <-timeout.C():
			return
		}
	}
}

// overdue returns a channel that is closed when an ended account closes, or nil if the limit
// holds.
func (b *Budget) overdue() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.kept()+b.ending <= b.limit() {
		return nil
	}
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// makeRoom ends accounts until n bytes of a fit. It reports false if they do not: a itself
// has ended then, or is a request that is held.
func (b *Budget) makeRoom(a *Account, n int64) bool {
	if a.source == "" && !b.makeCallerRoom(a, n, 0, minArrival) {
		return false
	}
	for b.kept()+n > b.limit() {
		victim := b.largest(a, n)
		if victim == nil {
			return false
		}
		b.endAccount(victim)
		if victim == a {
			return false
		}
	}
	return true
}

// endAccount ends an account for want of memory.
func (b *Budget) endAccount(a *Account) {
	a.dropping = a.bytes
	b.ending += a.bytes
	b.add(a, -a.bytes)
	a.ended = true
	b.forget(a)
	a.end()
}

// largest returns the account that holds most, of the source that holds most, where all that
// arrives is one source. The n bytes that a asks for count as if it had them.
func (b *Budget) largest(a *Account, n int64) *Account {
	var most *source
	var mostBytes int64
	for name, s := range b.sources {
		bytes := s.bytes
		if name == a.source {
			bytes += n
		}
		if most == nil || bytes > mostBytes {
			most, mostBytes = s, bytes
		}
	}
	if bytes := b.arriving.bytes; len(b.arriving.accounts) > 0 && (most == nil || bytes > mostBytes || a.arrives() && bytes+n > mostBytes) {
		return b.largestArriving(a, n, minArrival)
	}
	if most == nil {
		return nil
	}
	var largest *Account
	var largestBytes int64
	for c := range most.accounts {
		bytes := c.bytes
		if c == a {
			bytes += n
		}
		if largest == nil || bytes > largestBytes {
			largest, largestBytes = c, bytes
		}
	}
	return largest
}

// add changes the bytes of an account.
func (b *Budget) add(a *Account, n int64) {
	a.bytes += n
	switch {
	case a.held:
		b.requests += n
	case a.source == "":
		b.arriving.bytes += n
	default:
		b.others += n
		b.sources[a.source].bytes += n
	}
}

// drop takes off what an ended account held.
func (b *Budget) drop(a *Account) {
	b.ending -= a.dropping
	a.dropping = 0
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// forget removes an account without bytes from its source.
func (b *Budget) forget(a *Account) {
	if a.source == "" {
		delete(b.arriving.accounts, a)
		return
	}
	s := b.sources[a.source]
	if delete(s.accounts, a); len(s.accounts) == 0 {
		delete(b.sources, a.source)
	}
}

// Release takes n bytes off that are not kept any more.
func (a *Account) Release(n int) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.ended && !a.closed {
		a.budget.add(a, -int64(n))
	}
}

// MoveTo moves n bytes to another account of the same budget. It reports false if either
// has ended; the bytes are not counted then.
func (a *Account) MoveTo(to *Account, n int) bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.budget.move(a, to, int64(n))
}

// MoveAllTo is MoveTo with all bytes.
func (a *Account) MoveAllTo(to *Account) bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.budget.move(a, to, a.bytes)
}

func (b *Budget) move(a, to *Account, n int64) bool {
	if a.ended || a.closed {
		return false
	}
	b.add(a, -n)
	if to.ended || to.closed {
		return false
	}
	b.add(to, n)
	return true
}

// Ended reports whether the account has ended for want of memory.
func (a *Account) Ended() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.ended
}

// Close releases all bytes. Closing a closed account has no effect.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.ended {
		b.drop(a)
		return
	}
	if a.closed {
		return
	}
	b.add(a, -a.bytes)
	if a.held {
		b.open--
	}
	a.closed = true
	b.forget(a)
}

package btmemory

import (
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// ErrFull is returned for bytes that find no memory.
var ErrFull = errors.New("btmemory: memory for data of others is full")

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

	mu       sync.Mutex
	requests int64
	sources  map[Source]*source
	// others is the sum of all accounts but those of requests.
	others int64
}

// source has the open accounts of one Source.
type source struct {
	bytes    int64
	accounts map[*Account]struct{}
}

// Account counts the bytes of one connection, response or request. A nil Account counts
// nothing. It is safe for concurrent use.
type Account struct {
	budget *Budget
	// source is empty for a request.
	source Source
	end    func()
	// Guarded by the budget's mu.
	bytes int64
	// ended is set if the account was ended for want of memory, closed by Close.
	ended, closed bool
}

// Open returns an account without bytes. If its bytes have to make room, end is called
// once, and not after Close. It has to make those who keep the bytes drop them. It must
// neither block nor use the budget.
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
		b.sources[s] = &source{accounts: map[*Account]struct{}{}}
	}
	b.sources[s].accounts[a] = struct{}{}
	return a
}

// OpenRequest returns an account for a request of a caller. It is never ended.
func (b *Budget) OpenRequest() *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b}
}

// Kept returns the number of bytes in all accounts.
func (b *Budget) Kept() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests + b.others
}

// FitsRequest reports whether n bytes of a request could be taken now.
func (b *Budget) FitsRequest(n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests+n <= b.Limit-b.reserve()
}

func (b *Budget) reserve() int64 { return int64(reserveShare * float64(b.Limit)) }

// Take adds n bytes. It reports false and adds none if there is no memory for them: then a
// response has ended, and its connection has to be closed.
func (a *Account) Take(n int) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.ended || a.closed || !b.makeRoom(a, int64(n)) {
		return false
	}
	b.add(a, int64(n))
	return true
}

// makeRoom ends accounts until n bytes of a fit. It reports false if they do not: a itself
// has ended then, or is a request.
func (b *Budget) makeRoom(a *Account, n int64) bool {
	if a.source == "" && b.requests+n > b.Limit-b.reserve() {
		return false
	}
	for b.requests+b.others+n > b.Limit {
		largest := b.largest(a, n)
		if largest == nil {
			return false
		}
		b.add(largest, -largest.bytes)
		largest.ended = true
		b.forget(largest)
		largest.end()
		if largest == a {
			return false
		}
	}
	return true
}

// largest returns the account that holds most, of the source that holds most. The n bytes
// that a asks for count as if it had them.
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
	if a.source == "" {
		b.requests += n
		return
	}
	b.others += n
	b.sources[a.source].bytes += n
}

// forget removes an account without bytes from its source.
func (b *Budget) forget(a *Account) {
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
	if a.ended || a.closed {
		return
	}
	b.add(a, -a.bytes)
	a.closed = true
	if a.source != "" {
		b.forget(a)
	}
}

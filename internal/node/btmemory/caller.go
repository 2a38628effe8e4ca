package btmemory

import (
	"math/bits"
	"time"
)

const (
	// spareShare is the share of Budget.Total, and of Limit beside it, that only small requests
	// and connections that replace others use. It keeps requests of many lines, large bodies and
	// idle connections from using up what ordinary requests need.
	spareShare = 1.0 / 8
	// maxSmall is the most bytes that a small request keeps.
	maxSmall = 16 << 10
	// sizeClass is the size in bytes below which requests count as equally large. The classes
	// above it end at its multiples by powers of two.
	sizeClass = 4 << 10
	// minArrival is how long a request may arrive before an equally large one ends it. The bytes
	// of the largest legal request arrive sooner on the slowest links.
	minArrival = time.Second
)

// arrival is when a request began.
type arrival struct {
	order uint64
	at    time.Time
}

// OpenRequest returns an account for a request of a caller, which is never ended. It reports
// false if there is no memory for one more request; the account takes nothing then.
func (b *Budget) OpenRequest() (*Account, bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Account{budget: b, held: true}
	if !b.makeCallerRoom(a, 0, b.RequestCost, minArrival) {
		a.closed = true
		return a, false
	}
	b.open++
	return a, true
}

// OpenCaller returns an account for the requests of a connection, one after the other. Until it
// is held, a request is ended for want of memory like a response; end is as for Open. Requests
// that arrive do not end responses that are within the reserve.
func (b *Budget) OpenCaller(end func()) *Account {
	if b == nil {
		return nil
	}
	a := &Account{budget: b, end: end}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrive(a)
	return a
}

// OpenConn counts a caller's connection until CloseConn, if there is memory for it. Only a
// connection that replaces another one uses the spare part of the memory.
func (b *Budget) OpenConn(replaces bool) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.Total - b.reserve()
	if !replaces {
		left -= spare(b.Total)
	}
	if b.Total > 0 && b.overhead()+b.requests+b.ConnCost > left {
		return false
	}
	// A connection without a request may end any request that arrives.
	if !b.makeCallerRoom(&Account{held: true}, 0, b.ConnCost, minArrival) {
		return false
	}
	b.conns++
	return true
}

// CloseConn ends the count of a connection.
func (b *Budget) CloseConn() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns--
}

// FitsRequest reports whether a request of n bytes could be held now.
func (b *Budget) FitsRequest(n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fitsHeld(n, 0)
}

// FitsHeld reports whether the request of a caller could be held now, with what it has got so far.
func (a *Account) FitsHeld() bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return !a.ended && !a.closed && a.budget.fitsHeld(a.bytes, a.budget.RequestCost)
}

// Hold counts the request of a caller, which is complete, as open and keeps it from being ended
// until Finish. It makes room as Take does, also at the cost of equally large requests that have
// just begun to arrive. It reports false if there is no memory, or if the request was ended
// before: then it must not be passed on.
func (a *Account) Hold() bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.ended || a.closed:
		return false
	case a.held:
		return true
	case !b.fitsHeld(a.bytes, b.RequestCost) || !b.makeCallerRoom(a, 0, b.RequestCost, 0):
		return false
	}
	n := a.bytes
	b.add(a, -n)
	b.forget(a)
	a.held = true
	b.add(a, n)
	b.open++
	return true
}

// Finish ends the request of a caller, and keeps at most n of its bytes as if they arrived now.
func (a *Account) Finish(n int) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.ended || a.closed {
		return
	}
	left := min(a.bytes, int64(n))
	b.add(a, -a.bytes)
	if a.held {
		b.open--
		a.held = false
	}
	b.arrive(a)
	b.add(a, left)
}

// arrive lets an account without bytes be ended.
func (b *Budget) arrive(a *Account) {
	if b.arriving.accounts == nil {
		b.arriving = newSource()
	}
	b.arriving.accounts[a] = struct{}{}
	b.stamp(a)
}

// stamp notes that the request of an account begins now.
func (b *Budget) stamp(a *Account) {
	b.order++
	a.arrival.order = b.order
	if b.Timer != nil {
		a.arrival.at = b.Timer.Now()
	}
}

// arrives reports whether the account has a caller's request that may be ended.
func (a *Account) arrives() bool { return a.source == "" && !a.held }

// overhead is what requests and connections take besides their bytes.
func (b *Budget) overhead() int64 { return b.open*b.RequestCost + b.conns*b.ConnCost }

// fits reports whether n bytes of requests and some overhead leave responses the reserve.
func (b *Budget) fits(n, overhead int64) bool {
	bytes := b.requests + b.arriving.bytes + n
	return bytes <= b.Limit-b.reserve() && (b.Total == 0 || b.overhead()+overhead+bytes <= b.Total-b.reserve())
}

// fitsHeld reports whether a request of n bytes and some overhead can be held. What else arrives
// makes room for it. A small one may use the spare part.
func (b *Budget) fitsHeld(n, overhead int64) bool {
	if b.Total == 0 {
		return b.requests+n <= b.Limit-b.reserve()
	}
	limit, total := b.Limit-b.reserve(), b.Total-b.reserve()
	if n > maxSmall {
		limit -= spare(b.Limit)
		total -= spare(b.Total)
	}
	return b.requests+n <= limit && b.overhead()+overhead+b.requests+n <= total
}

func spare(n int64) int64 { return int64(spareShare * float64(n)) }

// makeCallerRoom ends requests that arrive until n bytes and some overhead of a fit beside the
// reserve for responses. It reports false if they do not: a may have ended then.
func (b *Budget) makeCallerRoom(a *Account, n, overhead int64, minAge time.Duration) bool {
	for !b.fits(n, overhead) {
		victim := b.largestArriving(a, n, minAge)
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

// largestArriving returns the request that is ended for n bytes of a: of the largest ones that
// arrive the one that began first, or a itself if none of them is larger and that one has not
// arrived for minAge. Requests without bytes make no room. It returns nil if there is none.
func (b *Budget) largestArriving(a *Account, n int64, minAge time.Duration) *Account {
	var largest *Account
	class := -1
	for c := range b.arriving.accounts {
		if c == a || c.bytes == 0 {
			continue
		}
		size := classOf(c.bytes)
		if size > class || size == class && c.arrival.order < largest.arrival.order {
			largest, class = c, size
		}
	}
	if !a.arrives() {
		return largest
	}
	own := classOf(a.bytes + n)
	if largest == nil || own > class || own == class && b.age(largest) < minAge {
		return a
	}
	return largest
}

// age returns how long a request has arrived. Without a timer it is minArrival.
func (b *Budget) age(a *Account) time.Duration {
	if b.Timer == nil {
		return minArrival
	}
	return b.Timer.Now().Sub(a.arrival.at)
}

func classOf(n int64) int { return bits.Len64(uint64(n) / sizeClass) }

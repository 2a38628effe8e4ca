package btgrant

import "time"

const (
	// burstTime is the time for which tokens that nobody takes are kept, at least that of
	// one token.
	burstTime = 250 * time.Millisecond
	// asksPerToken is the number of requests for each token that denied daemons may make
	// together. With one they would leave tokens to those that need none any more.
	asksPerToken = 4
	// urgentTime is how far an urgent request may overdraw the bucket. It is at least the
	// time of one token.
	urgentTime = time.Second
	// maxAfter bounds the time for which a daemon stops to ask. The limit may end earlier.
	maxAfter = 2 * time.Second
)

// bucket grants tokens at a rate. The zero value is empty.
type bucket struct {
	// next is the time up to which tokens have been taken. Those of the burst before it
	// are still free.
	next time.Time
	// turn is the time at which the last denied request was told to come back. Each gets
	// a time of its own.
	turn time.Time
}

// take takes a token that is free within t.Wait. It returns the time until then, or, if
// there is none, the time after which to ask again.
func (b *bucket) take(now time.Time, interval time.Duration, t Terms) (granted bool, delay, after time.Duration) {
	burst := max(burstTime, interval)
	if b.next.IsZero() {
		b.next = now.Add(burst)
	}
	if b.next.Before(now) {
		b.next = now
	}
	free := b.next.Add(-burst)
	if t.Urgent {
		free = free.Add(-max(urgentTime, interval))
	}
	if delay = max(free.Sub(now), 0); delay <= t.Wait {
		b.next = b.next.Add(interval)
		return true, delay, 0
	}
	if b.turn.Before(free) {
		b.turn = free
	}
	after = min(b.turn.Sub(now), maxAfter)
	b.turn = now.Add(after).Add(interval / asksPerToken)
	return false, 0, after
}

package btclaim

import (
	"bytes"
	"sync/atomic"
	"time"

	"bramleytack"
)

// operation is a begin or a finish that waits for the next commit.
type operation struct {
	// next is the record that a begin writes if the key is free. For a finish
	// it holds the key, the outcome and the attempt or, if the attempt is not
	// known, the entry daemon and the request.
	next   record
	finish bool
	// reload makes the commit read the head before it decides.
	reload bool
	// delivery is waiting, delivered or abandoned.
	delivery atomic.Uint32
	result   chan result
}

// The values of operation.delivery.
const (
	waiting uint32 = iota
	delivered
	// abandoned means that the caller of submit has stopped waiting.
	abandoned
)

// result is the result of an operation. The Decision is that of a begin.
type result struct {
	Decision
	err error
	// changed is closed when an InProgress claim may have changed.
	changed <-chan struct{}
}

func newOperation(next record) *operation {
	return &operation{next: next, result: make(chan result, 1)}
}

// deliver sends the result to submit. It returns false if submit has stopped
// waiting.
func (o *operation) deliver(r result) bool {
	if !o.delivery.CompareAndSwap(waiting, delivered) {
		return false
	}
	o.result <- r
	return true
}

// decide returns the decision of a begin, given the current record of its key.
// A claim without outcome counts as NoOutcome once it is outcomeTimeout old.
func (o *operation) decide(cur record, claimedBefore bool, now time.Time, outcomeTimeout time.Duration) Decision {
	switch {
	case !claimedBefore:
		return Decision{Kind: Run, Attempt: o.next.Attempt}
	case !bytes.Equal(cur.Body, o.next.Body):
		return Decision{Kind: KeyReused}
	case cur.State == notRun:
		return Decision{Kind: Run, Attempt: o.next.Attempt}
	case cur.State == done:
		return cur.Response.decision()
	case cur.State == claimed && now.Sub(cur.ClaimedAt) < outcomeTimeout:
		return Decision{Kind: InProgress}
	}
	return Decision{Kind: NoOutcome}
}

// orphan is an attempt that may be claimed although its call will never be
// dispatched.
type orphan struct {
	key     ClaimKey
	attempt AttemptID
	// after is the head's version on which the undetermined write was based, or
	// 0 if the claim was committed. A newer version shows whether the claim
	// exists.
	after bramleytack.Revision
}

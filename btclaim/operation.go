package btclaim

import (
	"bytes"
	"sync/atomic"
	"time"

	"bramleytack"
)

// operation is a begin or a finish that waits for the next commit.
type operation struct {
	// next is the record to write if the operation is carried out.
	next   record
	finish bool
	// refresh asks to read the head before deciding.
	refresh bool
	owner   atomic.Uint32
	result  chan result
}

// The values of operation.owner.
const (
	waiting uint32 = iota
	delivered
	abandoned
)

// result answers an operation.
type result struct {
	Decision
	err error
	// settled is closed when an InProgress claim may have changed.
	settled <-chan struct{}
}

func newOperation(next record) *operation {
	return &operation{next: next, result: make(chan result, 1)}
}

// deliver returns false if the caller has stopped waiting.
func (o *operation) deliver(r result) bool {
	if !o.owner.CompareAndSwap(waiting, delivered) {
		return false
	}
	o.result <- r
	return true
}

// decide answers a begin from the current state of its claim.
func (o *operation) decide(cur record, ok bool, now time.Time, progress time.Duration) Decision {
	switch {
	case !ok:
		return Decision{Kind: Run, Attempt: o.next.Attempt}
	case !bytes.Equal(cur.Body, o.next.Body):
		return Decision{Kind: KeyReused}
	case cur.State == notRun:
		return Decision{Kind: Run, Attempt: o.next.Attempt}
	case cur.State == done:
		return cur.Answer.decision()
	case cur.State == claimed && now.Sub(cur.At) < progress:
		return Decision{Kind: InProgress}
	}
	return Decision{Kind: NoOutcome}
}

// orphan is an attempt that may be claimed although its call will never be
// dispatched.
type orphan struct {
	key     ClaimKey
	attempt AttemptID
	// after is the head's version at which the claim was still undetermined.
	after bramleytack.Revision
}

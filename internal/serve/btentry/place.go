package btentry

import (
	"time"

	"bramleytack/internal/route/btaccount"
)

// place is a place of a service that a call uses. A nil place is none.
type place struct {
	room *waitingRoom
	call *btaccount.Call
}

// giveBack ends the use of a place if the call was not sent.
func (p *place) giveBack() {
	if p != nil {
		p.call.End()
		p.room.share.Return()
		p.room.room.Wake()
	}
}

// release lets the call's attempt count at its upstream in place of the place itself.
func (p *place) release() {
	if p != nil {
		p.call.Release()
	}
}

// leave ends the use of a place after an attempt that took some time.
func (p *place) leave(r *attemptResult, took time.Duration) {
	switch {
	case p == nil:
	case r.unsent, r.misdirected:
		p.giveBack()
	default:
		p.call.End()
		p.room.share.Leave(took, r.full())
		if r.usable() || r.full() {
			p.room.answered(p.room.room.Timer.Now())
		}
		p.room.room.Wake()
	}
}

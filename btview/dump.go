package btview

import (
	"time"

	"bramleytack"
)

// State is what Cell.Dump returns. Durations are in nanoseconds.
type State struct {
	Cell bramleytack.CellID `json:"cell"`
	Self Member             `json:"self"`
	View *View              `json:"view"`
	// ViewLease is the remaining time of the view lease.
	ViewLease time.Duration `json:"viewLease"`
	// Acknowledged is the number of the newest view that was acknowledged.
	Acknowledged uint64 `json:"acknowledged"`
	// Target is the daemon that heartbeats are sent to.
	Target  bramleytack.HostID `json:"target"`
	Leaving bool               `json:"leaving"`
	// ContactAge is the time since Cell.LastContact.
	ContactAge time.Duration `json:"contactAge"`
	// Holder is nil while the daemon does not hold the lease.
	Holder *HolderState `json:"holder,omitempty"`
}

// HolderState is the state that only the holder has.
type HolderState struct {
	Fence bramleytack.Fence `json:"fence"`
	// Confirming is set while replies to heartbeats have a view lease.
	Confirming bool `json:"confirming"`
	// Writing is set while a write of a view is pending.
	Writing bool `json:"writing"`
	// Missing are the hosts that have not acknowledged the current view.
	Missing []bramleytack.HostID `json:"missing"`
}

// Dump returns the State of the cell for the debug endpoint.
func (c *Cell) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Timer.Now()
	s := State{
		Cell: c.Name, Self: c.Self, View: c.member.view, ViewLease: c.member.leaseRemaining(now),
		Acknowledged: c.acked, Target: c.target.host, Leaving: c.leaving, ContactAge: now.Sub(c.member.lastContact),
	}
	if c.holder == nil {
		return s
	}
	s.Holder = &HolderState{Fence: c.holder.fence, Confirming: c.holder.canConfirm(), Writing: c.pending != nil}
	if c.holder.view == nil {
		return s
	}
	for host := range c.holder.acks().missing {
		s.Holder.Missing = append(s.Holder.Missing, host)
	}
	return s
}

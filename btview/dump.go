package btview

import (
	"time"

	"bramleytack"
)

// State is the state dump of a Cell.
type State struct {
	Cell bramleytack.CellID `json:"cell"`
	Self Member             `json:"self"`
	View *View              `json:"view"`
	// ViewLease is the time that the view is confirmed for.
	ViewLease    time.Duration      `json:"viewLease"`
	Acknowledged uint64             `json:"acknowledged"`
	Target       bramleytack.HostID `json:"target"`
	Leaving      bool               `json:"leaving"`
	ContactAge   time.Duration      `json:"contactAge"`
	Holder       *HolderState       `json:"holder,omitempty"`
}

// HolderState is the part of the state that only the holder has.
type HolderState struct {
	Fence      bramleytack.Fence    `json:"fence"`
	Confirming bool                 `json:"confirming"`
	Writing    bool                 `json:"writing"`
	Missing    []bramleytack.HostID `json:"missing"`
}

// Dump returns the current State.
func (c *Cell) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Timer.Now()
	s := State{
		Cell: c.Name, Self: c.Self, View: c.member.view, ViewLease: c.member.lease(now),
		Acknowledged: c.acked, Target: c.target.host, Leaving: c.leaving, ContactAge: now.Sub(c.member.contact),
	}
	if c.holder == nil {
		return s
	}
	s.Holder = &HolderState{Fence: c.holder.fence, Confirming: c.holder.confirms(), Writing: c.pending != nil}
	if c.holder.view == nil {
		return s
	}
	for host := range c.holder.acks().missing {
		s.Holder.Missing = append(s.Holder.Missing, host)
	}
	return s
}

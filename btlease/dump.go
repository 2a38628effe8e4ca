package btlease

import (
	"time"

	"bramleytack"
)

// State is the state dump of a Lease.
type State struct {
	Cell        bramleytack.CellID   `json:"cell"`
	Held        bool                 `json:"held"`
	Fence       bramleytack.Fence    `json:"fence,omitempty"`
	Remaining   time.Duration        `json:"remaining,omitempty"`
	Version     bramleytack.Revision `json:"version"`
	Seen        Record               `json:"seen"`
	SeenVersion bramleytack.Revision `json:"seenVersion"`
	SeenAge     time.Duration        `json:"seenAge"`
	Releasing   bool                 `json:"releasing"`
	// Pending names a write whose outcome is not known.
	Pending string `json:"pending,omitempty"`
}

// Dump returns the current State.
func (l *Lease) Dump() any {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	m, now := &l.machine, l.Timer.Now()
	s := State{
		Cell: l.Cell, Version: m.version, Seen: m.seenRec, SeenVersion: m.seen, Releasing: m.releasing,
	}
	s.Fence, s.Remaining, s.Held = m.held(now)
	if m.known {
		s.SeenAge = now.Sub(m.seenAt)
	}
	if m.pending != nil {
		s.Pending = m.pending.kind.String()
	}
	return s
}

package btlease

import (
	"time"

	"bramleytack"
)

// State is what Dump returns. Durations are in nanoseconds.
type State struct {
	Cell      bramleytack.CellID `json:"cell"`
	Held      bool               `json:"held"`
	Fence     bramleytack.Fence  `json:"fence,omitempty"`
	Remaining time.Duration      `json:"remaining,omitempty"`
	// Version is the version of the last write as holder.
	Version bramleytack.Revision `json:"version"`
	// Seen is the last record read, or only the term after an own write.
	// SeenVersion was first seen SeenAge ago.
	Seen        Record               `json:"seen"`
	SeenVersion bramleytack.Revision `json:"seenVersion"`
	SeenAge     time.Duration        `json:"seenAge"`
	Releasing   bool                 `json:"releasing"`
	// Pending is the kind of a write whose outcome is not known: acquire, renew,
	// release or restore.
	Pending string `json:"pending,omitempty"`
}

// Dump returns the State of the lease for the debug endpoint.
func (l *Lease) Dump() any {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	m, now := &l.machine, l.Timer.Now()
	s := State{
		Cell: l.Cell, Version: m.version, Seen: m.seenRecord, SeenVersion: m.seenVersion, Releasing: m.releasing,
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

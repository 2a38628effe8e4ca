package btplace

import "bramleytack"

// EventKind says what became of an order.
type EventKind int

// The kinds of events.
const (
	// Sent says that the engine accepted the order.
	Sent EventKind = iota
	// Failed says that the engine refused the order or that its effect is
	// unknown.
	Failed
	// Fenced says that the engine refused the order's fencing number.
	Fenced
)

var eventKindNames = [...]string{"sent", "failed", "fenced"}

// String returns the name of the kind.
func (k EventKind) String() string { return eventKindNames[k] }

// Event is the end of one order.
type Event struct {
	Kind     EventKind
	Upstream bramleytack.UpstreamID
	Command  bramleytack.Command
	Err      error
}

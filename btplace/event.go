package btplace

import "bramleytack"

// EventKind is the kind of a command's result.
type EventKind int

// The kinds of events.
const (
	// Sent means that the engine accepted the command.
	Sent EventKind = iota
	// Failed means that the command had no effect or an unknown one.
	Failed
	// Fenced means that the engine rejected the command because of its fencing
	// token.
	Fenced
)

var eventKindNames = [...]string{"sent", "failed", "fenced"}

// String returns the name of the kind. It panics on an invalid kind.
func (k EventKind) String() string { return eventKindNames[k] }

// Event is the result of one command. Err is nil if Kind is Sent.
type Event struct {
	Kind     EventKind
	Upstream bramleytack.UpstreamID
	Command  bramleytack.Command
	Err      error
}

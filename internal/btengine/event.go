package btengine

import (
	"time"

	"bramleytack"
)

// EventKind says what happened to a generation or to the engine.
type EventKind uint8

// The kinds of events.
const (
	// EventToken is a token that was decoded.
	EventToken EventKind = iota
	// EventDone is the end of a generation.
	EventDone
	// EventStarted is the entry of a generation into the batch, the first time
	// or after a preemption.
	EventStarted
	// EventPreempted is the loss of a generation's memory.
	EventPreempted
	// EventLoaded is the end of loading a model, version or adapter.
	EventLoaded
	// EventWarm is the end of a cold start.
	EventWarm
	// EventDied is the death of the engine.
	EventDied
)

var eventNames = [...]string{"token", "done", "started", "preempted", "loaded", "warm", "died"}

// String returns the kind's name.
func (k EventKind) String() string {
	if int(k) < len(eventNames) {
		return eventNames[k]
	}
	return "invalid"
}

// Event is something that happened in an engine.
type Event struct {
	Kind    EventKind
	At      time.Time
	Stream  bramleytack.StreamID
	Request bramleytack.RequestID
	// Index belongs to EventToken.
	Index int
	// Tokens is the number of tokens so far.
	Tokens int
}

// FinishReason says why a generation ended.
type FinishReason uint8

// The reasons of an end.
const (
	// FinishNone means that the generation has not ended.
	FinishNone FinishReason = iota
	// FinishStop is the end of the text.
	FinishStop
	// FinishLength is the caller's bound, or the size of the memory.
	FinishLength
	// FinishCanceled is a cancellation.
	FinishCanceled
)

var finishNames = [...]string{"", "stop", "length", "canceled"}

// String returns the reason as the engine's protocol writes it.
func (r FinishReason) String() string {
	if int(r) < len(finishNames) {
		return finishNames[r]
	}
	return "invalid"
}

// Reason says why an engine refused a request or an order.
type Reason uint8

// The reasons of refusals.
const (
	ReasonNone Reason = iota
	ReasonQueueFull
	ReasonUnknownModel
	ReasonTooLarge
	ReasonDead
	ReasonOldFence
	ReasonNoRoom
	ReasonInvalid
)

var reasonNames = [...]string{
	"", "queue is full", "unknown model, version or adapter", "prompt exceeds memory", "engine is dead",
	"old fencing number", "no room for another model", "invalid",
}

// String returns the reason in words.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// Refusal is the error of a request or an order that had no effect.
type Refusal struct {
	Reason Reason
}

// Error returns the reason.
func (r Refusal) Error() string { return "btengine: refused: " + r.Reason.String() }

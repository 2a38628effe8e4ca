package bramleytack

import (
	"context"
	"time"
)

// Reservation describes the capacity that one attempt needs from an upstream.
type Reservation struct {
	Grant    GrantID
	Upstream UpstreamID
	// Entry is the host of the daemon that received the request.
	Entry HostID
	// Request is the attempt's id, which the upstream's load reports contain.
	Request   RequestID
	Workspace WorkspaceID
	Model     string
	Priority  Priority
	// PromptTokens is the size of the prompt, MaxTokens the caller's bound on
	// the output.
	PromptTokens int
	MaxTokens    int
	// Deadline is the latest time at which the request ends.
	Deadline time.Time
	// Suspect means that the request may have crashed an upstream and has to run
	// alone.
	Suspect bool
}

// Grant is the owner's permission to send the request of a reservation. The
// entry daemon must write the first byte to the upstream before ValidUntil, by
// its own clock.
type Grant struct {
	ID       GrantID
	Upstream UpstreamID
	// Instance is the only instance of the upstream that the grant is valid for.
	Instance InstanceID
	// ViewNumber is the number of the view under which the owner decided.
	ViewNumber uint64
	ValidUntil time.Time
}

// Release ends a reservation and reports how the request went.
type Release struct {
	Grant    GrantID
	Upstream UpstreamID
	Outcome  Outcome
	// Failed is set when the upstream failed while it ran the request.
	Failed bool
	// Abandoned is set when the upstream may still run the request: the entry
	// daemon stopped waiting before it knew the stream's id and cannot cancel it.
	Abandoned bool
	// Tokens is the length of the output.
	Tokens int
	// FirstToken is the time to the first token. Zero means that none arrived.
	FirstToken time.Duration
}

// Owner makes and ends reservations of the upstreams in a cell. It sends each
// call to the daemon that owns the upstream.
type Owner interface {
	// Reserve returns a grant, or an Error with NotRun. CodeOverloaded means
	// that the upstream has no free capacity now.
	Reserve(ctx context.Context, r Reservation) (Grant, error)
	// Release ends a reservation.
	Release(ctx context.Context, r Release) error
}

// UpstreamDigest is an owner's summary of an upstream, by which entry daemons
// route requests.
type UpstreamDigest struct {
	Upstream UpstreamID
	Instance InstanceID
	// At is the time of the digest, which includes all reservations up to then.
	At time.Time
	// Running counts reservations, and requests without one that the upstream's
	// load report lists.
	Running int
	// Level is the concurrency limit that the ramp has reached. Limit applies now
	// and may be lower, for example while the ownership is uncertain.
	Limit int
	Level int
	Warm  bool
	// Memory is the forecast peak of the key-value cache, as a share of its size.
	Memory  float64
	Leaving bool
	Models  []LoadedModel
}

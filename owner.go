package bramleytack

import (
	"context"
	"time"
)

// Reservation asks the owner of an upstream for capacity.
type Reservation struct {
	Grant    GrantID
	Upstream UpstreamID
	Entry    HostID
	// Request is the attempt's id, by which load reports name it.
	Request   RequestID
	Workspace WorkspaceID
	Model     string
	Priority  Priority
	// PromptTokens is the size of the prompt, MaxTokens the caller's bound on
	// the output.
	PromptTokens int
	MaxTokens    int
	// Deadline is when the request ends at the latest.
	Deadline time.Time
	// Suspect asks to run alone, since the request may have crashed an upstream.
	Suspect bool
}

// Grant is a reservation that the owner gave. The entry must write the first
// byte to the upstream before ValidUntil, by its own clock.
type Grant struct {
	ID       GrantID
	Upstream UpstreamID
	// Instance is the run of the upstream that the grant is for.
	Instance   InstanceID
	ViewNumber uint64
	ValidUntil time.Time
}

// Release gives a reservation back.
type Release struct {
	Grant    GrantID
	Upstream UpstreamID
	Outcome  Outcome
	// Failed is set when the upstream failed while it ran the request.
	Failed bool
	// Abandoned is set when the upstream may run the request still: the entry left
	// before it had the name by which to cancel it.
	Abandoned bool
	// Tokens is the length of the output.
	Tokens int
	// FirstToken is the time to the first token. Zero means none came.
	FirstToken time.Duration
}

// Owner gives and takes back reservations of the upstreams in a cell. It
// routes each to the daemon that owns the upstream.
type Owner interface {
	// Reserve returns a grant, or an Error with NotRun. CodeOverloaded means
	// that the upstream has no room now.
	Reserve(ctx context.Context, r Reservation) (Grant, error)
	Release(ctx context.Context, r Release) error
}

// UpstreamDigest is what an owner tells entries of an upstream, for routing.
type UpstreamDigest struct {
	Upstream UpstreamID
	Instance InstanceID
	// At is the time of the digest. It includes all reservations up to it.
	At      time.Time
	Running int
	// Limit is the concurrency allowed now, Level the one that was earned.
	Limit int
	Level int
	Warm  bool
	// Memory is the forecast peak as a share of the memory.
	Memory  float64
	Leaving bool
	Models  []LoadedModel
}

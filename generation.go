package bramleytack

import (
	"context"
	"time"
)

// GenerationRef identifies a running generation, so that any daemon can resume
// or cancel it.
type GenerationRef struct {
	Upstream  UpstreamID
	Instance  InstanceID
	Stream    StreamID
	Request   RequestID
	Attempt   int
	Workspace WorkspaceID
	Model     string
	Version   string
	// Expires is the end of the reference's validity, in whole seconds.
	Expires time.Time
}

// GenerationTokens turns references into opaque tokens for callers and back.
type GenerationTokens interface {
	Seal(ref GenerationRef) (string, error)
	// Open returns the reference in a token. A token that is invalid, expired
	// or of another workspace gives the same Error with CodeNotFound.
	Open(ctx context.Context, token string, w WorkspaceID) (GenerationRef, error)
}

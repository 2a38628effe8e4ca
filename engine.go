package bramleytack

import (
	"context"
	"time"
)

// GenerationRequest asks an engine for a generation.
type GenerationRequest struct {
	ID        RequestID   `json:"id"`
	Model     string      `json:"model"`
	Version   string      `json:"version,omitempty"`
	Adapter   string      `json:"adapter,omitempty"`
	Prompt    string      `json:"prompt"`
	MaxTokens int         `json:"maxTokens"`
	Priority  string      `json:"priority"`
	Workspace WorkspaceID `json:"workspace"`
}

// StreamEvent is one event of an engine's stream: a token or the completion.
type StreamEvent struct {
	Stream StreamID
	Token  Token
	// Done is set on the last event, which carries no token.
	Done       bool
	Completion Completion
}

// Stream is a running generation as one reader sees it.
type Stream interface {
	// Next returns the next event. Its errors carry an Outcome. It returns an
	// error instead of an event that belongs to another request.
	Next(ctx context.Context) (StreamEvent, error)
	// Close stops reading. The generation continues unless it is canceled.
	Close() error
}

// LoadReport is the load that an engine or a service reports. It lags behind the
// actual load.
type LoadReport struct {
	Instance InstanceID `json:"instance"`
	// At is the time that the figures describe, by the upstream's clock.
	At time.Time `json:"at"`
	// Age is how old the figures were when the report was sent.
	Age     time.Duration `json:"age"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
	// MemoryUsed and MemoryTotal count tokens of key-value cache.
	MemoryUsed  int `json:"memoryUsed"`
	MemoryTotal int `json:"memoryTotal"`
	Preemptions int `json:"preemptions"`
	// Fence is the highest fencing token of the engine's commands so far. It stays
	// 0 if the engine does not check the tokens.
	Fence       Fence             `json:"fence"`
	Role        string            `json:"role,omitempty"`
	Leaving     bool              `json:"leaving,omitempty"`
	Models      []LoadedModel     `json:"models,omitempty"`
	Generations []GenerationState `json:"generations,omitempty"`
}

// LoadedModel is a model version in an engine's memory.
type LoadedModel struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}

// GenerationState is a generation in a load report.
type GenerationState struct {
	Stream  StreamID  `json:"stream"`
	Request RequestID `json:"request"`
	Tokens  int       `json:"tokens"`
}

// CacheEvent reports that an engine cached or evicted a prompt prefix.
type CacheEvent struct {
	// Sequence counts an engine's events. A gap means that events were lost.
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the prefix.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}

// CommandKind is what a command makes an engine do.
type CommandKind string

// The kinds of commands.
const (
	CommandLoad   CommandKind = "load"
	CommandUnload CommandKind = "unload"
	CommandRole   CommandKind = "role"
)

// Command tells an engine to load or unload a model version or to change its
// role.
type Command struct {
	Fence   Fence       `json:"fence"`
	Kind    CommandKind `json:"kind"`
	Model   string      `json:"model,omitempty"`
	Version string      `json:"version,omitempty"`
	Adapter string      `json:"adapter,omitempty"`
	Role    string      `json:"role,omitempty"`
}

// Engine is the protocol of a model engine.
type Engine interface {
	// Start begins a generation. An error with NotRun means that the engine
	// did not accept the request.
	Start(ctx context.Context, r GenerationRequest) (Stream, error)
	// Resume reads a generation again from a token index.
	Resume(ctx context.Context, id StreamID, from int) (Stream, error)
	// Cancel ends a generation.
	Cancel(ctx context.Context, id StreamID) error
	// Load returns the engine's load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events after a sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Command sends a command. An engine that checks fencing tokens rejects it if
	// it has seen a higher token.
	Command(ctx context.Context, c Command) error
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	ID             RequestID
	Workspace      WorkspaceID
	IdempotencyKey string
	Request        *Request
}

// Service is the protocol of a plain service.
type Service interface {
	// Call executes a call. Its errors carry an Outcome.
	Call(ctx context.Context, c ServiceCall) (*Response, error)
	Load(ctx context.Context) (LoadReport, error)
}

// Upstreams gives access to upstreams by their records.
type Upstreams interface {
	Engine(u *Upstream) (Engine, error)
	Service(u *Upstream) (Service, error)
}

// LoadOf reads the load report of an upstream of either kind.
func LoadOf(ctx context.Context, ups Upstreams, u *Upstream) (LoadReport, error) {
	if u.Kind == KindService {
		s, err := ups.Service(u)
		if err != nil {
			return LoadReport{}, err
		}
		return s.Load(ctx)
	}
	e, err := ups.Engine(u)
	if err != nil {
		return LoadReport{}, err
	}
	return e.Load(ctx)
}

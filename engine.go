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

// StreamEvent is one event of an engine's stream: a token, or the end.
type StreamEvent struct {
	Stream StreamID
	Token  Token
	// Done is set on the last event, which carries no token.
	Done       bool
	Completion Completion
}

// Stream is a running generation as one reader sees it.
type Stream interface {
	// Next returns the next event. Its errors carry an Outcome. An event that
	// belongs to another request is an error, never returned.
	Next(ctx context.Context) (StreamEvent, error)
	// Close ends the reading. The generation goes on unless it is canceled.
	Close() error
}

// LoadReport is what an engine or a service reports of its load. It lags.
type LoadReport struct {
	Instance InstanceID `json:"instance"`
	// At is the time that the figures describe, by the upstream's clock.
	At time.Time `json:"at"`
	// Age is how old the figures were when the report was sent.
	Age     time.Duration `json:"age"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
	// MemoryUsed and MemoryTotal count tokens of key-value cache.
	MemoryUsed  int               `json:"memoryUsed"`
	MemoryTotal int               `json:"memoryTotal"`
	Preemptions int               `json:"preemptions"`
	Fence       Fence             `json:"fence"`
	Role        string            `json:"role,omitempty"`
	Leaving     bool              `json:"leaving,omitempty"`
	Models      []LoadedModel     `json:"models,omitempty"`
	Generations []GenerationState `json:"generations,omitempty"`
}

// LoadedModel is a model version that an engine holds.
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

// CacheEvent says that an engine cached or evicted a prompt prefix.
type CacheEvent struct {
	// Sequence counts an engine's events. A gap means that events were lost.
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// CommandKind says what a command asks of an engine.
type CommandKind string

// The kinds of commands.
const (
	CommandLoad   CommandKind = "load"
	CommandUnload CommandKind = "unload"
	CommandRole   CommandKind = "role"
)

// Command tells an engine to change what it holds or its role.
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
	// did not take the request.
	Start(ctx context.Context, r GenerationRequest) (Stream, error)
	// Resume reads a generation again from a token index.
	Resume(ctx context.Context, id StreamID, from int) (Stream, error)
	Cancel(ctx context.Context, id StreamID) error
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events after a sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	Command(ctx context.Context, o Command) error
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

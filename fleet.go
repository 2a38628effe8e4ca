package bramleytack

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// The kinds of objects that a fleet's daemons replicate.
const (
	// KindConfig holds the operator's configuration.
	KindConfig = "config"
	// KindUpstreams holds what each upstream registers of itself.
	KindUpstreams = "upstreams"
	// KindEvacuations names the failure domains that are out of service.
	KindEvacuations = "outages"
	// KindDaemons holds the address of each daemon.
	KindDaemons = "daemons"
)

// ReplicatedKinds are the kinds that every daemon holds.
var ReplicatedKinds = []string{KindConfig, KindUpstreams, KindEvacuations}

// ErrHistoryGone is returned for changes that the store no longer has.
var ErrHistoryGone = errors.New("bramleytack: history of the store is gone")

// Feed reads the objects of a kind and what changes about them.
type Feed interface {
	// List returns all objects of a kind and the revision of the list.
	List(ctx context.Context, kind string) ([]Object, Revision, error)
	// Changes returns what changed after a revision and the revision up to
	// which the changes are complete. It waits until there is a change, at most
	// for wait. ErrHistoryGone asks for a new list.
	Changes(ctx context.Context, kind string, after Revision, wait time.Duration) ([]Object, Revision, error)
}

// Registry creates and replaces objects.
type Registry interface {
	// Put writes o.Data under the conditions of Store.Put.
	Put(ctx context.Context, o Object, expected Revision) (Revision, error)
}

// EngineReport is what an upstream says of its own end.
type EngineReport struct {
	// EndsIn is the time until its end, zero if it does not know one. One that is to
	// leave once the store has noted it does not.
	EndsIn time.Duration
}

// EngineReporter asks upstreams for their state.
type EngineReporter interface {
	Report(ctx context.Context, addr netip.AddrPort) (EngineReport, error)
}

// EngineMover copies a running generation's memory between engines.
type EngineMover interface {
	// Move copies what the target lacks of the generation's memory. With stop
	// the generation ends at the source first, and its stream breaks off.
	Move(ctx context.Context, source, target netip.AddrPort, id string, stop bool) (EngineCopy, error)
}

// CatalogCodec decodes replicated objects into the product's types.
type CatalogCodec interface {
	// Config fills the routes, services, workspaces and limits of a snapshot.
	Config(data []byte, s *Snapshot) error
	// Upstream decodes the registration of an upstream. An error means that the
	// entry names no upstream to use.
	Upstream(name string, data []byte, now time.Time) (*Upstream, error)
}

// EngineCopy names a copy of a generation's memory at an engine.
type EngineCopy struct {
	// Holder is the engine that the copy's name is relative to.
	Holder netip.AddrPort
	// Handle is the copy's name there.
	Handle string
}

// String returns the copy's name as engines take it.
func (c EngineCopy) String() string { return c.Holder.String() + "/" + c.Handle }

// FleetDialect holds the names that callers and upstreams use on the wire.
type FleetDialect struct {
	// RequestID, DeadlineMillis, Workspace and Instance are header names. An
	// upstream echoes the request id.
	RequestID      string
	DeadlineMillis string
	Workspace      string
	// ExpectInstance makes any other instance refuse the request.
	ExpectInstance string
	// NotRun marks a response of an upstream that did not execute the request.
	NotRun string
	// Load carries running and waiting requests and slots, with commas.
	Load string
	// Seal is the upstream's signature of a response.
	Seal string
	// TokenCounts carries the prompt tokens and the maximum of output tokens,
	// LengthHint the caller's estimate of the output tokens.
	TokenCounts string
	LengthHint  string
	// LastEvent is the event id after which a stream goes on.
	LastEvent string
	// Backup names the engine that keeps a copy as the generation grows, From
	// the copy that a generation goes on from.
	Backup string
	From   string
	// Reserved headers are set by the system only.
	Reserved []string
	// ReadyPath and ResolvePath are the paths of the daemon's own calls.
	ReadyPath   string
	ResolvePath string
}

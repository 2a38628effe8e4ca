package bramleytack

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// The kinds of objects in a fleet's store.
const (
	// KindConfig holds the operator's configuration.
	KindConfig = "config"
	// KindUpstreams holds the registration of each upstream.
	KindUpstreams = "upstreams"
	// KindEvacuations lists the failure domains that are out of service.
	KindEvacuations = "outages"
	// KindDaemons holds the address of each daemon.
	KindDaemons = "daemons"
	// KindQuarantine holds what daemons know of requests that crash upstreams.
	KindQuarantine = "quarantine"
	// KindRollouts holds the operator's orders to move services to other versions, with
	// their status.
	KindRollouts = "rollouts"
)

// ReplicatedKinds are the kinds of which every daemon keeps a replica.
var ReplicatedKinds = []string{KindConfig, KindUpstreams, KindEvacuations}

// OptionalKinds are the kinds of which every daemon keeps a replica where the settings call for
// them. Digests name one only after its first change.
var OptionalKinds = []string{KindRollouts}

// ErrHistoryGone means that the store no longer has the requested changes.
var ErrHistoryGone = errors.New("bramleytack: history of the store is gone")

// Lister reads the objects of a kind.
type Lister interface {
	// List returns all objects of a kind and the revision of the list.
	List(ctx context.Context, kind string) ([]Object, Revision, error)
}

// Feed reads the objects of a kind and their changes.
type Feed interface {
	Lister
	// Changes returns the objects that changed after a revision and the revision
	// up to which the changes are complete. It waits at most for wait until there
	// is a change. After ErrHistoryGone the objects have to be listed again.
	Changes(ctx context.Context, kind string, after Revision, wait time.Duration) ([]Object, Revision, error)
}

// Registry creates and replaces objects.
type Registry interface {
	// Put writes o.Data under the conditions of Store.Put.
	Put(ctx context.Context, o Object, expected Revision) (Revision, error)
}

// EngineReport is an upstream's report on its own shutdown.
type EngineReport struct {
	// EndsIn is the time until the shutdown. Zero means that it is not known, as
	// for an upstream that leaves once the store has recorded that it drains.
	EndsIn time.Duration
}

// EngineReporter asks upstreams for their reports.
type EngineReporter interface {
	Report(ctx context.Context, addr netip.AddrPort) (EngineReport, error)
}

var (
	// ErrNoGeneration is returned for a generation that an engine does not run: it has ended, or
	// has not begun.
	ErrNoGeneration = errors.New("bramleytack: engine does not run the generation")
	// ErrOrderRefused is returned for an order that an engine has not carried out.
	ErrOrderRefused = errors.New("bramleytack: engine refused the order")
)

// EngineMover copies a running generation's memory between engines and stops generations.
type EngineMover interface {
	// Move copies the part of the generation's memory that the target lacks, while the
	// generation runs.
	Move(ctx context.Context, source, target netip.AddrPort, id string) (EngineCopy, error)
	// Stop ends a generation that the target goes on with. Its stream breaks off at once. Stop
	// returns without an error if the source says that it has stopped, with what the source keeps
	// of the generation. That has no Handle if it keeps nothing. ErrNoGeneration means that there
	// was nothing to stop, and ErrOrderRefused that the source works on. After any other error
	// the source may have stopped.
	Stop(ctx context.Context, source, target netip.AddrPort, id string) (EngineCopy, error)
	// Free ends what an engine keeps of a generation that it was told to stop.
	Free(ctx context.Context, c EngineCopy) error
}

// CatalogCodec decodes replicated objects into the product's types.
type CatalogCodec interface {
	// Config fills the routes, services, workspaces and limits of a snapshot.
	Config(data []byte, s *Snapshot) error
	// Upstream decodes the registration of an upstream. An error means that the
	// registration cannot be used.
	Upstream(name string, data []byte, now time.Time) (*Upstream, error)
}

// EngineCopy identifies a copy of a generation's memory at an engine.
type EngineCopy struct {
	// Holder is the engine that issued Handle.
	Holder netip.AddrPort
	// Handle is the holder's name for the copy.
	Handle string
}

// String returns the copy's name as it is sent to other engines.
func (c EngineCopy) String() string { return c.Holder.String() + "/" + c.Handle }

// FleetDialect holds the names that callers and upstreams use on the wire.
type FleetDialect struct {
	// All fields but the paths are header names. An upstream echoes the request
	// id.
	RequestID      string
	DeadlineMillis string
	Workspace      string
	// ExpectInstance names the instance that the request is for. Other instances
	// reject it.
	ExpectInstance string
	// NotRun marks a response of an upstream that did not execute the request.
	NotRun string
	// Load carries the numbers of running and waiting requests and of slots,
	// separated by commas.
	Load string
	// Leaving marks a response of an upstream that is leaving, with any value but 0.
	Leaving string
	// Limit names the requests a second that an upstream takes from all daemons together,
	// in its responses.
	Limit string
	// Seal is the upstream's signature of a response.
	Seal string
	// TokenCounts carries the number of prompt tokens and the maximum number of
	// output tokens, LengthHint the caller's estimate of the output tokens.
	TokenCounts string
	LengthHint  string
	// PromptParts lists the parts of the prompt in order, as entries id:tokens
	// separated by commas. Requests share all parts but the last.
	PromptParts string
	// LastEvent carries the id of the event after which a stream continues.
	LastEvent string
	// Backup names the engine that keeps a copy of the growing generation, From
	// the copy from which a generation continues.
	Backup string
	From   string
	// Reserved headers are removed from callers' requests.
	Reserved []string
	// ReadyPath and ResolvePath are the paths of the daemon's own calls.
	ReadyPath   string
	ResolvePath string
	// CallerDomain is the query parameter of ResolvePath with the caller's failure
	// domain.
	CallerDomain string
}

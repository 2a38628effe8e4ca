package bramleytack

import (
	"net/netip"
	"time"
)

// UpstreamKind says which protocol an upstream speaks.
type UpstreamKind string

// The kinds of upstreams.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// UpstreamState is the state that operators give an upstream.
type UpstreamState string

// The states of an upstream's record.
const (
	UpstreamActive  UpstreamState = "active"
	UpstreamLeaving UpstreamState = "leaving"
)

// DomainState is the state that operators give a failure domain.
type DomainState string

// The states of a failure domain's record.
const (
	DomainActive DomainState = "active"
	DomainOut    DomainState = "out"
)

// Model is a model that callers can name.
type Model struct {
	Name string
	// Version is the version that new generations use.
	Version string
	Adapter string
	// MaxTokens bounds the output of one generation.
	MaxTokens int
	// Replicas is the number of engines that should hold the model.
	Replicas int
}

// ServiceRecord is a plain service that callers can name.
type ServiceRecord struct {
	Name string
	// IdempotentMethods may be repeated after an unknown outcome.
	IdempotentMethods []string
	// Timeout bounds one call.
	Timeout time.Duration
	// MaxConns bounds the connections to one upstream over all callers. Zero
	// means no bound.
	MaxConns int
	// ColdPerSecond is the request rate that a cold upstream bears. Zero means
	// no bound.
	ColdPerSecond float64
	// Engine describes the service's upstreams if they are model engines.
	Engine *EngineProfile
}

// Workspace is a customer with its limits.
type Workspace struct {
	Name WorkspaceID
	// KeyHashes are SHA-256 hashes of API keys in hexadecimal.
	KeyHashes []string
	// Weight is the share in fair queueing. Zero counts as 1.
	Weight int
	// RequestsPerSecond and Concurrency bound the workspace over all entries.
	// Zero means no bound.
	RequestsPerSecond float64
	Concurrency       int
	Priority          Priority
	// Urgency takes precedence over a route's rank, 0 first. Nil means none.
	Urgency *int
}

// FailureDomain is a failure domain with its state.
type FailureDomain struct {
	Name   FailureDomainID
	Region RegionID
	State  DomainState
}

// Upstream is a back end.
type Upstream struct {
	ID            UpstreamID
	Kind          UpstreamKind
	Addr          netip.AddrPort
	FailureDomain FailureDomainID
	// Cell is the cell whose members own the upstream. Empty means the only
	// cell of the deployment.
	Cell CellID
	// Service is the plain service that the upstream runs.
	Service string
	// Models are the models that the upstream may hold.
	Models []string
	State  UpstreamState
	// ColdLimit is the concurrency that a started upstream bears.
	ColdLimit int
	// WarmLimit is the concurrency that a warm upstream bears.
	WarmLimit int
	// MemoryTokens is the size of the key-value cache.
	MemoryTokens int
	// ChecksFence is set when the engine refuses old fencing numbers.
	ChecksFence bool
	// Started is the start of the incarnation, by the upstream's clock.
	Started time.Time
	// ColdUntil ends the time after a start in which the upstream bears only
	// the cold rate of its service.
	ColdUntil time.Time
}

// Commitment is capacity that is paid for whether it is used or not.
type Commitment struct {
	Name string
	// Model is the model that the commitment is for.
	Model string
	// TokensPerSecond is the committed throughput.
	TokensPerSecond float64
}

// Snapshot is the configuration at one revision. It is immutable: readers
// share it and must not change anything that it refers to.
type Snapshot struct {
	Revision       Revision
	Models         map[string]*Model
	Services       map[string]*ServiceRecord
	Workspaces     map[WorkspaceID]*Workspace
	FailureDomains map[FailureDomainID]*FailureDomain
	Upstreams      map[UpstreamID]*Upstream
	Commitments    map[string]*Commitment
	// ByKeyHash finds a workspace by the hash of an API key.
	ByKeyHash map[string]*Workspace
	// ByModel and ByService list upstreams in the order of their ids.
	ByModel   map[string][]*Upstream
	ByService map[string][]*Upstream
	// Quarantined holds the fingerprints of requests that may not run.
	Quarantined map[string]bool
	// Version is the operator's version of the routes, Routes the table.
	Version uint64
	Routes  *RouteTable
	Limits  RequestLimits
}

// Snapshots gives the current configuration.
type Snapshots interface {
	// Snapshot returns the current snapshot, never nil.
	Snapshot() *Snapshot
}

// In says whether the upstream belongs to a cell.
func (u *Upstream) In(cell CellID) bool { return u.Cell == "" || u.Cell == cell }

// Engine returns the profile of a service's engines, or nil if the service is
// unknown or plain.
func (s *Snapshot) Engine(service string) *EngineProfile {
	if r := s.Services[service]; r != nil {
		return r.Engine
	}
	return nil
}

// Accepts says whether an upstream may get new work under the snapshot.
func (s *Snapshot) Accepts(id UpstreamID) bool {
	u, ok := s.Upstreams[id]
	if !ok || u.State == UpstreamLeaving {
		return false
	}
	d, ok := s.FailureDomains[u.FailureDomain]
	return ok && d.State == DomainActive
}

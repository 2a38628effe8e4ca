package bramleytack

import (
	"net/netip"
	"time"
)

// UpstreamKind is the protocol of an upstream.
type UpstreamKind string

// The kinds of upstreams.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// UpstreamState determines whether an upstream gets new work.
type UpstreamState string

// The states of an upstream. Only an active one gets new work.
const (
	UpstreamActive  UpstreamState = "active"
	UpstreamLeaving UpstreamState = "leaving"
)

// DomainState determines whether a failure domain is in service.
type DomainState string

// The states of a failure domain. DomainOut means out of service.
const (
	DomainActive DomainState = "active"
	DomainOut    DomainState = "out"
)

// Model is a model that callers can request.
type Model struct {
	Name string
	// Version is the version that new generations use.
	Version string
	Adapter string
	// MaxTokens limits the output of one generation.
	MaxTokens int
	// Replicas is the number of engines on which the model should be loaded.
	Replicas int
}

// ServiceRecord is a service that callers can call.
type ServiceRecord struct {
	Name string
	// IdempotentMethods are the HTTP methods of calls that may be repeated after
	// an unknown outcome.
	IdempotentMethods []string
	// Timeout limits the duration of one call.
	Timeout time.Duration
	// MaxConns limits the connections to one upstream over all callers. Zero
	// means no limit.
	MaxConns int
	// ColdPerSecond limits the request rate of a cold upstream. Zero means no
	// limit.
	ColdPerSecond float64
	// Engine describes the service's upstreams if they are model engines.
	Engine *EngineProfile
}

// Workspace is a customer with its API keys and limits.
type Workspace struct {
	Name WorkspaceID
	// KeyHashes are the hexadecimal SHA-256 hashes of its API keys.
	KeyHashes []string
	// Weight is the share of the workspace in fair queueing. Zero counts as 1.
	Weight int
	// RequestsPerSecond and Concurrency limit the workspace's requests over all
	// entry daemons. Zero means no limit.
	RequestsPerSecond float64
	Concurrency       int
	Priority          Priority
	// Urgency takes precedence over Route.Urgency unless it is nil.
	Urgency *int
}

// FailureDomain is a group of hosts and upstreams that may fail together.
type FailureDomain struct {
	Name   FailureDomainID
	Region RegionID
	State  DomainState
}

// Upstream is a model engine or a server of a plain service.
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
	// Version is the version of the upstream's software, empty if unknown.
	Version string
	// Models are the names of the models that the upstream may load.
	Models []string
	State  UpstreamState
	// ColdLimit is the concurrency limit of a cold upstream.
	ColdLimit int
	// WarmLimit is the concurrency limit of a warm upstream.
	WarmLimit int
	// MemoryTokens is the size of the key-value cache in tokens.
	MemoryTokens int
	// ChecksFence is set if the engine rejects commands with an old fencing token.
	ChecksFence bool
	// Started is the start time of the instance, by the upstream's clock.
	Started time.Time
	// ColdUntil is the end of the time in which the upstream is cold and limited
	// to ServiceRecord.ColdPerSecond.
	ColdUntil time.Time
}

// Commitment is capacity that is paid for whether it is used or not.
type Commitment struct {
	Name string
	// Model is the name of the model that the commitment is for.
	Model string
	// TokensPerSecond is the committed throughput.
	TokensPerSecond float64
}

// Snapshot is the configuration at one revision. Its readers share it and must
// not change it or anything that it refers to.
type Snapshot struct {
	Revision   Revision
	Models     map[string]*Model
	Services   map[string]*ServiceRecord
	Workspaces map[WorkspaceID]*Workspace
	// KeysOptional is set if callers need no API key on any route. Unless it is set, a
	// configuration without workspaces admits callers to public routes only.
	KeysOptional   bool
	FailureDomains map[FailureDomainID]*FailureDomain
	Upstreams      map[UpstreamID]*Upstream
	Commitments    map[string]*Commitment
	// Rollouts holds the operator's orders to move services to other versions, by service.
	Rollouts map[string]*Rollout
	// ByKeyHash maps the hash of an API key to its workspace.
	ByKeyHash map[string]*Workspace
	// ByModel and ByService list upstreams in the order of their ids.
	ByModel   map[string][]*Upstream
	ByService map[string][]*Upstream
	// Quarantined is the set of fingerprints, in hexadecimal, of requests that may
	// not run.
	Quarantined map[string]bool
	// Version is the operator's version number of the routes.
	Version uint64
	Routes  *RouteTable
	Limits  RequestLimits
}

// Snapshots gives access to the current configuration.
type Snapshots interface {
	// Snapshot returns the current snapshot, never nil.
	Snapshot() *Snapshot
}

// In reports whether the upstream belongs to a cell.
func (u *Upstream) In(cell CellID) bool { return u.Cell == "" || u.Cell == cell }

// Engine returns the profile of a service's engines. It returns nil if the service
// is unknown or its upstreams are no model engines.
func (s *Snapshot) Engine(service string) *EngineProfile {
	if r := s.Services[service]; r != nil {
		return r.Engine
	}
	return nil
}

// Accepts reports whether an upstream may get new work. It has to be known and
// not leaving, and its failure domain known and in service.
func (s *Snapshot) Accepts(id UpstreamID) bool {
	return s.Serves(id) && s.Upstreams[id].State != UpstreamLeaving
}

// Serves reports whether an upstream accepts work or is leaving, so that it still runs what it
// has. Its failure domain has to be known and in service.
func (s *Snapshot) Serves(id UpstreamID) bool {
	u, ok := s.Upstreams[id]
	if !ok {
		return false
	}
	d, ok := s.FailureDomains[u.FailureDomain]
	return ok && d.State == DomainActive
}

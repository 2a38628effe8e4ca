package bramleytack

// HostID names one host of the system. It is unique within a deployment.
type HostID string

// FailureDomainID names a failure domain.
type FailureDomainID string

// RegionID names a region, which groups failure domains.
type RegionID string

// CellID names a cell, the unit of membership and leases.
type CellID string

// WorkspaceID names a workspace, the unit of limits and fairness.
type WorkspaceID string

// UpstreamID names an upstream. It stays the same across its restarts.
type UpstreamID string

// InstanceID names one start-up of an upstream. It changes on each restart.
type InstanceID string

// RequestID names one request, or one attempt of it.
type RequestID string

// StreamID names one generation on one engine.
type StreamID string

// GrantID names one reservation of an upstream's capacity.
type GrantID string

// Fence is the fencing token of a lease. A later holder has a higher one.
type Fence uint64

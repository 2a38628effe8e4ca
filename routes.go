package bramleytack

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// EngineProfile describes the model engines of a service.
type EngineProfile struct {
	// Slots is the batch size, MemoryTokens the size of the key-value cache in
	// tokens.
	Slots        int
	MemoryTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// Moves is set if engines can move a running generation to another engine,
	// Backups if they can keep a copy of one there.
	Moves   bool
	Backups bool
	// CopyLife is how long an engine keeps a copy that nobody uses. Zero if unknown.
	CopyLife time.Duration
}

// ServiceShare is a service's part of a route's requests.
type ServiceShare struct {
	Service string
	Weight  int
}

// Route configures how requests for one host name and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Streaming is set if the responses are event streams, Resumable if a stream
	// can continue at another upstream after a given event id.
	Streaming bool
	Resumable bool
	// Idempotent is set if requests may run more than once.
	Idempotent bool
	// Timeout bounds the time from the request to the end of its response.
	Timeout time.Duration
	// A response is on time if it, or its first event, comes within TargetLatency
	// and no pause between events exceeds MaxPause.
	TargetLatency time.Duration
	MaxPause      time.Duration
	// Urgency ranks the requests. 0 is the most urgent.
	Urgency int
	// Services share the requests by weight.
	Services []ServiceShare
	// MaxAttempts is the number of upstreams to which one request may be sent.
	MaxAttempts int
	// Public is set if requests need no API key.
	Public bool
}

// Repeatable reports whether a request may run again after an unknown outcome.
func (r *Route) Repeatable() bool { return r.Idempotent || r.Streaming && r.Resumable }

// Service returns the service whose share of the weights contains at, a number
// in [0, 1). If no weight is positive, no service may run the requests, and it
// returns "".
func (r *Route) Service(at float64) string {
	total := 0
	for _, s := range r.Services {
		total += max(s.Weight, 0)
	}
	offset, service := at*float64(total), ""
	for _, s := range r.Services {
		if s.Weight <= 0 {
			continue
		}
		// The offset of the largest numbers is rounded to the total: the last service has them.
		service = s.Service
		if offset -= float64(s.Weight); offset < 0 {
			break
		}
	}
	return service
}

// RequestLimits limit callers' requests and connections.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteTable finds routes by host and path. It is immutable.
type RouteTable struct {
	byHost map[string][]*Route
}

// NewRouteTable returns a table of the routes.
func NewRouteTable(routes []*Route) *RouteTable {
	t := &RouteTable{byHost: map[string][]*Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return t
}

// Find returns the route of the host name with the longest matching path prefix,
// or nil. The host may include a port. The path is matched as it was sent.
func (t *RouteTable) Find(host, path string) *Route {
	if t == nil {
		return nil
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// ShortestPause returns the shortest of the longest pauses between events that the streaming
// routes of a service allow, or zero if none is bounded.
func (t *RouteTable) ShortestPause(service string) time.Duration {
	var shortest time.Duration
	if t == nil {
		return 0
	}
	for _, list := range t.byHost {
		for _, r := range list {
			serves := slices.ContainsFunc(r.Services, func(s ServiceShare) bool { return s.Service == service })
			if r.Streaming && r.MaxPause > 0 && serves && (shortest == 0 || r.MaxPause < shortest) {
				shortest = r.MaxPause
			}
		}
	}
	return shortest
}

// All returns the routes, in no order.
func (t *RouteTable) All() []*Route {
	var all []*Route
	if t != nil {
		for _, list := range t.byHost {
			all = append(all, list...)
		}
	}
	return all
}

// Len returns the number of routes.
func (t *RouteTable) Len() int {
	n := 0
	if t != nil {
		for _, list := range t.byHost {
			n += len(list)
		}
	}
	return n
}

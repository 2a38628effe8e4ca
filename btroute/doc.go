// Package btroute chooses an upstream for a request and reserves capacity
// there.
//
// A Filter lists the candidates for the request's model or service, lets a
// Policy pick one, reserves with the upstream's owner and calls the next
// handler with Request.Target set. A failure with outcome NotRun moves the
// request to another candidate. After a failure with another outcome, a request
// is repeated at most once, and only if it may run twice and nothing of the
// response has reached the caller.
//
// Loads holds the load of the upstreams: the digests that owners send, and the
// entry's own requests that the digests do not include yet.
//
// Scored is the policy of the daemon. RoundRobin, LeastInFlight and TwoRandom
// are baselines for comparison.
//
// # Usage
//
//	loads := &btroute.Loads{}
//	route := &btroute.Filter{
//		Entry:     host,
//		Snapshots: config,
//		Owner:     owners,
//		Timer:     timers,
//		Loads:     loads,
//		Models:    loads,
//		Policy:    &btroute.Scored{Domain: domain, Prefixes: &btroute.Prefixes{}},
//		Retry:     &btroute.Backoff{Timer: timers},
//	}
//	path := bramleytack.Chain(dispatch, route)
package btroute

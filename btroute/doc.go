// Package btroute chooses an upstream for a request and reserves capacity
// there.
//
// A Filter lists the candidates for the request's model or service, lets a
// Policy pick one, reserves with the upstream's owner and calls the next
// handler with Request.Target set. A failure with outcome NotRun moves the
// request to another candidate. A failure with another outcome is tried again
// at most once, and only for requests that may run twice and of which nothing
// reached the client.
//
// Loads holds what the entry knows of the upstreams: the digests that owners
// send, and the entry's own requests that the digests do not show yet.
//
// RoundRobin, LeastInFlight and TwoRandom are the baselines that Scored is
// compared with.
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

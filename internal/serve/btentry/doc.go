// Package btentry serves callers' requests by forwarding them to upstreams.
//
// A Handler matches a request to a route and its API key to a workspace, and
// sends it to an upstream of the route's service. A plain call is answered once
// the whole response has arrived. An event stream is relayed event by event. If
// the engine of a generation shuts down or crashes, another engine continues the
// generation inside the same response, from a copy of its key-value memory or
// after the last event. The engine before is told to stop (docs/design/handovers.md).
//
// The daemon rejects a request with status 408, 421, 429 or 503 only if no
// upstream has executed it and none will. If an upstream may have executed it,
// the status is 502 or 504, also where the upstream itself answered with one of
// these statuses and did not declare that the request has not run. Once a
// response has begun, a failure closes the connection.
//
// A request that crashes the upstreams that run it becomes a suspect at all daemons. It is
// rejected with status 400, after which callers do not repeat it, once several upstreams
// have crashed under it (package btsuspect).
//
// # Usage
//
//	h := &btentry.Handler{
//		Table: table, Accounts: accounts, Suspects: suspects, Pool: pool, Dialect: dialect,
//		Timer: timers, Log: log, Budget: budget, Lengths: lengths,
//	}
//	server := &http.Server{Handler: h}
package btentry

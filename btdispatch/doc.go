// Package btdispatch is the last handler of the request path. It sends a request
// to the upstream that the route filter chose.
//
// Directly before it sends the request, it checks again that the upstream still
// takes new work and that the grant is still valid. A process that was paused
// after an earlier check then finds that its grant has expired. Once sending has
// begun, errors carry the outcome that the upstream's client determined.
//
// A pause between the last check and the write is not detected, and the validity
// of the grant does not bound it. Only an upstream that checks requests itself can
// reject one that arrives too late.
//
// # Usage
//
//	last := &btdispatch.Dispatcher{Snapshots: config, Upstreams: pool, Tokens: tokens, Timer: timers}
//	path := bramleytack.Chain(last, filters...)
package btdispatch

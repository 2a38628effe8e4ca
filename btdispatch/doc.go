// Package btdispatch is the last handler of the request path. It writes a
// request to the upstream that the route filter chose.
//
// Directly before the first byte it checks again that the upstream still takes
// new work and that the grant is still valid. These checks are made at the
// point of use: a process that was paused between an earlier check and the
// write finds its grant expired. From the first byte on, errors carry the
// outcome that the upstream's client determined.
//
// What remains is a pause between the last check and the write. A grant's short
// validity bounds it, and only an upstream that checks can close it.
//
// # Usage
//
//	last := &btdispatch.Dispatcher{Snapshots: config, Upstreams: pool, Tokens: tokens, Timer: timers}
//	path := bramleytack.Chain(last, filters...)
package btdispatch

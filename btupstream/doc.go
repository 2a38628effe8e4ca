// Package btupstream implements the protocols of model engines and plain services
// over net/http and classifies each failure by its outcome.
//
// # Outcomes
//
// Each connection counts the bytes that were written to it. A failure is
// NotRun only if no byte of the request was written, or if the upstream sent a
// typed rejection (status 429 or 503 with {"notRun":true}). A failure after
// the first byte is Unknown, and Ran once the upstream responded with any other
// status. A service response that lacks the call's request id is Unknown too; a
// rejection may lack it, but one with the id of another call is not about this one.
//
// # Connections
//
// Each generation, call and command uses a new connection. A pooled one may have
// been dropped without notice by a device on the path, and bytes written to it
// would turn a call that never ran into one with an unknown outcome. Load
// reports, cache events and cancellations, which can be repeated, use pooled
// connections.
//
// Engines send a heartbeat each second on a stream that has no token to send. If
// no byte arrives within StreamReadTimeout, the connection counts as lost; the
// caller resumes the stream over a new one.
//
// # Usage
//
//	pool := btupstream.NewPool(btupstream.Options{})
//	engine, err := pool.Engine(upstream)
//	stream, err := engine.Start(ctx, request)
//	for {
//		event, err := stream.Next(ctx)
//	}
package btupstream

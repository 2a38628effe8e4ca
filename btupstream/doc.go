// Package btupstream speaks the protocols of model engines and plain services
// over net/http and classifies each failure by its outcome.
//
// # Outcomes
//
// Each connection counts the bytes that were written to it. A failure is
// NotRun only if no byte of the request was written, or if the upstream sent a
// typed rejection (status 429 or 503 with {"notRun":true}). A failure after
// the first byte is Unknown, and Ran once the upstream answered with any other
// status.
//
// # Connections
//
// Work never uses a pooled connection: something between the two ends may have
// lost track of it, and the bytes written to it would turn a call that never
// ran into one with an unknown outcome. Load reports and cache events, which
// can be repeated, are read over pooled connections.
//
// Engines send a heartbeat each second on a stream that has no token to send.
// A stream that is silent for longer than the silence limit has lost its
// connection; the caller resumes it over a new one.
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

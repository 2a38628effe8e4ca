// Package btrelay passes the tokens of one generation from its engine to the
// caller: each token once, in order, from one generation.
//
// The relay tracks the index of the next token. It drops a token that the
// caller already has. When an index is skipped or the stream fails, which
// includes an engine that stops sending, it resumes the same generation at the
// next index over a new connection. It never continues with another generation:
// if the generation cannot be resumed, the response ends with a typed error.
//
// The relay buffers one event, and reads the engine only as fast as the caller
// reads the response.
//
// # Usage
//
//	relay := btrelay.Relay{Engine: engine, Timer: timer, NewOpening: open}
//	err := relay.Run(ctx, stream, responseWriter)
package btrelay

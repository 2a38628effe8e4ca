// Package btrelay passes the tokens of one generation from its engine to the
// caller: each token once, in order, from one generation.
//
// The relay tracks the index of the next token. It drops a token that the
// caller already has. When an index is skipped, the stream breaks or the engine
// falls silent, it resumes the same generation at the next index over a new
// connection. It never continues with another generation: if the generation
// can't be resumed, the answer ends with a typed error.
//
// Memory is bounded: one event is held at a time, and the engine is read only
// as fast as the caller reads.
//
// # Usage
//
//	relay := btrelay.Relay{Engine: engine, Timer: timer, Opening: open}
//	err := relay.Run(ctx, stream, reply)
package btrelay

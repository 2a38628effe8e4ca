// Package btengine simulates a model engine.
//
// Core is the model of the engine: a state that advances only when its methods
// are called with a time. It has no goroutine, no clock and no I/O, so that
// thousands of generations on hundreds of engines run in fake time. Server
// serves a Core over HTTP on the timer service.
//
// # Model
//
// The engine decodes in steps. A step adds one token to each generation of the
// batch and processes up to Config.PrefillChunk tokens of new prompts; its
// time grows with both. Generations hold one token of key-value memory for
// each token of prompt and output. When memory fills up, the newest generation
// of the lowest priority is preempted: it loses its memory, goes back to the
// queue and is computed again from its prompt and the tokens it has, which its
// reader sees as a long time between two tokens.
//
// A cold engine is slow and dies when it accepts more than Config.ColdLimit
// generations at a time. It is warm after Config.WarmAfter completed ones.
//
// The prompt prefix cache holds hashes of prompt prefixes in whole blocks of
// Config.BlockTokens tokens; see Prefixes. Its events are published late, and
// some are lost, which leaves gaps in their sequence numbers.
//
// # Prompts
//
// The text of a generation follows from its request id, its prompt and the
// token index; see Text. A prompt can hold directives: [[tokens=120]] sets the
// length of the output, [[crash]] crashes the engine before the first token,
// [[crash=5]] crashes it after five, and [[announce]] puts the request id in
// front of the first token.
//
// # Usage
//
//	core := btengine.NewCore(btengine.DefaultConfig(), start)
//	stream, err := core.Submit(start, request)
//	for now, ok := core.Next(); ok; now, ok = core.Next() {
//		for _, e := range core.Step(now) {
//			record(e)
//		}
//	}
package btengine

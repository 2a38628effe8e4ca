// Package btfront implements the HTTP API for callers.
//
// Generations use the chat/completions format that client libraries support,
// with the response as JSON or as server-sent events. Calls of plain services
// have one path per service. The entry list gives callers the addresses of entry
// daemons and how long the list is valid.
//
// # Streams
//
// The response header Bramleytack-Generation-Token identifies the generation.
// Each event's id is the index of its token. A caller whose connection broke
// resumes at any entry daemon with the generation token and the next index. A
// stream ends with "data: [DONE]" or with an "error" event; one that ends
// otherwise is incomplete. After its first token, an idle stream gets a comment
// line within HeartbeatPeriod, so that callers can distinguish a slow generation
// from a lost connection.
//
// By default a generation is canceled when its caller disconnects. The request
// header Bramleytack-Resume-Window sets how long the generation continues
// instead, up to MaxResumeWindow.
//
// # Limits
//
// Bodies and headers are bounded in size, and a body must arrive within
// DefaultBodyTimeout. Tokens are not queued: a caller that does not read
// blocks the writes of its stream and is disconnected after at most
// WriteTimeout, so that each stream uses a bounded amount of memory.
//
// # Usage
//
//	front := &btfront.Front{RequestHandler: handler, Timer: timers, Entries: entries}
//	server := front.Server()
//	go server.Serve(listener)
package btfront

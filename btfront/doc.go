// Package btfront is the HTTP surface for callers.
//
// Model calls have the chat/completions shape that client libraries speak, as
// JSON or as server-sent events. Plain service calls have one path per service.
// The entry list tells callers which addresses to use and for how long.
//
// # Streams
//
// The answer's header Bramleytack-Generation-Token names the generation. Each
// event's id is the index of its token; a caller that lost its connection
// resumes at any entry with the token and the next index. A stream ends with
// "data: [DONE]" or with an "error" event; one that ends otherwise is
// incomplete. A comment line is sent on a stream that has been idle for
// HeartbeatPeriod, so that callers can tell a slow generation from a lost
// connection.
//
// By default a caller that disconnects cancels its generation. A caller that
// wants to resume asks for a window with the header Bramleytack-Resume-Window.
//
// # Limits
//
// Bodies and headers are bounded in size, and a body must arrive within
// DefaultBodyTimeout. A caller that does not read blocks its relay and is
// disconnected after WriteTimeout, so each stream holds a bounded amount of
// memory.
//
// # Usage
//
//	front := &btfront.Front{RequestHandler: handler, Timer: timers, Entries: entries}
//	server := front.Server()
//	go server.Serve(listener)
package btfront

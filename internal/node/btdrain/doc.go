// Package btdrain ends a daemon in order after a termination signal.
//
// The daemon passes through phases, each of which allows less than the one before:
//
//	phase      named to callers  new connections  requests that would outlast it  idle connections
//	serving    yes               accepted         accepted                        kept
//	leaving    no                accepted         rejected, not run               closed after a response
//	closing    no                refused          rejected, not run               closed after a response
//	finishing  no                refused          not read                        closed
//	ended      no                refused          cut off                         closed
//
// Callers cache the addresses of daemons, so that new connections still arrive for a
// while after the daemon left the directory. A request that cannot be expected to end in
// time is rejected at once, because its caller can still have it served elsewhere. The
// daemon closes its listeners before it ends. At the start of finishing idle connections close,
// and the context of Finish ends: requests whose callers have got no byte are answered.
//
// # Usage
//
//	d := &btdrain.Drain{Timer: timers, Grace: 8 * time.Second, Active: active}
//	handler.Accepts, handler.FinishAt, handler.Finish = d.Accepts, d.FinishAt, d.Finish()
//	<-ctx.Done()
//	d.Run(&btdrain.HTTPServer{Server: server, Listener: listener})
package btdrain

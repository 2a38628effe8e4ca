// Package btfault injects faults into the simulated outside systems.
//
// A Switch holds the current Fault. Its Middleware applies faults to requests
// and serves the control endpoint, its Listen applies faults to connections,
// and a Target, the simulated system itself, takes faults of its state such as
// a crash or a memory limit. Faults can be limited to a number of requests, to
// a method and path prefix and to a time.
//
// A token, in the faults that count tokens, is one Write of the handler that
// is not a comment of server-sent events: an event of a stream, a line of a
// watch, or a whole body.
//
// # Usage
//
//	faults := &btfault.Switch{Timer: timers, Target: engine}
//	server := &http.Server{Handler: faults.Middleware(engine)}
//	go server.Serve(faults.Listen(listener))
//
//	faults.Set(btfault.Fault{Path: "/v1/generations", Cut: &btfault.Point{Tokens: 5}, Requests: 1})
//
// From another process:
//
//	PUT /debug/fault {"path":"/v1/generations","cut":{"tokens":5},"requests":1}
package btfault

// Package bramleytack holds the interfaces and shared types of a serving
// system for text generations of unknown length.
//
// A request enters through an HTTP front, passes a chain of filters and ends
// at an upstream: a model engine or a plain service. Each filter does one job
// and knows neither its predecessor nor its successor. The filters read one
// immutable Snapshot of the configuration per request.
//
// The packages below this one implement the interfaces and can be used alone.
// They depend on this package and on leaf packages, never on the daemon.
//
// # Outcomes
//
// Every failure carries an Outcome. NotRun is a promise: no upstream executed
// any part of the request. Unknown says that it may have run. Ran says that it
// ran and that its answer was lost or incomplete. A caller may repeat a
// non-idempotent request only after NotRun.
//
// # Usage
//
// Build a request path from filters and a last handler:
//
//	path := bramleytack.Chain(dispatch, identify, admit, route)
//	err := path.Handle(ctx, req, reply)
//
// Report a failure with its outcome:
//
//	return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "queue is full")
package bramleytack

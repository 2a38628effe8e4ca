// Package bramleytack holds the interfaces and shared types of a serving
// system for text generations whose length is not known in advance.
//
// A request enters through an HTTP front, passes a chain of filters and ends
// at an upstream: a model engine or a plain service. A filter does not know
// which filters come before and after it. All filters read an immutable
// Snapshot of the configuration.
//
// The packages below this one implement the interfaces and can be used alone.
// They depend on this package and on leaf packages, never on the daemon.
//
// # Outcomes
//
// Every failure carries an Outcome. NotRun guarantees that no upstream executed
// any part of the request. Unknown means that it may have run. Ran means that
// it ran and that its response was lost or incomplete. A caller may repeat a
// non-idempotent request only after NotRun.
//
// # Usage
//
// Build a request path from filters and a last handler:
//
//	path := bramleytack.Chain(dispatch, identify, admit, route)
//	err := path.Handle(ctx, req, w)
//
// Report a failure with its outcome:
//
//	return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "queue is full")
package bramleytack

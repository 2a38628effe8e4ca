// Package btdaemon composes the parts of the system into one process.
//
// A daemon serves callers, operators and other daemons on three addresses. All
// daemons of a deployment run the same parts; which upstreams a daemon owns and
// whether it coordinates its cell are determined by the cell's lease and view.
//
// # Shutdown
//
// When its context ends, a daemon removes itself from the entry list and accepts
// requests until all entry lists that name it have expired. It then waits for the
// requests in flight and leaves its cell, which releases its ownerships and the
// lease. No request is aborted before the drain timeout.
//
// # Usage
//
//	d, err := btdaemon.New(settings, log)
//	err = d.Run(ctx)
package btdaemon

// Package btdaemon composes the parts of the system into one process.
//
// A daemon serves callers, operators and other daemons on three addresses. All
// daemons of a deployment run the same parts; which upstreams a daemon owns and
// whether it coordinates its cell follow from the cell's lease and view.
//
// # Shutdown
//
// When its context ends, a daemon leaves the entry list, goes on accepting
// until the longest entry list that it has given out has run out, waits for the
// requests in flight and then gives up its roles. No request is cut before the
// drain timeout.
//
// # Usage
//
//	d, err := btdaemon.New(settings, log)
//	err = d.Run(ctx)
package btdaemon

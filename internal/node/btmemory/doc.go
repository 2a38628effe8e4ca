// Package btmemory bounds the bytes that a process keeps of what others sent.
//
// A Budget has one limit for all bytes: of responses, of requests, of answers of the store
// and of other daemons. Each is counted in an Account, for as long as it is kept. Where the
// limit is reached, the account that holds most ends, of the source that holds most: an
// upstream, the store, the other daemons, or the callers. What ends it closes its
// connection, and its bytes count no longer.
//
// Responses have a reserve that callers leave to them, with their connections, open requests
// and bytes. A request that arrives may be ended for others, the largest ones first, until it
// is complete and held. One that finds no memory is rejected before it runs. Small requests have a spare
// part of what callers may use.
//
// # Usage
//
//	budget := &btmemory.Budget{Limit: 24 << 20}
//	ctx, cancel := context.WithCancel(ctx)
//	account := budget.Open(btmemory.Upstream(id), cancel)
//	defer account.Close()
//	data, err := btmemory.ReadAll(body, -1, maxBytes, account)
//
// For the requests of a connection:
//
//	caller := budget.OpenCaller(drop)
//	defer caller.Close()
//	ok := caller.Take(len(head)) // the request arrives
//	ok = ok && caller.Hold()     // the request is served
//	caller.Finish(0)
package btmemory

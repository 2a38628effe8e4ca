// Package btmemory bounds the bytes that a process keeps of what others sent.
//
// A Budget has one limit for all bytes: of responses, of requests, of answers of the store
// and of other daemons. Each is counted in an Account, for as long as it is kept. Where the
// limit is reached, the account that holds most ends, of the source that holds most: an
// upstream, the store, the other daemons, or the callers. What ends it closes its
// connection, and its bytes count no longer. Requests of callers end no other request; one
// that finds no memory is rejected before it runs.
//
// Responses have a reserve that requests leave to them.
//
// # Usage
//
//	budget := &btmemory.Budget{Limit: 24 << 20}
//	ctx, cancel := context.WithCancel(ctx)
//	account := budget.Open(btmemory.Upstream(id), cancel)
//	defer account.Close()
//	data, err := btmemory.ReadAll(body, -1, maxBytes, account)
package btmemory

// Package btentry serves callers' requests by forwarding them to upstreams.
//
// A request is matched to a route, its API key to a workspace, and then sent to
// an upstream of the route's service. Plain calls are answered once the whole
// response has arrived. Event streams are relayed event by event; a generation
// whose engine leaves or dies goes on at another engine inside the same
// response, from a copy of its memory or after its last event.
//
// A rejection with status 408, 421, 429 or 503 is sent only if no upstream has
// executed the request and none will. Every doubt is answered 502 or 504, or by
// a broken connection once a response has begun.
//
// # Usage
//
//	h := &btentry.Handler{Table: table, Accounts: accounts, Pool: pool, Dialect: dialect}
//	server := &http.Server{Handler: h}
package btentry

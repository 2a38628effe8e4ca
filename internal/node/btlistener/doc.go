// Package btlistener bounds what callers' connections and the heads of their requests take,
// before net/http parses a head and before a handler runs.
//
// A Gate is shared by all listeners of a process. It counts each connection and, as its bytes
// arrive, each head in the process's btmemory.Budget: net/http keeps many times the bytes of
// a head that has many short lines. A head that is larger than the limits allow, or takes too
// long, is refused with 431 or by a close; one that finds no memory is refused with 503 and
// Retry-After. Of several heads the largest one makes room. Where there are too many
// connections, the one that has been idle for longest closes, then the one whose head has been
// incomplete for longest.
//
// A connection is not dropped between the hand-over of its request and the return of the handler:
// see HandOver. A request counts until net/http has dropped it, which may wait for a body. Few
// incomplete requests are parsed at a time, so that they do not delay others.
//
// # Usage
//
//	gate := &btlistener.Gate{Memory: budget, Timer: timers, MaxConns: 1000, Limits: limits}
//	server := &http.Server{Handler: handler}
//	gate.Bind(server)
//	go server.Serve(gate.Listen(listener))
//
// The handler:
//
//	account, fits, _ := btlistener.Admit(r.Context())
//	stop := btlistener.Pace(r.Context())
//	body, err := btmemory.ReadAll(r.Body, -1, maxBytes, account)
//	stop()
//	if fits, _ := btlistener.HandOver(r.Context()); !fits {
//		// no memory: the request has not run
//	}
package btlistener

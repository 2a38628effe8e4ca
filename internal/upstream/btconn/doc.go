// Package btconn keeps HTTP/1.1 connections to upstreams and sends single
// requests over them.
//
// Errors show whether any byte of a request was sent, since only an unsent request
// may be reported as not run. A connection returns to the pool only after a
// complete response that no other bytes follow. Before a pooled connection is
// used again, it is checked for a close by the peer. An upstream may still send an
// extra response later, which the id of its request tells from the one that is due.
// That requires that no request is sent on a connection twice.
//
// # Usage
//
//	var pool btconn.Pool
//	c, err := pool.Get(ctx, addr, id, sentOn...)
//	...
//	x, err := c.Do(ctx, &btconn.Request{Method: "GET", Target: "/a/b", Host: "h", Header: h})
//	...
//	defer x.Close()
//	data, err := io.ReadAll(x.Body)
package btconn

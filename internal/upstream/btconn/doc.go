// Package btconn keeps HTTP/1.1 connections to upstreams and sends single
// requests over them.
//
// It knows for each request whether any byte of it left, which decides whether
// a failed request may be called "not run". A connection returns to the pool
// only after a complete response with nothing behind it, and a pooled one is
// tested for the peer's close before it is used.
//
// # Usage
//
//	var pool btconn.Pool
//	c, err := pool.Get(ctx, addr)
//	...
//	x, err := c.Do(ctx, &btconn.Request{Method: "GET", Target: "/a/b", Host: "h", Header: h})
//	...
//	defer x.Close()
//	data, err := io.ReadAll(x.Body)
package btconn

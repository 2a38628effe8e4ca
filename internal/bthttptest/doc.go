// Package bthttptest calls HTTP handlers in tests without a network, so that
// they run on the fake time of testing/synctest.
//
// # Usage
//
//	r := bthttptest.Request(t.Context(), "PUT", "/objects/k/n", `{"data":1}`, "If-Match", "0")
//	reply := bthttptest.Call(handler, r)
//	if reply.Aborted {
//		// The handler closed the connection.
//	}
package bthttptest

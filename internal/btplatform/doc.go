// Package btplatform simulates the platform over HTTP: the object API, its
// watches and the list of hosts.
//
// The objects are in a btmemstore.Store, whose faults apply: a lost reply and
// a dropped write both close the connection without an answer, an outage
// answers 503 and ends open watches, silent watches stay open and send
// nothing.
//
// Quotas bound the reads and the writes of each second; further calls are
// answered with 429. A watch that is open at the start of a second counts as
// one read of that second.
//
// # Control
//
// GET and PUT /debug/store read and set the fault of the store as JSON,
// /debug/fault that of the HTTP server (see btfault), /debug/hosts the host
// list. GET /debug/counts returns the calls of the store and the refusals.
//
// # Usage
//
//	platform := btplatform.NewServer(btplatform.Options{HostLag: 2 * time.Second}, btmemstore.New(), timers)
//	http.Serve(listener, platform.Handler())
//	platform.SetHosts(hosts)
package btplatform

// Package btworker is a stand-in for the upstreams of a platform: plain services
// and model engines that stream events, keep copies of generations and move
// them. It runs on any network and, inside a synctest bubble with one in
// memory, in fake time. It counts what it ran, so that tests can check what callers cannot see.
//
// # Usage
//
//	pool := &btworker.Pool{Listen: listen, Dialect: dialect}
//	w := pool.Start(btworker.Config{ID: "i-1", Addr: addr, Events: 40, Gap: 20 * time.Millisecond})
//	defer w.Crash()
package btworker

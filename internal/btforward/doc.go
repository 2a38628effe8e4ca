// Package btforward is the baseline for the cost of the request path: a handler
// that only copies an engine's event stream to the caller.
//
// Its benchmark runs the same paced streams three ways in one process: without
// anything between, through Forwarder, and through the front, the dispatcher
// and the relay of a daemon. What the first way costs is the caller's and the
// engine's share and is subtracted from the other two. The figures are medians
// over the rounds.
//
// # Usage
//
//	go test -run '^$' -bench Path -benchtime 9x ./internal/btforward
package btforward

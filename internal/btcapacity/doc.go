// Package btcapacity measures what the control plane of a cell costs.
//
// A Backend simulates the platform and the load reports of upstreams in a
// process of its own. A Fleet runs the daemons of one cell in another process,
// without requests, so that its processor time and heap are those of daemons
// only. A Scenario names the sizes, a Sample holds what was counted, and Fit
// derives the cost of one more daemon, upstream, record or change by least
// squares.
//
// # Usage
//
//	scripts/capacity DIR
//
// runs all scenarios and writes the samples and the slopes to DIR.
package btcapacity

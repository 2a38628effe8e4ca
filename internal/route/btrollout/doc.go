// Package btrollout decides which requests of a service go to a new version of its upstreams, and
// whether that version is good. docs/design/rollouts.md describes it.
//
// Table holds the orders and what this daemon has counted. Each request draws once whether it
// goes to the new version. Judges, a few daemons that get the reports of all, add the counts up,
// compare the versions, and tell all daemons the stage. Writer keeps the status of the orders in
// the store.
//
// The package sends nothing itself. Reports and decisions are sent by the functions in Table, and
// may be lost, repeated or late.
//
// # Usage
//
//	t := &btrollout.Table{Timer: timers, Bounds: bounds, Log: log}
//	t.Update(snapshot)                    // periodically, before Tick
//	c := t.Choose(service)                // once for each request
//	if c.Allows(upstream) { t.Sent(upstream) }
//	t.Answered(btrollout.Answer{Upstream: upstream, Route: route, First: latency})
//	t.Merge(host, incarnation, report)    // at judges
//	t.Follow(decision)                    // at all daemons
//	t.Tick()                              // each TickPeriod
package btrollout

// Package btremote connects the parts of a daemon with their counterparts on
// the other daemons of its cell, over peer links.
//
// Owners reserves with the daemon that owns an upstream, Claims begins and
// finishes claims with the daemon that owns their shard, ConfigSync passes on the
// configuration, Exchange tells each member the state of every other one, and
// Suspects shares what is known of crashing requests. Each registers its
// handlers at a btpeer.Mux and does the calling side as well.
//
// # Lost answers
//
// A reservation whose answer was lost is released again. A claim whose begin
// got no answer is abandoned in the store, so that the caller can send its call
// again. The configuration is compared by digest, so a lost message delays a
// change and never loses it.
//
// # Usage
//
//	owners := &btremote.Owners{Self: host, Node: node, Cell: cell, Table: table, Loads: loads, Timer: timers}
//	owners.Register(mux)
//	route := &btroute.Filter{Owner: owners}
package btremote

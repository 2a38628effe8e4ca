// Package btremote connects the components of a daemon with their counterparts on
// the other daemons of its cell, over peer links.
//
// Owners makes reservations at the daemon that owns an upstream, Claims begins and
// finishes claims at the daemon that owns their shard, ConfigSync distributes the
// configuration, Exchange exchanges state between all members, and Suspects
// distributes reports of requests that crash upstreams. Each type implements both
// sides: it registers its handlers at a btpeer.Mux and sends the requests.
//
// # Lost replies
//
// A reservation whose reply was lost is released. A claim whose begin got no reply
// is abandoned in the store, so that the caller can send its call again.
// Configurations are compared by digest, so a lost message only delays a change.
//
// # Usage
//
//	owners := &btremote.Owners{Self: host, Node: node, Cell: cell, Table: table, Loads: loads, Timer: timers}
//	owners.Register(mux)
//	route := &btroute.Filter{Owner: owners}
package btremote

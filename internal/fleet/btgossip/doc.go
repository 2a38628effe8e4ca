// Package btgossip exchanges state between the daemons of a fleet without a
// coordinator.
//
// Every daemon sends a digest to a few others several times a second, each in a
// single datagram. A digest lists the daemons that the sender knows to be alive
// with their heartbeat counters, the revisions of the sender's replica, and the
// sender's load at each upstream. A daemon counts as alive while its heartbeat
// rises, whether it is received directly or through other daemons; receiving an
// old heartbeat again does not make a daemon alive. A daemon whose replica is
// behind pulls the objects over TCP from a daemon that is ahead. Changes that a
// daemon reads from the store are pushed to all daemons at once. Full lists of a
// kind are pulled from one daemon after another instead, because a daemon's link
// may be too slow to send them to all.
//
// No request waits for this package. A daemon without peers works with what it
// reads from the store and from upstreams.
//
// Digests use datagrams and not a multiplexed stream, because a digest is
// worthless once the next one is sent, and a stalled connection would delay it.
//
// # Usage
//
//	n := btgossip.New(&btgossip.Node{
//		Self: self, Table: table, Accounts: accounts, StoreStatus: status,
//		Timer: timers, Log: log, Ready: ready, Leaving: leaving,
//	})
//	n.Start(ctx, packetConn, listener)
//	for _, peer := range n.Alive() { ... }
package btgossip

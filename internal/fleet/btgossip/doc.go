// Package btgossip joins the daemons of a fleet without a coordinator.
//
// Every daemon sends a digest to a few others several times a second, in single
// datagrams: which daemons it has heard of and how fresh that is, the revisions
// of its replica, and its work at each upstream. A daemon is alive as long as
// its beat rises, whoever brings the news; a rumor of an old beat revives
// nobody. A replica that is behind is completed from the daemon that is ahead,
// over TCP. Changes that a daemon learns from the store are sent to all at once;
// whole kinds spread from daemon to daemon, because links may be thin.
//
// No request waits for this package. Without any peer a daemon works with what
// it learns from the store and from upstreams.
//
// Datagrams replace multiplexed streams here: a digest is worthless once the
// next one is out, and a stalled connection would delay it.
//
// # Usage
//
//	n := btgossip.New(&btgossip.Node{Self: self, Table: table, Accounts: accounts, Timer: timers})
//	n.Start(ctx, packetConn, listener)
//	for _, m := range n.Alive() { ... }
package btgossip

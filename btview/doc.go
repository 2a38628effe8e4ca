// Package btview implements the membership of a cell: the daemons agree on
// numbered views, and each view determines the owner of each upstream.
//
// The holder of the cell's lease writes a view to the store and then pushes it
// to the members. It stops confirming a view before it writes the next one.
// Members send heartbeats to the holder. The reply is a view lease: it confirms
// the member's view for a time, counted from when the heartbeat was sent. A
// member that cannot reach the holder reads the view from the store instead: an
// unchanged number proves that no later view was in use when the read was sent.
// This requires reads that reflect all completed writes. Reads that return an
// older version than the member has seen are ignored.
//
// The owner of an upstream is the member with the highest rendezvous hash. A
// new owner waits until every member of the earlier views has acknowledged the
// new one, or until their view leases and grants have expired. If the old
// owner's acknowledgement is still missing then, the new owner leaves half of
// the base limit of a cold upstream unused for a time, because the old owner
// may still serve it in Fallback mode.
//
// # Usage
//
//	cell := &btview.Cell{Lease: lease, Store: store, Timer: timers, Transport: transport, Self: self, Name: "qld-1"}
//	btview.Register(mux, cell)
//	go cell.Run(ctx)
//	owner, view := cell.Owner(upstream)
//	if p := cell.MayGrant(upstream); p.Mode == btview.Full {
//		grant(p.ViewNumber)
//	}
//
// Call MayGrant for each grant; a stored result becomes outdated. An entry
// daemon rejects grants of a view older than its own. In OnView, which runs
// before the view is acknowledged, it reports the reservations that it uses to
// their new owner.
package btview

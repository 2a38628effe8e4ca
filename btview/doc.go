// Package btview agrees on the members of a cell and on the owner of each
// upstream.
//
// The holder of the cell's lease writes numbered views to the store and then
// tells the members. It stops confirming a view before it writes the next one.
// Members send it heartbeats and get view leases, counted from the sending of
// the heartbeat. A member that cannot reach the holder reads the view from the
// store instead: an unchanged number proves that no later view was in use when
// the read was sent. This needs reads that show all completed writes. Reads
// that are older than what the member has seen are dropped.
//
// The owner of an upstream is the member with the highest rendezvous hash. A
// new owner waits until every member of the earlier views acknowledged, or
// until their view leases and grants have expired. After a wait without the
// old owner's acknowledgement it leaves part of the capacity unused for a
// time, because the old owner may still serve in the fallback state.
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
// Call MayGrant for each grant and keep no copy of its answer. An entry refuses
// grants of a view older than its own, and tells a new owner its reservations
// from OnView, which runs before the view is acknowledged.
package btview

// Package btquarantine contains requests that crash the upstreams that run
// them, although their clients resend them to other entries.
//
// A request is known by its fingerprint, which covers its workspace and
// content. When an upstream crashes, all requests in flight at it become
// suspects. A suspect runs alone (bramleytack.Reservation.Suspect) and at most
// once more. If it completes, it is cleared. If the upstream crashes again, no
// other request can be the cause: the fingerprint is quarantined in the store
// and all entries refuse it. Requests that were in flight beside it complete
// their run and are never quarantined.
//
// What counts as a crash is decided by IsCrash alone. A cut link is not one,
// and a crash counts once per instance of an upstream, however often it is
// reported.
//
// # Several daemons
//
// Each daemon has a Table and exchanges Reports with its peers. A Report can be
// lost, repeated or late: a lost crash report leaves an entry that does not
// know the suspect, a lost Started report allows one more run at another entry,
// and a lost Completed report leaves a suspect until it expires. None of them
// quarantines an innocent request. Filter.Arbiter makes the single run hold
// over all entries. Every daemon that learns of a confirmed fingerprint writes
// the quarantine record if no other daemon has done so, by conditional create.
//
// A run that ends without a completion and without a crash, such as one that
// its client abandons, is not repeated before the suspicion expires.
//
// # Placement
//
// Filter stands before the route filter and sets Request.Suspect, which the
// route filter copies to its reservation. The route filter offers a suspect to
// one upstream only. A request that it offers again after a broken stream may
// have crashed the first upstream, so it sets the mark for that attempt. Tracker
// stands directly before dispatch and knows what is in flight where.
//
// # Usage
//
//	table := &btquarantine.Table{Store: store, Timer: timers, Snapshots: snapshots, Notify: sendToPeers}
//	go table.Run(ctx)
//	path := bramleytack.Chain(dispatch, &btquarantine.Filter{Table: table}, route, &btquarantine.Tracker{Table: table})
//
//	if btquarantine.IsCrash(evidence) {
//		table.ReportCrash(upstream, instance, table.InFlight(upstream, instance))
//	}
package btquarantine

// Package btquarantine stops requests that crash the upstreams that run them,
// also when their callers resend them to other entries.
//
// A request is identified by its fingerprint, which covers its workspace and
// content. When an upstream crashes, all requests in flight at it become
// suspects. A suspect runs alone (bramleytack.Reservation.Suspect) and at most
// once more. If it completes, it is cleared. If the upstream crashes again, no
// other request can be the cause: the fingerprint is quarantined in the store
// and all entries reject it. The requests that were in flight with it at the
// first crash also run alone, complete, and are never quarantined.
//
// IsCrash alone decides what counts as a crash. A network failure is not one,
// and a crash counts once per instance of an upstream, however often it is
// reported.
//
// # Several daemons
//
// Each daemon has a Table and exchanges Reports with its peers. A Report can be
// lost, repeated or late. After a lost Crashed report, an entry does not know
// the suspect. A lost Started report allows one more run at another entry. A
// lost Completed report leaves the suspect until it expires. None of these
// quarantines an innocent request. With Filter.Arbiter, a suspect has a single
// run over all entries. Every daemon that learns of a confirmed fingerprint
// writes the quarantine record if no other daemon has done so, by conditional
// create.
//
// A run that ends without completion and without a crash, such as one that the
// caller abandons, is not repeated before the suspicion expires.
//
// # Order of the filters
//
// Filter goes before the route filter and sets Request.Suspect, which the route
// filter copies to its reservation. The route filter asks one upstream until it
// has drained for the suspect. When it repeats a request after a failure of the
// upstream, it sets Request.Suspect itself, since the request may have caused
// the failure. Tracker goes directly before dispatch, where the upstream is
// known, and records which requests are in flight at which upstream. Detector
// goes between the route filter and Tracker.
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

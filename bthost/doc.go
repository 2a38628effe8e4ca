// Package bthost follows the platform's list of live and leaving hosts.
//
// An upstream on a host that the list names as leaving gets no new work. The
// Overlay gives each reader a snapshot in which such upstreams are leaving, so
// the parts of the request path need no second source. Members of a cell read
// the list in turn and tell each other what they saw; the earliest news wins. A
// host that was seen as leaving stays so until a later list shows otherwise.
//
// # Usage
//
//	hosts := &bthost.Watcher{Store: store, Timer: timers, Period: period}
//	snapshots := &bthost.Overlay{Config: config, Hosts: hosts}
//	go hosts.Run(ctx)
package bthost

// Package bthost tracks which hosts the platform lists as leaving.
//
// An upstream on a leaving host gets no new work. Overlay returns configuration
// snapshots in which such upstreams have the state leaving, so that the request
// path has to check only the snapshot. Each member of a cell polls the host list
// and reports leaving hosts to its peers, so that all members know of a leaving
// host soon after the first one has read the list. A host remains leaving until a
// later list shows otherwise; a report of a peer also expires after 30 s.
//
// # Usage
//
//	hosts := &bthost.Watcher{Store: store, Timer: timers, Period: period}
//	snapshots := &bthost.Overlay{Config: config, Hosts: hosts}
//	go hosts.Run(ctx)
package bthost

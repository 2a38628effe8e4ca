// Package btreplica keeps a daemon's replica of the store's objects and the
// snapshot that is decoded from them.
//
// A Table holds the objects of each kind together with the revision up to
// which they are complete. It accepts full lists and changes, both from the store
// and from peers, and never goes back to an older revision. A Watcher reads one kind
// from the store into the table. Every change of an object yields a new immutable
// snapshot.
//
// # Usage
//
//	table := btreplica.NewTable(codec, timers, log)
//	w := &btreplica.Watcher{
//		Feed: store, Table: table, Timer: timers, Log: log, Kind: bramleytack.KindConfig,
//		StoreStatus: &status, Resync: &resync,
//	}
//	go w.Run(ctx)
//	snapshot, changed := table.Current()
package btreplica

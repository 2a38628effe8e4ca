// Package btreplica keeps a daemon's replica of the store's objects and the
// snapshot that is decoded from them.
//
// A Table holds the objects of each kind together with the revision up to
// which they are complete. It takes lists and changes from the store and from
// peers alike and never goes back to an older revision. A Watcher feeds it from
// the store. Every accepted change yields a new immutable snapshot.
//
// # Usage
//
//	table := btreplica.NewTable(codec, timers, log)
//	w := &btreplica.Watcher{Feed: store, Table: table, Timer: timers, Kind: bramleytack.KindConfig}
//	go w.Run(ctx)
//	snapshot, changed := table.Current()
package btreplica

// Package btconfig keeps the configuration that a daemon acts on.
//
// Config holds the newest known object of each record, with tombstones for
// deleted ones, and builds an immutable bramleytack.Snapshot from them. Readers
// get the snapshot through an atomic pointer. A change copies only the maps of
// the snapshot that it touches.
//
// # Order of changes
//
// Objects may arrive late, twice and from several sources: lists, watches and
// peers. An object is accepted only if its version is higher than the one known
// for the same key. A list is complete at its revision: objects that it lacks
// become tombstones, and later arrivals of unknown objects up to that revision
// are dropped. The snapshot's revision therefore only rises.
//
// A record that cannot be decoded does not hold up others. The snapshot keeps
// its last good form, and Stats counts it.
//
// # Peers
//
// Digest summarizes the state. A daemon whose digest differs from a peer's
// pulls Since(own revision), and All if the digests still differ, because a
// daemon that missed a change may know later ones. It passes the result to
// Apply. A daemon without a working store starts from a peer's All.
//
// # Usage
//
//	cfg := btconfig.New()
//	w := &btconfig.Watcher{Store: store, Config: cfg, Timer: timers, Seed: seed}
//	go w.Run(ctx)
//	changed, cancel := cfg.Subscribe()
//	defer cancel()
//	for range changed {
//		use(cfg.Snapshot())
//	}
package btconfig

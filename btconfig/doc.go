// Package btconfig holds the configuration of a daemon and applies changes to it
// that come from the store or from peers.
//
// Config holds the newest known object of each record, with tombstones for
// deleted ones, and builds an immutable bramleytack.Snapshot from them. Readers
// get the snapshot through an atomic pointer. A change copies only the maps of
// the snapshot whose entries it changes.
//
// # Order of changes
//
// Objects may arrive late, twice and from several sources: lists, watches and
// peers. An object is accepted only if its version is higher than the one known
// for the same key. A list is complete at its revision: known objects that it
// lacks become tombstones, and an unknown object that arrives later is dropped
// if its version is not above that revision. The snapshot's revision therefore
// never decreases.
//
// A record that cannot be decoded does not block others. The snapshot keeps its
// last valid version, and Stats counts it.
//
// # Peers
//
// Digest summarizes the state. A daemon whose digest differs from a peer's
// pulls the peer's Since(own revision) and passes it to Apply. If the digests
// still differ, it missed a change older than its own revision, and pulls All.
// A daemon that cannot reach the store starts from a peer's All.
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

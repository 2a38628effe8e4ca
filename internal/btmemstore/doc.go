// Package btmemstore is an in-memory object store for tests and for the
// simulated platform.
//
// It follows the platform's rules: versions of all objects come from one
// counter, writes are conditional, watches deliver each change once and in
// order, values are limited to bramleytack.MaxObjectBytes. Faults can be
// switched on at any time; see Fault.
//
// # Usage
//
//	store := btmemstore.New()
//	v, err := store.Put(ctx, object, 0)
//	store.SetFault(btmemstore.Fault{Down: true})
package btmemstore

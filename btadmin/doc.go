// Package btadmin makes operators' changes to the configuration.
//
// Admin validates a record by itself and against the current snapshot, writes
// it with the version that the operator expects, and applies the accepted
// object to the local configuration at once. A reference that the snapshot does
// not know is looked up in the store, because the snapshot may be a few seconds
// behind.
//
// # Conflicts
//
// If another change came first, ConflictError shows both changes field by field
// against the record that the operator started from. That record is known if
// this daemon has seen its version lately; otherwise the error shows how the
// stored record differs from the wanted one.
//
// Drain and Return read, change and write a failure domain until no other
// change interferes. They write even if the state is already as wanted, because
// the read may be stale and only a conditional write proves that it was not.
//
// # Usage
//
//	a := &btadmin.Admin{Store: store, Config: cfg, Timer: timers}
//	v, err := a.Apply(ctx, record, expected)
//	var conflict *btadmin.ConflictError
//	if errors.As(err, &conflict) {
//		show(conflict.Theirs, conflict.Ours)
//	}
//
//	h := &btadmin.Handler{Admin: a, KeyHashes: hashes, Status: status}
//	mux.Handle("/admin/v1/", h.Mux())
package btadmin

// Package btoperator is a client of the operators' API.
//
// A Client knows the admin addresses of a deployment. A read that gets no
// answer from one address is sent to the next.
//
// # Writes
//
// A write goes to the next address only if it surely has not run: the
// connection was not established, or the answer says so. If the answer is lost,
// the record is read back. A stored record with the wanted content resolves the
// write. Anything else is reported with an unknown outcome, and the write is not
// repeated, since the daemon may still be carrying it out.
//
// # Revisions
//
// Versions and revisions come from one counter. A change is in force on a daemon
// whose revision is at least the version of the change. If several daemons
// report on one host, the lowest revision counts, so that a stale report cannot
// make a change look in force before it is.
//
// # Usage
//
//	c := &btoperator.Client{Admins: addrs, Key: key, Timer: timers}
//	stored, err := c.Get(ctx, key)
//	v, err := c.Put(ctx, record, stored.Version)
//	behind, err := c.Wait(ctx, v, 30*time.Second)
package btoperator
